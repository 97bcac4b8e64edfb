#pragma once

#include "support/httpclient.h"
#include "support/process.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mimosahollow::tests {

/** A new folder that is removed at the end, but kept when a check failed, for the logs in it. */
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    [[nodiscard]] std::string file(const std::string &name) const
    {
        return m_path + "/" + name;
    }
    /** Writes @p text to the file @p name and returns its path. */
    std::string write(const std::string &name, const std::string &text) const;

private:
    std::string m_path;
};

/** One process of the binary with the addresses that it listens on. */
struct Member
{
    std::string name;
    std::string domain;
    bool voter = false;
    std::string callers;
    std::string backends;
    std::string admin;
    std::string links;
    std::unique_ptr<Process> process; /**< Empty: does not run. */
    bool hasRun = false; /**< Only the first start may found the fleet. */
};

struct Backend
{
    std::string name;
    std::string domain;
    bool plain = false;
    std::string address;
    std::unique_ptr<Process> process;
};

/** A stand-in's record of one call. */
struct SeenCall
{
    std::string adapter;
    std::string text; /**< Target, headers and body. */
};

/**
 * Seven instances in three failure domains, a1, b1 and c1 of them voters, with a model server and a plain service in each
 * domain. Organisation "north" has the adapter greeting@1, the default greeting@2 and two keys, "south" the adapter repair@1.
 */
class Fleet
{
public:
    Fleet();
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    [[nodiscard]] std::vector<Member> &members()
    {
        return m_members;
    }
    [[nodiscard]] Member &member(const std::string &name);

    void start(Member &member);
    void kill(Member &member);
    /** Waits for the end of @p member, which was asked to stop, and returns its exit code. */
    std::optional<int> awaitExit(Member &member);
    /** Waits until every running instance answers model calls and plain calls. */
    [[nodiscard]] bool awaitService();

    /** Runs an operator command through @p member and returns its exit code. */
    std::optional<int> command(const Member &member, std::vector<std::string> arguments) const;
    /** Packs and signs the first bundle with @p addition as version 2 and submits it. Returns the exit code of the submission. */
    std::optional<int> submitBundle(const Member &member, const std::string &addition) const;
    /** Name of the leader as @p member sees it. */
    [[nodiscard]] std::string leader(const Member &member) const;

    /** All calls that the stand-ins with @p domain received; empty: of all domains. */
    [[nodiscard]] std::vector<SeenCall> seenCalls(const std::string &domain = {}) const;
    /** Calls among them that contain @p text. */
    [[nodiscard]] std::vector<SeenCall> seenCallsWith(const std::string &text) const;
    /** Number of calls that the server @p name received. */
    [[nodiscard]] std::size_t received(const std::string &name) const;

    /** Stops all instances at the same time. Returns whether each ended with exit code 0. */
    [[nodiscard]] bool stop();

private:
    std::string newAddress();
    [[nodiscard]] std::string settingsText(const Member &member) const;
    [[nodiscard]] std::string bundleText(unsigned version) const;

    TemporaryFolder m_folder;
    std::set<std::string> m_addresses;
    std::vector<Member> m_members;
    std::vector<Backend> m_backends;
};

inline const std::string northKey = "mh-north-5d1f0c8e72ab";
inline const std::string secondNorthKey = "mh-north-91c4b7a3e60d";
inline const std::string southKey = "mh-south-3e8a64d2f915";

/** The key's hash as the configuration holds it. */
std::string hashOf(const std::string &key);

/** A call of @p model for @p tokens tokens; @p content is the message. */
std::string modelCall(const std::string &key, const std::string &model, unsigned tokens = 1, bool stream = false, const std::string &content = "hello");
/** A call of the plain service: GET, or POST with an idempotency key when @p idempotencyKey is not empty. */
std::string serviceCall(const std::string &key, const std::string &idempotencyKey = {}, const std::string &body = {});

} // namespace mimosahollow::tests

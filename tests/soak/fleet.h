#pragma once

#include "options.h"
#include "record.h"

#include <sys/types.h>

#include <string>
#include <vector>

namespace mimosahollow::soak {

enum class Role : std::uint8_t { Coordinator, Entry };

/** A process under test and what is known of it. */
struct Instance
{
    Role role{};
    unsigned number = 0;
    std::string name;
    std::string settingsPath;
    std::string dataFolder;
    pid_t id = 0; /**< 0: not running. */
    bool isFrozen = false;
    bool isStopping = false; /**< Has been sent SIGTERM. */
};

/** Coordinators and entry instances as separate processes on loopback addresses. */
class Fleet
{
public:
    Fleet(const Options &options, Record &record);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    void startAll();
    void start(Instance &instance);
    void kill(Instance &instance);
    /** Empties the disk of a process that is not running. */
    static void loseDisk(const Instance &instance);
    void freeze(Instance &instance);
    void thaw(Instance &instance);
    /** Sends SIGTERM; the process ends later. */
    void stop(Instance &instance);
    void reload(Instance &instance);
    /** Notices processes that have ended; those that were not asked to count as unexpected exits. */
    void reap();

    [[nodiscard]] std::vector<Instance> &coordinators();
    [[nodiscard]] std::vector<Instance> &entries();
    [[nodiscard]] std::size_t coordinatorCount() const;
    [[nodiscard]] std::string address(unsigned host, unsigned port) const;
    [[nodiscard]] std::string controlAddress(unsigned coordinator) const;
    [[nodiscard]] std::string callerAddress(unsigned entry) const;
    [[nodiscard]] std::string readinessAddress(unsigned entry) const;
    [[nodiscard]] static std::string domainOf(unsigned number);

private:
    void addInstance(Role role, unsigned number);
    void writeSettings(const Instance &instance, bool isFirstStart) const;
    void note(const Instance &instance, Disturbance kind);

    Options m_options;
    Record &m_record;
    std::string m_folder;
    bool m_keepsFolder = false;
    std::vector<Instance> m_coordinators;
    std::vector<Instance> m_entries;
};

} // namespace mimosahollow::soak

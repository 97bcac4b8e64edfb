#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosahollow::soak {

/** Seconds since the start of the run. */
[[nodiscard]] double now();

/** A call as one backend server has seen it. */
struct Arrival
{
    double at = 0;
    std::string server;
    std::optional<double> deadline; /**< Milliseconds that the backend server was given. */
    bool hasRun = false;
    double ranUntil = 0; /**< Last moment at which it worked on the call. */
    bool isBrokenOff = false; /**< The backend server closed the connection before the end of its answer. */
};

enum class CallEnd : std::uint8_t {
    Open,
    Answered,
    Unanswered, /**< The connection was closed before the first byte of an answer. */
    Incomplete, /**< The connection was closed within the answer. */
    Unreadable, /**< The bytes are no answer to this call. */
    GivenUp, /**< The caller left at its time limit. */
    NotSent, /**< The connection was closed before the call was written. */
};

/** A call as its caller has seen it, with what the backend servers have seen of it. */
struct CallRecord
{
    std::string id;
    std::string service;
    bool mayRunAgain = false;
    unsigned maximumAttempts = 1;
    unsigned entry = 0;
    bool isOnUsedConnection = false;
    double sentAt = 0;
    double timeLimit = 0; /**< Milliseconds, as the caller named it. */
    std::string fatalPart; /**< Prompt part under which backend servers end; empty: none. */
    std::string deadlyName; /**< Of the request that ends each backend server which begins to run it; empty: this one does not. */
    bool isSiblingOfDeadly = false; /**< Differs from the deadly call by one property only. */
    CallEnd end = CallEnd::Open;
    unsigned status = 0;
    bool hasServerSignature = false;
    double endedAt = 0;
    std::vector<Arrival> arrivals;
};

/** A backend server asked an entry instance for silence. */
struct Silence
{
    double at = 0;
    double until = 0;
    unsigned entry = 0;
    std::string server;
};

enum class Disturbance : std::uint8_t {
    Kill,
    Freeze,
    Stop, /**< SIGTERM; planned. */
    Reload, /**< SIGHUP; planned. */
    Start,
};

struct DisturbanceRecord
{
    double begin = 0;
    double end = 0;
    Disturbance kind{};
    bool isCoordinator = false;
    unsigned number = 0;
};

struct ConfigurationRecord
{
    double sentAt = 0;
    double acknowledgedAt = 0; /**< 0: not acknowledged. */
    std::uint64_t version = 0;
};

/** All that callers, backend servers and the operator have seen in a run. */
struct Record
{
    std::deque<CallRecord> calls; // references to its elements stay valid
    std::map<std::string, CallRecord *> byId;
    std::vector<Silence> silences;
    std::vector<DisturbanceRecord> disturbances;
    std::vector<ConfigurationRecord> configurations;
    unsigned unexpectedExits = 0;
    unsigned unknownArrivals = 0; /**< With an id that no caller sent. */
    bool isStateLost = false; /**< After the closing restart the newest acknowledged configuration is gone. */
};

} // namespace mimosahollow::soak

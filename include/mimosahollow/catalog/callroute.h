#pragma once

#include "mimosahollow/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosahollow::catalog {

/** What may be done with a call whose outcome is not known. */
enum class CallKind : std::uint8_t {
    Idempotent, /**< May run more than once. */
    NonIdempotent, /**< Runs at most once. */
    Stream, /**< Answers with events; runs at most once unless the route is resumable. */
};

/** Part of a route's calls that goes to one service. */
struct TrafficShare
{
    std::string service;
    std::uint32_t weight = 0;
};

/** Calls of one host below one path prefix. */
struct CallRoute
{
    std::string name;
    std::string host;
    std::string pathPrefix; /**< Begins and ends with a slash. */
    CallKind kind = CallKind::NonIdempotent;
    Duration timeout{}; /**< Longest time that a caller is kept waiting. */
    Duration objective{}; /**< Latency up to which an answer, or the first event of a stream, is on time. */
    int priority = 0; /**< 0 is the most urgent. */
    std::vector<TrafficShare> split;
    unsigned maximumAttempts = 1; /**< Backend servers to which one call may be sent. */
    bool isOpen = false; /**< Needs no key. */
    bool isResumable = false; /**< Another backend server may continue a stream after its last event. */
};

} // namespace mimosahollow::catalog

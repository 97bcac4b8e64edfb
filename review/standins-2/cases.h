#pragma once

#include <string>

namespace review {

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

struct CaseOptions
{
    std::string program;
    std::string record;
    bool hasTrouble = true;
};

/** A client with a key asks for many adapters that do not exist. */
int hostileAdapters(const CaseOptions &options);
/** A client with a key sends heads that take long to forward. */
int hostileHeaders(const CaseOptions &options);

/** Clients without a key hold requests with many fields. */
int hostileFields(const CaseOptions &options);
/** Workers restart under their ids while a coordinator that has not read their departures is frozen. */
int lateDeparture(const CaseOptions &options);

/** A client sends requests with the method HEAD. */
int headRequests(const CaseOptions &options);

} // namespace review

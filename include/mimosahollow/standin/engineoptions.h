#pragma once

#include "mimosahollow/core/time.h"
#include "mimosahollow/standin/enginefaults.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosahollow::standin {

/** What a stand-in backend server is and how fast it is. */
struct EngineOptions
{
    std::string name = "standin";
    std::string address = "127.0.0.1:8101";
    std::string failureDomain = "a";
    std::string kind = "base"; /**< Base model or plain service. */
    bool plainService = false; /**< Answers every call with JSON instead of generating tokens. */
    std::vector<std::string> announceTo; /**< Backend listeners of instances. */
    std::uint32_t slots = 8;
    std::uint32_t adapterSlots = 8;
    std::uint32_t coldLimit = 1; /**< Announced: calls at one time when freshly started. */
    std::uint32_t bearsWhenCold = 0; /**< A cold server resets connections above so many running calls; 0: bears any number. */
    std::uint32_t warmAfterCalls = 32; /**< Completed calls after which a started server is warm. */
    bool checksFencing = true; /**< Otherwise orders with old fencing numbers are carried out. */
    bool supportsResume = false; /**< Goes on from token n of a stream on request. */
    double batchSlowdown = 0.0; /**< Part of the token time that each further running call adds. */
    Duration tokenTime = milliseconds(20); /**< Time between two tokens. */
    Duration loadTime = milliseconds(250);
    EngineFaults faults;
};

} // namespace mimosahollow::standin

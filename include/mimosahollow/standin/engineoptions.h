#pragma once

#include "mimosahollow/core/time.h"

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
    std::uint32_t coldLimit = 1;
    bool checksFencing = true;
    Duration tokenTime = milliseconds(20); /**< Time between two tokens. */
    Duration loadTime = milliseconds(250);
};

} // namespace mimosahollow::standin

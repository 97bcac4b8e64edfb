#pragma once

#include "mimosahollow/core/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace mimosahollow::quarantine {

/** Prompt parts that were answered soundly, with the time of the newest such answer. Parts not answered for long are dropped first. */
struct SoundParts
{
    std::size_t generationSize = 1024; /**< At most twice as many parts are kept. */
    std::unordered_map<std::string, TimePoint> current;
    std::unordered_map<std::string, TimePoint> previous;
};

void recordSoundAnswer(SoundParts &sound, const std::string &part, TimePoint now);

[[nodiscard]] std::optional<TimePoint> lastSoundAnswer(const SoundParts &sound, const std::string &part);

} // namespace mimosahollow::quarantine

#include "mimosahollow/quarantine/soundparts.h"

#include <utility>

namespace mimosahollow::quarantine {

void recordSoundAnswer(SoundParts &sound, const std::string &part, TimePoint now)
{
    if (sound.current.size() >= sound.generationSize && !sound.current.contains(part)) {
        sound.previous = std::exchange(sound.current, {});
    }
    sound.current[part] = now;
}

std::optional<TimePoint> lastSoundAnswer(const SoundParts &sound, const std::string &part)
{
    for (const auto *generation : {&sound.current, &sound.previous}) {
        if (const auto found = generation->find(part); found != generation->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace mimosahollow::quarantine

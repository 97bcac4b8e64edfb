#pragma once

#include <chrono>
#include <thread>

namespace mimosahollow::tests {

// Far beyond what any awaited condition needs, also under the sanitizers on a busy machine.
constexpr std::chrono::seconds waitBound{20};

/** Waits until @p condition holds. Returns whether it did within the bound. */
template<typename Condition>
[[nodiscard]] bool waitFor(Condition condition, std::chrono::milliseconds bound = waitBound)
{
    const auto deadline = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

} // namespace mimosahollow::tests

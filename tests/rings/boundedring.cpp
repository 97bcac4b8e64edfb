#include "mimosahollow/rings/boundedring.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>

using mimosahollow::BoundedRing;

// Guards against a ring that grows without bound, loses elements, or leaves its consumer asleep.
TEST_CASE("A bounded ring refuses what it cannot hold")
{
    BoundedRing<std::unique_ptr<int>> ring(2);
    auto first = std::make_unique<int>(1);
    auto second = std::make_unique<int>(2);
    REQUIRE(ring.tryPush(first));
    REQUIRE(ring.tryPush(second));

    SECTION("a third element stays with the producer")
    {
        auto third = std::make_unique<int>(3);
        REQUIRE_FALSE(ring.tryPush(third));
        REQUIRE(third != nullptr);

        SECTION("and fits once the consumer has taken the others, in order")
        {
            std::vector<std::unique_ptr<int>> taken;
            ring.take(taken);
            REQUIRE(taken.size() == 2);
            REQUIRE(*taken[0] == 1);
            REQUIRE(*taken[1] == 2);
            REQUIRE(ring.tryPush(third));
        }
    }
}

// Guards against a consumer that sleeps although another ring has something for it.
TEST_CASE("A wake-up ends the wait of the consumer")
{
    BoundedRing<int> ring(2);
    std::vector<int> taken;
    const auto before = std::chrono::steady_clock::now();

    SECTION("when it comes before the wait")
    {
        ring.wake();
        ring.waitAndTake(taken, std::chrono::seconds(60));
    }
    SECTION("when it comes from another thread")
    {
        std::thread other([&ring] {
            ring.wake();
        });
        ring.waitAndTake(taken, std::chrono::seconds(60));
        other.join();
    }
    REQUIRE(taken.empty());
    REQUIRE(std::chrono::steady_clock::now() - before < std::chrono::seconds(30));
}

TEST_CASE("Four producers and one consumer exchange every element once")
{
    constexpr int producers = 4;
    constexpr int perProducer = 5000;
    BoundedRing<int> ring(64);
    std::atomic<int> refused = 0;
    std::vector<std::thread> threads;
    threads.reserve(producers);
    for (int p = 0; p < producers; ++p) {
        threads.emplace_back([&ring, &refused, p] {
            for (int i = 0; i < perProducer; ++i) {
                int element = p * perProducer + i;
                while (!ring.tryPush(element)) {
                    ++refused;
                    std::this_thread::yield();
                }
            }
        });
    }
    std::vector<int> seen(producers * perProducer, 0);
    std::vector<int> batch;
    int total = 0;
    while (total < producers * perProducer) {
        batch.clear();
        ring.waitAndTake(batch, std::chrono::seconds(10));
        REQUIRE_FALSE(batch.empty());
        for (const int element : batch) {
            ++seen[static_cast<std::size_t>(element)];
        }
        total += static_cast<int>(batch.size());
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    REQUIRE(std::all_of(seen.begin(), seen.end(), [](int count) {
        return count == 1;
    }));
}

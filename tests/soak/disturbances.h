#pragma once

#include "backend.h"
#include "callers.h"
#include "fleet.h"
#include "operator.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <random>
#include <span>

namespace mimosahollow::soak {

/** What happens in a run besides the calls; drawn by the seed. */
enum class Plan : std::uint8_t {
    Planned, /**< Only stops, reloads, changes and faults of backend servers. */
    Mixed, /**< Kills and freezes too. */
    Fatal, /**< Calls that end backend servers, while single instances restart. */
};

[[nodiscard]] Plan planOf(std::uint64_t seed);
[[nodiscard]] const char *toString(Plan plan);

/** Draws disturbances that overlap, and carries them out. */
class Disturbances
{
public:
    Disturbances(boost::asio::io_context &context,
                 const Options &options,
                 Fleet &fleet,
                 Operator &operatorCalls,
                 Callers &callers,
                 std::span<const std::unique_ptr<Backend>> backends);

    boost::asio::awaitable<void> run(double until);
    /** Waits for the disturbances under way, then restarts all that is down. */
    boost::asio::awaitable<void> finish();

private:
    void begin(boost::asio::awaitable<void> disturbance);
    boost::asio::awaitable<void> changeConfiguration();
    boost::asio::awaitable<void> disturbBackends();
    boost::asio::awaitable<void> disturbEntry();
    boost::asio::awaitable<void> disturbCoordinator();
    boost::asio::awaitable<void> loseDiskBeside(Instance &frozen);
    boost::asio::awaitable<void> killFor(Instance &instance, double seconds);
    boost::asio::awaitable<void> freezeFor(Instance &instance, double seconds);
    boost::asio::awaitable<void> restartOrderly(Instance &instance);
    boost::asio::awaitable<void> restartInTurn();
    void disturbBackend(Backend &backend);
    void sendFatalCalls();
    [[nodiscard]] double between(double least, double most);
    [[nodiscard]] unsigned draw(unsigned count);

    boost::asio::io_context &m_context;
    Plan m_plan;
    Fleet &m_fleet;
    Operator &m_operator;
    Callers &m_callers;
    std::span<const std::unique_ptr<Backend>> m_backends;
    std::minstd_rand m_random;
    unsigned m_nextFatalKind;
    unsigned m_underWay = 0; // disturbances that have begun and not ended
    unsigned m_disturbedCoordinators = 0;
    double m_until = 0;
};

} // namespace mimosahollow::soak

#include "disturbances.h"

#include "async.h"
#include "bounds.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <chrono>

namespace mimosahollow::soak {

namespace asio = boost::asio;

namespace {

constexpr double restartDelay = 0.3;
constexpr double fatalSeconds = 14; // for which fatal calls come
constexpr double fatalPerSecond = 3;

} // namespace

Plan planOf(std::uint64_t seed)
{
    return static_cast<Plan>(seed % 3);
}

const char *toString(Plan plan)
{
    constexpr std::array<const char *, 3> names{"planned", "mixed", "fatal"};
    return names.at(static_cast<std::size_t>(plan));
}

Disturbances::Disturbances(asio::io_context &context,
                           const Options &options,
                           Fleet &fleet,
                           Operator &operatorCalls,
                           Callers &callers,
                           std::span<const std::unique_ptr<Backend>> backends)
    : m_context(context)
    , m_plan(planOf(options.seed))
    , m_fleet(fleet)
    , m_operator(operatorCalls)
    , m_callers(callers)
    , m_backends(backends)
    , m_random(static_cast<std::minstd_rand::result_type>(options.seed + 1))
    , m_nextFatalKind(static_cast<unsigned>(options.seed / 3))
{
}

double Disturbances::between(double least, double most)
{
    return std::uniform_real_distribution<double>(least, most)(m_random);
}

unsigned Disturbances::draw(unsigned count)
{
    return std::uniform_int_distribution<unsigned>(0, count - 1)(m_random);
}

asio::awaitable<void> Disturbances::run(double until)
{
    m_until = until;
    double nextFatal = now() + 2;
    if (m_plan != Plan::Fatal) {
        begin(disturbBackends());
    }
    while (now() < until) {
        co_await sleepFor(m_context, between(0.2, m_plan == Plan::Fatal ? 4.0 : 1.5));
        m_fleet.reap();
        if (m_plan == Plan::Fatal && now() >= nextFatal) {
            sendFatalCalls();
            nextFatal = now() + fatalSeconds + 2;
        }
        const unsigned kind = draw(8);
        if (kind < 4) {
            begin(disturbEntry());
        } else if (kind < 5) {
            begin(disturbCoordinator());
        } else if (kind < 6) {
            begin(restartInTurn());
        } else {
            begin(changeConfiguration());
        }
    }
}

asio::awaitable<void> Disturbances::changeConfiguration()
{
    co_await m_operator.changeConfiguration(m_until);
}

asio::awaitable<void> Disturbances::disturbBackends()
{
    while (now() < m_until) {
        co_await sleepFor(m_context, between(0.3, 1.2));
        disturbBackend(*m_backends[draw(static_cast<unsigned>(m_backends.size()))]);
        if (draw(12) == 0) {
            // Half of them ask for silence at once, so that the others have to take all calls.
            for (std::size_t number = draw(2); number < m_backends.size(); number += 2) {
                m_backends[number]->setFault(BackendFault::Silence, between(2, 4));
            }
        }
    }
}

asio::awaitable<void> Disturbances::disturbEntry()
{
    auto &entries = m_fleet.entries();
    Instance &instance = entries[draw(static_cast<unsigned>(entries.size()))];
    const unsigned kind = m_plan == Plan::Mixed ? draw(5) : draw(2);
    if (instance.id == 0 || instance.isFrozen || instance.isStopping) {
        co_return;
    }
    if (kind == 0) {
        m_fleet.reload(instance);
    } else if (kind == 1) {
        co_await restartOrderly(instance);
    } else if (kind == 2) {
        co_await killFor(instance, between(0.1, 1.5));
    } else {
        co_await freezeFor(instance, between(0.2, 3));
    }
}

asio::awaitable<void> Disturbances::disturbCoordinator()
{
    auto &coordinators = m_fleet.coordinators();
    Instance &instance = coordinators[draw(static_cast<unsigned>(coordinators.size()))];
    // One coordinator may be lost at a time.
    if (m_plan == Plan::Planned || m_disturbedCoordinators > 0) {
        co_return;
    }
    ++m_disturbedCoordinators;
    const unsigned kind = draw(4);
    if (kind == 0) {
        co_await killFor(instance, between(0.1, 2));
    } else if (kind == 1) {
        co_await freezeFor(instance, between(0.2, 3));
    } else if (kind == 2) {
        co_await restartOrderly(instance);
    } else if (instance.id != 0) {
        co_await loseDiskBeside(instance);
    }
    co_await sleepFor(m_context, 5); // catches up
    --m_disturbedCoordinators;
}

/** Another coordinator loses its disk while @p frozen stands still; losses may overlap as long as a single disk is lost. */
asio::awaitable<void> Disturbances::loseDiskBeside(Instance &frozen)
{
    auto &coordinators = m_fleet.coordinators();
    Instance &lost = coordinators[(frozen.number + 1 + draw(static_cast<unsigned>(coordinators.size()) - 1)) % coordinators.size()];
    m_fleet.freeze(frozen);
    co_await sleepFor(m_context, between(2.4, 3.2)); // about when the leader gives the place of a silent voter to another coordinator
    if (lost.id != 0) {
        m_fleet.kill(lost);
        Fleet::loseDisk(lost);
        co_await sleepFor(m_context, between(0.5, 3));
        m_fleet.start(lost);
    }
    m_fleet.thaw(frozen);
    co_await sleepFor(m_context, 5); // recovers
}

asio::awaitable<void> Disturbances::killFor(Instance &instance, double seconds)
{
    if (instance.id == 0) {
        co_return;
    }
    m_fleet.kill(instance);
    co_await sleepFor(m_context, seconds);
    if (instance.id == 0) {
        m_fleet.start(instance);
    }
}

asio::awaitable<void> Disturbances::freezeFor(Instance &instance, double seconds)
{
    m_fleet.freeze(instance);
    co_await sleepFor(m_context, seconds);
    m_fleet.thaw(instance);
}

asio::awaitable<void> Disturbances::restartOrderly(Instance &instance)
{
    const pid_t id = instance.id;
    if (id == 0 || instance.isStopping) {
        co_return;
    }
    m_fleet.stop(instance);
    const double deadline = now() + graceSeconds;
    while (instance.id == id && now() < deadline) {
        co_await sleepFor(m_context, 0.05);
        m_fleet.reap();
    }
    if (instance.id == id) {
        m_fleet.kill(instance);
    }
    co_await sleepFor(m_context, restartDelay);
    if (instance.id == 0) {
        m_fleet.start(instance);
    }
}

/** A rolling restart: signals in series, closer together than a stop takes. */
asio::awaitable<void> Disturbances::restartInTurn()
{
    const auto count = static_cast<unsigned>(m_fleet.entries().size());
    const unsigned first = draw(count);
    for (unsigned step = 0; step < std::max(1U, count / 3); ++step) {
        Instance &instance = m_fleet.entries()[(first + step) % count];
        if (instance.id != 0 && !instance.isFrozen && !instance.isStopping) {
            begin(restartOrderly(instance));
        }
        co_await sleepFor(m_context, between(0.5, 2));
    }
}

void Disturbances::disturbBackend(Backend &backend)
{
    constexpr std::array<BackendFault, 6> faults{
        BackendFault::Silence, BackendFault::Errors, BackendFault::Resets, BackendFault::Copies, BackendFault::ShortHeads, BackendFault::Leaving};
    const unsigned kind = draw(static_cast<unsigned>(faults.size()) + 2);
    if (!backend.isRunning()) {
        return;
    }
    if (kind < faults.size()) {
        backend.setFault(faults.at(kind), between(2, 6));
    } else if (kind == faults.size()) {
        backend.crash(between(1, 3));
    } else {
        backend.freeze(between(0.3, 2));
    }
}

void Disturbances::sendFatalCalls()
{
    constexpr std::array<CallClass, 3> kinds{CallClass::Chat, CallClass::Lookup, CallClass::Submit};
    const unsigned kind = m_nextFatalKind++ % (kinds.size() + 1);
    if (kind == kinds.size()) {
        m_callers.sendSpecial(CallVariant::FatalPart, CallClass::Chat, fatalSeconds, fatalPerSecond);
        return;
    }
    m_callers.sendSpecial(CallVariant::Deadly, kinds.at(kind), fatalSeconds, fatalPerSecond);
    m_callers.sendSpecial(CallVariant::DeadlySibling, kinds.at(kind), fatalSeconds, fatalPerSecond);
}

asio::awaitable<void> Disturbances::finish()
{
    while (m_underWay > 0) {
        co_await sleepFor(m_context, 0.05);
    }
    m_fleet.reap();
    for (auto *instances : {&m_fleet.coordinators(), &m_fleet.entries()}) {
        for (Instance &instance : *instances) {
            if (instance.id == 0) {
                m_fleet.start(instance);
            }
        }
    }
}

/** Lets @p disturbance run beside the others. */
void Disturbances::begin(asio::awaitable<void> disturbance)
{
    ++m_underWay;
    asio::co_spawn(m_context, std::move(disturbance), [this](const std::exception_ptr &problem) {
        --m_underWay;
        if (problem) {
            std::rethrow_exception(problem);
        }
    });
}

} // namespace mimosahollow::soak

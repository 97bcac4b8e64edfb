#pragma once

#include "fleet.h"
#include "record.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mimosahollow::soak {

enum class CallClass : std::uint8_t { Chat, Query, Submit, Lookup };

/** What is special about a call. */
enum class CallVariant : std::uint8_t {
    Sound,
    FatalPart,
    Deadly,
    DeadlySibling, /**< Like a deadly call, but for another path, body or organisation. */
};

/** Callers on kept connections, and the load balancer that spreads new connections over the instances. */
class Callers
{
public:
    Callers(boost::asio::io_context &context, Fleet &fleet, Record &record, std::uint64_t seed);

    void start(unsigned count, double until);
    /** Lets calls of @p variant come for @p seconds, on connections of their own. */
    void sendSpecial(CallVariant variant, CallClass kind, double seconds, double perSecond);
    [[nodiscard]] bool allReady() const;
    /** Probes the readiness of each instance once a second until @p until; new connections go to those that are ready. */
    void startProbes(double until);

private:
    struct Connection;
    struct RotationState
    {
        bool isInRotation = false;
        unsigned misses = 0;
    };

    boost::asio::awaitable<void> runCaller(unsigned number, double until);
    boost::asio::awaitable<void> runSpecial(CallVariant variant, CallClass kind, double until, double perSecond);
    boost::asio::awaitable<void> callOnce(CallClass kind, CallVariant variant);
    boost::asio::awaitable<bool> probe(unsigned entry);
    boost::asio::awaitable<std::unique_ptr<Connection>> connect();
    boost::asio::awaitable<void> call(Connection &connection, CallClass kind, CallVariant variant);
    CallRecord &addRecord(const Connection &connection, CallClass kind, CallVariant variant);
    [[nodiscard]] std::string requestText(const CallRecord &record, CallClass kind, CallVariant variant);
    [[nodiscard]] unsigned chooseEntry();
    [[nodiscard]] unsigned draw(unsigned count);

    boost::asio::io_context &m_context;
    Fleet &m_fleet;
    Record &m_record;
    std::minstd_rand m_random;
    std::vector<RotationState> m_rotation;
    std::uint64_t m_nextId = 1;
};

} // namespace mimosahollow::soak

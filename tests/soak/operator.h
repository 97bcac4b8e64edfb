#pragma once

#include "async.h"
#include "fleet.h"
#include "record.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <random>
#include <string>

namespace mimosahollow::soak {

/** Sends configurations and reads them back. */
class Operator
{
public:
    Operator(boost::asio::io_context &context, Fleet &fleet, Record &record, std::uint64_t seed);

    /** Sends the next configuration until it is acknowledged or @p until. Returns whether it was. */
    boost::asio::awaitable<bool> changeConfiguration(double until);
    /** Version that a coordinator reads back; 0 when none has answered before @p until. */
    boost::asio::awaitable<std::uint64_t> readVersion(double until);

private:
    boost::asio::awaitable<std::optional<HttpResponse>> callControl(boost::beast::http::verb method, std::string body);
    [[nodiscard]] std::string configuration();

    boost::asio::io_context &m_context;
    Fleet &m_fleet;
    Record &m_record;
    std::minstd_rand m_random;
    std::uint64_t m_version = 0;
};

} // namespace mimosahollow::soak

#include "mimosahollow/gateway/ordersender.h"

#include "httpio/answerread.h"
#include "httptypes.h"
#include "upstream.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <atomic>
#include <thread>

namespace mimosahollow::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t maximumOrdersUnderWay = 1024;
constexpr milliseconds resendInterval{2};

std::string_view name(OrderKind kind)
{
    switch (kind) {
    case OrderKind::Load:
        return "load";
    case OrderKind::Unload:
        return "unload";
    case OrderKind::Cancel:
        return "cancel";
    }
    return "";
}

HttpRequest makeRequest(const BackendOrder &order)
{
    HttpRequest request(http::verb::post, "/orders", 11);
    request.set(http::field::host, order.address);
    request.set(http::field::content_type, "application/json");
    request.body() = boost::json::serialize(boost::json::object{{"order", name(order.kind)}, {"adapter", order.adapter}, {"fencing", order.fencing}});
    request.prepare_payload();
    return request;
}

OrderOutcome outcomeOfStatus(unsigned status)
{
    if (status == 200) {
        return OrderOutcome::Done;
    }
    return status == 412 ? OrderOutcome::StaleFencing : OrderOutcome::Refused;
}

} // namespace

class OrderLoop
{
public:
    explicit OrderLoop(BoundedRing<ServingEvent> &dispatchRing)
        : m_dispatchRing(dispatchRing), m_context(1), m_work(asio::make_work_guard(m_context)), m_connections(m_context)
    {
    }

    ~OrderLoop()
    {
        stop();
    }
    OrderLoop(const OrderLoop &) = delete;
    OrderLoop &operator=(const OrderLoop &) = delete;

    void start()
    {
        m_thread = std::thread([this] {
            m_context.run();
        });
    }

    void stop()
    {
        m_context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    bool send(BackendOrder order)
    {
        if (m_underWay >= maximumOrdersUnderWay) {
            return false;
        }
        ++m_underWay;
        asio::co_spawn(m_context, carryOut(std::move(order)), asio::detached);
        return true;
    }

private:
    asio::awaitable<void> carryOut(BackendOrder order)
    {
        ServingEvent result(BackendOrderResult{order.order, co_await exchange(order)});
        asio::steady_timer pause(m_context);
        while (!m_dispatchRing.tryPush(result)) {
            pause.expires_after(resendInterval);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        --m_underWay;
    }

    asio::awaitable<OrderOutcome> exchange(const BackendOrder &order)
    {
        const TimePoint deadline = std::chrono::steady_clock::now() + order.timeout;
        // A fresh connection for each order: orders are few, and one that fails on a connection that the server is just closing
        // would have an unknown outcome.
        UpstreamPointer connection = m_connections.create();
        if (!co_await m_connections.connect(*connection, order.address, deadline)) {
            co_return OrderOutcome::NotSent;
        }
        connection->stream.expires_at(deadline);
        const HttpRequest request = makeRequest(order);
        const auto [writeError, written] = co_await http::async_write(connection->stream, request, asio::as_tuple(asio::use_awaitable));
        if (writeError) {
            co_return OrderOutcome::Unknown;
        }
        httpio::WholeAnswerParser parser;
        if (const auto readError = co_await httpio::readAnswer(connection->stream, connection->buffer, parser); readError) {
            co_return OrderOutcome::Unknown;
        }
        co_return outcomeOfStatus(parser.get().result_int());
    }

    BoundedRing<ServingEvent> &m_dispatchRing;
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    UpstreamConnections m_connections;
    std::atomic<std::uint32_t> m_underWay = 0;
    std::thread m_thread;
};

OrderSender::OrderSender(BoundedRing<ServingEvent> &dispatchRing) : m_loop(std::make_unique<OrderLoop>(dispatchRing))
{
}

OrderSender::~OrderSender() = default;

void OrderSender::start()
{
    m_loop->start();
}

void OrderSender::stop()
{
    m_loop->stop();
}

bool OrderSender::send(BackendOrder order)
{
    return m_loop->send(std::move(order));
}

} // namespace mimosahollow::gateway

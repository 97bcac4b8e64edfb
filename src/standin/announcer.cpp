#include "enginestate.h"

#include "gateway/addresses.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace mimosahollow::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using gateway::HttpRequest;
using gateway::HttpResponse;

namespace {

constexpr seconds announceInterval{1};

std::string announcementBody(const EngineState &state)
{
    json::array adapters;
    for (const auto &[name, running] : state.adapters) {
        adapters.emplace_back(name);
    }
    const EngineOptions &options = state.options;
    json::object body;
    body["name"] = options.name;
    body["address"] = options.address;
    body["failure_domain"] = options.failureDomain;
    body["kind"] = options.kind;
    body["incarnation"] = state.incarnation;
    body["slots"] = options.slots;
    body["adapter_slots"] = options.adapterSlots;
    body["cold_limit"] = options.coldLimit;
    body["checks_fencing"] = options.checksFencing;
    body["running"] = state.running;
    body["queued"] = 0;
    body["adapters"] = std::move(adapters);
    return json::serialize(body);
}

asio::awaitable<void> sendAnnouncement(const EngineState &state, asio::io_context &context, const std::string &target)
{
    const auto endpoint = parseEndpoint(target);
    if (!endpoint) {
        co_return;
    }
    beast::tcp_stream stream(context);
    stream.expires_after(announceInterval);
    const auto [connectError] = co_await stream.async_connect(*endpoint, asio::as_tuple(asio::use_awaitable));
    if (connectError) {
        co_return;
    }
    for (const char *path : {"/backend/v1/announce", "/backend/v1/report"}) {
        HttpRequest request(http::verb::post, path, 11);
        request.set(http::field::host, target);
        request.set(http::field::content_type, "application/json");
        request.body() = announcementBody(state);
        request.prepare_payload();
        const auto [writeError, written] = co_await http::async_write(stream, request, asio::as_tuple(asio::use_awaitable));
        if (writeError) {
            co_return;
        }
        beast::flat_buffer buffer;
        HttpResponse response;
        const auto [readError, read] = co_await http::async_read(stream, buffer, response, asio::as_tuple(asio::use_awaitable));
        static_cast<void>(written + read);
        if (readError) {
            co_return;
        }
    }
}

} // namespace

asio::awaitable<void> announceTo(EngineState &state, asio::io_context &context, std::string target)
{
    asio::steady_timer pause(context);
    for (;;) {
        co_await sendAnnouncement(state, context, target);
        pause.expires_after(announceInterval);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace mimosahollow::standin

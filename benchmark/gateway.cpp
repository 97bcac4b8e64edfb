#include "mimosahollow/gateway/gateway.h"
#include "mimosahollow/settings/settings.h"
#include "mimosahollow/standin/engine.h"

#include "gateway/addresses.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <sodium.h>

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstring>
#include <memory>
#include <thread>
#include <vector>

// Measures one instance between loopback clients and stand-in engines: the latency that the gateway adds to a direct call at
// 2,000 requests/s (both in the same run, one call each in turn), short requests/s, and streamed chunks/s.
// Usage: benchmark_gateway [latency|requests|chunks]

namespace {

using namespace mimosahollow;
namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::uint32_t gatewayThreads = 3; // with the dispatch thread at most 4 cores, as in the targets
constexpr std::uint32_t engines = 3;
constexpr std::uint16_t firstEnginePort = 21'801;
constexpr std::uint16_t callerPort = 21'800;
constexpr seconds runTime{5};

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string callText(std::uint32_t tokens, bool stream)
{
    const std::string body =
        R"({"model":"base","messages":[{"role":"user","content":"hello"}],"max_tokens":)" + std::to_string(tokens) + (stream ? R"(,"stream":true})" : "}");
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: benchmark\r\nX-Request-Id: direct\r\nAuthorization: Bearer key\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Answers every request with a grant, as a dispatch thread with free servers does. */
class GrantingDispatch
{
public:
    GrantingDispatch() : m_ring(8192)
    {
    }
    ~GrantingDispatch()
    {
        m_stopping = true;
        m_thread.join();
    }
    GrantingDispatch(const GrantingDispatch &) = delete;
    GrantingDispatch &operator=(const GrantingDispatch &) = delete;

    BoundedRing<gateway::ServingEvent> &ring()
    {
        return m_ring;
    }

    void start(gateway::Gateway &gateway)
    {
        m_thread = std::thread([this, &gateway] {
            std::vector<gateway::ServingEvent> events;
            while (!m_stopping) {
                events.clear();
                m_ring.waitAndTake(events, milliseconds(20));
                for (gateway::ServingEvent &event : events) {
                    if (const auto *request = std::get_if<gateway::ServingRequest>(&event)) {
                        grant(gateway, *request);
                    }
                }
            }
        });
    }

private:
    void grant(gateway::Gateway &gateway, const gateway::ServingRequest &request)
    {
        gateway::ServingGrant content;
        content.grant = ++m_grants;
        content.address = loopback(static_cast<std::uint16_t>(firstEnginePort + m_grants % engines));
        content.served = "base";
        content.deadline = request.deadline;
        content.repeatable = true;
        gateway::ServingReply reply{request.id, std::move(content)};
        while (!gateway.reply(request.gatewayThread, reply)) {
            std::this_thread::yield();
        }
    }

    BoundedRing<gateway::ServingEvent> m_ring;
    std::uint64_t m_grants = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

/** A client connection that sends one call at a time. */
struct Client
{
    explicit Client(asio::io_context &context) : socket(context)
    {
    }
    tcp::socket socket;
    std::string received;
    std::array<char, 65'536> space{};
};

asio::awaitable<bool> readMore(Client &client)
{
    const auto [error, bytes] = co_await client.socket.async_read_some(asio::buffer(client.space), asio::as_tuple(asio::use_awaitable));
    client.received.append(client.space.data(), bytes);
    co_return !error;
}

/** Sends a call and reads its whole answer. Returns the number of events of a stream, 1 for an answer with a length, 0 after a failure. */
asio::awaitable<std::uint64_t> exchange(Client &client, const std::string &call)
{
    client.received.clear();
    const auto [error, bytes] = co_await asio::async_write(client.socket, asio::buffer(call), asio::as_tuple(asio::use_awaitable));
    if (error || bytes != call.size()) {
        co_return 0;
    }
    std::size_t headEnd = std::string::npos;
    while (headEnd == std::string::npos) {
        if (!co_await readMore(client)) {
            co_return 0;
        }
        headEnd = client.received.find("\r\n\r\n");
    }
    if (client.received.compare(0, 12, "HTTP/1.1 200") != 0) {
        co_return 0;
    }
    const std::size_t lengthAt = client.received.find("Content-Length: ");
    if (lengthAt < headEnd) {
        const std::size_t total = headEnd + 4 + std::stoul(client.received.substr(lengthAt + 16, 10));
        while (client.received.size() < total) {
            if (!co_await readMore(client)) {
                co_return 0;
            }
        }
        co_return 1;
    }
    std::uint64_t events = 0;
    client.received.erase(0, headEnd + 4);
    for (;;) {
        for (const char *at = client.received.data(), *end = at + client.received.size();
             (at = static_cast<const char *>(memmem(at, static_cast<std::size_t>(end - at), "data: ", 6))) != nullptr;
             at += 6) {
            ++events;
        }
        const bool last = client.received.ends_with("\r\n0\r\n\r\n");
        // The end of a piece may hold the start of the next mark.
        const std::size_t kept = std::min<std::size_t>(client.received.size(), 5);
        client.received.erase(0, client.received.size() - kept);
        if (last) {
            co_return events;
        }
        if (!co_await readMore(client)) {
            co_return 0;
        }
    }
}

asio::awaitable<std::unique_ptr<Client>> openClient(asio::io_context &context, std::string address)
{
    auto client = std::make_unique<Client>(context);
    const auto [error] = co_await client->socket.async_connect(*parseEndpoint(address), asio::as_tuple(asio::use_awaitable));
    if (error) {
        std::printf("cannot connect to %s\n", address.c_str());
        std::exit(1);
    }
    client->socket.set_option(tcp::no_delay(true));
    co_return client;
}

struct Latencies
{
    std::vector<double> direct;
    std::vector<double> through;
    std::uint64_t failed = 0;
};

double quantile(std::vector<double> &values, double part)
{
    if (values.empty()) {
        return -1;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}

/** Sends a call each @p interval, in turn directly and through the gateway; so both see the same state of the machine. */
asio::awaitable<void> measureLatency(asio::io_context &context, Duration interval, Duration offset, Latencies &latencies)
{
    const auto direct = co_await openClient(context, loopback(firstEnginePort));
    const auto through = co_await openClient(context, loopback(callerPort));
    const std::string call = callText(1, false);
    asio::steady_timer timer(context);
    TimePoint next = std::chrono::steady_clock::now() + offset;
    const TimePoint end = next + runTime;
    bool viaGateway = false;
    while (next < end) {
        timer.expires_at(next);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const TimePoint start = std::chrono::steady_clock::now();
        Client &client = viaGateway ? *through : *direct;
        const std::uint64_t answers = co_await exchange(client, call);
        const double microseconds = toSeconds(std::chrono::steady_clock::now() - start) * 1e6;
        latencies.failed += answers == 0 ? 1 : 0;
        (viaGateway ? latencies.through : latencies.direct).push_back(microseconds);
        viaGateway = !viaGateway;
        next += interval;
    }
}

double cpuSeconds()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &value) {
        return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_usec) * 1e-6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

void runLatency()
{
    // 40 connections with 100 calls/s each: 2,000/s through the gateway and 2,000/s directly.
    constexpr int connections = 40;
    asio::io_context context(1);
    Latencies latencies;
    for (int i = 0; i < connections; ++i) {
        asio::co_spawn(context, measureLatency(context, milliseconds(10), std::chrono::microseconds(250 * i), latencies), asio::detached);
    }
    context.run();
    const double directMedian = quantile(latencies.direct, 0.5);
    const double directTail = quantile(latencies.direct, 0.99);
    const double median = quantile(latencies.through, 0.5);
    const double tail = quantile(latencies.through, 0.99);
    std::printf("latency at 2000 requests/s: %zu calls, %llu failed\n", latencies.through.size(), static_cast<unsigned long long>(latencies.failed));
    std::printf("  direct      median %7.1f us  p99 %7.1f us\n", directMedian, directTail);
    std::printf("  gateway     median %7.1f us  p99 %7.1f us\n", median, tail);
    std::printf("  added       median %7.1f us (target 150)  p99 %7.1f us (target 1000)\n", median - directMedian, tail - directTail);
}

struct Load
{
    std::uint64_t answers = 0;
    std::uint64_t failed = 0;
};

asio::awaitable<void> sendCalls(asio::io_context &context, const std::string &call, TimePoint end, Load &load)
{
    const auto client = co_await openClient(context, loopback(callerPort));
    while (std::chrono::steady_clock::now() < end) {
        const std::uint64_t answers = co_await exchange(*client, call);
        load.answers += answers;
        if (answers == 0) {
            ++load.failed;
            co_return;
        }
    }
}

/** Closed loop over @p connections connections on each of @p threads client threads. */
void runLoad(const char *name, const std::string &call, int threads, int connections, double target)
{
    const double cpuBefore = cpuSeconds();
    const TimePoint start = std::chrono::steady_clock::now();
    std::vector<Load> loads(static_cast<std::size_t>(threads));
    std::vector<std::thread> clients;
    for (Load &load : loads) {
        clients.emplace_back([&] {
            asio::io_context context(1);
            for (int i = 0; i < connections; ++i) {
                asio::co_spawn(context, sendCalls(context, call, start + runTime, load), asio::detached);
            }
            context.run();
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    const double elapsed = toSeconds(std::chrono::steady_clock::now() - start);
    Load total;
    for (const Load &load : loads) {
        total.answers += load.answers;
        total.failed += load.failed;
    }
    std::printf("%s: %.0f/s (target %.0f), %llu failed, %.2f cores for clients, engines and gateway\n",
                name,
                static_cast<double>(total.answers) / elapsed,
                target,
                static_cast<unsigned long long>(total.failed),
                (cpuSeconds() - cpuBefore) / elapsed);
}

} // namespace

int main(int argc, char **argv)
{
    const std::string_view chosen = argc > 1 ? argv[1] : "";
    if (sodium_init() < 0) {
        return 1;
    }
    std::vector<std::unique_ptr<standin::Engine>> servers;
    for (std::uint16_t i = 0; i < engines; ++i) {
        standin::EngineOptions options;
        options.address = loopback(static_cast<std::uint16_t>(firstEnginePort + i));
        options.tokenTime = Duration::zero();
        servers.push_back(std::make_unique<standin::Engine>(std::move(options)));
        servers.back()->start();
    }
    settings::Settings settings;
    settings.callerAddress = loopback(callerPort);
    settings.gatewayThreads = gatewayThreads;
    settings.ringCapacity = 8192;
    settings.maximumConnections = 1000;
    settings.maximumHeadBytes = 16'384;
    settings.maximumBodyBytes = 1U << 20U;
    settings.headTimeout = settings.idleTimeout = settings.requestDeadline = seconds(30);
    settings.drainTimeout = seconds(1);
    gateway::GatewayPorts ports;
    ports.hashKey = [](std::string_view key) {
        KeyHash hash{};
        crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char *>(key.data()), key.size(), nullptr, 0);
        return hash;
    };
    ports.metricsText = [] {
        return std::string();
    };
    GrantingDispatch dispatch;
    gateway::Gateway gateway(settings, std::move(ports), dispatch.ring());
    gateway.start();
    dispatch.start(gateway);
    std::printf("%u gateway threads, %u stand-in engines, %u cores online\n", gatewayThreads, engines, std::thread::hardware_concurrency());
    if (chosen.empty() || chosen == "latency") {
        runLatency();
    }
    if (chosen.empty() || chosen == "requests") {
        runLoad("short requests", callText(1, false), 2, 32, 15'000);
    }
    if (chosen.empty() || chosen == "chunks") {
        runLoad("streamed chunks", callText(500, true), 2, 32, 200'000);
    }
    gateway.drain();
    return 0;
}

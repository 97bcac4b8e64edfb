#include "mimosahollow/link/linknetwork.h"

// The certificates of the tests serve here too; a benchmark is one source file.
#include "../tests/link/certificates.cpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>
#include <vector>

// Round trips and messages a second between two links on loopback, with and without TLS, next to a bare TCP connection.

using namespace mimosahollow;
using namespace mimosahollow::link;

namespace {

constexpr std::size_t payloadBytes = 100; // about a heartbeat
constexpr std::size_t roundTrips = 20'000;
constexpr std::size_t messages = 500'000;
constexpr seconds patience{30};

using Clock = std::chrono::steady_clock;

void printRoundTrips(const char *name, std::vector<double> microseconds)
{
    std::sort(microseconds.begin(), microseconds.end());
    std::printf("%-22s round trip median %.1f us, p99 %.1f us\n", name, microseconds[microseconds.size() / 2], microseconds[microseconds.size() * 99 / 100]);
}

struct Peer
{
    Peer(const std::string &name, const TlsFiles &tls) : ring(65'536)
    {
        LinkOptions options;
        options.fleet = "benchmark";
        options.self = {name, "a", "127.0.0.1:0", 1};
        options.tls = tls;
        network = std::make_unique<LinkNetwork>(options, ring);
        const std::string error = network->start();
        if (!error.empty()) {
            throw std::runtime_error(error);
        }
    }

    void waitForPeer()
    {
        const auto deadline = Clock::now() + patience;
        while (Clock::now() < deadline) {
            events.clear();
            ring.waitAndTake(events, milliseconds(100));
            for (const LinkEvent &event : events) {
                if (std::holds_alternative<PeerUp>(event)) {
                    return;
                }
            }
        }
        throw std::runtime_error("the peer did not connect");
    }

    /** Waits for events and returns the number of frames among them. */
    std::size_t takeFrames()
    {
        events.clear();
        ring.waitAndTake(events, milliseconds(100));
        return static_cast<std::size_t>(std::count_if(events.begin(), events.end(), [](const LinkEvent &event) {
            return std::holds_alternative<ReceivedFrame>(event);
        }));
    }

    BoundedRing<LinkEvent> ring;
    std::vector<LinkEvent> events;
    std::unique_ptr<LinkNetwork> network;
};

void sendOne(LinkNetwork &network, const char *to)
{
    while (!network.send(to, MessageKind::Heartbeat, std::vector<std::uint8_t>(payloadBytes))) {
        std::this_thread::yield();
    }
}

void measureRoundTrips(const char *name, Peer &a, Peer &b)
{
    std::thread echo([&b] {
        for (std::size_t done = 0; done < roundTrips;) {
            const std::size_t frames = b.takeFrames();
            for (std::size_t i = 0; i < frames; ++i) {
                sendOne(*b.network, "a");
            }
            done += frames;
        }
    });
    std::vector<double> times;
    for (std::size_t i = 0; i < roundTrips; ++i) {
        const auto start = Clock::now();
        sendOne(*a.network, "b");
        while (a.takeFrames() == 0) {}
        times.push_back(toSeconds(Clock::now() - start) * 1e6);
    }
    echo.join();
    printRoundTrips(name, std::move(times));
}

void measureThroughput(const char *name, Peer &a, Peer &b)
{
    const auto start = Clock::now();
    std::size_t refused = 0;
    std::thread sender([&] {
        for (std::size_t i = 0; i < messages; ++i) {
            while (!a.network->send("b", MessageKind::Heartbeat, std::vector<std::uint8_t>(payloadBytes))) {
                ++refused;
                std::this_thread::sleep_for(std::chrono::microseconds(50));
            }
        }
    });
    for (std::size_t received = 0; received < messages;) {
        received += b.takeFrames();
    }
    const double duration = toSeconds(Clock::now() - start);
    sender.join();
    std::printf("%-22s %.0f messages/s of %zu bytes, %zu sends found the queue full\n", name, static_cast<double>(messages) / duration, payloadBytes, refused);
}

void measureLink(const char *name, const TlsFiles &tls)
{
    Peer a("a", tls);
    Peer b("b", tls);
    a.network->connect("127.0.0.1:" + std::to_string(b.network->port()));
    a.waitForPeer();
    b.waitForPeer();
    measureRoundTrips(name, a, b);
    measureThroughput(name, a, b);
    a.network->stop();
    b.network->stop();
}

void measureBareTcp()
{
    namespace asio = boost::asio;
    using asio::ip::tcp;
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket client(context);
    client.connect(acceptor.local_endpoint());
    tcp::socket server = acceptor.accept();
    client.set_option(tcp::no_delay(true));
    server.set_option(tcp::no_delay(true));
    std::thread echo([&server] {
        std::vector<std::uint8_t> buffer(payloadBytes);
        for (std::size_t i = 0; i < roundTrips; ++i) {
            asio::read(server, asio::buffer(buffer));
            asio::write(server, asio::buffer(buffer));
        }
    });
    std::vector<std::uint8_t> buffer(payloadBytes);
    std::vector<double> times;
    for (std::size_t i = 0; i < roundTrips; ++i) {
        const auto start = Clock::now();
        asio::write(client, asio::buffer(buffer));
        asio::read(client, asio::buffer(buffer));
        times.push_back(toSeconds(Clock::now() - start) * 1e6);
    }
    echo.join();
    printRoundTrips("bare blocking TCP", std::move(times));
}

} // namespace

int main()
{
    measureBareTcp();
    measureLink("link without TLS", {});
    const test::Folder folder;
    measureLink("link with TLS", test::makeCertificates(folder, "benchmark"));
    return 0;
}

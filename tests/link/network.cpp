#include "certificates.h"

#include "link/frame.h"
#include "mimosahollow/link/fleetcodec.h"
#include "mimosahollow/link/linknetwork.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <thread>

using namespace mimosahollow;
using namespace mimosahollow::link;
using namespace mimosahollow::link::test;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::uint64_t seed = 20261204;
/** Bound on waiting for an event that must come; it only ends a failing test. */
constexpr seconds eventTimeout{20};

/** An instance with its ring of events. */
struct Instance
{
    explicit Instance(const std::string &name,
                      const std::string &fleet = "fleet",
                      const TlsFiles &tls = {},
                      const std::string &address = "127.0.0.1:0",
                      std::uint64_t incarnation = 1,
                      std::size_t ringCapacity = 1024)
        : ring(ringCapacity)
    {
        LinkOptions options;
        options.fleet = fleet;
        options.self = {name, "a", address, incarnation};
        options.tls = tls;
        options.seed = seed;
        options.sendQueueFrames = 64;
        options.reconnectDelay = milliseconds(5);
        options.maximumReconnectDelay = milliseconds(20);
        network = std::make_unique<LinkNetwork>(options, ring);
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(network->port());
    }

    /** Takes events until one of type @p Event arrives, and returns it. */
    template<typename Event>
    Event waitFor()
    {
        const auto deadline = std::chrono::steady_clock::now() + eventTimeout;
        while (std::chrono::steady_clock::now() < deadline) {
            while (!events.empty()) {
                LinkEvent event = std::move(events.front());
                events.erase(events.begin());
                if (auto *wanted = std::get_if<Event>(&event)) {
                    return std::move(*wanted);
                }
            }
            ring.waitAndTake(events, milliseconds(100));
        }
        throw std::runtime_error("an expected event did not arrive");
    }

    BoundedRing<LinkEvent> ring;
    std::vector<LinkEvent> events;
    std::unique_ptr<LinkNetwork> network;
};

/** A client that speaks the protocol by hand, or breaks it. */
struct RawClient
{
    explicit RawClient(std::uint16_t port) : socket(context)
    {
        socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), port));
    }

    void sendFrame(MessageKind kind, const std::vector<std::uint8_t> &payload)
    {
        sendBytes(std::vector<std::uint8_t>(payload), makeFrameHeader(payload.size(), kind));
    }

    void sendBytes(const std::vector<std::uint8_t> &bytes, std::optional<FrameHeader> header = {})
    {
        boost::system::error_code ignored; // the other side may have closed already, which is what the test expects
        if (header) {
            asio::write(socket, asio::buffer(*header), ignored);
        }
        asio::write(socket, asio::buffer(bytes), ignored);
    }

    void sendHello(const std::string &fleet = "fleet", std::uint16_t version = protocolVersion)
    {
        sendFrame(MessageKind::Hello, encode(membership::Hello{fleet, {"raw", "a", "127.0.0.1:1", 1}, version, version}));
    }

    asio::io_context context;
    tcp::socket socket;
};

std::vector<std::uint8_t> numbered(std::uint32_t number)
{
    return {static_cast<std::uint8_t>(number), static_cast<std::uint8_t>(number >> 8U)};
}

} // namespace

// Guards against lost or reordered frames, and against a link that does not come back after a restart.
TEST_CASE("Two instances exchange frames")
{
    Instance a("a1");
    Instance b("b1");
    REQUIRE(a.network->start().empty());
    REQUIRE(b.network->start().empty());
    a.network->connect(b.address());
    REQUIRE(a.waitFor<PeerUp>().peer.name == "b1");
    REQUIRE(b.waitFor<PeerUp>().peer.linkAddress == a.address());

    SECTION("frames arrive once and in order")
    {
        for (std::uint32_t next = 1; next <= 1000; ++next) {
            REQUIRE(a.network->send("b1", MessageKind::Heartbeat, numbered(next)));
            const ReceivedFrame frame = b.waitFor<ReceivedFrame>();
            REQUIRE(frame.peer == "a1");
            REQUIRE(frame.kind == MessageKind::Heartbeat);
            REQUIRE(frame.payload == numbered(next));
        }
    }

    SECTION("a connection in the other direction is refused, because the instance with the smaller name has one")
    {
        b.network->connect(a.address());
        REQUIRE(a.waitFor<PeerRefused>().reason == "the peer is connected already");
        REQUIRE(a.network->send("b1", MessageKind::Heartbeat, numbered(1)));
        REQUIRE(b.waitFor<ReceivedFrame>().payload == numbered(1));
    }

    SECTION("the largest payload passes, a larger one is refused at the sender")
    {
        std::vector<std::uint8_t> payload(maximumPayloadBytes, 7);
        REQUIRE_FALSE(a.network->send("b1", MessageKind::Update, std::vector<std::uint8_t>(maximumPayloadBytes + 1)));
        REQUIRE(a.network->send("b1", MessageKind::Update, payload));
        REQUIRE(b.waitFor<ReceivedFrame>().payload == payload);
    }

    SECTION("a restarted peer is connected again, and the end of the old connection is reported first")
    {
        const std::string address = b.address();
        b.network->stop();
        REQUIRE(a.waitFor<PeerDown>().peer == "b1");
        Instance restarted("b1", "fleet", {}, address, 2);
        REQUIRE(restarted.network->start().empty());
        REQUIRE(a.waitFor<PeerUp>().peer.incarnation == 2);
        restarted.network->stop();
    }

    SECTION("a frame to an unknown peer is refused")
    {
        REQUIRE_FALSE(a.network->send("c1", MessageKind::Heartbeat, {}));
    }
    a.network->stop();
    b.network->stop();
    REQUIRE_FALSE(a.network->send("b1", MessageKind::Heartbeat, {}));
}

// Guards against two lasting connections between the same instances, on which frames could overtake each other.
TEST_CASE("The connection of the instance with the smaller name replaces the other one")
{
    Instance a("a1");
    Instance b("b1");
    REQUIRE(a.network->start().empty());
    REQUIRE(b.network->start().empty());
    b.network->connect(a.address());
    static_cast<void>(a.waitFor<PeerUp>());
    // The dialer of a does not know yet who answers at the address, so it connects once.
    a.network->connect(b.address());
    static_cast<void>(a.waitFor<PeerDown>());
    static_cast<void>(a.waitFor<PeerUp>());
    REQUIRE(a.network->send("b1", MessageKind::Heartbeat, numbered(1)));
    REQUIRE(b.waitFor<ReceivedFrame>().payload == numbered(1));
    a.network->stop();
    b.network->stop();
}

// Guards against unbounded memory and silent drops when a peer does not read.
TEST_CASE("A slow reader fills the send queue")
{
    Instance a("a1");
    Instance slow("b1", "fleet", {}, "127.0.0.1:0", 1, 4);
    REQUIRE(a.network->start().empty());
    REQUIRE(slow.network->start().empty());
    a.network->connect(slow.address());
    static_cast<void>(a.waitFor<PeerUp>());

    const std::vector<std::uint8_t> payload(1U << 20U, 1);
    std::size_t accepted = 0;
    while (accepted < 1000 && a.network->send("b1", MessageKind::Update, payload)) {
        ++accepted;
    }
    REQUIRE(accepted < 1000); // refused within the bound of the queue and the buffers of the kernel
    SECTION("every accepted frame arrives once the reader reads")
    {
        for (std::size_t i = 0; i < accepted; ++i) {
            REQUIRE(slow.waitFor<ReceivedFrame>().payload.size() == payload.size());
        }
        while (!a.network->send("b1", MessageKind::Confirm, {})) {
            std::this_thread::yield();
        }
        REQUIRE(slow.waitFor<ReceivedFrame>().kind == MessageKind::Confirm);
    }
    a.network->stop();
    slow.network->stop();
}

// Guards against strangers, other fleets and malformed bytes on the link port.
TEST_CASE("A link refuses what does not belong to the fleet")
{
    Instance a("a1");
    REQUIRE(a.network->start().empty());

    SECTION("another fleet")
    {
        RawClient client(a.network->port());
        client.sendHello("other");
        REQUIRE(a.waitFor<PeerRefused>().reason.find("another fleet: other") != std::string::npos);
    }
    SECTION("an unsupported version in the Hello, or in the frame")
    {
        RawClient first(a.network->port());
        first.sendHello("fleet", protocolVersion + 1);
        REQUIRE(a.waitFor<PeerRefused>().reason.find("protocol versions 2 to 2") != std::string::npos);
        RawClient second(a.network->port());
        second.sendBytes({1, 0, 0, 0, 9, 0, 1, 0, 0});
        REQUIRE(a.waitFor<PeerRefused>().reason.find("unsupported protocol version") != std::string::npos);
    }
    SECTION("an oversized frame, before and after the Hello")
    {
        RawClient first(a.network->port());
        first.sendFrame(MessageKind::Hello, std::vector<std::uint8_t>(maximumHelloBytes + 1));
        REQUIRE(a.waitFor<PeerRefused>().reason.find("larger than allowed") != std::string::npos);
        RawClient second(a.network->port());
        second.sendHello();
        second.sendBytes({0xFF, 0xFF, 0xFF, 0xFF, 1, 0, 2, 0});
        REQUIRE(a.waitFor<PeerUp>().peer.name == "raw");
        REQUIRE(a.waitFor<PeerDown>().reason.find("larger than allowed") != std::string::npos);
    }
    SECTION("a first frame that is no Hello, and a Hello that is malformed")
    {
        RawClient first(a.network->port());
        first.sendFrame(MessageKind::Heartbeat, {1, 2, 3});
        REQUIRE(a.waitFor<PeerRefused>().reason.find("not a Hello") != std::string::npos);
        RawClient second(a.network->port());
        second.sendFrame(MessageKind::Hello, {1, 2, 3});
        REQUIRE(a.waitFor<PeerRefused>().reason.find("malformed") != std::string::npos);
    }
    SECTION("random bytes, after which the link still works")
    {
        WARN("seed " << seed);
        std::mt19937_64 random(seed);
        for (int i = 0; i < 50; ++i) {
            std::vector<std::uint8_t> bytes(1 + random() % 2000);
            std::generate(bytes.begin(), bytes.end(), [&random] {
                return static_cast<std::uint8_t>(random());
            });
            {
                RawClient client(a.network->port());
                client.sendBytes(bytes);
            }
            static_cast<void>(a.waitFor<PeerRefused>());
        }
        RawClient client(a.network->port());
        client.sendHello();
        REQUIRE(a.waitFor<PeerUp>().peer.name == "raw");
    }
    SECTION("a peer that connects and stays silent")
    {
        BoundedRing<LinkEvent> ring(16);
        LinkOptions options;
        options.fleet = "fleet";
        options.self = {"c1", "a", "127.0.0.1:0", 1};
        options.handshakeTimeout = milliseconds(20);
        LinkNetwork impatient(options, ring);
        REQUIRE(impatient.start().empty());
        RawClient client(impatient.port());
        std::vector<LinkEvent> events;
        ring.waitAndTake(events, eventTimeout);
        REQUIRE(events.size() == 1);
        REQUIRE(std::holds_alternative<PeerRefused>(events.front()));
        impatient.stop();
    }
    SECTION("a Hello with its own name")
    {
        RawClient client(a.network->port());
        client.sendFrame(MessageKind::Hello, encode(membership::Hello{"fleet", {"a1", "a", "127.0.0.1:1", 1}, 1, 1}));
        REQUIRE(a.waitFor<PeerRefused>().reason.find("own") != std::string::npos);
    }
    a.network->stop();
}

// Guards against links that strangers can join or read.
TEST_CASE("Links with TLS")
{
    const Folder folder;
    const TlsFiles files = makeCertificates(folder, "fleet");
    const TlsFiles foreign = makeCertificates(folder, "foreign");

    SECTION("off loopback the link does not start without TLS")
    {
        Instance open("a1", "fleet", {}, "0.0.0.0:0");
        REQUIRE(open.network->start().find("need TLS") != std::string::npos);
    }
    SECTION("a file that is no certificate is named")
    {
        Instance broken("a1", "fleet", {files.privateKey, files.privateKey, files.authority});
        REQUIRE(broken.network->start().find(files.privateKey) != std::string::npos);
    }
    SECTION("with certificates of the same authority, frames pass")
    {
        Instance a("a1", "fleet", files);
        Instance b("b1", "fleet", files);
        REQUIRE(a.network->start().empty());
        REQUIRE(b.network->start().empty());
        a.network->connect(b.address());
        static_cast<void>(a.waitFor<PeerUp>());
        REQUIRE(a.network->send("b1", MessageKind::Update, std::vector<std::uint8_t>(300'000, 3)));
        REQUIRE(b.waitFor<ReceivedFrame>().payload.size() == 300'000);

        SECTION("after a reload new connections use the new files")
        {
            std::filesystem::copy_file(foreign.certificate, files.certificate, std::filesystem::copy_options::overwrite_existing);
            std::filesystem::copy_file(foreign.privateKey, files.privateKey, std::filesystem::copy_options::overwrite_existing);
            std::filesystem::copy_file(foreign.authority, files.authority, std::filesystem::copy_options::overwrite_existing);
            REQUIRE(a.network->reloadTls().empty());
            std::filesystem::remove(files.certificate);
            REQUIRE_FALSE(a.network->reloadTls().empty()); // the files of the last good reload stay in use
            Instance c("c1", "fleet", foreign);
            REQUIRE(c.network->start().empty());
            c.network->connect(a.address());
            REQUIRE(c.waitFor<PeerUp>().peer.name == "a1");
            c.network->stop();
        }
        a.network->stop();
        b.network->stop();
    }
    SECTION("a certificate of another authority is refused, and so is a peer without TLS")
    {
        Instance a("a1", "fleet", files);
        Instance stranger("b1", "fleet", foreign);
        REQUIRE(a.network->start().empty());
        REQUIRE(stranger.network->start().empty());
        stranger.network->connect(a.address());
        REQUIRE(a.waitFor<PeerRefused>().reason.find("TLS handshake") != std::string::npos);
        REQUIRE(stranger.waitFor<PeerRefused>().reason.find("TLS handshake") != std::string::npos);
        stranger.network->stop();
        RawClient client(a.network->port());
        client.sendHello();
        REQUIRE(a.waitFor<PeerRefused>().reason.find("TLS handshake") != std::string::npos);
        a.network->stop();
    }
}

#include "support/gatewayfixture.h"
#include "support/rawsocket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace mimosahollow;
using namespace mimosahollow::tests;

namespace {

/** Reads the head of one request, answers it and resets the connection while the body is still being written. */
class ResettingServer
{
public:
    explicit ResettingServer(std::string answer) : m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0})
    {
        m_thread = std::thread([this, answer = std::move(answer)] {
            boost::system::error_code error;
            boost::asio::ip::tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            std::string head;
            const std::size_t length = boost::asio::read_until(socket, boost::asio::dynamic_buffer(head), "\r\n\r\n", error);
            head.resize(length);
            const std::size_t at = head.find("X-Request-Id: ");
            const std::string id = at == std::string::npos ? std::string() : head.substr(at, head.find("\r\n", at) + 2 - at);
            boost::asio::write(socket, boost::asio::buffer("HTTP/1.1 200 OK\r\n" + id + "\r\n" + answer), error);
            socket.set_option(boost::asio::socket_base::linger(true, 0), error);
            socket.close(error);
        });
    }
    ~ResettingServer()
    {
        const RawSocket last(address()); // ends a pending accept
        m_thread.join();
    }
    ResettingServer(const ResettingServer &) = delete;
    ResettingServer &operator=(const ResettingServer &) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace

// Guards against a part of an answer that reaches the caller as the whole, since the write of the upload has taken the error of the reset.
TEST_CASE("An answer without a length whose connection is reset during the upload is a failure")
{
    settings::Settings settings = gatewaySettings();
    settings.maximumBodyBytes = 8'000'000;
    const std::string filler(4'000'000, 'u');
    SECTION("a plain call")
    {
        const ResettingServer server("half");
        GatewayFixture fixture(engineOptions(), grantsOnce(server.address()), settings);
        const Answer received = fixture.client().call(request("POST", "/registry/entries", "\"" + filler + "\""));
        CHECK(received.status == 502);
        CHECK(received.error("outcome") == "unknown");
    }
    SECTION("a stream")
    {
        const ResettingServer server("data: {\"choices\":[{\"delta\":{\"content\":\"word0 \"}}]}\n\n");
        GatewayFixture fixture(engineOptions(), grantsOnce(server.address()), settings);
        const Answer received = fixture.client().call(chatCall(3, true, R"(,"filler":")" + filler + "\""));
        CHECK(received.body().find("backend-failed") != std::string::npos);
    }
}

#pragma once

#include "rawsocket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace mimosahollow::tests {

/** A backend server that answers each request with bytes that the test writes. One connection at a time. */
class ScriptedServer
{
public:
    struct Reply
    {
        std::string bytes; /**< "ID" stands for the id of the request. */
        bool closes = false; /**< The connection, after them. */
    };
    /** Called on the thread of the server with the number of the request, from 1, and its id. */
    using Script = std::function<Reply(unsigned number, const std::string &id)>;

    explicit ScriptedServer(Script script) : address(freeAddress()), m_script(std::move(script)), m_acceptor(m_context)
    {
        const std::size_t colon = address.rfind(':');
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address.substr(0, colon)),
                                                      static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        m_thread = std::thread([this] {
            serve();
        });
    }
    ~ScriptedServer()
    {
        m_isStopping = true;
        const RawSocket last(address); // ends a pending accept
        m_thread.join();
    }
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    const std::string address;

private:
    void serve()
    {
        while (!m_isStopping) {
            boost::system::error_code error;
            boost::asio::ip::tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            std::string buffer;
            bool isOpen = !error && !m_isStopping;
            while (isOpen) {
                const std::size_t length = boost::asio::read_until(socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", error);
                if (error) {
                    break;
                }
                const std::string head = buffer.substr(0, length);
                const std::string id = fieldOf(head, "X-Request-Id: ");
                const std::string bodyLength = fieldOf(head, "Content-Length: ");
                buffer.erase(0, length);
                const std::size_t missing = (bodyLength.empty() ? 0 : std::stoul(bodyLength)) - buffer.size();
                boost::asio::read(socket, boost::asio::dynamic_buffer(buffer), boost::asio::transfer_exactly(missing), error);
                buffer.clear();
                Reply reply = m_script(++m_requests, id);
                for (std::size_t at = reply.bytes.find("ID"); at != std::string::npos; at = reply.bytes.find("ID", at + id.size())) {
                    reply.bytes.replace(at, 2, id);
                }
                boost::asio::write(socket, boost::asio::buffer(reply.bytes), error);
                isOpen = !error && !reply.closes;
            }
        }
    }

    static std::string fieldOf(const std::string &head, const std::string &name)
    {
        const std::size_t at = head.find("\r\n" + name);
        const std::size_t begin = at + 2 + name.size();
        return at == std::string::npos ? std::string() : head.substr(begin, head.find("\r\n", begin) - begin);
    }

    Script m_script;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_isStopping = false;
    unsigned m_requests = 0;
    std::thread m_thread;
};

} // namespace mimosahollow::tests

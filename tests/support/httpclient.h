#pragma once

#include "rawsocket.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/parse.hpp>

namespace mimosahollow::tests {

/** An answer as the client saw it. */
struct Answer
{
    unsigned status = 0; /**< 0: no answer. */
    boost::beast::http::response<boost::beast::http::string_body> message;
    bool complete = false; /**< The framing says that nothing is missing. */

    [[nodiscard]] std::string header(std::string_view name) const
    {
        return std::string(message[boost::beast::string_view(name.data(), name.size())]);
    }
    [[nodiscard]] const std::string &body() const
    {
        return message.body();
    }
    /** Member of "error" in a JSON body. */
    [[nodiscard]] std::string error(std::string_view member) const
    {
        boost::json::error_code code;
        const auto value = boost::json::parse(message.body(), code);
        const auto *found = code ? nullptr : value.find_pointer("/error/" + std::string(member), code);
        return found != nullptr && found->is_string() ? std::string(found->get_string()) : std::string();
    }
};

/** An HTTP client on one connection that sends any bytes it is told to. */
class HttpClient
{
public:
    explicit HttpClient(const std::string &address) : m_socket(address)
    {
    }

    RawSocket &socket()
    {
        return m_socket;
    }

    bool send(std::string_view text)
    {
        return m_socket.send(text);
    }

    /** Reads bytes until @p text has arrived. They stay for read(). */
    [[nodiscard]] bool awaitText(std::string_view text)
    {
        while (m_received.find(text) == std::string::npos) {
            if (m_socket.receive(m_received) != RawSocket::Read::Data) {
                return false;
            }
        }
        return true;
    }

    /** Bytes that arrived and were not read. */
    [[nodiscard]] const std::string &received() const
    {
        return m_received;
    }

    /** Drops what has been received. */
    void forget()
    {
        m_received.clear();
    }

    /** Reads one answer; @p head for an answer to HEAD. */
    Answer read(bool head = false)
    {
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        parser.skip(head);
        parser.eager(true);
        parser.body_limit(boost::none);
        bool ended = false;
        boost::system::error_code error;
        while (!parser.is_done() && !ended) {
            const std::size_t used = m_received.empty() ? 0 : parser.put(boost::asio::buffer(m_received), error);
            m_received.erase(0, used);
            if (parser.is_done() || (error && error != boost::beast::http::error::need_more)) {
                break;
            }
            ended = m_socket.receive(m_received) != RawSocket::Read::Data;
        }
        if (ended && parser.is_header_done()) {
            error = {};
            parser.put_eof(error);
        }
        Answer answer;
        answer.status = parser.is_header_done() ? parser.get().result_int() : 0;
        answer.complete = parser.is_done();
        answer.message = parser.release();
        return answer;
    }

    Answer call(std::string_view text, bool head = false)
    {
        return send(text) ? read(head) : Answer{};
    }

    /** Whether the other side closes the connection without sending more. */
    [[nodiscard]] bool awaitEnd()
    {
        return m_received.empty() && m_socket.receive(m_received) == RawSocket::Read::End;
    }

private:
    RawSocket m_socket;
    std::string m_received;
};

inline std::string request(std::string_view method, std::string_view target, std::string_view body = {}, std::string_view headers = {})
{
    std::string text = std::string(method) + " " + std::string(target) + " HTTP/1.1\r\nHost: test\r\n" + std::string(headers);
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + std::string(body);
}

/** A chat call for @p tokens tokens; @p fields are further JSON members, each with a comma before it. */
inline std::string chatCall(std::uint32_t tokens, bool stream, std::string_view fields = {}, std::string_view headers = "Authorization: Bearer secret-key\r\n")
{
    const std::string body = R"({"model":"base:greeting","messages":[{"role":"user","content":"hello"}],"max_tokens":)" + std::to_string(tokens)
                             + ",\"stream\":" + (stream ? "true" : "false") + std::string(fields) + "}";
    return request("POST", "/v1/chat/completions", body, headers);
}

inline std::size_t count(std::string_view text, std::string_view part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string_view::npos; at = text.find(part, at + part.size())) {
        ++found;
    }
    return found;
}

} // namespace mimosahollow::tests

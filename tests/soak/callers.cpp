#include "callers.h"

#include "async.h"

#include "platform/names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

namespace mimosahollow::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using namespace std::chrono_literals;

namespace {

constexpr unsigned adapterCount = 12;
constexpr unsigned missesUntilOut = 2;

struct ClassTraits
{
    const char *path;
    const char *service;
    bool mayRunAgain;
    unsigned maximumAttempts;
    double timeLimit; // ms
};

constexpr std::array<ClassTraits, 4> classes{ClassTraits{"/chat/", "llm", true, 2, 8000},
                                             ClassTraits{"/query/", "llm", false, 1, 8000},
                                             ClassTraits{"/submit/", "ledger", false, 2, 1000},
                                             ClassTraits{"/lookup/", "ledger", true, 2, 1000}};

const ClassTraits &traitsOf(CallClass kind)
{
    return classes.at(static_cast<std::size_t>(kind));
}

/** Whether @p body is the whole stream of the call @p id: each event once, in order, up to the last. */
bool isWholeStream(const std::string &body, const std::string &id)
{
    std::size_t at = 0;
    unsigned count = 0;
    unsigned total = 0;
    while (at < body.size()) {
        const std::size_t end = body.find("\n\n", at);
        unsigned number = 0;
        std::array<char, 40> owner{};
        if (end == std::string::npos || std::sscanf(body.substr(at, end - at).c_str(), "id: %u\ndata: %39s of %u", &number, owner.data(), &total) != 3
            || number != ++count || id != owner.data()) {
            return false;
        }
        at = end + 2;
    }
    return count > 0 && count == total;
}

bool isWholeBody(const CallRecord &record, const std::string &body)
{
    if (record.status / 100 != 2) {
        return true;
    }
    return record.service == "llm" ? isWholeStream(body, record.id) : body == "done " + record.id;
}

CallEnd endOf(const boost::system::error_code &error, bool hasBytes)
{
    if (error == beast::error::timeout) {
        return CallEnd::GivenUp;
    }
    const bool isClosed =
        error == http::error::end_of_stream || error == http::error::partial_message || error.category() != make_error_code(http::error::bad_method).category();
    if (!isClosed) {
        return CallEnd::Unreadable;
    }
    return hasBytes ? CallEnd::Incomplete : CallEnd::Unanswered;
}

} // namespace

struct Callers::Connection
{
    explicit Connection(asio::io_context &context) : stream(context)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    unsigned entry = 0;
    unsigned calls = 0;
    bool isOpen = true;
};

Callers::Callers(asio::io_context &context, Fleet &fleet, Record &record, std::uint64_t seed)
    : m_context(context), m_fleet(fleet), m_record(record), m_random(static_cast<std::minstd_rand::result_type>(seed)), m_rotation(fleet.entries().size())
{
}

unsigned Callers::draw(unsigned count)
{
    return std::uniform_int_distribution<unsigned>(0, count - 1)(m_random);
}

bool Callers::allReady() const
{
    return std::all_of(m_rotation.begin(), m_rotation.end(), [](const RotationState &state) {
        return state.isInRotation;
    });
}

unsigned Callers::chooseEntry()
{
    std::vector<unsigned> usable;
    for (unsigned entry = 0; entry < m_rotation.size(); ++entry) {
        if (m_rotation[entry].isInRotation) {
            usable.push_back(entry);
        }
    }
    return usable.size() * 2 < m_rotation.size() ? draw(static_cast<unsigned>(m_rotation.size())) : usable[draw(static_cast<unsigned>(usable.size()))];
}

asio::awaitable<bool> Callers::probe(unsigned entry)
{
    const auto response = co_await exchange(m_context, m_fleet.readinessAddress(entry), http::verb::get, platform::readinessPath, {}, 0.9);
    co_return response && response->result_int() == 200;
}

void Callers::startProbes(double until)
{
    for (unsigned entry = 0; entry < m_rotation.size(); ++entry) {
        asio::co_spawn(
            m_context,
            [this, entry, until]() -> asio::awaitable<void> {
                while (now() < until) {
                    const double began = now();
                    const bool isReady = co_await probe(entry);
                    RotationState &state = m_rotation[entry];
                    state.misses = isReady ? 0 : state.misses + 1;
                    if (isReady) {
                        state.isInRotation = true;
                    } else if (state.misses >= missesUntilOut) {
                        state.isInRotation = false;
                    }
                    co_await sleepFor(m_context, std::max(0.0, began + 1 - now()));
                }
            },
            asio::detached);
    }
}

void Callers::start(unsigned count, double until)
{
    for (unsigned number = 0; number < count; ++number) {
        asio::co_spawn(m_context, runCaller(number, until), asio::detached);
    }
}

void Callers::sendSpecial(CallVariant variant, CallClass kind, double seconds, double perSecond)
{
    asio::co_spawn(m_context, runSpecial(variant, kind, now() + seconds, perSecond), asio::detached);
}

asio::awaitable<void> Callers::runSpecial(CallVariant variant, CallClass kind, double until, double perSecond)
{
    while (now() < until) {
        asio::co_spawn(m_context, callOnce(kind, variant), asio::detached);
        co_await sleepFor(m_context, (0.5 + draw(1000) / 1000.0) / perSecond);
    }
}

asio::awaitable<void> Callers::callOnce(CallClass kind, CallVariant variant)
{
    auto connection = co_await connect();
    if (connection) {
        co_await call(*connection, kind, variant);
    }
}

asio::awaitable<std::unique_ptr<Callers::Connection>> Callers::connect()
{
    auto connection = std::make_unique<Connection>(m_context);
    connection->entry = chooseEntry();
    connection->stream.expires_after(1s);
    const auto [error] = co_await connection->stream.async_connect(endpointOf(m_fleet.callerAddress(connection->entry)), completionToken);
    if (error) {
        co_return nullptr;
    }
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true));
    co_return connection;
}

asio::awaitable<void> Callers::runCaller(unsigned number, double until)
{
    constexpr std::array<CallClass, 10> mix{CallClass::Chat,
                                            CallClass::Chat,
                                            CallClass::Chat,
                                            CallClass::Chat,
                                            CallClass::Query,
                                            CallClass::Submit,
                                            CallClass::Submit,
                                            CallClass::Submit,
                                            CallClass::Lookup,
                                            CallClass::Lookup};
    const CallClass kind = mix.at(number % mix.size());
    std::unique_ptr<Connection> connection;
    while (now() < until) {
        co_await sleepFor(m_context, 0.02 + draw(200) / 1000.0);
        if (!connection) {
            connection = co_await connect();
        }
        if (!connection) {
            co_await sleepFor(m_context, 0.1);
            continue;
        }
        co_await call(*connection, kind, CallVariant::Sound);
        if (!connection->isOpen) {
            connection.reset();
        }
    }
}

CallRecord &Callers::addRecord(const Connection &connection, CallClass kind, CallVariant variant)
{
    const ClassTraits &traits = traitsOf(kind);
    CallRecord &record = m_record.calls.emplace_back();
    std::array<char, 20> id{};
    std::snprintf(id.data(), id.size(), "c%08llu", static_cast<unsigned long long>(m_nextId++));
    record.id = id.data();
    record.service = traits.service;
    record.mayRunAgain = traits.mayRunAgain;
    record.maximumAttempts = traits.maximumAttempts;
    record.entry = connection.entry;
    record.isOnUsedConnection = connection.calls > 0;
    record.timeLimit = traits.timeLimit;
    record.deadlyName = variant == CallVariant::Deadly ? traits.path : "";
    record.isSiblingOfDeadly = variant == CallVariant::DeadlySibling;
    if (variant == CallVariant::FatalPart) {
        record.fatalPart = "fa7a1";
    }
    m_record.byId[record.id] = &record;
    return record;
}

std::string Callers::requestText(const CallRecord &record, CallClass kind, CallVariant variant)
{
    const ClassTraits &traits = traitsOf(kind);
    const bool isSpecial = variant == CallVariant::Deadly || variant == CallVariant::DeadlySibling;
    // A sibling differs from the deadly call in one of these.
    const unsigned difference = variant == CallVariant::DeadlySibling ? 1 + draw(3) : 0;
    const std::string path = std::string(traits.path) + (isSpecial ? (difference == 1 ? "d2" : "d1") : "p" + std::to_string(draw(1'000'000)));
    const std::string body = isSpecial ? (difference == 2 ? "another body" : "the deadly body") : "body of " + record.id;
    const std::string key = difference == 3 ? "key-two" : "key-one";
    std::string text = "POST " + path + " HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: " + record.id
                       + "\r\nDeadline-Ms: " + std::to_string(static_cast<int>(record.timeLimit)) + "\r\nAuthorization: Bearer " + key + "\r\n";
    if (record.service == "llm") {
        const bool isLong = !isSpecial && draw(12) == 0;
        text += "Model: m0" + (draw(3) == 0 ? std::string() : "/a" + std::to_string(1 + draw(adapterCount))) + "\r\nToken-Count: 200,"
                + (isLong ? "900" : "100") + "\r\nPrompt-Prefix: 5eed" + std::to_string(draw(4)) + ":100,"
                + (record.fatalPart.empty() ? "" : record.fatalPart + ":50,") + "0" + record.id.substr(1) + ":50\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

asio::awaitable<void> Callers::call(Connection &connection, CallClass kind, CallVariant variant)
{
    CallRecord &record = addRecord(connection, kind, variant);
    const std::string text = requestText(record, kind, variant);
    record.sentAt = now();
    ++connection.calls;
    connection.isOpen = false;
    connection.stream.expires_after(std::chrono::milliseconds(static_cast<int>(record.timeLimit)));
    const auto [writeError, written] = co_await asio::async_write(connection.stream, asio::buffer(text), completionToken);
    if (writeError) {
        record.end = CallEnd::NotSent;
        record.endedAt = now();
        co_return;
    }
    record.sentAt = now();
    http::response_parser<http::string_body> parser;
    const auto [error, count] = co_await http::async_read(connection.stream, connection.buffer, parser, completionToken);
    record.endedAt = now();
    if (parser.is_header_done()) {
        record.status = parser.get().result_int();
        record.hasServerSignature = parser.get().count("Response-Signature") > 0;
    }
    if (error) {
        record.end = endOf(error, parser.got_some() || connection.buffer.size() > 0);
        co_return;
    }
    const auto id = parser.get()["Attempt-Id"];
    const bool isOwn = std::string_view(id.data(), id.size()) == record.id && isWholeBody(record, parser.get().body()) && connection.buffer.size() == 0;
    record.end = isOwn ? CallEnd::Answered : CallEnd::Unreadable;
    connection.isOpen = isOwn && parser.keep_alive();
}

} // namespace mimosahollow::soak

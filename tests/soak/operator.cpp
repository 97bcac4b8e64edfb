#include "operator.h"

#include "async.h"

#include "platform/names.h"

#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace mimosahollow::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr unsigned maximumRedirections = 2;
constexpr double retrySeconds = 0.1;

std::string routeText(const std::string &name, const std::string &kind, const std::string &service, unsigned timeoutMs, unsigned attempts, bool isResumable)
{
    return R"({"name":")" + name + R"(","host":"soak.example","path-prefix":"/)" + name + R"(/","route-type":")" + kind + R"(","timeout-ms":)"
           + std::to_string(timeoutMs) + R"(,"target-latency-ms":600,"priority":0,"service":")" + service + R"(","max-attempts":)" + std::to_string(attempts)
           + R"(,"public":false,"sticky":)" + (service == "llm" ? "true" : "false") + R"(,"resumable":)" + (isResumable ? "true" : "false")
           + R"(,"gap-aim-ms":300})";
}

} // namespace

Operator::Operator(asio::io_context &context, Fleet &fleet, Record &record, std::uint64_t seed)
    : m_context(context), m_fleet(fleet), m_record(record), m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

std::string Operator::configuration()
{
    const unsigned added = static_cast<unsigned>(m_version % 7); // routes that come and go
    std::string routes = routeText("chat", "streaming", "llm", 8000 + added, 2, true) + "," + routeText("query", "streaming", "llm", 8000, 1, false) + ","
                         + routeText("submit", "non_idempotent", "ledger", 1000, 2, false) + "," + routeText("lookup", "idempotent", "ledger", 1000, 2, false);
    for (unsigned route = 0; route < added; ++route) {
        routes += "," + routeText("extra" + std::to_string(route), "idempotent", "ledger", 1000, 2, false);
    }
    return R"({"version":)" + std::to_string(m_version) + R"(,"routes":[)" + routes
           + R"(],"services":[{"name":"llm","health-path":"/health","max-connections":360,"protocol":"h1","tls":false,"cold-start-s":0,"cold-per-s":0,"engine":{"slots":32,"kv-capacity":151140,"kv-token-bytes":163840,"link-mbps":550000.0,"models":[{"name":"m0","weights-mb":72700.0,"load-s":2.1,"adapters":3000,"adapter-mb":66.0}],"weights-mb":76100.0,"adapter-slots":29,"loads-per-s":3.2}},{"name":"ledger","health-path":"/health","max-connections":200,"protocol":"h1","tls":false,"cold-start-s":0,"cold-per-s":0}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"first","api-keys":["key-one"],"priority":0,"unit":"token_stream","plain-tokens":1,"rate-per-s":0,"burst":0},{"name":"second","api-keys":["key-two"],"priority":0,"unit":"token_stream","plain-tokens":1,"rate-per-s":0,"burst":0}]})";
}

/** One call to a coordinator drawn at random, redirections followed. */
asio::awaitable<std::optional<HttpResponse>> Operator::callControl(http::verb method, std::string body)
{
    std::string address = m_fleet.controlAddress(static_cast<unsigned>(m_random() % m_fleet.coordinatorCount()));
    for (unsigned hop = 0; hop <= maximumRedirections; ++hop) {
        auto response = co_await exchange(m_context, address, method, platform::configPath, body, 1);
        if (!response || response->result_int() != 307) {
            co_return response;
        }
        const std::string location((*response)[http::field::location]);
        const std::size_t begin = location.find("//") + 2;
        address = location.substr(begin, location.find('/', begin) - begin);
    }
    co_return std::nullopt;
}

asio::awaitable<bool> Operator::changeConfiguration(double until)
{
    ++m_version;
    const std::uint64_t version = m_version;
    const std::string body = configuration();
    const std::size_t index = m_record.configurations.size();
    m_record.configurations.push_back({now(), 0, version});
    while (now() < until) {
        const auto response = co_await callControl(http::verb::put, body);
        if (response && response->result_int() == 200) {
            m_record.configurations[index].acknowledgedAt = now();
            co_return true;
        }
        co_await sleepFor(m_context, retrySeconds);
    }
    co_return false;
}

asio::awaitable<std::uint64_t> Operator::readVersion(double until)
{
    while (now() < until) {
        const auto response = co_await callControl(http::verb::get, {});
        if (response && response->result_int() == 200) {
            co_return boost::json::parse(response->body()).at("version").to_number<std::uint64_t>();
        }
        co_await sleepFor(m_context, retrySeconds);
    }
    co_return 0;
}

} // namespace mimosahollow::soak

#include "ingress/explaincall.h"

#include "ingress/entry.h"
#include "mimosahollow/dispatch/explanation.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>

namespace mimosahollow::ingress {

namespace {

namespace json = boost::json;

std::int64_t toMilliseconds(Duration time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

double rounded(double value)
{
    return std::round(value * 1000) / 1000;
}

json::object describe(const dispatch::Decision &decision, TimePoint now)
{
    if (const auto *send = std::get_if<dispatch::Send>(&decision)) {
        return {{"decision", "send"}, {"server", send->server}};
    }
    if (const auto *wait = std::get_if<dispatch::Wait>(&decision)) {
        return {{"decision", "wait"}, {"cause", dispatch::toString(wait->cause)}, {"decides-again-ms", toMilliseconds(wait->until - now)}};
    }
    const auto &refuse = std::get<dispatch::Refuse>(decision);
    return {{"decision", "refuse"}, {"cause", dispatch::toString(refuse.cause)}, {"retry-after-ms", toMilliseconds(refuse.retryAfter)}};
}

json::object describe(const dispatch::ServerExplanation &server)
{
    json::object object{{"server", server.server},
                        {"address", server.address},
                        {"domain", server.domain},
                        {"running", server.running},
                        {"others", rounded(server.others)},
                        {"capacity", server.capacity},
                        {"pace", rounded(server.pace)}};
    if (server.excludedBy.empty()) {
        object["cost"] = rounded(server.cost);
        object["chance"] = rounded(server.chance);
    } else {
        object["excluded-by"] = server.excludedBy;
    }
    return object;
}

json::object refusal(std::string_view reason, unsigned status)
{
    return {{"decision", "refuse"}, {"cause", reason}, {"status", status}};
}

} // namespace

std::string explainCall(Entry &entry, const CallQuery &query)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const auto catalog = entry.catalog();
    if (!catalog || !entry.isReady()) {
        return json::serialize(refusal("no confirmed configuration", 503));
    }
    const catalog::CallRoute *route = catalog->findRoute(query.host, query.path);
    if (route == nullptr) {
        return json::serialize(refusal("no route", 404));
    }
    const auto &organisations = catalog->catalog().organisations;
    const auto organisation = std::find_if(organisations.begin(), organisations.end(), [&query](const catalog::OrganisationSpec &known) {
        return known.name == query.organisation;
    });
    if (organisation == organisations.end() && !route->isOpen && !catalog->catalog().isKeyless) {
        return json::serialize(refusal("unknown organisation", 401));
    }
    dispatch::Call call;
    call.model = query.model;
    call.adapter = query.adapter;
    call.priority = organisation != organisations.end() && organisation->priority >= 0 ? organisation->priority : route->priority;
    call.arrived = now;
    call.objectiveEnd = now + route->objective;
    call.deadline = now + route->timeout;
    json::object answer{{"route", route->name}, {"priority", call.priority}, {"objective-ms", toMilliseconds(route->objective)}};
    answer["state-age-ms"] = toMilliseconds(std::min(entry.stateAge(), Duration(seconds(1000))));
    answer["has-leader"] = !entry.dispatchState().isLeaderless;
    if (organisation != organisations.end() && organisation->ratePerSecond > 0) {
        const double needed = !organisation->countsTokens ? 1 : query.tokens > 0 ? query.tokens : organisation->plainTokens;
        answer["organisation"] = {{"name", organisation->name}, {"tokens-needed", needed}, {"tokens-per-s", organisation->ratePerSecond}};
    }
    json::array services;
    for (const catalog::TrafficShare &share : route->split) {
        call.service = share.service;
        const catalog::ServiceSpec *service = catalog->findService(share.service);
        dispatch::Call part = call;
        if (service == nullptr || !service->engine) {
            part.model.clear();
            part.adapter.clear();
        }
        const dispatch::Explanation explanation = dispatch::explain(entry.dispatchState(), part, now);
        json::object object = describe(explanation.decision, now);
        object["service"] = share.service;
        object["weight"] = share.weight;
        json::array servers;
        for (const dispatch::ServerExplanation &server : explanation.servers) {
            servers.push_back(describe(server));
        }
        object["servers"] = std::move(servers);
        services.push_back(std::move(object));
    }
    answer["services"] = std::move(services);
    return json::serialize(answer);
}

} // namespace mimosahollow::ingress

#include "mimosahollow/dispatch/explanation.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::dispatch;

namespace {

registry::ServerRecord engine(const std::string &id, const std::string &domain, std::vector<registry::HeldModel> held)
{
    return {id, "chat", id + ":80", domain, 12, registry::ServerState::Ready, 1, 1, 0, std::move(held)};
}

} // namespace

// Guards against an explanation that differs from the decision, or that changes what later calls get.
TEST_CASE("An explanation tells what each server of the service can do for a call")
{
    const TimePoint now{seconds(100)};
    catalog::Catalog catalog;
    catalog::EngineSpec spec;
    spec.models = {{"base", 1000, 10, seconds(2)}};
    catalog.services = {{"chat", 500, 0, spec}, {"desk", 0, 0, std::nullopt}};
    DispatchState state;
    state.catalog = std::make_shared<const catalog::CatalogIndex>(std::make_shared<const catalog::Catalog>(std::move(catalog)));
    state.options.domain = "north";
    updateServer(state, engine("s1", "north", {{"base", {}, 1}, {"base", "a", 1}}), now);
    updateServer(state, engine("s2", "south", {{"base", {}, 1}, {"base", "a", 1}}), now);
    updateServer(state, engine("s3", "north", {{"base", {}, 1}}), now);
    updateServer(state, engine("s4", "west", {{"base", {}, 1}, {"base", "a", 1}}), now);
    updateServer(state, {"d1", "desk", "d1:80", "north", 6, registry::ServerState::Ready, 1, 1, 0, {}}, now);
    state.evacuatedDomains = {"west"};
    Call call;
    call.service = "chat";
    call.model = "base";
    call.adapter = "a";
    call.arrived = now;
    call.objectiveEnd = now + seconds(1);
    call.deadline = now + seconds(5);

    const Explanation explanation = explain(state, call, now);
    REQUIRE(explanation.servers.size() == 4);
    CHECK(std::get<Send>(explanation.decision).server == "s1");
    CHECK(explanation.servers[0].excludedBy.empty());
    CHECK(explanation.servers[0].chance == Approx(1));
    CHECK(explanation.servers[1].excludedBy.empty());
    CHECK(explanation.servers[1].cost > explanation.servers[0].cost); // the other failure domain
    CHECK(explanation.servers[2].excludedBy == "adapter-not-loaded");
    CHECK(explanation.servers[3].excludedBy == "evacuated-domain");

    SECTION("and the call then goes there")
    {
        CHECK(std::get<Send>(decide(state, call, now)).server == "s1");
    }
    SECTION("and why it is refused")
    {
        call.adapter = "unknown";
        call.objectiveEnd = now + milliseconds(100);
        const Explanation refused = explain(state, call, now);
        CHECK(std::get<Refuse>(refused.decision).cause == RefusalCause::AdapterNotLoaded);
    }
    SECTION("with a limit, without a wish for a permit")
    {
        for (auto &[id, server] : state.servers) {
            server.callsPerSecond = 1;
        }
        CHECK(explain(state, call, now).servers[0].excludedBy == "limited-servers");
        CHECK(state.servers.at("s1").permitWishes.empty());
    }
}

#pragma once

#include "fakedispatch.h"
#include "httpclient.h"

#include "mimosahollow/settings/settings.h"
#include "mimosahollow/standin/engine.h"

namespace mimosahollow::tests {

inline settings::Settings gatewaySettings()
{
    settings::Settings settings;
    settings.callerAddress = freeAddress();
    settings.backendAddress = freeAddress();
    settings.gatewayThreads = 2;
    settings.ringCapacity = 1024;
    settings.maximumConnections = 1000;
    settings.maximumHeadBytes = 4096;
    settings.maximumBodyBytes = 65'536;
    settings.headTimeout = seconds(10);
    settings.idleTimeout = seconds(60);
    settings.requestDeadline = seconds(60);
    settings.drainTimeout = seconds(20);
    return settings;
}

inline gateway::GatewayPorts gatewayPorts()
{
    gateway::GatewayPorts ports;
    ports.hashKey = [](std::string_view key) {
        KeyHash hash{};
        for (std::size_t i = 0; i < key.size(); ++i) {
            hash[i % hash.size()] = static_cast<std::uint8_t>(hash[i % hash.size()] * 31 + key[i]);
        }
        return hash;
    };
    ports.modelList = [known = ports.hashKey("secret-key")](const KeyHash &key) {
        return key == known ? std::optional<std::string>(R"({"object":"list","data":[{"id":"base"}]})") : std::nullopt;
    };
    ports.metricsText = [] {
        return std::string("other_metric 1\n");
    };
    ports.isReady = [] {
        return true;
    };
    return ports;
}

inline standin::EngineOptions engineOptions()
{
    standin::EngineOptions options;
    options.address = freeAddress();
    options.tokenTime = Duration::zero();
    return options;
}

/** Permission to run on @p address until the deadline of the request. */
inline gateway::ServingGrant grantFor(const gateway::ServingRequest &request, const std::string &address)
{
    static std::atomic<std::uint64_t> nextGrant = 1;
    gateway::ServingGrant grant;
    grant.grant = nextGrant++;
    grant.address = address;
    grant.served = request.kind == gateway::CallKind::Model ? "base" : "";
    grant.fencing = 7;
    grant.deadline = request.deadline;
    grant.repeatable = request.kind == gateway::CallKind::Model || request.safeMethod;
    return grant;
}

/** Grants the first attempt of each call on @p address, and refuses further ones. */
inline FakeDispatch::Decide grantsOnce(const std::string &address)
{
    return [address](const gateway::ServingRequest &request, unsigned attempt) -> std::optional<ReplyContent> {
        if (attempt > 0) {
            return gateway::ServingRefusal{RefusalReason::BackendFailed, CallOutcome::NotRun, {}};
        }
        return grantFor(request, address);
    };
}

/** A gateway, a fake dispatch and a stand-in backend server in one process. */
struct GatewayFixture
{
    using Decide = FakeDispatch::Decide;

    explicit GatewayFixture(standin::EngineOptions options = engineOptions(), Decide decide = {}, settings::Settings chosen = gatewaySettings())
        : settings(std::move(chosen))
        , engineAddress(options.address)
        , engine(std::move(options))
        , dispatch(decide ? std::move(decide) : grantEverything())
        , gateway(settings, gatewayPorts(), dispatch.ring())
    {
        engine.start();
        gateway.start();
        dispatch.start(gateway);
    }
    ~GatewayFixture()
    {
        engine.setFaults({}); // a call that a fault holds up must not hold up the end of the test
        gateway.drain();
    }
    GatewayFixture(const GatewayFixture &) = delete;
    GatewayFixture &operator=(const GatewayFixture &) = delete;

    Decide grantEverything()
    {
        return [this](const gateway::ServingRequest &request, unsigned attempt) -> std::optional<ReplyContent> {
            if (attempt > 0) {
                return gateway::ServingRefusal{RefusalReason::BackendFailed, CallOutcome::NotRun, {}};
            }
            return grantFor(request, engineAddress);
        };
    }

    HttpClient client()
    {
        return HttpClient(settings.callerAddress);
    }

    /** Waits until the backend server has received @p count calls. */
    [[nodiscard]] bool awaitCalls(std::size_t count)
    {
        return waitFor([&] {
            return engine.calls().size() >= count;
        });
    }

    /** Waits until call number @p index on the backend server is in @p state. */
    [[nodiscard]] bool awaitState(std::size_t index, standin::EngineCallState state)
    {
        return waitFor([&] {
            const auto calls = engine.calls();
            return calls.size() > index && calls[index].state == state;
        });
    }

    settings::Settings settings;
    std::string engineAddress;
    standin::Engine engine;
    FakeDispatch dispatch;
    gateway::Gateway gateway;
};

} // namespace mimosahollow::tests

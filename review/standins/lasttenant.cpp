// Case: a config takes the last tenant away, and with it all API keys.
#include "fleet.h"

using namespace review;

namespace {

std::string configText(int version, const std::string &tenants)
{
    return "{\"version\":" + std::to_string(version)
           + R"(,"routes":[{"name":"submit","host":"match.example","path-prefix":"/submit/","route-type":"non_idempotent","timeout-ms":1000,)"
             R"("target-latency-ms":150,"priority":0,"service":"ledger","max-attempts":1,"public":false,"sticky":false,"resumable":false}],)"
             R"("services":[{"name":"ledger","health-path":"/health","max-connections":100,"protocol":"h1","tls":false,"cold-start-s":0.0,)"
             R"("cold-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
             R"("tenants":)"
           + tenants + "}";
}

} // namespace

int main()
{
    const bool isTroubled = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    Record record(std::string(std::getenv("CASE_FOLDER")) + "/record.txt");
    Fleet fleet({3, 2});
    fleet.start();
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < 3; ++i) {
        WorkerOptions options;
        options.service = "ledger";
        options.id = "i-ledger" + std::to_string(i);
        options.address = {fleet.ip(60 + i), 8080};
        options.zone = Fleet::zone(i);
        options.slots = 6;
        workers.push_back(std::make_unique<Worker>(fleet, record, options));
        if (!workers.back()->start()) {
            return 2;
        }
    }
    const std::string tenant = R"([{"name":"tenant-one","api-keys":["key-one"],"priority":1}])";
    const auto first = fleet.control("PUT", "/mimosahollow/config", configText(1, tenant), 15);
    if (!first || first->status() != 200 || !fleet.awaitReady(15)) {
        return 2;
    }
    sleepFor(3);
    const Answer before = request(record, fleet.front(0), "POST", "/submit/x", "attempt-before", {}, "entry", 1);
    if (before.status != 200) {
        return 2;
    }
    const auto second = fleet.control("PUT", "/mimosahollow/config", configText(2, isTroubled ? "[]" : tenant), 15);
    if (!second || second->status() != 200) {
        record.line("config 2 gets %d", second ? second->status() : 0);
        return 2;
    }
    record.line("config 2 is acknowledged: tenants %s", isTroubled ? "[]" : "unchanged");
    sleepFor(6); // more than revoke-ms
    int broken = 0;
    for (int i = 0; i < 10; ++i) {
        const std::string attempt = "attempt-after" + std::to_string(i);
        request(record, fleet.front(i % 2), "POST", "/submit/x", attempt, {}, "entry", 1);
        int runs = 0;
        for (auto &worker : workers) {
            const std::lock_guard lock(worker->runsMutex);
            runs += worker->runs.count(attempt) ? 1 : 0;
        }
        // Without the disruption the key is still valid.
        if (isTroubled && runs > 0) {
            ++broken;
            record.line("BROKEN: %s runs, sent more than revoke-ms after the ack of the config that took its key away", attempt.c_str());
        }
    }
    if (isTroubled) {
        // For the record only: other keys, no key, and the tenant without keys.
        request(record, fleet.front(0), "POST", "/submit/x", "attempt-other-key", {}, "entry", 1, "key-that-no-config-held");
        request(record, fleet.front(0), "POST", "/submit/x", "attempt-without-key", {}, "entry", 1, "");
        fleet.control("PUT", "/mimosahollow/config", configText(3, R"([{"name":"tenant-one","api-keys":[],"priority":1}])"), 15);
        record.line("config 3 leaves the tenant in the list, without keys");
        sleepFor(6);
        request(record, fleet.front(0), "POST", "/submit/x", "attempt-tenant-without-keys", {}, "entry", 1);
    }
    for (auto &worker : workers) {
        worker->stop();
    }
    return broken > 0 ? 1 : 0;
}

// Case: a machine of the core freezes, and while it is frozen another one loses its disk.
#include "fleet.h"

using namespace review;

namespace {

std::string configText(int version)
{
    return "{\"version\":" + std::to_string(version)
           + R"(,"routes":[{"name":"submit","host":"match.example","path-prefix":"/submit/","route-type":"non_idempotent","timeout-ms":1000,)"
             R"("target-latency-ms":150,"priority":0,"service":"ledger","max-attempts":1,"public":false,"sticky":false,"resumable":false}],)"
             R"("services":[{"name":"ledger","health-path":"/health","max-connections":100,"protocol":"h1","tls":false,"cold-start-s":0.0,)"
             R"("cold-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
             R"("tenants":[{"name":"tenant-one","api-keys":["key-one"],"priority":1}]})";
}

bool isSet(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr || std::string(value) != "0";
}

} // namespace

int main()
{
    const bool freezes = isSet("TROUBLE") && isSet("FREEZE");
    const bool losesDisk = isSet("TROUBLE") && isSet("WIPE");
    Record record(std::string(std::getenv("CASE_FOLDER")) + "/record.txt");
    Fleet fleet({4, 1});
    fleet.start();
    for (int version = 1; version <= 3; ++version) {
        const auto answer = fleet.control("PUT", "/mimosahollow/config", configText(version), 15);
        if (!answer || answer->status() != 200) {
            record.line("config %d is not acknowledged", version);
            return 2;
        }
        record.line("config %d is acknowledged", version);
    }
    if (!fleet.awaitReady(15)) {
        return 2;
    }
    sleepFor(5);
    // The seeds, machines 0 to 2, are the first voters.
    const int leader = fleet.findLeader();
    if (leader < 0 || leader > 2) {
        record.line("machine %d leads", leader);
        return 2;
    }
    const int frozen = (leader + 1) % 3;
    const int wiped = (leader + 2) % 3;
    record.line("core-%d leads", leader);
    if (freezes) {
        fleet.core(frozen).signal(SIGSTOP);
        record.line("core-%d freezes", frozen);
    }
    // The disk is lost when the leader has just taken the frozen voter out of the log's members; without a freeze after the same time.
    const double frozenAt = now();
    while (now() < frozenAt + 3.5) {
        const auto metrics = call({fleet.ip(10 + leader), 9464}, "GET", "/metrics", {});
        if (metrics && metrics->body.find("mimosahollow_log_voters 2\n") != std::string::npos) {
            record.line("the leader counts two voters, %.3f s after the freeze", now() - frozenAt);
            break;
        }
        sleepFor(0.01);
    }
    if (losesDisk) {
        fleet.killCore(wiped, true);
        record.line("core-%d goes down and loses its disk", wiped);
    }
    sleepFor(3);
    if (losesDisk) {
        fleet.startCore(wiped);
        record.line("core-%d is back with an empty disk", wiped);
    }
    if (freezes) {
        fleet.core(frozen).signal(SIGCONT);
        record.line("core-%d wakes again", frozen);
    }
    sleepFor(12); // recover-s
    record.line("recover-s is over since all machines are back; the operator reads the config");
    // The operator asks for far longer than contact-ms.
    const double until = now() + 20;
    std::map<int, int> statuses;
    while (now() < until) {
        for (int i = 0; i < fleet.cores(); ++i) {
            const auto answer = call(fleet.control(i), "GET", "/mimosahollow/config", {});
            ++statuses[answer ? answer->status() : 0];
            if (answer && answer->status() == 200) {
                const int version = std::atoi(jsonField(answer->body, "version").c_str());
                record.line("core-%d answers with config %d", i, version);
                return version == 3 ? 0 : 1;
            }
        }
        sleepFor(0.2);
    }
    for (const auto &[status, count] : statuses) {
        record.line("%d answers with status %d (0: none)", count, status);
    }
    record.line("BROKEN: no machine answers with the config that was acknowledged");
    return 1;
}

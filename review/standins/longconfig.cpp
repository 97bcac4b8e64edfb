// Case: the config has grown, a machine of the core misses some changes, and later the leader loses its disk.
#include "fleet.h"

using namespace review;

namespace {

constexpr int grownBy = 350; // routes, each time
constexpr int growths = 10;
constexpr int stormChanges = 12; // in 4 s

std::string configText(int version, int routes)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (int i = 0; i < routes; ++i) {
        text += i == 0 ? "" : ",";
        text += R"({"name":"r-)" + std::to_string(i) + R"(","host":"match.example","path-prefix":"/submit)" + std::to_string(i)
                + R"(/","route-type":"non_idempotent","timeout-ms":1000,"target-latency-ms":150,"priority":0,"service":"ledger","max-attempts":1,)"
                  R"("public":false,"sticky":false,"resumable":false})";
    }
    text += R"(],"services":[{"name":"ledger","health-path":"/health","max-connections":100,"protocol":"h1","tls":false,"cold-start-s":0.0,)"
            R"("cold-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
            R"("tenants":[{"name":"tenant-one","api-keys":["key-one"],"priority":1}]})";
    return text;
}

bool isSet(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr || std::string(value) != "0";
}

/** Number of the newest log entry that a core machine has applied, by its metrics; -1 without an answer. */
int logIndex(const Fleet &fleet, int core)
{
    const auto metrics = call({fleet.ip(10 + core), 9464}, "GET", "/metrics", {});
    const std::string name = "\nmimosahollow_log_index ";
    const auto at = metrics ? metrics->body.find(name) : std::string::npos;
    return at == std::string::npos ? -1 : std::atoi(metrics->body.c_str() + at + name.size());
}

/** Sends requests for some seconds, five a second. Returns how many get 200. */
int requestsServed(Record &record, Fleet &fleet, const std::string &name, int count)
{
    int served = 0;
    for (int i = 0; i < count; ++i) {
        const Answer answer = request(record, fleet.front(i % 2), "POST", "/submit0/x", name + std::to_string(i), {}, "entry", 1);
        served += answer.status == 200 ? 1 : 0;
        sleepFor(0.2);
    }
    record.line("%d of %d requests get 200", served, count);
    return served;
}

} // namespace

int main()
{
    const bool freezes = isSet("TROUBLE") && isSet("FREEZE");
    const bool losesDisk = isSet("TROUBLE") && isSet("WIPE");
    const bool grows = isSet("GROW");
    Record record(std::string(std::getenv("CASE_FOLDER")) + "/record.txt");
    Fleet fleet({3, 2});
    fleet.start();
    WorkerOptions options;
    options.service = "ledger";
    options.id = "i-ledger";
    options.address = {fleet.ip(60), 8080};
    options.zone = Fleet::zone(0);
    options.slots = 6;
    Worker worker(fleet, record, options);
    if (!worker.start()) {
        return 2;
    }
    int version = 0;
    int routes = 1;
    int first = 0; // the core machine that the operator asks first
    const auto putConfig = [&] {
        const double sent = now();
        const std::string text = configText(++version, routes);
        const auto answer = fleet.control("PUT", "/mimosahollow/config", text, 10, first);
        record.line("config %d, %zu bytes: %d after %.3f s", version, text.size(), answer ? answer->status() : 0, now() - sent);
        return answer && answer->status() == 200;
    };
    if (!putConfig() || !fleet.awaitReady(15)) {
        return 2;
    }
    for (int i = 0; i < growths; ++i) {
        routes += grows ? grownBy : 0;
        if (!putConfig()) {
            return 2;
        }
        sleepFor(0.5);
    }
    sleepFor(4); // more than contact-ms
    const int servedBefore = requestsServed(record, fleet, "attempt-before", 10);
    const int leader = fleet.findLeader();
    if (leader < 0 || servedBefore < 9) {
        return 2;
    }
    const int frozen = (leader + 1) % 3;
    first = leader;
    record.line("core-%d leads", leader);
    const double frozenAt = now();
    if (freezes) {
        fleet.core(frozen).signal(SIGSTOP);
        record.line("core-%d freezes", frozen);
    }
    sleepFor(1);
    for (int i = 0; i < stormChanges; ++i) {
        const double next = now() + 0.34;
        if (!putConfig()) {
            return 2;
        }
        sleepFor(std::max(0.0, next - now()));
    }
    sleepFor(std::max(0.0, frozenAt + 6 - now()));
    if (freezes) {
        fleet.core(frozen).signal(SIGCONT);
        record.line("core-%d wakes again, %.1f s after the freeze", frozen, now() - frozenAt);
    }
    for (int second = 0; second < 8; ++second) { // more than catch-up-s and contact-ms together
        sleepFor(1);
        record.line("log entries applied: core-%d (leader) %d, core-%d (frozen before) %d", leader, logIndex(fleet, leader), frozen, logIndex(fleet, frozen));
    }
    if (!putConfig()) {
        return 2;
    }
    if (losesDisk) {
        fleet.killCore(leader, true);
        record.line("core-%d goes down right after its ack, and loses its disk", leader);
    }
    sleepFor(3);
    if (losesDisk) {
        fleet.startCore(leader);
        record.line("core-%d is back with an empty disk", leader);
    }
    sleepFor(12); // recover-s
    record.line("recover-s is over since all machines are back; the operator reads the config, requesters go on");
    const int servedAfter = requestsServed(record, fleet, "attempt-after", 20);
    const double until = now() + 20; // far longer than contact-ms
    std::map<int, int> statuses;
    int newest = 0;
    while (now() < until && newest != version) {
        for (int i = 0; i < fleet.cores(); ++i) {
            const auto answer = call(fleet.control(i), "GET", "/mimosahollow/config", {});
            ++statuses[answer ? answer->status() : 0];
            if (answer && answer->status() == 200) {
                newest = std::atoi(jsonField(answer->body, "version").c_str());
                record.line("core-%d answers with config %d", i, newest);
            }
        }
        sleepFor(0.2);
    }
    for (const auto &[status, count] : statuses) {
        record.line("%d answers with status %d (0: none)", count, status);
    }
    record.line("log entries applied: core-0 %d, core-1 %d, core-2 %d", logIndex(fleet, 0), logIndex(fleet, 1), logIndex(fleet, 2));
    worker.stop();
    if (newest != version) {
        record.line("BROKEN: CONFIG, no machine answers with config %d, which was acknowledged", version);
    }
    if (servedAfter * 4 < 20) {
        record.line("BROKEN: RECOVER, less than a quarter of the requests is served");
    }
    return newest != version || servedAfter * 4 < 20 ? 1 : 0;
}

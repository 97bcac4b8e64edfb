// Case: a worker sends a second copy of a 421, late, where the answer to the same request, sent again, is expected.
#include "fleet.h"

#include <cmath>
#include <random>

using namespace review;

namespace {

constexpr int workerCount = 7;
constexpr int faultyWorkers = 4; // share 0.57
constexpr int slowWorkers = 1; // share 0.14
constexpr double faultyShare = 0.03; // of the answers of a faulty worker
constexpr double troubleSeconds = 5; // for_s of both disruptions
constexpr double pauseSeconds = 1; // between them
constexpr int requestCount = 3800;
constexpr double requestsPerSecond = 40;
constexpr int requestsPerAdapter = 2; // one is the first for its adapter; the others ask for an adapter that is loaded

const char *config = R"({"version":1,"routes":[{"name":"queue","host":"match.example","path-prefix":"/queue/","route-type":"streaming",)"
                     R"("timeout-ms":20000,"target-latency-ms":1000,"priority":0,"service":"assist","max-attempts":1,"public":false,"sticky":true,)"
                     R"("resumable":false,"gap-aim-ms":250}],"services":[{"name":"assist","health-path":"/health","max-connections":360,)"
                     R"("protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0,"engine":{"slots":64,"kv-capacity":151140,)"
                     R"("kv-token-bytes":163840,"link-mbps":550000.0,"stride":6,"models":[{"name":"m0","weights-mb":72700.0,"load-s":2.1,)"
                     R"("adapters":3000,"adapter-mb":66.0,"warm-s":0.63,"disk-s":0.84}],"weights-mb":76100.0,"adapter-slots":29,"loads-per-s":3.2}}],)"
                     R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
                     R"("tenants":[{"name":"tenant-one","api-keys":["key-one"],"priority":1}]})";

std::atomic<double> trafficBegin{0};

/** Whether the disruptions are on: they come again and again, with pauses. */
bool isDisrupted()
{
    const double begin = trafficBegin;
    return begin > 0 && std::fmod(now() - begin, troubleSeconds + pauseSeconds) < troubleSeconds;
}

/** Second copies of a worker's answers that its connections still owe. */
struct LateCopies
{
    std::mutex mutex;
    std::minstd_rand random;
    std::map<int, std::string> owed; // by connection
    int copies = 0;
    int misdirected = 0; // copies of a 421

    /** Whether the answer that is being sent on @p connection is one that comes twice. */
    void answered(int connection, const std::string &text, bool isMisdirected)
    {
        const std::lock_guard lock(mutex);
        if (isDisrupted() && std::uniform_real_distribution<double>(0, 1)(random) < faultyShare) {
            ++copies;
            misdirected += isMisdirected ? 1 : 0;
            owed[connection] = text;
        }
    }
};

/** One in requestsPerAdapter requests asks for a new adapter, the others for one that has been asked for some seconds before. */
int adapterOf(int request)
{
    const int newest = request / requestsPerAdapter + 1;
    return request % requestsPerAdapter == 0 ? newest : std::max(1, newest - 20);
}

} // namespace

int main()
{
    const bool isTroubled = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    Record record(std::string(std::getenv("CASE_FOLDER")) + "/record.txt");
    Fleet fleet;
    fleet.start();
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<LateCopies> copies(workerCount);
    for (int i = 0; i < workerCount; ++i) {
        WorkerOptions options;
        options.service = "assist";
        options.id = "i-assist" + std::to_string(i);
        options.address = {fleet.ip(60 + i), 8080};
        options.zone = Fleet::zone(i);
        options.isEngine = true;
        options.events = 10;
        auto worker = std::make_unique<Worker>(fleet, record, options);
        LateCopies &own = copies[static_cast<size_t>(i)];
        const bool isFaulty = isTroubled && i < faultyWorkers;
        const bool isSlow = isTroubled && i < slowWorkers;
        worker->loadTime = [isSlow, usual = options.loadSeconds] {
            return isSlow && isDisrupted() ? usual * 1.3 : usual;
        };
        own.random.seed(static_cast<unsigned>(i + 1));
        worker->before = [&own, &record, id = options.id](const Worker::Request &request) -> std::string {
            const std::lock_guard lock(own.mutex);
            const auto found = own.owed.find(request.connection);
            if (found == own.owed.end()) {
                return {};
            }
            const std::string text = found->second;
            own.owed.erase(found);
            record.line("%s sends a second copy of an earlier answer as %s arrives: %s", id.c_str(), request.attempt.c_str(), text.substr(0, 12).c_str());
            return text;
        };
        if (isFaulty) {
            worker->misdirected = [&own](const Worker::Request &request, const std::string &text) {
                own.answered(request.connection, text, true);
            };
            worker->ended = [&own](const Worker::Request &request, const std::string &text) {
                own.answered(request.connection, text, false);
            };
        }
        if (!worker->start()) {
            return 2;
        }
        workers.push_back(std::move(worker));
    }
    if (!fleet.control("PUT", "/mimosahollow/config", config, 15) || !fleet.awaitReady(15)) {
        record.line("the fleet has not become ready");
        return 2;
    }
    sleepFor(3);
    std::atomic<int> open{0};
    const double begin = now();
    trafficBegin = begin;
    for (int i = 0; i < requestCount; ++i) {
        ++open;
        std::thread([&, i] {
            request(record,
                    fleet.front(0),
                    "POST",
                    "/queue/x",
                    "attempt" + std::to_string(i),
                    "Model: m0/a" + std::to_string(adapterOf(i)) + "\r\nToken-Count: 100,60\r\nPrompt-Prefix: aa:50,b" + std::to_string(i) + ":50\r\n",
                    "prompt",
                    20);
            --open;
        }).detach();
        sleepFor(std::max(0.0, begin + (i + 1) / requestsPerSecond - now()));
    }
    while (open > 0) {
        sleepFor(0.1);
    }
    sleepFor(1);
    int twice = 0;
    int ran = 0;
    int sent = 0;
    int misdirected = 0;
    for (int i = 0; i < requestCount; ++i) {
        int runs = 0;
        for (auto &worker : workers) {
            const std::lock_guard lock(worker->runsMutex);
            const auto found = worker->runs.find("attempt" + std::to_string(i));
            runs += found == worker->runs.end() ? 0 : found->second;
        }
        ran += runs > 0 ? 1 : 0;
        if (runs > 1) {
            ++twice;
            record.line("BROKEN TWICE: attempt%d ran %d times", i, runs);
        }
    }
    for (const LateCopies &own : copies) {
        sent += own.copies;
        misdirected += own.misdirected;
    }
    record.line(
        "%d of %d requests ran, %d second copies of answers, %d of them of a 421, %d requests ran more than once", ran, requestCount, sent, misdirected, twice);
    for (auto &worker : workers) {
        worker->stop();
    }
    if (ran < requestCount / 2) {
        return 2;
    }
    return twice > 0 ? 1 : 0;
}

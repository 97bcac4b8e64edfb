#include "scene.h"

#include <set>

namespace review {

namespace {

constexpr unsigned entryCount = 3;
constexpr unsigned clientsPerEntry = 2;
constexpr double pauseSeconds = 0.1; // of a client between its requests
constexpr double patienceSeconds = 3.0; // five times the timeout of the plain routes
constexpr double routeTimeoutSeconds = 0.6;
constexpr double allowedLaterSeconds = 0.5;

FleetOptions fleetOptions(const CaseOptions &options)
{
    FleetOptions fleet;
    fleet.program = options.program;
    fleet.entries = entryCount;
    return fleet;
}

} // namespace

Scene::Scene(const CaseOptions &options, bool hasEngines) : record(options.record), fleet(fleetOptions(options), record), m_hasEngines(hasEngines)
{
}

Scene::~Scene()
{
    end();
    for (const auto &worker : m_workers) {
        worker->stop();
    }
}

bool Scene::start()
{
    const unsigned count = m_hasEngines ? 4 : 3;
    for (unsigned number = 0; number < count; ++number) {
        WorkerOptions options;
        options.service = m_hasEngines ? "assist" : "registry";
        options.id = "i-" + options.service + "-" + std::to_string(number);
        options.address = fleet.standIn(number);
        options.zone = "zone-" + std::to_string(number % 3);
        options.slots = m_hasEngines ? 64 : 6;
        options.isEngine = m_hasEngines;
        m_workers.push_back(std::make_unique<Worker>(options, fleet, record));
    }
    fleet.startAll();
    for (const auto &worker : m_workers) {
        if (!worker->start()) {
            record.write("a worker has no address");
            return false;
        }
    }
    constexpr double startSeconds = 15;
    if (fleet.operate("PUT", "/mimosahollow/config", configuration(1), startSeconds) != 200 || !fleet.waitUntilReady(startSeconds)) {
        record.write("the fleet has not become ready");
        return false;
    }
    sleepFor(3);
    for (unsigned number = 0; number < entryCount * clientsPerEntry; ++number) {
        addThread([this, number] {
            runClient(number);
        });
    }
    return true;
}

void Scene::runClient(unsigned number)
{
    const unsigned entry = number % entryCount;
    for (unsigned turn = 0; !m_isOver; ++turn) {
        Outcome outcome;
        outcome.id = newId();
        std::string text;
        if (m_hasEngines) {
            text = requestText("POST",
                               "/chat/2f",
                               "Attempt-Id: " + outcome.id + "\r\nModel: m0/a" + std::to_string(1 + (number + turn) % 10)
                                   + "\r\nToken-Count: 400,80\r\nPrompt-Prefix: 5c1e07a2:200,91bd3f06:100," + outcome.id.substr(0, 8)
                                   + ":100\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer key-guild\r\n",
                               "{}");
        } else {
            text = requestText("GET", "/lookup/" + outcome.id, "Attempt-Id: " + outcome.id + "\r\nDeadline-Ms: 600\r\nAuthorization: Bearer key-guild\r\n", "");
        }
        Socket socket = connectTo(fleet.front(entry), patienceSeconds);
        outcome.sentAt = now();
        const auto answer = socket.isOpen() && socket.send(text) ? socket.readMessage(true) : std::nullopt;
        outcome.seconds = now() - outcome.sentAt;
        outcome.status = answer ? answer->status() : 0;
        record.write("client " + std::to_string(number) + ": " + outcome.id + " by front-" + std::to_string(entry) + ": "
                     + (outcome.status == 0 ? std::string("no answer") : "status " + std::to_string(outcome.status)) + " after "
                     + std::to_string(static_cast<int>(outcome.seconds * 1000)) + " ms");
        {
            const std::scoped_lock lock(m_mutex);
            m_outcomes.push_back(outcome);
        }
        sleepFor(pauseSeconds);
    }
}

void Scene::addThread(std::function<void()> client)
{
    m_threads.emplace_back(std::move(client));
}

bool Scene::isOver() const
{
    return m_isOver;
}

void Scene::end()
{
    m_isOver = true;
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

Tally Scene::tally(double from, double until)
{
    std::set<std::string> begun;
    for (const auto &worker : m_workers) {
        for (const Run &run : worker->runs()) {
            begun.insert(run.id);
        }
    }
    Tally tally;
    const std::scoped_lock lock(m_mutex);
    for (const Outcome &outcome : m_outcomes) {
        if (outcome.sentAt < from || outcome.sentAt >= until) {
            continue;
        }
        ++tally.asked;
        tally.served += outcome.status == 200 ? 1 : 0;
        tally.refused += outcome.status != 200 && outcome.status != 0 ? 1 : 0;
        tally.unanswered += outcome.status == 0 ? 1 : 0;
        tally.lostAtWorker += outcome.status == 0 && begun.contains(outcome.id) ? 1 : 0;
        // A connection that was closed is no request that still waits.
        const bool waited = outcome.seconds > routeTimeoutSeconds;
        tally.lateAtTimeout += waited ? 1 : 0;
        tally.lateAfterwards += waited && outcome.seconds > routeTimeoutSeconds + allowedLaterSeconds ? 1 : 0;
    }
    return tally;
}

std::vector<std::unique_ptr<Worker>> &Scene::workers()
{
    return m_workers;
}

std::optional<unsigned> Scene::leader()
{
    for (unsigned number = 0; number < 3; ++number) {
        // The others answer with a redirection.
        const auto answer = call(fleet.control(number), "GET", "/mimosahollow/config", "", 1.0);
        if (answer && answer->status() == 200) {
            return number;
        }
    }
    return std::nullopt;
}

std::string toText(const Tally &tally)
{
    return "asked " + std::to_string(tally.asked) + ", served " + std::to_string(tally.served) + ", refused " + std::to_string(tally.refused)
           + ", without an answer " + std::to_string(tally.unanswered) + " (" + std::to_string(tally.lostAtWorker) + " of them had begun at a worker)";
}

unsigned machinesOverMemory(Fleet &fleet, unsigned times)
{
    unsigned count = 0;
    for (const Machine *machine : fleet.machines()) {
        count += machine->kills >= times ? 1 : 0;
    }
    return count;
}

} // namespace review

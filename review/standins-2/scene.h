#pragma once

#include "cases.h"
#include "fleet.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** What became of the requests of ordinary clients. */
struct Tally
{
    unsigned asked = 0;
    unsigned served = 0;
    unsigned refused = 0; /**< Answered with another status. */
    unsigned unanswered = 0;
    unsigned lostAtWorker = 0; /**< Of those without an answer: a worker had begun to run them. */
    unsigned lateAtTimeout = 0; /**< Without an answer at the timeout of their route. */
    unsigned lateAfterwards = 0; /**< Of those: without an answer half a second later too. */
};

/** A small deployment under ordinary load: three coordinators, three entry instances, workers of one service, clients with a key. */
class Scene
{
public:
    Scene(const CaseOptions &options, bool hasEngines);
    Scene(const Scene &) = delete;
    Scene &operator=(const Scene &) = delete;
    ~Scene();

    /** Returns false if the case cannot run. */
    bool start();
    /** Runs a client beside the ordinary ones until the end of the scene. */
    void addThread(std::function<void()> client);
    [[nodiscard]] bool isOver() const;
    /** Ends the clients, and counts the requests sent from @p from to @p until. */
    void end();
    Tally tally(double from, double until);
    std::vector<std::unique_ptr<Worker>> &workers();
    /** Number of the coordinator that leads; nothing if none is found. */
    std::optional<unsigned> leader();

    Record record;
    Fleet fleet;

private:
    struct Outcome
    {
        double sentAt = 0;
        double seconds = 0; /**< To the answer. */
        int status = 0; /**< 0: none. */
        std::string id;
    };
    void runClient(unsigned number);

    bool m_hasEngines;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_isOver{false};
    std::mutex m_mutex;
    std::vector<Outcome> m_outcomes;
};

std::string toText(const Tally &tally);
/** Number of machines on which the platform has ended a process for its memory @p times or more. */
unsigned machinesOverMemory(Fleet &fleet, unsigned times);

} // namespace review

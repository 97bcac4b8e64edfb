#pragma once

#include "mimosahollow/coordination/actions.h"
#include "mimosahollow/gateway/servingevent.h"
#include "mimosahollow/link/linkevent.h"
#include "mimosahollow/rings/boundedring.h"
#include "mimosahollow/serving/serving.h"
#include "servingcodec.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

namespace mimosahollow::app {

/** What the control thread tells the serving thread. */
using ControlNews = std::variant<coordination::ConfigurationChanged, coordination::FreshnessChanged, coordination::LeaseChanged, serving::CommitResult>;

/** Functions through which decisions leave the serving thread. */
struct ServingPorts
{
    std::function<bool(std::uint32_t gatewayThread, gateway::ServingReply &reply)> reply;
    std::function<bool(gateway::BackendOrder &&order)> sendOrder;
    std::function<bool(const std::string &peer, Frame &&frame)> sendFrame;
    /** Hands a command over to be committed; the result comes back as CommitResult. False when it was not taken. */
    std::function<bool(serving::CommitCommand &&command)> commit;
    /** Passes a link event of the control part on. Returns false, and leaves it untouched, when the control thread is behind. */
    std::function<bool(link::LinkEvent &event)> passToControl;
};

/** The dispatch thread: the only one that touches admission, routing and scheduling state. */
class ServingThread
{
public:
    ServingThread(std::uint64_t process, std::uint64_t seed, std::size_t ringCapacity);
    ~ServingThread();
    ServingThread(const ServingThread &) = delete;
    ServingThread &operator=(const ServingThread &) = delete;

    void start(ServingPorts ports);
    void stop();
    void beginDrain();

    /** Events of gateway threads and of the order sender. */
    [[nodiscard]] BoundedRing<gateway::ServingEvent> &events() noexcept;
    /** Events of the links; frames of the control part are passed on. */
    [[nodiscard]] BoundedRing<link::LinkEvent> &linkEvents() noexcept;
    [[nodiscard]] BoundedRing<ControlNews> &news() noexcept;

    /** JSON of pools, servers and organisations as of the last second. */
    [[nodiscard]] std::string statusJson() const;

private:
    void run();
    void handleNews(ControlNews &news, TimePoint now);
    void handleLinkEvent(link::LinkEvent &event, TimePoint now);
    void passBacklog();
    void carryOut();
    void carryOut(serving::ReplyToCall &reply);
    void carryOut(serving::SendToPeer &message);
    void carryOut(gateway::BackendOrder &order);
    void carryOut(serving::CommitCommand &commit);
    void carryOut(const serving::LogDecision &decision);
    void indexInstances(const control::Configuration &configuration);
    void publishStatus(TimePoint now);

    serving::ServingState m_state;
    serving::Actions m_actions;
    ServingPorts m_ports;
    BoundedRing<gateway::ServingEvent> m_events;
    BoundedRing<link::LinkEvent> m_linkEvents;
    BoundedRing<ControlNews> m_news;
    std::unordered_map<std::uint32_t, std::string> m_namesById;
    std::unordered_map<std::string, InstanceId> m_idsByName;
    std::deque<link::LinkEvent> m_controlBacklog; // at most one batch of link events
    TimePoint m_nextStatus{};
    mutable std::mutex m_statusMutex;
    std::string m_status;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_drainRequested = false;
    std::thread m_thread;
};

} // namespace mimosahollow::app

#pragma once

#include "mimosahollow/coordination/coordination.h"
#include "mimosahollow/link/linkevent.h"
#include "mimosahollow/rings/boundedring.h"
#include "servingthread.h"
#include "voterstorage.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace mimosahollow::app {

/** Functions through which decisions leave the control thread. */
struct ControlPorts
{
    std::function<bool(const std::string &peer, Frame &&frame)> sendFrame;
    std::function<void(const std::string &address)> connect;
    /** Tells the serving thread. False when its ring is full; the thread tries again. */
    std::function<bool(ControlNews &news)> tellServing;
};

/** Called on the control thread when a command has ended. */
using CommandCallback = std::function<void(const coordination::CommandDone &done)>;

/** Overview for the status command. */
struct ControlStatus
{
    std::string leader;
    std::string relay;
    std::string upstream;
    Version appliedIndex = 0;
    bool fresh = false;
    bool isLeader = false;
    std::shared_ptr<const control::Configuration> configuration;
    std::vector<std::string> aliveInstances;
};

/** The control thread: the only one that touches replicated log, membership and lease state. */
class ControlThread
{
public:
    /**
     * @p dataFolder is empty for an instance without a disk. @p founding allows a voter with an empty disk to vote; without it
     * such a voter only follows, because it may have forgotten votes and entries that it had confirmed.
     */
    ControlThread(coordination::Options options, std::string dataFolder, bool founding, std::size_t ringCapacity);
    ~ControlThread();
    ControlThread(const ControlThread &) = delete;
    ControlThread &operator=(const ControlThread &) = delete;

    /** Reads the log of a voter and starts the thread. Returns an error message or nothing. */
    [[nodiscard]] std::string start(ControlPorts ports);
    void stop();

    /** Any thread. False when the ring is full; the callback is not called then. */
    [[nodiscard]] bool submit(control::Command command, Duration patience, CommandCallback done);
    /** Any thread. Returns false, and leaves the event untouched, when the ring is full. */
    [[nodiscard]] bool deliver(link::LinkEvent &event);
    /** Gives up pools and the registration; @p done is called when the fleet knows. */
    [[nodiscard]] bool leave();

    /** Runs @p look on the control thread with the state machine, or with null on an instance that is no voter. */
    [[nodiscard]] bool inspect(std::function<void(const control::ControlState *)> look);

    [[nodiscard]] ControlStatus status() const;

private:
    struct SubmitCommand
    {
        control::Command command;
        Duration patience{};
        CommandCallback done;
    };
    struct Leave
    {
    };
    struct Inspect
    {
        std::function<void(const control::ControlState *)> look;
    };
    using Event = std::variant<link::LinkEvent, storage::StorageEvent, SubmitCommand, Leave, Inspect>;

    void run();
    void handle(Event &event, TimePoint now);
    void handleLinkEvent(link::LinkEvent &event, TimePoint now);
    void handleStorageEvent(storage::StorageEvent &event, TimePoint now);
    void carryOut();
    void carryOut(coordination::Action &action);
    void finish(const coordination::CommandDone &done);
    void tellServing(ControlNews news);
    void publishStatus(TimePoint now);

    coordination::Options m_options;
    bool m_isVoter;
    bool m_founding;
    BoundedRing<Event> m_ring;
    std::vector<storage::StorageEvent> m_storageEvents; // without a data folder, events arise on this thread
    // Set by the thread itself, because the storage thread may report before start() has stored m_thread.
    std::atomic<std::thread::id> m_threadId{};
    VoterStorage m_storage;
    std::optional<coordination::CoordinationState> m_state;
    coordination::Actions m_actions;
    ControlPorts m_ports;
    std::deque<ControlNews> m_unsentNews;
    std::unordered_map<std::uint64_t, CommandCallback> m_callbacks;
    std::uint64_t m_nextTicket = 1;
    TimePoint m_nextStatus{};
    mutable std::mutex m_statusMutex;
    ControlStatus m_status;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace mimosahollow::app

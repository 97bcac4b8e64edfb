#include "controlthread.h"

#include "controlframes.h"
#include "mimosahollow/observability/log.h"

#include <algorithm>

namespace mimosahollow::app {

namespace {

constexpr milliseconds tickInterval{10};
constexpr Duration statusInterval = milliseconds(200);

std::int64_t wallClockMilliseconds()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

ControlThread::ControlThread(coordination::Options options, std::string dataFolder, bool founding, std::size_t ringCapacity)
    : m_options(std::move(options))
    , m_isVoter(std::find(m_options.voters.begin(), m_options.voters.end(), m_options.name) != m_options.voters.end())
    , m_founding(founding)
    , m_ring(ringCapacity)
    , m_storage(std::move(dataFolder), [this](storage::StorageEvent event) {
        if (std::this_thread::get_id() == m_threadId) {
            m_storageEvents.push_back(std::move(event));
            return;
        }
        Event element(std::move(event));
        // A lost completion would stall the log, so the storage thread waits for room.
        while (!m_ring.tryPush(element) && !m_stopping) {
            std::this_thread::sleep_for(milliseconds(1));
        }
    })
{
}

ControlThread::~ControlThread()
{
    stop();
}

std::string ControlThread::start(ControlPorts ports)
{
    m_ports = std::move(ports);
    const TimePoint now = std::chrono::steady_clock::now();
    std::variant<control::DurableLog, std::string> durable;
    if (m_isVoter) {
        durable = m_storage.open();
        if (const auto *error = std::get_if<std::string>(&durable)) {
            return *error;
        }
        if (!coordination::mayVote(std::get<control::DurableLog>(durable), m_options, m_founding)) {
            observability::logWarning("the data folder is empty: this voter takes no part in votes; start a new fleet with --found, or replace the voter");
            m_isVoter = false;
        }
    }
    if (m_isVoter) {
        auto made = coordination::makeVoter(m_options, std::get<control::DurableLog>(std::move(durable)), now);
        if (const auto *error = std::get_if<std::string>(&made)) {
            return *error;
        }
        m_state = std::get<coordination::CoordinationState>(std::move(made));
    } else {
        m_state = coordination::makeNonVoter(m_options, now);
    }
    m_thread = std::thread([this] {
        run();
    });
    return {};
}

void ControlThread::stop()
{
    m_stopping = true;
    m_ring.wake();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool ControlThread::submit(control::Command command, Duration patience, CommandCallback done)
{
    Event event(SubmitCommand{std::move(command), patience, std::move(done)});
    return m_ring.tryPush(event);
}

bool ControlThread::deliver(link::LinkEvent &event)
{
    Event element(std::move(event));
    if (m_ring.tryPush(element)) {
        return true;
    }
    event = std::move(std::get<link::LinkEvent>(element));
    return false;
}

bool ControlThread::leave()
{
    Event event(Leave{});
    return m_ring.tryPush(event);
}

bool ControlThread::inspect(std::function<void(const control::ControlState *)> look)
{
    Event event(Inspect{std::move(look)});
    return m_ring.tryPush(event);
}

ControlStatus ControlThread::status() const
{
    const std::scoped_lock lock(m_statusMutex);
    return m_status;
}

void ControlThread::run()
{
    m_threadId = std::this_thread::get_id();
    std::vector<Event> events;
    TimePoint nextTick{};
    while (!m_stopping) {
        events.clear();
        m_ring.waitAndTake(events, tickInterval);
        const TimePoint now = std::chrono::steady_clock::now();
        for (Event &event : events) {
            handle(event, now);
            carryOut();
        }
        if (now >= nextTick) {
            nextTick = now + tickInterval;
            coordination::tick(*m_state, now, wallClockMilliseconds(), m_actions);
            carryOut();
            m_storage.flush();
        }
        while (!m_unsentNews.empty() && m_ports.tellServing(m_unsentNews.front())) {
            m_unsentNews.pop_front();
        }
        publishStatus(now);
    }
}

void ControlThread::handle(Event &event, TimePoint now)
{
    if (auto *linkEvent = std::get_if<link::LinkEvent>(&event)) {
        handleLinkEvent(*linkEvent, now);
    } else if (auto *storageEvent = std::get_if<storage::StorageEvent>(&event)) {
        handleStorageEvent(*storageEvent, now);
    } else if (auto *submitted = std::get_if<SubmitCommand>(&event)) {
        const std::uint64_t ticket = m_nextTicket++;
        m_callbacks[ticket] = std::move(submitted->done);
        coordination::submit(*m_state, ticket, std::move(submitted->command), submitted->patience, now, m_actions);
    } else if (const auto *inspect = std::get_if<Inspect>(&event)) {
        inspect->look(m_state->voter ? &m_state->voter->control : nullptr);
    } else {
        coordination::leave(*m_state, now, m_actions);
    }
}

void ControlThread::handleLinkEvent(link::LinkEvent &event, TimePoint now)
{
    if (const auto *up = std::get_if<link::PeerUp>(&event)) {
        coordination::peerUp(*m_state, up->peer, now, m_actions);
    } else if (const auto *down = std::get_if<link::PeerDown>(&event)) {
        observability::logInfo("link to instance " + down->peer + " is down: " + down->reason);
        coordination::peerDown(*m_state, down->peer, now, m_actions);
    } else if (const auto *refused = std::get_if<link::PeerRefused>(&event)) {
        observability::logWarning("link with " + refused->address + " is refused: " + refused->reason);
    } else if (const auto *frame = std::get_if<link::ReceivedFrame>(&event)) {
        if (auto message = decodeControlMessage(frame->kind, frame->payload)) {
            coordination::receive(*m_state, frame->peer, std::move(*message), now, m_actions);
        } else {
            observability::logWarning("dropped a malformed message of instance " + frame->peer);
        }
    }
}

void ControlThread::handleStorageEvent(storage::StorageEvent &event, TimePoint now)
{
    if (const auto *synced = std::get_if<storage::StorageSynced>(&event)) {
        coordination::storageSynced(*m_state, synced->write, now, m_actions);
    } else if (auto *stored = std::get_if<storage::SnapshotStored>(&event)) {
        coordination::snapshotStored(*m_state, stored->index, stored->replacesLog, std::move(stored->data), now, m_actions);
    } else if (const auto *refused = std::get_if<storage::StorageRefused>(&event)) {
        observability::logError("the disk refuses writes, so that this voter acknowledges nothing until it takes them: " + refused->error.message);
        coordination::storageSuspended(*m_state, now, m_actions);
    } else if (std::holds_alternative<storage::StorageResumed>(event)) {
        observability::logInfo("the disk takes writes again");
        coordination::storageResumed(*m_state, now);
    } else {
        observability::logError("this voter acknowledges nothing any more: " + std::get<storage::StorageFailed>(event).error.message);
        coordination::storageSuspended(*m_state, now, m_actions);
    }
}

void ControlThread::carryOut()
{
    while (!m_actions.empty() || !m_storageEvents.empty()) {
        coordination::Actions actions;
        actions.swap(m_actions);
        for (coordination::Action &action : actions) {
            carryOut(action);
        }
        std::vector<storage::StorageEvent> events;
        events.swap(m_storageEvents);
        for (storage::StorageEvent &event : events) {
            handleStorageEvent(event, std::chrono::steady_clock::now());
        }
    }
}

void ControlThread::carryOut(coordination::Action &action)
{
    if (auto *message = std::get_if<coordination::SendMessage>(&action)) {
        // Every control message is repeated by its protocol when the link cannot take it.
        static_cast<void>(m_ports.sendFrame(message->peer, encodeControlMessage(message->message)));
    } else if (auto *order = std::get_if<coordination::StorageWrite>(&action)) {
        m_storage.write(std::move(*order));
    } else if (auto *changed = std::get_if<coordination::ConfigurationChanged>(&action)) {
        m_nextStatus = {}; // an operator who asks after a change must see it
        tellServing(std::move(*changed));
    } else if (auto *freshness = std::get_if<coordination::FreshnessChanged>(&action)) {
        tellServing(*freshness);
    } else if (auto *lease = std::get_if<coordination::LeaseChanged>(&action)) {
        tellServing(*lease);
    } else if (const auto *done = std::get_if<coordination::CommandDone>(&action)) {
        finish(*done);
    } else if (const auto *connect = std::get_if<coordination::ConnectTo>(&action)) {
        m_ports.connect(connect->address);
    } else {
        observability::logInfo(std::get<coordination::Notice>(action).text);
    }
}

void ControlThread::finish(const coordination::CommandDone &done)
{
    const auto found = m_callbacks.find(done.ticket);
    if (found == m_callbacks.end()) {
        return;
    }
    const CommandCallback callback = std::move(found->second);
    m_callbacks.erase(found);
    callback(done);
}

void ControlThread::tellServing(ControlNews news)
{
    if (!m_unsentNews.empty() || !m_ports.tellServing(news)) {
        m_unsentNews.push_back(std::move(news));
    }
}

void ControlThread::publishStatus(TimePoint now)
{
    if (now < m_nextStatus) {
        return;
    }
    m_nextStatus = now + statusInterval;
    ControlStatus status;
    status.leader = m_state->view.leader;
    status.relay = m_state->view.relay;
    status.upstream = m_state->upstream;
    status.appliedIndex = m_state->renewal.applied;
    status.fresh = membership::isFresh(m_state->renewal, now);
    status.isLeader = m_state->voter && m_state->voter->leader;
    status.configuration = m_state->configuration;
    for (const auto &[name, known] : m_state->view.known) {
        if (known.alive) {
            status.aliveInstances.push_back(name);
        }
    }
    const std::scoped_lock lock(m_statusMutex);
    m_status = std::move(status);
}

} // namespace mimosahollow::app

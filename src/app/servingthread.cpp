#include "servingthread.h"

#include "gateway/httptypes.h"
#include "mimosahollow/control/configuration.h"
#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"
#include "servingstatus.h"

namespace mimosahollow::app {

namespace {

constexpr milliseconds tickInterval{10};
constexpr Duration statusInterval = seconds(1);

} // namespace

ServingThread::ServingThread(std::uint64_t process, std::uint64_t seed, std::size_t ringCapacity)
    : m_state(serving::makeServingState(process, seed)), m_events(ringCapacity), m_linkEvents(ringCapacity), m_news(ringCapacity)
{
    const auto wake = [this] {
        m_events.wake();
    };
    m_linkEvents.setWakeFunction(wake);
    m_news.setWakeFunction(wake);
}

ServingThread::~ServingThread()
{
    stop();
}

void ServingThread::start(ServingPorts ports)
{
    m_ports = std::move(ports);
    m_thread = std::thread([this] {
        run();
    });
}

void ServingThread::stop()
{
    m_stopping = true;
    m_events.wake();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void ServingThread::beginDrain()
{
    m_drainRequested = true;
    m_events.wake();
}

BoundedRing<gateway::ServingEvent> &ServingThread::events() noexcept
{
    return m_events;
}

BoundedRing<link::LinkEvent> &ServingThread::linkEvents() noexcept
{
    return m_linkEvents;
}

BoundedRing<ControlNews> &ServingThread::news() noexcept
{
    return m_news;
}

std::string ServingThread::statusJson() const
{
    const std::scoped_lock lock(m_statusMutex);
    return m_status;
}

void ServingThread::run()
{
    std::vector<gateway::ServingEvent> events;
    std::vector<link::LinkEvent> linkEvents;
    std::vector<ControlNews> news;
    TimePoint nextTick{};
    while (!m_stopping) {
        events.clear();
        linkEvents.clear();
        news.clear();
        m_events.waitAndTake(events, tickInterval);
        m_news.take(news);
        passBacklog();
        if (m_controlBacklog.empty()) {
            m_linkEvents.take(linkEvents); // otherwise the ring fills up and the links stop reading
        }
        const TimePoint now = std::chrono::steady_clock::now();
        if (m_drainRequested && !m_state.draining) {
            serving::beginDrain(m_state, now, m_actions);
        }
        for (ControlNews &item : news) {
            handleNews(item, now);
        }
        for (link::LinkEvent &event : linkEvents) {
            handleLinkEvent(event, now);
        }
        for (gateway::ServingEvent &event : events) {
            std::visit(
                [&](auto &content) {
                    serving::handle(m_state, std::move(content), now, m_actions);
                },
                event);
            carryOut();
        }
        if (now >= nextTick) {
            nextTick = now + tickInterval;
            serving::tick(m_state, now, m_actions);
        }
        carryOut();
        publishStatus(now);
    }
}

void ServingThread::handleNews(ControlNews &news, TimePoint now)
{
    if (auto *changed = std::get_if<coordination::ConfigurationChanged>(&news)) {
        indexInstances(*changed->configuration);
        serving::setConfiguration(m_state, std::move(changed->configuration), changed->self, changed->home, now, m_actions);
    } else if (const auto *freshness = std::get_if<coordination::FreshnessChanged>(&news)) {
        serving::setFreshUntil(m_state, freshness->freshUntil);
    } else if (const auto *lease = std::get_if<coordination::LeaseChanged>(&news)) {
        if (lease->buckets) {
            serving::setBucketLease(m_state, lease->fencing, lease->ownedUntil, now);
        } else {
            serving::setPoolLease(m_state, {lease->pool, lease->fencing, lease->ownedUntil, lease->ordersFrom}, now, m_actions);
        }
    } else {
        serving::handle(m_state, std::get<serving::CommitResult>(news), now, m_actions);
    }
    carryOut();
}

void ServingThread::handleLinkEvent(link::LinkEvent &event, TimePoint now)
{
    if (const auto *frame = std::get_if<link::ReceivedFrame>(&event); frame != nullptr && isServingKind(frame->kind)) {
        const auto from = m_idsByName.find(frame->peer);
        auto message = decodeServingMessage(frame->kind, frame->payload, now);
        if (!message) {
            observability::logWarning("dropped a malformed message of instance " + frame->peer);
        } else if (from != m_idsByName.end()) {
            serving::handlePeerMessage(m_state, from->second, std::move(*message), now, m_actions);
        }
    } else {
        if (const auto *down = std::get_if<link::PeerDown>(&event)) {
            const auto peer = m_idsByName.find(down->peer);
            if (peer != m_idsByName.end()) {
                serving::handlePeerDisconnected(m_state, peer->second, now, m_actions);
            }
        }
        m_controlBacklog.push_back(std::move(event));
        passBacklog();
    }
    carryOut();
}

void ServingThread::passBacklog()
{
    while (!m_controlBacklog.empty() && m_ports.passToControl(m_controlBacklog.front())) {
        m_controlBacklog.pop_front();
    }
}

void ServingThread::carryOut()
{
    // Carrying out an action never adds another one, except for a refused order or command, which comes back as an event.
    for (std::size_t i = 0; i < m_actions.size(); ++i) {
        serving::Action action = std::move(m_actions[i]);
        std::visit(
            [this](auto &content) {
                carryOut(content);
            },
            action);
    }
    m_actions.clear();
}

void ServingThread::carryOut(serving::ReplyToCall &reply)
{
    if (!m_ports.reply(reply.gatewayThread, reply.reply)) {
        observability::logError("the reply ring of a gateway thread is full although its waiting calls are bounded");
    }
}

void ServingThread::carryOut(serving::SendToPeer &message)
{
    const auto name = m_namesById.find(number(message.to));
    if (name == m_namesById.end()) {
        return;
    }
    auto frame = encodeServingMessage(message.message, std::chrono::steady_clock::now());
    if (frame && !m_ports.sendFrame(name->second, std::move(*frame))) {
        serving::handleSendFailure(m_state, message.to, message.message, std::chrono::steady_clock::now(), m_actions);
    }
}

void ServingThread::carryOut(gateway::BackendOrder &order)
{
    const std::uint64_t id = order.order;
    if (!m_ports.sendOrder(std::move(order))) {
        serving::handle(m_state, gateway::BackendOrderResult{id, gateway::OrderOutcome::NotSent}, std::chrono::steady_clock::now(), m_actions);
    }
}

void ServingThread::carryOut(serving::CommitCommand &commit)
{
    const RequestId call = commit.call;
    if (!m_ports.commit(std::move(commit))) {
        serving::handle(m_state, serving::CommitResult{call, false, false, {}}, std::chrono::steady_clock::now(), m_actions);
    }
}

void ServingThread::carryOut(const serving::LogDecision &decision)
{
    observability::DecisionLine line(decision.decision);
    line.add("request", gateway::toText(decision.request)).add("organisation", decision.organisation).add("adapter", decision.adapter);
    line.add("candidates", std::uint64_t{decision.candidates}).add("choice", decision.choice).add("reason", decision.reason);
    observability::logDecision(line.text());
}

void ServingThread::indexInstances(const control::Configuration &configuration)
{
    m_namesById.clear();
    m_idsByName.clear();
    for (const control::Instance &instance : configuration.instances) {
        m_namesById[number(instance.id)] = instance.name;
        m_idsByName[instance.name] = instance.id;
    }
}

void ServingThread::publishStatus(TimePoint now)
{
    if (now < m_nextStatus) {
        return;
    }
    m_nextStatus = now + statusInterval;
    std::string status = describeServing(m_state, now);
    const std::scoped_lock lock(m_statusMutex);
    m_status = std::move(status);
}

} // namespace mimosahollow::app

#include "coordinator/coordinatorinternal.h"
#include "fleetlink/bootclock.h"

#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosahollow::coordinator {

namespace asio = boost::asio;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::array<std::string_view, 6> outcomeNames{"accepted", "already-done", "conflict", "rejected", "other-instance", "unknown"};

} // namespace

/** Copies the order holders from the replicated state. Slots with an unchanged fencing number keep their state. */
void Coordinator::applyOrderHolders()
{
    auto &slots = m_placement.slots.slots;
    for (std::size_t slot = 0; slot < std::min(slots.size(), m_state.orderHolders.size()); ++slot) {
        const fleetstate::OrderHolder &holder = m_state.orderHolders[slot];
        if (slots[slot].fencingNumber != holder.fencingNumber) {
            slots[slot] = {holder.name, holder.fencingNumber, {}};
            m_placement.slots.assignmentPending = false;
        }
    }
}

/** Assigns order slots that have no holder able to send orders. */
void Coordinator::planOrderHolders(TimePoint now)
{
    placement::recordCredit(m_placement.slots, m_settings.name, now);
    auto assignment = placement::planAssignment(m_placement.slots, now);
    if (!assignment) {
        return;
    }
    m_placement.slots.assignmentPending = true; // until the replicated state contains the assignment
    observability::DecisionLine line("order-holder");
    line.add("holder", assignment->holder).add("slots", assignment->slots.size()).add("term", m_placement.term);
    observability::logDecision(line.text());
    asio::co_spawn(m_context, assignOrderSlots(std::move(*assignment), m_placement.term), asio::detached);
}

asio::awaitable<void> Coordinator::assignOrderSlots(placement::SlotAssignment assignment, control::Term term)
{
    fleetstate::FleetCommand command;
    command.kind = fleetstate::CommandKind::TakeOrders;
    command.subject = std::move(assignment.holder);
    command.slots = std::move(assignment.slots);
    const auto alive = m_alive;
    const ChangeResult result = co_await change(std::move(command));
    if (!*alive || !leads() || m_placement.term != term) {
        co_return;
    }
    if (std::holds_alternative<Committed>(result)) {
        schedulePlacement();
    } else {
        // The assignment stays pending, because it may still be committed. Another one now could change the holder twice without a lease
        // period in between.
        observability::logWarning("assignment of order slots was not committed in time");
    }
}

/** Sends the leader a credit: this coordinator can send orders to engines. */
void Coordinator::sendCredit(TimePoint now)
{
    if (leads() || now < m_nextCredit) {
        return;
    }
    m_nextCredit = now + m_settings.creditInterval;
    if (const fleetlink::Peer *leader = m_hub->findDialed(leaderLink())) {
        const std::int64_t wall = m_settings.duties.reportsUsage ? fleetlink::wallMilliseconds() : 0;
        m_hub->send(leader->number, fleetlink::OrderCredit{static_cast<std::uint64_t>(fleetlink::bootMilliseconds()), wall});
    }
}

void Coordinator::handleCredit(const fleetlink::Peer &peer, const fleetlink::OrderCredit &credit)
{
    if (!leads()) {
        return;
    }
    m_holderCandidates[peer.hello.name] = {peer.number, credit.stamp};
    recordClock(peer.hello.name, credit.wallMilliseconds);
    placement::recordCredit(m_placement.slots, peer.hello.name, Clock::now());
}

/** Sends @p order directly or through the holder of its slot: an engine accepts orders from one machine only. */
void Coordinator::sendOrder(const placement::ModelOrder &order)
{
    ++m_counters.orders;
    const TimePoint now = Clock::now();
    const control::Term term = m_placement.term;
    const std::string &holder = m_placement.slots.slots[placement::orderSlotFor(order.server)].holder;
    if (holder == m_settings.name) {
        m_engines.order(order, [this, alive = m_alive, order, sent = now, term](placement::OrderOutcome outcome) {
            if (*alive) {
                orderEnded(order, outcome, sent, term);
            }
        });
        return;
    }
    const std::uint64_t number = ++m_lastRemoteOrder;
    m_remoteOrders[number] = {order, now, term};
    const HolderCandidate &candidate = m_holderCandidates[holder];
    m_hub->send(candidate.peer, fleetlink::OrderRequest{number, term, candidate.stamp, order});
}

/** Executes an order of the leader for an engine in a slot that this coordinator holds. */
void Coordinator::handleOrderRequest(const fleetlink::Peer &peer, const fleetlink::OrderRequest &request)
{
    // A delayed order could reach the engine together with orders of the next holder of the slot. The reassignment
    // of a slot relies on the maximum age of a credit to exclude this.
    const std::int64_t age = fleetlink::bootMilliseconds() - static_cast<std::int64_t>(request.credit);
    const bool isLate = milliseconds(age) > m_settings.orderSlots.maximumCreditAge;
    if (isLate || request.term < m_orderTerm) {
        observability::DecisionLine line("order-dropped");
        line.add("server", request.order.server).add("leader", peer.hello.name).add("term", request.term);
        line.add("credit-age-ms", Duration(milliseconds(age)));
        observability::logDecision(line.text());
        m_hub->send(peer.number, fleetlink::OrderReply{request.number, placement::OrderOutcome::Rejected});
        return;
    }
    m_orderTerm = request.term;
    m_engines.order(request.order, [this, alive = m_alive, leader = peer.number, number = request.number](placement::OrderOutcome outcome) {
        if (*alive) {
            m_hub->send(leader, fleetlink::OrderReply{number, outcome});
        }
    });
}

void Coordinator::handleOrderReply(const fleetlink::OrderReply &reply)
{
    const auto found = m_remoteOrders.find(reply.number);
    if (found == m_remoteOrders.end()) {
        return; // timed out, or from an earlier term; the next report of the engine shows the outcome
    }
    const RemoteOrder remote = std::move(found->second);
    m_remoteOrders.erase(found);
    orderEnded(remote.order, reply.outcome, remote.sent, remote.term);
}

void Coordinator::expireOrders(TimePoint now)
{
    while (!m_remoteOrders.empty() && now - m_remoteOrders.begin()->second.sent > m_settings.orderTimeout) {
        const RemoteOrder remote = std::move(m_remoteOrders.begin()->second);
        m_remoteOrders.erase(m_remoteOrders.begin());
        orderEnded(remote.order, placement::OrderOutcome::Unknown, remote.sent, remote.term);
    }
}

void Coordinator::orderEnded(const placement::ModelOrder &order, placement::OrderOutcome outcome, TimePoint sent, control::Term term)
{
    const TimePoint now = Clock::now();
    observability::DecisionLine line("order");
    line.add("server", order.server).add("kind", order.kind == placement::OrderKind::Load ? "load" : "unload");
    line.add("model", order.model).add("adapter", order.adapter).add("version", order.version);
    line.add("sequence", order.expectedSequence).add("fencing", order.fencingNumber);
    line.add("holder", m_placement.slots.slots[placement::orderSlotFor(order.server)].holder);
    line.add("outcome", outcomeNames.at(static_cast<std::size_t>(outcome))).add("ms", now - sent);
    observability::logDecision(line.text());
    if (outcome == placement::OrderOutcome::Unknown) {
        ++m_counters.ordersUnanswered;
    }
    if (!leads() || m_placement.term != term) {
        return;
    }
    placement::applyOrderReply(m_placement, order, outcome, now);
    schedulePlacement();
}

} // namespace mimosahollow::coordinator

#include "mimosahollow/duties/callqueue.h"

#include <algorithm>

namespace mimosahollow::duties {

namespace {

const CallSubject usageSubject;

/** Content of the next call about @p subject, if one is due. */
std::optional<DutyContent> nextContent(const CallQueue &queue, const CallSubject &subject)
{
    if (queue.pending.contains(subject)) {
        return std::nullopt;
    }
    if (subject == usageSubject) {
        return queue.reports.empty() ? std::nullopt : std::optional<DutyContent>(queue.reports.begin()->second);
    }
    const auto order = queue.orders.find(subject);
    if (order == queue.orders.end() || !order->second.waiting) {
        return std::nullopt;
    }
    return ScalingOrder{subject.first, subject.second, *order->second.waiting};
}

/**
 * The subject that was not called about for the longest time, so that one whose calls fail doesn't hold up the others. Usage reports go first among
 * subjects without a call: they are late after some seconds.
 */
std::optional<std::pair<CallSubject, DutyContent>> nextCall(const CallQueue &queue)
{
    std::optional<std::pair<CallSubject, DutyContent>> best;
    std::uint64_t bestNumber = 0;
    const auto consider = [&](const CallSubject &subject) {
        const auto last = queue.lastNumbers.find(subject);
        const std::uint64_t number = last == queue.lastNumbers.end() ? 0 : last->second;
        if (best && number >= bestNumber) {
            return;
        }
        if (auto content = nextContent(queue, subject)) {
            best.emplace(subject, std::move(*content));
            bestNumber = number;
        }
    };
    consider(usageSubject);
    for (const auto &[subject, order] : queue.orders) {
        consider(subject);
    }
    return best;
}

/** Many calls may be pending when the platform fails. Only the first failure of calls sent since the last one makes the pause longer. */
void updateBackoff(CallQueue &queue, const PendingCall &call, bool isFailure, TimePoint now)
{
    if (queue.backoff > Duration::zero() && call.sentAt <= queue.backoffSince) {
        return;
    }
    if (!isFailure) {
        queue.backoff = {};
        return;
    }
    queue.backoff = std::clamp(2 * queue.backoff, queue.options.shortestBackoff, queue.options.longestBackoff);
    queue.backoffSince = now;
    queue.nextSend = std::max(queue.nextSend, now + queue.backoff);
}

void reportEnded(CallQueue &queue, const PendingCall &call, DutyOutcome outcome)
{
    if (outcome == DutyOutcome::Accepted || outcome == DutyOutcome::Rejected) {
        // A rejected report would be rejected again, and its content is final. Those behind it have to go on.
        queue.reports.erase(call.window);
        queue.endedWindow = std::max(queue.endedWindow.value_or(0), call.window);
    }
}

void orderEnded(ScalingSubject &order, const PendingCall &call, DutyOutcome outcome)
{
    switch (outcome) {
    case DutyOutcome::Accepted:
    case DutyOutcome::Rejected:
        order.settled = call.desired;
        break;
    case DutyOutcome::Throttled:
        break;
    case DutyOutcome::Unanswered:
        order.settled.reset(); // it may have taken effect
        break;
    }
    if (!order.waiting && order.settled != call.desired) {
        order.waiting = call.desired;
    }
    if (order.waiting == order.settled) {
        order.waiting.reset();
    }
}

void abandonPending(CallQueue &queue, bool isUsage)
{
    for (auto &[subject, call] : queue.pending) {
        call.isAbandoned = call.isAbandoned || (subject == usageSubject) == isUsage;
    }
}

} // namespace

CallSubject subjectOf(const DutyContent &content)
{
    const auto *order = std::get_if<ScalingOrder>(&content);
    return order == nullptr ? usageSubject : CallSubject(order->service, order->domain);
}

bool addReport(CallQueue &queue, const UsageReport &report)
{
    if (queue.endedWindow && report.window <= *queue.endedWindow) {
        return false;
    }
    return queue.reports.try_emplace(report.window, report).second;
}

void setWanted(CallQueue &queue, const ScalingOrder &order)
{
    const CallSubject subject(order.service, order.domain);
    ScalingSubject &known = queue.orders[subject];
    const auto pending = queue.pending.find(subject);
    const bool isPending = pending != queue.pending.end() && !pending->second.isAbandoned;
    const std::optional<unsigned> underway = isPending ? std::optional(pending->second.desired) : known.settled;
    known.waiting = underway == order.desired ? std::nullopt : std::optional(order.desired);
}

std::optional<QueuedCall> takeCall(CallQueue &queue, TimePoint now)
{
    const double rate = queue.options.callsPerSecond * queue.options.usedShare;
    // While the platform fails, one call at a time shows whether it is back.
    const bool isProbePending = queue.backoff > Duration::zero() && !queue.pending.empty();
    if (now < queue.nextSend || isProbePending) {
        return std::nullopt;
    }
    auto next = nextCall(queue);
    if (!next) {
        return std::nullopt;
    }
    auto &[subject, content] = *next;
    PendingCall call;
    call.number = ++queue.callsSent;
    call.sentAt = now;
    if (const auto *order = std::get_if<ScalingOrder>(&content)) {
        call.desired = order->desired;
        queue.orders[subject].waiting.reset();
    } else {
        call.window = std::get<UsageReport>(content).window;
    }
    queue.pending[subject] = call;
    queue.lastNumbers[subject] = call.number;
    // Evenly spaced: the platform may count in any second, also in one that begins in the middle of a burst.
    queue.nextSend = rate > 0 ? now + fromSeconds(1 / rate) : now;
    return QueuedCall{call.number, std::move(content)};
}

void callEnded(CallQueue &queue, std::uint64_t number, DutyOutcome outcome, TimePoint now)
{
    const auto found = std::find_if(queue.pending.begin(), queue.pending.end(), [number](const auto &item) {
        return item.second.number == number;
    });
    if (found == queue.pending.end()) {
        return;
    }
    const auto [subject, call] = *found;
    queue.pending.erase(found);
    updateBackoff(queue, call, outcome == DutyOutcome::Throttled || outcome == DutyOutcome::Unanswered, now);
    if (call.isAbandoned) {
        return;
    }
    if (subject == usageSubject) {
        reportEnded(queue, call, outcome);
    } else {
        orderEnded(queue.orders[subject], call, outcome);
    }
}

void abandonReports(CallQueue &queue)
{
    queue.reports.clear();
    queue.endedWindow.reset();
    abandonPending(queue, true);
}

void abandonOrders(CallQueue &queue)
{
    queue.orders.clear();
    abandonPending(queue, false);
}

} // namespace mimosahollow::duties

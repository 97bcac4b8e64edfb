#include "coordinator/coordinatorinternal.h"
#include "fleetlink/bootclock.h"

#include "mimosahollow/duties/dutyrules.h"
#include "mimosahollow/duties/reportingwindow.h"
#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace mimosahollow::coordinator {

namespace asio = boost::asio;

namespace {

using Clock = std::chrono::steady_clock;

/** Entry instances connect to a new leader and repeat their counts within this time. */
constexpr Duration collectionTime = seconds(1);
/** An entry instance without a connection that has reported within this time may return; windows wait for it. */
constexpr Duration reconnectTime = seconds(2);
constexpr std::int64_t confirmationInterval = 100; // milliseconds; three rounds fit into the contact timeout

constexpr std::array<std::string_view, 4> outcomeNames{"accepted", "throttled", "rejected", "unanswered"};

std::int64_t lengthOf(const DutySettings &settings)
{
    return std::max<std::int64_t>(1, std::chrono::duration_cast<milliseconds>(settings.reportWindow).count());
}

/** Newest window whose report the platform has acknowledged; 0: none. */
std::uint64_t newestSentWindow(const fleetstate::FleetState &state)
{
    const auto newest = std::find_if(state.fixedUsage.rbegin(), state.fixedUsage.rend(), [](const auto &item) {
        return item.second.isSent;
    });
    return newest == state.fixedUsage.rend() ? 0 : newest->first;
}

} // namespace

bool Coordinator::hasDuties() const noexcept
{
    return m_dutyOperations.send && (m_settings.duties.reportsUsage || m_settings.duties.scales);
}

bool Coordinator::holdsDuty(std::string_view duty) const
{
    const auto holder = m_state.dutyHolders.find(std::string(duty));
    return leads() && holder != m_state.dutyHolders.end() && holder->second.name == m_settings.name;
}

/** Begins a term as leader. Calls without an outcome stay in the queue, so that there is never more than one about a subject. */
void Coordinator::beginDutyTerm()
{
    m_duties.clock = {};
    m_duties.ledger = {};
    m_duties.firstWindow = 0;
    m_duties.sizes.clear();
    m_duties.confirmation.reset();
    m_duties.confirmed.reset();
    duties::setFixedWindow(m_duties.ledger, m_state.fixedWindow);
}

void Coordinator::endDutyTerm()
{
    m_duties.confirmation.reset();
    m_duties.confirmed.reset();
    duties::abandonReports(m_duties.queue);
    duties::abandonOrders(m_duties.queue);
}

void Coordinator::recordClock(const std::string &machine, std::int64_t wall)
{
    if (hasDuties() && m_settings.duties.reportsUsage && wall != 0) {
        duties::recordClock(m_duties.clock, machine, wall, fleetlink::bootMilliseconds());
    }
}

/** Time of the fleet; 0 while it is not known, or needed by no duty. */
std::int64_t Coordinator::fleetMilliseconds()
{
    if (!hasDuties() || !m_settings.duties.reportsUsage) {
        return 0;
    }
    recordClock(m_settings.name, fleetlink::wallMilliseconds());
    // A new leader knows few clocks at first, and one of them may have jumped.
    const bool isNew = Clock::now() - m_leadsSince < collectionTime;
    const std::size_t minimum = isNew ? (m_hub->peers().size() + 1) / 2 + 1 : 1;
    return duties::fleetTime(m_duties.clock, minimum, fleetlink::bootMilliseconds()).value_or(0);
}

void Coordinator::recordUsage(const fleetlink::Peer &peer, const fleetlink::EntryReport &report)
{
    if (!hasDuties() || !m_settings.duties.reportsUsage) {
        return;
    }
    recordClock(peer.hello.name, report.wallMilliseconds);
    logLateCounts(peer.hello.name, duties::recordUsage(m_duties.ledger, {peer.hello.name, report.incarnation}, report.usage));
}

void Coordinator::logLateCounts(std::string_view source, std::uint64_t calls)
{
    if (calls == 0) {
        return;
    }
    m_duties.lateCounts += calls;
    observability::DecisionLine line("usage-late");
    line.add("source", source).add("calls", calls).add("fixed", m_state.fixedWindow);
    observability::logDecision(line.text());
}

void Coordinator::planDuties(TimePoint now)
{
    if (!hasDuties()) {
        return;
    }
    if (m_settings.duties.reportsUsage) {
        planTakeover(duties::usageDuty, now);
        planUsage(now);
    }
    if (m_settings.duties.scales) {
        planTakeover(duties::scalingDuty, now);
        planSizes(now);
    }
    if (holdsDuty(duties::usageDuty) || holdsDuty(duties::scalingDuty)) {
        confirmLeadership();
        sendDutyCalls(now);
    }
}

void Coordinator::planTakeover(std::string_view duty, TimePoint now)
{
    const auto holder = m_state.dutyHolders.find(std::string(duty));
    const bool isHeld = holder != m_state.dutyHolders.end();
    const fleetstate::DutyHolder known = isHeld ? holder->second : fleetstate::DutyHolder();
    const duties::TakeoverTimes times{m_settings.duties.takeoverDelay, m_settings.duties.returnDelay};
    if (duties::mayTake(known.name, known.previous, m_settings.name, now - m_leadsSince, times) && hasMajorityContact(now)
        && m_duties.pendingTakes.insert(std::string(duty)).second) {
        asio::co_spawn(m_context, takeDuty(std::string(duty)), asio::detached);
    }
}

asio::awaitable<void> Coordinator::takeDuty(std::string duty)
{
    const auto alive = m_alive;
    fleetstate::FleetCommand command;
    command.kind = fleetstate::CommandKind::TakeDuty;
    command.subject = duty;
    command.text = m_settings.name;
    const ChangeResult result = co_await change(std::move(command));
    if (!*alive) {
        co_return;
    }
    m_duties.pendingTakes.erase(duty);
    const auto holder = m_state.dutyHolders.find(duty);
    if (!std::holds_alternative<Committed>(result) || holder == m_state.dutyHolders.end()) {
        observability::logWarning("duty " + duty + " was not taken in time; it is tried again");
        co_return;
    }
    observability::DecisionLine line("duty-taken");
    line.add("duty", duty).add("holder", holder->second.name).add("fencing", holder->second.fencingNumber);
    observability::logDecision(line.text());
}

/** Fixes the next window if it is complete, and hands the fixed ones to the queue. */
void Coordinator::planUsage(TimePoint now)
{
    if (m_state.fixedWindow > m_duties.ledger.fixedWindow) {
        // Counts may have arrived while the command was on its way.
        if (const auto fixed = m_state.fixedUsage.find(m_state.fixedWindow); fixed != m_state.fixedUsage.end()) {
            std::uint64_t late = 0;
            for (const auto &[organisation, calls] : duties::sumOf(m_duties.ledger, m_state.fixedWindow).counts) {
                const auto included = fixed->second.counts.find(organisation);
                late += calls - std::min(calls, included == fixed->second.counts.end() ? 0 : included->second);
            }
            logLateCounts("all", late);
        }
        duties::setFixedWindow(m_duties.ledger, m_state.fixedWindow);
    }
    const std::int64_t fleetTime = fleetMilliseconds();
    if (fleetTime == 0 || !holdsDuty(duties::usageDuty)) {
        return;
    }
    const std::int64_t length = lengthOf(m_settings.duties);
    const std::uint64_t sent = newestSentWindow(m_state);
    m_duties.lag = sent == 0 ? 0 : static_cast<std::uint64_t>(std::max<std::int64_t>(fleetTime - duties::windowEnd(sent, length), 0));
    if (m_duties.firstWindow == 0) {
        const std::uint64_t current = duties::windowAt(fleetTime, length);
        m_duties.firstWindow = m_duties.ledger.windows.empty() ? current : std::min(current, m_duties.ledger.windows.begin()->first);
    }
    if (!m_duties.isFixing && now - m_leadsSince >= collectionTime) {
        const std::vector<std::string> entries = expectedEntries(now);
        if (const auto window = duties::windowToFix(m_duties.ledger, m_duties.firstWindow, entries, fleetTime, length)) {
            m_duties.isFixing = true;
            asio::co_spawn(m_context, fixUsage(duties::sumOf(m_duties.ledger, *window)), asio::detached);
        }
    }
    auto &reports = m_duties.queue.reports;
    if (!m_state.fixedUsage.empty()) {
        reports.erase(reports.begin(), reports.lower_bound(m_state.fixedUsage.begin()->first));
    }
    for (const auto &[window, fixed] : m_state.fixedUsage) {
        if (!fixed.isSent) {
            duties::addReport(m_duties.queue, {window, fixed.counts});
        }
    }
}

/** Entry instances whose final counts a window waits for. */
std::vector<std::string> Coordinator::expectedEntries(TimePoint now) const
{
    std::set<std::string> names;
    for (const fleetlink::Peer &peer : m_hub->peers()) {
        if (peer.hello.address.empty()) {
            names.insert(peer.hello.name);
        }
    }
    for (const auto &[name, entry] : m_entries) {
        if (now - entry.lastReportAt < reconnectTime) {
            names.insert(name);
        }
    }
    return {names.begin(), names.end()};
}

asio::awaitable<void> Coordinator::fixUsage(duties::UsageReport report)
{
    const auto alive = m_alive;
    std::uint64_t calls = 0;
    for (const auto &[organisation, count] : report.counts) {
        calls += count;
    }
    fleetstate::FleetCommand command;
    command.kind = fleetstate::CommandKind::FixUsage;
    command.version = report.window;
    command.counts = std::move(report.counts);
    const ChangeResult result = co_await change(std::move(command));
    if (!*alive) {
        co_return;
    }
    m_duties.isFixing = false;
    if (!std::holds_alternative<Committed>(result)) {
        observability::logWarning("usage of window " + std::to_string(report.window) + " was not fixed in time; it is tried again");
        co_return;
    }
    const std::int64_t fleetTime = fleetMilliseconds();
    const std::int64_t age = fleetTime == 0 ? 0 : fleetTime - duties::windowEnd(report.window, lengthOf(m_settings.duties));
    observability::DecisionLine line("usage-fixed");
    line.add("window", report.window).add("calls", calls).add("changed", std::get<Committed>(result).changed ? "yes" : "no");
    line.add("age-ms", Duration(milliseconds(age)));
    observability::logDecision(line.text());
}

/** Confirms the leadership by rounds of the log, whose begin is noted before they are sent. */
void Coordinator::confirmLeadership()
{
    const std::int64_t boot = fleetlink::bootMilliseconds();
    if (m_duties.confirmation || (m_duties.confirmed && boot - *m_duties.confirmed < confirmationInterval)) {
        return;
    }
    control::ConsensusActions actions;
    m_duties.confirmationBegan = boot;
    m_duties.confirmation = control::requestRead(*m_consensus, actions);
    control::tick(*m_consensus, Clock::now(), actions);
    executeActions(std::move(actions));
}

/** Whether the round @p read belongs to the duties. */
bool Coordinator::finishConfirmation(std::uint64_t read, bool confirmed)
{
    if (m_duties.confirmation != read) {
        return false;
    }
    m_duties.confirmation.reset();
    if (confirmed) {
        m_duties.confirmed = m_duties.confirmationBegan;
    }
    return true;
}

void Coordinator::sendDutyCalls(TimePoint now)
{
    const auto mayAct = [this](std::string_view duty) {
        const auto holder = m_state.dutyHolders.find(std::string(duty));
        return holder != m_state.dutyHolders.end()
               && duties::mayAct(holder->second.name, m_settings.name, m_duties.confirmed, fleetlink::bootMilliseconds(), m_settings.majorityContactTimeout);
    };
    // The clock is read before each call: this process may be suspended between two of them.
    while (mayAct(duties::usageDuty) || mayAct(duties::scalingDuty)) {
        auto queued = duties::takeCall(m_duties.queue, now);
        if (!queued) {
            return;
        }
        const bool isUsage = std::holds_alternative<duties::UsageReport>(queued->content);
        const fleetstate::DutyHolder &holder = m_state.dutyHolders.at(std::string(isUsage ? duties::usageDuty : duties::scalingDuty));
        duties::DutyCall call{holder.name, holder.fencingNumber, std::move(queued->content)};
        m_dutyOperations.send(call, [this, alive = m_alive, number = queued->number, call, sent = Clock::now()](duties::DutyOutcome outcome) {
            if (*alive) {
                dutyCallEnded(number, call, outcome, sent);
            }
        });
    }
}

void Coordinator::dutyCallEnded(std::uint64_t number, const duties::DutyCall &call, duties::DutyOutcome outcome, TimePoint sent)
{
    const TimePoint now = Clock::now();
    duties::callEnded(m_duties.queue, number, outcome, now);
    const std::array<std::uint64_t *, 4> counters{&m_duties.callsAccepted, &m_duties.callsThrottled, &m_duties.callsRejected, &m_duties.callsUnanswered};
    ++*counters.at(static_cast<std::size_t>(outcome));
    observability::DecisionLine line("duty-call");
    line.add("holder", call.holder).add("fencing", call.fencingNumber);
    if (const auto *report = std::get_if<duties::UsageReport>(&call.content)) {
        line.add("window", report->window).add("organisations", report->counts.size());
    } else {
        const auto &order = std::get<duties::ScalingOrder>(call.content);
        line.add("service", order.service).add("domain", order.domain).add("desired", order.desired);
    }
    line.add("outcome", outcomeNames.at(static_cast<std::size_t>(outcome))).add("ms", now - sent);
    observability::logDecision(line.text());
    const auto *report = std::get_if<duties::UsageReport>(&call.content);
    if (report != nullptr && outcome == duties::DutyOutcome::Accepted && leads() && m_duties.pendingAcknowledgements.insert(report->window).second) {
        asio::co_spawn(m_context, acknowledgeUsage(report->window), asio::detached);
    }
}

/** Without the command, the next holder repeats the call with the same content. */
asio::awaitable<void> Coordinator::acknowledgeUsage(std::uint64_t window)
{
    const auto alive = m_alive;
    fleetstate::FleetCommand command;
    command.kind = fleetstate::CommandKind::UsageSent;
    command.version = window;
    const ChangeResult result = co_await change(std::move(command));
    if (!*alive) {
        co_return;
    }
    m_duties.pendingAcknowledgements.erase(window);
    if (!std::holds_alternative<Committed>(result)) {
        observability::logWarning("the acknowledgement of window " + std::to_string(window) + " was not recorded");
    }
}

std::vector<std::pair<std::string_view, std::uint64_t>> Coordinator::dutyGauges() const
{
    std::vector<std::pair<std::string_view, std::uint64_t>> gauges;
    if (!hasDuties()) {
        return gauges;
    }
    const auto addHolder = [this, &gauges](std::string_view duty, std::string_view holds, std::string_view number) {
        const auto holder = m_state.dutyHolders.find(std::string(duty));
        gauges.emplace_back(holds, holdsDuty(duty) ? 1 : 0);
        gauges.emplace_back(number, holder == m_state.dutyHolders.end() ? 0 : holder->second.fencingNumber);
    };
    if (m_settings.duties.scales) {
        addHolder(duties::scalingDuty, "duty_scaling_held", "duty_scaling_fencing_number");
    }
    if (m_settings.duties.reportsUsage) {
        addHolder(duties::usageDuty, "duty_usage_held", "duty_usage_fencing_number");
        const auto unsent = std::count_if(m_state.fixedUsage.begin(), m_state.fixedUsage.end(), [](const auto &item) {
            return !item.second.isSent;
        });
        gauges.emplace_back("usage_fixed_window", m_state.fixedWindow);
        gauges.emplace_back("usage_sent_window", newestSentWindow(m_state));
        gauges.emplace_back("usage_unsent_windows", static_cast<std::uint64_t>(unsent));
        gauges.emplace_back("usage_lag_milliseconds", leads() ? m_duties.lag : 0);
    }
    return gauges;
}

} // namespace mimosahollow::coordinator

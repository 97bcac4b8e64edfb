#include "mimosahollow/hedging/secondcopy.h"

#include <algorithm>
#include <array>

namespace mimosahollow::hedging {

namespace {

constexpr Duration recheckInterval = milliseconds(100); // while a cause lasts that may end soon; as for calls that wait for a server
constexpr Duration sampleInterval = milliseconds(200); // until answers of other calls tell the usual time

constexpr std::array<std::string_view, exclusionCount> exclusionNames{"none",
                                                                      "disabled",
                                                                      "not-repeatable",
                                                                      "answer-began",
                                                                      "attempts-used",
                                                                      "suspected-part",
                                                                      "few-samples",
                                                                      "too-early",
                                                                      "too-late",
                                                                      "leader-lost",
                                                                      "calls-wait",
                                                                      "share-used",
                                                                      "retry-budget-used",
                                                                      "no-server"};

/** What excludes a copy for as long as the call runs. */
Exclusion lastingExclusion(const HedgingState &state, const CopyQuestion &question)
{
    if (state.options.share <= 0) {
        return Exclusion::Disabled;
    }
    if (!question.isRepeatable) {
        return Exclusion::NotRepeatable;
    }
    if (question.hasAnswerBegun) {
        return Exclusion::AnswerBegan;
    }
    if (question.attempts >= question.maximumAttempts) {
        return Exclusion::AttemptsUsed;
    }
    return question.isSuspected ? Exclusion::SuspectedPart : Exclusion::None;
}

/** What excludes a copy of a call that has taken longer than usual, and may end soon. */
Exclusion passingExclusion(const HedgingState &state, const CopyQuestion &question)
{
    if (question.isLeaderless) {
        return Exclusion::LeaderLost;
    }
    if (question.hasWaitingCalls) {
        return Exclusion::CallsWait;
    }
    const auto budget = state.budgets.find(std::string(question.service));
    if (budget == state.budgets.end() || !hasCopy(budget->second)) {
        return Exclusion::ShareUsed;
    }
    return question.hasRetry ? Exclusion::None : Exclusion::RetryBudgetUsed;
}

} // namespace

std::string_view toString(Exclusion exclusion) noexcept
{
    return exclusionNames[static_cast<std::size_t>(exclusion)];
}

CopyDecision maySendCopy(const HedgingState &state, const CopyQuestion &question, TimePoint now)
{
    const HedgingOptions &options = state.options;
    if (const Exclusion lasting = lastingExclusion(state, question); lasting != Exclusion::None) {
        return {lasting, std::nullopt};
    }
    const auto found = state.delays.find({std::string(question.route), std::string(question.service)});
    const auto quantile = [&](double share) {
        return found == state.delays.end() ? std::nullopt : delayQuantile(found->second, share, options.minimumSamples, now);
    };
    const std::optional<Duration> usual = quantile(options.delayShare);
    if (!usual) {
        return {Exclusion::FewSamples, now + sampleInterval};
    }
    const TimePoint due = question.startedAt + std::max(*usual, options.minimumDelay);
    if (now < due) {
        return {Exclusion::TooEarly, due};
    }
    if (now + *quantile(0.5) >= question.deadline) {
        return {Exclusion::TooLate, std::nullopt};
    }
    if (const Exclusion passing = passingExclusion(state, question); passing != Exclusion::None) {
        return {passing, now + recheckInterval};
    }
    return {};
}

CopyDecision withoutServer(TimePoint now)
{
    return {Exclusion::NoServer, now + recheckInterval};
}

void countCall(HedgingState &state, const std::string &service, double retryRatio)
{
    if (state.options.share > 0) {
        countCall(state.budgets[service], std::min({state.options.share, maximumShare, retryRatio * state.options.retryPart}));
    }
}

void copySent(HedgingState &state, const std::string &service)
{
    takeCopy(state.budgets[service]);
}

void recordAnswer(HedgingState &state, const std::string &route, const std::string &service, Duration delay, TimePoint now)
{
    recordDelay(state.delays[{route, service}], delay, now);
}

} // namespace mimosahollow::hedging

#pragma once

#include "mimosahollow/core/time.h"
#include "mimosahollow/hedging/copybudget.h"
#include "mimosahollow/hedging/delayestimate.h"
#include "mimosahollow/hedging/exclusion.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace mimosahollow::hedging {

inline constexpr double maximumShare = 0.2;

struct HedgingOptions
{
    double share = 0; /**< Second copies per call, up to maximumShare; 0: none are sent. */
    double retryPart = 0.5; /**< Part of the retry budget that copies may use; the rest stays for calls whose first attempt has failed. */
    double delayShare = 0.95; /**< A copy is sent when this part of the calls has been answered sooner. */
    unsigned minimumSamples = 20; /**< One of them lies above the 95th percentile. */
    Duration minimumDelay = milliseconds(20); /**< A few round trips between failure domains; a shorter delay only measures noise. */
};

struct HedgingState
{
    HedgingOptions options;
    std::map<std::pair<std::string, std::string>, DelayEstimate> delays; /**< Time to the answer or first event, by route and service. */
    std::map<std::string, CopyBudget> budgets; /**< By service. */
};

/** What the decision on a second copy of a call depends on besides the state. */
struct CopyQuestion
{
    std::string_view route;
    std::string_view service;
    bool isRepeatable = false;
    bool hasAnswerBegun = false; /**< A byte of an answer was sent to the caller. */
    bool isSuspected = false;
    unsigned attempts = 0; /**< Backend servers that the call was sent to, or is being sent to. */
    unsigned maximumAttempts = 0;
    TimePoint startedAt{}; /**< Of the attempt that runs. */
    TimePoint deadline{};
    bool isLeaderless = false;
    bool hasWaitingCalls = false; /**< Calls of the service wait for a backend server. */
    bool hasRetry = false; /**< The retry budget of the service allows one. */
};

struct CopyDecision
{
    Exclusion excluded = Exclusion::None;
    std::optional<TimePoint> askAgain; /**< Unset if nothing excludes the copy, or if what does will last. */
};

/** Decides whether a second copy of a call may be sent at @p now. Charges nothing. */
[[nodiscard]] CopyDecision maySendCopy(const HedgingState &state, const CopyQuestion &question, TimePoint now);

/** The same for a call that maySendCopy() has allowed, but for which no other backend server was found. */
[[nodiscard]] CopyDecision withoutServer(TimePoint now);

/** Counts a call of @p service, for which @p retryRatio retries are allowed. */
void countCall(HedgingState &state, const std::string &service, double retryRatio);

/** Charges a copy of a call of @p service. */
void copySent(HedgingState &state, const std::string &service);

/** A call of @p route and @p service got its answer or first event after @p delay, or has none after it and is given up. */
void recordAnswer(HedgingState &state, const std::string &route, const std::string &service, Duration delay, TimePoint now);

} // namespace mimosahollow::hedging

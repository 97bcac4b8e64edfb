#include "mimosahollow/hedging/secondcopy.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::hedging;

namespace {

constexpr double retryRatio = 0.15;
const TimePoint start = TimePoint{} + seconds(1000);

HedgingState stateWithShare(double share)
{
    HedgingState state;
    state.options.share = share;
    return state;
}

/** Counts and answers @p calls calls, of which every tenth takes @p slow and the others 100 ms. */
void answerCalls(HedgingState &state, unsigned calls, Duration slow, TimePoint now)
{
    for (unsigned call = 0; call < calls; ++call) {
        countCall(state, "engine", retryRatio);
        recordAnswer(state, "chat", "engine", call % 10 == 9 ? slow : Duration(milliseconds(100)), now);
    }
}

/** A call that has taken longer than usual and that nothing excludes. */
CopyQuestion slowCall()
{
    CopyQuestion question;
    question.route = "chat";
    question.service = "engine";
    question.isRepeatable = true;
    question.attempts = 1;
    question.maximumAttempts = 2;
    question.startedAt = start - milliseconds(900);
    question.deadline = start + seconds(2);
    question.hasRetry = true;
    return question;
}

} // namespace

// Guards against a delay that follows single samples or old ones: copies of most calls, or of none.
TEST_CASE("The delay before a second copy follows the times of the last seconds")
{
    DelayEstimate estimate;
    for (int sample = 1; sample <= 100; ++sample) {
        recordDelay(estimate, milliseconds(sample * 10), start);
    }
    const auto quantile = delayQuantile(estimate, 0.95, 20, start);
    REQUIRE(quantile);
    CHECK(*quantile >= milliseconds(950));
    CHECK(*quantile <= milliseconds(950) * 1.2);
    SECTION("it needs enough samples")
    {
        CHECK_FALSE(delayQuantile(estimate, 0.95, 101, start));
        CHECK_FALSE(delayQuantile(DelayEstimate{}, 0.95, 0, start));
    }
    SECTION("it forgets old samples")
    {
        CHECK_FALSE(delayQuantile(estimate, 0.95, 20, start + seconds(20)));
        for (int sample = 0; sample < 30; ++sample) {
            recordDelay(estimate, milliseconds(40), start + seconds(21));
        }
        CHECK(*delayQuantile(estimate, 0.95, 20, start + seconds(21)) <= milliseconds(48));
    }
    SECTION("it bears times beyond its range")
    {
        recordDelay(estimate, seconds(3600), start);
        recordDelay(estimate, Duration::zero(), start);
        recordDelay(estimate, -seconds(1), start);
        CHECK(*delayQuantile(estimate, 1, 20, start) > seconds(10));
    }
}

// Guards against copies that the operator, the route, the prompt or the load rules out.
TEST_CASE("A second copy of a call whose answer is late")
{
    HedgingState state = stateWithShare(0.1);
    answerCalls(state, 100, milliseconds(600), start);
    CopyQuestion question = slowCall();
    const auto decide = [&](TimePoint now = start) {
        return maySendCopy(state, question, now);
    };
    const auto isExcludedForGood = [&](Exclusion cause) {
        const CopyDecision decision = decide();
        return decision.excluded == cause && !decision.askAgain;
    };
    const auto isExcludedForNow = [&](Exclusion cause) {
        const CopyDecision decision = decide();
        return decision.excluded == cause && decision.askAgain && *decision.askAgain > start;
    };
    REQUIRE(decide().excluded == Exclusion::None);

    SECTION("is sent once the call takes longer than nineteen of twenty, here one of the slow tenth")
    {
        question.startedAt = start;
        const CopyDecision early = decide();
        CHECK(early.excluded == Exclusion::TooEarly);
        REQUIRE(early.askAgain);
        CHECK(*early.askAgain - start >= milliseconds(600));
        CHECK(*early.askAgain - start < milliseconds(720));
        CHECK(decide(*early.askAgain).excluded == Exclusion::None);
    }
    SECTION("waits for the floor where answers are fast")
    {
        state.delays.clear();
        for (int sample = 0; sample < 40; ++sample) {
            recordAnswer(state, "chat", "engine", milliseconds(1), start);
        }
        question.startedAt = start;
        CHECK(decide().askAgain == start + state.options.minimumDelay);
    }
    SECTION("is never sent on a route that doesn't allow it")
    {
        question.isRepeatable = false;
        CHECK(isExcludedForGood(Exclusion::NotRepeatable));
    }
    SECTION("is never sent after the first byte went to the caller")
    {
        question.hasAnswerBegun = true;
        CHECK(isExcludedForGood(Exclusion::AnswerBegan));
    }
    SECTION("is never sent for a suspected part of the prompt")
    {
        question.isSuspected = true;
        CHECK(isExcludedForGood(Exclusion::SuspectedPart));
    }
    SECTION("counts as an attempt")
    {
        question.attempts = 2;
        CHECK(isExcludedForGood(Exclusion::AttemptsUsed));
    }
    SECTION("is not sent when it could not be answered in time")
    {
        question.deadline = start + milliseconds(90);
        CHECK(isExcludedForGood(Exclusion::TooLate));
    }
    SECTION("is not sent by default")
    {
        state.options = {};
        CHECK(isExcludedForGood(Exclusion::Disabled));
    }
    SECTION("waits for a known distribution of its own route and service")
    {
        question.route = "other";
        CHECK(isExcludedForNow(Exclusion::FewSamples));
    }
    SECTION("waits while the service is overloaded")
    {
        question.hasWaitingCalls = true;
        CHECK(isExcludedForNow(Exclusion::CallsWait));
    }
    SECTION("waits for a leader")
    {
        question.isLeaderless = true;
        CHECK(isExcludedForNow(Exclusion::LeaderLost));
    }
    SECTION("waits for the retry budget")
    {
        question.hasRetry = false;
        CHECK(isExcludedForNow(Exclusion::RetryBudgetUsed));
    }
    SECTION("waits for another backend server")
    {
        CHECK(withoutServer(start).excluded == Exclusion::NoServer);
        CHECK(withoutServer(start).askAgain > start);
    }
    SECTION("waits when the share is used up, until more calls have come")
    {
        while (decide().excluded == Exclusion::None) {
            copySent(state, "engine");
        }
        CHECK(isExcludedForNow(Exclusion::ShareUsed));
        answerCalls(state, 14, milliseconds(600), start); // at half the ratio of the retry budget
        CHECK(decide().excluded == Exclusion::None);
    }
}

// Guards against extra load beyond what the operator has set, at any moment.
TEST_CASE("Second copies never exceed their share of the calls")
{
    const double share = GENERATE(0.01, 0.05, 0.2, 5.0);
    HedgingState state = stateWithShare(share);
    const double bound = std::min({share, maximumShare, retryRatio * state.options.retryPart});
    unsigned copies = 0;
    for (unsigned calls = 1; calls <= 2000; ++calls) {
        answerCalls(state, 1, milliseconds(600), start);
        if (maySendCopy(state, slowCall(), start).excluded == Exclusion::None) {
            copySent(state, "engine");
            ++copies;
        }
        REQUIRE(copies <= bound * calls + 1e-6);
    }
    CHECK(copies >= bound * 2000 * 0.9);
}

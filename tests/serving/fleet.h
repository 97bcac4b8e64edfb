#pragma once

#include "fleetconfiguration.h"
#include "mimosahollow/control/controlstate.h"
#include "mimosahollow/serving/serving.h"
#include "trackedcall.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mimosahollow::serving {

/**
 * Simulation of four instances in two failure domains with fake servers, links and log. The test controls time and delivery.
 * P1, P3, P10 and P11 in the violations are numbers of properties on the design page.
 */
class Fleet
{
public:
    using Outcome = gateway::AttemptOutcome;
    static constexpr const char *forbidden = "forbidden"; /**< As the expected adapter: any grant is a violation. */

    std::array<ServingState, 4> states;
    control::Configuration configuration;
    control::ControlState control;
    TimePoint now = TimePoint{} + seconds(1000);
    std::map<RequestId, TrackedCall> calls;
    std::map<std::string, std::set<std::string>> resident; /**< Names of loaded adapters by server address. */
    std::array<std::uint64_t, 4> incarnations{1, 1, 1, 1}; /**< Of the processes of the servers. */
    std::map<std::string, double> namedLimits; /**< Calls per second, by server address; answers begin at once and name them. */
    std::map<std::string, std::vector<TimePoint>> sends; /**< Times of grants by server address. */
    std::vector<std::uint64_t> promptParts; /**< Of the next model calls. */
    std::map<std::string, unsigned> runsByKey; /**< Runs by idempotency key. */
    std::set<std::size_t> down; /**< Stopped instances. */
    std::set<std::size_t> unleased; /**< Instances whose pool leases are not renewed. */
    std::set<std::size_t> stale; /**< Instances whose configuration is not confirmed as current. */
    bool loseCommitAnswers = false; /**< Commands are applied, but reported as not committed. */
    bool holdCommits = false; /**< Commands are put into @c held. */
    bool holdOrders = false; /**< Orders are put into @c held. */
    bool largeAnswers = false; /**< Answers are too large to be stored. */
    bool runsGrantsTwice = false; /**< Fault that the checks must detect: each attempt counts as two runs. */
    bool repeatsEverything = false; /**< Fault that the checks must detect: every call counts as repeatable. */
    std::vector<std::string> violations;

    Fleet()
    {
        configuration = makeFleetConfiguration();
        control.configuration = configuration; // idempotency records are stored only for configured organisations
        for (std::size_t i = 0; i < states.size(); ++i) {
            states[i] = makeServingState(i + 1, i + 1);
        }
    }

    /** Runs until the token buckets grant tokens and all pools have published summaries. */
    void start()
    {
        configure();
        advance(seconds(4));
    }

    void configure()
    {
        for (std::size_t i = 0; i < states.size(); ++i) {
            dispatch(i, [&](Actions &actions) {
                const auto shared = std::make_shared<const control::Configuration>(configuration);
                setConfiguration(states[i], shared, InstanceId(i + 1), DomainId(i < 2 ? 1 : 2), now, actions);
            });
        }
    }

    RequestId callModel(std::size_t entry, const std::string &target, std::uint8_t key, const std::string &expected = "", Duration deadline = seconds(20))
    {
        gateway::ServingRequest request;
        request.target = target;
        request.keyHash = KeyHash{key};
        request.promptTokens = 10;
        request.maximumOutputTokens = 10;
        request.promptParts = promptParts;
        return submit(entry, std::move(request), expected, deadline);
    }

    RequestId callPlainService(
        std::size_t entry, const std::string &path, std::optional<std::uint8_t> key, const std::string &idempotencyKey = "", const std::string &expected = "")
    {
        gateway::ServingRequest request;
        request.kind = gateway::CallKind::PlainService;
        request.target = path;
        if (key) {
            request.keyHash = KeyHash{*key};
        }
        request.idempotencyKey = idempotencyKey;
        request.bodyHash = 5;
        return submit(entry, std::move(request), expected, seconds(20));
    }

    /** Ends the running attempt of a call and reports the result as the gateway does. */
    void finish(const RequestId &id, Outcome outcome)
    {
        TrackedCall &call = calls.at(id);
        if (!call.grant) {
            return;
        }
        gateway::ServingResult result;
        result.id = id;
        result.grant = call.grant->grant;
        result.outcome = outcome;
        result.status = 200;
        result.outputTokens = 5;
        result.answerBody = largeAnswers ? "" : "answer";
        result.answerOmitted = largeAnswers;
        result.awaitsReply = outcome == Outcome::FailedBeforeAnswer || outcome == Outcome::ConnectionRefused || outcome == Outcome::AdapterMissing;
        if (outcome != Outcome::ConnectionRefused && outcome != Outcome::AdapterMissing) {
            const unsigned times = runsGrantsTwice ? 2 : 1;
            call.runs += times;
            if (!call.request.idempotencyKey.empty()) {
                runsByKey[call.request.idempotencyKey] += times;
            }
        }
        if (repeatsEverything) {
            states[call.entry].calls.at(id).repeatable = true;
        }
        call.grant.reset();
        call.finalReplies += result.awaitsReply ? 0 : 1;
        dispatch(call.entry, [&](Actions &actions) {
            handle(states[call.entry], result, now, actions);
        });
    }

    /** The server that runs a call ends just after the beginning of its answer, and comes back with its adapters. */
    void endServerOf(const RequestId &id)
    {
        const std::string address = calls.at(id).servers.back();
        finish(id, Outcome::FailedDuringAnswer);
        const auto server = std::find_if(configuration.servers.begin(), configuration.servers.end(), [&address](const control::BackendServer &candidate) {
            return candidate.address == address;
        });
        ++incarnations[number(server->id) - 1];
    }

    /** The caller disconnects, while its call runs or waits. */
    void disconnectCaller(const RequestId &id)
    {
        TrackedCall &call = calls.at(id);
        if (call.grant) {
            finish(id, Outcome::CallerLeft);
            return;
        }
        call.finalReplies += call.finalReplies == 0 ? 1 : 0;
        gateway::ServingResult result;
        result.id = id;
        result.outcome = Outcome::CallerLeft;
        dispatch(call.entry, [&](Actions &actions) {
            handle(states[call.entry], result, now, actions);
        });
    }

    /** Stops an instance and disconnects it from the others. */
    void stop(std::size_t instance)
    {
        down.insert(instance);
        for (std::size_t i = 0; i < states.size(); ++i) {
            dispatch(i, [&](Actions &actions) {
                handlePeerDisconnected(states[i], InstanceId(instance + 1), now, actions);
            });
        }
    }

    /** Interrupts a link: messages in transit are lost, and the link is usable again at once. */
    void breakLink(std::size_t first, std::size_t second)
    {
        ++linkBreaks[std::minmax(first, second)];
        for (const auto &[at, peer] : {std::pair(first, second), std::pair(second, first)}) {
            dispatch(at, [&, at = at, peer = peer](Actions &actions) {
                handlePeerDisconnected(states[at], InstanceId(peer + 1), now, actions);
            });
        }
    }

    /** Assigns a pool to an owner under the next fencing number. */
    void assign(std::uint32_t pool, std::uint32_t owner)
    {
        configuration.pools[pool - 1].owner = InstanceId{owner};
        ++configuration.pools[pool - 1].fencing;
        configure();
    }

    /** Delivers up to @p most queued messages and results. */
    void deliver(std::size_t most = 100'000)
    {
        for (; most > 0 && !queue.empty(); --most) {
            const auto next = std::move(queue.front());
            queue.pop_front();
            next();
        }
    }

    void step()
    {
        now += milliseconds(20);
        for (const auto &[id, call] : calls) {
            if (call.grant && now >= call.grant->deadline) {
                finish(id, Outcome::DeadlineExceeded); // the gateway ends calls at their deadline
            }
        }
        if (now >= m_nextRenewal) {
            m_nextRenewal = now + milliseconds(500);
            renew();
        }
        for (std::size_t i = 0; i < states.size(); ++i) {
            dispatch(i, [&](Actions &actions) {
                tick(states[i], now, actions);
            });
        }
    }

    void advance(Duration duration)
    {
        deliver();
        for (const TimePoint end = now + duration; now < end;) {
            step();
            deliver();
        }
    }

    [[nodiscard]] bool running(const RequestId &id) const
    {
        return calls.at(id).grant.has_value();
    }

    [[nodiscard]] std::optional<RefusalReason> refused(const RequestId &id) const
    {
        const auto &refusal = calls.at(id).refusal;
        return refusal ? std::optional(refusal->reason) : std::nullopt;
    }

    /** Checks the state after all calls have ended: one final reply each, no second run, no calls or grants left. */
    void checkEnd()
    {
        for (const auto &[id, call] : calls) {
            check(call.finalReplies == 1, call.finalReplies == 0 ? "no final reply" : "more than one final reply");
            check(call.repeatable || call.runs <= 1, "P11: a non-repeatable call ran twice");
        }
        for (const auto &[key, runs] : runsByKey) {
            check(runs <= 1, "P11: two calls with the same idempotency key ran");
        }
        for (std::size_t i = 0; i < states.size(); ++i) {
            check(down.contains(i) || states[i].calls.empty(), "a call remains in an instance after the end");
            for (const auto &[id, owned] : states[i].pools) {
                const bool idle = std::all_of(owned.state.records.begin(), owned.state.records.end(), [](const scheduling::RequestRecord &record) {
                    return record.phase == scheduling::RequestPhase::Free;
                });
                check(down.contains(i) || idle, "a request or a grant remains in a pool after the end");
            }
        }
    }

    std::deque<std::function<void()>> queue; /**< Messages and results in transit. */
    std::map<std::pair<std::size_t, std::size_t>, unsigned> linkBreaks; /**< Number of interruptions by link. */
    std::vector<std::function<void()>> held; /**< Commits and orders kept back by holdCommits and holdOrders, in order. */

private:
    RequestId submit(std::size_t entry, gateway::ServingRequest request, const std::string &expected, Duration deadline)
    {
        request.id = {entry + 1, ++m_sequence};
        request.arrival = now;
        request.deadline = now + deadline;
        TrackedCall &call = calls[request.id];
        call.request = request;
        call.entry = entry;
        call.expectedAdapter = expected;
        call.repeatable = request.kind == gateway::CallKind::Model || request.target.starts_with("/open/");
        dispatch(entry, [&](Actions &actions) {
            handle(states[entry], request, now, actions);
        });
        return request.id;
    }

    template<typename Event>
    void dispatch(std::size_t instance, const Event &event)
    {
        if (down.contains(instance)) {
            return;
        }
        Actions actions;
        event(actions);
        for (Action &action : actions) {
            std::visit(
                [&](auto &content) {
                    execute(instance, content);
                },
                action);
        }
    }

    void execute(std::size_t /*instance*/, const LogDecision & /*line*/)
    {
    }

    void execute(std::size_t /*instance*/, const ReplyToCall &reply)
    {
        TrackedCall &call = calls.at(reply.reply.id);
        if (const auto *grant = std::get_if<gateway::ServingGrant>(&reply.reply.content)) {
            check(call.finalReplies == 0 && !call.grant, "a call that has ended or is running got a grant");
            check(grant->adapter == call.expectedAdapter, "P1 or P3: a call got a grant for another adapter, or without permission");
            call.grant = *grant;
            call.servers.push_back(grant->address);
            sends[grant->address].push_back(now);
            nameLimit(call, *grant);
            if (!grant->adapter.empty() && !resident[grant->address].contains(grant->adapter)) {
                queue.emplace_back([this, id = reply.reply.id] {
                    finish(id, Outcome::AdapterMissing);
                });
            }
            return;
        }
        ++call.finalReplies;
        if (const auto *refusal = std::get_if<gateway::ServingRefusal>(&reply.reply.content)) {
            call.refusal = *refusal;
            check(refusal->outcome != CallOutcome::NotRun || call.runs == 0, "P10: a call was refused as not run after it ran");
        } else {
            call.stored = std::get<gateway::StoredAnswer>(reply.reply.content);
        }
    }

    void nameLimit(const TrackedCall &call, const gateway::ServingGrant &grant)
    {
        const auto named = namedLimits.find(grant.address);
        if (named == namedLimits.end() && !grant.isLimited) {
            return;
        }
        const gateway::BackendLimit limit{call.request.id, grant.grant, named == namedLimits.end() ? 0 : named->second};
        queue.emplace_back([this, entry = call.entry, limit] {
            dispatch(entry, [&](Actions &actions) {
                handle(states[entry], limit, now, actions);
            });
        });
    }

    void execute(std::size_t instance, const SendToPeer &send)
    {
        const std::size_t to = number(send.to) - 1;
        const std::pair<std::size_t, std::size_t> link = std::minmax(instance, to);
        queue.emplace_back([this, instance, send, to, link, breaksAtSend = linkBreaks[link]] {
            if (linkBreaks[link] != breaksAtSend) {
                return;
            }
            const bool lost = down.contains(to);
            const std::size_t at = lost ? instance : to;
            dispatch(at, [&](Actions &actions) {
                if (lost) {
                    handleSendFailure(states[instance], send.to, send.message, now, actions);
                } else {
                    handlePeerMessage(states[to], InstanceId(instance + 1), send.message, now, actions);
                }
            });
        });
    }

    void execute(std::size_t instance, const gateway::BackendOrder &order)
    {
        const auto carryOut = [this, instance, order] {
            if (order.kind == gateway::OrderKind::Load) {
                resident[order.address].insert(order.adapter);
            } else {
                resident[order.address].erase(order.adapter);
            }
            dispatch(instance, [&](Actions &actions) {
                handle(states[instance], gateway::BackendOrderResult{order.order, gateway::OrderOutcome::Done}, now, actions);
            });
        };
        if (holdOrders) {
            held.emplace_back(carryOut);
        } else {
            queue.emplace_back(carryOut);
        }
    }

    void execute(std::size_t instance, const CommitCommand &command)
    {
        const auto commit = [this, instance, command] {
            CommitResult result{command.call, true, true, {}};
            const auto time = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
            result.result = apply(control, control.appliedIndex + 1, {command.id, time, "instance", command.body});
            if (loseCommitAnswers) {
                result = {command.call, false, true, {}};
            }
            dispatch(instance, [&](Actions &actions) {
                handle(states[instance], result, now, actions);
            });
        };
        if (holdCommits) {
            held.emplace_back(commit);
        } else {
            queue.emplace_back(commit);
        }
    }

    void renew()
    {
        for (std::size_t i = 0; i < states.size(); ++i) {
            if (!stale.contains(i)) {
                setFreshUntil(states[i], now + seconds(10));
            }
            dispatch(i, [&](Actions &actions) {
                for (const control::Pool &pool : configuration.pools) {
                    if (pool.owner == InstanceId(i + 1) && !unleased.contains(i)) {
                        setPoolLease(states[i], {pool.id, pool.fencing, now + seconds(3), now}, now, actions);
                    }
                }
                const control::BackendServer &server = configuration.servers[i];
                const auto &adapters = resident[server.address];
                const gateway::BackendAnnouncement announcement{
                    server.name, server.address, "", server.kind, incarnations[i], 4, 2, 4, true, false, {adapters.begin(), adapters.end()}};
                handle(states[i], announcement, now, actions);
                handle(states[i], gateway::BackendReport{server.name, incarnations[i], 0, 0, announcement.adapters}, now, actions);
            });
            if (i % 2 == 0) {
                setBucketLease(states[i], i / 2 + 1, now + seconds(3), now);
            }
        }
    }

    void check(bool holds, const char *text)
    {
        if (!holds) {
            violations.emplace_back(text);
        }
    }

    std::uint64_t m_sequence = 0;
    TimePoint m_nextRenewal{};
};

} // namespace mimosahollow::serving

#include "poolmessagedecoder.h"

#include "wireelements.h"

#include <chrono>
#include <cmath>
#include <optional>

namespace mimosahollow::link {

namespace {

using Result = std::variant<PoolMessage, PoolCodecError>;

// Above the maximum request deadline of 600 s; a bound keeps arithmetic on time points from overflowing.
constexpr std::int64_t longestDurationUs = 3'600'000'000;
constexpr auto lastReason = static_cast<std::uint8_t>(RefusalReason::PromptQuarantined);
constexpr auto lastOutcome = static_cast<std::uint8_t>(scheduling::ReleaseOutcome::NotSent);

std::optional<Duration> duration(std::int64_t microseconds) noexcept
{
    if (microseconds < -longestDurationUs || microseconds > longestDurationUs) {
        return std::nullopt;
    }
    return std::chrono::microseconds(microseconds);
}

/** The time that is @p microseconds before @p now. */
std::optional<TimePoint> pastTime(std::int64_t microseconds, TimePoint now) noexcept
{
    const auto age = duration(microseconds);
    return age && *age >= Duration::zero() ? std::optional(now - *age) : std::nullopt;
}

template<typename Table>
RequestId requestId(const Table &table) noexcept
{
    return {table.process(), table.sequence()};
}

std::vector<std::string> strings(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>> &vector)
{
    std::vector<std::string> values;
    values.reserve(vector.size());
    for (const flatbuffers::String *value : vector) {
        values.push_back(value->str());
    }
    return values;
}

Result convertRequest(const wire::AcquireRequest &table, TimePoint now)
{
    const auto remaining = duration(table.deadline_us());
    if (!remaining || !std::isfinite(table.weight()) || table.weight() <= 0) {
        return PoolCodecError::ValueOutOfRange;
    }
    PoolAcquire message;
    message.pool = PoolId{table.pool()};
    message.request.id = requestId(table);
    message.request.entry = InstanceId{table.entry()};
    message.request.organisation = OrganisationId{table.organisation()};
    message.request.weight = table.weight();
    message.request.adapter = AdapterId{table.adapter()};
    message.request.promptTokens = table.prompt_tokens();
    message.request.maximumOutputTokens = table.maximum_output_tokens();
    message.request.prefixHash = table.prefix_hash();
    message.request.deadline = now + *remaining;
    message.request.repeatable = table.repeatable();
    forEachElement(table.prompt_parts(), [&message](std::uint64_t part) {
        message.request.promptParts.push_back(part);
        return true;
    });
    return message;
}

Result convertReply(const wire::AcquireReply &table)
{
    const RequestId id = requestId(table);
    const InstanceId entry{table.entry()};
    if (const wire::GrantReply *grant = table.result_as_GrantReply()) {
        return PoolAcquireReply(
            scheduling::Grant{id, entry, grant->grant(), grant->fencing(), ServerId{grant->server()}, AdapterId{grant->adapter()}, grant->is_limited()});
    }
    const wire::RefusalReply *refusal = table.result_as_RefusalReply();
    if (refusal == nullptr) {
        return PoolCodecError::UnknownKind;
    }
    const auto retryAfter = duration(refusal->retry_after_us());
    if (!retryAfter || refusal->reason() > lastReason) {
        return PoolCodecError::ValueOutOfRange;
    }
    return PoolAcquireReply(scheduling::Refusal{id, entry, static_cast<RefusalReason>(refusal->reason()), *retryAfter});
}

Result convertRelease(const wire::Release &table)
{
    const auto latency = duration(table.first_token_latency_us());
    if (!latency || table.outcome() > lastOutcome) {
        return PoolCodecError::ValueOutOfRange;
    }
    const auto outcome = static_cast<scheduling::ReleaseOutcome>(table.outcome());
    return PoolRelease{PoolId{table.pool()}, {requestId(table), table.grant(), table.fencing(), outcome, table.tokens_used(), *latency}};
}

Result convertGrantReport(const wire::GrantReport &table, TimePoint now)
{
    PoolGrantReport message;
    message.pool = PoolId{table.pool()};
    message.report.entry = InstanceId{table.entry()};
    message.report.grants.reserve(table.grants()->size());
    for (const wire::HeldGrant *held : *table.grants()) {
        const auto remaining = duration(held->deadline_us());
        if (!remaining) {
            return PoolCodecError::ValueOutOfRange;
        }
        message.report.grants.push_back({requestId(*held),
                                         held->grant(),
                                         held->fencing(),
                                         ServerId{held->server()},
                                         OrganisationId{held->organisation()},
                                         AdapterId{held->adapter()},
                                         held->estimated_tokens(),
                                         now + *remaining,
                                         held->prompt_tokens()});
    }
    return message;
}

using PartTimes = std::map<std::string, TimePoint>;

/** Returns nothing if a time is out of range. */
std::optional<PartTimes> partTimes(const flatbuffers::Vector<flatbuffers::Offset<wire::PromptPartAge>> *ages, TimePoint now)
{
    PartTimes times;
    if (ages == nullptr) {
        return times;
    }
    for (const wire::PromptPartAge *age : *ages) {
        const auto at = pastTime(age->age_us(), now);
        if (!at) {
            return std::nullopt;
        }
        times[age->prompt_part()->str()] = *at;
    }
    return times;
}

/** Returns nothing if a time is out of range. */
std::optional<scheduling::CrashEvidence> crashEvidence(const wire::PoolSummary &table, TimePoint now)
{
    auto soundAnswers = partTimes(table.sound_answers(), now);
    auto quarantinedSince = partTimes(table.quarantined_parts(), now);
    if (!soundAnswers || !quarantinedSince) {
        return std::nullopt;
    }
    scheduling::CrashEvidence evidence{{}, std::move(*soundAnswers), std::move(*quarantinedSince)};
    if (table.server_ends() == nullptr) {
        return evidence;
    }
    for (const wire::ServerEnd *end : *table.server_ends()) {
        const auto at = pastTime(end->age_us(), now);
        if (!at) {
            return std::nullopt;
        }
        evidence.ends.push_back({{end->server()->str(), end->incarnation(), strings(*end->prompt_parts())}, *at});
    }
    return evidence;
}

Result convertSummary(const wire::PoolSummary &table, TimePoint now)
{
    const auto wait = duration(table.expected_wait_us());
    const auto loadWait = duration(table.expected_load_wait_us());
    auto evidence = crashEvidence(table, now);
    if (!wait || !loadWait || !evidence) {
        return PoolCodecError::ValueOutOfRange;
    }
    scheduling::PoolSummary message;
    message.pool = PoolId{table.pool()};
    message.fencing = table.fencing();
    message.inService = table.in_service();
    message.freeSlots = table.free_slots();
    message.totalSlots = table.total_slots();
    message.waiting = table.waiting();
    message.expectedWait = *wait;
    message.expectedLoadWait = *loadWait;
    message.crashEvidence = std::move(*evidence);
    message.adapters.reserve(table.adapters()->size());
    for (const std::uint32_t adapter : *table.adapters()) {
        message.adapters.push_back(AdapterId{adapter});
    }
    message.waits.reserve(table.waits()->size());
    for (const wire::AdapterWait *wait : *table.waits()) {
        const auto expected = duration(wait->wait_us());
        if (!expected) {
            return PoolCodecError::ValueOutOfRange;
        }
        message.waits.push_back({AdapterId{wait->adapter()}, *expected});
    }
    return message;
}

Result convertAnnouncement(const wire::ServerAnnouncement &table)
{
    gateway::BackendAnnouncement message;
    message.name = table.name()->str();
    message.address = table.address()->str();
    message.failureDomain = table.failure_domain()->str();
    message.kind = table.kind()->str();
    message.incarnation = table.incarnation();
    message.slots = table.slots();
    message.adapterSlots = table.adapter_slots();
    message.coldLimit = table.cold_limit();
    message.checksFencing = table.checks_fencing();
    message.leaving = table.leaving();
    message.adapters = strings(*table.adapters());
    return message;
}

Result convertReport(const wire::ServerReport &table)
{
    return gateway::BackendReport{table.name()->str(), table.incarnation(), table.running(), table.queued(), strings(*table.adapters())};
}

Result convertLimit(const wire::LimitStatement &table)
{
    if (!std::isfinite(table.calls_per_second()) || table.calls_per_second() < 0) {
        return PoolCodecError::ValueOutOfRange;
    }
    return PoolLimitStatement{PoolId{table.pool()}, {requestId(table), table.grant(), table.fencing(), table.calls_per_second()}};
}

} // namespace

Result convert(const wire::PoolMessage &message, TimePoint now)
{
    switch (message.content_type()) {
    case wire::PoolContent_AcquireRequest:
        return convertRequest(*message.content_as_AcquireRequest(), now);
    case wire::PoolContent_AcquireReply:
        return convertReply(*message.content_as_AcquireReply());
    case wire::PoolContent_Release:
        return convertRelease(*message.content_as_Release());
    case wire::PoolContent_GrantReport:
        return convertGrantReport(*message.content_as_GrantReport(), now);
    case wire::PoolContent_PoolSummary:
        return convertSummary(*message.content_as_PoolSummary(), now);
    case wire::PoolContent_ServerAnnouncement:
        return convertAnnouncement(*message.content_as_ServerAnnouncement());
    case wire::PoolContent_ServerReport:
        return convertReport(*message.content_as_ServerReport());
    case wire::PoolContent_LimitStatement:
        return convertLimit(*message.content_as_LimitStatement());
    case wire::PoolContent_NONE:
        break;
    }
    return PoolCodecError::UnknownKind;
}

} // namespace mimosahollow::link

#pragma once

#include "mimosahollow/control/audit.h"
#include "mimosahollow/control/command.h"
#include "mimosahollow/control/configuration.h"
#include "mimosahollow/control/increment.h"
#include "mimosahollow/control/logentry.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace mimosahollow::control {

/** Limits of the state machine. They affect the results of commands, so all voters must use the same values. */
struct ControlLimits
{
    std::int64_t resultRetention = 24LL * 3600 * 1000; /**< Retention of command results, milliseconds. */
    std::size_t maximumResults = 100'000; /**< Enough for 9 days at the expected 11,000 changes a day. */
    std::int64_t callRetention = 24LL * 3600 * 1000; /**< Retention of idempotency records, milliseconds. */
    std::size_t maximumCalls = 1'000'000; /**< Calls beyond it are refused, because evicting a record early could let a call run twice. */
    std::size_t maximumResponseBytes = 64UL * 1024; /**< Longest response body that is stored. */
    std::size_t maximumTotalResponseBytes = 256UL * 1024 * 1024; /**< Beyond it the oldest responses are evicted (CallState::OutcomeUnknown). */
    std::int64_t maximumCallDuration = 600'000; /**< Milliseconds after which a call can no longer be running. */
    std::size_t maximumAuditRecords = 100'000; /**< Audit records kept in memory and in snapshots. */
    std::size_t maximumBundles = 64; /**< Accepted bundles that a version conflict can refer to. */
    std::size_t maximumIncrementElements = 4'096; /**< Above this size a follower receives the whole configuration, which is then cheaper. */
    std::size_t maximumIncrements = 4'096; /**< Recent changes kept so that followers can catch up without the whole configuration. */
};

/** Metadata of an accepted bundle. */
struct BundleRecord
{
    Version version = 0;
    Version logIndex = 0;
    std::int64_t time = 0; /**< Milliseconds since 1970. */
    std::string author;
    std::string approver;
    Digest hash{};
};

enum class CallState : std::uint8_t {
    InProgress,
    Completed, /**< The response is stored. */
    OutcomeUnknown, /**< The call may have run, and no response is stored. */
};

/** Idempotency record of a call. */
struct CallRecord
{
    CommandId beginId; /**< Command id of the BeginCall that created the record. */
    Digest requestHash{};
    InstanceId entryInstance{};
    std::int64_t startTime = 0; /**< Log time of the BeginCall, milliseconds since 1970. */
    CallState state = CallState::InProgress;
    std::uint16_t status = 0;
    std::string contentType;
    std::string responseBody;
};

/** Result of an applied command, returned again when the command is resent. */
struct StoredResult
{
    std::int64_t time = 0; /**< Milliseconds since 1970. */
    std::uint8_t kind = 0; /**< Index of the command type in CommandBody. */
    CommandResult result;
};

/** State of the replicated state machine; identical on every voter at the same log index. */
struct ControlState
{
    ControlLimits limits;
    LogIndex appliedIndex = 0; /**< Index of the last applied log entry. */
    std::int64_t time = 0; /**< Latest time of any applied command, milliseconds since 1970; never decreases. */

    Configuration configuration; /**< The configuration in force: the bundle and all changes made outside of it. */
    std::deque<BundleRecord> bundles; /**< Most recent accepted bundles, newest last. */
    std::set<std::string> domainsOutByOperator; /**< Names of failure domains that an operator took out of service. */
    std::set<std::string> serversOutByOperator;
    std::set<std::string> domainsOutByBundle; /**< Names of failure domains that the bundle in force declares out of service. */
    std::set<std::string> serversOutByBundle;
    std::set<KeyHash> grantedKeys; /**< Keys added by GrantKey. */
    std::set<KeyHash> withdrawnKeys;
    std::set<AdapterId> publishedAdapters; /**< Adapters added by PublishAdapter. */

    std::map<std::string, OrganisationId> organisationIds; /**< Every name that was ever assigned an id; ids are not reused. */
    std::map<std::string, DomainId> domainIds;
    std::map<std::string, ServerId> serverIds;
    std::unordered_map<std::string, AdapterId> adapterIds; /**< Keyed by "base:name@version". */
    std::map<std::pair<DomainId, std::string>, PoolId> poolIds; /**< Keyed by failure domain and kind. */
    std::uint32_t lastInstanceId = 0;
    std::uint32_t lastAdapterId = 0;
    FencingNumber lastFencingNumber = 0;

    std::map<CallKey, CallRecord> calls;
    std::deque<std::pair<CallKey, CommandId>> callOrder; /**< In start order; can contain keys whose records were removed. */
    std::deque<std::pair<CallKey, CommandId>> responseOrder; /**< Records with a stored response, oldest first; can contain keys whose records were removed. */
    std::size_t responseBytes = 0; /**< Total length of all stored response bodies. */

    std::map<CommandId, StoredResult> results;
    std::deque<CommandId> resultOrder; /**< Oldest first. */

    AuditLog audit;
    std::deque<Increment> increments; /**< Recent changes; not part of snapshots. Followers that need older ones receive the whole configuration. */
};

/** Applies the command of the log entry at @p index. */
[[nodiscard]] CommandResult apply(ControlState &state, LogIndex index, const Command &command);
/** Advances the applied index over a log entry that contains no command. */
void skipEntry(ControlState &state, LogIndex index);

/** Copy of the configuration in force that threads can share. */
[[nodiscard]] std::shared_ptr<const Configuration> sharedConfiguration(const ControlState &state);

/**
 * Returns all changes after log index @p since as one increment. Returns nothing when the retained increments do not start
 * from @p since, when @p since belongs to another history, or when the result would be too large. The follower then needs the
 * whole configuration.
 */
[[nodiscard]] std::optional<Increment> changesSince(const ControlState &state, Version since);

} // namespace mimosahollow::control

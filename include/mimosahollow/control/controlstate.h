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

/** Limits of the state machine. All voters must use the same ones, because they decide what a command does. */
struct ControlLimits
{
    std::int64_t resultRetention = 24LL * 3600 * 1000; /**< Milliseconds for which the result of a command id is kept. */
    std::size_t maximumResults = 100'000; /**< 9 days of the expected 11,000 changes a day. */
    std::int64_t callRetention = 24LL * 3600 * 1000; /**< Retention of idempotency records, milliseconds. */
    std::size_t maximumCalls = 1'000'000; /**< Further calls are refused: dropping a record early could let a call run twice. */
    std::size_t maximumResponseBytes = 64UL * 1024; /**< Largest stored answer, bytes. */
    std::size_t maximumTotalResponseBytes = 256UL * 1024 * 1024; /**< All stored answers, bytes; beyond it the oldest ones turn into "unknown". */
    std::int64_t maximumCallDuration = 600'000; /**< Milliseconds after which a call cannot be running any more. */
    std::size_t maximumAuditRecords = 100'000; /**< Records kept in memory and snapshots. */
    std::size_t maximumBundles = 64; /**< Accepted bundles that conflicts can name. */
    std::size_t maximumIncrementElements = 4'096; /**< A larger increment costs more than the whole configuration saves. */
    std::size_t maximumIncrements = 4'096; /**< Changes that followers can catch up with instead of a full configuration. */
};

/** An accepted bundle. */
struct BundleRecord
{
    Version version = 0;
    Version logIndex = 0;
    std::int64_t time = 0;
    std::string author;
    std::string approver;
    Digest hash{};
};

enum class CallState : std::uint8_t {
    InProgress,
    Completed,
    OutcomeUnknown,
};

struct CallRecord
{
    CommandId beginId; /**< Command id of the BeginCall that started it. */
    Digest requestHash{};
    InstanceId entryInstance{};
    std::int64_t startTime = 0; /**< Milliseconds since 1970. */
    CallState state = CallState::InProgress;
    std::uint16_t status = 0;
    std::string contentType;
    std::string responseBody;
};

struct StoredResult
{
    std::int64_t time = 0;
    std::uint8_t kind = 0; /**< Index of the command in CommandBody. */
    CommandResult result;
};

/** The control state; the same on every voter after the same log index. */
struct ControlState
{
    ControlLimits limits;
    LogIndex appliedIndex = 0;
    std::int64_t time = 0; /**< Newest time seen in an entry, milliseconds since 1970; never goes back. */

    Configuration configuration; /**< In force, with all marks applied. */
    std::deque<BundleRecord> bundles; /**< Newest last. */
    std::set<std::string> domainsOutByOperator; /**< Taken out by an operator. */
    std::set<std::string> serversOutByOperator;
    std::set<std::string> domainsOutByBundle; /**< Declared out by the bundle in force. */
    std::set<std::string> serversOutByBundle;
    std::set<KeyHash> grantedKeys; /**< Keys that do not come from the bundle. */
    std::set<KeyHash> withdrawnKeys;
    std::set<AdapterId> publishedAdapters; /**< Adapters that do not come from the bundle. */

    std::map<std::string, OrganisationId> organisationIds; /**< All names that ever had an id. */
    std::map<std::string, DomainId> domainIds;
    std::map<std::string, ServerId> serverIds;
    std::unordered_map<std::string, AdapterId> adapterIds; /**< By "base:name@version". */
    std::map<std::pair<DomainId, std::string>, PoolId> poolIds; /**< By failure domain and kind. */
    std::uint32_t lastInstanceId = 0;
    std::uint32_t lastAdapterId = 0;
    FencingNumber lastFencingNumber = 0;

    std::map<CallKey, CallRecord> calls;
    std::deque<std::pair<CallKey, CommandId>> callOrder; /**< In the order of their start; may name records that are gone. */
    std::deque<std::pair<CallKey, CommandId>> responseOrder; /**< Records with a stored answer, oldest first. */
    std::size_t responseBytes = 0;

    std::map<CommandId, StoredResult> results;
    std::deque<CommandId> resultOrder;

    AuditLog audit;
    std::deque<Increment> increments; /**< Not part of snapshots; followers that need older ones get everything. */
};

/** Applies @p command, which the log holds at @p index. Entries without a command are reported by skipEntry(). */
[[nodiscard]] CommandResult apply(ControlState &state, LogIndex index, const Command &command);
void skipEntry(ControlState &state, LogIndex index);

/** The configuration in force, to be shared read-only between threads. */
[[nodiscard]] std::shared_ptr<const Configuration> sharedConfiguration(const ControlState &state);

/**
 * Everything that changed after log index @p since, as one increment; nothing when it is older than the kept increments, or
 * of another history. The follower then needs the whole configuration.
 */
[[nodiscard]] std::optional<Increment> changesSince(const ControlState &state, Version since);

} // namespace mimosahollow::control

#pragma once

#include "mimosahollow/control/adapter.h"
#include "mimosahollow/control/configuration.h"
#include "mimosahollow/core/keyhash.h"

#include <array>
#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace mimosahollow::control {

/** Random number made by the sender; a resend carries the same one. */
struct CommandId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const CommandId &, const CommandId &) = default; // NOLINT(modernize-use-nullptr): false report on the comparison
};

/** BLAKE2b with 32 bytes. */
using Digest = std::array<std::uint8_t, 32>;

/** Puts a bundle in force when @c expectedVersion is the version in force. */
struct ApplyBundle
{
    Version expectedVersion = 0;
    std::shared_ptr<const Configuration> configuration; /**< Parsed bundle; its ids are only valid within it. */
    std::string author;
    std::string approver;
    Digest hash{}; /**< Of the bundle's text. */
};

/** Adds a key outside of bundles; later bundles keep it. */
struct GrantKey
{
    std::string name;
    std::string organisation;
    KeyHash hash{};
};

/** Withdraws a key for good: no later bundle or grant brings the same hash back. */
struct WithdrawKey
{
    std::string name; /**< Every key with this name. */
};

/** Takes a failure domain out of service, or returns it. A bundle never cancels a domain that an operator took out. */
struct SetDomainOut
{
    std::string domain;
    bool outOfService = true;
};

struct SetServerOut
{
    std::string server;
    bool outOfService = true;
};

/** Adds an adapter version outside of bundles, or changes who may use it; later bundles keep it. */
struct PublishAdapter
{
    std::string baseModel;
    std::string name;
    std::string version;
    bool isDefault = false;
    std::vector<std::string> organisations;
};

/** Changes the rate of an organisation until the next bundle. */
struct SetRate
{
    std::string organisation;
    double rate = 0; /**< Tokens per second. */
    double burst = 0; /**< Tokens. */
};

struct RegisterInstance
{
    std::string name;
    std::string domain;
    std::string address;
    std::uint64_t incarnation = 0;
};

struct RemoveInstance
{
    InstanceId instance{};
};

/** Gives a pool to an instance when @c expectedFencing is its present fencing number; the state machine gives the next one. */
struct AssignPool
{
    PoolId pool{};
    InstanceId owner{};
    FencingNumber expectedFencing = 0;
};

struct AssignBucketOwner
{
    DomainId domain{};
    InstanceId owner{};
    FencingNumber expectedFencing = 0;
};

/** Identifies a call that must not run twice. */
struct CallKey
{
    OrganisationId organisation{};
    std::string route;
    std::string key; /**< Idempotency-Key of the caller. */

    friend auto operator<=>(const CallKey &, const CallKey &) = default; // NOLINT(modernize-use-nullptr): false report on the comparison
};

struct BeginCall
{
    CallKey call;
    Digest requestHash{}; /**< Hash of method, path and body. */
    InstanceId entryInstance{}; /**< Instance that would run the call. */
};

/** Stores the answer of a call. @c beginId is the command id of its BeginCall. */
struct CompleteCall
{
    CallKey call;
    CommandId beginId;
    std::uint16_t status = 0;
    std::string contentType;
    std::string responseBody; /**< Longer than ControlLimits::maximumResponseBytes: not stored, a resend gets "unknown". */
};

/** The call did not run: no byte of it was sent. It may be begun again. */
struct AbandonCall
{
    CallKey call;
    CommandId beginId;
};

using CommandBody = std::variant<ApplyBundle,
                                 GrantKey,
                                 WithdrawKey,
                                 SetDomainOut,
                                 SetServerOut,
                                 PublishAdapter,
                                 SetRate,
                                 RegisterInstance,
                                 RemoveInstance,
                                 AssignPool,
                                 AssignBucketOwner,
                                 BeginCall,
                                 CompleteCall,
                                 AbandonCall>;

/** One change of the control state. */
struct Command
{
    CommandId id;
    std::int64_t time = 0; /**< Milliseconds since 1970, set by the leader that proposes it. */
    std::string sender; /**< Operator or instance, for the audit log. */
    CommandBody body;
};

enum class CommandOutcome : std::uint8_t {
    Accepted,
    VersionConflict, /**< The version or fencing number in force is another one. */
    NotFound,
    Invalid,
    IdReused, /**< Another kind of command had the same id. */
    RunCall,
    StoredResponse,
    CallInProgress,
    CallOutcomeUnknown,
    CallConflict, /**< The same key came with another request. */
    TooManyCalls, /**< No place for another record; not run. */
};

struct CommandResult
{
    CommandOutcome outcome = CommandOutcome::Accepted;
    std::string message; /**< Reason of a rejection; content type for StoredResponse. */
    std::uint64_t number = 0; /**< Assigned id or fencing number, version in force, or status of a StoredResponse. */
    std::string responseBody; /**< Only for StoredResponse. */

    friend bool operator==(const CommandResult &, const CommandResult &) = default;
};

} // namespace mimosahollow::control

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

/** Chosen by the sender and unchanged when the command is resent. Used to detect duplicates. */
struct CommandId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const CommandId &, const CommandId &) = default; // NOLINT(modernize-use-nullptr): false report on the comparison
};

/** 32-byte BLAKE2b hash. */
using Digest = std::array<std::uint8_t, 32>;

/** Replaces the bundle in force if its version is still @c expectedVersion. */
struct ApplyBundle
{
    Version expectedVersion = 0;
    std::shared_ptr<const Configuration> configuration; /**< The parsed bundle. Its ids are local to the bundle. */
    std::string author;
    std::string approver;
    Digest hash{}; /**< Hash of the bundle's text. */
};

/** Adds an API key that is not in the bundle. It stays valid when later bundles are applied. */
struct GrantKey
{
    std::string name;
    std::string organisation;
    KeyHash hash{};
};

/** Permanently withdraws API keys: later bundles and grants cannot add the same hash again. */
struct WithdrawKey
{
    std::string name; /**< All keys with this name are withdrawn. */
};

/** Takes a failure domain out of service, or puts it back. Applying a bundle does not put back a domain that an operator took out. */
struct SetDomainOut
{
    std::string domain;
    bool outOfService = true;
};

/** Takes a backend server out of service, or puts it back. */
struct SetServerOut
{
    std::string server;
    bool outOfService = true;
};

/** Adds an adapter version that is not in the bundle, or changes its organisations. Later bundles keep it. */
struct PublishAdapter
{
    std::string baseModel;
    std::string name;
    std::string version;
    bool isDefault = false;
    std::vector<std::string> organisations;
};

/** Changes the rate limit of an organisation until the next bundle is applied. */
struct SetRate
{
    std::string organisation;
    double rate = 0; /**< Tokens per second. */
    double burst = 0; /**< Tokens. */
};

/** Registers an instance and assigns it an id. */
struct RegisterInstance
{
    std::string name;
    std::string domain;
    std::string address;
    std::uint64_t incarnation = 0; /**< Random number drawn when the process starts. */
};

struct RemoveInstance
{
    InstanceId instance{};
};

/** Assigns a pool to an instance if the fencing number of the pool is still @c expectedFencing. The result contains the new one. */
struct AssignPool
{
    PoolId pool{};
    InstanceId owner{};
    FencingNumber expectedFencing = 0;
};

/** Assigns the token buckets of a failure domain to an instance, under the same condition as AssignPool. */
struct AssignBucketOwner
{
    DomainId domain{};
    InstanceId owner{};
    FencingNumber expectedFencing = 0;
};

/** Identifies a call that must run at most once. */
struct CallKey
{
    OrganisationId organisation{};
    std::string route;
    std::string key; /**< Value of the Idempotency-Key header. */

    friend auto operator<=>(const CallKey &, const CallKey &) = default; // NOLINT(modernize-use-nullptr): false report on the comparison
};

/** Asks for permission to run a call; the call is recorded before it runs. */
struct BeginCall
{
    CallKey call;
    Digest requestHash{}; /**< Hash of method, path and body. */
    InstanceId entryInstance{}; /**< Instance that will run the call. */
};

/** Stores the response of a call. @c beginId is the command id of its BeginCall. */
struct CompleteCall
{
    CallKey call;
    CommandId beginId;
    std::uint16_t status = 0;
    std::string contentType;
    std::string responseBody; /**< Not stored when longer than ControlLimits::maximumResponseBytes; the outcome of the call is then unknown. */
};

/** Removes the record of a call that did not run, because no byte of it was sent. The call can be begun again. */
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

/** A change of the control state, replicated through the log. */
struct Command
{
    CommandId id;
    std::int64_t time = 0; /**< Milliseconds since 1970 on the clock of the leader that proposes the command. */
    std::string sender; /**< Name of the operator or instance, for the audit log. */
    CommandBody body;
};

enum class CommandOutcome : std::uint8_t {
    Accepted,
    VersionConflict, /**< The current version or fencing number is not the expected one. */
    NotFound,
    Invalid,
    IdReused, /**< A command of another type was applied under the same id. */
    RunCall, /**< The call is recorded; the entry instance runs it. */
    StoredResponse, /**< The call has completed; the result contains its response. */
    CallInProgress, /**< Another attempt of the call is running. */
    CallOutcomeUnknown, /**< The call may have run, and its response is not available. */
    CallConflict, /**< The idempotency key was used for a different request. */
    TooManyCalls, /**< The table of calls is full; the call must not run. */
};

struct CommandResult
{
    CommandOutcome outcome = CommandOutcome::Accepted;
    std::string message; /**< Reason for a rejection, or the content type of a StoredResponse. */
    std::uint64_t number = 0; /**< Assigned id or fencing number, version in force, or HTTP status of a StoredResponse. */
    std::string responseBody; /**< Only set for StoredResponse. */

    friend bool operator==(const CommandResult &, const CommandResult &) = default;
};

} // namespace mimosahollow::control

#pragma once

#include "mimosahollow/control/command.h"
#include "mimosahollow/control/configuration.h"
#include "mimosahollow/control/consensusmessages.h"
#include "mimosahollow/control/storagewrite.h"
#include "mimosahollow/membership/distribution.h"
#include "mimosahollow/membership/heartbeat.h"
#include "mimosahollow/membership/promise.h"
#include "mimosahollow/membership/renewal.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace mimosahollow::coordination {

/** Control-plane messages between instances. */
using Message = std::variant<membership::Heartbeat,
                             membership::Promise,
                             membership::Subscribe,
                             membership::Update,
                             membership::RenewRequest,
                             membership::RenewReply,
                             membership::Confirm,
                             membership::Command,
                             membership::CommandReply,
                             control::ConsensusMessage>;

struct SendMessage
{
    std::string peer;
    Message message;
};

using control::StorageWrite;
using control::StoreSnapshot;

/** This instance has applied a configuration. */
struct ConfigurationChanged
{
    std::shared_ptr<const control::Configuration> configuration;
    InstanceId self{}; /**< 0 until this process is registered. */
    DomainId home{}; /**< Failure domain of this instance; 0 if the configuration does not contain it. */
};

/** The freshness lease was renewed: the configuration of this instance may be used until freshUntil. */
struct FreshnessChanged
{
    TimePoint freshUntil{};
};

/** The lease of a pool, or of the token buckets of the own failure domain, was acquired, or its end has changed. */
struct LeaseChanged
{
    PoolId pool{};
    bool buckets = false; /**< The lease is for the token buckets of the failure domain. */
    FencingNumber fencing = 0;
    TimePoint ownedUntil{};
    TimePoint ordersFrom{}; /**< Earliest order to a backend server that ignores fencing numbers. */
};

enum class CommandState : std::uint8_t {
    NotSent, /**< It was not sent to any instance and has no effect. */
    Unknown, /**< No reply before the timeout; it may still take effect. */
    Done, /**< The leader has replied with a result. */
};

/** Final state of a command that was passed to submit(). */
struct CommandDone
{
    std::uint64_t ticket = 0;
    CommandState state{};
    control::CommandResult result;
    bool inForceEverywhere = false; /**< Every instance has applied the change or has an expired freshness lease. */
};

/** Request to open a connection to the link address of an instance. */
struct ConnectTo
{
    std::string address;
};

/** A line for the operator's log. */
struct Notice
{
    std::string text;
};

using Action = std::variant<SendMessage, StorageWrite, ConfigurationChanged, FreshnessChanged, LeaseChanged, CommandDone, ConnectTo, Notice>;
using Actions = std::vector<Action>;

} // namespace mimosahollow::coordination

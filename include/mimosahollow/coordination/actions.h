#pragma once

#include "mimosahollow/control/command.h"
#include "mimosahollow/control/configuration.h"
#include "mimosahollow/control/consensusmessages.h"
#include "mimosahollow/control/storageorder.h"
#include "mimosahollow/membership/distribution.h"
#include "mimosahollow/membership/heartbeat.h"
#include "mimosahollow/membership/promise.h"
#include "mimosahollow/membership/renewal.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace mimosahollow::coordination {

/** What the control parts of instances send to each other. */
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

using control::StorageOrder;
using control::StoreSnapshot;

/** A configuration is in force on this instance. */
struct ConfigurationChanged
{
    std::shared_ptr<const control::Configuration> configuration;
    InstanceId self{}; /**< 0 until this process is registered. */
    DomainId home{};
};

struct FreshnessChanged
{
    TimePoint freshUntil{};
};

/** Lease of a pool, or of the home domain's token buckets. */
struct LeaseChanged
{
    PoolId pool{};
    bool buckets = false;
    FencingNumber fencing = 0;
    TimePoint ownedUntil{};
    TimePoint ordersFrom{}; /**< First order to a server that ignores fencing numbers. */
};

enum class CommandState : std::uint8_t {
    NotSent, /**< It reached no leader and has no effect. */
    Unknown, /**< No answer in time; it may take effect. */
    Done,
};

/** End of a command that submit() took. */
struct CommandDone
{
    std::uint64_t ticket = 0;
    CommandState state{};
    control::CommandResult result;
    bool inForceEverywhere = false;
};

struct ConnectTo
{
    std::string address;
};

/** Something that an operator should see in the log. */
struct Notice
{
    std::string text;
};

using Action = std::variant<SendMessage, StorageOrder, ConfigurationChanged, FreshnessChanged, LeaseChanged, CommandDone, ConnectTo, Notice>;
using Actions = std::vector<Action>;

} // namespace mimosahollow::coordination

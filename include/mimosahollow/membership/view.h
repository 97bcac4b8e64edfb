#pragma once

#include "mimosahollow/membership/heartbeat.h"
#include "mimosahollow/membership/leasetime.h"

#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahollow::membership {

struct ViewOptions
{
    Duration heartbeatInterval = milliseconds(250);
    std::uint32_t suspicionThreshold = 4; /**< Missed heartbeats after which an instance is suspected. */
    /** Relays of other failure domains get every fourth heartbeat, which keeps a relay below 15 KB/s with 22 domains. */
    std::uint32_t remoteIntervalFactor = 4;
    /** Bidirectional contact required before a suspected instance counts as alive again; doubles with each further failure. */
    Duration recoveryTime = seconds(2);
    Duration maximumRecoveryTime = seconds(60);
    /** Known instances gossiped to each receiver once a second; all instances know a new one within minutes. */
    std::size_t sampleSize = 1;
    /** An instance from which no instance has received anything for this long is removed. */
    Duration expirationTime = seconds(600);
    std::size_t maximumInstances = 4096;
    /** Time for which a preferred relay must have been alive before the failure domain switches to it. */
    Duration relayStabilizationTime = seconds(10);
};

/** State of another instance, as known to this one. */
struct KnownInstance
{
    InstanceRecord record;
    TimePoint lastSeenAt{}; /**< Last time any instance received a message directly from it, as far as known here. */
    TimePoint lastHeartbeatAt = neverTime; /**< Receive time of its last heartbeat. */
    TimePoint lastAcknowledgedAt = neverTime; /**< Send time of the newest own heartbeat that it has echoed. */
    std::int64_t remoteSentAt = 0; /**< sentAt of its newest heartbeat, to be echoed; on its clock. */
    TimePoint bidirectionalSince = neverTime; /**< Start of the current bidirectional contact. */
    TimePoint aliveSince = neverTime;
    bool alive = false;
    bool relay = false;
    std::uint32_t failureCount = 0;
};

/** Membership view of one instance. Owned by the control thread. */
struct View
{
    InstanceRecord self;
    ViewOptions options;
    std::map<std::string, KnownInstance, std::less<>> known;
    std::string relay; /**< Relay of this failure domain; this instance itself if it is alone. */
    std::string leader;
    std::uint64_t tick = 0;
};

struct OutgoingHeartbeat
{
    std::string to;
    Heartbeat heartbeat;
};

struct ViewActions
{
    std::vector<OutgoingHeartbeat> heartbeats;
    std::vector<std::string> becameAlive;
    std::vector<std::string> becameSuspect;
    bool relayChanged = false;
};

/** Adds or updates an instance known from its Hello or from a seed that answered. */
void recordInstance(View &view, const InstanceRecord &record, TimePoint now);

/** Handles a heartbeat of the link peer @p from. */
void onHeartbeat(View &view, std::string_view from, const Heartbeat &heartbeat, TimePoint now);

/** Updates liveness and the relay, and builds the heartbeats to send. Call it every heartbeat interval. */
[[nodiscard]] ViewActions tickView(View &view, TimePoint now, std::mt19937_64 &random);

/** Whether there is bidirectional contact, with hysteresis. False for instances that exchange no heartbeats with this one. */
[[nodiscard]] bool isAlive(const View &view, std::string_view name) noexcept;

/** Relay to which this instance should subscribe, chosen deterministically from the alive instances, with hysteresis. */
[[nodiscard]] std::string chooseRelay(const View &view, TimePoint now);

/** Instance to which a relay should subscribe: the leader or a voter, alternating with the number of failed attempts @p failures. */
[[nodiscard]] std::string chooseUpstream(const View &view, std::span<const std::string> voters, std::uint32_t failures);

} // namespace mimosahollow::membership

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
    std::uint32_t suspicionThreshold = 4;
    /** Relays of other failure domains get every fourth heartbeat, so that a relay stays below 15 KB/s with 22 domains. */
    std::uint32_t remoteIntervalFactor = 4;
    /** A suspected instance counts as alive again after this time of two-way contact; doubles with each further loss. */
    Duration recoveryTime = seconds(2);
    Duration maximumRecoveryTime = seconds(60);
    /** Known instances in one heartbeat a second to each receiver; a new instance is known to all within minutes. */
    std::size_t sampleSize = 1;
    /** An instance that nobody has heard of for this long is forgotten. */
    Duration expirationTime = seconds(600);
    std::size_t maximumInstances = 4096;
    /** A better relay must have been alive for this long before the failure domain changes to it. */
    Duration relayStabilizationTime = seconds(10);
};

/** What this instance knows about another one. */
struct KnownInstance
{
    InstanceRecord record;
    TimePoint lastSeenAt{}; /**< Newest direct evidence of any instance, as far as it is known here. */
    TimePoint lastHeartbeatAt = neverTime; /**< Last heartbeat from it. */
    TimePoint lastAcknowledgedAt = neverTime; /**< Send time of the newest own heartbeat that it has confirmed. */
    std::int64_t remoteSentAt = 0; /**< sentAt of its newest heartbeat, for the echo. */
    TimePoint bidirectionalSince = neverTime; /**< Start of the present two-way contact. */
    TimePoint aliveSince = neverTime;
    bool alive = false;
    bool relay = false;
    std::uint32_t failureCount = 0;
};

/** View of one instance on the fleet. Owned by the control thread. */
struct View
{
    InstanceRecord self;
    ViewOptions options;
    std::map<std::string, KnownInstance, std::less<>> known;
    std::string relay; /**< Relay of the own failure domain; this instance when it stands alone. */
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

/** An instance is known from a Hello or a seed that answered. */
void recordInstance(View &view, const InstanceRecord &record, TimePoint now);

/** Handles a heartbeat of the link peer @p from. */
void onHeartbeat(View &view, std::string_view from, const Heartbeat &heartbeat, TimePoint now);

/** Runs every heartbeat interval. */
[[nodiscard]] ViewActions tickView(View &view, TimePoint now, std::mt19937_64 &random);

/** Two-way contact, with hysteresis. Only known for instances that exchange heartbeats with this one. */
[[nodiscard]] bool isAlive(const View &view, std::string_view name) noexcept;

/** Relay that this instance should subscribe to, given which instances are alive. Deterministic, with hysteresis. */
[[nodiscard]] std::string chooseRelay(const View &view, TimePoint now);

/** Where a relay subscribes: the leader when it is known, otherwise a voter; another one after each @p failures. */
[[nodiscard]] std::string chooseUpstream(const View &view, std::span<const std::string> voters, std::uint32_t failures);

} // namespace mimosahollow::membership

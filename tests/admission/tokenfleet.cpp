#include "tokenfleet.h"

namespace mimosahollow::tests {

namespace {

constexpr Duration ownerLease = milliseconds(3000);

bool chance(std::mt19937_64 &random, double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

} // namespace

TokenFleet::TokenFleet(std::size_t domains, std::size_t perDomain, double rate, double burst, std::uint64_t seed)
    : random(seed), instances(domains * perDomain), owners(domains), partitioned(domains, false), now(TimePoint{} + std::chrono::hours(1))
{
    for (std::size_t d = 0; d < domains; ++d) {
        configuration.domains.push_back({static_cast<DomainId>(d + 1), "d", 1.0 / static_cast<double>(domains), false});
    }
    ledger = {rate, burst, 0, 0, now};
    configuration.organisations.push_back({organisation, "o", rate, burst, 1});
    configuration.version = 1;
    for (std::size_t i = 0; i < instances.size(); ++i) {
        instances[i].domain = i % domains;
        reset(i);
    }
    for (std::size_t d = 0; d < domains; ++d) {
        owners[d] = d;
        startOwnership(instances[d].owner, 1, now - ownerLease, now);
        announce(d, 1);
    }
}

void TokenFleet::reset(std::size_t i)
{
    TestInstance &instance = instances[i];
    instance.leases = {};
    instance.owner = {};
    instance.leases.self = static_cast<InstanceId>(i + 1);
    instance.leases.home = static_cast<DomainId>(instance.domain + 1);
    instance.leases.process = random() | 1U;
    instance.owner.self = instance.leases.self;
    instance.owner.domain = instance.leases.home;
    applyConfiguration(instance.owner, configuration, now);
    applyConfiguration(instance.leases, configuration, now);
}

void TokenFleet::announce(std::size_t domain, FencingNumber epoch)
{
    const auto id = static_cast<DomainId>(domain + 1);
    const auto owner = static_cast<InstanceId>(owners[domain] + 1);
    for (TestInstance &instance : instances) {
        setOwner(instance.leases, id, owner, epoch, configuration.domains[domain].share);
        if (instance.domain != domain) {
            setPeer(instance.owner, id, owner, epoch, now);
        }
    }
}

void TokenFleet::send(std::size_t from, InstanceId to, Payload payload)
{
    ++messages;
    ++messagesByKind[payload.index()];
    const int copies = chance(random, faults.loss) ? 0 : chance(random, faults.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto longest = chance(random, faults.delayed) ? milliseconds(4000) : milliseconds(3);
        const auto delay = milliseconds(std::uniform_int_distribution<int>(1, static_cast<int>(longest.count()))(random));
        network.push({now + delay, ++counter, from, number(to) - 1, payload});
    }
}

template<typename Function>
void TokenFleet::withLeases(std::size_t i, Function function)
{
    LeaseActions out;
    function(instances[i].leases, out);
    for (OutgoingTokenMessage &message : out.messages) {
        std::visit(
            [&](auto &content) {
                send(i, message.to, std::move(content));
            },
            message.message);
    }
    for (const RequestId id : out.run) {
        started(id);
    }
    for (const RefusedCall &call : out.refused) {
        refused.push_back(call);
        pendingCalls.erase(call.id);
    }
}

template<typename Function>
void TokenFleet::withOwner(std::size_t i, Function function)
{
    BucketActions out;
    BucketOwner &owner = instances[i].owner;
    if (mutant == Mutant::RefillsWhileOutstanding) {
        owner.buckets[account].outstanding = 0;
    }
    const double credited = owner.buckets[account].refundsCredited;
    const double level = owner.buckets[account].level;
    function(owner, out);
    const double refunded = owner.buckets[account].refundsCredited - credited;
    if (refunded != 0) {
        ledger.add(now, -refunded);
    }
    for (OutgoingTransfer &transfer : out.transfers) {
        const auto *reply = std::get_if<TransferReply>(&transfer.message);
        if (mutant == Mutant::TransferNotSubtracted && reply != nullptr && !reply->items.empty()) {
            owner.buckets[account].level = level;
        }
        std::visit(
            [&](auto &content) {
                send(i, transfer.to, std::move(content));
            },
            transfer.message);
    }
    for (TokenGrant &grant : out.grants) {
        const InstanceId holder = grant.session.holder;
        send(i, holder, std::move(grant));
    }
}

void TokenFleet::started(RequestId id)
{
    const CallRecord record = pendingCalls[id];
    pendingCalls.erase(id);
    if (record.account == loadAccount) {
        ++ranLoads;
        return;
    }
    ledger.add(now, record.cost);
    longestWait = std::max(longestWait, now - record.arrived);
    ++ran;
    running.emplace(now + callTime, RunningReservation{record.instance, instances[record.instance].leases.process, record.cost, record.used});
}

void TokenFleet::call(std::size_t instance, double cost, double used, Duration timeout)
{
    start(instance, {cost, used, instance, now, account}, timeout);
}

void TokenFleet::callAccount(std::size_t instance, AccountId id, double cost, Duration timeout)
{
    start(instance, {cost, cost, instance, now, id}, timeout);
}

void TokenFleet::start(std::size_t instance, const CallRecord &record, Duration timeout)
{
    const RequestId id{instance, ++counter};
    pendingCalls[id] = record;
    Admission result{};
    withLeases(instance, [&](QuotaLeases &leases, LeaseActions &out) {
        result = admit(leases, record.account, {id, record.cost, now, now + timeout}, now, out);
    });
    if (result == Admission::Run) {
        started(id);
    }
}

void TokenFleet::finishCalls()
{
    while (!running.empty() && running.begin()->first <= now) {
        const RunningReservation call = running.begin()->second;
        running.erase(running.begin());
        if (instances[call.instance].leases.process == call.process) {
            ledger.add(now, -refund(instances[call.instance].leases, account, call.cost, call.used));
        }
    }
}

void TokenFleet::deliver(const Packet &packet)
{
    const std::size_t from = instances[packet.from].domain;
    const std::size_t to = instances[packet.to].domain;
    if (from != to && (partitioned[from] || partitioned[to])) {
        return;
    }
    if (const auto *grant = std::get_if<TokenGrant>(&packet.payload)) {
        withLeases(packet.to, [&](QuotaLeases &leases, LeaseActions &out) {
            handle(leases, *grant, now, out);
        });
        return;
    }
    withOwner(packet.to, [&](BucketOwner &owner, BucketActions &out) {
        std::visit(
            [&](const auto &content) {
                if constexpr (!std::is_same_v<std::decay_t<decltype(content)>, TokenGrant>) {
                    handle(owner, content, now, out);
                }
            },
            packet.payload);
    });
}

void TokenFleet::tickAll()
{
    for (std::size_t i = 0; i < instances.size(); ++i) {
        if (mutant == Mutant::HolderIgnoresExpiry) {
            for (LeaseSource &source : instances[i].leases.sources) {
                source.expiresAt = now + std::chrono::hours(1);
            }
        }
        withLeases(i, [&](QuotaLeases &leases, LeaseActions &out) {
            tick(leases, now, out);
        });
        withOwner(i, [&](BucketOwner &owner, BucketActions &out) {
            tick(owner, now, out);
        });
    }
}

void TokenFleet::advance(Duration time)
{
    for (const TimePoint end = now + time; now < end; now += milliseconds(1)) {
        while (!network.empty() && network.top().at <= now) {
            const Packet packet = network.top();
            network.pop();
            deliver(packet);
        }
        finishCalls();
        if ((now.time_since_epoch() / milliseconds(1)) % 20 == 0) {
            tickAll();
        }
    }
}

void TokenFleet::crash(std::size_t instance)
{
    const std::size_t domain = instances[instance].domain;
    const FencingNumber epoch = instances[owners[domain]].owner.epoch;
    std::erase_if(pendingCalls, [instance](const auto &entry) {
        return entry.second.instance == instance;
    });
    reset(instance);
    for (std::size_t d = 0; d < owners.size(); ++d) {
        const FencingNumber current = owners[d] == instance ? epoch : instances[owners[d]].owner.epoch;
        setOwner(instances[instance].leases, static_cast<DomainId>(d + 1), static_cast<InstanceId>(owners[d] + 1), current, configuration.domains[d].share);
    }
    if (owners[domain] == instance) {
        instances[instance].owner.epoch = epoch;
        changeOwner(domain, false);
    }
}

void TokenFleet::changeOwner(std::size_t domain, bool graceful)
{
    BucketOwner &old = instances[owners[domain]].owner;
    const FencingNumber epoch = old.epoch + 1;
    const BucketHandover handover = stopOwnership(old, now);
    owners[domain] = (owners[domain] + owners.size()) % instances.size();
    BucketOwner &next = instances[owners[domain]].owner;
    if (graceful) {
        startOwnership(next, epoch, handover, now);
    } else {
        startOwnership(next, epoch, now + ownerLease, now);
    }
    if (mutant == Mutant::NewOwnerStartsFull) {
        next.grantsStartAt = now;
        next.buckets[account].refilledAt = now;
        next.buckets[account].level = next.buckets[account].burst * next.share;
    }
    announce(domain, epoch);
}

void TokenFleet::configure(double rate, double burst)
{
    ++configuration.version;
    configuration.organisations[0].rate = rate;
    configuration.organisations[0].burst = burst;
    for (TestInstance &instance : instances) {
        applyConfiguration(instance.owner, configuration, now);
        applyConfiguration(instance.leases, configuration, now);
    }
}

void TokenFleet::partition(std::size_t domain, bool isolated)
{
    partitioned[domain] = isolated;
}

} // namespace mimosahollow::tests

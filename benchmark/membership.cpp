#include "mimosahollow/link/fleetcodec.h"
#include "mimosahollow/membership/assignment.h"
#include "mimosahollow/membership/leaderstate.h"
#include "mimosahollow/membership/poolholder.h"
#include "mimosahollow/membership/renewalstate.h"
#include "mimosahollow/membership/view.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <vector>

// Messages, bytes and processor time a second of each instance, from running the decision code and the codec of a whole
// healthy fleet in virtual time. Bytes include the frame header, not the headers of TLS, TCP and IP.

using namespace mimosahollow;
using namespace mimosahollow::membership;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr std::size_t frameHeaderBytes = 8;
constexpr std::uint32_t poolsInDomain = 6;
constexpr Duration warmUp = seconds(30);
constexpr Duration measured = seconds(20);

struct Size
{
    std::size_t instances;
    std::size_t domains;
};
constexpr Size sizes[] = {{7, 3}, {20, 4}, {60, 8}, {340, 22}};

struct Cost
{
    double sentMessages = 0;
    double sentBytes = 0;
    double receivedBytes = 0;
    double seconds = 0;
};

struct Member
{
    View view;
    RenewalState renewal;
    PoolHolder holder;
    std::mt19937_64 random;
    Cost cost;
};

/** Adds the time of its scope to the cost of an instance. */
class Timer
{
public:
    explicit Timer(Cost &cost) : m_cost(cost), m_start(std::chrono::steady_clock::now())
    {
    }
    ~Timer()
    {
        m_cost.seconds += toSeconds(std::chrono::steady_clock::now() - m_start);
    }
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

private:
    Cost &m_cost;
    TimePoint m_start;
};

class Fleet
{
public:
    explicit Fleet(const Size &size) : m_members(size.instances)
    {
        for (std::size_t i = 0; i < size.instances; ++i) {
            const auto id = static_cast<std::uint32_t>(i + 1);
            const auto domain = static_cast<std::uint32_t>(i % size.domains + 1);
            Member &member = m_members[i];
            member.view.self = {"instance-" + std::to_string(id), "domain-" + std::to_string(domain), "10.0.0." + std::to_string(id) + ":9000", 1};
            member.renewal.self = InstanceId(id);
            member.renewal.incarnation = 1;
            member.renewal.applied = 1;
            member.holder.self = InstanceId(id);
            member.holder.startedAt = m_now;
            member.random.seed(seed + i);
            m_registered.push_back({InstanceId(id), member.view.self.name, DomainId(domain), 1, 1, true});
        }
        for (std::uint32_t pool = 0; pool < poolsInDomain * size.domains; ++pool) {
            const auto domain = static_cast<std::uint32_t>(pool % size.domains);
            const auto inDomain = (size.instances - domain + size.domains - 1) / size.domains;
            const auto owner = domain + (pool / size.domains) % inDomain * size.domains;
            m_pools.push_back({PoolId(pool + 1), DomainId(domain + 1), InstanceId(static_cast<std::uint32_t>(owner + 1)), 1, 1, 0});
        }
        for (Member &member : m_members) {
            const DomainId domain = m_registered[number(member.holder.self) - 1].domain;
            applyControlState(member.holder, domain, m_registered, m_pools, m_now);
            for (const Member &other : m_members) {
                recordInstance(member.view, other.view.self, m_now);
            }
        }
        m_leader = makeLeaderState(1, {}, 1, m_registered, m_pools, m_now);
    }

    void run(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += milliseconds(250)) {
            for (Member &member : m_members) {
                tick(member);
            }
            if (++m_ticks % 2 == 0) {
                renewAll();
            }
        }
    }

    void resetCosts()
    {
        for (Member &member : m_members) {
            member.cost = {};
        }
    }

    [[nodiscard]] const std::vector<Member> &members() const
    {
        return m_members;
    }

    [[nodiscard]] bool isHealthy() const
    {
        std::size_t owned = 0;
        for (const Member &member : m_members) {
            owned += static_cast<std::size_t>(std::count_if(m_pools.begin(), m_pools.end(), [&](const PoolAssignment &pool) {
                return ownsPool(member.holder, pool.pool, m_now);
            }));
        }
        return owned == m_pools.size() && std::all_of(m_members.begin(), m_members.end(), [this](const Member &member) {
                   return isFresh(member.renewal, m_now);
               });
    }

private:
    Member &find(const std::string &name)
    {
        return m_members[static_cast<std::size_t>(std::stoul(name.substr(name.find('-') + 1))) - 1];
    }

    /** Encodes, counts and decodes a message. */
    template<typename Message, typename Decode, typename Deliver>
    void send(Member &from, Member &to, const Message &message, Decode decode, Deliver deliver)
    {
        std::vector<std::uint8_t> bytes;
        {
            const Timer timer(from.cost);
            bytes = link::encode(message);
        }
        const auto size = static_cast<double>(bytes.size() + frameHeaderBytes);
        from.cost.sentMessages += 1;
        from.cost.sentBytes += size;
        to.cost.receivedBytes += size;
        const Timer timer(to.cost);
        const auto decoded = decode(bytes);
        deliver(std::get<Message>(decoded));
    }

    void tick(Member &member)
    {
        ViewActions actions;
        {
            const Timer timer(member.cost);
            actions = tickView(member.view, m_now, member.random);
            static_cast<void>(activatePools(member.holder, m_now));
        }
        for (const OutgoingHeartbeat &outgoing : actions.heartbeats) {
            Member &to = find(outgoing.to);
            send(member, to, outgoing.heartbeat, link::decodeHeartbeat, [&](const Heartbeat &heartbeat) {
                onHeartbeat(to.view, member.view.self.name, heartbeat, m_now);
            });
        }
    }

    RenewRequest request(Member &member)
    {
        const Timer timer(member.cost);
        return makeRenewRequest(member.renewal, poolsToRenew(member.holder), m_now);
    }

    void renewAll()
    {
        for (Member &member : m_members) {
            const bool isDue = m_ticks % 4 == 0 || !poolsToRenew(member.holder).empty();
            if (member.view.relay != member.view.self.name && isDue) {
                Member &relay = find(member.view.relay);
                send(member, relay, request(member), link::decodeRenewRequest, [&](const RenewRequest &received) {
                    onDownstreamRequest(relay.renewal, received);
                });
            }
        }
        Member &leader = m_members.front();
        for (Member &member : m_members) {
            if (member.view.relay == member.view.self.name) {
                send(member, leader, request(member), link::decodeRenewRequest, [&](const RenewRequest &received) {
                    static_cast<void>(onRenewRequest(m_leader, member.view.self.name, received, m_now));
                });
            }
        }
        std::vector<OutgoingRenewReply> answers;
        {
            const Timer timer(leader.cost);
            answers = answerRenewals(m_leader, m_pools, m_now, m_now);
            updateReachability(m_leader, m_now);
            static_cast<void>(planAssignments(m_leader, m_pools, m_now));
        }
        for (const OutgoingRenewReply &answer : answers) {
            reply(leader, find(answer.to), answer.reply);
        }
    }

    void reply(Member &from, Member &to, const RenewReply &message)
    {
        RenewalOutcome outcome;
        send(from, to, message, link::decodeRenewReply, [&](const RenewReply &received) {
            outcome = onRenewReply(to.renewal, received, m_now);
            onLeaderRenewal(to.holder, outcome.ownPools, outcome.ownPoolsLeaseStart);
        });
        for (const auto &[follower, passed] : outcome.replies) {
            reply(to, m_members[number(follower) - 1], passed);
        }
    }

    std::vector<Member> m_members;
    std::vector<RegisteredInstance> m_registered;
    std::vector<PoolAssignment> m_pools;
    LeaderState m_leader;
    TimePoint m_now = fromNanoseconds(1'000'000'000'000);
    std::uint64_t m_ticks = 0;
};

void print(const char *who, const Cost &cost)
{
    const double seconds = toSeconds(measured);
    std::printf("  %-22s %8.1f messages/s sent, %8.2f KB/s sent, %8.2f KB/s received, %8.4f%% of a core\n",
                who,
                cost.sentMessages / seconds,
                cost.sentBytes / seconds / 1000,
                cost.receivedBytes / seconds / 1000,
                cost.seconds / seconds * 100);
}

Cost mean(const std::vector<Member> &members)
{
    Cost sum;
    for (const Member &member : members) {
        sum.sentMessages += member.cost.sentMessages;
        sum.sentBytes += member.cost.sentBytes;
        sum.receivedBytes += member.cost.receivedBytes;
        sum.seconds += member.cost.seconds;
    }
    const auto count = static_cast<double>(members.size());
    return {sum.sentMessages / count, sum.sentBytes / count, sum.receivedBytes / count, sum.seconds / count};
}

} // namespace

int main()
{
    std::printf("seed %llu, %lld s of virtual time\n", static_cast<unsigned long long>(seed), static_cast<long long>(measured / seconds(1)));
    Cost previous;
    double previousSize = 0;
    for (const Size &size : sizes) {
        Fleet fleet(size);
        fleet.run(warmUp);
        fleet.resetCosts();
        fleet.run(measured);
        std::printf("%zu instances, %zu failure domains, %zu pools%s\n",
                    size.instances,
                    size.domains,
                    size.domains * poolsInDomain,
                    fleet.isHealthy() ? "" : " (NOT HEALTHY: leases are missing)");
        const Cost average = mean(fleet.members());
        const auto busiest = std::max_element(fleet.members().begin() + 1, fleet.members().end(), [](const Member &left, const Member &right) {
            return left.cost.sentBytes < right.cost.sentBytes;
        });
        print("mean", average);
        print("busiest but the leader", busiest->cost);
        print("leader", fleet.members().front().cost);
        const auto count = static_cast<double>(size.instances);
        if (previousSize > 0) {
            const double growth = std::log(count / previousSize);
            std::printf("  slope from %.0f: messages %.2f, bytes %.2f, processor time %.2f (1 is proportional to the size of the fleet)\n",
                        previousSize,
                        std::log(average.sentMessages / previous.sentMessages) / growth,
                        std::log(average.sentBytes / previous.sentBytes) / growth,
                        std::log(average.seconds / previous.seconds) / growth);
        }
        previous = average;
        previousSize = count;
    }
    return 0;
}

#include "coordinator/coordinatorinternal.h"

#include "mimosahollow/duties/dutyrules.h"

#include <algorithm>
#include <set>

namespace mimosahollow::coordinator {

namespace {

constexpr Duration sizingInterval = milliseconds(250); // half of the shortest average of the calls
constexpr Duration reportAge = seconds(1); // two reports of an idle entry instance

} // namespace

/** Calls and servers of @p service, as the entry instances and the announcements tell them. */
fleetsize::ServiceLoad Coordinator::loadOf(const catalog::ServiceSpec &service, TimePoint now) const
{
    std::map<std::uint32_t, unsigned> running;
    bool isComplete = m_entries.size() >= m_hub->entryCount();
    for (const auto &[name, entry] : m_entries) {
        isComplete = isComplete && now - entry.lastReportAt < reportAge;
        for (const fleetlink::ServerLoad &load : entry.running) {
            running[load.serverKey] += load.running;
        }
    }
    std::map<std::string, fleetsize::DomainLoad> domains;
    const auto domainOf = [this, &domains](const std::string &name) -> fleetsize::DomainLoad & {
        fleetsize::DomainLoad &domain = domains[name];
        domain.domain = name;
        domain.isUsable = !m_state.evacuatedDomains.contains(name);
        return domain;
    };
    domainOf(m_settings.domain);
    for (const fleetlink::Peer &peer : m_hub->peers()) {
        domainOf(peer.hello.domain);
    }
    unsigned slots = 0;
    unsigned servers = 0;
    for (const auto &[id, entry] : m_registry.entries) {
        const registry::ServerRecord &record = entry.record;
        if (record.service != service.name || record.state == registry::ServerState::Gone) {
            continue;
        }
        fleetsize::DomainLoad &domain = domainOf(record.domain);
        const auto calls = running.find(registry::serverKey(id));
        domain.calls += calls == running.end() ? 0 : calls->second;
        const bool isReady = record.state == registry::ServerState::Ready;
        domain.ready += isReady ? 1 : 0;
        domain.draining += isReady ? 0 : 1;
        slots += record.slots;
        ++servers;
    }
    unsigned waiting = 0;
    for (const auto &[adapter, demand] : m_placement.demand) {
        for (const auto &[entry, wait] : demand.waiting) {
            const bool isCurrent = demand.service == service.name && now - wait.reported < m_placement.options.waitReportLifetime;
            waiting += isCurrent ? wait.calls : 0;
        }
    }
    fleetsize::ServiceLoad load{*service.scaling, servers == 0 ? 0 : static_cast<double>(slots) / servers, {}, isComplete};
    for (auto &[name, domain] : domains) {
        // Calls that wait may run in any failure domain.
        domain.calls += static_cast<double>(waiting) / static_cast<double>(domains.size());
        load.domains.push_back(std::move(domain));
    }
    return load;
}

void Coordinator::planSizes(TimePoint now)
{
    if (!m_catalog || now < m_duties.nextSizing) {
        return;
    }
    m_duties.nextSizing = now + sizingInterval;
    for (const catalog::ServiceSpec &service : m_catalog->catalog().services) {
        if (!service.scaling) {
            continue;
        }
        const auto targets = fleetsize::update(m_duties.sizes[service.name], loadOf(service, now), now);
        if (!holdsDuty(duties::scalingDuty)) {
            continue;
        }
        for (const fleetsize::DomainTarget &target : targets) {
            duties::setWanted(m_duties.queue, {service.name, target.domain, target.wanted});
        }
    }
}

} // namespace mimosahollow::coordinator

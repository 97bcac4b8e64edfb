#include "commandsinternal.h"

#include "elementkeys.h"

#include <sodium.h>

#include <algorithm>
#include <map>
#include <set>

namespace mimosahollow::control {

namespace {

std::string hexadecimal(const Digest &digest)
{
    std::string text(digest.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    text.pop_back();
    return text;
}

std::string describeRecord(const BundleRecord &record)
{
    return "version " + std::to_string(record.version) + " by " + record.author + " with hash " + hexadecimal(record.hash);
}

/** The message refers to the accepted bundle with version @p newVersion, or else to the bundle in force. */
CommandResult conflict(const ControlState &state, Version newVersion)
{
    const Version inForce = state.configuration.version;
    const auto found = std::find_if(state.bundles.begin(), state.bundles.end(), [newVersion](const BundleRecord &record) {
        return record.version == newVersion;
    });
    std::string message = "version " + std::to_string(inForce) + " is in force";
    if (found != state.bundles.end()) {
        message = "accepted already: " + describeRecord(*found);
    } else if (!state.bundles.empty()) {
        message = "in force: " + describeRecord(state.bundles.back());
    }
    return failed(CommandOutcome::VersionConflict, std::move(message), inForce);
}

/** Merges a bundle with the changes that operators made outside of bundles into the next configuration. */
struct BundleMerge
{
    ControlState &state;
    const Configuration &bundle;
    Configuration next;
    std::map<DomainId, DomainId> domains; /**< Bundle-local id to id in force. */
    std::map<OrganisationId, OrganisationId> organisations; /**< Bundle-local id to id in force. */

    template<typename Id>
    static Id findOrAssignId(std::map<std::string, Id> &ids, const std::string &name)
    {
        return ids.try_emplace(name, static_cast<Id>(ids.size() + 1)).first->second;
    }

    template<typename Element>
    static void sort(std::vector<Element> &list)
    {
        std::sort(list.begin(), list.end(), [](const Element &left, const Element &right) {
            return keyOf(left) < keyOf(right);
        });
    }

    void mergeDomains()
    {
        state.domainsOutByBundle.clear();
        for (FailureDomain domain : bundle.domains) {
            const DomainId id = findOrAssignId(state.domainIds, domain.name);
            domains[domain.id] = id;
            domain.id = id;
            if (domain.outOfService) {
                state.domainsOutByBundle.insert(domain.name);
            }
            domain.outOfService = domain.outOfService || state.domainsOutByOperator.contains(domain.name);
            next.domains.push_back(std::move(domain));
        }
        sort(next.domains);
    }

    void mergeOrganisations()
    {
        for (Organisation organisation : bundle.organisations) {
            const OrganisationId id = findOrAssignId(state.organisationIds, organisation.name);
            organisations[organisation.id] = id;
            organisation.id = id;
            next.organisations.push_back(std::move(organisation));
        }
        sort(next.organisations);
    }

    [[nodiscard]] std::vector<OrganisationId> translated(const std::vector<OrganisationId> &ids) const
    {
        std::vector<OrganisationId> result;
        for (const OrganisationId id : ids) {
            const auto found = organisations.find(id);
            if (found != organisations.end()) {
                result.push_back(found->second);
            }
        }
        return result;
    }

    [[nodiscard]] bool hasOrganisation(OrganisationId id)
    {
        return findElement(next.organisations, id) != nullptr;
    }

    void mergeKeys()
    {
        std::set<KeyHash> granted;
        for (ApiKey key : bundle.keys) {
            const auto found = organisations.find(key.organisation);
            if (found != organisations.end() && !state.withdrawnKeys.contains(key.hash)) {
                key.organisation = found->second;
                insertOrReplace(next.keys, key);
            }
        }
        // A key that an operator granted is kept unless the bundle declares the same key or lacks the key's organisation.
        for (const ApiKey &key : state.configuration.keys) {
            const bool kept = state.grantedKeys.contains(key.hash) && hasOrganisation(key.organisation) && findElement(next.keys, key.hash) == nullptr;
            if (kept) {
                insertOrReplace(next.keys, key);
                granted.insert(key.hash);
            }
        }
        state.grantedKeys = std::move(granted);
    }

    void mergeAdapters()
    {
        std::vector<Adapter> adapters;
        std::set<AdapterId> declared;
        std::set<std::string> defaults;
        for (Adapter adapter : bundle.adapters) {
            adapter.id = findOrAssignAdapterId(state, adapterName(adapter));
            adapter.organisations = translated(adapter.organisations);
            declared.insert(adapter.id);
            if (adapter.isDefault) {
                defaults.insert(adapter.baseModel + ":" + adapter.name);
            }
            adapters.push_back(std::move(adapter));
        }
        std::set<AdapterId> published;
        // An adapter that an operator published is kept unless the bundle declares the same adapter or lacks its base model. It is no longer
        // the default if the bundle declares another default for its name.
        for (Adapter adapter : state.configuration.adapters) {
            const bool hasBase = std::find(bundle.baseModels.begin(), bundle.baseModels.end(), adapter.baseModel) != bundle.baseModels.end();
            if (!state.publishedAdapters.contains(adapter.id) || declared.contains(adapter.id) || !hasBase) {
                continue;
            }
            std::erase_if(adapter.organisations, [this](OrganisationId id) {
                return !hasOrganisation(id);
            });
            adapter.isDefault = adapter.isDefault && !defaults.contains(adapter.baseModel + ":" + adapter.name);
            published.insert(adapter.id);
            adapters.push_back(std::move(adapter));
        }
        state.publishedAdapters = std::move(published);
        sort(adapters);
        for (Adapter &adapter : adapters) {
            next.adapters.push_back(std::move(adapter));
        }
    }

    void mergeServers()
    {
        state.serversOutByBundle.clear();
        for (BackendServer server : bundle.servers) {
            server.id = findOrAssignId(state.serverIds, server.name);
            const auto domain = domains.find(server.domain);
            server.domain = domain == domains.end() ? DomainId{} : domain->second;
            if (server.outOfService) {
                state.serversOutByBundle.insert(server.name);
            }
            server.outOfService = server.outOfService || state.serversOutByOperator.contains(server.name);
            next.servers.push_back(std::move(server));
        }
        sort(next.servers);
    }

    void mergePools()
    {
        for (const BackendServer &server : next.servers) {
            const auto key = std::pair(server.domain, server.kind);
            const PoolId id = state.poolIds.try_emplace(key, static_cast<PoolId>(state.poolIds.size() + 1)).first->second;
            if (findElement(next.pools, id) != nullptr) {
                continue;
            }
            const Pool *old = findElement(state.configuration.pools, id);
            insertOrReplace(next.pools, old != nullptr ? *old : Pool{id, server.domain, server.kind, InstanceId{}, 0});
        }
        for (const FailureDomain &domain : next.domains) {
            const BucketOwner *old = findElement(state.configuration.bucketOwners, domain.id);
            insertOrReplace(next.bucketOwners, old != nullptr ? *old : BucketOwner{domain.id, InstanceId{}, 0});
        }
    }

    void mergeRest()
    {
        next.version = bundle.version;
        next.logIndex = state.appliedIndex;
        next.baseModels = bundle.baseModels;
        next.loadRate = bundle.loadRate;
        next.loadsInFlight = bundle.loadsInFlight;
        next.instances = state.configuration.instances;
        for (Route route : bundle.routes) {
            route.organisations = translated(route.organisations);
            next.routes.push_back(std::move(route));
        }
    }
};

} // namespace

CommandResult applyBundle(ControlState &state, const ApplyBundle &command)
{
    if (!command.configuration) {
        return failed(CommandOutcome::Invalid, "the bundle is empty");
    }
    const Version newVersion = command.configuration->version;
    const Version inForce = state.configuration.version;
    if (command.expectedVersion != inForce || newVersion <= inForce) {
        return conflict(state, newVersion);
    }
    BundleMerge merge{state, *command.configuration, {}, {}, {}};
    merge.mergeDomains();
    merge.mergeOrganisations();
    merge.mergeKeys();
    merge.mergeAdapters();
    merge.mergeServers();
    merge.mergePools();
    merge.mergeRest();
    Increment increment = difference(state.configuration, merge.next);
    state.configuration = std::move(merge.next);
    finishIncrement(state, std::move(increment));
    state.bundles.push_back({newVersion, state.appliedIndex, state.time, command.author, command.approver, command.hash});
    while (state.bundles.size() > state.limits.maximumBundles) {
        state.bundles.pop_front();
    }
    return accepted(newVersion);
}

} // namespace mimosahollow::control

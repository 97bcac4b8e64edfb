#include "commandsinternal.h"

#include "elementkeys.h"

#include <cmath>
#include <type_traits>

namespace mimosahollow::control {

CommandResult failed(CommandOutcome outcome, std::string message, std::uint64_t number)
{
    return {outcome, std::move(message), number, {}};
}

CommandResult accepted(std::uint64_t number)
{
    return {CommandOutcome::Accepted, {}, number, {}};
}

std::string adapterName(const Adapter &adapter)
{
    return adapter.baseModel + ":" + adapter.name + "@" + adapter.version;
}

AdapterId findOrAssignAdapterId(ControlState &state, const std::string &name)
{
    const auto [position, isNew] = state.adapterIds.try_emplace(name, AdapterId{});
    if (isNew) {
        position->second = static_cast<AdapterId>(++state.lastAdapterId);
    }
    return position->second;
}

bool isRegistered(const ControlState &state, InstanceId instance)
{
    const auto &list = state.configuration.instances;
    return std::any_of(list.begin(), list.end(), [instance](const Instance &element) {
        return element.id == instance;
    });
}

Increment startIncrement(const ControlState &state)
{
    Increment increment;
    increment.from = state.configuration.logIndex;
    increment.to = state.appliedIndex;
    increment.version = state.configuration.version;
    increment.loadRate = state.configuration.loadRate;
    increment.loadsInFlight = state.configuration.loadsInFlight;
    return increment;
}

void finishIncrement(ControlState &state, Increment increment)
{
    state.configuration.logIndex = state.appliedIndex;
    state.increments.push_back(std::move(increment));
    while (state.increments.size() > state.limits.maximumIncrements) {
        state.increments.pop_front();
    }
}

namespace {

template<typename Element>
Element *findByName(std::vector<Element> &list, const std::string &name)
{
    const auto found = std::find_if(list.begin(), list.end(), [&name](const Element &element) {
        return element.name == name;
    });
    return found == list.end() ? nullptr : &*found;
}

CommandResult notFound(const char *kind, const std::string &name)
{
    return failed(CommandOutcome::NotFound, std::string("there is no ") + kind + " \"" + name + "\"");
}

CommandResult grantKey(ControlState &state, const GrantKey &command)
{
    const Organisation *organisation = findByName(state.configuration.organisations, command.organisation);
    if (organisation == nullptr) {
        return notFound("organisation", command.organisation);
    }
    if (state.withdrawnKeys.contains(command.hash)) {
        return failed(CommandOutcome::Invalid, "the key was withdrawn");
    }
    auto &keys = state.configuration.keys;
    if (command.name.empty() || findByName(keys, command.name) != nullptr || findElement(keys, command.hash) != nullptr) {
        return failed(CommandOutcome::Invalid, "the name or the key is in use already");
    }
    const ApiKey key{command.name, command.hash, organisation->id};
    insertOrReplace(keys, key);
    state.grantedKeys.insert(key.hash);
    Increment increment = startIncrement(state);
    increment.keys.changed.push_back(key);
    finishIncrement(state, std::move(increment));
    return accepted();
}

CommandResult withdrawKey(ControlState &state, const WithdrawKey &command)
{
    Increment increment = startIncrement(state);
    for (const ApiKey &key : state.configuration.keys) {
        if (key.name == command.name) {
            increment.keys.removed.push_back(key.hash);
        }
    }
    if (increment.keys.removed.empty()) {
        return notFound("key", command.name);
    }
    for (const KeyHash &hash : increment.keys.removed) {
        removeElement(state.configuration.keys, hash);
        state.grantedKeys.erase(hash);
        state.withdrawnKeys.insert(hash);
    }
    finishIncrement(state, std::move(increment));
    return accepted();
}

void setOutOfService(std::set<std::string> &names, const std::string &name, bool outOfService)
{
    if (outOfService) {
        names.insert(name);
    } else {
        names.erase(name);
    }
}

CommandResult setDomainOut(ControlState &state, const SetDomainOut &command)
{
    FailureDomain *domain = findByName(state.configuration.domains, command.domain);
    if (domain == nullptr) {
        return notFound("failure domain", command.domain);
    }
    setOutOfService(state.domainsOutByOperator, command.domain, command.outOfService);
    domain->outOfService = command.outOfService || state.domainsOutByBundle.contains(command.domain);
    Increment increment = startIncrement(state);
    increment.domains.changed.push_back(*domain);
    finishIncrement(state, std::move(increment));
    return accepted();
}

CommandResult setServerOut(ControlState &state, const SetServerOut &command)
{
    BackendServer *server = findByName(state.configuration.servers, command.server);
    if (server == nullptr) {
        return notFound("backend server", command.server);
    }
    setOutOfService(state.serversOutByOperator, command.server, command.outOfService);
    server->outOfService = command.outOfService || state.serversOutByBundle.contains(command.server);
    Increment increment = startIncrement(state);
    increment.servers.changed.push_back(*server);
    finishIncrement(state, std::move(increment));
    return accepted();
}

/** Adds or replaces @p adapter in the configuration in force and adds the change to @p increment. */
void insertOrReplaceAdapter(ControlState &state, const Adapter &adapter, Increment &increment)
{
    auto &list = state.configuration.adapters;
    increment.adapters.changed.push_back(adapter);
    if (appendOrReplaceAdapter(list, adapter)) {
        return;
    }
    // An adapter that an earlier bundle removed keeps its old id, so it has to be inserted before the end of the list.
    ChunkedList<Adapter> next;
    bool inserted = false;
    for (const Adapter &other : list) {
        if (!inserted && adapter.id < other.id) {
            next.push_back(adapter);
            inserted = true;
        }
        next.push_back(other);
    }
    list = std::move(next);
}

CommandResult publishAdapter(ControlState &state, const PublishAdapter &command)
{
    const auto &models = state.configuration.baseModels;
    if (std::find(models.begin(), models.end(), command.baseModel) == models.end()) {
        return notFound("base model", command.baseModel);
    }
    if (command.name.empty() || command.version.empty() || (command.name + command.version).find_first_of(":@") != std::string::npos) {
        return failed(CommandOutcome::Invalid, "name and version must not be empty or contain ':' or '@'");
    }
    Adapter adapter{AdapterId{}, command.baseModel, command.name, command.version, command.isDefault, {}};
    for (const std::string &name : command.organisations) {
        const Organisation *organisation = findByName(state.configuration.organisations, name);
        if (organisation == nullptr) {
            return notFound("organisation", name);
        }
        adapter.organisations.push_back(organisation->id);
    }
    adapter.id = findOrAssignAdapterId(state, adapterName(adapter));
    Increment increment = startIncrement(state);
    if (adapter.isDefault) {
        std::vector<Adapter> previousDefaults;
        for (const Adapter &other : state.configuration.adapters) {
            if (other.isDefault && other.id != adapter.id && other.baseModel == adapter.baseModel && other.name == adapter.name) {
                previousDefaults.push_back(other);
            }
        }
        for (Adapter &other : previousDefaults) {
            other.isDefault = false;
            insertOrReplaceAdapter(state, other, increment);
        }
    }
    insertOrReplaceAdapter(state, adapter, increment);
    state.publishedAdapters.insert(adapter.id);
    finishIncrement(state, std::move(increment));
    return accepted(number(adapter.id));
}

CommandResult setRate(ControlState &state, const SetRate &command)
{
    Organisation *organisation = findByName(state.configuration.organisations, command.organisation);
    if (organisation == nullptr) {
        return notFound("organisation", command.organisation);
    }
    if (!std::isfinite(command.rate) || !std::isfinite(command.burst) || command.rate < 0 || command.burst < 0) {
        return failed(CommandOutcome::Invalid, "rate and burst must be numbers of at least 0");
    }
    organisation->rate = command.rate;
    organisation->burst = command.burst;
    Increment increment = startIncrement(state);
    increment.organisations.changed.push_back(*organisation);
    finishIncrement(state, std::move(increment));
    return accepted();
}

CommandResult registerInstance(ControlState &state, const RegisterInstance &command)
{
    const FailureDomain *domain = findByName(state.configuration.domains, command.domain);
    if (domain == nullptr) {
        return notFound("failure domain", command.domain);
    }
    Increment increment = startIncrement(state);
    if (const Instance *old = findByName(state.configuration.instances, command.name)) {
        if (old->incarnation == command.incarnation && old->address == command.address && old->domain == domain->id) {
            return accepted(number(old->id));
        }
        // A restarted process has no state of the calls and grants of its predecessor, so it gets a new id.
        increment.instances.removed.push_back(old->id);
        removeElement(state.configuration.instances, InstanceId(old->id));
    }
    const Instance instance{
        static_cast<InstanceId>(++state.lastInstanceId), command.name, domain->id, command.address, command.incarnation, state.appliedIndex};
    insertOrReplace(state.configuration.instances, instance);
    increment.instances.changed.push_back(instance);
    finishIncrement(state, std::move(increment));
    return accepted(number(instance.id));
}

CommandResult removeInstance(ControlState &state, const RemoveInstance &command)
{
    if (!isRegistered(state, command.instance)) {
        return failed(CommandOutcome::NotFound, "the instance is not registered");
    }
    removeElement(state.configuration.instances, command.instance);
    Increment increment = startIncrement(state);
    increment.instances.removed.push_back(command.instance);
    finishIncrement(state, std::move(increment));
    return accepted();
}

/** Shared by AssignPool and AssignBucketOwner. */
template<typename Assignment, typename Changes>
CommandResult assign(ControlState &state, Assignment *assignment, InstanceId owner, FencingNumber expected, Changes Increment::*changes)
{
    if (assignment == nullptr) {
        return failed(CommandOutcome::NotFound, "there is no such pool or failure domain");
    }
    if (owner != InstanceId{} && !isRegistered(state, owner)) {
        return failed(CommandOutcome::NotFound, "the instance is not registered");
    }
    if (assignment->fencing != expected) {
        return failed(CommandOutcome::VersionConflict, "the fencing number is another one", assignment->fencing);
    }
    assignment->owner = owner;
    // The log index serves as fencing number: it is unique, increases, and records when the assignment was made.
    state.lastFencingNumber = state.appliedIndex;
    assignment->fencing = state.lastFencingNumber;
    Increment increment = startIncrement(state);
    (increment.*changes).changed.push_back(*assignment);
    finishIncrement(state, std::move(increment));
    return accepted(state.lastFencingNumber);
}

CommandResult execute(ControlState &state, const Command &command)
{
    return std::visit(
        [&state, &command](const auto &body) -> CommandResult {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<Body, ApplyBundle>) {
                return applyBundle(state, body);
            } else if constexpr (std::is_same_v<Body, GrantKey>) {
                return grantKey(state, body);
            } else if constexpr (std::is_same_v<Body, WithdrawKey>) {
                return withdrawKey(state, body);
            } else if constexpr (std::is_same_v<Body, SetDomainOut>) {
                return setDomainOut(state, body);
            } else if constexpr (std::is_same_v<Body, SetServerOut>) {
                return setServerOut(state, body);
            } else if constexpr (std::is_same_v<Body, PublishAdapter>) {
                return publishAdapter(state, body);
            } else if constexpr (std::is_same_v<Body, SetRate>) {
                return setRate(state, body);
            } else if constexpr (std::is_same_v<Body, RegisterInstance>) {
                return registerInstance(state, body);
            } else if constexpr (std::is_same_v<Body, RemoveInstance>) {
                return removeInstance(state, body);
            } else if constexpr (std::is_same_v<Body, AssignPool>) {
                return assign(state, findElement(state.configuration.pools, body.pool), body.owner, body.expectedFencing, &Increment::pools);
            } else if constexpr (std::is_same_v<Body, AssignBucketOwner>) {
                return assign(state, findElement(state.configuration.bucketOwners, body.domain), body.owner, body.expectedFencing, &Increment::bucketOwners);
            } else if constexpr (std::is_same_v<Body, BeginCall>) {
                return beginCall(state, command.id, body);
            } else if constexpr (std::is_same_v<Body, CompleteCall>) {
                return completeCall(state, body);
            } else {
                return abandonCall(state, body);
            }
        },
        command.body);
}

template<typename... Bodies>
bool isOneOf(const CommandBody &body)
{
    return (std::holds_alternative<Bodies>(body) || ...);
}

/** Removes the oldest results beyond the limits on age and number. */
void expireResults(ControlState &state)
{
    while (!state.resultOrder.empty()) {
        const auto found = state.results.find(state.resultOrder.front());
        if (state.results.size() <= state.limits.maximumResults && state.time - found->second.time < state.limits.resultRetention) {
            return;
        }
        state.results.erase(found);
        state.resultOrder.pop_front();
    }
}

} // namespace

CommandResult apply(ControlState &state, LogIndex index, const Command &command)
{
    state.appliedIndex = index;
    state.time = std::max(state.time, command.time);
    expireCalls(state);
    expireResults(state);
    // Resent call commands are answered from the call record; storing their results too would duplicate it.
    if (isOneOf<BeginCall, CompleteCall, AbandonCall>(command.body)) {
        return execute(state, command);
    }
    const auto kind = static_cast<std::uint8_t>(command.body.index());
    if (const auto known = state.results.find(command.id); known != state.results.end()) {
        return known->second.kind == kind ? known->second.result : failed(CommandOutcome::IdReused, "the command id belongs to another command");
    }
    CommandResult result = execute(state, command);
    state.results.emplace(command.id, StoredResult{state.time, kind, result});
    state.resultOrder.push_back(command.id);
    if (!isOneOf<RegisterInstance, AssignPool, AssignBucketOwner>(command.body)) {
        const std::string outcome = result.outcome == CommandOutcome::Accepted ? "accepted" : "rejected: " + result.message;
        append(state.audit, {0, index, state.time, command.id, command.sender, describe(command.body), outcome, {}}, state.limits.maximumAuditRecords);
    }
    return result;
}

void skipEntry(ControlState &state, LogIndex index)
{
    state.appliedIndex = index;
}

} // namespace mimosahollow::control

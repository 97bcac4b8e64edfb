#include "mimosahollow/control/increment.h"

#include "elementkeys.h"

#include <algorithm>
#include <map>

namespace mimosahollow::control {

namespace {

/** Finds the changes in one pass; both lists must be sorted by key. */
template<typename List, typename Element, typename Key>
void findChanges(const List &before, const List &after, ElementChanges<Element, Key> &changes)
{
    auto old = before.begin();
    for (const Element &element : after) {
        while (old != before.end() && keyOf(*old) < keyOf(element)) {
            changes.removed.push_back(keyOf(*old));
            ++old;
        }
        if (old != before.end() && keyOf(*old) == keyOf(element)) {
            if (!(*old == element)) {
                changes.changed.push_back(element);
            }
            ++old;
        } else {
            changes.changed.push_back(element);
        }
    }
    for (; old != before.end(); ++old) {
        changes.removed.push_back(keyOf(*old));
    }
}

/** Adds the changes of @p second to @p first. */
template<typename Element, typename Key>
void composeChanges(ElementChanges<Element, Key> &first, const ElementChanges<Element, Key> &second)
{
    for (const Key &key : second.removed) {
        std::erase_if(first.changed, [&key](const Element &element) {
            return keyOf(element) == key;
        });
        if (std::find(first.removed.begin(), first.removed.end(), key) == first.removed.end()) {
            first.removed.push_back(key);
        }
    }
    for (const Element &element : second.changed) {
        std::erase(first.removed, keyOf(element));
        const auto found = std::find_if(first.changed.begin(), first.changed.end(), [&element](const Element &other) {
            return keyOf(other) == keyOf(element);
        });
        if (found != first.changed.end()) {
            *found = element;
        } else {
            first.changed.push_back(element);
        }
    }
}

template<typename Element, typename Key>
void applyChanges(std::vector<Element> &list, const ElementChanges<Element, Key> &changes)
{
    for (const Key &key : changes.removed) {
        removeElement(list, key);
    }
    for (const Element &element : changes.changed) {
        insertOrReplace(list, element);
    }
}

/** With more changes than this, rebuilding the whole list is cheaper than changing it in place. */
constexpr std::size_t maximumInPlaceChanges = 64;

void applyAdapterChanges(ChunkedList<Adapter> &list, const ElementChanges<Adapter, AdapterId> &changes)
{
    if (changes.empty()) {
        return;
    }
    if (changes.removed.empty() && changes.changed.size() <= maximumInPlaceChanges) {
        const bool applied = std::all_of(changes.changed.begin(), changes.changed.end(), [&list](const Adapter &adapter) {
            return appendOrReplaceAdapter(list, adapter);
        });
        if (applied) {
            return;
        }
    }
    std::map<AdapterId, const Adapter *> changed;
    for (const Adapter &adapter : changes.changed) {
        changed[adapter.id] = &adapter;
    }
    for (const AdapterId id : changes.removed) {
        changed[id] = nullptr;
    }
    ChunkedList<Adapter> next;
    auto change = changed.begin();
    const auto appendChange = [&next, &change] {
        if (change->second != nullptr) {
            next.push_back(*change->second);
        }
        ++change;
    };
    for (const Adapter &adapter : list) {
        while (change != changed.end() && change->first < adapter.id) {
            appendChange();
        }
        if (change != changed.end() && change->first == adapter.id) {
            appendChange();
        } else {
            next.push_back(adapter);
        }
    }
    while (change != changed.end()) {
        appendChange();
    }
    list = std::move(next);
}

} // namespace

Increment difference(const Configuration &before, const Configuration &after)
{
    Increment increment;
    increment.from = before.logIndex;
    increment.to = after.logIndex;
    increment.version = after.version;
    increment.loadRate = after.loadRate;
    increment.loadsInFlight = after.loadsInFlight;
    if (before.baseModels != after.baseModels) {
        increment.baseModels = after.baseModels;
    }
    if (before.routes != after.routes) {
        increment.routes = after.routes;
    }
    findChanges(before.domains, after.domains, increment.domains);
    findChanges(before.organisations, after.organisations, increment.organisations);
    findChanges(before.keys, after.keys, increment.keys);
    findChanges(before.adapters, after.adapters, increment.adapters);
    findChanges(before.servers, after.servers, increment.servers);
    findChanges(before.pools, after.pools, increment.pools);
    findChanges(before.bucketOwners, after.bucketOwners, increment.bucketOwners);
    findChanges(before.instances, after.instances, increment.instances);
    return increment;
}

Increment composeIncrements(Increment first, const Increment &second)
{
    first.to = second.to;
    first.version = second.version;
    first.loadRate = second.loadRate;
    first.loadsInFlight = second.loadsInFlight;
    if (second.baseModels) {
        first.baseModels = second.baseModels;
    }
    if (second.routes) {
        first.routes = second.routes;
    }
    composeChanges(first.domains, second.domains);
    composeChanges(first.organisations, second.organisations);
    composeChanges(first.keys, second.keys);
    composeChanges(first.adapters, second.adapters);
    composeChanges(first.servers, second.servers);
    composeChanges(first.pools, second.pools);
    composeChanges(first.bucketOwners, second.bucketOwners);
    composeChanges(first.instances, second.instances);
    return first;
}

std::variant<std::shared_ptr<const Configuration>, IncrementError> applyIncrement(const Configuration &before, const Increment &increment)
{
    if (before.logIndex != increment.from) {
        return IncrementError::BaseMismatch;
    }
    auto next = std::make_shared<Configuration>(before);
    next->logIndex = increment.to;
    next->version = increment.version;
    next->loadRate = increment.loadRate;
    next->loadsInFlight = increment.loadsInFlight;
    if (increment.baseModels) {
        next->baseModels = *increment.baseModels;
    }
    if (increment.routes) {
        next->routes = *increment.routes;
    }
    applyChanges(next->domains, increment.domains);
    applyChanges(next->organisations, increment.organisations);
    applyChanges(next->keys, increment.keys);
    applyAdapterChanges(next->adapters, increment.adapters);
    applyChanges(next->servers, increment.servers);
    applyChanges(next->pools, increment.pools);
    applyChanges(next->bucketOwners, increment.bucketOwners);
    applyChanges(next->instances, increment.instances);
    return std::shared_ptr<const Configuration>(std::move(next));
}

} // namespace mimosahollow::control

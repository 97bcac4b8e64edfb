#pragma once

#include "mimosahollow/control/configuration.h"

#include <algorithm>

// The lists of the configuration in force are sorted by these keys.
namespace mimosahollow::control {

inline DomainId keyOf(const FailureDomain &element)
{
    return element.id;
}
inline OrganisationId keyOf(const Organisation &element)
{
    return element.id;
}
inline KeyHash keyOf(const ApiKey &element)
{
    return element.hash;
}
inline AdapterId keyOf(const Adapter &element)
{
    return element.id;
}
inline ServerId keyOf(const BackendServer &element)
{
    return element.id;
}
inline PoolId keyOf(const Pool &element)
{
    return element.id;
}
inline DomainId keyOf(const BucketOwner &element)
{
    return element.domain;
}
inline InstanceId keyOf(const Instance &element)
{
    return element.id;
}

/** Position of the element with @p key, or the position at which to insert it. */
template<typename Element, typename Key>
auto findPosition(std::vector<Element> &list, const Key &key)
{
    return std::lower_bound(list.begin(), list.end(), key, [](const Element &element, const Key &wanted) {
        return keyOf(element) < wanted;
    });
}

/** Returns null when no element has @p key. */
template<typename Element, typename Key>
Element *findElement(std::vector<Element> &list, const Key &key)
{
    const auto position = findPosition(list, key);
    return position != list.end() && keyOf(*position) == key ? &*position : nullptr;
}

template<typename Element>
void insertOrReplace(std::vector<Element> &list, const Element &element)
{
    const auto position = findPosition(list, keyOf(element));
    if (position != list.end() && keyOf(*position) == keyOf(element)) {
        *position = element;
    } else {
        list.insert(position, element);
    }
}

template<typename Element, typename Key>
void removeElement(std::vector<Element> &list, const Key &key)
{
    const auto position = findPosition(list, key);
    if (position != list.end() && keyOf(*position) == key) {
        list.erase(position);
    }
}

/** Replaces or appends an adapter. Returns false, without a change, when it would have to be inserted before the end. */
inline bool appendOrReplaceAdapter(ChunkedList<Adapter> &list, const Adapter &adapter)
{
    if (list.empty() || list.back().id < adapter.id) {
        list.push_back(adapter);
        return true;
    }
    const auto position = std::lower_bound(list.begin(), list.end(), adapter.id, [](const Adapter &element, AdapterId id) {
        return element.id < id;
    });
    if (position->id != adapter.id) {
        return false;
    }
    list.mutableAt(static_cast<std::size_t>(position - list.begin())) = adapter;
    return true;
}

} // namespace mimosahollow::control

#pragma once

#include "mimosahollow/control/configuration.h"

#include <algorithm>

// The lists of a configuration in force are in the order of these keys.
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

template<typename Element, typename Key>
auto elementPlace(std::vector<Element> &list, const Key &key)
{
    return std::lower_bound(list.begin(), list.end(), key, [](const Element &element, const Key &wanted) {
        return keyOf(element) < wanted;
    });
}

/** Null when there is none. */
template<typename Element, typename Key>
Element *findElement(std::vector<Element> &list, const Key &key)
{
    const auto place = elementPlace(list, key);
    return place != list.end() && keyOf(*place) == key ? &*place : nullptr;
}

template<typename Element>
void putElement(std::vector<Element> &list, const Element &element)
{
    const auto place = elementPlace(list, keyOf(element));
    if (place != list.end() && keyOf(*place) == keyOf(element)) {
        *place = element;
    } else {
        list.insert(place, element);
    }
}

template<typename Element, typename Key>
void removeElement(std::vector<Element> &list, const Key &key)
{
    const auto place = elementPlace(list, key);
    if (place != list.end() && keyOf(*place) == key) {
        list.erase(place);
    }
}

/** Changes or appends an adapter. Returns false when its place is in the middle of the list. */
inline bool putAdapter(ChunkedList<Adapter> &list, const Adapter &adapter)
{
    if (list.empty() || list.back().id < adapter.id) {
        list.push_back(adapter);
        return true;
    }
    const auto place = std::lower_bound(list.begin(), list.end(), adapter.id, [](const Adapter &element, AdapterId id) {
        return element.id < id;
    });
    if (place->id != adapter.id) {
        return false;
    }
    list.writable(static_cast<std::size_t>(place - list.begin())) = adapter;
    return true;
}

} // namespace mimosahollow::control

#pragma once

#include <flatbuffers/flatbuffers.h>

#include <cstring>
#include <type_traits>

namespace mimosahollow::link {

/** Type of the elements of a FlatBuffers vector: structs are vectors of pointers to them. */
template<typename Element>
using WireElement = std::remove_const_t<std::remove_pointer_t<Element>>;

/**
 * Calls @p use with a copy of each number or struct of @p values, which may be null, until it returns false.
 *
 * The verifier checks the bounds of a vector but not the alignment of its elements, so they can't be read in place.
 * Returns whether all elements were used.
 */
template<typename Element, typename Use>
bool forEachElement(const flatbuffers::Vector<Element> *values, Use use)
{
    if (values == nullptr) {
        return true;
    }
    for (std::size_t i = 0; i < values->size(); ++i) {
        WireElement<Element> value;
        std::memcpy(&value, values->Data() + i * sizeof(value), sizeof(value));
        if (!use(value)) {
            return false;
        }
    }
    return true;
}

} // namespace mimosahollow::link

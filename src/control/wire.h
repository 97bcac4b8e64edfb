#pragma once

#include "mimosahollow/control/increment.h"
#include "mimosahollow/control/logentry.h"

#include "controltables.h"

#include <array>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Conversion between the structs of the control state and the FlatBuffers tables of schema/control.fbs.
namespace mimosahollow::control {

using Builder = flatbuffers::FlatBufferBuilder;
template<typename T>
using Offset = flatbuffers::Offset<T>;
template<typename T>
using WireVector = flatbuffers::Vector<T>;
template<typename T>
using WireTables = flatbuffers::Vector<flatbuffers::Offset<T>>;

/** Reads tables that passed the FlatBuffers verifier. Absent fields yield default values; invalid sizes, indexes and enumerators set @c failed. */
struct WireReader
{
    bool failed = false;

    [[nodiscard]] static std::string text(const flatbuffers::String *string)
    {
        return string != nullptr ? std::string(string->data(), string->size()) : std::string();
    }

    template<std::size_t Size>
    void bytes(const WireVector<std::uint8_t> *from, std::array<std::uint8_t, Size> &to)
    {
        if (from == nullptr || from->size() != Size) {
            failed = true;
            return;
        }
        std::copy(from->begin(), from->end(), to.begin());
    }

    template<typename Table, typename Function>
    static void forEach(const WireTables<Table> *list, Function function)
    {
        if (list != nullptr) {
            for (const Table *element : *list) {
                function(*element);
            }
        }
    }

    [[nodiscard]] static std::vector<std::string> texts(const WireTables<flatbuffers::String> *list)
    {
        std::vector<std::string> result;
        if (list != nullptr) {
            result.reserve(list->size());
            for (const flatbuffers::String *element : *list) {
                result.push_back(text(element));
            }
        }
        return result;
    }

    template<typename Id>
    [[nodiscard]] static std::vector<Id> ids(const WireVector<std::uint32_t> *list)
    {
        std::vector<Id> result;
        if (list != nullptr) {
            result.reserve(list->size());
            for (const std::uint32_t id : *list) {
                result.push_back(static_cast<Id>(id));
            }
        }
        return result;
    }

    /** Converts @p value to an enumerator; values above @p last set @c failed. */
    template<typename Enum>
    [[nodiscard]] Enum enumerator(std::uint8_t value, Enum last)
    {
        failed = failed || value > static_cast<std::uint8_t>(last);
        return failed ? Enum{} : static_cast<Enum>(value);
    }
};

template<std::size_t Size>
Offset<WireVector<std::uint8_t>> packBytes(Builder &builder, const std::array<std::uint8_t, Size> &bytes)
{
    return builder.CreateVector(bytes.data(), bytes.size());
}

template<typename Ids>
Offset<WireVector<std::uint32_t>> packIds(Builder &builder, const Ids &ids)
{
    std::vector<std::uint32_t> numbers;
    numbers.reserve(ids.size());
    for (const auto id : ids) {
        numbers.push_back(static_cast<std::uint32_t>(id));
    }
    return builder.CreateVector(numbers);
}

template<typename Texts>
Offset<WireTables<flatbuffers::String>> packTexts(Builder &builder, const Texts &texts)
{
    std::vector<Offset<flatbuffers::String>> offsets;
    offsets.reserve(texts.size());
    for (const std::string &text : texts) {
        offsets.push_back(builder.CreateString(text));
    }
    return builder.CreateVector(offsets);
}

/** Creates a vector of tables, calling @p pack for each element. */
template<typename Table, typename List, typename Function>
Offset<WireTables<Table>> packAll(Builder &builder, const List &list, Function pack)
{
    std::vector<Offset<Table>> offsets;
    offsets.reserve(list.size());
    for (const auto &element : list) {
        offsets.push_back(pack(element));
    }
    return builder.CreateVector(offsets);
}

[[nodiscard]] Offset<wire::Configuration> packConfiguration(Builder &builder, const Configuration &configuration);
[[nodiscard]] Configuration unpackConfiguration(WireReader &reader, const wire::Configuration &table);

[[nodiscard]] Offset<wire::Increment> packIncrement(Builder &builder, const Increment &increment);
[[nodiscard]] Increment unpackIncrement(WireReader &reader, const wire::Increment &table);

/**
 * Verifies @p bytes and returns their root table, or null when they are invalid.
 *
 * FlatBuffers requires aligned data: unaligned input is copied to @p copy, which must then outlive the table.
 */
template<typename Root>
const Root *verifiedRoot(std::span<const std::uint8_t> bytes, Bytes &copy, flatbuffers::uoffset_t maximumTables)
{
    constexpr std::size_t alignment = 8;
    constexpr std::size_t depth = 16; // the schema nests tables 5 levels deep
    if (reinterpret_cast<std::uintptr_t>(bytes.data()) % alignment != 0) {
        copy.assign(bytes.begin(), bytes.end());
        bytes = copy;
    }
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), depth, maximumTables);
    if (bytes.empty() || !verifier.VerifyBuffer<Root>(nullptr)) {
        return nullptr;
    }
    return flatbuffers::GetRoot<Root>(bytes.data());
}

} // namespace mimosahollow::control

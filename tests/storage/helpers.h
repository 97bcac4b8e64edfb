#pragma once

#include "mimosahollow/storage/logstore.h"

#include "support/memoryfilesystem.h"

#include <catch2/catch.hpp>

#include <string>

namespace mimosahollow::test {

using namespace control;
using namespace storage;

inline LogEntry entry(LogIndex index, Term term, const std::string &text = "payload")
{
    return {index, term, EntryKind::Command, std::make_shared<const Bytes>(text.begin(), text.end()), {}};
}

inline OpenedLog openLog(FileSystem &files, const LogStoreOptions &options = {})
{
    auto result = LogStore::open(files, "data", options);
    if (const auto *error = std::get_if<StorageError>(&result)) {
        FAIL("open: " << error->message);
    }
    return std::move(std::get<OpenedLog>(result));
}

inline std::optional<StorageError> openError(FileSystem &files)
{
    auto result = LogStore::open(files, "data");
    if (auto *error = std::get_if<StorageError>(&result)) {
        return std::move(*error);
    }
    return std::nullopt;
}

inline std::optional<StorageError> write(LogStore &store, std::vector<StorageWrite> orders)
{
    return store.write(orders);
}

inline std::vector<std::pair<LogIndex, Term>> places(const DurableLog &log)
{
    std::vector<std::pair<LogIndex, Term>> result;
    for (const LogEntry &element : log.entries) {
        result.emplace_back(element.index, element.term);
    }
    return result;
}

using Places = std::vector<std::pair<LogIndex, Term>>;

} // namespace mimosahollow::test

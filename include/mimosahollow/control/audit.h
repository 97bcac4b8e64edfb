#pragma once

#include "mimosahollow/control/command.h"

#include <deque>
#include <optional>

namespace mimosahollow::control {

/** One operator command in the audit log. */
struct AuditRecord
{
    std::uint64_t number = 0; /**< From 1, without gaps. */
    Version logIndex = 0;
    std::int64_t time = 0; /**< Milliseconds since 1970. */
    CommandId id;
    std::string sender;
    std::string action; /**< What was asked. */
    std::string result;
    Digest hash{}; /**< Over the hash of the record before and all other fields. */

    friend bool operator==(const AuditRecord &, const AuditRecord &) = default;
};

/** Newest part of the audit log and the hash that it continues from. */
struct AuditLog
{
    Digest precedingHash{}; /**< Hash of the last record that was dropped; zero at the beginning. */
    std::uint64_t droppedRecords = 0;
    std::deque<AuditRecord> records;
};

void append(AuditLog &log, AuditRecord record, std::size_t maximumRecords);

/** Number of the first record that does not continue the hash chain; nothing when all do. */
[[nodiscard]] std::optional<std::uint64_t> firstBrokenRecord(const AuditLog &log);

/** One line about @p body, without keys or their hashes. */
[[nodiscard]] std::string describe(const CommandBody &body);

} // namespace mimosahollow::control

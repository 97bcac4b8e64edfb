#pragma once

#include "mimosahollow/control/command.h"

#include <deque>
#include <optional>

namespace mimosahollow::control {

/** Audit log entry for one operator command. */
struct AuditRecord
{
    std::uint64_t number = 0; /**< Consecutive, starting at 1. */
    Version logIndex = 0;
    std::int64_t time = 0; /**< Log time at which the command was applied, milliseconds since 1970. */
    CommandId id;
    std::string sender;
    std::string action; /**< Description of the command, see describe(). */
    std::string result; /**< "accepted", or "rejected: " and the reason. */
    Digest hash{}; /**< Covers the hash of the previous record and all other fields of this one. */

    friend bool operator==(const AuditRecord &, const AuditRecord &) = default;
};

/** The newest audit records, and the hash of the last record before them. */
struct AuditLog
{
    Digest precedingHash{}; /**< Hash of the last dropped record; all zeros when none was dropped. */
    std::uint64_t droppedRecords = 0; /**< Records removed from the front because of the size limit. */
    std::deque<AuditRecord> records;
};

/** Sets the number and hash of @p record, appends it, and drops the oldest records beyond @p maximumRecords. */
void append(AuditLog &log, AuditRecord record, std::size_t maximumRecords);

/** Verifies the hash chain. Returns the number of the first record that breaks it, or nothing when the chain is intact. */
[[nodiscard]] std::optional<std::uint64_t> firstBrokenRecord(const AuditLog &log);

/** Describes @p body in one line for the audit log. Key hashes are left out. */
[[nodiscard]] std::string describe(const CommandBody &body);

} // namespace mimosahollow::control

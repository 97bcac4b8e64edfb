#include "mimosahollow/control/audit.h"

#include <sodium.h>

#include <type_traits>

namespace mimosahollow::control {

namespace {

void addNumber(crypto_generichash_state &hash, std::uint64_t number)
{
    std::array<std::uint8_t, sizeof(number)> bytes{};
    for (std::uint8_t &byte : bytes) {
        byte = static_cast<std::uint8_t>(number);
        number >>= 8;
    }
    crypto_generichash_update(&hash, bytes.data(), bytes.size());
}

/** Hashes the length before the text, so that moving characters between adjacent fields changes the hash. */
void addText(crypto_generichash_state &hash, std::string_view text)
{
    addNumber(hash, text.size());
    crypto_generichash_update(&hash, reinterpret_cast<const std::uint8_t *>(text.data()), text.size());
}

/** Hash of @p record, chained to the hash of the previous record, @p before. */
Digest recordHash(const Digest &before, const AuditRecord &record)
{
    crypto_generichash_state hash;
    crypto_generichash_init(&hash, nullptr, 0, before.size());
    crypto_generichash_update(&hash, before.data(), before.size());
    addNumber(hash, record.number);
    addNumber(hash, record.logIndex);
    addNumber(hash, static_cast<std::uint64_t>(record.time));
    addNumber(hash, record.id.high);
    addNumber(hash, record.id.low);
    addText(hash, record.sender);
    addText(hash, record.action);
    addText(hash, record.result);
    Digest result{};
    crypto_generichash_final(&hash, result.data(), result.size());
    return result;
}

std::string inOrOut(bool out)
{
    return out ? " out" : " in";
}

struct CommandDescriber
{
    std::string operator()(const ApplyBundle &command) const
    {
        const Version version = command.configuration ? command.configuration->version : 0;
        return "apply bundle " + std::to_string(version) + " over " + std::to_string(command.expectedVersion) + " by " + command.author + ", approved by "
               + command.approver;
    }
    std::string operator()(const GrantKey &command) const
    {
        return "grant key " + command.name + " to " + command.organisation;
    }
    std::string operator()(const WithdrawKey &command) const
    {
        return "withdraw key " + command.name;
    }
    std::string operator()(const SetDomainOut &command) const
    {
        return "failure domain " + command.domain + inOrOut(command.outOfService);
    }
    std::string operator()(const SetServerOut &command) const
    {
        return "backend server " + command.server + inOrOut(command.outOfService);
    }
    std::string operator()(const PublishAdapter &command) const
    {
        return "publish adapter " + command.baseModel + ":" + command.name + "@" + command.version;
    }
    std::string operator()(const SetRate &command) const
    {
        return "set rate of " + command.organisation + " to " + std::to_string(command.rate) + " tokens/s, burst " + std::to_string(command.burst);
    }
    std::string operator()(const RegisterInstance &command) const
    {
        return "register instance " + command.name + " in " + command.domain;
    }
    std::string operator()(const RemoveInstance &command) const
    {
        return "remove instance " + std::to_string(number(command.instance));
    }
    std::string operator()(const AssignPool &command) const
    {
        return "assign pool " + std::to_string(number(command.pool)) + " to instance " + std::to_string(number(command.owner));
    }
    std::string operator()(const AssignBucketOwner &command) const
    {
        return "assign buckets of failure domain " + std::to_string(number(command.domain)) + " to instance " + std::to_string(number(command.owner));
    }
    std::string operator()(const BeginCall &command) const
    {
        return "begin call on " + command.call.route;
    }
    std::string operator()(const CompleteCall &command) const
    {
        return "complete call on " + command.call.route;
    }
    std::string operator()(const AbandonCall &command) const
    {
        return "abandon call on " + command.call.route;
    }
};

} // namespace

void append(AuditLog &log, AuditRecord record, std::size_t maximumRecords)
{
    record.number = log.droppedRecords + log.records.size() + 1;
    record.hash = recordHash(log.records.empty() ? log.precedingHash : log.records.back().hash, record);
    log.records.push_back(std::move(record));
    while (log.records.size() > maximumRecords) {
        log.precedingHash = log.records.front().hash;
        ++log.droppedRecords;
        log.records.pop_front();
    }
}

std::optional<std::uint64_t> firstBrokenRecord(const AuditLog &log)
{
    Digest before = log.precedingHash;
    std::uint64_t number = log.droppedRecords;
    for (const AuditRecord &record : log.records) {
        ++number;
        if (record.number != number || record.hash != recordHash(before, record)) {
            return number;
        }
        before = record.hash;
    }
    return std::nullopt;
}

std::string describe(const CommandBody &body)
{
    return std::visit(CommandDescriber{}, body);
}

} // namespace mimosahollow::control

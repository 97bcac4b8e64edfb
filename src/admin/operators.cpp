#include "mimosahollow/admin/operators.h"

#include "mimosahollow/settings/keysecret.h"
#include "settings/tomlparser.h"

#include <sodium.h>

namespace mimosahollow::admin {

namespace {

std::string text(const toml::table &table, std::string_view key)
{
    return table[key].value_or(std::string());
}

bool addRole(OperatorRecord &record, std::string_view role)
{
    record.identity.author = record.identity.author || role == "author";
    record.identity.approver = record.identity.approver || role == "approver";
    record.reader = record.reader || role == "reader";
    return role == "author" || role == "approver" || role == "reader";
}

/** Reads one operator; returns what is wrong with it. */
std::string readOperator(const toml::table &table, OperatorRecord &record)
{
    record.identity.name = text(table, "name");
    if (record.identity.name.empty()) {
        return "name must be a non-empty string";
    }
    const auto keyHash = settings::hashFromHex(text(table, "key_hash"));
    const auto publicKey = settings::hashFromHex(text(table, "public_key"));
    if (!keyHash || !publicKey) {
        return "key_hash and public_key must be 64 hexadecimal digits";
    }
    record.keyHash = *keyHash;
    record.identity.key = *publicKey;
    const toml::array *roles = table["roles"].as_array();
    if (roles == nullptr || roles->empty()) {
        return "roles must list author, approver or reader";
    }
    for (const toml::node &role : *roles) {
        if (!addRole(record, role.value_or(std::string()))) {
            return "roles may only contain author, approver and reader";
        }
    }
    return {};
}

} // namespace

OperatorsResult parseOperators(std::string_view content)
{
    std::vector<OperatorRecord> operators;
    std::string problems;
    try {
        const toml::table root = toml::parse(content);
        const toml::array *list = root["operator"].as_array();
        if (list == nullptr) {
            return "must contain at least one [[operator]]";
        }
        for (const toml::node &element : *list) {
            OperatorRecord record;
            const toml::table *table = element.as_table();
            const std::string problem = table != nullptr ? readOperator(*table, record) : "must be a table";
            if (!problem.empty()) {
                problems += "line " + std::to_string(element.source().begin.line) + ": " + problem + "\n";
            }
            operators.push_back(std::move(record));
        }
    } catch (const toml::parse_error &error) {
        return "line " + std::to_string(error.source().begin.line) + ": " + std::string(error.description());
    } catch (const settings::TomlAssertion &) {
        return "is not valid TOML: a key is malformed";
    }
    if (!problems.empty()) {
        return problems;
    }
    return operators;
}

const OperatorRecord *findOperator(const std::vector<OperatorRecord> &operators, const KeyHash &keyHash) noexcept
{
    const OperatorRecord *found = nullptr;
    // All are compared, so that the time does not tell which one matched.
    for (const OperatorRecord &record : operators) {
        if (sodium_memcmp(record.keyHash.data(), keyHash.data(), keyHash.size()) == 0) {
            found = &record;
        }
    }
    return found;
}

} // namespace mimosahollow::admin

#pragma once

#include "mimosahollow/control/signedbundle.h"
#include "mimosahollow/core/keyhash.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mimosahollow::admin {

/** An operator as the operators file describes it. */
struct OperatorRecord
{
    control::Operator identity; /**< Name, signature key and the roles author and approver. */
    KeyHash keyHash{}; /**< Of the key that the operator shows to the admin API. */
    bool reader = false; /**< May look but change nothing. */
};

using OperatorsResult = std::variant<std::vector<OperatorRecord>, std::string>;

/** Parses the TOML text of an operators file; returns all problems as one message. */
[[nodiscard]] OperatorsResult parseOperators(std::string_view text);

/** The operator with this key, compared in constant time; null when there is none. */
[[nodiscard]] const OperatorRecord *findOperator(const std::vector<OperatorRecord> &operators, const KeyHash &keyHash) noexcept;

} // namespace mimosahollow::admin

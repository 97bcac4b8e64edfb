#pragma once

#include "mimosahollow/core/time.h"

#include <cstdint>

#include <string>
#include <string_view>

namespace mimosahollow::observability {

/** Builds a "key=value" line. Values with spaces, quotes or control characters are quoted and escaped. */
class DecisionLine
{
public:
    explicit DecisionLine(std::string_view decision);

    DecisionLine &add(std::string_view key, std::string_view value);
    DecisionLine &add(std::string_view key, std::uint64_t value);
    /** Whole milliseconds; 0 for a negative duration. */
    DecisionLine &add(std::string_view key, Duration value);

    [[nodiscard]] const std::string &text() const noexcept;

private:
    std::string m_text;
};

} // namespace mimosahollow::observability

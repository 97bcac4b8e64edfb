#include "mimosahollow/observability/decisionline.h"

#include <algorithm>

namespace mimosahollow::observability {

namespace {

bool needsQuotes(std::string_view value)
{
    if (value.empty()) {
        return true;
    }
    for (const char character : value) {
        if (character <= ' ' || character == '"' || character == '=' || character == '\\' || character == 0x7f) {
            return true;
        }
    }
    return false;
}

} // namespace

DecisionLine::DecisionLine(std::string_view decision)
{
    add("decision", decision);
}

DecisionLine &DecisionLine::add(std::string_view key, std::string_view value)
{
    if (!m_text.empty()) {
        m_text += ' ';
    }
    m_text.append(key);
    m_text += '=';
    if (!needsQuotes(value)) {
        m_text.append(value);
        return *this;
    }
    m_text += '"';
    for (const char character : value) {
        // Control characters could forge further log lines.
        if (static_cast<unsigned char>(character) < ' ' || character == 0x7f) {
            m_text += '?';
            continue;
        }
        if (character == '"' || character == '\\') {
            m_text += '\\';
        }
        m_text += character;
    }
    m_text += '"';
    return *this;
}

DecisionLine &DecisionLine::add(std::string_view key, std::uint64_t value)
{
    return add(key, std::to_string(value));
}

DecisionLine &DecisionLine::add(std::string_view key, Duration value)
{
    return add(key, static_cast<std::uint64_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(value).count())));
}

const std::string &DecisionLine::text() const noexcept
{
    return m_text;
}

} // namespace mimosahollow::observability

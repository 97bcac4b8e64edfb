#pragma once

namespace mimosahollow::httpio {

/** Kind of a response by its status line. */
enum class AnswerKind {
    Final,
    Interim, /**< 1xx: the answer follows. */
    Invalid, /**< No answer at all: the server is in trouble or out of step. */
};

/** Classifies the status line with @p status, and @p version as ten times the major plus the minor number. */
[[nodiscard]] constexpr AnswerKind answerKind(unsigned status, unsigned version) noexcept
{
    if (version / 10 != 1 || status < 100 || status > 599) {
        return AnswerKind::Invalid;
    }
    return status < 200 ? AnswerKind::Interim : AnswerKind::Final;
}

} // namespace mimosahollow::httpio

#pragma once

#include <rapidcheck.h>

#include <iostream>
#include <string>

namespace mimosahollow::tests {

/** Checks a property with a fixed seed, which is printed, so that every run gives the same verdict. */
template<typename Testable>
[[nodiscard]] bool holdsForSeed(const std::string &description, std::uint64_t seed, Testable &&testable)
{
    rc::detail::TestMetadata metadata;
    metadata.id = description;
    metadata.description = description;
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = 1000;
    std::cerr << description << ": seed " << seed << '\n';
    const auto result = rc::detail::checkTestable(std::forward<Testable>(testable), metadata, parameters);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
    return result.template is<rc::detail::SuccessResult>();
}

} // namespace mimosahollow::tests

#pragma once

#include "record.h"

#include <string>
#include <vector>

namespace mimosahollow::soak {

/** What one promise says of a run. */
struct Finding
{
    std::string clause;
    unsigned cases = 0; /**< That the promise counts. */
    unsigned allowed = 0;
    double worst = 0; /**< Largest value seen, in the unit of the clause. */
    std::vector<std::string> examples;

    [[nodiscard]] bool isBroken() const
    {
        return cases > allowed;
    }
};

/** Checks each promise by itself. */
[[nodiscard]] std::vector<Finding> check(const Record &record);

} // namespace mimosahollow::soak

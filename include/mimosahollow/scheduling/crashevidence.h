#pragma once

#include "mimosahollow/core/time.h"
#include "mimosahollow/quarantine/serverend.h"

#include <map>
#include <string>
#include <vector>

namespace mimosahollow::scheduling {

/**
 * What the owner of a pool knows of prompt parts under which servers end. The owners of all pools of a kind exchange it, so that they come to the
 * same verdicts and a new owner learns them. Ends and sound answers that others have reported are not passed on: their times would grow later with
 * each exchange.
 */
struct CrashEvidence
{
    struct End
    {
        quarantine::ServerEnd end;
        TimePoint at{};

        friend bool operator==(const End &, const End &) = default;
    };
    std::vector<End> ends; /**< Oldest first. */
    std::map<std::string, TimePoint> soundAnswers; /**< Newest sound answer by prompt part, for parts that ends name. */
    std::map<std::string, TimePoint> quarantinedSince; /**< By prompt part. */

    friend bool operator==(const CrashEvidence &, const CrashEvidence &) = default;
};

} // namespace mimosahollow::scheduling

#include "httpio/serverload.h"
#include "mimosahollow/serverpace/localpace.h"
#include "mimosahollow/serverpace/pacebounds.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace mimosahollow;

// Guards against crashes on the header of a broken or hostile backend server, and against figures that weigh more than they may.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto load = httpio::parseServerLoad(text);
    if (!load) {
        return 0;
    }
    const TimePoint now{seconds(100)};
    serverpace::LocalPace local;
    local.stated = *load;
    local.statedAt = now;
    const double factor = serverpace::statedFactor(local, now);
    const double queue = serverpace::statedQueue(local, now);
    const bool isBounded = factor >= serverpace::fastestPace && factor <= serverpace::slowestPace && queue >= 0 && queue <= 1;
    const std::string again = std::to_string(load->running) + "," + std::to_string(load->waiting) + "," + std::to_string(load->slots);
    if (!isBounded || load->slots == 0 || !httpio::parseServerLoad(again)) {
        std::abort();
    }
    return 0;
}

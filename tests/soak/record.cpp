#include "record.h"

#include <chrono>

namespace mimosahollow::soak {

double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

} // namespace mimosahollow::soak

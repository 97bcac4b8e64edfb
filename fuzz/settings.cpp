#include "mimosahollow/settings/settings.h"
#include "mimosahollow/settings/bundle.h"
#include "mimosahollow/settings/load.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

// Guards against crashes of the settings and bundle checks on arbitrary text.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    static_cast<void>(mimosahollow::settings::loadText(text));
    static_cast<void>(mimosahollow::settings::parseBundle(text));
    return 0;
}

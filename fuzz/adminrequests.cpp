#include "admin/adminrequests.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

// Guards against crashes of the admin API on arbitrary bodies, operators files and command ids.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace mimosahollow::admin;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    for (const std::string_view path : {"bundles", "keys/grant", "adapters", "rates", "domains"}) {
        static_cast<void>(parseAdminRequest(path, text, {}));
    }
    static_cast<void>(parseOperators(text));
    static_cast<void>(parseCommandId(text));
    return 0;
}

#include "gateway/backendmessages.h"
#include "gateway/eventstream.h"
#include "gateway/modelcall.h"
#include "gateway/servicepath.h"

#include <boost/json/parse.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace {

using namespace mimosahollow::gateway;

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

void checkModelCall(ModelEndpoint endpoint, std::string_view text)
{
    const auto parsed = parseModelCall(endpoint, text);
    if (const auto *call = std::get_if<ModelCall>(&parsed)) {
        boost::json::error_code error;
        boost::json::parse(upstreamBody(*call, "base", "adapter@1"), error);
        require(!error);
    }
}

void checkPath(std::string_view text)
{
    const auto path = normalisePath(text);
    if (path) {
        require(path->starts_with('/') && path->find("//") == std::string::npos && path->find("/../") == std::string::npos && !path->ends_with("/.."));
        require(normalisePath(*path) == path);
    }
}

/** Events must come out the same, however the bytes are cut into pieces. */
void checkEvents(std::string_view text)
{
    EventStream whole{"base", {}, 0, {}, false, false};
    std::string wholeOut;
    passEvents(whole, text, wholeOut);
    EventStream pieces{"base", {}, 0, {}, false, false};
    std::string piecesOut;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        passEvents(pieces, text.substr(at, 3), piecesOut);
    }
    require(wholeOut == piecesOut && whole.tokens == pieces.tokens && whole.ended == pieces.ended);
}

} // namespace

// Guards against crashes on arbitrary input of callers and backend servers, invalid JSON to a backend server, and paths with two readings.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    checkModelCall(ModelEndpoint::ChatCompletions, text);
    checkModelCall(ModelEndpoint::Completions, text);
    static_cast<void>(parseAnnouncement(text));
    static_cast<void>(parseReport(text));
    checkPath(text);
    checkEvents(text);
    return 0;
}

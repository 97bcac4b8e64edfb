#include "link/frame.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace mimosahollow::link;

// Guards against crashes and endless growth of the frame reader on arbitrary bytes in arbitrary pieces.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    FrameReader reader;
    if (size > 0 && data[0] % 2 == 0) {
        reader.setMaximumPayload(maximumHelloBytes);
    }
    std::size_t position = 0;
    while (position < size) {
        const auto space = reader.space();
        const std::size_t piece = std::min({space.size(), size - position, std::size_t{1} + data[position]});
        std::copy_n(data + position, piece, space.begin());
        reader.filled(piece);
        position += piece;
        FrameResult result = reader.next();
        while (const auto *frame = std::get_if<Frame>(&result)) {
            if (frame->payload.size() > maximumPayloadBytes) {
                std::abort();
            }
            result = reader.next();
        }
        if (std::holds_alternative<FrameError>(result)) {
            break;
        }
    }
    return 0;
}

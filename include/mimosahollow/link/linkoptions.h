#pragma once

#include "mimosahollow/core/time.h"
#include "mimosahollow/membership/instancerecord.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mimosahollow::link {

/** Files in PEM format. All empty: no TLS, which is allowed on loopback only. */
struct TlsFiles
{
    std::string certificate;
    std::string privateKey;
    std::string authority;
};

struct LinkOptions
{
    std::string fleet; /**< Peers of another fleet are refused. */
    membership::InstanceRecord self;
    std::vector<std::string> seeds; /**< Link addresses to connect to from the start. */
    TlsFiles tls;
    std::uint64_t seed = 0; /**< For the jitter of reconnects. */
    std::size_t sendQueueFrames = 4096; /**< For each peer. */
    std::size_t sendQueueBytes = std::size_t{16} << 20; /**< For each peer: four frames of the largest size. */
    std::size_t maximumConnections = 1024; /**< Three times the expected size of 340 instances. */
    Duration handshakeTimeout = seconds(5);
    Duration reconnectDelay = milliseconds(100); /**< First delay; doubles up to the maximum, with jitter of half to one and a half. */
    Duration maximumReconnectDelay = seconds(2);
};

} // namespace mimosahollow::link

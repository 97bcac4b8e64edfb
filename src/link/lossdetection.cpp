#include "lossdetection.h"

#include "mimosahollow/observability/log.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>

namespace mimosahollow::link {

namespace {

void setOption(int socket, int level, int name, int value)
{
    if (::setsockopt(socket, level, name, &value, sizeof value) != 0) {
        observability::logWarning("socket option " + std::to_string(name) + " was refused: " + std::strerror(errno));
    }
}

} // namespace

void detectLoss(boost::asio::ip::tcp::socket &socket, Duration timeout)
{
    const int handle = socket.native_handle();
    const auto total = static_cast<int>(std::chrono::duration_cast<milliseconds>(timeout).count());
    // Keep-alive probes count whole seconds; the user timeout, which covers them too, is finer.
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, std::max(1, total / 1000));
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, total);
}

} // namespace mimosahollow::link

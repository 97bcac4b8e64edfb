#include "waitforsignal.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace mimosahollow::app {

void waitForSignal()
{
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([](const boost::system::error_code &, int) {});
    context.run();
}

} // namespace mimosahollow::app

#include "fleetlink/linkhub.h"

#include "support/rawsocket.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::fleetlink;

namespace asio = boost::asio;

namespace {

LinkHubEvents ignoredEvents()
{
    return {[](const Peer &) {}, [](const Peer &) {}, [](const Peer &, const LinkMessage &) {}, [](const Peer &, std::span<const std::uint8_t>) {}};
}

/** A hub that listens on @p address and keeps a connection to @p peer. */
std::unique_ptr<LinkHub> startHub(asio::io_context &context, const std::string &address, const std::string &peer)
{
    LinkHubOptions options;
    options.self = {address, address, "domain", control::VoterId{}};
    options.listenAddress = address;
    options.redialDelay = options.maximumRedialDelay = milliseconds(1);
    auto hub = std::make_unique<LinkHub>(context, options, ignoredEvents());
    REQUIRE(hub->start().empty());
    hub->dial(peer);
    return hub;
}

} // namespace

// Guards against handlers of a hub that touch it after its end: a coordinator that stopped while it opened a connection read freed memory. The address
// and thread sanitizers report each access.
TEST_CASE("A link hub ends at any step of its connections")
{
    asio::io_context context{1};
    SECTION("while it opens a connection")
    {
        startHub(context, tests::freeAddress(), tests::freeAddress()).reset();
        context.run();
    }
    SECTION("after some handlers of connections that open, are refused and are tried again")
    {
        const std::string left = tests::freeAddress();
        const std::string right = tests::freeAddress();
        for (int handlers = 0; handlers < 40; ++handlers) {
            auto first = startHub(context, left, right);
            for (int handled = 0; handled < handlers % 10; ++handled) {
                context.run_one_for(milliseconds(1));
            }
            auto second = startHub(context, right, left);
            for (int handled = 0; handled < handlers; ++handled) {
                context.run_one_for(milliseconds(1));
            }
            first.reset();
            for (int handled = 0; handled < 10; ++handled) {
                context.run_one_for(milliseconds(1));
            }
            second.reset();
            context.run();
            context.restart();
        }
    }
}

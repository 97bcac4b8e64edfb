#include "mimosahollow/link/linknetwork.h"

#include "engine.h"

namespace mimosahollow::link {

LinkNetwork::LinkNetwork(LinkOptions options, BoundedRing<LinkEvent> &events) : m_engine(std::make_unique<Engine>(std::move(options), events))
{
}

LinkNetwork::~LinkNetwork() = default;

std::string LinkNetwork::start()
{
    return m_engine->start();
}

void LinkNetwork::stop()
{
    m_engine->stop();
}

bool LinkNetwork::send(std::string_view peer, MessageKind kind, std::vector<std::uint8_t> payload)
{
    return m_engine->send(peer, kind, std::move(payload));
}

void LinkNetwork::connect(const std::string &address)
{
    m_engine->connect(address);
}

void LinkNetwork::forget(const std::string &address)
{
    m_engine->forget(address);
}

std::string LinkNetwork::reloadTls()
{
    return m_engine->reloadTls();
}

std::uint16_t LinkNetwork::port() const noexcept
{
    return m_engine->port();
}

} // namespace mimosahollow::link

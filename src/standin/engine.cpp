#include "mimosahollow/standin/engine.h"

#include "engineserver.h"

namespace mimosahollow::standin {

Engine::Engine(EngineOptions options) : m_server(std::make_unique<EngineServer>(std::move(options)))
{
}

Engine::~Engine() = default;

void Engine::start()
{
    m_server->start();
}

void Engine::stop()
{
    m_server->stop();
}

std::vector<EngineCall> Engine::calls() const
{
    return m_server->calls();
}

void Engine::setFaults(const EngineFaults &faults)
{
    m_server->setFaults(faults);
}

void Engine::restart()
{
    m_server->restart();
}

} // namespace mimosahollow::standin

#pragma once

#include "mimosahollow/standin/engineoptions.h"

#include <memory>

namespace mimosahollow::standin {

class EngineServer;

/** A backend server for trials and tests: speaks the engines' protocol and generates filler text. Runs on its own thread. */
class Engine
{
public:
    explicit Engine(EngineOptions options);
    ~Engine();
    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

    /** Opens the listener and starts announcing. Throws std::runtime_error when the address cannot be used. */
    void start();
    void stop();

private:
    std::unique_ptr<EngineServer> m_server;
};

} // namespace mimosahollow::standin

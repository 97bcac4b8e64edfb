#pragma once

#include "mimosahollow/standin/enginecall.h"
#include "mimosahollow/standin/engineoptions.h"

#include <memory>
#include <vector>

namespace mimosahollow::standin {

class EngineServer;

/**
 * A backend server for trials and tests: speaks the engines' protocol and generates filler text. Runs on its own thread.
 *
 * For tests in other processes, GET /standin/calls lists the calls that it received with their headers and bodies,
 * POST /standin/faults sets faults, and POST /standin/restart makes it empty with a new incarnation.
 */
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

    // May be called on any thread while the engine runs.

    /** The last 10,000 calls, oldest first. */
    [[nodiscard]] std::vector<EngineCall> calls() const;
    void setFaults(const EngineFaults &faults);
    /** Closes all connections, forgets the adapters and takes a new incarnation, as a restarted process does. */
    void restart();

private:
    std::unique_ptr<EngineServer> m_server;
};

} // namespace mimosahollow::standin

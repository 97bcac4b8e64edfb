#pragma once

#include "rawsocket.h"

#include <csignal>
#include <spawn.h>
#include <sys/wait.h>

#include <optional>
#include <vector>

extern char **environ;

namespace mimosahollow::tests {

/** The real binary as a child process. Ends it by its id. */
class Process
{
public:
    /** @p blockedSignals stay pending in the child until it unblocks them. */
    explicit Process(std::vector<std::string> arguments, std::initializer_list<int> blockedSignals = {})
    {
        arguments.insert(arguments.begin(), MIMOSAHOLLOW_BINARY);
        std::vector<char *> pointers;
        for (std::string &argument : arguments) {
            pointers.push_back(argument.data());
        }
        pointers.push_back(nullptr);
        posix_spawnattr_t attributes;
        ::posix_spawnattr_init(&attributes);
        sigset_t blocked;
        sigemptyset(&blocked);
        for (const int number : blockedSignals) {
            sigaddset(&blocked, number);
        }
        ::posix_spawnattr_setsigmask(&attributes, &blocked);
        ::posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
        const int problem = ::posix_spawn(&m_id, MIMOSAHOLLOW_BINARY, nullptr, &attributes, pointers.data(), environ);
        ::posix_spawnattr_destroy(&attributes);
        if (problem != 0) {
            throw std::runtime_error("cannot start " MIMOSAHOLLOW_BINARY);
        }
    }
    ~Process()
    {
        if (m_id > 0) {
            end();
        }
        if (m_id > 0) {
            ::kill(m_id, SIGKILL);
            ::waitpid(m_id, nullptr, 0);
        }
    }
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    [[nodiscard]] pid_t id() const
    {
        return m_id;
    }

    void signal(int number) const
    {
        // Id 0 would address the whole process group of the test.
        if (m_id > 0) {
            ::kill(m_id, number);
        }
    }

    /** Waits for its exit code. Empty when it does not end in time or was ended by a signal. */
    std::optional<int> awaitExit()
    {
        int status = 0;
        const bool ended = waitFor([&] {
            return ::waitpid(m_id, &status, WNOHANG) == m_id;
        });
        if (!ended) {
            return std::nullopt;
        }
        m_id = 0;
        return WIFEXITED(status) ? std::optional(WEXITSTATUS(status)) : std::nullopt;
    }

    /** Asks it to stop and waits for its exit code. */
    std::optional<int> end()
    {
        signal(SIGTERM);
        return awaitExit();
    }

private:
    pid_t m_id = 0;
};

/** Waits until something listens on @p address. */
[[nodiscard]] inline bool awaitListener(const std::string &address)
{
    return waitFor([&] {
        return RawSocket(address).connected();
    });
}

} // namespace mimosahollow::tests

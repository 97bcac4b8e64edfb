#pragma once

#include "httpio/httplistener.h"
#include "support/httpclient.h"
#include "support/process.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <filesystem>
#include <fstream>
#include <optional>
#include <thread>

namespace mimosahollow::tests {

/** One coordinator and one entry instance as processes, and a backend server on a thread of the test. Routes /rest/ of host "test". */
class EntryFleet
{
public:
    static constexpr unsigned memoryMegabytes = 64;
    static constexpr unsigned descriptors = 260;

    EntryFleet() : m_backend(m_context, {m_backendAddress}, answer)
    {
        std::filesystem::create_directories(m_folder / "data");
        if (const std::string problem = m_backend.start(); !problem.empty()) {
            throw std::runtime_error(problem);
        }
        m_thread.thread = std::thread([this] {
            m_context.run();
        });
        const std::string port = m_linkAddress.substr(m_linkAddress.rfind(':') + 1);
        const std::string common = "ip = \"127.0.0.1\"\nzone = \"a\"\nheartbeat-ms = 60000\nbootstrap = true\nport-range = [" + port + "," + port
                                   + "]\nseeds = [\"" + controlAddress + "\"]\n";
        const std::string limits = "[limits]\nmemory-mb = " + std::to_string(memoryMegabytes) + "\nmax-fds = " + std::to_string(descriptors) + "\n";
        const std::string zones = "[zones]\na = \"r\"\n[listen]\n";
        coordinator.emplace(arguments(
            "coordinator", common + "data-dir = \"" + (m_folder / "data").string() + "\"\n" + limits + zones + "control = \"" + controlAddress + "\"\n"));
        entry.emplace(arguments("entry", common + limits + zones + "front = \"" + callerAddress + "\"\nready = \"" + readinessAddress + "\"\n"));
        if (!waitFor([this] {
                return HttpClient(controlAddress).call(request("PUT", "/mimosahollow/config", configuration)).status == 200;
            })) {
            throw std::runtime_error("the configuration was not taken");
        }
        if (!waitFor([this] {
                return HttpClient(controlAddress).call(request("PUT", "/mimosahollow/instances/i1", announcement())).status == 200 && isServing();
            })) {
            throw std::runtime_error("the entry instance does not serve");
        }
    }
    ~EntryFleet()
    {
        entry.reset();
        coordinator.reset();
        std::filesystem::remove_all(m_folder);
    }
    EntryFleet(const EntryFleet &) = delete;
    EntryFleet &operator=(const EntryFleet &) = delete;

    /** Whether one ordinary call on a connection of its own is answered. */
    [[nodiscard]] bool isServing() const
    {
        return HttpClient(callerAddress).call(request("POST", "/rest/x", "body")).status == 200;
    }

    const std::string controlAddress = freeAddress();
    const std::string callerAddress = freeAddress();
    const std::string readinessAddress = freeAddress();
    std::optional<Process> coordinator;
    std::optional<Process> entry;

private:
    static constexpr const char *configuration =
        R"({"version":1,"routes":[{"name":"rest","host":"test","path-prefix":"/rest/","route-type":"idempotent","timeout-ms":5000,"target-latency-ms":600,"priority":0,"service":"rest","max-attempts":2,"public":true}],"services":[{"name":"rest","health-path":"/health","max-connections":200,"protocol":"h1","tls":false,"cold-start-s":0,"cold-per-s":0}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]})";

    static boost::asio::awaitable<httpio::HttpReply> answer(httpio::HttpCall call)
    {
        co_return httpio::HttpReply{200, std::to_string(call.body.size()), "text/plain", {{"Response-Signature", "s"}, {"Instance-Id", "i1"}}};
    }

    [[nodiscard]] std::string announcement()
    {
        return R"({"service":"rest","address":")" + m_backendAddress
               + R"(","zone":"a","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"born":1,"sequence":)" + std::to_string(++m_announcements)
               + "}";
    }

    [[nodiscard]] std::vector<std::string> arguments(const std::string &role, const std::string &settings) const
    {
        const auto file = m_folder / (role + ".toml");
        std::ofstream(file) << "node-name = \"" << role << "-1\"\n" << settings;
        return {role, "--settings", file.string()};
    }

    const std::filesystem::path m_folder = std::filesystem::temp_directory_path() / ("mimosahollow-hostile-" + std::to_string(::getpid()));
    const std::string m_linkAddress = freeAddress();
    const std::string m_backendAddress = freeAddress();
    unsigned m_announcements = 0;
    boost::asio::io_context m_context{1};
    httpio::HttpListener m_backend;
    /** Ends with the fleet, also when its constructor throws. */
    struct BackendThread
    {
        boost::asio::io_context &context;
        std::thread thread;
        ~BackendThread()
        {
            context.stop();
            if (thread.joinable()) {
                thread.join();
            }
        }
    };
    BackendThread m_thread{m_context, {}};
};

} // namespace mimosahollow::tests

#include "support/httpclient.h"
#include "support/process.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>

#include <filesystem>
#include <fstream>

using namespace mimosahollow;
using namespace mimosahollow::tests;

namespace {

constexpr std::size_t idleConnections = 10'000;
// An idle connection holds a buffer of 1 KiB, its coroutine frames and its entries in the event loop.
constexpr std::size_t memoryBoundKilobytes = 10 * idleConnections;

std::size_t residentKilobytes(pid_t id)
{
    std::ifstream status("/proc/" + std::to_string(id) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoul(line.substr(6));
        }
    }
    return 0;
}

} // namespace

// Guards against an instance that idle callers exhaust: descriptors, memory or its answers to others.
TEST_CASE("Ten thousand callers are connected and idle")
{
    rlimit limit{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
    limit.rlim_cur = limit.rlim_max;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
    REQUIRE(limit.rlim_cur > idleConnections + 100);

    const std::string address = freeAddress();
    const auto file = std::filesystem::temp_directory_path() / ("mimosahollow-idle-" + std::to_string(::getpid()) + ".toml");
    std::ofstream(file) << "[instance]\nname = \"a1\"\nfailure_domain = \"a\"\n[listen]\ncallers = \"" << address << "\"\n[log]\nlevel = \"ERROR\"\n";
    Process process({"serve", "--settings", file.string()});
    REQUIRE(awaitListener(address));
    const std::size_t before = residentKilobytes(process.id());

    std::vector<RawSocket> sockets;
    sockets.reserve(idleConnections);
    for (std::size_t i = 0; i < idleConnections; ++i) {
        sockets.emplace_back(address);
        REQUIRE(sockets.back().connected());
    }
    HttpClient client(address);
    REQUIRE(client.call(request("GET", "/healthz")).status == 200);
    REQUIRE(waitFor([&] {
        return client.call(request("GET", "/metrics")).body().find("mimosahollow_connections 10001\n") != std::string::npos;
    }));
    // The first and the last of them still work.
    REQUIRE(sockets.front().send(request("GET", "/healthz")));
    std::string answer;
    REQUIRE(sockets.front().receive(answer) == RawSocket::Read::Data);
    REQUIRE(answer.starts_with("HTTP/1.1 200"));
    const std::size_t used = residentKilobytes(process.id());
    INFO("resident before " << before << " KiB, with the connections " << used << " KiB");
    REQUIRE(used > before);
#ifndef __SANITIZE_THREAD__ // its shadow memory is several times the memory of the process
    REQUIRE(used - before < memoryBoundKilobytes);
#endif
    REQUIRE(process.end() == 0);
    std::filesystem::remove(file);
}

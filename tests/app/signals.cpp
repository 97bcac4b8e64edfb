#include "support/process.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

namespace mimosahollow::tests {

// Guards against a soak run in which a reload just after the start ended an entry instance by SIGHUP.
TEST_CASE("Signals that arrive during the start of a process are handled after it")
{
    const auto folder = std::filesystem::temp_directory_path() / ("mimosahollow-signals-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    const std::string address = freeAddress();
    const std::string linkAddress = freeAddress();
    const std::string linkPort = linkAddress.substr(linkAddress.rfind(':') + 1);
    const auto file = folder / "coordinator.toml";
    std::ofstream(file) << "node-name = \"coordinator-1\"\nip = \"127.0.0.1\"\nzone = \"a\"\nheartbeat-ms = 60000\nbootstrap = true\nport-range = [" << linkPort
                        << "," << linkPort << "]\nseeds = [\"" << address << "\"]\ndata-dir = \"" << (folder / "data").string()
                        << "\"\n[zones]\na = \"r\"\n[listen]\ncontrol = \"" << address << "\"\n";
    Process process({"coordinator", "--settings", file.string()}, {SIGHUP, SIGTERM});

    SECTION("a reload")
    {
        process.signal(SIGHUP);
        CHECK(awaitListener(address));
        CHECK(process.end() == 0);
    }
    SECTION("a stop")
    {
        process.signal(SIGTERM);
        CHECK(process.awaitExit() == 0);
    }
    std::filesystem::remove_all(folder);
}

} // namespace mimosahollow::tests

#include "crowd.h"
#include "entryfleet.h"

#include <catch2/catch.hpp>

using namespace mimosahollow::tests;

namespace {

constexpr std::size_t callers = 20;
// An idle process uses less than 20 MB.
constexpr std::size_t kilobytes = 64 * 1024;

/** An instance of `serve` with an admin listener and no backend servers. */
class ServeProcess
{
public:
    ServeProcess()
    {
        std::filesystem::create_directories(m_folder);
        const std::string digits(64, '1');
        std::ofstream(m_folder / "operators.toml") << "[[operator]]\nname = \"o\"\nkey_hash = \"" << digits << "\"\npublic_key = \"" << digits
                                                   << "\"\nroles = [\"reader\"]\n";
        std::ofstream(m_folder / "secret") << digits << '\n';
        std::ofstream(m_folder / "serve.toml") << "[instance]\nname = \"a1\"\nfailure_domain = \"a\"\n[fleet]\nkey_secret_file = \""
                                               << (m_folder / "secret").string() << "\"\n[listen]\ncallers = \"" << callerAddress << "\"\nadmin = \""
                                               << adminAddress << "\"\n[admin]\noperators_file = \"" << (m_folder / "operators.toml").string()
                                               << "\"\n[log]\nlevel = \"ERROR\"\n";
        process.emplace(std::vector<std::string>{"serve", "--settings", (m_folder / "serve.toml").string()});
        REQUIRE(awaitListener(callerAddress));
        REQUIRE(awaitListener(adminAddress));
    }
    ~ServeProcess()
    {
        process.reset();
        std::filesystem::remove_all(m_folder);
    }
    ServeProcess(const ServeProcess &) = delete;
    ServeProcess &operator=(const ServeProcess &) = delete;

    const std::string callerAddress = freeAddress();
    const std::string adminAddress = freeAddress();
    std::optional<Process> process;

private:
    const std::filesystem::path m_folder = std::filesystem::temp_directory_path() / ("mimosahollow-serve-" + std::to_string(::getpid()));
};

/** Sends @p input to @p address of a process, and checks that it stays small and still answers GET @p path. */
void checkSurvival(const Process &process, const std::string &address, const HostileInput &input, const std::string &path)
{
    Crowd crowd(address, callers);
    crowd.send(input.opening, input.repeated, input.bytesEach);
    CHECK(waitFor([&] {
        return HttpClient(address).call(request("GET", path)).status == 200;
    }));
    INFO("peak " << peakKilobytes(process.id()) << " KiB");
    CHECK(staysBelow(process.id(), kilobytes));
}

} // namespace

// Guards against an instance of `serve` that callers bring down by sending without end.
TEST_CASE("An instance of serve survives callers that send without end")
{
    const HostileInput input = GENERATE(from_range(hostileInputs("/rest/x", 1U << 20U)));
    DYNAMIC_SECTION(input.name)
    {
        ServeProcess serve;
        checkSurvival(*serve.process, serve.callerAddress, input, "/healthz");
        CHECK(serve.process->end() == 0);
    }
}

// Guards against an instance of `serve` that anybody who reaches its admin listener brings down, without a key.
TEST_CASE("The admin listener survives callers that send without end")
{
    const HostileInput input = GENERATE(from_range(hostileInputs("/admin/v1/bundles/check", 16U << 20U)));
    DYNAMIC_SECTION(input.name)
    {
        ServeProcess serve;
        checkSurvival(*serve.process, serve.adminAddress, input, "/");
        CHECK(HttpClient(serve.callerAddress).call(request("GET", "/healthz")).status == 200);
    }
}

// Guards against coordinators that callers of their control listener bring down; it is an HttpListener, as those for readiness and metrics.
TEST_CASE("A coordinator survives callers that send without end")
{
    const HostileInput input = GENERATE(from_range(hostileInputs("/mimosahollow/config", 8U << 20U)));
    DYNAMIC_SECTION(input.name)
    {
        EntryFleet fleet;
        checkSurvival(*fleet.coordinator, fleet.controlAddress, input, "/mimosahollow/config");
    }
}

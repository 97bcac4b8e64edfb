#include "coordinator/coordinator.h"
#include "ingress/entry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <map>
#include <optional>
#include <unistd.h>

using namespace mimosahollow;
using namespace mimosahollow::coordinator;

namespace asio = boost::asio;

namespace {

constexpr unsigned linkPort = 42'180;

std::variant<catalog::Catalog, catalog::CatalogProblem> decodeText(std::string_view text)
{
    catalog::Catalog catalog;
    catalog.version = text.size();
    return catalog;
}

/** Coordinators on loopback addresses and one event loop, each with its own data folder. */
struct Fleet
{
    Fleet() : folder(std::filesystem::temp_directory_path() / ("mimosahollow-coordinators-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
    }
    ~Fleet()
    {
        coordinators.clear();
        std::filesystem::remove_all(folder);
    }
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** Test processes run in parallel, so the loopback addresses contain the process id. */
    static std::string address(unsigned number)
    {
        const auto process = static_cast<unsigned>(::getpid());
        return "127." + std::to_string(process / 256 % 256) + "." + std::to_string(process % 256) + "." + std::to_string(number) + ":"
               + std::to_string(linkPort);
    }

    void start(unsigned number, bool bootstraps)
    {
        start(number, bootstraps, {1, 2, 3});
    }

    void start(unsigned number, bool bootstraps, const std::vector<unsigned> &seeds)
    {
        CoordinatorSettings settings;
        settings.name = "core-" + std::to_string(number);
        settings.domain = "domain-" + std::to_string(number);
        settings.linkAddress = address(number);
        for (const unsigned seed : seeds) {
            settings.seeds.push_back(address(seed));
        }
        settings.bootstrapsFleet = bootstraps;
        settings.dataFolder = (folder / settings.name).string();
        EngineOperations engines;
        engines.order = [](const placement::ModelOrder &, const std::function<void(placement::OrderOutcome)> &answered) {
            answered(placement::OrderOutcome::Rejected);
        };
        engines.report = [](const std::string &, const std::string &, const std::function<void(std::optional<placement::ModelReport>)> &answered) {
            answered(std::nullopt);
        };
        auto made = std::make_unique<Coordinator>(context, settings, decodeText, engines);
        REQUIRE(made->start().empty());
        coordinators[number] = std::move(made);
    }

    void stop(unsigned number, bool loseDisk)
    {
        coordinators.erase(number);
        if (loseDisk) {
            std::filesystem::remove_all(folder / ("core-" + std::to_string(number)));
        }
    }

    /** Runs the event loop until @p isDone returns true; returns false after @p limit. */
    template<typename Condition>
    bool runUntil(Condition isDone, Duration limit = seconds(20))
    {
        const TimePoint end = std::chrono::steady_clock::now() + limit;
        while (!isDone()) {
            if (std::chrono::steady_clock::now() >= end) {
                return false;
            }
            context.run_one_for(milliseconds(20));
        }
        return true;
    }

    /** Sends a change to all coordinators and repeats it, as an operator would, until one of them has committed it. */
    bool commit(const fleetstate::FleetCommand &command)
    {
        bool isCommitted = false;
        unsigned inFlight = 0;
        TimePoint next{};
        return runUntil([&] {
            const TimePoint now = std::chrono::steady_clock::now();
            if (!isCommitted && inFlight == 0 && now >= next) {
                next = now + milliseconds(100);
                for (auto &[number, coordinator] : coordinators) {
                    ++inFlight;
                    asio::co_spawn(
                        context,
                        [&isCommitted, &inFlight, target = coordinator.get(), command]() -> asio::awaitable<void> {
                            const ChangeResult result = co_await target->change(command);
                            isCommitted = isCommitted || std::holds_alternative<Committed>(result);
                            --inFlight;
                        },
                        asio::detached);
                }
            }
            return isCommitted && inFlight == 0;
        });
    }

    /** Catalog version returned by a linearizable read; 0 if no read succeeds in time. */
    std::uint64_t readVersion()
    {
        std::uint64_t version = 0;
        unsigned inFlight = 0;
        const bool isRead = runUntil([&] {
            if (version == 0 && inFlight == 0) {
                for (auto &[number, coordinator] : coordinators) {
                    ++inFlight;
                    asio::co_spawn(
                        context,
                        [&version, &inFlight, target = coordinator.get()]() -> asio::awaitable<void> {
                            const ReadResult result = co_await target->read();
                            if (const auto *state = std::get_if<fleetstate::FleetState>(&result)) {
                                version = state->catalogVersion;
                            }
                            --inFlight;
                        },
                        asio::detached);
                }
            }
            return version != 0 && inFlight == 0;
        });
        return isRead ? version : 0;
    }

    /** Whether the metrics of coordinator @p number show @p count voters. */
    [[nodiscard]] bool hasVoters(unsigned number, unsigned count) const
    {
        return coordinators.at(number)->metricsText().find("mimosahollow_log_voters " + std::to_string(count) + "\n") != std::string::npos;
    }

    /** Whether coordinator @p number has a vote itself. */
    [[nodiscard]] bool hasVote(unsigned number) const
    {
        return coordinators.at(number)->metricsText().find("mimosahollow_log_vote 1\n") != std::string::npos;
    }

    /** Whether two coordinators have applied the same log index. */
    [[nodiscard]] bool hasIndexOf(unsigned number, unsigned other) const
    {
        const auto index = [this](unsigned which) {
            const std::string text = coordinators.at(which)->metricsText();
            const std::size_t at = text.find("\nmimosahollow_log_index ");
            return text.substr(at, text.find('\n', at + 1) - at);
        };
        return index(number) == index(other);
    }

    std::filesystem::path folder;
    asio::io_context context{1};
    std::map<unsigned, std::unique_ptr<Coordinator>> coordinators;
};

fleetstate::FleetCommand catalogOf(std::uint64_t version)
{
    return {fleetstate::CommandKind::PutCatalog, version, {}, std::string(version, 'x')};
}

} // namespace

// Guards against the loss of an acknowledged change when two coordinators lose their disks one after the other. If a coordinator with
// an empty disk does not answer the leader because it knows no members, it stays out of the log and the second loss leaves no majority.
TEST_CASE("A coordinator with an empty disk rejoins as a voter, so that a second lost disk loses no change")
{
    Fleet fleet;
    for (unsigned number : {1U, 2U, 3U}) {
        fleet.start(number, true);
    }
    REQUIRE(fleet.commit(catalogOf(5)));

    fleet.stop(1, true);
    REQUIRE(fleet.commit(catalogOf(6)));
    fleet.start(1, false);
    REQUIRE(fleet.runUntil([&fleet] {
        return fleet.hasVoters(1, 3) && fleet.hasIndexOf(1, 2) && fleet.hasIndexOf(1, 3);
    }));

    fleet.stop(2, true);
    CHECK(fleet.readVersion() == 6);
    CHECK(fleet.commit(catalogOf(9)));
    CHECK(fleet.readVersion() == 9);
}

// Guards against the loss of an acknowledged change when all coordinators stop at the same time.
TEST_CASE("All coordinators restart at once and keep the acknowledged changes")
{
    Fleet fleet;
    for (unsigned number : {1U, 2U, 3U}) {
        fleet.start(number, true);
    }
    REQUIRE(fleet.commit(catalogOf(7)));
    for (unsigned number : {1U, 2U, 3U}) {
        fleet.stop(number, false);
    }
    for (unsigned number : {1U, 2U, 3U}) {
        fleet.start(number, false);
    }
    CHECK(fleet.readVersion() == 7);
}

// Guards against a fleet that depends on its founders. Coordinators leave for good, one after the other, and others come with an empty disk at a
// new address, whose seeds name machines of which some are gone.
TEST_CASE("All founding coordinators are replaced one after the other, and nothing acknowledged is lost")
{
    const bool isPlanned = GENERATE(true, false);
    INFO((isPlanned ? "the successor starts first" : "the successor starts after the loss"));
    Fleet fleet;
    for (unsigned number : {1U, 2U, 3U}) {
        fleet.start(number, true);
    }
    REQUIRE(fleet.commit(catalogOf(5)));
    std::uint64_t version = 5;
    for (unsigned lost : {1U, 2U, 3U}) {
        const unsigned successor = lost + 3;
        // The list that a new machine gets lags, so one of its seeds is the machine that leaves.
        const std::vector<unsigned> seeds{lost, lost % 3 + 1, lost + 2};
        if (isPlanned) {
            fleet.start(successor, false, seeds);
            fleet.runUntil(
                [] {
                    return false;
                },
                milliseconds(300));
            fleet.stop(lost, true);
        } else {
            fleet.stop(lost, true);
            REQUIRE(fleet.commit(catalogOf(++version)));
            fleet.start(successor, false, seeds);
        }
        REQUIRE(fleet.commit(catalogOf(++version)));
        REQUIRE(fleet.runUntil([&fleet, successor, lost] {
            const unsigned other = lost == 3 ? 4 : lost + 1;
            return fleet.hasVote(successor) && fleet.hasVoters(successor, 3) && fleet.hasVoters(other, 3) && fleet.hasIndexOf(successor, other);
        }));
    }
    CHECK(fleet.readVersion() == version);
    REQUIRE(fleet.commit(catalogOf(++version)));
    SECTION("the successors bear the loss of one of them")
    {
        fleet.stop(5, true);
        CHECK(fleet.readVersion() == version);
        CHECK(fleet.commit(catalogOf(version + 1)));
    }
    SECTION("the successors find each other after a restart of all, by seeds that are gone")
    {
        for (unsigned number : {4U, 5U, 6U}) {
            fleet.stop(number, false);
        }
        for (unsigned number : {4U, 5U, 6U}) {
            fleet.start(number, false, {1, 2, 3});
        }
        CHECK(fleet.readVersion() == version);
    }
}

// Guards against a read that resumes in a coordinator that is gone; the address sanitizer reports it.
TEST_CASE("A read that waits for a majority ends without its coordinator")
{
    Fleet fleet;
    for (unsigned number : {1U, 2U, 3U}) {
        fleet.start(number, true);
    }
    REQUIRE(fleet.commit(catalogOf(5)));
    const auto leader = std::find_if(fleet.coordinators.begin(), fleet.coordinators.end(), [](const auto &item) {
        return item.second->metricsText().find("mimosahollow_leads 1\n") != std::string::npos;
    });
    REQUIRE(leader != fleet.coordinators.end());
    const unsigned number = leader->first;
    for (unsigned other : {1U, 2U, 3U}) {
        if (other != number) {
            fleet.stop(other, false);
        }
    }
    std::optional<ReadResult> result;
    asio::co_spawn(
        fleet.context,
        [&result, target = fleet.coordinators.at(number).get()]() -> asio::awaitable<void> {
            result = co_await target->read();
        },
        asio::detached);
    fleet.context.poll();
    REQUIRE_FALSE(result);
    fleet.stop(number, false);
    CHECK(fleet.runUntil([&result] {
        return result.has_value();
    }));
    CHECK(std::holds_alternative<Unavailable>(*result));
}

#pragma once

#include "coordinator/coordinator.h"
#include "support/fillabledisk.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <unistd.h>
#include <variant>
#include <vector>

namespace mimosahollow::coordinator {

namespace asio = boost::asio;

inline constexpr unsigned linkPort = 42'180;

inline std::variant<catalog::Catalog, catalog::CatalogProblem> decodeText(std::string_view text)
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
        settings.duties = dutySettings;
        auto made = std::make_unique<Coordinator>(context, settings, decode, engines, duties);
        auto &disk = disks[number];
        disk = std::make_shared<tests::DiskState>();
        REQUIRE(made->start(std::make_unique<tests::FillableDisk>(disk)).empty());
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

    /** Shared with calls that may still run after the function that has sent them has given up. */
    struct Progress
    {
        bool isDone = false;
        std::uint64_t version = 0;
        unsigned inFlight = 0;
    };

    /** Sends a change to all coordinators and repeats it, as an operator would, until one of them has committed it. */
    bool commit(const fleetstate::FleetCommand &command)
    {
        const auto progress = std::make_shared<Progress>();
        TimePoint next{};
        return runUntil([&] {
            const TimePoint now = std::chrono::steady_clock::now();
            if (!progress->isDone && progress->inFlight == 0 && now >= next) {
                next = now + milliseconds(100);
                for (auto &[number, coordinator] : coordinators) {
                    ++progress->inFlight;
                    asio::co_spawn(
                        context,
                        [progress, target = coordinator.get(), command]() -> asio::awaitable<void> {
                            const ChangeResult result = co_await target->change(command);
                            progress->isDone = progress->isDone || std::holds_alternative<Committed>(result);
                            --progress->inFlight;
                        },
                        asio::detached);
                }
            }
            return progress->isDone && progress->inFlight == 0;
        });
    }

    /** Catalog version returned by a linearizable read; 0 if no read succeeds in time. */
    std::uint64_t readVersion()
    {
        const auto progress = std::make_shared<Progress>();
        const bool isRead = runUntil([&] {
            if (progress->version == 0 && progress->inFlight == 0) {
                for (auto &[number, coordinator] : coordinators) {
                    ++progress->inFlight;
                    asio::co_spawn(
                        context,
                        [progress, target = coordinator.get()]() -> asio::awaitable<void> {
                            const ReadResult result = co_await target->read();
                            if (const auto *state = std::get_if<fleetstate::FleetState>(&result)) {
                                progress->version = state->catalogVersion;
                            }
                            --progress->inFlight;
                        },
                        asio::detached);
                }
            }
            return progress->version != 0 && progress->inFlight == 0;
        });
        return isRead ? progress->version : 0;
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

    /** Whether coordinator @p number leads. */
    [[nodiscard]] bool leads(unsigned number) const
    {
        return coordinators.at(number)->metricsText().find("mimosahollow_leads 1\n") != std::string::npos;
    }

    /** Number of the coordinator that leads; 0 if none does within @p limit. */
    unsigned awaitLeader(Duration limit = seconds(20))
    {
        unsigned leader = 0;
        runUntil(
            [&] {
                for (const auto &[number, coordinator] : coordinators) {
                    leader = leads(number) ? number : leader;
                }
                return leader != 0;
            },
            limit);
        return leader;
    }

    DutySettings dutySettings; /**< Of coordinators that are started from now on. */
    DutyOperations duties;
    catalog::CatalogDecoder decode = decodeText;
    std::filesystem::path folder;
    asio::io_context context{1};
    std::map<unsigned, std::shared_ptr<tests::DiskState>> disks;
    std::map<unsigned, std::unique_ptr<Coordinator>> coordinators;
};

} // namespace mimosahollow::coordinator

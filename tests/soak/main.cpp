#include "async.h"
#include "backend.h"
#include "callers.h"
#include "checks.h"
#include "disturbances.h"
#include "fleet.h"
#include "operator.h"
#include "options.h"
#include "record.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <vector>

using namespace mimosahollow::soak;

namespace {

namespace asio = boost::asio;

constexpr double startTimeout = 30; // s; sanitizer builds start slowly
constexpr double closingTimeout = 20; // s, from the closing restart until the configuration is read back
constexpr unsigned engineHosts = 150; // last byte of the address of the first one
constexpr unsigned plainHosts = 220;
constexpr unsigned serverPort = 8300;

std::vector<std::unique_ptr<Backend>> makeBackends(asio::io_context &context, const Options &options, const Fleet &fleet, Record &record)
{
    std::vector<std::unique_ptr<Backend>> backends;
    for (unsigned number = 0; number < options.engines + options.plainServers; ++number) {
        const bool isEngine = number < options.engines;
        const unsigned index = isEngine ? number : number - options.engines;
        BackendOptions backend;
        backend.service = isEngine ? "llm" : "ledger";
        backend.name = (isEngine ? "engine" : "plain") + std::to_string(index);
        backend.address = fleet.address((isEngine ? engineHosts : plainHosts) + index, serverPort);
        backend.domain = Fleet::domainOf(index);
        backend.slots = isEngine ? 32 : 6;
        backend.isEngine = isEngine;
        backends.push_back(std::make_unique<Backend>(context, fleet, record, std::move(backend), options.seed * 100 + number + 1));
    }
    return backends;
}

/** Kills and restarts everything, and checks that the newest acknowledged configuration is still there. */
asio::awaitable<void> closeRun(Fleet &fleet, Operator &operatorCalls, Record &record)
{
    co_await operatorCalls.changeConfiguration(now() + closingTimeout);
    for (auto *instances : {&fleet.coordinators(), &fleet.entries()}) {
        for (Instance &instance : *instances) {
            fleet.kill(instance);
        }
    }
    for (auto *instances : {&fleet.coordinators(), &fleet.entries()}) {
        for (Instance &instance : *instances) {
            fleet.start(instance);
        }
    }
    std::uint64_t newest = 0;
    for (const ConfigurationRecord &change : record.configurations) {
        newest = change.acknowledgedAt > 0 ? std::max(newest, change.version) : newest;
    }
    const std::uint64_t read = co_await operatorCalls.readVersion(now() + closingTimeout);
    record.isStateLost = read < newest;
}

asio::awaitable<void> runSoak(asio::io_context &context, const Options &options, Record &record, bool &hasStarted)
{
    Fleet fleet(options, record);
    auto backends = makeBackends(context, options, fleet, record);
    Operator operatorCalls(context, fleet, record, options.seed + 2);
    Callers callers(context, fleet, record, options.seed + 3);
    Disturbances disturbances(context, options, fleet, operatorCalls, callers, backends);
    fleet.startAll();
    for (const auto &backend : backends) {
        backend->start();
    }
    const bool isConfigured = co_await operatorCalls.changeConfiguration(now() + startTimeout);
    const double readyLimit = now() + startTimeout;
    const double end = readyLimit + options.seconds + closingTimeout; // of the probes; they stop with the run
    callers.startProbes(end);
    while (!callers.allReady() && now() < readyLimit) {
        co_await sleepFor(context, 0.1);
    }
    hasStarted = isConfigured && callers.allReady();
    if (hasStarted) {
        co_await sleepFor(context, 1);
        const double until = now() + options.seconds;
        callers.start(options.callers, until);
        co_await disturbances.run(until);
        co_await disturbances.finish();
        co_await closeRun(fleet, operatorCalls, record);
    }
    context.stop();
}

void writeRecord(const Record &record, const std::string &path)
{
    std::ofstream file(path, std::ios::trunc);
    for (const CallRecord &call : record.calls) {
        file << call.id << ' ' << call.service << " entry-" << call.entry << (call.deadlyName.empty() ? "" : " deadly")
             << (call.isSiblingOfDeadly ? " sibling" : "") << (call.fatalPart.empty() ? "" : " fatal") << " sent " << call.sentAt << " end "
             << static_cast<unsigned>(call.end) << " status " << call.status << " at " << call.endedAt;
        for (const Arrival &arrival : call.arrivals) {
            file << " [" << arrival.server << " at " << arrival.at << (arrival.hasRun ? " ran" : "") << (arrival.isBrokenOff ? " broken-off" : "") << " until "
                 << arrival.ranUntil << " deadline " << arrival.deadline.value_or(-1) << ']';
        }
        file << '\n';
    }
    for (const DisturbanceRecord &disturbance : record.disturbances) {
        file << "disturbance " << static_cast<unsigned>(disturbance.kind) << (disturbance.isCoordinator ? " coordinator-" : " entry-") << disturbance.number
             << " from " << disturbance.begin << " to " << disturbance.end << '\n';
    }
}

bool printFindings(const Record &record, const Options &options)
{
    unsigned answered = 0;
    std::size_t repeats = 0;
    for (const CallRecord &call : record.calls) {
        answered += call.end == CallEnd::Answered && call.status == 200 ? 1 : 0;
        repeats += call.arrivals.size() > 1 ? call.arrivals.size() - 1 : 0;
    }
    std::printf("seed %llu, plan %s: %zu calls, %u answered with success, %zu repeats, %zu disturbances, %zu requests for silence\n",
                static_cast<unsigned long long>(options.seed),
                toString(planOf(options.seed)),
                record.calls.size(),
                answered,
                repeats,
                record.disturbances.size(),
                record.silences.size());
    bool isBroken = false;
    for (const Finding &finding : check(record)) {
        isBroken = isBroken || finding.isBroken();
        std::printf("  %-48s cases %u (allowed %u) worst %.2f%s\n",
                    finding.clause.c_str(),
                    finding.cases,
                    finding.allowed,
                    finding.worst,
                    finding.isBroken() ? "  BROKEN" : "");
        for (const std::string &example : finding.examples) {
            std::printf("      %s\n", example.c_str());
        }
    }
    return isBroken;
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    Options chosen;
    options::options_description description(
        "soak: runs coordinators and entry instances as processes, disturbs them and checks what callers and backend servers see");
    description.add_options()("help,h", "shows this text")("seed", options::value(&chosen.seed)->default_value(chosen.seed), "seed of all that is drawn")(
        "seconds", options::value(&chosen.seconds)->default_value(chosen.seconds), "time of traffic")(
        "coordinators", options::value(&chosen.coordinators)->default_value(chosen.coordinators), "number of coordinators")(
        "entries", options::value(&chosen.entries)->default_value(chosen.entries), "number of entry instances, 100 at most")(
        "engines", options::value(&chosen.engines)->default_value(chosen.engines), "number of engines, 60 at most")(
        "plain", options::value(&chosen.plainServers)->default_value(chosen.plainServers), "number of plain backend servers, 30 at most")(
        "callers", options::value(&chosen.callers)->default_value(chosen.callers), "number of callers")(
        "binary", options::value(&chosen.binary)->default_value(MIMOSAHOLLOW_BINARY), "program under test")(
        "folder", options::value(&chosen.folder), "keeps settings, disks and logs there")(
        "record", options::value(&chosen.record), "file for a line of each call");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n' << description;
        return 2;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    asio::io_context context(1);
    Record record;
    bool hasStarted = false;
    asio::co_spawn(context, runSoak(context, chosen, record, hasStarted), [](const std::exception_ptr &problem) {
        if (problem) {
            std::rethrow_exception(problem);
        }
    });
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context, &hasStarted](const boost::system::error_code &error, int) {
        if (!error) {
            hasStarted = false;
            context.stop(); // the fleet ends its processes
        }
    });
    context.run();
    if (!hasStarted) {
        std::cerr << "the fleet was not ready in time, or the run was stopped\n";
        return 2;
    }
    if (!chosen.record.empty()) {
        writeRecord(record, chosen.record);
    }
    const bool isBroken = printFindings(record, chosen);
    std::fflush(stdout);
    return isBroken ? 1 : 0;
}

#pragma once

#include "net.h"

#include <atomic>
#include <fstream>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

/** Lines of record.txt, with the time. */
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path, std::ios::trunc)
    {
    }
    void write(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct Limits
{
    unsigned memoryMb = 260;
    unsigned descriptors = 4100;
};

/** A machine of the platform with one process of the program. */
struct Machine
{
    std::string name;
    std::string ip;
    bool isCore = false;
    Limits limits;
    std::atomic<pid_t> process{0};
    unsigned kills = 0; /**< For more memory than the machine has. */
    unsigned ends = 0; /**< By itself. */
    double peakMb = 0;
};

struct FleetOptions
{
    std::string program; /**< Path of mimosahollow. */
    unsigned coordinators = 3;
    unsigned entries = 3;
    Limits core{256, 4096};
    Limits front{260, 4100};
    std::string bounds; /**< Lines for the table of the settings. */
};

/** The platform: starts the processes, ends those above the memory of their machine, starts again what has ended. */
class Fleet
{
public:
    Fleet(FleetOptions options, Record &record);
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;
    ~Fleet();

    void startAll();
    void start(Machine &machine);
    void signal(Machine &machine, int number);
    [[nodiscard]] std::string control(unsigned coordinator) const;
    [[nodiscard]] std::string front(unsigned entry) const;
    [[nodiscard]] std::string ready(unsigned entry) const;
    /** Address of a stand-in, on a free address of its own. */
    [[nodiscard]] std::string standIn(unsigned number) const;
    std::vector<Machine *> machines();
    Machine &entry(unsigned number);
    Machine &coordinator(unsigned number);
    /** Follows redirections and moves on to another coordinator. Returns the status, 0 without a clear answer. */
    int operate(const std::string &method, const std::string &target, const std::string &body, double seconds);
    bool isReady(unsigned entry) const;
    bool waitUntilReady(double seconds) const;

private:
    void watch();
    void writeSettings(const Machine &machine, bool isFirstStart) const;
    std::optional<Message> operateOnce(unsigned coordinator, const std::string &method, const std::string &target, const std::string &body) const;

    FleetOptions m_options;
    Record &m_record;
    std::string m_folder;
    std::string m_network;
    std::vector<std::unique_ptr<Machine>> m_machines;
    std::thread m_watch;
    std::atomic<bool> m_isStopping{false};
};

struct Run
{
    double at = 0;
    std::string worker;
    std::string id;
    std::string method;
    std::string target;
    std::string body;
    std::string tenant;
    std::string model;
    std::string lastEvent;
};

struct WorkerOptions
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone = "zone-0";
    unsigned slots = 64;
    bool isEngine = false;
    unsigned adapterSlots = 24;
    double workSeconds = 0.015; /**< Of a plain request. */
    unsigned events = 5; /**< Of a stream. */
    double eventSeconds = 0.02;
    double loadSeconds = 0.25; /**< Of an adapter. */
};

/** A sound worker: announces itself, carries out orders, runs requests. */
class Worker
{
public:
    Worker(WorkerOptions options, Fleet &fleet, Record &record);
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;
    ~Worker();

    bool start();
    void stop(); /**< As after a crash: nothing is said. */
    /** Starts a new incarnation under the same id, which holds nothing. */
    bool restart();
    void announce(const std::string &state);
    /** Says that the worker leaves, first to @p coordinator. A coordinator that does not answer within a second is followed by the next one. */
    void depart(unsigned coordinator);
    std::vector<Run> runs();
    void noteRun(const Message &request);
    void answerSoundly(Socket &socket, const Message &request);
    [[nodiscard]] const WorkerOptions &options() const;

    std::atomic<bool> announces{true};

private:
    void serve(Socket socket);
    void serveRequests(Socket &socket);
    void order(Socket &socket, const Message &request);
    void report(Socket &socket);
    bool holds(const std::string &model);
    [[nodiscard]] std::string announcement(const std::string &state);

    WorkerOptions m_options;
    Fleet &m_fleet;
    Record &m_record;
    Listener m_listener;
    std::thread m_beats;
    std::atomic<bool> m_isStopping{false};
    std::mutex m_mutex;
    std::map<std::string, std::pair<double, unsigned>> m_adapters; // ready at, version
    unsigned m_sequence = 0;
    std::uint64_t m_born = 0;
    std::uint64_t m_beat = 0;
    std::vector<Run> m_runs;
    std::set<int> m_connections;
    std::atomic<unsigned> m_coordinator{0}; /**< The one that answered last, and is called first. */
    std::atomic<unsigned> m_serving{0}; /**< Threads that use this worker. */
};

/** A request of a requester; headers end with a line break each. */
std::string requestText(const std::string &method, const std::string &target, const std::string &headers, const std::string &body);
std::string newId();
/** A configuration with a route of each kind. */
std::string configuration(unsigned version, unsigned adapterSlots = 24, const std::string &tenants = {});

} // namespace review

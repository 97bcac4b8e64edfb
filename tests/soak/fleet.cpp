#include "fleet.h"

#include "bounds.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>

extern char **environ;

namespace mimosahollow::soak {

namespace {

constexpr unsigned coordinatorHosts = 10; // last byte of the address of the first one
constexpr unsigned entryHosts = 40;
constexpr unsigned controlPort = 8229;
constexpr unsigned callerPort = 8221;
constexpr unsigned readinessPort = 8224;
constexpr unsigned domainCount = 4;

/** Table of the settings; the bounds that no check needs have their usual values. */
void writeBounds(std::ostream &out)
{
    out << "[bounds]\ncontact-ms = " << contactSeconds * 1000 << "\ngrace-s = " << graceSeconds << "\nretry-budget-ratio = " << budgetRatio
        << "\nbudget-window-s = " << budgetSeconds << "\nretry-slack = " << budgetSlack
        << "\nack-ms = 4000\ndrain-ms = 2000\nrevoke-ms = 5000\nquota-window-s = 8\nlease-ms = 3000\n";
}

} // namespace

Fleet::Fleet(const Options &options, Record &record) : m_options(options), m_record(record), m_folder(options.folder), m_keepsFolder(!options.folder.empty())
{
    if (m_folder.empty()) {
        m_folder = (std::filesystem::temp_directory_path() / ("mimosahollow-soak-" + std::to_string(::getpid()))).string();
    }
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    for (unsigned number = 0; number < options.coordinators; ++number) {
        addInstance(Role::Coordinator, number);
    }
    for (unsigned number = 0; number < options.entries; ++number) {
        addInstance(Role::Entry, number);
    }
}

Fleet::~Fleet()
{
    for (auto *instances : {&m_coordinators, &m_entries}) {
        for (Instance &instance : *instances) {
            if (instance.id > 0) {
                ::kill(instance.id, SIGKILL);
                ::waitpid(instance.id, nullptr, 0);
            }
        }
    }
    if (!m_keepsFolder) {
        std::error_code error;
        std::filesystem::remove_all(m_folder, error);
        if (error) {
            std::cerr << "cannot remove " << m_folder << ": " << error.message() << '\n';
        }
    }
}

void Fleet::addInstance(Role role, unsigned number)
{
    Instance instance;
    instance.role = role;
    instance.number = number;
    instance.name = (role == Role::Coordinator ? "coordinator-" : "entry-") + std::to_string(number);
    instance.settingsPath = m_folder + "/" + instance.name + ".toml";
    instance.dataFolder = m_folder + "/" + instance.name;
    writeSettings(instance, true);
    (role == Role::Coordinator ? m_coordinators : m_entries).push_back(std::move(instance));
}

void Fleet::writeSettings(const Instance &instance, bool isFirstStart) const
{
    const bool isCoordinator = instance.role == Role::Coordinator;
    const std::string ip = address((isCoordinator ? coordinatorHosts : entryHosts) + instance.number, 0);
    std::ofstream file(instance.settingsPath, std::ios::trunc);
    file << "node-name = \"" << instance.name << "\"\nip = \"" << ip.substr(0, ip.rfind(':')) << "\"\nzone = \"" << domainOf(instance.number)
         << "\"\nport-range = [7600,7615]\nheartbeat-ms = 1200\nbootstrap = " << (isFirstStart ? "true" : "false") << "\nseeds = [";
    for (unsigned seed = 0; seed < std::min(3U, m_options.coordinators); ++seed) {
        file << (seed > 0 ? "," : "") << '"' << controlAddress(seed) << '"';
    }
    file << "]\n";
    if (isCoordinator) {
        file << "data-dir = \"" << instance.dataFolder << "\"\n";
    }
    file << "[zones]\n";
    for (unsigned domain = 0; domain < domainCount; ++domain) {
        file << domainOf(domain) << " = \"region\"\n";
    }
    file << "[listen]\n";
    if (isCoordinator) {
        file << "control = \"" << controlAddress(instance.number) << "\"\n";
    } else {
        file << "front = \"" << callerAddress(instance.number) << "\"\nready = \"" << readinessAddress(instance.number) << "\"\n";
    }
    writeBounds(file);
}

void Fleet::note(const Instance &instance, Disturbance kind)
{
    m_record.disturbances.push_back({now(), now(), kind, instance.role == Role::Coordinator, instance.number});
}

void Fleet::startAll()
{
    for (auto *instances : {&m_coordinators, &m_entries}) {
        for (Instance &instance : *instances) {
            start(instance);
        }
    }
}

void Fleet::start(Instance &instance)
{
    const std::string role = instance.role == Role::Coordinator ? "coordinator" : "entry";
    std::array<std::string, 4> words{m_options.binary, role, "--settings", instance.settingsPath};
    std::array<char *, 5> arguments{words[0].data(), words[1].data(), words[2].data(), words[3].data(), nullptr};
    const std::string log = m_folder + "/" + instance.name + ".log";
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1); // else it would keep the sockets of the soak open
    // A reload before main() would end the process; the program unblocks the signal once it handles it.
    posix_spawnattr_t attributes;
    ::posix_spawnattr_init(&attributes);
    sigset_t blocked;
    sigemptyset(&blocked);
    sigaddset(&blocked, SIGHUP);
    ::posix_spawnattr_setsigmask(&attributes, &blocked);
    ::posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    const int problem = ::posix_spawn(&instance.id, m_options.binary.c_str(), &actions, &attributes, arguments.data(), environ);
    ::posix_spawnattr_destroy(&attributes);
    ::posix_spawn_file_actions_destroy(&actions);
    if (problem != 0) {
        throw std::runtime_error("cannot start " + m_options.binary);
    }
    instance.isFrozen = false;
    instance.isStopping = false;
    note(instance, Disturbance::Start);
}

void Fleet::kill(Instance &instance)
{
    if (instance.id == 0) {
        return;
    }
    note(instance, Disturbance::Kill);
    ::kill(instance.id, SIGKILL);
    ::waitpid(instance.id, nullptr, 0);
    instance.id = 0;
    writeSettings(instance, false);
}

void Fleet::loseDisk(const Instance &instance)
{
    std::filesystem::remove_all(instance.dataFolder);
}

void Fleet::freeze(Instance &instance)
{
    if (instance.id != 0 && !instance.isFrozen) {
        note(instance, Disturbance::Freeze);
        ::kill(instance.id, SIGSTOP);
        instance.isFrozen = true;
    }
}

void Fleet::thaw(Instance &instance)
{
    if (instance.id == 0 || !instance.isFrozen) {
        return;
    }
    ::kill(instance.id, SIGCONT);
    instance.isFrozen = false;
    for (auto record = m_record.disturbances.rbegin(); record != m_record.disturbances.rend(); ++record) {
        if (record->kind == Disturbance::Freeze && record->number == instance.number && record->isCoordinator == (instance.role == Role::Coordinator)) {
            record->end = now();
            return;
        }
    }
}

void Fleet::stop(Instance &instance)
{
    if (instance.id != 0) {
        note(instance, Disturbance::Stop);
        ::kill(instance.id, SIGTERM);
        instance.isStopping = true;
    }
}

void Fleet::reload(Instance &instance)
{
    if (instance.id != 0) {
        note(instance, Disturbance::Reload);
        writeSettings(instance, false);
        ::kill(instance.id, SIGHUP);
    }
}

void Fleet::reap()
{
    for (auto *instances : {&m_coordinators, &m_entries}) {
        for (Instance &instance : *instances) {
            int status = 0;
            if (instance.id == 0 || ::waitpid(instance.id, &status, WNOHANG) != instance.id) {
                continue;
            }
            // A process that is stopped before it has set up its signals ends by SIGTERM itself.
            const bool isOrderly = (WIFEXITED(status) && WEXITSTATUS(status) == 0) || (WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM);
            const bool isExpected = instance.isStopping && isOrderly;
            if (!isExpected) {
                ++m_record.unexpectedExits;
                std::cout << instance.name << " ended unexpectedly, status " << status << '\n';
            }
            instance.id = 0;
            writeSettings(instance, false);
        }
    }
}

std::vector<Instance> &Fleet::coordinators()
{
    return m_coordinators;
}

std::vector<Instance> &Fleet::entries()
{
    return m_entries;
}

std::size_t Fleet::coordinatorCount() const
{
    return m_coordinators.size();
}

std::string Fleet::address(unsigned host, unsigned port) const
{
    const auto own = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(16 + own / 250 % 200) + "." + std::to_string(1 + own % 250) + "." + std::to_string(host) + ":" + std::to_string(port);
}

std::string Fleet::controlAddress(unsigned coordinator) const
{
    return address(coordinatorHosts + coordinator, controlPort);
}

std::string Fleet::callerAddress(unsigned entry) const
{
    return address(entryHosts + entry, callerPort);
}

std::string Fleet::readinessAddress(unsigned entry) const
{
    return address(entryHosts + entry, readinessPort);
}

std::string Fleet::domainOf(unsigned number)
{
    return "domain-" + std::to_string(number % domainCount);
}

} // namespace mimosahollow::soak

// A small deployment on loopback addresses: the programs of the deploy file, an operator, backend workers and requesters.
#pragma once

#include "net.h"

namespace review {

/** A process of the project, started with a command of the deploy file. */
class Process
{
public:
    Process(std::string command, std::string settings, std::string log) : m_command(std::move(command)), m_settings(std::move(settings)), m_log(std::move(log))
    {
    }
    ~Process()
    {
        kill(SIGKILL);
    }
    void start()
    {
        std::vector<std::string> words;
        std::istringstream text(m_command);
        for (std::string word; text >> word;) {
            words.push_back(word);
        }
        id = ::fork();
        if (id == 0) {
            std::vector<char *> arguments;
            for (std::string &word : words) {
                arguments.push_back(word.data());
            }
            arguments.push_back(nullptr);
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this program, however that ends
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::setenv("MIMOSAHOLLOW_BOOT", m_settings.c_str(), 1);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
    }
    void signal(int number)
    {
        if (id > 0) {
            ::kill(id, number);
        }
    }
    /** Sends a signal that ends the process and waits for it. */
    void kill(int number)
    {
        if (id > 0) {
            ::kill(id, number);
            ::waitpid(id, nullptr, 0);
            id = 0;
        }
    }
    /** Whether it has ended by itself. */
    bool hasEnded()
    {
        int status = 0;
        if (id > 0 && ::waitpid(id, &status, WNOHANG) == id) {
            id = 0;
            endStatus = status;
            return true;
        }
        return id == 0;
    }
    pid_t id = 0;
    int endStatus = 0;

private:
    std::string m_command;
    std::string m_settings;
    std::string m_log;
};

struct FleetOptions
{
    int cores = 3;
    int fronts = 1;
};

/** Machines, as the platform starts them. */
class Fleet
{
public:
    explicit Fleet(FleetOptions options = {}) : m_options(options)
    {
        char folder[] = "/tmp/review-XXXXXX";
        if (::mkdtemp(folder) == nullptr) {
            std::exit(2);
        }
        m_folder = folder;
        const auto own = static_cast<unsigned>(::getpid());
        m_network = "127." + std::to_string(16 + own / 250 % 200) + "." + std::to_string(1 + own % 250) + ".";
    }
    ~Fleet()
    {
        processes.clear();
        if (std::getenv("KEEP") == nullptr) {
            std::error_code ignored;
            removeTree(m_folder);
        }
    }
    std::string ip(int host) const
    {
        return m_network + std::to_string(host);
    }
    Address control(int core) const
    {
        return {ip(10 + core), 8229};
    }
    Address front(int number) const
    {
        return {ip(30 + number), 8221};
    }
    Address ready(int number) const
    {
        return {ip(30 + number), 8224};
    }
    static std::string zone(int number)
    {
        return "zone-" + std::string(1, static_cast<char>('a' + number % 4));
    }
    const std::string &folder() const
    {
        return m_folder;
    }

    Process &core(int number)
    {
        return *processes.at("core-" + std::to_string(number));
    }
    Process &entry(int number)
    {
        return *processes.at("front-" + std::to_string(number));
    }

    void start()
    {
        const std::map<std::string, std::string> commands = deployCommands();
        for (int i = 0; i < m_options.cores; ++i) {
            add("core-" + std::to_string(i), "core", i, commands.at("coordinator"));
        }
        for (int i = 0; i < m_options.fronts; ++i) {
            add("front-" + std::to_string(i), "front", i, commands.at("entry"));
        }
        for (auto &[name, process] : processes) {
            process->start();
        }
    }
    /** Waits until all front machines say that they are ready. */
    bool awaitReady(double seconds)
    {
        const double until = now() + seconds;
        for (int i = 0; i < m_options.fronts; ++i) {
            for (;;) {
                const auto answer = call(ready(i), "GET", "/mimosahollow/readiness", {});
                if (answer && answer->status() == 200) {
                    break;
                }
                if (now() > until) {
                    return false;
                }
                sleepFor(0.05);
            }
        }
        return true;
    }
    /** An order of the operator, or a report of a worker: to one core machine after the other, redirections followed twice. */
    std::optional<Message> control(const std::string &method, const std::string &path, const std::string &body, double seconds, int first = 0)
    {
        const double until = now() + seconds;
        for (int i = first;; ++i) {
            Address target = control(i % m_options.cores);
            for (int hop = 0; hop < 3; ++hop) {
                const auto answer = call(target, method, path, body);
                if (answer && answer->status() == 307) {
                    std::string location = answer->header("Location").substr(std::strlen("http://"));
                    target = parseAddress(location.substr(0, location.find('/')));
                    continue;
                }
                if (answer && answer->status() < 500 && answer->status() != 408 && answer->status() != 429) {
                    return answer;
                }
                break;
            }
            if (now() > until) {
                return std::nullopt;
            }
            sleepFor(0.1);
        }
    }

    /** Kills a core machine; with @p loseDisk it comes back with an empty disk. It is started again by startCore(). */
    void killCore(int number, bool loseDisk)
    {
        const std::string name = "core-" + std::to_string(number);
        processes.at(name)->kill(SIGKILL);
        if (loseDisk) {
            removeTree(m_folder + "/" + name);
        }
        std::string text = m_settings.at(name);
        const std::string first = "bootstrap = true";
        if (const auto at = text.find(first); at != std::string::npos) {
            text.replace(at, first.size(), "bootstrap = false");
        }
        std::ofstream(m_folder + "/" + name + ".toml", std::ios::trunc) << text;
    }
    void startCore(int number)
    {
        processes.at("core-" + std::to_string(number))->start();
    }
    /** The core machine that acts as the leader: the one that answers a read itself. */
    int findLeader()
    {
        for (int i = 0; i < m_options.cores; ++i) {
            const auto answer = call(control(i), "GET", "/mimosahollow/config", {});
            if (answer && answer->status() == 200) {
                return i;
            }
        }
        return -1;
    }
    int cores() const
    {
        return m_options.cores;
    }

    std::map<std::string, std::unique_ptr<Process>> processes;

private:
    static void removeTree(const std::string &folder)
    {
        const pid_t id = ::fork();
        if (id == 0) {
            ::execl("/bin/rm", "rm", "-rf", folder.c_str(), nullptr);
            ::_exit(127);
        }
        ::waitpid(id, nullptr, 0);
    }
    /** The run lines of deploy/system.toml, by role. */
    static std::map<std::string, std::string> deployCommands()
    {
        std::ifstream file("deploy/system.toml");
        std::map<std::string, std::string> commands;
        std::string role;
        for (std::string line; std::getline(file, line);) {
            if (line.rfind("[roles.", 0) == 0) {
                role = line.substr(7, line.find(']') - 7);
            } else if (line.rfind("run = \"", 0) == 0) {
                commands[role] = line.substr(7, line.rfind('"') - 7);
            }
        }
        if (!commands.count("entry") || !commands.count("coordinator")) {
            std::fprintf(stderr, "deploy/system.toml has no roles entry and coordinator\n");
            std::exit(2);
        }
        return commands;
    }
    void add(const std::string &name, const std::string &kind, int number, const std::string &command)
    {
        const bool isCore = kind == "core";
        const std::string address = ip((isCore ? 10 : 30) + number);
        std::ostringstream text;
        text << "node-name = \"" << name << "\"\nrole = \"" << kind << "\"\nmachine-class = \"" << kind << "\"\nserves = [\"" << (isCore ? "control" : "front")
             << "\"]\nip = \"" << address << "\"\nzone = \"" << zone(number) << "\"\nregion = \"region\"\nport-range = [7600,7615]\nseeds = [";
        for (int i = 0; i < std::min(3, m_options.cores); ++i) {
            text << (i ? "," : "") << '"' << control(i).text() << '"';
        }
        text << "]\nbootstrap = true\nin-tolerance = " << (isCore ? "true" : "false") << '\n';
        if (isCore) {
            text << "data-dir = \"" << m_folder << "/" << name << "\"\n";
        }
        text << "discovery = \"registry\"\nentry = \"vip\"\nheartbeat-ms = 1200\n"
                "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\",\"tenants\",\"quota\",\"places\"]\n"
                "config-mode = \"highest\"\n[zones]\nzone-a = \"region\"\nzone-b = \"region\"\nzone-c = \"region\"\nzone-d = \"region\"\n[listen]\n";
        if (isCore) {
            text << "control = \"" << control(number).text() << "\"\n";
        } else {
            text << "front = \"" << front(number).text() << "\"\nready = \"" << ready(number).text() << "\"\n";
        }
        text << "[limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = " << (isCore ? 128 : 0)
             << "\n[fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
                "[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\ngrace-s = 8\n"
                "loss-slack-ms = 200\nconfig-apply-ms = 2000\nrollback-slack-ms = 250\nmax-skew-ms = 5000\nstrict-revocation = true\nrevoke-ms = 5000\n"
                "retry-budget-ratio = 0.2\nbudget-window-s = 10\nretry-slack = 54\nquota-window-s = 8\nquota-overshoot = 0.1\nquota-slack = 17000\n"
                "cold-overshoot = 1.5\ncold-slack = 5\nevacuate-ms = 5000\nrecover-s = 12\npass-ms = 120\nagain-s = 0\nfencing-required = false\n"
                "lease-ms = 3000\nthaw-ms = 300\nceiling-window-s = 5\nceiling-overshoot = 1.1\nversion_ms = 5000\n";
        const std::string path = m_folder + "/" + name + ".toml";
        std::ofstream(path) << text.str();
        m_settings[name] = text.str();
        processes[name] = std::make_unique<Process>(command, path, m_folder + "/" + name + ".log");
    }

    FleetOptions m_options;
    std::map<std::string, std::string> m_settings; // by machine
    std::string m_folder;
    std::string m_network;
};

struct WorkerOptions
{
    std::string service;
    std::string id;
    Address address;
    std::string zone;
    int slots = 64;
    bool isEngine = false;
    std::string model = "m0";
    double loadSeconds = 0.25; // of an adapter
    double tokenSeconds = 0.02; // between events
    int events = 40;
    double workSeconds = 0.015; // of a plain request
};

/** A backend worker as PROTOCOL.md tells it. Hooks change single answers. */
class Worker
{
public:
    struct Request
    {
        Message head;
        std::string attempt;
        int onConnection = 0; // number of the request on its connection, from 1
        int connection = 0;
    };

    Worker(Fleet &fleet, Record &record, WorkerOptions given) : options(std::move(given)), m_fleet(fleet), m_record(record)
    {
        born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }
    ~Worker()
    {
        stop();
    }
    bool start()
    {
        m_listener = listenOn(options.address);
        if (m_listener < 0) {
            return false;
        }
        m_threads.emplace_back([this] {
            acceptAll();
        });
        m_threads.emplace_back([this] {
            announceAll();
        });
        return true;
    }
    void stop()
    {
        if (m_stopping.exchange(true)) {
            return;
        }
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        for (;;) {
            std::vector<std::thread> threads;
            {
                const std::lock_guard lock(m_mutex);
                threads.swap(m_threads);
            }
            if (threads.empty()) {
                return;
            }
            for (std::thread &thread : threads) {
                thread.join();
            }
        }
    }

    /** Bytes that are sent before the answer to a request, when the worker has read it. */
    std::function<std::string(const Request &)> before;
    /** Called with a 421 and the text of it as it was sent. */
    std::function<void(const Request &, const std::string &)> misdirected;
    /** How long a load that is ordered now takes; options.loadSeconds if unset. */
    std::function<double()> loadTime;
    /** Called with a complete stream and the text of it as it was sent. */
    std::function<void(const Request &, const std::string &)> ended;
    /** Takes a request that is to run; returns true when it has answered itself. */
    std::function<bool(const Request &, Socket &)> run;

    WorkerOptions options;
    long long born = 0;
    std::map<std::string, int> runs; // how often each request began to run
    std::mutex runsMutex;

    void began(const Request &request)
    {
        int count = 0;
        {
            const std::lock_guard lock(runsMutex);
            count = ++runs[request.attempt];
        }
        m_record.line("%s runs %s (time %d)", options.id.c_str(), request.attempt.c_str(), count);
    }
    std::string signature(const Request &request) const
    {
        return "sig." + options.id + "." + request.attempt;
    }
    /** Answers with a stream of events after @p lastEvent. False when the caller has left. */
    bool stream(const Request &request, Socket &socket, int lastEvent, int until)
    {
        std::string sent = "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.attempt + "\r\nResponse-Signature: " + signature(request)
                           + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if (!socket.write(sent)) {
            return false;
        }
        for (int event = lastEvent + 1; event <= until; ++event) {
            sleepFor(options.tokenSeconds);
            const std::string text = "id: " + std::to_string(event) + "\ndata: " + request.attempt + " piece " + std::to_string(event) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            sent += size + text + "\r\n";
            if (m_stopping || !socket.write(size + text + "\r\n") || socket.peerClosed()) {
                m_record.line("%s: the caller of %s has left", options.id.c_str(), request.attempt.c_str());
                return false;
            }
        }
        if (until == options.events) {
            m_record.line("%s ends %s", options.id.c_str(), request.attempt.c_str());
            if (ended) {
                ended(request, sent + "0\r\n\r\n");
            }
            return socket.write("0\r\n\r\n");
        }
        return true;
    }

private:
    void acceptAll()
    {
        while (!m_stopping) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const std::lock_guard lock(m_mutex);
            m_threads.emplace_back([this, fd, number = ++m_connections] {
                serve(fd, number);
            });
        }
    }
    void announceAll()
    {
        for (int i = 0; !m_stopping; ++i) {
            std::ostringstream body;
            body << "{\"service\":\"" << options.service << "\",\"address\":\"" << options.address.text() << "\",\"zone\":\"" << options.zone
                 << "\",\"version\":\"v1\",\"slots\":" << options.slots << ",\"state\":\"ready\",\"cold-remaining-ms\":0,\"born\":" << born;
            if (options.isEngine) {
                body << ",\"stage\":\"prefill_decode\",\"models\":" << models();
            }
            body << ",\"sequence\":" << ++m_announcements << "}";
            m_fleet.control("PUT", "/mimosahollow/instances/" + options.id, body.str(), 1, i);
            for (int part = 0; part < 12 && !m_stopping; ++part) {
                sleepFor(0.1);
            }
        }
    }
    std::string models()
    {
        const std::lock_guard lock(m_mutex);
        std::string held;
        for (const auto &[adapter, readyAt] : m_adapters) {
            if (now() >= readyAt) {
                held += (held.empty() ? "\"" : ",\"") + adapter + "@1\"";
            }
        }
        return "[{\"name\":\"" + options.model + "\",\"version\":1,\"adapters\":[" + held + "]}]";
    }
    void serve(int fd, int number)
    {
        Socket socket(fd);
        int requests = 0;
        while (!m_stopping) {
            auto head = readHead(socket, now() + 0.2);
            if (!head) {
                if (socket.closed) {
                    return;
                }
                socket.timedOut = false;
                continue;
            }
            if (readBody(socket, *head, now() + 5, false) != BodyEnd::Complete) {
                return;
            }
            Request request{std::move(*head), {}, ++requests, number};
            request.attempt = request.head.header("Attempt-Id");
            if (!answer(request, socket)) {
                return;
            }
        }
    }
    bool plain(Socket &socket, const std::string &status, const std::string &headers, const std::string &body)
    {
        return socket.write("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    bool answer(const Request &request, Socket &socket)
    {
        const std::string path = request.head.word(1);
        const std::string expected = request.head.header("Expect-Instance");
        if (path == "/mimosahollow/report") {
            std::string coming;
            int sequence = 0;
            {
                const std::lock_guard lock(m_mutex);
                for (const auto &[adapter, readyAt] : m_adapters) {
                    if (now() < readyAt) {
                        coming += (coming.empty() ? "\"" : ",\"") + options.model + "/" + adapter + "@1\"";
                    }
                }
                sequence = m_sequence;
            }
            return plain(socket,
                         "200 OK",
                         "Content-Type: application/json\r\n",
                         "{\"stage\":\"prefill_decode\",\"models\":" + models() + ",\"busy\":false,\"born\":" + std::to_string(born)
                             + ",\"sequence\":" + std::to_string(sequence)
                             + ",\"waiting\":0,\"running\":0,\"kv-used\":0,\"kv-total\":150000,\"handles\":0,\"coming\":[" + coming + "]}");
        }
        if (path == "/mimosahollow/order") {
            return order(request, socket);
        }
        if (!before ? false : [&] {
                const std::string bytes = before(request);
                return !bytes.empty() && !socket.write(bytes);
            }()) {
            return false;
        }
        const std::string echo = "Attempt-Id: " + request.attempt + "\r\n";
        if (!expected.empty() && expected != options.id) {
            return plain(socket, "421 Misdirected Request", echo + "Instance-Id: " + options.id + "\r\nNot-Executed: 1\r\n", "");
        }
        if (options.isEngine) {
            const std::string model = request.head.header("Model");
            const auto slash = model.find('/');
            const std::string adapter = slash == std::string::npos ? std::string() : model.substr(slash + 1);
            bool holds = model.substr(0, slash) == options.model;
            if (holds && !adapter.empty()) {
                const std::lock_guard lock(m_mutex);
                const auto found = m_adapters.find(adapter);
                holds = found != m_adapters.end() && now() >= found->second;
            }
            if (!holds) {
                const std::string text =
                    "HTTP/1.1 421 Misdirected Request\r\n" + echo + "Instance-Id: " + options.id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                m_record.line("%s answers 421 to %s: it does not hold %s", options.id.c_str(), request.attempt.c_str(), model.c_str());
                if (misdirected) {
                    misdirected(request, text);
                }
                return socket.write(text);
            }
        }
        began(request);
        if (run && run(request, socket)) {
            return socket.fd >= 0;
        }
        if (options.isEngine) {
            const std::string last = request.head.header("Last-Event-Id");
            return stream(request, socket, last.empty() ? 0 : std::atoi(last.c_str()), options.events);
        }
        sleepFor(options.workSeconds);
        m_record.line("%s ends %s", options.id.c_str(), request.attempt.c_str());
        return plain(socket, "200 OK", echo + "Response-Signature: " + signature(request) + "\r\n", "done " + request.attempt);
    }
    bool order(const Request &request, Socket &socket)
    {
        const std::string &body = request.head.body;
        const std::string operation = jsonField(body, "operation");
        const std::string adapter = jsonField(body, "adapter");
        const std::string expect = jsonField(body, "expect");
        std::string status = "202 Accepted";
        {
            const std::lock_guard lock(m_mutex);
            if (!expect.empty() && std::atoi(expect.c_str()) != m_sequence) {
                status = "409 Conflict";
            } else if (operation == "load" && m_adapters.count(adapter)) {
                status = "200 OK";
            } else if (operation == "load") {
                m_adapters[adapter] = now() + (loadTime ? loadTime() : options.loadSeconds);
                ++m_sequence;
            } else if (m_adapters.erase(adapter)) {
                status = "200 OK";
                ++m_sequence;
            }
        }
        m_record.line("%s: order %s %s from %s with token %s: %s",
                      options.id.c_str(),
                      operation.c_str(),
                      adapter.c_str(),
                      jsonField(body, "holder").c_str(),
                      jsonField(body, "fencing-token").c_str(),
                      status.c_str());
        return plain(socket, status, "Content-Type: application/json\r\n", "{}");
    }

    Fleet &m_fleet;
    Record &m_record;
    int m_listener = -1;
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::vector<std::thread> m_threads;
    std::map<std::string, double> m_adapters; // when each is ready
    int m_sequence = 0;
    int m_announcements = 0;
    int m_connections = 0;
};

struct Answer
{
    int status = 0; // 0: none
    bool complete = false;
    bool unreadable = false;
    Message message;
};

/** A request of a requester on a channel of its own. */
inline Answer request(Record &record,
                      const Address &front,
                      const std::string &method,
                      const std::string &path,
                      const std::string &attempt,
                      const std::string &headers,
                      const std::string &body,
                      double seconds,
                      const std::string &key = "key-one")
{
    Answer result;
    const SocketPointer socket = dial(front, 1);
    if (!socket) {
        record.line("requester: no channel for %s", attempt.c_str());
        return result;
    }
    record.line("requester sends %s", attempt.c_str());
    const double deadline = now() + seconds;
    socket->write(method + " " + path + " HTTP/1.1\r\nHost: match.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: "
                  + std::to_string(static_cast<int>(seconds * 1000)) + "\r\n" + (key.empty() ? std::string() : "Authorization: Bearer " + key + "\r\n")
                  + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    auto head = readHead(*socket, deadline);
    if (head) {
        result.status = head->status();
        const BodyEnd end = readBody(*socket, *head, deadline, true);
        result.complete = end == BodyEnd::Complete;
        result.unreadable = end == BodyEnd::Unreadable;
        result.message = std::move(*head);
    }
    record.line("requester gets %d%s for %s", result.status, result.complete ? "" : result.unreadable ? ", unreadable" : ", incomplete", attempt.c_str());
    return result;
}

} // namespace review

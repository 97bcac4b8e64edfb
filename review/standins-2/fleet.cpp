#include "fleet.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

constexpr unsigned controlPort = 8229;
constexpr unsigned frontPort = 8221;
constexpr unsigned readyPort = 8224;
constexpr unsigned standInPort = 8300;
constexpr unsigned firstCore = 10; // last byte of the addresses
constexpr unsigned firstFront = 40;
constexpr unsigned firstStandIn = 100;
constexpr double restartSeconds = 0.5;
constexpr double beatSeconds = 1.2;

double residentMb(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1048576;
}

std::string headOf(int status, const std::string &headers, std::size_t length)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

/** Value of a field of flat JSON, without quotes. */
std::string field(const std::string &json, const std::string &name)
{
    const std::size_t at = json.find("\"" + name + "\":");
    if (at == std::string::npos) {
        return {};
    }
    std::size_t from = at + name.size() + 3;
    if (json[from] == '"') {
        return json.substr(from + 1, json.find('"', from + 1) - from - 1);
    }
    return json.substr(from, json.find_first_of(",}", from) - from);
}

} // namespace

void Record::write(const std::string &line)
{
    const std::scoped_lock lock(m_mutex);
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", now());
    m_file << time.data() << line << '\n';
    m_file.flush();
}

Fleet::Fleet(FleetOptions options, Record &record) : m_options(std::move(options)), m_record(record)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    m_folder = pattern;
    const auto own = static_cast<unsigned>(::getpid());
    m_network = "127." + std::to_string(20 + own / 250 % 200) + "." + std::to_string(1 + own % 250) + ".";
    const auto add = [this](const std::string &name, unsigned host, bool isCore) {
        auto machine = std::make_unique<Machine>();
        machine->name = name;
        machine->ip = m_network + std::to_string(host);
        machine->isCore = isCore;
        machine->limits = isCore ? m_options.core : m_options.front;
        writeSettings(*machine, true);
        m_machines.push_back(std::move(machine));
    };
    for (unsigned number = 0; number < m_options.coordinators; ++number) {
        add("core-" + std::to_string(number), firstCore + number, true);
    }
    for (unsigned number = 0; number < m_options.entries; ++number) {
        add("front-" + std::to_string(number), firstFront + number, false);
    }
}

Fleet::~Fleet()
{
    m_isStopping = true;
    if (m_watch.joinable()) {
        m_watch.join();
    }
    for (const auto &machine : m_machines) {
        if (machine->process > 0) {
            ::kill(machine->process, SIGKILL);
            ::waitpid(machine->process, nullptr, 0);
        }
    }
    std::error_code error;
    std::filesystem::remove_all(m_folder, error);
}

void Fleet::writeSettings(const Machine &machine, bool isFirstStart) const
{
    std::ofstream file(m_folder + "/" + machine.name + ".toml", std::ios::trunc);
    const std::string zone = "zone-" + machine.name.substr(machine.name.size() - 1);
    file << "node-name = \"" << machine.name << "\"\nmachine-class = \"" << (machine.isCore ? "core" : "front") << "\"\nip = \"" << machine.ip
         << "\"\nzone = \"" << zone << "\"\nport-range = [7600,7615]\nheartbeat-ms = 1200\nbootstrap = " << (isFirstStart ? "true" : "false") << "\nseeds = [";
    for (unsigned seed = 0; seed < std::min(3U, m_options.coordinators); ++seed) {
        file << (seed > 0 ? "," : "") << '"' << control(seed) << '"';
    }
    file << "]\n";
    if (machine.isCore) {
        file << "data-dir = \"" << m_folder << "/" << machine.name << "\"\n";
    }
    file << "[zones]\nzone-0 = \"region\"\nzone-1 = \"region\"\nzone-2 = \"region\"\n[listen]\n";
    if (machine.isCore) {
        file << "control = \"" << machine.ip << ":" << controlPort << "\"\n";
    } else {
        file << "front = \"" << machine.ip << ":" << frontPort << "\"\nready = \"" << machine.ip << ":" << readyPort << "\"\n";
    }
    file << "[limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = " << machine.limits.memoryMb << "\nmax-fds = " << machine.limits.descriptors
         << "\nlink-mbps = 1000.0\n[fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\n"
         << "seed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\n"
         << "config-apply-ms = 2000\nrollback-slack-ms = 250\nmax-skew-ms = 5000\nstrict-revocation = true\nrevoke-ms = 5000\nretry-budget-ratio = 0.2\n"
         << "budget-window-s = 10\nretry-slack = 52\nquota-window-s = 8\nquota-overshoot = 0.1\nquota-slack = 17000\ncold-overshoot = 1.5\ncold-slack = 5\n"
         << "evacuate-ms = 5000\nrecover-s = 12\npass-ms = 120\nagain-s = 0\nfencing-required = false\nlease-ms = 3000\nthaw-ms = 300\n"
         << "ceiling-window-s = 5\nceiling-overshoot = 1.1\nversion_ms = 5000\n";
}

void Fleet::startAll()
{
    for (const auto &machine : m_machines) {
        start(*machine);
    }
    m_watch = std::thread([this] {
        watch();
    });
}

void Fleet::start(Machine &machine)
{
    std::array<std::string, 2> words{m_options.program, machine.isCore ? "coordinator" : "entry"};
    std::array<char *, 3> arguments{words[0].data(), words[1].data(), nullptr};
    const std::string boot = "MIMOSAHOLLOW_BOOT=" + m_folder + "/" + machine.name + ".toml";
    std::vector<std::string> variables{boot, "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C.UTF-8"};
    std::vector<char *> environment;
    environment.reserve(variables.size() + 1);
    for (std::string &variable : variables) {
        environment.push_back(variable.data());
    }
    environment.push_back(nullptr);
    const char *folder = std::getenv("REVIEW_LOGS"); // keeps what the processes write, for a closer look
    const std::string output = folder == nullptr ? std::string("/dev/null") : std::string(folder) + "/" + machine.name + ".log";
    const pid_t process = ::fork();
    if (process < 0) {
        throw std::runtime_error("cannot start " + m_options.program);
    }
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // none stays if this program is ended
        const int log = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execve(arguments[0], arguments.data(), environment.data());
        ::_exit(127);
    }
    // Only processes above this number of descriptors would notice.
    const rlimit descriptors{machine.limits.descriptors, machine.limits.descriptors};
    ::prlimit(process, RLIMIT_NOFILE, &descriptors, nullptr);
    machine.process = process;
    m_record.write("platform: starts " + machine.name);
}

void Fleet::signal(Machine &machine, int number)
{
    if (machine.process > 0) {
        m_record.write("platform: signal " + std::to_string(number) + " to " + machine.name);
        ::kill(machine.process, number);
    }
}

/** Ends processes above the memory of their machine, and starts again what has ended. */
void Fleet::watch()
{
    std::map<Machine *, double> due;
    while (!m_isStopping) {
        sleepFor(0.02);
        for (const auto &machine : m_machines) {
            if (machine->process > 0) {
                const double resident = residentMb(machine->process);
                machine->peakMb = std::max(machine->peakMb, resident);
                if (resident > machine->limits.memoryMb) {
                    m_record.write("platform: " + machine->name + " uses " + std::to_string(static_cast<int>(resident)) + " MB of "
                                   + std::to_string(machine->limits.memoryMb) + ", is killed");
                    ++machine->kills;
                    ::kill(machine->process, SIGKILL);
                }
                int status = 0;
                if (::waitpid(machine->process, &status, WNOHANG) == machine->process) {
                    m_record.write("platform: " + machine->name + " has ended, status " + std::to_string(status));
                    ++machine->ends;
                    machine->process = 0;
                    due[machine.get()] = now() + restartSeconds;
                }
            } else if (const auto restart = due.find(machine.get()); restart != due.end() && now() >= restart->second) {
                due.erase(restart);
                writeSettings(*machine, false);
                start(*machine);
            }
        }
    }
}

std::string Fleet::control(unsigned coordinator) const
{
    return m_network + std::to_string(firstCore + coordinator) + ":" + std::to_string(controlPort);
}

std::string Fleet::front(unsigned entry) const
{
    return m_network + std::to_string(firstFront + entry) + ":" + std::to_string(frontPort);
}

std::string Fleet::ready(unsigned entry) const
{
    return m_network + std::to_string(firstFront + entry) + ":" + std::to_string(readyPort);
}

std::string Fleet::standIn(unsigned number) const
{
    return m_network + std::to_string(firstStandIn + number) + ":" + std::to_string(standInPort);
}

std::vector<Machine *> Fleet::machines()
{
    std::vector<Machine *> all;
    for (const auto &machine : m_machines) {
        all.push_back(machine.get());
    }
    return all;
}

Machine &Fleet::coordinator(unsigned number)
{
    return *m_machines.at(number);
}

Machine &Fleet::entry(unsigned number)
{
    return *m_machines.at(m_options.coordinators + number);
}

std::optional<Message> Fleet::operateOnce(unsigned coordinator, const std::string &method, const std::string &target, const std::string &body) const
{
    std::string address = control(coordinator);
    for (unsigned hop = 0; hop < 3; ++hop) {
        auto answer = call(address, method, target, body, 1.0);
        if (!answer || answer->status() != 307) {
            return answer;
        }
        const std::string location = answer->header("location");
        const std::size_t from = location.find("//") + 2;
        address = location.substr(from, location.find('/', from) - from);
    }
    return std::nullopt;
}

int Fleet::operate(const std::string &method, const std::string &target, const std::string &body, double seconds)
{
    const double until = now() + seconds;
    for (unsigned attempt = 0; now() < until; ++attempt) {
        const auto answer = operateOnce(attempt % m_options.coordinators, method, target, body);
        const int status = answer ? answer->status() : 0;
        if (status >= 200 && status < 500 && status != 408 && status != 429 && status != 307) {
            m_record.write("operator: " + method + " " + target + " is answered " + std::to_string(status));
            return status;
        }
        sleepFor(0.1);
    }
    m_record.write("operator: " + method + " " + target + " gets no clear answer");
    return 0;
}

bool Fleet::isReady(unsigned entry) const
{
    const auto answer = call(ready(entry), "GET", "/mimosahollow/readiness", "", 1.0);
    return answer && answer->status() == 200;
}

bool Fleet::waitUntilReady(double seconds) const
{
    const double until = now() + seconds;
    for (unsigned entry = 0; entry < m_options.entries; ++entry) {
        while (!isReady(entry)) {
            if (now() > until) {
                return false;
            }
            sleepFor(0.1);
        }
    }
    return true;
}

Worker::Worker(WorkerOptions options, Fleet &fleet, Record &record) : m_options(std::move(options)), m_fleet(fleet), m_record(record)
{
}

Worker::~Worker()
{
    stop();
}

bool Worker::start()
{
    m_isStopping = false;
    m_born = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    const bool isListening = m_listener.start(m_options.address, m_serving, [this](Socket socket) {
        serve(std::move(socket));
    });
    if (!isListening) {
        return false;
    }
    m_beats = std::thread([this] {
        double next = now();
        while (!m_isStopping) {
            if (announces && now() >= next) {
                announce("ready");
                next = now() + beatSeconds;
            }
            sleepFor(0.02);
        }
    });
    return true;
}

void Worker::stop()
{
    m_isStopping = true;
    if (m_beats.joinable()) {
        m_beats.join();
    }
    m_listener.stop();
    {
        const std::scoped_lock lock(m_mutex);
        for (const int descriptor : m_connections) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    while (m_serving > 0) {
        sleepFor(0.002);
    }
}

bool Worker::restart()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_adapters.clear();
        m_sequence = 0;
        m_beat = 0;
    }
    announces = true;
    return start();
}

void Worker::depart(unsigned coordinator)
{
    announces = false;
    for (unsigned attempt = 0; attempt < 3; ++attempt) {
        const unsigned called = (coordinator + attempt) % 3;
        const auto answer = call(m_fleet.control(called), "DELETE", "/mimosahollow/instances/" + m_options.id, "", 1.0);
        const int status = answer ? answer->status() : 0;
        m_record.write("worker " + m_options.id + ": leaves, core-" + std::to_string(called) + " answers "
                       + (status == 0 ? std::string("nothing") : std::to_string(status)));
        if (status / 100 == 2) {
            m_coordinator = called;
            return;
        }
    }
}

std::string Worker::announcement(const std::string &state)
{
    const std::scoped_lock lock(m_mutex);
    std::string text = R"({"service":")" + m_options.service + R"(","address":")" + m_options.address + R"(","zone":")" + m_options.zone
                       + R"(","version":"v1","slots":)" + std::to_string(m_options.slots) + R"(,"state":")" + state + R"(","cold-remaining-ms":0,"born":)"
                       + std::to_string(m_born) + R"(,"sequence":)" + std::to_string(++m_beat);
    if (m_options.isEngine) {
        text += R"(,"stage":"prefill_decode","models":[{"name":"m0","version":1,"adapters":[]}])";
    }
    return text + "}";
}

void Worker::announce(const std::string &state)
{
    const std::string text = announcement(state);
    const unsigned first = m_coordinator;
    for (unsigned attempt = 0; attempt < 3; ++attempt) {
        const unsigned called = (first + attempt) % 3;
        const auto answer = call(m_fleet.control(called), "PUT", "/mimosahollow/instances/" + m_options.id, text, 1.0);
        if (answer && answer->status() / 100 == 2) {
            m_coordinator = called;
            return;
        }
    }
}

std::vector<Run> Worker::runs()
{
    const std::scoped_lock lock(m_mutex);
    return m_runs;
}

const WorkerOptions &Worker::options() const
{
    return m_options;
}

void Worker::noteRun(const Message &request)
{
    const Run run{now(),
                  m_options.id,
                  request.header("attempt-id"),
                  request.method(),
                  request.target(),
                  request.body,
                  request.header("tenant"),
                  request.header("model"),
                  request.header("last-event-id")};
    m_record.write("worker " + m_options.id + ": runs " + run.id + " " + run.method + " " + run.target
                   + (run.lastEvent.empty() ? "" : " from event " + run.lastEvent));
    const std::scoped_lock lock(m_mutex);
    m_runs.push_back(run);
}

bool Worker::holds(const std::string &model)
{
    const std::size_t slash = model.find('/');
    if (slash == std::string::npos) {
        return model == "m0";
    }
    const std::scoped_lock lock(m_mutex);
    const auto found = m_adapters.find(model.substr(slash + 1));
    return found != m_adapters.end() && found->second.first <= now();
}

void Worker::order(Socket &socket, const Message &request)
{
    const std::scoped_lock lock(m_mutex);
    const std::string adapter = field(request.body, "adapter");
    const std::string expect = field(request.body, "expect");
    const bool isLoad = field(request.body, "operation") == "load";
    int status = 202;
    const auto held = m_adapters.find(adapter);
    const bool isNumbered = adapter.size() > 1 && adapter[0] == 'a' && adapter.find_first_not_of("0123456789", 1) == std::string::npos;
    if (!expect.empty() && std::stoul(expect) != m_sequence) {
        status = 409;
    } else if (adapter.empty()) {
        status = 200;
    } else if (!isNumbered || std::stoul(adapter.substr(1)) > 3000) {
        status = 400; // the order does not exist
    } else if (isLoad && held != m_adapters.end()) {
        status = 200;
    } else if (isLoad) {
        m_adapters[adapter] = {now() + m_options.loadSeconds, 1};
        ++m_sequence;
    } else if (held != m_adapters.end()) {
        m_adapters.erase(held);
        ++m_sequence;
        status = 200;
    } else {
        status = 200;
    }
    socket.send(headOf(status, "", 0));
}

void Worker::report(Socket &socket)
{
    std::string held;
    std::string coming;
    std::string text;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[name, state] : m_adapters) {
            if (state.first <= now()) {
                held += (held.empty() ? "\"" : ",\"") + name + "@1\"";
            } else {
                coming += (coming.empty() ? "\"m0/" : ",\"m0/") + name + "@1\"";
            }
        }
        text = R"({"stage":"prefill_decode","models":[{"name":"m0","version":1,"adapters":[)" + held + R"(]}],"coming":[)" + coming
               + R"(],"busy":false,"sequence":)" + std::to_string(m_sequence) + R"(,"waiting":0,"running":0,"kv-used":0,"kv-total":90000,"handles":0,"born":)"
               + std::to_string(m_born) + "}";
    }
    socket.send(headOf(200, "Content-Type: application/json\r\n", text.size()) + text);
}

void Worker::answerSoundly(Socket &socket, const Message &request)
{
    const std::string id = request.header("attempt-id");
    const std::string common = "Attempt-Id: " + id + "\r\nResponse-Signature: s." + m_options.id + "." + id + "\r\n";
    if (!m_options.isEngine) {
        sleepFor(m_options.workSeconds);
        const std::string body = "answer of " + m_options.id + " to " + id + "\n";
        // The answer to HEAD names the length of a body that does not follow.
        socket.send(headOf(200, common + "Content-Type: text/plain\r\n", body.size()) + (request.method() == "HEAD" ? std::string() : body));
        return;
    }
    unsigned first = 1;
    if (const std::string last = request.header("last-event-id"); !last.empty()) {
        first = static_cast<unsigned>(std::stoul(last)) + 1;
    }
    if (!socket.send("HTTP/1.1 200 OK\r\n" + common + "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return;
    }
    for (unsigned number = first; number <= m_options.events; ++number) {
        sleepFor(m_options.eventSeconds);
        const std::string event = "id: " + std::to_string(number) + "\ndata: " + m_options.id + " " + id + "\n\n";
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
        if (socket.isClosedByPeer() || !socket.send(size.data() + event + "\r\n")) {
            return;
        }
    }
    socket.send("0\r\n\r\n");
}

void Worker::serve(Socket socket)
{
    socket.setTimeout(30);
    const int descriptor = socket.descriptor();
    {
        const std::scoped_lock lock(m_mutex);
        m_connections.insert(descriptor);
    }
    serveRequests(socket);
    {
        const std::scoped_lock lock(m_mutex);
        m_connections.erase(descriptor);
        socket.close();
    }
    --m_serving;
}

void Worker::serveRequests(Socket &socket)
{
    while (auto request = socket.readMessage(false)) {
        if (m_isStopping) {
            socket.reset();
            return;
        }
        const std::string target = request->target();
        if (const std::string expected = request->header("expect-instance"); !expected.empty() && expected != m_options.id) {
            socket.send(headOf(421, "Not-Executed: 1\r\nAttempt-Id: " + request->header("attempt-id") + "\r\n", 0));
        } else if (target == "/mimosahollow/order") {
            order(socket, *request);
        } else if (target == "/mimosahollow/report") {
            report(socket);
        } else if (target == "/health") {
            socket.send(headOf(200, "Instance-Id: " + m_options.id + "\r\n", 0));
        } else if (m_options.isEngine && !holds(request->header("model"))) {
            socket.send(headOf(421, "Not-Executed: 1\r\nAttempt-Id: " + request->header("attempt-id") + "\r\n", 0));
        } else {
            noteRun(*request);
            answerSoundly(socket, *request);
        }
    }
}

std::string requestText(const std::string &method, const std::string &target, const std::string &headers, const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: review.example\r\n" + headers;
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::scoped_lock lock(mutex);
    std::array<char, 20> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
    return text.data();
}

std::string configuration(unsigned version, unsigned adapterSlots, const std::string &tenants)
{
    const auto route =
        [](const std::string &name, const std::string &kind, const std::string &service, unsigned timeout, unsigned aim, unsigned attempts, bool isResumable) {
            return R"({"name":"r-)" + name + R"(","host":"review.example","path-prefix":"/)" + name + R"(/","route-type":")" + kind + R"(","timeout-ms":)"
                   + std::to_string(timeout) + R"(,"target-latency-ms":)" + std::to_string(aim) + R"(,"priority":0,"service":")" + service
                   + R"(","max-attempts":)" + std::to_string(attempts) + R"(,"public":false,"sticky":)" + (service == "assist" ? "true" : "false")
                   + R"(,"resumable":)" + (isResumable ? "true" : "false") + R"(,"gap-aim-ms":300})";
        };
    const std::string both =
        R"({"name":"guild","api-keys":["key-guild"],"priority":1,"unit":"token_stream","plain-tokens":200,"rate-per-s":83229,"burst":83229})"
        R"(,{"name":"other","api-keys":["key-other"],"priority":1,"unit":"token_stream","plain-tokens":200,"rate-per-s":83229,"burst":83229})";
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("chat", "streaming", "assist", 12000, 600, 2, true) + ","
           + route("query", "streaming", "assist", 20000, 1000, 1, false) + "," + route("submit", "non_idempotent", "registry", 600, 100, 1, false) + ","
           + route("lookup", "idempotent", "registry", 600, 100, 2, false)
           + R"(],"services":[{"name":"assist","health-path":"/health","max-connections":360,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0,"engine":{"slots":64,"kv-capacity":135227,"kv-token-bytes":163840,"link-mbps":550000.0,"moves":true,"backups":true,"stride":7,"cap":12,"host-mb":150000.0,"disk-mb":440000.0,"pin-ms":4000.0,"hold-ms":2000.0,"handle_s":5.0,"models":[{"name":"m0","weights-mb":72700.0,"load-s":2.1,"adapters":3000,"adapter-mb":66.0,"warm-s":0.4,"disk-s":0.84}],"weights-mb":75800.0,"adapter-slots":)"
           + std::to_string(adapterSlots)
           + R"(,"loads-per-s":3.9}},{"name":"registry","health-path":"/health","max-connections":96,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[)"
           + (tenants.empty() ? both : tenants) + "]}";
}

} // namespace review

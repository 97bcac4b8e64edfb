#include "fleet.h"

#include "mimosahollow/control/signedbundle.h"
#include "mimosahollow/settings/keysecret.h"

#include <boost/json/serialize.hpp>

#include <array>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace mimosahollow::tests {

namespace {

// Below the 120 s after which the test runner kills the program, which would leave its child processes behind.
constexpr unsigned programSeconds = 110;
constexpr std::size_t maximumChildren = 64;
std::array<std::atomic<pid_t>, maximumChildren> children{};

void endOverdueProgram(int /*signal*/)
{
    for (const auto &child : children) {
        if (child > 0) {
            ::kill(child, SIGKILL);
        }
    }
    constexpr std::string_view message = "the test program took too long\n";
    static_cast<void>(!::write(STDERR_FILENO, message.data(), message.size()));
    ::_exit(EXIT_FAILURE);
}

std::unique_ptr<Process> startChild(std::vector<std::string> arguments)
{
    auto process = std::make_unique<Process>(std::move(arguments));
    for (auto &child : children) {
        pid_t none = 0;
        if (child.compare_exchange_strong(none, process->id())) {
            break;
        }
    }
    return process;
}

void forgetChild(pid_t id)
{
    for (auto &child : children) {
        child.compare_exchange_strong(id, 0);
    }
}

void killChild(std::unique_ptr<Process> &process)
{
    if (process) {
        process->signal(SIGKILL);
        forgetChild(process->id());
        process.reset();
    }
}

const std::string secretText(64, '7');
const std::string operatorKey = "mh-operator-7b20";
const std::string authorSeed(64, '1');
const std::string approverSeed(64, '2');

std::string publicKey(const std::string &seed)
{
    return settings::toHex(control::keyPairFromSeed(*settings::hashFromHex(seed)).publicKey);
}

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

std::string keyTable(const std::string &name, const std::string &organisation, const std::string &key)
{
    return "[[key]]\nname = " + quoted(name) + "\norganisation = " + quoted(organisation) + "\nhash = " + quoted(hashOf(key)) + "\n";
}

std::string adapterTable(const std::string &name, const std::string &version, bool isDefault, const std::string &organisation)
{
    return "[[adapter]]\nbase = \"base\"\nname = " + quoted(name) + "\nversion = " + quoted(version) + "\ndefault = " + (isDefault ? "true" : "false")
           + "\norganisations = [" + quoted(organisation) + "]\n";
}

std::string operatorTable(const std::string &name, const std::string &role, const std::string &keyHash, const std::string &seed)
{
    return "[[operator]]\nname = " + quoted(name) + "\nkey_hash = " + quoted(keyHash) + "\npublic_key = " + quoted(publicKey(seed)) + "\nroles = ["
           + quoted(role) + "]\n";
}

boost::json::value parsed(const std::string &text)
{
    boost::json::error_code error;
    return boost::json::parse(text, error);
}

} // namespace

std::string hashOf(const std::string &key)
{
    return settings::toHex(settings::hashKey(*settings::hashFromHex(secretText), key));
}

std::string modelCall(const std::string &key, const std::string &model, unsigned tokens, bool stream, const std::string &content)
{
    const std::string body = R"({"model":")" + model + R"(","messages":[{"role":"user","content":")" + content + R"("}],"max_tokens":)" + std::to_string(tokens)
                             + ",\"stream\":" + (stream ? "true" : "false") + "}";
    return request("POST", "/v1/chat/completions", body, "Authorization: Bearer " + key + "\r\n");
}

std::string serviceCall(const std::string &key, const std::string &idempotencyKey, const std::string &body)
{
    const std::string authorization = "Authorization: Bearer " + key + "\r\n";
    return idempotencyKey.empty() ? request("GET", "/registry/entries", {}, authorization)
                                  : request("POST", "/registry/entries", body, authorization + "Idempotency-Key: " + idempotencyKey + "\r\n");
}

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "mimosahollow-fleet-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
    }
    m_path = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    if (std::uncaught_exceptions() > 0) {
        std::cerr << "logs of the fleet: " << m_path << '\n';
        return;
    }
    std::error_code error;
    std::filesystem::remove_all(m_path, error);
}

std::string TemporaryFolder::write(const std::string &name, const std::string &text) const
{
    std::ofstream(file(name)) << text;
    return file(name);
}

Fleet::Fleet()
{
    static const bool guarded = std::signal(SIGALRM, endOverdueProgram) != SIG_ERR && ::alarm(programSeconds) == 0;
    static_cast<void>(guarded);
    for (const char *name : {"a1", "a2", "a3", "b1", "b2", "c1", "c2"}) {
        const std::string text(name);
        m_members.push_back({text, text.substr(0, 1), text[1] == '1', newAddress(), newAddress(), newAddress(), newAddress(), nullptr});
    }
    for (const char *domain : {"a", "b", "c"}) {
        m_backends.push_back({std::string(domain) + "-model", domain, false, newAddress(), nullptr});
        m_backends.push_back({std::string(domain) + "-registry", domain, true, newAddress(), nullptr});
    }
    m_folder.write("secret", secretText + "\n");
    m_folder.write("operatorkey", operatorKey + "\n");
    m_folder.write("authorseed", authorSeed + "\n");
    m_folder.write("approverseed", approverSeed + "\n");
    m_folder.write("operators.toml",
                   operatorTable("author", "author", hashOf(operatorKey), authorSeed)
                       + operatorTable("approver", "approver", hashOf("mh-other"), approverSeed));
    m_folder.write("bundle.toml", bundleText(1));
    for (Backend &backend : m_backends) {
        std::vector<std::string> arguments{"engine", "--name", backend.name, "--listen", backend.address, "--domain", backend.domain};
        arguments.insert(arguments.end(), {"--kind", backend.plain ? "registry" : "base", "--announce"});
        for (const Member &member : m_members) {
            if (member.domain == backend.domain) {
                arguments.push_back(member.backends);
            }
        }
        if (backend.plain) {
            arguments.emplace_back("--plain");
        }
        backend.process = startChild(arguments);
    }
    for (Member &member : m_members) {
        start(member);
    }
}

Fleet::~Fleet()
{
    for (Member &member : m_members) {
        killChild(member.process);
    }
    for (Backend &backend : m_backends) {
        killChild(backend.process);
    }
}

Member &Fleet::member(const std::string &name)
{
    for (Member &member : m_members) {
        if (member.name == name) {
            return member;
        }
    }
    throw std::runtime_error("no instance " + name);
}

void Fleet::start(Member &member)
{
    const std::string file = m_folder.write(member.name + ".toml", settingsText(member));
    member.process = member.hasRun ? startChild({"serve", "-s", file}) : startChild({"serve", "--found", "-s", file});
    member.hasRun = true;
}

void Fleet::kill(Member &member)
{
    killChild(member.process);
}

std::optional<int> Fleet::awaitExit(Member &member)
{
    const pid_t id = member.process->id();
    const auto code = member.process->awaitExit();
    forgetChild(id);
    member.process.reset();
    return code;
}

bool Fleet::awaitService()
{
    for (const Member &member : m_members) {
        const bool serves = !member.process || waitFor([&] {
            return HttpClient(member.callers).call(modelCall(northKey, "base")).status == 200
                   && HttpClient(member.callers).call(modelCall(northKey, "base:greeting@1")).status == 200
                   && HttpClient(member.callers).call(serviceCall(northKey)).status == 200;
        });
        if (!serves) {
            std::cerr << member.name << " does not serve\n";
            return false;
        }
    }
    return true;
}

std::optional<int> Fleet::command(const Member &member, std::vector<std::string> arguments) const
{
    arguments.insert(arguments.end(), {"--admin", member.admin, "--operator-key-file", m_folder.file("operatorkey")});
    Process process(std::move(arguments));
    return process.awaitExit();
}

std::optional<int> Fleet::submitBundle(const Member &member, const std::string &addition) const
{
    const std::string text = m_folder.write("second.toml", bundleText(2) + addition);
    const std::string packed = m_folder.file("second.bundle");
    Process pack(
        {"bundle", "pack", "--text", text, "--expected", "1", "--author", "author", "--signature-key-file", m_folder.file("authorseed"), "--out", packed});
    if (pack.awaitExit() != 0) {
        return std::nullopt;
    }
    Process sign({"bundle", "sign", "--bundle", packed, "--approver", "approver", "--signature-key-file", m_folder.file("approverseed")});
    return sign.awaitExit() == 0 ? command(member, {"bundle", "submit", packed}) : std::nullopt;
}

std::string Fleet::leader(const Member &member) const
{
    const Answer answer = HttpClient(member.admin).call(request("GET", "/admin/v1/status", {}, "Authorization: Bearer " + operatorKey + "\r\n"));
    boost::json::error_code error;
    const auto status = parsed(answer.body());
    const auto *name = status.find_pointer("/control/leader", error);
    return name != nullptr && name->is_string() ? std::string(name->get_string()) : std::string();
}

std::vector<SeenCall> Fleet::seenCalls(const std::string &domain) const
{
    std::vector<SeenCall> seen;
    for (const Backend &backend : m_backends) {
        if (!domain.empty() && backend.domain != domain) {
            continue;
        }
        const auto record = parsed(HttpClient(backend.address).call(request("GET", "/standin/calls")).body());
        for (const auto &call : record.at("calls").as_array()) {
            seen.push_back({std::string(call.at("adapter").as_string()), boost::json::serialize(call)});
        }
    }
    return seen;
}

std::vector<SeenCall> Fleet::seenCallsWith(const std::string &text) const
{
    std::vector<SeenCall> found;
    for (SeenCall &call : seenCalls()) {
        if (call.text.find(text) != std::string::npos) {
            found.push_back(std::move(call));
        }
    }
    return found;
}

std::size_t Fleet::received(const std::string &name) const
{
    for (const Backend &backend : m_backends) {
        if (backend.name == name) {
            return parsed(HttpClient(backend.address).call(request("GET", "/standin/calls")).body()).at("calls").as_array().size();
        }
    }
    throw std::runtime_error("no backend server " + name);
}

bool Fleet::stop()
{
    for (const Member &member : m_members) {
        if (member.process) {
            member.process->signal(SIGTERM);
        }
    }
    bool good = true;
    for (Member &member : m_members) {
        if (member.process) {
            good = awaitExit(member) == 0 && good;
        }
    }
    return good;
}

std::string Fleet::newAddress()
{
    std::string address = freeAddress();
    while (!m_addresses.insert(address).second) {
        address = freeAddress();
    }
    return address;
}

std::string Fleet::settingsText(const Member &member) const
{
    std::string seeds;
    for (const Member &other : m_members) {
        seeds += other.voter && other.name != member.name ? quoted(other.links) + ", " : "";
    }
    return "[instance]\nname = " + quoted(member.name) + "\nfailure_domain = " + quoted(member.domain)
           + (member.voter ? "\ndata_folder = " + quoted(m_folder.file(member.name)) : "") + "\n[listen]\ncallers = " + quoted(member.callers)
           + "\nbackends = " + quoted(member.backends) + "\nadmin = " + quoted(member.admin) + "\nlinks = " + quoted(member.links) + "\n[fleet]\nseeds = ["
           + seeds + "]\nvoters = [\"a1\", \"b1\", \"c1\"]\nkey_secret_file = " + quoted(m_folder.file("secret"))
           + "\n[admin]\noperators_file = " + quoted(m_folder.file("operators.toml")) + "\n[log]\nfile = " + quoted(m_folder.file(member.name + ".log"))
           + "\n[bootstrap]\nbundle_file = " + quoted(m_folder.file("bundle.toml")) + "\n";
}

std::string Fleet::bundleText(unsigned version) const
{
    std::string text = "version = " + std::to_string(version) + "\nbase_models = [\"base\"]\nload_rate = 50\nloads_in_flight = 24\n";
    for (const char *domain : {"a", "b", "c"}) {
        text += "[[domain]]\nname = " + quoted(domain) + "\nshare = 0.3\n";
    }
    for (const char *organisation : {"north", "south"}) {
        text += "[[organisation]]\nname = " + quoted(organisation) + "\nrate = 1000000\nburst = 1000000\nweight = 1\n";
    }
    text += keyTable("north-key", "north", northKey) + keyTable("second-north-key", "north", secondNorthKey) + keyTable("south-key", "south", southKey);
    text += adapterTable("greeting", "1", false, "north") + adapterTable("greeting", "2", version == 1, "north") + adapterTable("repair", "1", true, "south");
    text += "[[route]]\nprefix = \"/registry/\"\nservice = \"registry\"\nrepeatable = false\n";
    for (const Backend &backend : m_backends) {
        text += "[[server]]\nname = " + quoted(backend.name) + "\ndomain = " + quoted(backend.domain)
                + "\nkind = " + quoted(backend.plain ? "registry" : "base") + "\naddress = " + quoted(backend.address) + "\n";
    }
    return text;
}

} // namespace mimosahollow::tests

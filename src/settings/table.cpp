#include "table.h"

#include <array>

namespace mimosahollow::settings {

namespace {

constexpr std::array<std::string_view, 6> logLevels{"TRACE", "DEBUG", "INFO", "WARN", "ERROR", "OFF"};

using enum Presence;

const std::array entries{
    SettingEntry{"instance", "name", Required, TextRule{&Settings::instanceName, "", {}}, "Unique name of this instance in the fleet."},
    SettingEntry{"instance", "failure_domain", Required, TextRule{&Settings::failureDomain, "", {}}, "Failure domain that this instance belongs to."},
    SettingEntry{"instance", "data_folder", Optional, TextRule{&Settings::dataFolder, "", {}}, "Folder for durable state; required on voters."},

    SettingEntry{"listen", "callers", Required, TextRule{&Settings::callerAddress, "", {}, true}, "Address for callers."},
    SettingEntry{
        "listen", "backends", Optional, TextRule{&Settings::backendAddress, "", {}, true}, "Address for announcements and reports of backend servers."},
    SettingEntry{"listen", "admin", Optional, TextRule{&Settings::adminAddress, "", {}, true}, "Address of the admin API."},
    SettingEntry{"listen", "links", Optional, TextRule{&Settings::linkAddress, "", {}, true}, "Address for links between instances."},

    SettingEntry{"fleet", "seeds", Optional, ListRule{&Settings::seeds}, "Link addresses of instances to contact first."},
    SettingEntry{"fleet", "voters", Optional, ListRule{&Settings::voters}, "Names of the instances that hold the replicated log."},
    SettingEntry{"fleet",
                 "freshness_ms",
                 Optional,
                 DurationRule{&Settings::freshnessTime, 10'000, 1'000, 600'000},
                 "How long an instance that is cut off goes on accepting keys."},
    SettingEntry{
        "fleet", "key_secret_file", Optional, TextRule{&Settings::keySecretFile, "", {}}, "File with the fleet secret for key hashes (64 hexadecimal digits)."},

    SettingEntry{"admin", "operators_file", Optional, TextRule{&Settings::operatorsFile, "", {}}, "File with the operators; required with listen.admin."},

    SettingEntry{
        "tls", "certificate_file", Optional, TextRule{&Settings::certificateFile, "", {}}, "Certificate of this instance (PEM); required off loopback."},
    SettingEntry{"tls", "private_key_file", Optional, TextRule{&Settings::privateKeyFile, "", {}}, "Private key of this instance (PEM)."},
    SettingEntry{"tls", "authority_file", Optional, TextRule{&Settings::authorityFile, "", {}}, "Certificate of the fleet's authority (PEM)."},

    SettingEntry{"gateway", "threads", Optional, NumberRule<std::uint32_t>{&Settings::gatewayThreads, 2, 1, 64}, "Threads for network input and output."},
    SettingEntry{"gateway",
                 "ring_capacity",
                 Optional,
                 NumberRule<std::uint32_t>{&Settings::ringCapacity, 8192, 64, 1'048'576},
                 "Elements in each ring between threads."},
    SettingEntry{"gateway",
                 "maximum_connections",
                 Optional,
                 NumberRule<std::uint32_t>{&Settings::maximumConnections, 20'000, 1, 1'000'000},
                 "Open caller connections; further ones are closed at once."},
    SettingEntry{"gateway",
                 "maximum_head_bytes",
                 Optional,
                 NumberRule<std::uint64_t>{&Settings::maximumHeadBytes, 16'384, 1'024, 1'048'576},
                 "Size limit of a request head."},
    SettingEntry{"gateway",
                 "maximum_body_bytes",
                 Optional,
                 NumberRule<std::uint64_t>{&Settings::maximumBodyBytes, 1'048'576, 1'024, 67'108'864},
                 "Size limit of a request body."},
    SettingEntry{"gateway",
                 "head_timeout_ms",
                 Optional,
                 DurationRule{&Settings::headTimeout, 10'000, 100, 600'000},
                 "Time for a caller to send a whole request once it has begun."},
    SettingEntry{"gateway",
                 "idle_timeout_ms",
                 Optional,
                 DurationRule{&Settings::idleTimeout, 120'000, 100, 3'600'000},
                 "Time that a connection may stay open between requests."},
    SettingEntry{"gateway",
                 "request_deadline_ms",
                 Optional,
                 DurationRule{&Settings::requestDeadline, 60'000, 100, 3'600'000},
                 "Time limit of a model request, waiting included."},
    SettingEntry{"gateway",
                 "drain_timeout_ms",
                 Optional,
                 DurationRule{&Settings::drainTimeout, 90'000, 0, 3'600'000},
                 "Time for running requests to finish at shutdown."},

    SettingEntry{"log", "level", Optional, TextRule{&Settings::logLevel, "INFO", logLevels}, "Lowest level that is logged."},
    SettingEntry{"log", "file", Optional, TextRule{&Settings::logFile, "", {}}, "Log file; standard error when empty."},

    SettingEntry{"bootstrap", "bundle_file", Optional, TextRule{&Settings::bundleFile, "", {}}, "Bundle that a new, empty fleet starts from."},

    SettingEntry{"standin", "enabled", Optional, FlagRule{&Settings::standinEnabled, false}, "Runs a stand-in engine inside the process, for trials."},
    SettingEntry{"standin", "address", Optional, TextRule{&Settings::standinAddress, "127.0.0.1:8101", {}, true}, "Address of the stand-in engine."},
};

} // namespace

std::span<const SettingEntry> settingTable() noexcept
{
    return entries;
}

} // namespace mimosahollow::settings

#pragma once

#include "mimosahollow/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosahollow::settings {

/** Settings of one instance, read from one TOML file. The key of each field stands in the table in src/settings/table.cpp. */
struct Settings
{
    // [instance]
    std::string instanceName;
    std::string failureDomain;
    std::string dataFolder; /**< Empty: this instance has no disk. */

    // [listen]
    std::string callerAddress;
    std::string backendAddress;
    std::string adminAddress;
    std::string linkAddress;

    // [fleet]
    std::vector<std::string> seeds; /**< Link addresses of other instances. */
    std::vector<std::string> voters; /**< Names of the instances that vote. Empty: a fleet of one. */
    Duration freshnessTime{};
    std::string keySecretFile; /**< File with the fleet secret for key hashes. */

    // [admin]
    std::string operatorsFile;

    // [tls]
    std::string certificateFile;
    std::string privateKeyFile;
    std::string authorityFile;

    // [gateway]
    std::uint32_t gatewayThreads = 0;
    std::uint32_t ringCapacity = 0;
    std::uint32_t maximumConnections = 0;
    std::uint64_t maximumHeadBytes = 0;
    std::uint64_t maximumBodyBytes = 0;
    Duration headTimeout{};
    Duration idleTimeout{};
    Duration requestDeadline{};
    Duration drainTimeout{};

    // [log]
    std::string logLevel;
    std::string logFile; /**< Empty: standard error. */

    // [bootstrap]
    std::string bundleFile; /**< Bundle that a new, empty fleet starts from. */

    // [standin]
    bool standinEnabled = false; /**< Runs a stand-in engine inside the process, for trials. */
    std::string standinAddress;
};

} // namespace mimosahollow::settings

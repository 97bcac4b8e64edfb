#pragma once

#include "mimosahollow/control/configuration.h"

#include <cstdint>
#include <string>

namespace mimosahollow::serving {

/** Returns a configuration of four instances in two failure domains, each owning one pool with one server. */
inline control::Configuration makeFleetConfiguration()
{
    control::Configuration c;
    c.version = 1;
    c.baseModels = {"base"};
    c.domains = {{DomainId{1}, "a", 0.5, false}, {DomainId{2}, "b", 0.5, false}};
    c.organisations = {{OrganisationId{1}, "one", 1e5, 1e5, 1}, {OrganisationId{2}, "two", 1e5, 1e5, 1}};
    c.keys = {{"k1", KeyHash{1}, OrganisationId{1}}, {"k2", KeyHash{2}, OrganisationId{2}}};
    c.adapters = {{AdapterId{1}, "base", "greeting", "1", true, {OrganisationId{1}}},
                  {AdapterId{2}, "base", "greeting", "2", false, {OrganisationId{1}}},
                  {AdapterId{3}, "base", "other", "1", true, {OrganisationId{2}}}};
    c.routes = {{"/registry/", "registry", false, false, seconds(30), {OrganisationId{1}}}, {"/open/", "registry", true, true, seconds(30), {}}};
    for (std::uint32_t i = 1; i <= 4; ++i) {
        const DomainId domain{i <= 2 ? 1U : 2U};
        const std::string kind = i % 2 == 1 ? "base" : "registry";
        c.servers.push_back({ServerId{i}, "s" + std::to_string(i), domain, kind, "127.0.0.1:" + std::to_string(i), false});
        c.pools.push_back({PoolId{i}, domain, kind, InstanceId{i}, i});
        c.instances.push_back({InstanceId{i}, "i" + std::to_string(i), domain, "", i, 0});
    }
    c.bucketOwners = {{DomainId{1}, InstanceId{1}, 1}, {DomainId{2}, InstanceId{3}, 2}};
    return c;
}

} // namespace mimosahollow::serving

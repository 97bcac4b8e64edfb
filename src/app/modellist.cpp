#include "modellist.h"

#include "mimosahollow/control/configuration.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <sodium.h>

#include <algorithm>

namespace mimosahollow::app {

std::optional<std::string> modelList(const control::Configuration &configuration, const KeyHash &key)
{
    const auto owner = std::find_if(configuration.keys.begin(), configuration.keys.end(), [&key](const control::ApiKey &candidate) {
        return sodium_memcmp(candidate.hash.data(), key.data(), key.size()) == 0;
    });
    if (owner == configuration.keys.end()) {
        return std::nullopt;
    }
    boost::json::array models;
    for (const std::string &model : configuration.baseModels) {
        models.push_back(boost::json::object{{"id", model}, {"object", "model"}});
    }
    for (const control::Adapter &adapter : configuration.adapters) {
        const bool allowed = std::find(adapter.organisations.begin(), adapter.organisations.end(), owner->organisation) != adapter.organisations.end();
        if (allowed) {
            models.push_back(boost::json::object{{"id", adapter.baseModel + ":" + adapter.name + "@" + adapter.version}, {"object", "model"}});
        }
    }
    return boost::json::serialize(boost::json::object{{"object", "list"}, {"data", std::move(models)}});
}

} // namespace mimosahollow::app

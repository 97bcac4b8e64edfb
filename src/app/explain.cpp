#include "explain.h"

#include "admin/adminclient.h"
#include "adminoptions.h"
#include "commandline.h"
#include "exitcodes.h"
#include "httpio/querystring.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>

#include <iostream>

namespace mimosahollow::app {

namespace options = boost::program_options;
namespace json = boost::json;

namespace {

/** Prints the fields of @p object that are no arrays, on one line. */
void printFields(const json::object &object, const std::string &indent)
{
    std::cout << indent;
    for (const auto &[name, value] : object) {
        if (!value.is_array()) {
            std::cout << std::string_view(name.data(), name.size()) << '=' << (value.is_string() ? std::string(value.get_string()) : json::serialize(value))
                      << ' ';
        }
    }
    std::cout << '\n';
}

/** Prints each object on a line of its own, and those in its arrays indented below it. */
void printObject(const json::object &object, const std::string &indent)
{
    printFields(object, indent);
    for (const auto &[name, value] : object) {
        if (value.is_array()) {
            for (const json::value &item : value.get_array()) {
                printObject(item.as_object(), indent + "  ");
            }
        }
    }
}

} // namespace

int runExplain(const std::vector<std::string> &arguments)
{
    options::options_description description("mimosahollow explain: tells where an entry instance would send a call now, and why; nothing is sent");
    description.add_options()("help,h", "shows this text")("instance", options::value<std::string>()->required(), "IP:port of its metrics listener")(
        "host", options::value<std::string>()->required(), "host that the call names")("path", options::value<std::string>()->required(), "path of the call")(
        "organisation", options::value<std::string>(), "name of the organisation that calls")("model", options::value<std::string>(), "model of the call")(
        "adapter", options::value<std::string>(), "adapter of the model")("tokens", options::value<std::string>(), "tokens that the call may use")(
        "json", "prints the answer as JSON");
    options::variables_map values;
    if (!parseCommandLine(description, {}, arguments, values)) {
        return Success;
    }
    httpio::QueryFields fields;
    for (const char *name : {"host", "path", "organisation", "model", "adapter", "tokens"}) {
        if (values.count(name) > 0) {
            fields[name] = values[name].as<std::string>();
        }
    }
    const admin::AdminResult result = admin::adminGet({values["instance"].as<std::string>(), {}}, "/explain" + httpio::formatQuery(fields));
    const auto *answer = std::get_if<admin::AdminAnswer>(&result);
    if (answer == nullptr || !isOk(*answer)) {
        return reportAnswer(result);
    }
    if (values.count("json") > 0) {
        std::cout << answer->body << '\n';
    } else {
        printObject(json::parse(answer->body).as_object(), "");
    }
    return Success;
}

} // namespace mimosahollow::app

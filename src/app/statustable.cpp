#include "statustable.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <span>
#include <string_view>
#include <vector>

namespace mimosahollow::app {

namespace json = boost::json;

namespace {

std::string cellText(const json::value *value)
{
    if (value == nullptr || value->is_null()) {
        return "-";
    }
    if (value->is_double()) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%g", value->get_double());
        return text.data();
    }
    return value->is_string() ? std::string(value->get_string()) : json::serialize(*value);
}

void appendRow(std::string &text, std::span<const std::string> cells, std::span<const std::size_t> widths)
{
    for (std::size_t i = 0; i < cells.size(); ++i) {
        text += cells[i];
        if (i + 1 < cells.size()) {
            text.append(widths[i] - cells[i].size() + 2, ' ');
        }
    }
    text += '\n';
}

std::string table(std::string_view title, std::span<const std::string_view> columns, const json::array &rows)
{
    std::vector<std::vector<std::string>> cells;
    cells.emplace_back(columns.begin(), columns.end());
    for (const json::value &row : rows) {
        std::vector<std::string> line;
        for (const std::string_view column : columns) {
            line.push_back(row.is_object() ? cellText(row.get_object().if_contains(column)) : "-");
        }
        cells.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto &line : cells) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    std::string text = "\n" + std::string(title) + "\n";
    for (const auto &line : cells) {
        appendRow(text, line, widths);
    }
    return text;
}

json::array arrayAt(const json::value &value, std::string_view pointer)
{
    json::error_code error;
    const json::value *found = value.find_pointer(pointer, error);
    return found != nullptr && found->is_array() ? found->get_array() : json::array();
}

std::string textAt(const json::value &value, std::string_view pointer)
{
    json::error_code error;
    return cellText(value.find_pointer(pointer, error));
}

json::array allServers(const json::array &pools)
{
    json::array servers;
    for (const json::value &pool : pools) {
        for (const json::value &server : arrayAt(pool, "/servers")) {
            servers.push_back(server);
        }
    }
    return servers;
}

} // namespace

std::string statusTable(const std::string &statusJson)
{
    json::error_code error;
    const json::value status = json::parse(statusJson, error);
    if (error) {
        return "the status cannot be read: " + error.message() + "\n";
    }
    constexpr std::string_view controlColumns[] = {"leader", "configuration_version", "log_index", "fresh", "relay", "upstream"};
    constexpr std::string_view domainColumns[] = {"name", "share", "out"};
    constexpr std::string_view instanceColumns[] = {"name", "failure_domain", "alive", "leader"};
    constexpr std::string_view poolColumns[] = {"failure_domain", "kind", "owner", "fencing", "in_service", "free_slots", "waiting"};
    constexpr std::string_view serverColumns[] = {"name", "announced", "in_service", "running", "limit", "adapters", "adapter_slots"};
    constexpr std::string_view organisationColumns[] = {"name", "rate", "burst", "weight"};
    const json::array pools = arrayAt(status, "/serving/pools");
    json::array control;
    if (const json::value *found = status.find_pointer("/control", error)) {
        control.push_back(*found);
    }
    return "instance " + textAt(status, "/instance") + "\n" + table("control state", controlColumns, control)
           + table("failure domains", domainColumns, arrayAt(status, "/domains")) + table("instances", instanceColumns, arrayAt(status, "/instances"))
           + table("pools", poolColumns, pools) + table("backend servers of pools owned here", serverColumns, allServers(pools))
           + table("organisations", organisationColumns, arrayAt(status, "/organisations"));
}

std::string bundleStatus(const std::string &statusJson)
{
    json::error_code error;
    const json::value status = json::parse(statusJson, error);
    if (error) {
        return "the status cannot be read: " + error.message() + "\n";
    }
    return "version in force: " + textAt(status, "/control/configuration_version") + "\nlog index: " + textAt(status, "/control/log_index")
           + "\nfresh: " + textAt(status, "/control/fresh") + "\n";
}

} // namespace mimosahollow::app

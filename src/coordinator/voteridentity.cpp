#include "voteridentity.h"

#include <algorithm>
#include <optional>
#include <span>
#include <sstream>

namespace mimosahollow::coordinator {

namespace {

constexpr const char *fileName = "identity";
constexpr const char *temporaryName = "identity.new";

std::string toText(const VoterIdentity &identity)
{
    std::ostringstream text;
    text << "voter " << static_cast<std::uint32_t>(identity.id) << '\n';
    for (const control::Member &member : identity.initialMembers) {
        text << "member " << static_cast<std::uint32_t>(member.id) << ' ' << member.address << '\n';
    }
    text << "end\n"; // a file without this line was written only in part
    return text.str();
}

std::optional<VoterIdentity> fromText(const std::string &text)
{
    std::istringstream lines(text);
    VoterIdentity identity;
    std::string word;
    while (lines >> word) {
        if (word == "end") {
            return identity.id == control::VoterId{} ? std::nullopt : std::optional(identity);
        }
        std::uint32_t id = 0;
        lines >> id;
        if (word == "voter") {
            identity.id = static_cast<control::VoterId>(id);
        } else if (word == "member") {
            std::string address;
            lines >> address;
            identity.initialMembers.push_back({static_cast<control::VoterId>(id), address, false});
        }
    }
    return std::nullopt;
}

std::string failure(const storage::FileStatus &status)
{
    const auto *error = std::get_if<storage::FileError>(&status);
    return error == nullptr ? std::string() : error->message;
}

/** Writes a temporary file and renames it, so that a file with the final name is complete. Returns an error message, empty on success. */
std::string store(storage::FileSystem &files, const std::string &folder, const std::string &text)
{
    const std::string temporary = folder + "/" + temporaryName;
    auto opened = files.openAppend(temporary);
    if (const auto *error = std::get_if<storage::FileError>(&opened)) {
        return error->message;
    }
    auto &file = *std::get<std::unique_ptr<storage::AppendFile>>(opened);
    std::span<const std::uint8_t> rest(reinterpret_cast<const std::uint8_t *>(text.data()), text.size());
    while (!rest.empty()) {
        const auto written = file.write(rest);
        if (const auto *error = std::get_if<storage::FileError>(&written)) {
            return error->message;
        }
        rest = rest.subspan(std::get<std::size_t>(written));
    }
    for (const std::string &problem : {failure(file.sync()), failure(files.rename(temporary, folder + "/" + fileName)), failure(files.syncFolder(folder))}) {
        if (!problem.empty()) {
            return problem;
        }
    }
    return {};
}

} // namespace

std::variant<VoterIdentity, std::string> loadOrCreateIdentity(storage::FileSystem &files, const std::string &folder, const VoterIdentity &newIdentity)
{
    if (auto problem = failure(files.makeFolder(folder)); !problem.empty()) {
        return problem;
    }
    const auto names = files.list(folder);
    if (const auto *error = std::get_if<storage::FileError>(&names)) {
        return error->message;
    }
    const auto &list = std::get<std::vector<std::string>>(names);
    if (std::find(list.begin(), list.end(), temporaryName) != list.end()) {
        if (auto problem = failure(files.remove(folder + "/" + temporaryName)); !problem.empty()) {
            return problem;
        }
    }
    if (std::find(list.begin(), list.end(), fileName) != list.end()) {
        const auto bytes = files.read(folder + "/" + fileName);
        if (const auto *error = std::get_if<storage::FileError>(&bytes)) {
            return error->message;
        }
        const auto &content = std::get<std::vector<std::uint8_t>>(bytes);
        if (auto identity = fromText({content.begin(), content.end()})) {
            return *identity;
        }
        return std::string("the identity file is damaged: it is truncated or has no voter id");
    }
    if (auto problem = store(files, folder, toText(newIdentity)); !problem.empty()) {
        return problem;
    }
    return newIdentity;
}

} // namespace mimosahollow::coordinator

#include "adminoptions.h"

#include "commandline.h"
#include "exitcodes.h"

#include <iostream>

namespace mimosahollow::app {

namespace options = boost::program_options;

namespace {

constexpr unsigned statusOk = 200;

} // namespace

options::options_description adminOptions(const std::string &title)
{
    options::options_description description(title);
    description.add_options()("help,h", "shows this text")("admin", options::value<std::string>()->default_value("127.0.0.1:8090"), "address of the admin API")(
        "operator-key-file", options::value<std::string>()->required(), "file with the operator's key");
    return description;
}

admin::AdminTarget adminTarget(const options::variables_map &values)
{
    return {values["admin"].as<std::string>(), readWord(values["operator-key-file"].as<std::string>())};
}

int reportAnswer(const admin::AdminResult &result)
{
    if (const auto *failure = std::get_if<admin::AdminFailure>(&result)) {
        std::cerr << failure->message << '\n';
        return failure->sent ? OutcomeUnknown : NotDone;
    }
    const auto &answer = std::get<admin::AdminAnswer>(result);
    (isOk(answer) ? std::cout : std::cerr) << answer.body;
    return isOk(answer) ? Success : NotDone;
}

bool isOk(const admin::AdminAnswer &answer) noexcept
{
    return answer.status == statusOk;
}

} // namespace mimosahollow::app

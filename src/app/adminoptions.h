#pragma once

#include "admin/adminclient.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <string>

namespace mimosahollow::app {

/** Description with the options of every command that talks to the admin API. */
[[nodiscard]] boost::program_options::options_description adminOptions(const std::string &title);

[[nodiscard]] admin::AdminTarget adminTarget(const boost::program_options::variables_map &values);

/** Prints the answer, or why there is none. Returns the exit code. */
[[nodiscard]] int reportAnswer(const admin::AdminResult &result);

/** Whether the answer says that the request was carried out. */
[[nodiscard]] bool isOk(const admin::AdminAnswer &answer) noexcept;

} // namespace mimosahollow::app

#pragma once

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>

#include <string>
#include <vector>

namespace mimosahollow::app {

/** Parses @p arguments into @p values. Prints the help and returns false when it is asked for. */
[[nodiscard]] bool parseCommandLine(const boost::program_options::options_description &description,
                                    const boost::program_options::positional_options_description &positional,
                                    const std::vector<std::string> &arguments,
                                    boost::program_options::variables_map &values);

/** Whole content of @p file. Throws std::runtime_error. */
[[nodiscard]] std::string readFile(const std::string &file);

/** First word of @p file, for keys. Throws std::runtime_error. */
[[nodiscard]] std::string readWord(const std::string &file);

} // namespace mimosahollow::app

#include "commandline.h"

#include <boost/program_options/parsers.hpp>

#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace mimosahollow::app {

namespace options = boost::program_options;

bool parseCommandLine(const options::options_description &description,
                      const options::positional_options_description &positional,
                      const std::vector<std::string> &arguments,
                      options::variables_map &values)
{
    options::store(options::command_line_parser(arguments).options(description).positional(positional).run(), values);
    if (values.count("help") != 0) {
        std::cout << description << '\n';
        return false;
    }
    options::notify(values);
    return true;
}

std::string readFile(const std::string &file)
{
    const std::ifstream input(file, std::ios::binary);
    if (!input) {
        throw std::runtime_error("cannot open " + file);
    }
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

std::string readWord(const std::string &file)
{
    std::istringstream text(readFile(file));
    std::string word;
    if (!(text >> word)) {
        throw std::runtime_error(file + " is empty");
    }
    return word;
}

} // namespace mimosahollow::app

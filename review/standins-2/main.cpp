#include "cases.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>

#include <sys/resource.h>

/** Usage: standins CASE PROGRAM RECORD. TROUBLE=0 in the environment leaves out the disruption. */
int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    rlimit descriptors{};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    const std::map<std::string, int (*)(const review::CaseOptions &)> cases{{"hostile-adapters", review::hostileAdapters},
                                                                            {"hostile-headers", review::hostileHeaders},
                                                                            {"hostile-fields", review::hostileFields},
                                                                            {"late-departure", review::lateDeparture},
                                                                            {"head-requests", review::headRequests}};
    const auto found = argc == 4 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: standins CASE PROGRAM RECORD\n";
        return review::couldNotRun;
    }
    const char *trouble = std::getenv("TROUBLE");
    try {
        return found->second({argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"});
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return review::couldNotRun;
    }
}

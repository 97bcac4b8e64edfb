#include "scene.h"

#include <sys/resource.h>

namespace review {

namespace {

constexpr unsigned connectionsPerEntry = 1100; // an entry instance with 4,100 descriptors takes 1,950
constexpr unsigned fieldsPerRequest = 4000; // of four bytes each, so that the head stays below the limit of 16,384 bytes
constexpr rlim_t neededDescriptors = 3 * connectionsPerEntry + 200;
constexpr double holdSeconds = 4;
constexpr double calmSeconds = 4;
constexpr double troubleSeconds = 30;

/** Opens many connections and sends on each a head and a part of the body; no key is sent. */
void holdRequests(Scene &scene, unsigned entry, std::atomic<unsigned> &opened)
{
    std::string request = "POST /lookup/x HTTP/1.1\r\nHost: review.example\r\nContent-Length: 10\r\n";
    for (unsigned field = 0; field < fieldsPerRequest; ++field) {
        request += "a:\r\n";
    }
    request += "\r\n12345";
    while (!scene.isOver()) {
        std::vector<Socket> held;
        for (unsigned number = 0; number < connectionsPerEntry && !scene.isOver(); ++number) {
            Socket socket = connectTo(scene.fleet.front(entry), 2);
            if (!socket.isOpen() || !socket.send(request)) {
                break;
            }
            held.push_back(std::move(socket));
            ++opened;
        }
        const double until = now() + (held.empty() ? 0.2 : holdSeconds);
        while (now() < until && !scene.isOver() && (held.empty() || !held.back().isClosedByPeer())) {
            sleepFor(0.05);
        }
    }
}

} // namespace

int hostileFields(const CaseOptions &options)
{
    Scene scene(options, false);
    rlimit descriptors{};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    if (descriptors.rlim_cur < neededDescriptors) {
        scene.record.write("this process may open too few descriptors");
        return couldNotRun;
    }
    if (!scene.start()) {
        return couldNotRun;
    }
    const double calm = now();
    sleepFor(calmSeconds);
    const double trouble = now();
    std::atomic<unsigned> opened{0};
    for (unsigned entry = 0; options.hasTrouble && entry < 3; ++entry) {
        scene.addThread([&scene, &opened, entry] {
            holdRequests(scene, entry, opened);
        });
    }
    sleepFor(troubleSeconds);
    const double over = now();
    scene.end();
    const Tally before = scene.tally(calm, trouble);
    const Tally during = scene.tally(trouble, over);
    scene.record.write("ordinary requests before: " + toText(before));
    scene.record.write("ordinary requests then: " + toText(during) + "; connections with many fields: " + std::to_string(opened));
    for (const Machine *machine : scene.fleet.machines()) {
        scene.record.write(machine->name + ": peak " + std::to_string(static_cast<int>(machine->peakMb)) + " MB of " + std::to_string(machine->limits.memoryMb)
                           + ", ended for its memory " + std::to_string(machine->kills) + " times, ended " + std::to_string(machine->ends) + " times");
    }
    if (before.served == 0) {
        return couldNotRun;
    }
    return machinesOverMemory(scene.fleet, 3) >= 2 ? ruleBroken : ruleHeld;
}

} // namespace review

#include "scene.h"

namespace review {

namespace {

constexpr unsigned connectionsPerEntry = 20;
constexpr std::size_t nameBytes = 15'000; // with the other headers below the limit of 16,384 bytes
constexpr double calmSeconds = 5;
constexpr double troubleSeconds = 25;

void askForUnknownAdapters(Scene &scene, unsigned entry, std::atomic<unsigned> &sent)
{
    const std::string filler(nameBytes, 'x');
    Socket socket;
    while (!scene.isOver()) {
        if (!socket.isOpen()) {
            socket = connectTo(scene.fleet.front(entry), 2);
            if (!socket.isOpen()) {
                sleepFor(0.05);
                continue;
            }
        }
        const std::string id = newId();
        const std::string headers =
            "Attempt-Id: " + id + "\r\nModel: m0/" + id + filler + "\r\nToken-Count: 1,0\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer key-other\r\n";
        const auto answer = socket.send(requestText("POST", "/chat/2f", headers, "")) ? socket.readMessage(true) : std::nullopt;
        ++sent;
        if (!answer || answer->header("connection") == "close") {
            socket.close();
        }
    }
}

} // namespace

int hostileAdapters(const CaseOptions &options)
{
    Scene scene(options, true);
    if (!scene.start()) {
        return couldNotRun;
    }
    const double calm = now();
    sleepFor(calmSeconds);
    const double trouble = now();
    std::atomic<unsigned> sent{0};
    for (unsigned number = 0; options.hasTrouble && number < 3 * connectionsPerEntry; ++number) {
        scene.addThread([&scene, &sent, number] {
            askForUnknownAdapters(scene, number % 3, sent);
        });
    }
    sleepFor(troubleSeconds);
    const double over = now();
    scene.end();
    const Tally before = scene.tally(calm, trouble);
    const Tally during = scene.tally(trouble, over);
    scene.record.write("ordinary requests before: " + toText(before));
    scene.record.write("ordinary requests then: " + toText(during) + "; requests for unknown adapters: " + std::to_string(sent));
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

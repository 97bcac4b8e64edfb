#include "scene.h"

namespace review {

namespace {

constexpr unsigned connectionsPerEntry = 20;
constexpr unsigned namesInConnection = 7'500; // of two bytes each, so that the head stays below the limit of 16,384 bytes
constexpr unsigned trailerFields = 11'000; // of four bytes each
constexpr double calmSeconds = 4;
constexpr double troubleSeconds = 20;

void sendManyFields(Scene &scene, unsigned entry, std::atomic<unsigned> &sent)
{
    std::string names;
    for (unsigned name = 0; name < namesInConnection; ++name) {
        names += "b,";
    }
    std::string trailer;
    for (unsigned field = 0; field < trailerFields; ++field) {
        trailer += "a:\r\n";
    }
    Socket socket;
    while (!scene.isOver()) {
        if (!socket.isOpen()) {
            socket = connectTo(scene.fleet.front(entry), 10);
            if (!socket.isOpen()) {
                sleepFor(0.05);
                continue;
            }
        }
        const std::string id = newId();
        const std::string head = "POST /lookup/" + id + " HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: " + id
                                 + "\r\nDeadline-Ms: 600\r\nAuthorization: Bearer key-other\r\nConnection: " + names
                                 + "b\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
        const auto answer = socket.send(head + trailer + "\r\n") ? socket.readMessage(true) : std::nullopt;
        ++sent;
        if (!answer || answer->header("connection") == "close") {
            socket.close();
        }
    }
}

} // namespace

int hostileHeaders(const CaseOptions &options)
{
    Scene scene(options, false);
    if (!scene.start()) {
        return couldNotRun;
    }
    const double calm = now();
    sleepFor(calmSeconds);
    const double trouble = now();
    std::atomic<unsigned> sent{0};
    for (unsigned number = 0; options.hasTrouble && number < 3 * connectionsPerEntry; ++number) {
        scene.addThread([&scene, &sent, number] {
            sendManyFields(scene, number % 3, sent);
        });
    }
    sleepFor(troubleSeconds);
    const double over = now();
    scene.end();
    const Tally before = scene.tally(calm, trouble);
    // The requests under way when the trouble begins belong to neither.
    const Tally during = scene.tally(trouble + 1, over);
    scene.record.write("ordinary requests before: " + toText(before));
    scene.record.write("ordinary requests then: " + toText(during) + "; requests with many fields: " + std::to_string(sent));
    scene.record.write("without an answer at the timeout of the route: " + std::to_string(during.lateAtTimeout)
                       + ", of these half a second later: " + std::to_string(during.lateAfterwards));
    if (before.served == 0 || before.lateAtTimeout > before.asked / 20) {
        return couldNotRun;
    }
    const bool isLate = during.lateAtTimeout >= 20 && during.lateAfterwards * 2 > during.lateAtTimeout;
    const bool isStarved = during.unanswered * 2 > during.asked;
    return isLate && isStarved ? ruleBroken : ruleHeld;
}

} // namespace review

#include "scene.h"

namespace review {

namespace {

constexpr unsigned pairs = 10;
constexpr double patienceSeconds = 3;

/** What a client sees that sends a request and, on the same connection, a GET. */
struct Pair
{
    std::string first; /**< Status line of the first answer; empty: none. */
    std::string second; /**< First line where the second answer is due; empty: none. */
};

Pair askTwice(Scene &scene, const std::string &method, unsigned entry)
{
    const auto text = [](const std::string &name) {
        const std::string id = newId();
        return requestText(name, "/lookup/" + id, "Attempt-Id: " + id + "\r\nDeadline-Ms: 600\r\nAuthorization: Bearer key-guild\r\n", "");
    };
    Pair pair;
    Socket socket = connectTo(scene.fleet.front(entry), patienceSeconds);
    if (!socket.isOpen() || !socket.send(text(method))) {
        return pair;
    }
    // No body follows the head of an answer to HEAD, whatever length it names.
    const auto first = method == "HEAD" ? socket.readHead() : socket.readMessage(true);
    if (!first) {
        return pair;
    }
    pair.first = first->start;
    if (first->header("connection") == "close" || !socket.send(text("GET"))) {
        return pair;
    }
    const std::string bytes = socket.readSome();
    pair.second = bytes.substr(0, std::min(bytes.find("\r\n"), std::size_t{100}));
    return pair;
}

} // namespace

int headRequests(const CaseOptions &options)
{
    Scene scene(options, false);
    if (!scene.start()) {
        return couldNotRun;
    }
    const std::string method = options.hasTrouble ? "HEAD" : "GET";
    unsigned unserved = 0;
    unsigned mixed = 0;
    for (unsigned number = 0; number < pairs; ++number) {
        const Pair pair = askTwice(scene, method, number % 3);
        const bool isServed = pair.first.starts_with("HTTP/1.1 200");
        const bool isMixed = !pair.second.empty() && !pair.second.starts_with("HTTP/1.1 ");
        unserved += isServed ? 0 : 1;
        mixed += isMixed ? 1 : 0;
        scene.record.write(method + " is answered '" + pair.first + "'; where the answer to the next request is due stands '" + pair.second + "'");
    }
    scene.end();
    scene.record.write(std::to_string(pairs) + " requests " + method + ": " + std::to_string(unserved) + " not served, " + std::to_string(mixed)
                       + " followed by bytes that are no answer");
    return mixed > 0 ? ruleBroken : ruleHeld;
}

} // namespace review

#pragma once

#include <string>
#include <vector>

namespace mimosahollow::ingress {

/** Names of the headers that an entry instance reads or sets. Callers and backend servers agree on them, not this program. */
struct HeaderNames
{
    std::string callId; /**< Echoed by the backend server. */
    std::string deadline; /**< Milliseconds that the caller waits. */
    std::string model; /**< "model" or "model/adapter". */
    std::string tokenCounts; /**< "prompt,output". */
    std::string lastEventId; /**< Event after which a stream goes on. */
    std::string responseSignature; /**< Proof of a backend server that the answer is its own. */
    std::string notRun; /**< The backend server has not run the call. */
    std::string organisation; /**< Set for backend servers. */
    std::string expectedServer; /**< Id of the backend server that may run the call. */
    std::string expectedVersion; /**< Version of the adapter that the call needs. */
    std::string priority; /**< 0 to 9. */
    std::vector<std::string> reserved; /**< Others that only the system may set; those of callers are dropped. */
};

} // namespace mimosahollow::ingress

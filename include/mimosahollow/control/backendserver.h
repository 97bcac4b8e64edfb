#pragma once

#include "mimosahollow/core/ids.h"

#include <string>

namespace mimosahollow::control {

/** A backend server that the operators have declared. One that announces itself without a declaration gets no work. */
struct BackendServer
{
    ServerId id{};
    std::string name;
    DomainId domain{};
    std::string kind; /**< Name of the base model or of the plain service. */
    std::string address; /**< "IP:port". */
    bool outOfService = false; /**< Taken out of service by an operator. */

    friend bool operator==(const BackendServer &, const BackendServer &) = default;
};

} // namespace mimosahollow::control

#pragma once

#include "mimosahollow/core/ids.h"

#include <string>

namespace mimosahollow::control {

/** A backend server declared in the configuration. Servers that announce themselves without being declared receive no requests. */
struct BackendServer
{
    ServerId id{};
    std::string name;
    DomainId domain{};
    std::string kind; /**< Name of the base model or plain service that it runs. */
    std::string address; /**< "IP:port". */
    bool outOfService = false; /**< Set by the bundle or by an operator. */

    friend bool operator==(const BackendServer &, const BackendServer &) = default;
};

} // namespace mimosahollow::control

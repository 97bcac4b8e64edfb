#pragma once

#include "mimosahollow/gateway/backendorder.h"
#include "mimosahollow/gateway/servingevent.h"
#include "mimosahollow/rings/boundedring.h"

#include <memory>

namespace mimosahollow::gateway {

class OrderLoop;

/** Sends orders to backend servers on a thread of its own; results arrive in the dispatch ring. */
class OrderSender
{
public:
    explicit OrderSender(BoundedRing<ServingEvent> &dispatchRing);
    ~OrderSender();
    OrderSender(const OrderSender &) = delete;
    OrderSender &operator=(const OrderSender &) = delete;

    void start();
    void stop();
    /** Returns false when too many orders are under way; the order was not sent. */
    [[nodiscard]] bool send(BackendOrder order);

private:
    std::unique_ptr<OrderLoop> m_loop;
};

} // namespace mimosahollow::gateway

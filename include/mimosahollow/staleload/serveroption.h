#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace mimosahollow::staleload {

/** A server that can take a call. */
struct ServerOption
{
    double cost = 0; /**< Of a call sent to it, as far as is known. */
    double costPerCall = 0; /**< By which each call that it gets raises this cost; above 0. */
};

/**
 * The chance of each server, in the order of @p options, with which a call is sent to it while other instances choose by the same costs.
 *
 * @param arrivals calls that they have sent to these servers since the costs were known.
 */
[[nodiscard]] std::vector<double> chances(std::span<const ServerOption> options, double arrivals);

/**
 * Chooses a server by these chances.
 *
 * @param arrivals calls that they have sent to these servers since the costs were known.
 * @param draw random number from 0 up to, but not including, 1.
 * @return its place in @p options, which must not be empty.
 */
[[nodiscard]] std::size_t chooseServer(std::span<const ServerOption> options, double arrivals, double draw);

} // namespace mimosahollow::staleload

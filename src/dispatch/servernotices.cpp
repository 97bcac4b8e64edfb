#include "mimosahollow/dispatch/servernotices.h"

#include <algorithm>
#include <random>

namespace mimosahollow::dispatch {

namespace {

/** The instances return to a server at different times within this span after its silence, or within its length if that is shorter. */
constexpr Duration returnSpread = milliseconds(250);

/** Null if another incarnation is known: the answer of an earlier one says nothing about it. */
ServerView *findIncarnation(DispatchState &state, const std::string &server, std::uint64_t born)
{
    const auto found = state.servers.find(server);
    return found == state.servers.end() || found->second.record.born != born ? nullptr : &found->second;
}

} // namespace

bool leavingStated(DispatchState &state, const std::string &server, std::uint64_t born)
{
    ServerView *view = findIncarnation(state, server, born);
    if (view == nullptr || view->isLeaving) {
        return false;
    }
    view->isLeaving = true;
    return true;
}

bool silenceRequested(DispatchState &state, const std::string &server, std::uint64_t born, Duration silence, TimePoint now)
{
    ServerView *view = findIncarnation(state, server, born);
    if (view == nullptr || now + silence <= view->silentUntil) {
        return false;
    }
    const double spread = std::uniform_real_distribution<double>(0, toSeconds(std::min(silence, returnSpread)))(state.random);
    view->silentUntil = now + silence + fromSeconds(spread);
    return true;
}

} // namespace mimosahollow::dispatch

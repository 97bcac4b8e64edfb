#include "mimosahollow/dispatch/servernotices.h"

#include <algorithm>
#include <random>
#include <utility>

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

LoadNotice ignoreLoad(ServerView &view)
{
    return std::exchange(view.localPace.isProblemLogged, true) ? LoadNotice::Ignored : LoadNotice::IgnoredFirst;
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

LoadNotice loadStated(DispatchState &state, const std::string &server, std::uint64_t born, const std::optional<serverpace::StatedLoad> &load, TimePoint now)
{
    ServerView *view = findIncarnation(state, server, born);
    if (view == nullptr) {
        return LoadNotice::Ignored;
    }
    if (!load) {
        return ignoreLoad(*view);
    }
    view->localPace.stated = *load;
    view->localPace.statedAt = now;
    return LoadNotice::Applied;
}

LoadNotice loadNotStated(DispatchState &state, const std::string &server, std::uint64_t born)
{
    // A server that has never stated its load does not need to.
    ServerView *view = findIncarnation(state, server, born);
    return view == nullptr || view->localPace.statedAt == TimePoint{} ? LoadNotice::Ignored : ignoreLoad(*view);
}

void answerAwaited(DispatchState &state, const std::string &server, TimePoint sentAt)
{
    if (const auto found = state.servers.find(server); found != state.servers.end()) {
        found->second.localPace.awaited.push_back(sentAt);
    }
}

void answerEnded(DispatchState &state, const std::string &server, TimePoint sentAt, bool isSound, TimePoint now)
{
    const auto found = state.servers.find(server);
    if (found == state.servers.end()) {
        return;
    }
    auto &awaited = found->second.localPace.awaited;
    // The time is absent if the server has begun a new incarnation.
    if (const auto position = std::find(awaited.begin(), awaited.end(), sentAt); position != awaited.end()) {
        awaited.erase(position);
    }
    if (isSound) {
        serverpace::recordAnswer(state.services[found->second.record.service].usualAnswer, now - sentAt);
    }
}

} // namespace mimosahollow::dispatch

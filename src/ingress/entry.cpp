#include "ingress/entry.h"

#include "fleetlink/bootclock.h"
#include "gateway/callerwatch.h"
#include "httpio/httplistener.h"
#include "ingress/callersession.h"
#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <limits>

namespace mimosahollow::ingress {

namespace asio = boost::asio;

namespace {

using Clock = std::chrono::steady_clock;

} // namespace

/** A call that waits for a backend server. */
struct Entry::Waiter
{
    explicit Waiter(asio::io_context &context) : timer(context)
    {
    }
    const dispatch::Call *call = nullptr;
    asio::steady_timer timer;
    std::optional<ServerChoice> choice;
    TimePoint until{};
};

struct Entry::TokenWaiter
{
    explicit TokenWaiter(asio::io_context &context) : timer(context)
    {
    }
    asio::steady_timer timer;
    std::string organisation;
    double tokens = 0;
    unsigned replies = 0; // of the leader since the wait began
    std::optional<bool> granted;
    bool isAbandoned = false;
};

Entry::Entry(asio::io_context &context, EntrySettings settings, catalog::CatalogDecoder decodeCatalog)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_decodeCatalog(std::move(decodeCatalog))
    , m_acceptor(context)
    , m_reportTimer(context)
    , m_pumpTimer(context)
    , m_stopTimer(context)
    , m_lameDuckTimer(context)
    , m_upstream(context, {m_settings.connectTimeout, m_settings.lossTimeout})
    , m_metrics(1)
{
    m_dispatch.options = m_settings.dispatch;
    m_wallet.options = m_settings.wallet;
    m_dispatch.random.seed(static_cast<std::minstd_rand::result_type>(std::hash<std::string>{}(m_settings.name)));
}

Entry::~Entry() = default;

std::string Entry::start()
{
    if (auto problem = httpio::listen(m_acceptor, m_settings.address); !problem.empty()) {
        return problem;
    }
    fleetlink::LinkHubOptions options;
    options.self = {m_settings.name, {}, m_settings.domain, {}};
    m_hub = std::make_unique<fleetlink::LinkHub>(m_context,
                                                 options,
                                                 fleetlink::LinkHubEvents{[this](const fleetlink::Peer &peer) {
                                                                              linkOpened(peer);
                                                                          },
                                                                          [](const fleetlink::Peer &) {},
                                                                          [this](const fleetlink::Peer &peer, fleetlink::LinkMessage message) {
                                                                              linkMessage(peer, std::move(message));
                                                                          },
                                                                          [](const fleetlink::Peer &, std::span<const std::uint8_t>) {}});
    if (auto problem = m_hub->start(); !problem.empty()) {
        return problem;
    }
    setSeeds(m_settings.seeds);
    asio::co_spawn(m_context, acceptCallers(), asio::detached);
    scheduleReport(Clock::now());
    return {};
}

void Entry::setSeeds(const std::vector<std::string> &seeds)
{
    for (const std::string &seed : seeds) {
        m_hub->dial(seed);
    }
}

asio::awaitable<void> Entry::acceptCallers()
{
    for (;;) {
        asio::ip::tcp::socket socket(m_context);
        const auto [error] = co_await m_acceptor.async_accept(socket, asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            observability::logWarning("listener of callers: " + error.message());
            continue;
        }
        asio::co_spawn(m_context, serveCaller(*this, std::move(socket)), asio::detached);
    }
}

void Entry::stop(std::function<void()> stopped)
{
    m_stopping = true;
    m_stopSince = Clock::now();
    m_stopped = std::move(stopped);
    m_stopTimer.expires_after(m_settings.drainTime);
    m_stopTimer.async_wait([this](boost::system::error_code error) {
        if (!error && m_stopped) {
            observability::logWarning("drain time is over with " + std::to_string(m_sessions) + " connections open");
            std::exchange(m_stopped, nullptr)();
        }
    });
    m_lameDuckTimer.expires_after(m_settings.lameDuck);
    m_lameDuckTimer.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        for (boost::beast::tcp_stream *stream : m_idle) {
            stream->close();
        }
        checkStopped();
    });
}

std::list<boost::beast::tcp_stream *>::iterator Entry::noteIdle(boost::beast::tcp_stream &stream)
{
    return m_idle.insert(m_idle.end(), &stream);
}

void Entry::noteBusy(std::list<boost::beast::tcp_stream *>::iterator place)
{
    m_idle.erase(place);
}

bool Entry::isReady() const
{
    return !m_stopping && m_dispatch.catalog != nullptr && isCurrent();
}

std::string Entry::metricsText() const
{
    return m_metrics.text();
}

const EntrySettings &Entry::settings() const noexcept
{
    return m_settings;
}

asio::io_context &Entry::context() noexcept
{
    return m_context;
}

dispatch::DispatchState &Entry::dispatchState() noexcept
{
    return m_dispatch;
}

gateway::UpstreamConnections &Entry::upstream() noexcept
{
    return m_upstream;
}

observability::ThreadMetrics &Entry::metrics() noexcept
{
    return m_metrics.thread(0);
}

const std::shared_ptr<const catalog::CatalogIndex> &Entry::catalog() const noexcept
{
    return m_dispatch.catalog;
}

Duration Entry::stateAge() const
{
    return m_confirmedAt == 0 ? Duration::max() : Duration(milliseconds(fleetlink::bootMilliseconds() - m_confirmedAt));
}

bool Entry::isCurrent() const
{
    return stateAge() < m_settings.freshness;
}

bool Entry::isStopping() const noexcept
{
    return m_stopping;
}

bool Entry::isLameDuckOver() const
{
    return m_stopping && Clock::now() - m_stopSince >= m_settings.lameDuck;
}

void Entry::sessionOpened()
{
    ++m_sessions;
    metrics().setConnections(static_cast<std::uint32_t>(m_sessions));
}

void Entry::sessionClosed()
{
    --m_sessions;
    metrics().setConnections(static_cast<std::uint32_t>(m_sessions));
    checkStopped();
}

void Entry::checkStopped()
{
    if (m_stopping && m_sessions == 0 && isLameDuckOver() && m_stopped) {
        m_stopTimer.cancel();
        std::exchange(m_stopped, nullptr)();
    }
}

// Links

void Entry::linkOpened(const fleetlink::Peer &peer)
{
    if (peer.dialedAddress == m_leader) {
        sendReport(Clock::now());
    }
}

void Entry::linkMessage(const fleetlink::Peer &peer, fleetlink::LinkMessage message)
{
    const TimePoint now = Clock::now();
    if (const auto *known = std::get_if<fleetlink::Coordinators>(&message)) {
        for (const std::string &address : known->addresses) {
            m_hub->dial(address);
        }
        if (!known->leader.empty() && known->leader != m_leader) {
            observability::DecisionLine line("leader-known");
            line.add("leader", known->leader).add("before", m_leader).add("source", peer.hello.name);
            observability::logDecision(line.text());
            m_leader = known->leader;
            m_sendsHistory = true;
            m_hub->dial(m_leader);
            sendReport(now);
        }
    } else if (const auto *update = std::get_if<fleetlink::ServerUpdate>(&message)) {
        for (const registry::ServerRecord &record : update->servers) {
            if (dispatch::noteServer(m_dispatch, record, now)) {
                observability::DecisionLine line("server");
                line.add("id", record.id).add("state", static_cast<std::uint64_t>(record.state)).add("address", record.address);
                line.add("sequence", record.sequence).add("source", peer.hello.name);
                observability::logDecision(line.text());
            }
        }
        postPump();
    } else if (auto *state = std::get_if<fleetstate::FleetState>(&message)) {
        takeState(std::move(*state));
    } else if (const auto *reply = std::get_if<fleetlink::LeaderReply>(&message)) {
        takeReply(*reply);
    } else if (const auto *placement = std::get_if<fleetlink::PlacementUpdate>(&message)) {
        dispatch::notePlacement(m_dispatch, *placement, now);
        postPump();
    }
}

void Entry::takeState(fleetstate::FleetState state)
{
    if (state.index < m_state.index) {
        return;
    }
    if (!state.catalogText) {
        if (state.catalogVersion != m_state.catalogVersion) {
            observability::logError("state without its catalog: version " + std::to_string(state.catalogVersion));
            return;
        }
        state.catalogText = m_state.catalogText;
    }
    const bool isNewCatalog = !m_dispatch.catalog || state.catalogVersion != m_state.catalogVersion;
    m_state = std::move(state);
    if (isNewCatalog && m_state.catalogText) {
        auto decoded = m_decodeCatalog(*m_state.catalogText);
        if (auto *catalog = std::get_if<catalog::Catalog>(&decoded)) {
            m_dispatch.catalog = std::make_shared<const catalog::CatalogIndex>(std::make_shared<const catalog::Catalog>(std::move(*catalog)));
        } else {
            observability::logError("the catalog of the leader cannot be read: " + std::get<catalog::CatalogProblem>(decoded).message);
        }
    }
    m_state.catalogText.reset(); // the index holds what is needed
    m_dispatch.evacuatedDomains = m_state.evacuatedDomains;
    m_dispatch.adapterVersions = m_state.adapterVersions;
    observability::DecisionLine line("state");
    line.add("index", m_state.index).add("catalog", m_state.catalogVersion).add("evacuated", m_state.evacuatedDomains.size());
    observability::logDecision(line.text());
    postPump();
}

void Entry::takeReply(const fleetlink::LeaderReply &reply)
{
    const TimePoint now = Clock::now();
    m_confirmedAt = std::max(m_confirmedAt, static_cast<std::int64_t>(reply.stamp));
    m_dispatch.entries = std::max(1U, reply.entries);
    boundIdleConnections();
    m_dispatch.adapterLoad = milliseconds(reply.loadMilliseconds);
    m_sendsHistory = reply.wantsHistory;
    for (boost::asio::steady_timer *waiter : std::exchange(m_stateWaiters, {})) {
        waiter->cancel();
    }
    for (const fleetlink::NamedNumber &tokens : reply.tokens) {
        allowance::deposit(m_wallet, tokens.name, tokens.value, now);
    }
    for (auto &[id, server] : m_dispatch.servers) {
        server.othersRunning = 0;
    }
    for (const fleetlink::NamedNumber &running : reply.running) {
        if (const auto server = m_dispatch.servers.find(running.name); server != m_dispatch.servers.end()) {
            server->second.othersRunning = static_cast<unsigned>(running.value);
        }
    }
    for (TokenWaiter *waiter : m_tokenWaiters) {
        if (waiter->granted) {
            continue;
        }
        waiter->replies += reply.grantsTokens ? 1 : 0;
        if (allowance::spend(m_wallet, waiter->organisation, waiter->tokens, now)) {
            waiter->granted = true;
            waiter->timer.cancel();
        } else if (waiter->replies >= 2) {
            // The first reply may answer a report from before the wait.
            waiter->granted = false;
            waiter->timer.cancel();
        }
    }
    postPump();
}

/** All instances together keep at most half of the connections that a backend server accepts; the rest is for calls that open new ones. */
void Entry::boundIdleConnections()
{
    if (!m_dispatch.catalog) {
        return;
    }
    std::size_t limit = std::numeric_limits<std::size_t>::max();
    for (const catalog::ServiceSpec &service : m_dispatch.catalog->catalog().services) {
        if (service.maximumConnections > 0) {
            limit = std::min<std::size_t>(limit, service.maximumConnections / (2 * m_dispatch.entries));
        }
    }
    m_upstream.setIdleLimit(limit);
}

void Entry::scheduleReport(TimePoint at)
{
    if (m_reportAt != TimePoint{} && m_reportAt <= at && m_reportAt > m_lastReport) {
        return;
    }
    m_reportAt = at;
    m_reportTimer.expires_at(at);
    m_reportTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            sendReport(Clock::now());
        }
    });
}

fleetlink::AdapterDemand &Entry::demandOf(const std::string &model, const std::string &adapter, const std::string &service)
{
    fleetlink::AdapterDemand &demand = m_demand[{model, adapter}];
    demand.model = model;
    demand.adapter = adapter;
    demand.service = service;
    return demand;
}

/** Load pattern: refused callers return after the time they were told; without this they would start the same wait again. */
void Entry::addReturning(TimePoint now)
{
    std::erase_if(m_returning, [now](const auto &item) {
        return now >= item.second.until;
    });
    for (const auto &[key, calls] : m_returning) {
        fleetlink::AdapterDemand &demand = demandOf(key.first, key.second, calls.service);
        demand.waiting = std::max(demand.waiting, 1U);
    }
}

/** Tells a new leader what was spent, so that its window starts where the earlier one ended. */
void Entry::addHistory(fleetlink::EntryReport &report, TimePoint now) const
{
    report.hasHistory = true;
    for (const auto &[organisation, purse] : m_wallet.purses) {
        for (const allowance::Spending &spending : allowance::history(m_wallet, purse, now)) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - spending.begin).count();
            report.spent.push_back({organisation, spending.tokens, static_cast<unsigned>(age)});
        }
    }
}

void Entry::sendReport(TimePoint now)
{
    m_lastReport = now;
    m_reportAt = {};
    bool isBusy = !m_waiters.empty() || !m_tokenWaiters.empty();
    if (const fleetlink::Peer *leader = m_hub->findDialed(m_leader)) {
        fleetlink::EntryReport report;
        report.stamp = static_cast<std::uint64_t>(fleetlink::bootMilliseconds());
        for (auto &[organisation, purse] : m_wallet.purses) {
            // A leader that does not know of a grant must not take it back.
            if (const double expired = allowance::takeExpired(m_wallet, purse, now); expired > 0 && !m_sendsHistory) {
                report.returned.push_back({organisation, expired});
            }
            purse.missing = 0;
            for (const TokenWaiter *waiter : m_tokenWaiters) {
                purse.missing += waiter->organisation == organisation && !waiter->granted ? waiter->tokens : 0;
            }
            if (const double wish = allowance::wish(m_wallet, purse, now); wish >= 1) {
                report.tokenWishes.push_back({organisation, wish});
            }
        }
        if (m_sendsHistory) {
            addHistory(report, now);
            for (const auto &[key, calls] : m_running) {
                demandOf(key.first, key.second, calls.service);
            }
        }
        for (const auto &[id, server] : m_dispatch.servers) {
            if (now < server.avoidUntil) {
                report.unreachable.push_back(id);
            }
            if (server.running > 0) {
                report.running.push_back({id, static_cast<double>(server.running)});
                isBusy = true;
            }
        }
        for (const Waiter *waiter : m_waiters) {
            if (!waiter->call->model.empty() && !waiter->choice) {
                fleetlink::AdapterDemand &demand = demandOf(waiter->call->model, waiter->call->adapter, waiter->call->service);
                ++demand.waiting;
                demand.inTime += now + m_settings.adapterLoad <= waiter->call->objectiveEnd ? 1 : 0;
            }
        }
        addReturning(now);
        for (auto demand = m_demand.begin(); demand != m_demand.end();) {
            const auto running = m_running.find(demand->first);
            demand->second.running = running == m_running.end() ? 0 : running->second.calls;
            report.demand.push_back(demand->second);
            // One more report tells the leader that the wait is over.
            if (demand->second.waiting == 0) {
                demand = m_demand.erase(demand);
            } else {
                demand->second.waiting = 0;
                demand->second.inTime = 0;
                demand->second.started = 0;
                ++demand;
            }
        }
        m_hub->send(leader->number, report);
    }
    scheduleReport(now + (isBusy ? m_settings.reportInterval : m_settings.idleReportInterval));
}

asio::awaitable<bool> Entry::waitForState(gateway::CallerWatch &watch)
{
    if (m_dispatch.catalog && isCurrent()) {
        co_return true;
    }
    asio::steady_timer timer(m_context, m_settings.stateWait);
    m_stateWaiters.push_back(&timer);
    watch.setInterrupt([&timer] {
        timer.cancel();
    });
    if (!watch.callerLeft()) {
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    watch.clearInterrupt();
    std::erase(m_stateWaiters, &timer);
    co_return m_dispatch.catalog &&isCurrent();
}

// Tokens

asio::awaitable<TokenOutcome> Entry::takeTokens(const catalog::OrganisationSpec &organisation, double tokens, gateway::CallerWatch &watch)
{
    if (organisation.ratePerSecond <= 0) {
        co_return TokenOutcome::Taken;
    }
    const TimePoint now = Clock::now();
    allowance::noteDemand(m_wallet, organisation.name, tokens, now);
    const bool othersWait = std::any_of(m_tokenWaiters.begin(), m_tokenWaiters.end(), [&organisation](const TokenWaiter *other) {
        return other->organisation == organisation.name && !other->granted;
    });
    if (!othersWait && allowance::spend(m_wallet, organisation.name, tokens, now)) {
        co_return TokenOutcome::Taken;
    }
    TokenWaiter waiter(m_context);
    waiter.organisation = organisation.name;
    waiter.tokens = tokens;
    waiter.timer.expires_after(m_settings.tokenWait);
    const auto place = m_tokenWaiters.insert(m_tokenWaiters.end(), &waiter);
    watch.setInterrupt([&waiter] {
        waiter.isAbandoned = true;
        waiter.timer.cancel();
    });
    scheduleReport(now + m_settings.urgentReportDelay);
    if (!waiter.isAbandoned) {
        co_await waiter.timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    watch.clearInterrupt();
    m_tokenWaiters.erase(place);
    if (!waiter.granted) {
        co_return TokenOutcome::NoLeader;
    }
    co_return *waiter.granted ? TokenOutcome::Taken : TokenOutcome::OverRate;
}

void Entry::giveBackTokens(const std::string &organisation, double tokens)
{
    allowance::giveBack(m_wallet, organisation, tokens);
}

// Choice of a backend server

asio::awaitable<ServerChoice> Entry::chooseServer(const dispatch::Call &call, gateway::CallerWatch &watch)
{
    const TimePoint now = Clock::now();
    dispatch::Decision decision = dispatch::decide(m_dispatch, call, now);
    Waiter waiter(m_context);
    if (const auto *send = std::get_if<dispatch::Send>(&decision)) {
        dispatch::started(m_dispatch, send->server, now);
        waiter.choice = *send;
    } else if (const auto *refuse = std::get_if<dispatch::Refuse>(&decision)) {
        waiter.choice = *refuse;
    } else {
        const auto &wait = std::get<dispatch::Wait>(decision);
        waiter.call = &call;
        waiter.until = wait.until;
        waiter.timer.expires_at(TimePoint::max());
        const auto isLessUrgent = [&call](const Waiter *other) {
            return std::tie(other->call->priority, other->call->arrived) > std::tie(call.priority, call.arrived);
        };
        const auto place = m_waiters.insert(std::find_if(m_waiters.begin(), m_waiters.end(), isLessUrgent), &waiter);
        metrics().setWaitingCalls(m_waiters.size());
        watch.setInterrupt([&waiter] {
            if (!waiter.choice) {
                waiter.choice = CallerGone{};
                waiter.timer.cancel();
            }
        });
        if (wait.cause == dispatch::RefusalCause::AdapterNotLoaded) {
            scheduleReport(now + m_settings.urgentReportDelay);
        }
        postPump();
        if (!waiter.choice) {
            co_await waiter.timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        watch.clearInterrupt();
        m_waiters.erase(place);
        metrics().setWaitingCalls(m_waiters.size());
    }
    if (!waiter.choice) {
        waiter.choice = dispatch::Refuse{dispatch::RefusalCause::NoCapacity, seconds(1)};
    }
    if (std::holds_alternative<dispatch::Send>(*waiter.choice) && !call.model.empty()) {
        ++demandOf(call.model, call.adapter, call.service).started;
        auto &running = m_running[{call.model, call.adapter}];
        running.service = call.service;
        ++running.calls;
    }
    if (const auto *refuse = std::get_if<dispatch::Refuse>(&*waiter.choice); refuse != nullptr && refuse->cause == dispatch::RefusalCause::AdapterNotLoaded) {
        m_returning[{call.model, call.adapter}] = {call.service, now + refuse->retryAfter + m_settings.returnMargin};
    }
    co_return *waiter.choice;
}

void Entry::callEnded(const std::string &server, const dispatch::Call &call, dispatch::CallResult result)
{
    if (const auto running = m_running.find({call.model, call.adapter}); running != m_running.end()) {
        // The leader hears of it with the next report.
        demandOf(call.model, call.adapter, call.service);
        if (--running->second.calls == 0) {
            m_running.erase(running);
        }
    }
    dispatch::ended(m_dispatch, server, result, Clock::now());
    if (!m_waiters.empty()) {
        postPump();
    }
}

void Entry::noteMissing(const std::string &server, const dispatch::Call &call)
{
    dispatch::noteMissing(m_dispatch, server, call, Clock::now());
}

void Entry::postPump()
{
    if (m_pumpPosted) {
        return;
    }
    m_pumpPosted = true;
    asio::post(m_context, [this] {
        m_pumpPosted = false;
        pump();
    });
}

/** Decides anew on all waiting calls, the most urgent first. */
void Entry::pump()
{
    const TimePoint now = Clock::now();
    TimePoint next = TimePoint::max();
    for (Waiter *waiter : m_waiters) {
        if (waiter->choice) {
            continue;
        }
        const dispatch::Decision decision = dispatch::decide(m_dispatch, *waiter->call, now);
        if (const auto *send = std::get_if<dispatch::Send>(&decision)) {
            dispatch::started(m_dispatch, send->server, now);
            waiter->choice = *send;
            waiter->timer.cancel();
        } else if (const auto *refuse = std::get_if<dispatch::Refuse>(&decision)) {
            waiter->choice = *refuse;
            waiter->timer.cancel();
        } else {
            next = std::min(next, std::get<dispatch::Wait>(decision).until);
        }
    }
    if (next != TimePoint::max()) {
        m_pumpTimer.expires_at(next);
        m_pumpTimer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                pump();
            }
        });
    }
}

void Entry::countRequest(const std::string &service)
{
    admission::RetryBudget &budget = m_dispatch.retryBudgets[service];
    budget.ratio = m_settings.retryRatio;
    const double reserve = std::max(1.0, m_settings.retryReserve / m_dispatch.entries);
    if (budget.reserve != reserve) {
        budget.reserve = reserve;
        budget.balance = std::min(budget.balance, reserve);
    }
    admission::countRequest(budget);
}

bool Entry::takeRetry(const std::string &service)
{
    return admission::takeRetry(m_dispatch.retryBudgets[service]);
}

} // namespace mimosahollow::ingress

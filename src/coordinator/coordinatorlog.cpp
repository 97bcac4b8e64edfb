#include "coordinator/coordinatorinternal.h"

#include "mimosahollow/link/controlcodec.h"
#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosahollow::coordinator {

namespace asio = boost::asio;

namespace {

using Clock = std::chrono::steady_clock;

// Entries and bytes after which a snapshot is taken. A configuration may be hundreds of kilobytes, so both limits are needed to bound
// the log in memory and on a disk of 128 MB.
constexpr control::LogIndex snapshotEntries = 64;
constexpr std::size_t snapshotBytes = std::size_t{2} << 20;

} // namespace

void Coordinator::consensusMessage(const fleetlink::Peer &peer, std::span<const std::uint8_t> bytes)
{
    const auto decoded = link::decodeConsensusMessage(bytes);
    if (const auto *error = std::get_if<link::CodecError>(&decoded)) {
        observability::logWarning("cannot decode consensus message from " + peer.hello.name + ": " + error->message);
        return;
    }
    control::ConsensusActions actions;
    control::receive(*m_consensus, peer.hello.voter, std::get<control::ConsensusMessage>(decoded), Clock::now(), actions);
    executeActions(std::move(actions));
}

void Coordinator::executeActions(control::ConsensusActions actions)
{
    for (control::ConsensusAction &action : actions) {
        executeAction(action);
    }
}

void Coordinator::executeAction(control::ConsensusAction &action)
{
    if (const auto *message = std::get_if<control::SendToVoter>(&action)) {
        send(*message);
    } else if (auto *vote = std::get_if<control::SaveVote>(&action)) {
        m_storage->write(*vote);
    } else if (auto *append = std::get_if<control::AppendLog>(&action)) {
        membershipChanged();
        m_storage->write(std::move(*append));
    } else if (auto *truncate = std::get_if<control::TruncateLog>(&action)) {
        m_storage->write(*truncate);
    } else if (auto *compact = std::get_if<control::CompactLog>(&action)) {
        m_storage->write(*compact);
    } else if (const auto *snapshot = std::get_if<control::InstallSnapshot>(&action)) {
        installSnapshot(*snapshot);
    } else if (const auto *apply = std::get_if<control::ApplyEntries>(&action)) {
        applyEntries(apply->entries);
    } else if (std::holds_alternative<control::LostLeadership>(action)) {
        loseLeadership();
    } else if (const auto *confirmed = std::get_if<control::ReadConfirmed>(&action)) {
        finishRead(confirmed->readId, true);
    } else if (const auto *rejected = std::get_if<control::ReadRejected>(&action)) {
        finishRead(rejected->readId, false);
    }
}

void Coordinator::send(const control::SendToVoter &message)
{
    // Looks up the connection by voter id, not in the member list: a joining voter does not know the members yet but has to answer
    // the leader. If there is no connection the message is dropped; the consensus protocol resends it.
    if (const fleetlink::Peer *peer = m_hub->findVoter(message.to)) {
        m_hub->sendEncoded(peer->number, link::MessageKind::Consensus, std::make_shared<const control::Bytes>(link::encode(message.message)));
    }
}

void Coordinator::applyEntries(const std::vector<control::LogEntry> &entries)
{
    bool changedAny = false;
    for (const control::LogEntry &entry : entries) {
        bool changed = false;
        bool isForEntries = true; // entry instances and the placement need no duties, which change every few seconds
        m_state.index = entry.index;
        if (entry.kind == control::EntryKind::Command && entry.payload) {
            m_bytesSinceSnapshot += entry.payload->size();
            const auto decoded = fleetstate::decodeCommand(*entry.payload);
            if (const auto *command = std::get_if<fleetstate::FleetCommand>(&decoded)) {
                changed = fleetstate::apply(m_state, entry.index, *command);
                isForEntries = command->kind < fleetstate::CommandKind::TakeDuty;
                observability::DecisionLine line("change-applied");
                line.add("index", entry.index).add("term", entry.term).add("kind", static_cast<std::uint64_t>(command->kind));
                line.add("subject", command->subject).add("version", command->version).add("changed", changed ? "yes" : "no");
                observability::logDecision(line.text());
            } else {
                observability::logError("log entry " + std::to_string(entry.index) + " holds no command that this version can decode; skipping it");
            }
        }
        changedAny = changedAny || (changed && isForEntries);
        if (m_consensus->role == control::VoterRole::Leader && entry.term == m_consensus->term && !m_isLeading) {
            becomeLeader(entry.term);
        }
        finishChange(entry.index, entry.term, changed);
    }
    if (changedAny) {
        stateChanged();
    }
    takeSnapshot();
}

void Coordinator::installSnapshot(const control::InstallSnapshot &snapshot)
{
    auto decoded = fleetstate::decodeSnapshot(*snapshot.data);
    if (const auto *error = std::get_if<fleetstate::FleetStateError>(&decoded)) {
        observability::logError("snapshot received from the leader cannot be decoded: " + error->message);
        control::snapshotRejected(*m_consensus);
        return;
    }
    m_state = std::get<fleetstate::FleetState>(std::move(decoded));
    m_snapshotIndex = snapshot.point.index;
    m_bytesSinceSnapshot = 0;
    stateChanged();
    m_storage->write(control::StoreSnapshot{snapshot.write, snapshot.point, snapshot.data, true});
}

void Coordinator::takeSnapshot()
{
    const bool isDue = m_state.index >= m_snapshotIndex + snapshotEntries || (m_bytesSinceSnapshot >= snapshotBytes && m_state.index > m_snapshotIndex);
    if (!isDue) {
        return;
    }
    m_snapshotIndex = m_state.index;
    m_bytesSinceSnapshot = 0;
    auto data = std::make_shared<const control::Bytes>(fleetstate::encodeSnapshot(m_state));
    m_storage->write(control::StoreSnapshot{0, control::snapshotPoint(*m_consensus, m_state.index), std::move(data), false});
}

void Coordinator::storageReported(storage::StorageEvent event)
{
    control::ConsensusActions actions;
    const TimePoint now = Clock::now();
    if (const auto *synced = std::get_if<storage::StorageSynced>(&event)) {
        control::logSynced(*m_consensus, synced->write, now, actions);
    } else if (auto *stored = std::get_if<storage::SnapshotStored>(&event)) {
        if (stored->replacesLog) {
            control::snapshotInstalled(*m_consensus, stored->index, now, actions);
        } else {
            control::snapshotTaken(*m_consensus, stored->index, std::move(stored->data), actions);
        }
    } else if (const auto *refused = std::get_if<storage::StorageRefused>(&event)) {
        observability::logError("the disk refuses writes, so that this coordinator acknowledges nothing until it takes them: " + refused->error.message);
        control::storageSuspended(*m_consensus, now, actions);
    } else if (std::holds_alternative<storage::StorageResumed>(event)) {
        observability::logInfo("the disk takes writes again");
        control::storageResumed(*m_consensus, now);
    } else if (const auto *failed = std::get_if<storage::StorageFailed>(&event)) {
        observability::logError("this coordinator acknowledges nothing any more: " + failed->error.message);
        control::storageSuspended(*m_consensus, now, actions);
        if (storageFailed) {
            storageFailed(failed->error.message);
        }
    }
    m_storage->flush();
    executeActions(std::move(actions));
}

asio::awaitable<ChangeResult> Coordinator::change(fleetstate::FleetCommand command)
{
    control::ConsensusActions actions;
    const auto payload = std::make_shared<const control::Bytes>(fleetstate::encodeCommand(command));
    const TimePoint now = Clock::now();
    const auto proposed = control::propose(*m_consensus, std::span(&payload, 1), now, actions);
    if (const auto *rejected = std::get_if<control::ProposalRejected>(&proposed)) {
        ++m_counters.changesFailed;
        if (rejected->error == control::ProposalError::NotLeader) {
            co_return NotLeader{leaderLink()};
        }
        co_return Unavailable{std::string(control::toString(rejected->error))};
    }
    const auto accepted = std::get<control::ProposalAccepted>(proposed);
    auto pending = std::make_shared<PendingChange>(m_context);
    pending->term = accepted.term;
    pending->timer.expires_after(m_settings.changeTimeout);
    m_changes[accepted.index] = pending;
    executeActions(std::move(actions));
    if (!pending->changed && !pending->isLost) {
        const auto alive = m_alive;
        const auto [error] = co_await pending->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!*alive) {
            co_return Unavailable{"the coordinator has stopped"};
        }
        if (!error) {
            // The change may still be committed. The caller learns that the outcome is unknown and resends it.
            if (const auto found = m_changes.find(accepted.index); found != m_changes.end() && found->second == pending) {
                m_changes.erase(found);
            }
        }
    }
    if (pending->changed) {
        ++m_counters.changes;
        co_return Committed{*pending->changed};
    }
    ++m_counters.changesFailed;
    co_return Unavailable{pending->isLost ? "the leadership was lost" : "no majority has confirmed the change in time"};
}

void Coordinator::finishChange(control::LogIndex index, control::Term term, bool changed)
{
    const auto found = m_changes.find(index);
    if (found == m_changes.end()) {
        return;
    }
    if (found->second->term == term) {
        found->second->changed = changed;
    } else {
        found->second->isLost = true;
    }
    found->second->timer.cancel();
    m_changes.erase(found);
}

asio::awaitable<ReadResult> Coordinator::read()
{
    if (!leads()) {
        if (m_consensus->role == control::VoterRole::Leader) {
            co_return Unavailable{"the leader does not know yet what is committed"};
        }
        co_return NotLeader{leaderLink()};
    }
    control::ConsensusActions actions;
    const std::uint64_t number = control::requestRead(*m_consensus, actions);
    auto pending = std::make_shared<PendingRead>(m_context);
    pending->timer.expires_after(m_settings.readTimeout);
    m_reads[number] = pending;
    control::tick(*m_consensus, Clock::now(), actions);
    executeActions(std::move(actions));
    if (!pending->confirmed) {
        const auto alive = m_alive;
        const auto [error] = co_await pending->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!*alive) {
            co_return Unavailable{"the coordinator has stopped"};
        }
        if (!error) {
            m_reads.erase(number);
        }
    }
    if (pending->confirmed.value_or(false)) {
        co_return m_state;
    }
    co_return Unavailable{"no majority confirms that this coordinator leads"};
}

void Coordinator::finishRead(std::uint64_t read, bool confirmed)
{
    if (finishConfirmation(read, confirmed)) {
        return;
    }
    if (m_reportRead == read) {
        m_reportRead.reset();
        if (confirmed) {
            replyToReports(m_state.index);
        }
        m_confirmingReports.clear();
        confirmReports();
        return;
    }
    const auto found = m_reads.find(read);
    if (found != m_reads.end()) {
        found->second->confirmed = confirmed;
        found->second->timer.cancel();
        m_reads.erase(found);
    }
}

} // namespace mimosahollow::coordinator

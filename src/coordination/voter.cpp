#include "internal.h"

#include "mimosahollow/control/snapshot.h"
#include "mimosahollow/link/controlcodec.h"

namespace mimosahollow::coordination {

namespace {

// Log entries between snapshots. Encoding a snapshot of 93,000 adapters takes tens of milliseconds; replaying this many entries takes about as long.
constexpr control::LogIndex snapshotInterval = 4096;

void applyCommand(CoordinationState &state, const control::LogEntry &entry, TimePoint now, Actions &actions)
{
    VoterState &voter = *state.voter;
    std::vector<std::uint8_t> increment;
    const auto decoded = entry.payload ? link::decodeCommand(*entry.payload) : link::Decoded<control::Command>(link::CodecError{});
    if (const auto *command = std::get_if<control::Command>(&decoded); command != nullptr && entry.kind == control::EntryKind::Command) {
        const control::CommandResult result = control::apply(voter.control, entry.index, *command);
        if (voter.control.configuration.logIndex == entry.index && !voter.control.increments.empty()) {
            increment = link::encode(voter.control.increments.back());
        }
        if (isLeader(state)) {
            membership::onCommitted(*voter.leader, entry.index, now);
        }
        if (voter.control.configuration.logIndex == entry.index) {
            activateConfiguration(state, control::sharedConfiguration(voter.control), now, actions);
        }
        onCommandApplied(state, entry.index, entry.term, *command, result, now, actions);
    } else {
        control::skipEntry(voter.control, entry.index);
    }
    const bool leads = voter.consensus.role == control::VoterRole::Leader && entry.term == voter.consensus.term;
    if (leads && !voter.leader) {
        becomeLeader(state, entry.term, now, actions);
    }
    if (!membership::append(state.feed, {entry.index, std::move(increment)})) {
        membership::setSnapshot(state.feed, voter.control.appliedIndex, link::encode(voter.control.configuration));
    }
}

void takeSnapshot(CoordinationState &state, Actions &actions)
{
    VoterState &voter = *state.voter;
    if (voter.control.appliedIndex < voter.snapshotIndex + snapshotInterval) {
        return;
    }
    voter.snapshotIndex = voter.control.appliedIndex;
    auto data = std::make_shared<const control::Bytes>(control::encodeSnapshot(voter.control));
    StoreSnapshot store{0, control::snapshotPoint(voter.consensus, voter.control.appliedIndex), std::move(data), false};
    actions.push_back(StorageWrite(std::move(store)));
}

void installSnapshot(CoordinationState &state, control::InstallSnapshot &snapshot, TimePoint now, Actions &actions)
{
    auto decoded = control::decodeSnapshot(*snapshot.data);
    if (const auto *error = std::get_if<control::SnapshotError>(&decoded)) {
        actions.push_back(Notice{"snapshot received from the leader cannot be decoded: " + error->message});
        control::snapshotRejected(state.voter->consensus);
        return;
    }
    VoterState &voter = *state.voter;
    voter.control = std::get<control::ControlState>(std::move(decoded));
    voter.snapshotIndex = snapshot.point.index;
    membership::setSnapshot(state.feed, voter.control.appliedIndex, link::encode(voter.control.configuration));
    activateConfiguration(state, control::sharedConfiguration(voter.control), now, actions);
    reportApplied(state, voter.control.appliedIndex, now, actions);
    actions.push_back(StorageWrite(StoreSnapshot{snapshot.write, snapshot.point, std::move(snapshot.data), true}));
}

struct ConsensusActionExecutor
{
    CoordinationState &state;
    TimePoint now;
    Actions &actions;

    void operator()(control::SendToVoter &message) const
    {
        const std::string name = voterName(state, message.to);
        send(state, name, std::move(message.message), actions);
    }
    void operator()(control::SaveVote &storageWrite) const
    {
        actions.push_back(StorageWrite(storageWrite));
    }
    void operator()(control::AppendLog &storageWrite) const
    {
        actions.push_back(StorageWrite(std::move(storageWrite)));
    }
    void operator()(control::TruncateLog &storageWrite) const
    {
        actions.push_back(StorageWrite(storageWrite));
    }
    void operator()(control::CompactLog &storageWrite) const
    {
        actions.push_back(StorageWrite(storageWrite));
    }
    void operator()(control::InstallSnapshot &snapshot) const
    {
        installSnapshot(state, snapshot, now, actions);
    }
    void operator()(const control::ApplyEntries &apply) const
    {
        for (const control::LogEntry &entry : apply.entries) {
            applyCommand(state, entry, now, actions);
        }
        if (!apply.entries.empty()) {
            reportApplied(state, apply.entries.back().index, now, actions);
            takeSnapshot(state, actions);
        }
    }
    void operator()(const control::BecameLeader &) const
    {
        // A new leader starts its work in applyCommand(), once an entry of its own term is applied: only then it knows all committed entries.
    }
    void operator()(const control::LostLeadership &) const
    {
        actions.push_back(Notice{"lost the leadership of the replicated log"});
        loseLeadership(state);
    }
    void operator()(const control::ReadConfirmed &event) const
    {
        onReadConfirmed(state, event.readId, now, actions);
    }
    void operator()(const control::ReadRejected &event) const
    {
        state.voter->reads.erase(event.readId);
    }
};

} // namespace

void executeActions(CoordinationState &state, control::ConsensusActions &consensusActions, TimePoint now, Actions &actions)
{
    const ConsensusActionExecutor executor{state, now, actions};
    for (control::ConsensusAction &action : consensusActions) {
        std::visit(executor, action);
    }
    const control::VoterId leader = state.voter->consensus.leader;
    if (leader != control::VoterId{}) {
        state.view.leader = voterName(state, leader);
    }
}

std::optional<control::ProposalAccepted> proposeCommand(CoordinationState &state, control::Command command, TimePoint now, Actions &actions)
{
    if (!isLeader(state)) {
        return std::nullopt;
    }
    command.time = state.wallClock;
    const control::SharedBytes payload = std::make_shared<const control::Bytes>(link::encode(command));
    control::ConsensusActions consensusActions;
    const control::ProposalResult result = control::propose(state.voter->consensus, {&payload, 1}, now, consensusActions);
    const auto *accepted = std::get_if<control::ProposalAccepted>(&result);
    const std::optional<control::ProposalAccepted> position = accepted != nullptr ? std::optional(*accepted) : std::nullopt;
    executeActions(state, consensusActions, now, actions);
    return position;
}

void storageSynced(CoordinationState &state, control::WriteNumber write, TimePoint now, Actions &actions)
{
    control::ConsensusActions consensusActions;
    control::logSynced(state.voter->consensus, write, now, consensusActions);
    executeActions(state, consensusActions, now, actions);
}

void storageSuspended(CoordinationState &state, TimePoint now, Actions &actions)
{
    control::ConsensusActions consensusActions;
    control::storageSuspended(state.voter->consensus, now, consensusActions);
    executeActions(state, consensusActions, now, actions);
}

void storageResumed(CoordinationState &state, TimePoint now)
{
    control::storageResumed(state.voter->consensus, now);
}

void snapshotStored(CoordinationState &state, control::LogIndex index, bool replacesLog, control::SharedBytes data, TimePoint now, Actions &actions)
{
    control::ConsensusActions consensusActions;
    if (replacesLog) {
        control::snapshotInstalled(state.voter->consensus, index, now, consensusActions);
    } else {
        control::snapshotTaken(state.voter->consensus, index, std::move(data), consensusActions);
    }
    executeActions(state, consensusActions, now, actions);
}

} // namespace mimosahollow::coordination

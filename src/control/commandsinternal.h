#pragma once

#include "mimosahollow/control/controlstate.h"

// Functions that the source files of the state machine share.
namespace mimosahollow::control {

[[nodiscard]] CommandResult failed(CommandOutcome outcome, std::string message, std::uint64_t number = 0);
[[nodiscard]] CommandResult accepted(std::uint64_t number = 0);

/** Starts the increment of the entry that is being applied. */
[[nodiscard]] Increment startIncrement(const ControlState &state);
/** Puts the change in force and keeps it for followers. */
void finishIncrement(ControlState &state, Increment increment);

[[nodiscard]] CommandResult applyBundle(ControlState &state, const ApplyBundle &command);

[[nodiscard]] CommandResult beginCall(ControlState &state, const CommandId &id, const BeginCall &command);
[[nodiscard]] CommandResult completeCall(ControlState &state, const CompleteCall &command);
[[nodiscard]] CommandResult abandonCall(ControlState &state, const AbandonCall &command);
void expireCalls(ControlState &state);

[[nodiscard]] std::string adapterName(const Adapter &adapter);
/** Number for @p name: the one that it had before, or a new one. */
[[nodiscard]] AdapterId findOrAssignAdapterId(ControlState &state, const std::string &name);

[[nodiscard]] bool isRegistered(const ControlState &state, InstanceId instance);

} // namespace mimosahollow::control

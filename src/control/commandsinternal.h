#pragma once

#include "mimosahollow/control/controlstate.h"

// Functions shared by the source files of the state machine.
namespace mimosahollow::control {

[[nodiscard]] CommandResult failed(CommandOutcome outcome, std::string message, std::uint64_t number = 0);
[[nodiscard]] CommandResult accepted(std::uint64_t number = 0);

/** Creates an increment without changes for the log entry that is being applied. */
[[nodiscard]] Increment startIncrement(const ControlState &state);
/** Sets the log index of the configuration and keeps @p increment for followers. */
void finishIncrement(ControlState &state, Increment increment);

[[nodiscard]] CommandResult applyBundle(ControlState &state, const ApplyBundle &command);

[[nodiscard]] CommandResult beginCall(ControlState &state, const CommandId &id, const BeginCall &command);
[[nodiscard]] CommandResult completeCall(ControlState &state, const CompleteCall &command);
[[nodiscard]] CommandResult abandonCall(ControlState &state, const AbandonCall &command);
/** Removes the records of calls that are older than ControlLimits::callRetention. */
void expireCalls(ControlState &state);

/** Returns "base:name@version". */
[[nodiscard]] std::string adapterName(const Adapter &adapter);
/** Returns the id of the adapter @p name, and assigns a new id if the name never had one. */
[[nodiscard]] AdapterId findOrAssignAdapterId(ControlState &state, const std::string &name);

[[nodiscard]] bool isRegistered(const ControlState &state, InstanceId instance);

} // namespace mimosahollow::control

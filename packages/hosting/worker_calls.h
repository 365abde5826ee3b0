#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "scheduling/host_messages.h"

namespace zinniacart {

/// A time in ms on the worker's own clock. It can only be compared with times
/// of the same worker incarnation.
struct WorkerInstant {
  std::int64_t milliseconds = 0;

  auto operator<=>(const WorkerInstant&) const = default;
};

/// Asks the worker to extend its lease and to list its runs. The worker may
/// delay its answer until the next run ends.
struct HoldCall {
  std::uint64_t id = 0;       ///< Grows with each call.
  Epoch token;                ///< The fencing token.
  WorkerInstant lease_until;  ///< The end of the lease; 0: it stays unchanged.
  /// The worker may forget ended runs up to this number; 0: none.
  std::uint64_t recorded_ends = 0;
  /// The worker answers when the next run ends, at the latest after this time.
  Duration wait{0};
};

/// Asks the worker to start a run.
struct StartCall {
  StartOrder order;
  std::string worker;  ///< Id of the worker that may accept it; empty: any.
  Epoch token;         ///< The fencing token.
  /// The worker refuses the start after this time. It also extends its lease to
  /// this time.
  WorkerInstant not_after;
};

/// Asks the worker to stop a run.
struct StopCall {
  TaskRun id;
  std::string worker;  ///< As in `StartCall`.
  Epoch token;         ///< The fencing token.
};

/// Asks the worker to limit the speed of a run.
struct PaceCall {
  PaceOrder order;
  std::string worker;  ///< As in `StartCall`.
  Epoch token;         ///< The fencing token.
};

using WorkerCall = std::variant<HoldCall, StartCall, StopCall, PaceCall>;

/// The worker's answer to a hold.
struct WorkerLists {
  WorkerIncarnation incarnation;
  WorkerInstant clock;  ///< When the worker made the lists.
  std::vector<RunningTask> running;
  /// In ascending order of their numbers, without those it may forget.
  std::vector<EndedTask> ended;
  /// Further ends are listed once the worker may forget these. A run that is in
  /// neither list may be among them.
  bool more_ends = false;
  /// Why the first row that was left out cannot be decoded; empty if none was.
  std::string unreadable;
};

/// The result of a start call.
enum class StartAnswer {
  kStarted,  ///< The worker started it, now or on an earlier call.
  kFenced,   ///< The worker has received a newer fencing token.
  /// This run has ended or was stopped, or the worker knows a newer run of the
  /// task.
  kStaleRun,
  kTooLate,      ///< The call arrived after `not_after`.
  kNoRoom,       ///< The run does not fit into the free capacity.
  kNoTicket,     ///< The ticket of the start is no longer valid.
  kUnhealthy,    ///< The worker is overloaded or unavailable; it did nothing.
  kInvalid,      ///< The worker could not interpret the call.
  kOtherWorker,  ///< Another worker answers at the address.
  kUnanswered,   ///< No answer came; the call may still be carried out.
  kUnreachable,  ///< The call was not sent.
};

}  // namespace zinniacart

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "scheduling/host_messages.h"

namespace zinniacart {

/// A point on the worker's own clock, in ms.
struct WorkerInstant {
  std::int64_t milliseconds = 0;

  auto operator<=>(const WorkerInstant&) const = default;
};

/// Extends the worker's lease and lists what it runs.
struct HoldCall {
  std::uint64_t id = 0;  ///< Grows with each call.
  Epoch token;
  WorkerInstant lease_until;  ///< 0: the lease stays as it is.
  std::uint64_t recorded_ends = 0;
  Duration wait{0};  ///< The worker answers at the next end or after this.
};

struct StartCall {
  StartOrder order;
  std::string worker;  ///< Only this worker may take it; empty: any.
  Epoch token;
  WorkerInstant not_after;  ///< Carried out later, it is refused.
};

struct StopCall {
  TaskRun id;
  std::string worker;
  Epoch token;
};

struct PaceCall {
  PaceOrder order;
  std::string worker;
  Epoch token;
};

using WorkerCall = std::variant<HoldCall, StartCall, StopCall, PaceCall>;

/// The worker's answer to a hold.
struct WorkerLists {
  WorkerIncarnation incarnation;
  WorkerInstant clock;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
};

/// The worker's answer to a start.
enum class StartAnswer {
  kStarted,   ///< It runs, or ran, there.
  kFenced,    ///< The worker knows a newer owner.
  kStaleRun,  ///< This run, or a newer one, has ended or was stopped there.
  kTooLate,
  kNoRoom,
  kNoTicket,
  kUnhealthy,  ///< The worker is unwell; it has done nothing.
  kInvalid,
  kOtherWorker,  ///< Another incarnation lives at the address.
  kUnanswered,   ///< It may be carried out later.
  kUnreachable,  ///< Nothing was sent.
};

}  // namespace zinniacart

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/resources.h"
#include "jobs/task_key.h"

namespace zinniacart {

/// One life of the worker of one host, named by the wall clock of its start in
/// ms since 1970. Its id does not name it: it may start again under the same.
using WorkerIncarnation = StrongType<struct WorkerIncarnationTag, std::int64_t>;

/// What a worker says of itself.
struct WorkerFacts {
  std::string worker;  ///< Its id.
  WorkerIncarnation incarnation;
  DomainId domain;
  ServiceId service;
  Resources capacity;
  std::vector<std::string> labels;
  std::string rack;  ///< One of the labels.
  bool draining = false;
  /// While draining: it stays at least this much longer.
  std::optional<Duration> remaining;
};

/// A task at work on a worker.
struct RunningTask {
  TaskRun id;
  CheckpointId checkpoint;  ///< Its newest one, empty where there is none.
  /// How far it is; a perpetual task is at work at 100.
  int progress_percent = 0;
  /// A serving task: its tail latency in ms; others: millicores in use.
  std::int64_t measure = 0;
};

/// How a run ended.
enum class EndKind {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,    ///< The worker's lease ran out.
  kGangBroken,      ///< Another member of the gang ended.
  kGangIncomplete,  ///< The other members of the gang did not come in time.
};

/// A run that ended, numbered by its worker from 1 in each incarnation.
struct EndedTask {
  std::uint64_t number = 0;
  TaskRun id;
  EndKind kind = EndKind::kDone;
  CheckpointId checkpoint;
};

/// What became of an order to a worker.
enum class OrderOutcome {
  kStarted,
  kRefused,     ///< The run is not there and never will be.
  kNoCapacity,  ///< As `kRefused`, because it does not fit now.
  kNoTicket,    ///< As `kRefused`, because its advice has lapsed.
  kStopped,     ///< The stop was taken; the run will be listed as ended.
};

struct OrderResult {
  TaskRun id;
  OrderOutcome outcome = OrderOutcome::kRefused;
};

/// Starts one run. Repeating it is harmless.
struct StartOrder {
  TaskRun id;
  std::string payload;
  CheckpointId resume_from;
  std::string ticket;
};

/// Lets a run work at a share of its speed.
struct PaceOrder {
  TaskRun id;
  int percent = 100;
};

/// What the owner tells the agent of one host.
struct HostOrders {
  Epoch epoch;
  EntryId owner;
  /// Orders are for this life of the worker only.
  WorkerIncarnation incarnation;
  /// The newest stamp of the agent's that the owner vouches for: the worker's
  /// lease may reach this instant plus the lease length.
  Instant granted_stamp;
  /// Ends up to this number are recorded and may be forgotten.
  std::uint64_t recorded_ends = 0;
  std::vector<StartOrder> starts;
  std::vector<TaskRun> stops;
  std::vector<PaceOrder> paces;
  /// The agent answers when it has news, at the latest after this time.
  Duration wait{0};
};

/// What the agent of one host tells the owner.
struct HostReport {
  Incarnation agent;           ///< This run of the agent's process.
  std::uint64_t sequence = 0;  ///< Grows with each report of one run.
  Instant stamp;               ///< The agent's clock.
  Epoch epoch;                 ///< The highest one the agent has accepted.
  /// Whose lists these are; nothing while the worker has not been reached.
  std::optional<WorkerIncarnation> incarnation;
  std::optional<WorkerFacts> facts;
  /// The lists are the worker's under `epoch`: no older owner can add to them.
  bool listed = false;
  /// Grows with each newer list.
  std::uint64_t list_number = 0;
  /// The worker answers calls.
  bool worker_reachable = false;
  /// The worker's lease has run out: whatever it ran has ended.
  bool lease_expired = false;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  std::vector<OrderResult> results;
};

}  // namespace zinniacart

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

/// Identifies one start-to-end of a host's worker process by the wall clock at
/// its start, in ms since 1970. The worker's id does not identify it, because a
/// restarted worker may have the same id.
using WorkerIncarnation = StrongType<struct WorkerIncarnationTag, std::int64_t>;

/// What a worker reports about itself.
struct WorkerFacts {
  std::string worker;  ///< Its id.
  MachineId machine;   ///< What it runs on; empty where it does not say so.
  WorkerIncarnation incarnation;
  DomainId domain;
  ServiceId service;
  Resources capacity;
  std::vector<std::string> labels;
  std::string rack;  ///< One of the labels.
  bool draining = false;
  /// While draining: the least time that it stays available.
  std::optional<Duration> remaining;
};

/// A run that a worker lists as running.
struct RunningTask {
  TaskRun id;
  CheckpointId checkpoint;  ///< Its newest one, empty where there is none.
  /// Share of the work that is done; 100 for a perpetual task that is ready.
  int progress_percent = 0;
  /// Tail latency in ms of a serving task, millicores in use of any other.
  std::int64_t measure = 0;
};

/// How a run ended.
enum class EndKind {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,    ///< The worker's lease expired.
  kGangBroken,      ///< Another member of the gang ended.
  kGangIncomplete,  ///< Other members of the gang did not start in time.
};

/// A run that ended. The worker numbers ends from 1 in each incarnation.
struct EndedTask {
  std::uint64_t number = 0;
  TaskRun id;
  EndKind kind = EndKind::kDone;
  CheckpointId checkpoint;
};

/// A run that was at work when its worker crashed.
struct InterruptedRun {
  TaskRun id;
  Duration worked{0};  ///< How long it was at work, at the most.
};

/// A worker incarnation that ended without draining first.
struct WorkerCrash {
  WorkerIncarnation incarnation;
  /// Runs that may have caused it as they started: the worker had begun them
  /// and is not known to have run them for the trial period.
  std::vector<TaskRun> suspects;
  /// Runs whose starts were sent, but not confirmed: they may have caused it if
  /// the worker had begun them.
  std::vector<TaskRun> unconfirmed;
  /// Runs that had been at work for longer than the trial period. They may have
  /// caused it too, such as by taking up the worker's memory.
  std::vector<InterruptedRun> interrupted;
};

/// The result of an order to a worker.
enum class OrderOutcome {
  kStarted,
  kRefused,     ///< The run is not there and never will be.
  kNoCapacity,  ///< As `kRefused`: free capacity is too small.
  kNoTicket,    ///< As `kRefused`: the start's ticket expired.
  /// Stop accepted. The lists beside this result are newer: unless they contain
  /// the run, it is not there and never will be.
  kStopped,
};

struct OrderResult {
  TaskRun id;
  OrderOutcome outcome = OrderOutcome::kRefused;
};

/// Starts one run. Idempotent.
struct StartOrder {
  TaskRun id;
  std::string payload;
  CheckpointId resume_from;
  std::string ticket;
  /// The task is suspected of crashing workers: the agent reports as soon as
  /// the run has survived the trial period.
  bool trial = false;
};

/// Limits a run to a share of its full speed.
struct PaceOrder {
  TaskRun id;
  int percent = 100;
};

/// Message from the owner to the agent of one host.
struct HostOrders {
  Epoch epoch;
  EntryId owner;
  /// Orders apply to this incarnation of the worker only.
  WorkerIncarnation incarnation;
  /// The newest stamp of the agent that the owner grants: the worker's lease
  /// may be extended until this instant plus the lease length. 0 grants
  /// nothing.
  Instant granted_stamp;
  /// Ends up to this number are stored; the worker may forget them.
  std::uint64_t recorded_ends = 0;
  std::vector<StartOrder> starts;
  std::vector<TaskRun> stops;
  std::vector<PaceOrder> paces;
  /// The agent replies when its state changes, at the latest after this time.
  Duration wait{0};
};

/// Message from the agent of one host to the owner.
struct HostReport {
  Incarnation agent;           ///< Of the agent's process.
  std::uint64_t sequence = 0;  ///< Grows with each report of one agent.
  Instant stamp;               ///< Reading of the agent's clock.
  Epoch epoch;                 ///< The highest the agent has accepted.
  /// Of the worker that the lists come from; empty until it is first reached.
  std::optional<WorkerIncarnation> incarnation;
  std::optional<WorkerFacts> facts;
  /// The worker made the lists under `epoch`: no older owner can still add to
  /// them.
  bool listed = false;
  /// Grows with each new list.
  std::uint64_t list_number = 0;
  /// The worker responds to calls.
  bool worker_reachable = false;
  /// The worker's lease has expired: all of its runs have ended.
  bool lease_expired = false;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  /// Further ends follow once these are recorded. A run that is in neither list
  /// may be among them.
  bool more_ends = false;
  std::vector<OrderResult> results;
  /// Runs that may be at work but are not known to have survived the trial
  /// period; unchanged while the worker is unreachable.
  std::vector<TaskRun> unproven;
  /// The previous incarnation, if it crashed; repeated for some seconds.
  std::optional<WorkerCrash> crash;
};

}  // namespace zinniacart

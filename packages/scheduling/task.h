#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "scheduling/crash_verdict.h"
#include "scheduling/host_messages.h"

namespace zinniacart {

enum class TaskPhase {
  kPending,   ///< Not placed.
  kPlaced,    ///< Running on a host, or possibly running.
  kStopping,  ///< Placed, with a stop ordered.
  kDone,
};

/// The host and the worker incarnation that have a run.
struct Placement {
  HostId host;
  WorkerIncarnation incarnation;

  bool operator==(const Placement&) const = default;
};

/// One task of a job.
struct Task {
  TaskPhase phase = TaskPhase::kPending;
  std::uint32_t failures = 0;
  RunNumber run;  ///< The newest run; 0 if never placed.
  Placement placement;
  CheckpointId checkpoint;
  /// Hosts to avoid because they failed or refused a run of the task, once per
  /// occasion; not persisted.
  std::vector<HostId> failed_on;
  Instant placed_at;  ///< Not persisted.
  /// When a run of it was last known to be at work; not persisted.
  Instant worked_until;
  CrashRecord crashes;  ///< Those that the task is suspected of.
  /// The run that last cleared the task of a suspicion by surviving its start.
  RunNumber proven_run;
  /// The run that last acquitted the task of late crashes; not persisted.
  RunNumber acquitted_run;
  /// Its last run vanished with its host just after it was started: it may or
  /// may not have been the cause. Not persisted.
  bool vanished = false;
  /// Runs that failed soon after their start, one after the other, and until
  /// when the task is therefore not placed again; not persisted.
  std::uint32_t early_failures = 0;
  Instant backs_off_until;
  /// The host to which the task is being moved; its next placement prefers it.
  /// Empty while no move is in progress; not persisted.
  HostId move_target;

  /// @returns whether the next run must be watched apart from other suspects.
  bool suspect() const { return vanished || crashes.NeedsTrial(); }
  bool placed() const {
    return phase == TaskPhase::kPlaced || phase == TaskPhase::kStopping;
  }
};

/// The tasks of one step in one occurrence of the job.
struct StepTasks {
  std::vector<Task> tasks;
  std::uint32_t done = 0;
  RunNumber failed_gang_run;  ///< Newest gang run counted as failed.
  std::uint32_t gang_failures = 0;
  /// Hosts on which runs of the step have failed, and when last; not persisted.
  std::map<HostId, Instant> failed_on;

  bool complete() const { return done == tasks.size(); }
};

}  // namespace zinniacart

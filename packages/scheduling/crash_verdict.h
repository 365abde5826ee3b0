#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "jobs/task_key.h"
#include "scheduling/host_messages.h"

namespace zinniacart {

/// How strongly a crash speaks against a task.
enum class CrashEvidence {
  kUnconfirmed,  ///< It is not known whether the worker had begun the run.
  kShared,  ///< Runs of other jobs, or the host itself, may have caused it too.
  kSole,    ///< No run of another job is suspected of it.
};

/// A crash of a worker of which a task is suspected, because a run of it had
/// just been started there.
struct SuspectedCrash {
  HostId host;
  WorkerIncarnation incarnation;
  RunNumber run;  ///< The task's run on that host.
  CrashEvidence evidence = CrashEvidence::kShared;

  bool operator==(const SuspectedCrash&) const = default;
};

/// A crash of a worker on which a run of the task had been at work for longer
/// than the trial period.
struct LateCrash {
  HostId host;
  WorkerIncarnation incarnation;
  RunNumber run;       ///< The task's run on that host.
  Duration worked{0};  ///< How long the run had been at work.
  /// Other runs had just been started there, which may rather be the cause.
  bool beside_starts = false;

  bool operator==(const LateCrash&) const = default;
};

/// All crashes that a task is suspected of.
struct CrashRecord {
  /// At the start of a run, since a run last survived its start.
  std::vector<SuspectedCrash> early;
  /// Since a run last ended by itself, or worked for twice as long as any of
  /// these.
  std::vector<LateCrash> late;

  bool empty() const { return early.empty() && late.empty(); }
  /// @returns whether the next run must be watched apart from other suspects.
  bool NeedsTrial() const;
  /// @returns for how long a run must work so that none of the late crashes
  /// speaks against the task any more.
  Duration AcquittedAfter() const;
};

/// How often a host's worker crashes, whatever it runs.
using CrashesPerSecond = double;

/// What is known of a task from the crashes that it is suspected of.
enum class CrashVerdict {
  kClear,    ///< Not suspected.
  kSuspect,  ///< More crashes may prove it guilty.
  kGuilty,   ///< It crashes the workers that start it; it is not run again.
};

/// Tells a task that crashes its hosts from a host that fails by itself.
///
/// Crashes at the start of a run: a task is guilty if two workers have crashed
/// under it and it is the sole suspect of two crashes on two hosts, or of one
/// of three crashes; the coincidence of two hosts that fail just after they
/// have started it is not assumed. The fourth crash in a row decides whoever
/// else is suspected of it, and the fifth one even if the starts are
/// unconfirmed, so that no task takes down more hosts.
///
/// Crashes later on: nothing tells how long after its start a task crashes its
/// worker, and the longer a run works the more likely its host fails by itself
/// meanwhile. So from the third crash in a row on, a task is guilty if hosts
/// that crash at the usual rate would hardly crash so often during its runs.
/// @param usual the rate at which hosts crash.
CrashVerdict Judge(const CrashRecord& crashes, CrashesPerSecond usual);

/// @returns the hosts and worker incarnations of the crashes, for people.
std::string Describe(const CrashRecord& crashes);

}  // namespace zinniacart

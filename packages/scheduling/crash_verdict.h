#pragma once

#include <cstdint>
#include <string>
#include <vector>

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

/// What is known of a task from the crashes that it is suspected of.
enum class CrashVerdict {
  kClear,    ///< Not suspected.
  kSuspect,  ///< Its next run is a trial, apart from other suspects.
  kGuilty,   ///< It crashes the workers that start it; it is not run again.
};

/// Tells a task that crashes its hosts from a host that fails by itself. A task
/// is guilty if two workers have crashed under it and it is the sole suspect of
/// two crashes on two hosts, or of one of three crashes; the coincidence of two
/// hosts that fail just after they have started it is not assumed. The fourth
/// crash in a row decides whoever else is suspected of it, and the fifth one
/// even if the starts are unconfirmed, so that no task takes down more hosts.
/// @param crashes those since the task last survived a start, of one run each.
CrashVerdict Judge(const std::vector<SuspectedCrash>& crashes);

/// @returns the hosts and worker incarnations of the crashes, for people.
std::string Describe(const std::vector<SuspectedCrash>& crashes);

}  // namespace zinniacart

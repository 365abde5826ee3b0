#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "scheduling/host_messages.h"

namespace zinniacart {

/// A crash of a worker of which a task is suspected, because a run of it had
/// just been started there.
struct SuspectedCrash {
  HostId host;
  WorkerIncarnation incarnation;
  /// No run of another job was suspected of this crash, and the host had not
  /// crashed shortly before for an unknown reason.
  bool sole = false;

  bool operator==(const SuspectedCrash&) const = default;
};

/// What is known of a task from the crashes that it is suspected of.
enum class CrashVerdict {
  kClear,    ///< Not suspected.
  kSuspect,  ///< Its next run is a trial, apart from other suspects.
  kGuilty,   ///< It crashes the workers that start it; it is not run again.
};

/// Tells a task that crashes its hosts from a host that fails by itself. A task
/// is guilty only if it is the sole suspect twice, on two hosts, or once of
/// three crashes; the coincidence of two hosts that fail just after they have
/// started it is not assumed. Whether or not other suspects were about, the
/// fourth crash in a row decides, so that no task takes down more hosts.
/// @param crashes those since the task last survived a start.
CrashVerdict Judge(const std::vector<SuspectedCrash>& crashes);

/// @returns the hosts and worker incarnations of the crashes, for people.
std::string Describe(const std::vector<SuspectedCrash>& crashes);

}  // namespace zinniacart

#pragma once

#include <cstddef>
#include <deque>

#include "base/clock.h"
#include "base/ids.h"
#include "scheduling/crash_verdict.h"
#include "scheduling/host_messages.h"

namespace zinniacart {

/// The newest crashes of the site's workers that no task is suspected of. They
/// tell how often hosts crash whatever they run.
class CrashHistory final {
 public:
  /// Adds a crash that became known at `now`, unless it is known.
  void Add(const HostId& host,
           const WorkerIncarnation& incarnation,
           Instant now);
  /// A task has caused the crash.
  void Remove(const HostId& host, const WorkerIncarnation& incarnation);
  /// @param hosts how many hosts are observed.
  /// @returns the rate at which a host crashes.
  CrashesPerSecond Rate(std::size_t hosts, Instant now) const;
  /// Forgets all crashes. The hosts are observed from `now` on.
  void Clear(Instant now);

 private:
  struct Crash {
    HostId host;
    WorkerIncarnation incarnation;
    Instant at;
  };
  Instant m_observed_since;
  std::deque<Crash> m_crashes;  ///< Oldest first.
};

}  // namespace zinniacart

#include "scheduling/crash_history.h"

#include <algorithm>
#include <chrono>

namespace zinniacart {
namespace {

constexpr std::size_t kMaxCrashes = 1000;
/// One crash of a host in this time is assumed before any is seen. A shorter
/// time spares sound tasks, a longer one finds guilty tasks after fewer
/// crashes.
constexpr double kAssumedSeconds = 100;

}  // namespace

void CrashHistory::Add(const HostId& host,
                       const WorkerIncarnation& incarnation,
                       Instant now) {
  const bool known =
      std::any_of(m_crashes.begin(), m_crashes.end(), [&](const Crash& crash) {
        return crash.host == host && crash.incarnation == incarnation;
      });
  if (known) {
    return;
  }
  m_crashes.push_back(Crash{host, incarnation, now});
  if (m_crashes.size() > kMaxCrashes) {
    m_observed_since = m_crashes.front().at;
    m_crashes.pop_front();
  }
}

void CrashHistory::Remove(const HostId& host,
                          const WorkerIncarnation& incarnation) {
  std::erase_if(m_crashes, [&](const Crash& crash) {
    return crash.host == host && crash.incarnation == incarnation;
  });
}

CrashesPerSecond CrashHistory::Rate(std::size_t hosts, Instant now) const {
  const double seconds =
      std::chrono::duration<double>(now - m_observed_since).count();
  return static_cast<double>(m_crashes.size() + 1) /
         (static_cast<double>(hosts) * seconds + kAssumedSeconds);
}

void CrashHistory::Clear(Instant now) {
  m_crashes.clear();
  m_observed_since = now;
}

}  // namespace zinniacart

#include "scheduling/crash_verdict.h"

#include <cstddef>
#include <set>

namespace zinniacart {
namespace {

constexpr std::size_t kSoleCrashesOfGuilty = 2;
constexpr std::size_t kCrashesWithOneSole = 3;
constexpr std::size_t kMostCrashes = 4;

}  // namespace

CrashVerdict Judge(const std::vector<SuspectedCrash>& crashes) {
  if (crashes.empty()) {
    return CrashVerdict::kClear;
  }
  std::set<HostId> hosts;
  std::set<HostId> sole_hosts;
  for (const SuspectedCrash& crash : crashes) {
    hosts.insert(crash.host);
    if (crash.sole) {
      sole_hosts.insert(crash.host);
    }
  }
  const bool guilty = sole_hosts.size() >= kSoleCrashesOfGuilty ||
                      (crashes.size() >= kCrashesWithOneSole &&
                       !sole_hosts.empty() && hosts.size() > 1) ||
                      crashes.size() >= kMostCrashes;
  return guilty ? CrashVerdict::kGuilty : CrashVerdict::kSuspect;
}

std::string Describe(const std::vector<SuspectedCrash>& crashes) {
  std::string text;
  for (const SuspectedCrash& crash : crashes) {
    text += (text.empty() ? "" : ", ") + crash.host.value() + " (worker " +
            std::to_string(crash.incarnation.value()) +
            (crash.sole ? ", sole suspect)" : ")");
  }
  return text;
}

}  // namespace zinniacart

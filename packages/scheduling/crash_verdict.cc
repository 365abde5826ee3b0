#include "scheduling/crash_verdict.h"

#include <cstddef>
#include <set>

namespace zinniacart {
namespace {

constexpr std::size_t kConfirmedCrashesOfGuilty = 2;
constexpr std::size_t kSoleCrashesOfGuilty = 2;
constexpr std::size_t kCrashesWithOneSole = 3;
constexpr std::size_t kMostCrashes = 4;
constexpr std::size_t kMostUnconfirmedCrashes = 5;

const char* ToString(CrashEvidence evidence) {
  switch (evidence) {
    case CrashEvidence::kUnconfirmed:
      return ", start unconfirmed";
    case CrashEvidence::kShared:
      return "";
    case CrashEvidence::kSole:
      return ", sole suspect";
  }
  return "";
}

}  // namespace

CrashVerdict Judge(const std::vector<SuspectedCrash>& crashes) {
  if (crashes.empty()) {
    return CrashVerdict::kClear;
  }
  std::size_t confirmed = 0;
  std::set<HostId> hosts;
  std::set<HostId> sole_hosts;
  for (const SuspectedCrash& crash : crashes) {
    hosts.insert(crash.host);
    confirmed += crash.evidence == CrashEvidence::kUnconfirmed ? 0U : 1U;
    if (crash.evidence == CrashEvidence::kSole) {
      sole_hosts.insert(crash.host);
    }
  }
  const bool proven = sole_hosts.size() >= kSoleCrashesOfGuilty ||
                      (crashes.size() >= kCrashesWithOneSole &&
                       !sole_hosts.empty() && hosts.size() > 1) ||
                      crashes.size() >= kMostCrashes;
  const bool guilty = (proven && confirmed >= kConfirmedCrashesOfGuilty) ||
                      crashes.size() >= kMostUnconfirmedCrashes;
  return guilty ? CrashVerdict::kGuilty : CrashVerdict::kSuspect;
}

std::string Describe(const std::vector<SuspectedCrash>& crashes) {
  std::string text;
  for (const SuspectedCrash& crash : crashes) {
    text += (text.empty() ? "run " : ", run ") +
            std::to_string(crash.run.value()) + " on " + crash.host.value() +
            " (worker " + std::to_string(crash.incarnation.value()) +
            ToString(crash.evidence) + ")";
  }
  return text;
}

}  // namespace zinniacart

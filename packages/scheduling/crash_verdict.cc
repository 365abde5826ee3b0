#include "scheduling/crash_verdict.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <set>

namespace zinniacart {
namespace {

constexpr std::size_t kConfirmedCrashesOfGuilty = 2;
constexpr std::size_t kSoleCrashesOfGuilty = 2;
constexpr std::size_t kCrashesWithOneSole = 3;
constexpr std::size_t kMostCrashes = 4;
constexpr std::size_t kMostUnconfirmedCrashes = 5;
/// So many crashes are compared with the usual rate of crashes, or more if all
/// of them were on one host, which may be at fault.
constexpr std::size_t kCrashesToCompare = 3;
constexpr std::size_t kCrashesOnOneHost = 5;
constexpr std::size_t kManyCrashes = 5;
/// From the second late crash on, tasks that crashed together are told apart by
/// trials.
constexpr std::size_t kLateCrashesToTry = 2;
/// Largest probability at which a coincidence of so many crashes is ruled out:
/// the more crashes, the fewer sound tasks there are that see them.
double MaxChance(std::size_t crashes) {
  constexpr double kOfFew = 1e-5;
  constexpr double kOfFour = 5e-4;
  constexpr double kOfMany = 3e-2;
  if (crashes >= kManyCrashes) {
    return kOfMany;
  }
  return crashes > kCrashesToCompare ? kOfFour : kOfFew;
}

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

/// @returns whether the crashes at the starts of runs prove the task guilty.
bool IsGuiltyAtStart(const std::vector<SuspectedCrash>& crashes) {
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
  return (proven && confirmed >= kConfirmedCrashesOfGuilty) ||
         crashes.size() >= kMostUnconfirmedCrashes;
}

/// @returns the probability of at least `crashes` crashes where `expected` are
/// expected and they come independently of each other.
double ChanceOfCrashes(std::size_t crashes, double expected) {
  double term = std::exp(-expected);
  double fewer = 0;
  for (std::size_t number = 0; number < crashes; ++number) {
    fewer += term;
    term *= expected / static_cast<double>(number + 1);
  }
  return std::max(0.0, 1 - fewer);
}

/// @returns the probability that crashes which have nothing to do with the runs
/// come as evenly long after their starts as these.
double ChanceOfLikeTimes(const std::vector<LateCrash>& crashes) {
  // Agents learn of starts and crashes with some delay.
  constexpr Duration kTimingError{400};
  const auto [shortest, longest] =
      std::minmax_element(crashes.begin(), crashes.end(),
                          [](const LateCrash& left, const LateCrash& right) {
                            return left.worked < right.worked;
                          });
  const Duration spread = longest->worked - shortest->worked + kTimingError;
  if (spread >= longest->worked) {
    return 1;
  }
  const double share = static_cast<double>(spread.count()) /
                       static_cast<double>(longest->worked.count());
  return std::pow(share, static_cast<double>(crashes.size() - 1));
}

/// @returns whether the task's hosts have crashed too often, during all its
/// runs together, to have failed by themselves.
bool IsGuiltyByComparison(const CrashRecord& crashes, CrashesPerSecond usual) {
  std::size_t count = crashes.late.size();
  std::set<HostId> hosts;
  Duration worked{0};
  for (const LateCrash& crash : crashes.late) {
    hosts.insert(crash.host);
    worked += crash.worked;
  }
  for (const SuspectedCrash& crash : crashes.early) {
    if (crash.evidence != CrashEvidence::kUnconfirmed) {
      hosts.insert(crash.host);
      ++count;
    }
  }
  const bool same_host = hosts.size() < 2;
  if (crashes.late.empty() ||
      count < (same_host ? kCrashesOnOneHost : kCrashesToCompare)) {
    return false;
  }
  const double seconds = std::chrono::duration<double>(worked).count();
  return ChanceOfCrashes(count, usual * seconds) *
             ChanceOfLikeTimes(crashes.late) <
         MaxChance(count);
}

}  // namespace

bool CrashRecord::NeedsTrial() const {
  const auto alone = std::count_if(
      late.begin(), late.end(),
      [](const LateCrash& crash) { return !crash.beside_starts; });
  return !early.empty() || static_cast<std::size_t>(alone) >= kLateCrashesToTry;
}

Duration CrashRecord::AcquittedAfter() const {
  constexpr int kTimesAsLong = 2;
  // Agents learn of starts and crashes with some delay.
  constexpr Duration kTimingError{1000};
  Duration longest{0};
  for (const LateCrash& crash : late) {
    longest = std::max(longest, crash.worked);
  }
  return longest * kTimesAsLong + kTimingError;
}

CrashVerdict Judge(const CrashRecord& crashes, CrashesPerSecond usual) {
  if (crashes.empty()) {
    return CrashVerdict::kClear;
  }
  return IsGuiltyAtStart(crashes.early) || IsGuiltyByComparison(crashes, usual)
             ? CrashVerdict::kGuilty
             : CrashVerdict::kSuspect;
}

std::string Describe(const CrashRecord& crashes) {
  std::string text;
  const auto add = [&text](const auto& crash, const std::string& detail) {
    text += (text.empty() ? "run " : ", run ") +
            std::to_string(crash.run.value()) + " on " + crash.host.value() +
            " (worker " + std::to_string(crash.incarnation.value()) + detail +
            ")";
  };
  for (const SuspectedCrash& crash : crashes.early) {
    add(crash, ToString(crash.evidence));
  }
  for (const LateCrash& crash : crashes.late) {
    add(crash, ", after " + std::to_string(crash.worked.count()) + " ms");
  }
  return text;
}

}  // namespace zinniacart

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>

#include "placement/simulation/simulation.h"

using namespace zinniacart;
using namespace zinniacart::simulation;

namespace {

constexpr std::uint64_t kMaxSeeds = 60;

/// Runs the simulation with seeds from 1 to `kMaxSeeds`.
/// @returns the text of the first violation, or none where every run passes.
std::optional<std::string> FirstViolation(SimulationSettings settings) {
  for (std::uint64_t seed = 1; seed <= kMaxSeeds; ++seed) {
    settings.seed = seed;
    try {
      Simulation(settings).Run();
    } catch (const Violation& violation) {
      return violation.what();
    }
  }
  return std::nullopt;
}

}  // namespace

TEST_GROUP(RandomisedRuns){};

TEST(RandomisedRuns, KeepsEveryGuaranteeUnderAllFaults) {
  for (const std::uint64_t seed : {1, 2, 3, 5, 8, 13, 24, 35, 41, 47}) {
    SimulationSettings settings;
    settings.seed = seed;
    std::string violation_text;
    try {
      const SimulationReport report = Simulation(settings).Run();
      CHECK(report.starts > 0);
      CHECK(report.faults > 0);
    } catch (const Violation& violation) {
      violation_text = violation.what();
    }
    STRCMP_EQUAL("", violation_text.c_str());
  }
}

TEST(RandomisedRuns, DetectsOwnerThatDoesNotWaitForRunLease) {
  SimulationSettings settings;
  settings.owner_times.run_lease = Duration(4'000);
  const auto violation_text = FirstViolation(settings);
  CHECK(violation_text.has_value());
  STRCMP_CONTAINS("while it runs on", violation_text->c_str());
}

TEST(RandomisedRuns, DetectsWorkersThatIgnoreLeases) {
  SimulationSettings settings;
  settings.workers_ignore_leases = true;
  const auto violation_text = FirstViolation(settings);
  CHECK(violation_text.has_value());
  STRCMP_CONTAINS("while it runs on", violation_text->c_str());
}

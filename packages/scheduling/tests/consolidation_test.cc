#include "scheduling/consolidation.h"

#include <CppUTest/TestHarness.h>

#include "scheduling/tests/scheduler_harness.h"

using namespace zinniacart;

TEST_GROUP(Consolidation) {
  SchedulerHarness harness;

  StepSpec ServingStep(std::uint32_t count, std::uint32_t most_per_host = 0) {
    StepSpec step = MakeStep(count, 3000);
    step.perpetual = true;
    step.image = "serving";
    step.latency_target = Duration(100);
    step.most_per_host = most_per_host;
    return step;
  }

  void AddBestEffortJob() {
    StepSpec step = MakeStep(1, 2000);
    step.best_effort = true;
    step.image = "batch";
    harness.AddJob("batch", step);
  }

  void ReportAllReady(const std::string& host) {
    for (RunningTask& task : harness.report(host).running) {
      task.progress_percent = 100;
    }
    harness.Report(host);
  }

  /// Puts two serving jobs on different hosts, as when one host joins later.
  void PlaceOnTwoHosts() {
    harness.AddHost("a", 8);
    harness.AddJob("first", ServingStep(1));
    harness.RunRound();
    harness.AddHost("b", 16);
    harness.AddJob("second", ServingStep(2));
    // Host a is the tightest fit, so it is unreachable during this round.
    harness.report("a").worker_reachable = false;
    harness.Report("a");
    harness.RunRound();
    harness.report("a").worker_reachable = true;
    harness.Report("a");
    ReportAllReady("a");
    ReportAllReady("b");
    STRCMP_EQUAL("a", harness.HostsOf(JobId("first")).at(0).c_str());
    STRCMP_EQUAL("b", harness.HostsOf(JobId("second")).at(0).c_str());
  }

  void AdvanceAndTick() {
    harness.clock().Advance(SchedulerSettings().consolidation_interval +
                            Duration(1));
    harness.Report("a");
    harness.Report("b");
    harness.scheduler().OnTick();
  }
};

// ServingStep tasks that were spread over hosts as these joined leave no host
// for best-effort work that interferes with them.
TEST(Consolidation, EmptiesTheHostWithTheFewestServingMillicores) {
  PlaceOnTwoHosts();
  AddBestEffortJob();
  AdvanceAndTick();
  const HostOrders orders = harness.Orders("a");
  LONGS_EQUAL(1, orders.stops.size());
  harness.End("a", orders.stops.at(0), EndKind::kStopped);
  harness.RunRound();
  STRCMP_EQUAL("b", harness.HostsOf(JobId("first")).at(0).c_str());
}

TEST(Consolidation, MovesNothingWithoutBestEffortWork) {
  PlaceOnTwoHosts();
  AdvanceAndTick();
  CHECK(harness.Orders("a").stops.empty());
}

TEST(Consolidation, MovesNoTaskOfAStepWhileAnotherIsNotReady) {
  harness.AddHost("a", 6);
  harness.AddJob("serving", ServingStep(4));
  harness.RunRound();
  harness.AddHost("b", 16);
  harness.RunRound();
  AddBestEffortJob();
  ReportAllReady("a");
  ReportAllReady("b");
  harness.report("a").running.at(0).progress_percent = 40;
  AdvanceAndTick();
  CHECK(harness.Orders("a").stops.empty());
  ReportAllReady("a");
  AdvanceAndTick();
  LONGS_EQUAL(1, harness.Orders("a").stops.size());
  AdvanceAndTick();
  CHECK(harness.Orders("a").stops.empty());
}

TEST(Consolidation, KeepsTheLimitOfTasksPerHost) {
  harness.AddHost("a", 8);
  harness.AddHost("b", 16);
  harness.AddJob("apart", ServingStep(2, 1));
  harness.RunRound();
  ReportAllReady("a");
  ReportAllReady("b");
  AddBestEffortJob();
  AdvanceAndTick();
  CHECK(harness.Orders("a").stops.empty());
  CHECK(harness.Orders("b").stops.empty());
}

#include "scheduling/consolidation.h"

#include <CppUTest/TestHarness.h>

#include "scheduling/tests/scheduler_harness.h"

using namespace zinniacart;

TEST_GROUP(Consolidation) {
  SchedulerHarness harness;

  StepSpec Serving(std::uint32_t count, std::uint32_t most_per_host = 0) {
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

  void AllAtWork(const std::string& host) {
    for (RunningTask& task : harness.report(host).running) {
      task.progress_percent = 100;
    }
    harness.Report(host);
  }

  /// Two serving tasks on hosts of their own, as when one host came late.
  void SpreadOverTwoHosts() {
    harness.AddHost("a", 8);
    harness.AddJob("first", Serving(1));
    harness.RunRound();
    harness.AddHost("b", 16);
    harness.AddJob("second", Serving(2));
    // The tightest fit would be beside the first.
    harness.report("a").worker_reachable = false;
    harness.Report("a");
    harness.RunRound();
    harness.report("a").worker_reachable = true;
    harness.Report("a");
    AllAtWork("a");
    AllAtWork("b");
    STRCMP_EQUAL("a", harness.HostsOf(JobId("first")).at(0).c_str());
    STRCMP_EQUAL("b", harness.HostsOf(JobId("second")).at(0).c_str());
  }

  void Tick() {
    harness.clock().Advance(SchedulerSettings().consolidation_interval +
                            Duration(1));
    harness.Report("a");
    harness.Report("b");
    harness.scheduler().OnTick();
  }
};

// Load: serving tasks spread over hosts that came one after the other, then
// best-effort work that would disturb them everywhere.
TEST(Consolidation, TheHostWithTheLeastServingTasksIsEmptied) {
  SpreadOverTwoHosts();
  AddBestEffortJob();
  Tick();
  const HostOrders orders = harness.Orders("a");
  LONGS_EQUAL(1, orders.stops.size());
  harness.End("a", orders.stops.at(0), EndKind::kStopped);
  harness.RunRound();
  STRCMP_EQUAL("b", harness.HostsOf(JobId("first")).at(0).c_str());
}

TEST(Consolidation, WithoutBestEffortWorkNothingMoves) {
  SpreadOverTwoHosts();
  Tick();
  CHECK(harness.Orders("a").stops.empty());
}

TEST(Consolidation, WhileATaskIsNotAtWorkNoOtherOfItsStepIsDisrupted) {
  harness.AddHost("a", 6);
  harness.AddJob("serving", Serving(4));
  harness.RunRound();
  harness.AddHost("b", 16);
  harness.RunRound();
  AddBestEffortJob();
  AllAtWork("a");
  AllAtWork("b");
  harness.report("a").running.at(0).progress_percent = 40;
  Tick();
  CHECK(harness.Orders("a").stops.empty());
  AllAtWork("a");
  Tick();
  LONGS_EQUAL(1, harness.Orders("a").stops.size());
  Tick();
  CHECK(harness.Orders("a").stops.empty());
}

TEST(Consolidation, TasksThatMustBeApartStayApart) {
  harness.AddHost("a", 8);
  harness.AddHost("b", 16);
  harness.AddJob("apart", Serving(2, 1));
  harness.RunRound();
  AllAtWork("a");
  AllAtWork("b");
  AddBestEffortJob();
  Tick();
  CHECK(harness.Orders("a").stops.empty());
  CHECK(harness.Orders("b").stops.empty());
}

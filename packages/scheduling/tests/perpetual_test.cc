#include <CppUTest/TestHarness.h>

#include "scheduling/tests/scheduler_harness.h"

using namespace zinniacart;

TEST_GROUP(PerpetualTask) {
  SchedulerHarness harness;
  const JobId lasting{"lasting"};

  StepSpec PerpetualStep(std::uint32_t count, std::int64_t millicores) {
    StepSpec step = MakeStep(count, millicores);
    step.perpetual = true;
    return step;
  }
};

// A task that was stopped to be moved waited behind a task of its step that
// had failed meanwhile and left too little capacity for short tasks.
TEST(PerpetualTask, ThatIsBeingMovedDoesNotWaitForOthersOfItsStep) {
  const auto serving = [this](std::uint32_t count) {
    StepSpec step = PerpetualStep(count, 3000);
    step.image = "serving";
    step.latency_target = Duration(100);
    return step;
  };
  harness.AddHost("b", 4);
  harness.AddJob("lasting", serving(2));
  harness.RunRound();
  harness.AddHost("a", 4);
  harness.RunRound();
  harness.AddHost("c", 13);
  harness.AddJob("other", serving(3));
  harness.RunRound();
  LONGS_EQUAL(3, harness.HostsOf(JobId("other")).size());
  for (const char* host : {"a", "b", "c"}) {
    for (RunningTask& task : harness.report(host).running) {
      task.progress_percent = 100;
    }
    harness.Report(host);
  }
  StepSpec batch = MakeStep(1, 2000);
  batch.best_effort = true;
  batch.image = "batch";
  harness.AddJob("batch", batch);
  harness.clock().Advance(SchedulerSettings().consolidation_interval +
                          Duration(1));
  for (const char* host : {"a", "b", "c"}) {
    harness.Report(host);
  }
  harness.scheduler().OnTick();
  const auto stops = harness.Orders("a").stops;
  LONGS_EQUAL(1, stops.size());
  CHECK(stops.at(0) == MakeRun(lasting, 1, 1));
  harness.End("b", MakeRun(lasting, 0, 1), EndKind::kFailed);
  harness.End("a", stops.at(0), EndKind::kStopped);
  harness.AddJob("short", MakeStep(9, 1000));
  harness.RunRound();
  LONGS_EQUAL(1, harness.HostsOf(lasting).size());
  STRCMP_EQUAL("c", harness.HostsOf(lasting).at(0).c_str());
}

#include <CppUTest/TestHarness.h>

#include "scheduling/tests/scheduler_harness.h"

using namespace zinniacart;

TEST_GROUP(PerpetualTask) {
  SchedulerHarness harness;
  const JobId lasting{"lasting"};
  const JobId short_jobs{"short"};

  StepSpec PerpetualStep(std::uint32_t count, std::int64_t millicores) {
    StepSpec step = MakeStep(count, millicores);
    step.perpetual = true;
    return step;
  }

  /// Ends `count` short tasks as done, each on the host that has it.
  void EndShortTasks(int count) {
    for (const auto& [id, host] : harness.scheduler().hosts()) {
      const auto runs = host.runs;
      for (const auto& [run, hosted] : runs) {
        if (run.task.job == short_jobs && count > 0) {
          --count;
          harness.End(id.value(), run, EndKind::kDone);
        }
      }
    }
  }

  /// Lets time pass while two short tasks end, and others begin, every 200 ms.
  /// @returns how long it takes until the perpetual task is placed.
  Duration TimeUntilPlaced(Duration limit) {
    const Instant began = harness.clock().Now();
    while (harness.clock().Now() - began < limit) {
      harness.RunRound();
      if (!harness.HostsOf(lasting).empty()) {
        break;
      }
      harness.clock().Advance(Duration(200));
      EndShortTasks(2);
    }
    return harness.clock().Now() - began;
  }
};

// Short tasks took all capacity that became free, so that a perpetual task that
// had failed was not started again.
TEST(PerpetualTask, ThatHasWaitedIsPlacedBeforeShortTasks) {
  harness.AddHost("a", 4);
  harness.AddHost("b", 4);
  harness.AddJob("lasting", PerpetualStep(1, 1000));
  harness.RunRound();
  harness.AddJob("short", MakeStep(400, 1000));
  harness.RunRound();
  harness.End(harness.HostsOf(lasting).at(0), MakeRun(lasting, 0, 1),
              EndKind::kFailed);
  CHECK(TimeUntilPlaced(Duration(9000)) < Duration(6000));
}

TEST(PerpetualTask, ThatHasNotWaitedIsPlacedAfterShortTasks) {
  harness.AddHost("a", 4);
  harness.AddJob("lasting", PerpetualStep(1, 1000));
  harness.RunRound();
  harness.AddJob("short", MakeStep(400, 1000));
  harness.RunRound();
  harness.End("a", MakeRun(lasting, 0, 1), EndKind::kFailed);
  harness.RunRound();
  LONGS_EQUAL(4, harness.HostsOf(short_jobs).size());
  CHECK(TimeUntilPlaced(Duration(9000)) > Duration(2000));
}

TEST(PerpetualTask, ThatHasNeverRunIsPlacedAfterShortTasks) {
  harness.AddHost("a", 4);
  harness.AddJob("short", MakeStep(400, 1000));
  harness.RunRound();
  harness.AddJob("lasting", PerpetualStep(1, 1000));
  CHECK(TimeUntilPlaced(Duration(9000)) >= Duration(9000));
}

TEST(PerpetualTask, ThatHasWaitedIsPlacedAfterTasksOfHigherPriority) {
  harness.AddHost("a", 4);
  harness.AddJob("lasting", PerpetualStep(1, 1000), 1);
  harness.RunRound();
  harness.AddJob("short", MakeStep(400, 1000));
  harness.RunRound();
  harness.End("a", MakeRun(lasting, 0, 1), EndKind::kFailed);
  CHECK(TimeUntilPlaced(Duration(9000)) >= Duration(9000));
}

// The capacity reserved for short tasks kept a perpetual task from being
// started again on the only host that had room for it.
TEST(PerpetualTask, ThatHasWaitedTakesTheCapacityReservedForShortTasks) {
  harness.AddHost("a", 10);
  harness.AddJob("lasting", PerpetualStep(1, 6000));
  harness.RunRound();
  harness.AddJob("short", MakeStep(8, 1000));
  harness.RunRound();
  EndShortTasks(4);
  harness.RunRound();
  EndShortTasks(4);
  harness.End("a", MakeRun(lasting, 0, 1), EndKind::kFailed);
  harness.RunRound();
  LONGS_EQUAL(0, harness.HostsOf(lasting).size());
  CHECK(TimeUntilPlaced(Duration(9000)) < Duration(6000));
}

// A new owner knows neither how long a perpetual task has waited nor that it
// was stopped to be moved.
TEST(PerpetualTask, ThatWaitedUnderAnotherOwnerIsPlacedBeforeShortTasks) {
  harness.AddHost("a", 4);
  harness.AddJob("lasting", PerpetualStep(1, 1000));
  harness.RunRound();
  harness.AddJob("short", MakeStep(400, 1000));
  harness.RunRound();
  harness.End("a", MakeRun(lasting, 0, 1), EndKind::kStopped);
  harness.Write();
  harness.TakeOver(2);
  harness.Report("a");
  CHECK(TimeUntilPlaced(Duration(9000)) < Duration(6000));
}

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

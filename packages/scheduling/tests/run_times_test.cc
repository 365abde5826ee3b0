#include <CppUTest/TestHarness.h>

#include "scheduling/tests/scheduler_harness.h"

using namespace zinniacart;

TEST_GROUP(RunTimes) {
  SchedulerHarness harness;

  /// Runs tasks of one second, each alone on the host, whose starts a report
  /// shows only `delay` later.
  void RunTasks(std::uint32_t count, Duration delay) {
    harness.AddHost("a", 1);
    const JobId job = harness.AddJob("job", MakeStep(count, 1000));
    for (std::uint32_t index = 0; index < count; ++index) {
      harness.scheduler().Place();
      harness.Write();
      harness.Orders("a");
      harness.clock().Advance(delay);
      harness.report("a").running = {
          RunningTask{MakeRun(job, index, 1), {}, 0, 0}};
      harness.Report("a");
      harness.clock().Advance(Duration(1000) - delay);
      harness.End("a", MakeRun(job, index, 1), EndKind::kDone);
    }
  }

  Duration Expected() {
    return harness.scheduler().run_times().ExpectedRunTime(QueueId("queue"),
                                                           Duration(1000));
  }
};

// Guards against run times of almost nothing: the reports that show the starts
// arrive when the tasks have nearly ended.
TEST(RunTimes, LateReportOfAStartDoesNotShortenTheRunTime) {
  RunTasks(10, Duration(990));
  DOUBLES_EQUAL(1000, static_cast<double>(Expected().count()), 200);
}

// Guards against an order by declared times alone: the tasks of the first job
// have done a tenth in 900 ms, so that it is due much later than its declared
// time of a second says.
TEST(RunTimes, ProgressOfRunningTasksDecidesTheOrder) {
  for (const bool sibling_run_times : {false, true}) {
    SchedulerSettings settings;
    settings.sibling_run_times = sibling_run_times;
    SchedulerHarness site(settings);
    site.AddHost("a", 4);
    const JobId longer = site.AddJob("a-longer", MakeStep(6, 1000));
    site.RunRound();
    site.clock().Advance(Duration(900));
    const JobId other = site.AddJob("b-other", MakeStep(6, 1000));
    for (RunningTask& task : site.report("a").running) {
      task.progress_percent = 10;
    }
    site.Report("a");
    site.End("a", MakeRun(longer, 0, 1), EndKind::kStopped);
    site.RunRound();
    LONGS_EQUAL(sibling_run_times ? 1 : 0, site.HostsOf(other).size());
  }
}

// Guards against judging a host slow because runs of one step began with
// different estimates.
TEST(RunTimes, BetterEstimatesOfLaterRunsBlameNoHost) {
  harness.AddHost("a", 4);
  harness.AddHost("b", 4);
  StepSpec step = MakeStep(6, 2000);
  step.estimate = Duration(400);
  const JobId job = harness.AddJob("job", step);
  harness.RunRound();
  for (int round = 0; round < 8; ++round) {
    harness.clock().Advance(Duration(500));
    for (const char* host : {"a", "b"}) {
      for (RunningTask& task : harness.report(host).running) {
        task.progress_percent =
            std::min(99, task.progress_percent + 500 * 100 / 2400);
      }
      harness.Report(host);
    }
    if (round == 3) {
      const auto running = harness.report("b").running;
      for (const RunningTask& task : running) {
        harness.End("b", task.id, EndKind::kDone);
      }
      harness.RunRound();
    }
    CHECK(harness.Orders("a").stops.empty());
    CHECK(harness.Orders("b").stops.empty());
  }
}

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

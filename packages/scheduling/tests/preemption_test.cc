#include <CppUTest/TestHarness.h>

#include <utility>

#include "scheduling/tests/scheduler_harness.h"

using namespace zinniacart;

TEST_GROUP(PreemptionOfLateWork) {
  SchedulerHarness harness;
  JobId late{"late"};

  /// Fills a host with four runs of a job that is late by far.
  static void FillHost(SchedulerHarness & site, StepSpec step) {
    site.AddHost("a", 4);
    step.checkpoints = true;
    site.AddJob("late", std::move(step));
    site.RunRound();
    site.clock().Advance(Duration(30000));
    site.Report("a");
  }
  void FillHost() {
    FillHost(harness, MakeStep(8, 1000));
  }
  static std::vector<TaskRun> StopsAfterRound(SchedulerHarness & site) {
    site.scheduler().Place();
    site.Write();
    return site.Orders("a").stops;
  }
  std::vector<TaskRun> StopsAfterRound() {
    return StopsAfterRound(harness);
  }
};

// Guards against a burst's late work that keeps hosts from jobs that can still
// be in time. A stopped task runs again only after its end is seen.
TEST(PreemptionOfLateWork, JobThatCanBeInTimeGetsThePlaceOfLateRuns) {
  FillHost();
  const JobId timely = harness.AddJob("timely", MakeStep(2, 1000));
  const auto stops = StopsAfterRound();
  LONGS_EQUAL(2, stops.size());
  LONGS_EQUAL(0, harness.HostsOf(timely).size());
  for (const TaskRun& id : stops) {
    CHECK(id.task.job == late);
    harness.End("a", id, EndKind::kStopped, "checkpoint");
  }
  harness.RunRound();
  LONGS_EQUAL(2, harness.HostsOf(timely).size());
  LONGS_EQUAL(2, harness.HostsOf(late).size());
}

// Guards against stopping more runs while the first stops are on their way.
TEST(PreemptionOfLateWork, StopsUnderWayCountAsRoom) {
  FillHost();
  harness.AddJob("timely", MakeStep(2, 1000));
  LONGS_EQUAL(2, StopsAfterRound().size());
  harness.clock().Advance(Duration(400));
  harness.Report("a");
  LONGS_EQUAL(0, StopsAfterRound().size());
}

TEST(PreemptionOfLateWork, RunsWithoutCheckpointsAndGangsAreKept) {
  StepSpec gang = MakeStep(4, 1000);
  gang.gang = true;
  FillHost(harness, gang);
  harness.AddJob("timely", MakeStep(2, 1000));
  LONGS_EQUAL(0, StopsAfterRound().size());
}

TEST(PreemptionOfLateWork, TaskThatFitsNowhereAnywayStopsNothing) {
  FillHost();
  StepSpec elsewhere = MakeStep(1, 1000);
  elsewhere.required_label = "other";
  harness.AddJob("elsewhere", elsewhere);
  harness.AddJob("too-large", MakeStep(1, 5000));
  LONGS_EQUAL(0, StopsAfterRound().size());
}

TEST(PreemptionOfLateWork, WorkOfHigherPriorityIsKept) {
  FillHost();
  harness.AddJob("timely", MakeStep(2, 1000), 1);
  LONGS_EQUAL(0, StopsAfterRound().size());
}

TEST(PreemptionOfLateWork, IsSwitchedOffBySettings) {
  SchedulerSettings settings;
  settings.preempt_late_work = false;
  SchedulerHarness without(settings);
  FillHost(without, MakeStep(8, 1000));
  without.AddJob("timely", MakeStep(2, 1000));
  LONGS_EQUAL(0, StopsAfterRound(without).size());
}

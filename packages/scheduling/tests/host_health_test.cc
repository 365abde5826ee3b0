#include "scheduling/host_health.h"

#include <CppUTest/TestHarness.h>

#include "scheduling/headroom.h"
#include "scheduling/tests/scheduler_harness.h"

using namespace zinniacart;

TEST_GROUP(HostHealth) {
  HostHealth health;
  ManualClock clock;
  const Duration estimate{1000};

  void Evaluate(std::vector<double> progresses, Duration elapsed) {
    health.BeginEvaluation();
    for (const double progress : progresses) {
      health.OnRunning(estimate, elapsed, progress);
    }
    health.FinishEvaluation(1.0, clock.Now());
  }
};

TEST(HostHealth, HostAsFastAsOthersIsHealthy) {
  Evaluate({0.9, 1.0, 0.8}, Duration(1000));
  CHECK_FALSE(health.unhealthy());
  DOUBLES_EQUAL(0.9, *health.speed(), 0.01);
}

TEST(HostHealth, HostWithoutProgressIsUnhealthy) {
  Evaluate({0.0, 0.0}, Duration(800));
  CHECK(health.unhealthy());
}

TEST(HostHealth, SingleLongTaskGivesNoVerdict) {
  Evaluate({0.05}, Duration(5000));
  CHECK_FALSE(health.unhealthy());
}

TEST(HostHealth, JustStartedTasksGiveNoVerdict) {
  Evaluate({0.0, 0.0, 0.0}, Duration(300));
  CHECK_FALSE(health.unhealthy());
}

TEST(HostHealth, UnhealthyHostIsRetriedAfterDelay) {
  Evaluate({0.0, 0.0}, Duration(800));
  clock.Advance(HealthSettings().retry_after);
  Evaluate({}, Duration(0));
  CHECK(health.unhealthy());
  clock.Advance(Duration(1));
  Evaluate({}, Duration(0));
  CHECK_FALSE(health.unhealthy());
}

TEST_GROUP(UnhealthyHost) {
  SchedulerHarness harness;

  /// Reports the progress of all tasks on the host.
  void ReportProgress(const std::string& host, int percent) {
    for (RunningTask& task : harness.report(host).running) {
      task.progress_percent = percent;
    }
    harness.Report(host);
  }

  /// Starts two tasks on each of three more hosts.
  void StartWellEstimatedOnOthers() {
    for (const char* host : {"x", "y", "z"}) {
      harness.AddHost(host, 8);
    }
    StepSpec step = MakeStep(6, 4000);
    step.most_per_host = 2;
    harness.AddJob("well-estimated", step);
    harness.RunRound();
  }

  void ReportProgressOfOthers(int percent) {
    for (const char* host : {"x", "y", "z"}) {
      ReportProgress(host, percent);
    }
  }

  JobId StartOnTwoHosts(StepSpec step) {
    harness.AddHost("a", 4);
    harness.AddHost("b", 4);
    step.most_per_host = 2;
    const JobId job = harness.AddJob("job", step);
    harness.RunRound();
    return job;
  }
};

// Guards against waiting for a worker that becomes slow while its announcements
// stay normal: its tasks must move, and it must get no further ones.
TEST(UnhealthyHost, TasksAreStoppedAndPlacedElsewhere) {
  StartOnTwoHosts(MakeStep(4, 100));
  harness.clock().Advance(Duration(900));
  ReportProgress("b", 90);
  ReportProgress("a", 5);
  const HostOrders orders = harness.Orders("a");
  LONGS_EQUAL(2, orders.stops.size());
  for (const TaskRun& id : orders.stops) {
    harness.End("a", id, EndKind::kStopped);
  }
  const JobId more = harness.AddJob("more", MakeStep(3, 100));
  harness.RunRound();
  for (const std::string& host : harness.HostsOf(more)) {
    STRCMP_EQUAL("b", host.c_str());
  }
}

// More tasks of a step were stopped at once than it can miss.
TEST(UnhealthyHost, TasksAreStoppedWithinTheBudgetOfTheirStep) {
  StepSpec step = MakeStep(4, 100);
  step.disruption_budget = 1;
  StartOnTwoHosts(step);
  harness.clock().Advance(Duration(900));
  ReportProgress("b", 90);
  ReportProgress("a", 5);
  LONGS_EQUAL(1, harness.Orders("a").stops.size());
}

TEST(UnhealthyHost, SpeculativeTaskIsDuplicatedAtOnce) {
  // Four tasks are on the unhealthy host, the fifth on another one.
  StepSpec step = MakeStep(5, 100);
  step.speculative = true;
  step.most_per_host = 4;
  harness.AddHost("a", 4);
  harness.AddHost("c", 4);
  const JobId job = harness.AddJob("job", step);
  harness.RunRound();
  harness.AddHost("b", 4);
  StepSpec other = MakeStep(4, 100);
  other.most_per_host = 2;
  harness.AddJob("other", other);
  harness.RunRound();
  harness.clock().Advance(Duration(900));
  ReportProgress("c", 90);
  ReportProgress("b", 90);
  ReportProgress("a", 5);
  harness.report("c").facts->draining = true;
  harness.Report("c");
  harness.scheduler().Place();
  harness.Write();
  LONGS_EQUAL(4, harness.HostsOf(job).size() - 5);
  harness.Orders("b");
  // The first run to end counts; its duplicate is stopped.
  harness.End("a", MakeRun(job, 0, 1), EndKind::kDone);
  CHECK(harness.Orders("b").stops.at(0) == MakeRun(job, 0, 2));
}

// Guards against blaming hosts for a wrong estimate: the declared run time of
// this step is far too short, so its tasks are equally slow on both hosts.
TEST(UnhealthyHost, StepSlowOnAllHostsMarksNoHostUnhealthy) {
  StartOnTwoHosts(MakeStep(4, 100));
  StartWellEstimatedOnOthers();
  harness.clock().Advance(Duration(900));
  ReportProgressOfOthers(90);
  for (const char* host : {"b", "a", "b"}) {
    ReportProgress(host, 10);
  }
  CHECK(harness.Orders("a").stops.empty());
  CHECK(harness.Orders("b").stops.empty());
}

TEST(UnhealthyHost, SingleStepMarksNoHostUnhealthy) {
  harness.AddHost("a", 4);
  harness.AddJob("wrongly-estimated", MakeStep(2, 100));
  harness.RunRound();
  StartWellEstimatedOnOthers();
  harness.clock().Advance(Duration(900));
  ReportProgressOfOthers(90);
  ReportProgress("a", 10);
  CHECK(harness.Orders("a").stops.empty());
}

TEST_GROUP(Headroom) {
  Headroom headroom;
  ManualClock clock;
};

TEST(Headroom, PeakIsReservedAndDecays) {
  headroom.Observe(10000, 0, clock.Now());
  LONGS_EQUAL(12000, headroom.Reserve());
  clock.Advance(HeadroomSettings().half_life);
  headroom.Observe(0, 0, clock.Now());
  LONGS_EQUAL(6000, headroom.Reserve());
  headroom.Observe(1000, 1000, clock.Now());
  LONGS_EQUAL(5000, headroom.Reserve());
}

// Guards against small perpetual tasks that take the capacity of large ones:
// after a power failure all of them arrive at once, for fewer hosts than
// before.
TEST(Headroom, SmallPerpetualTasksDoNotStarveLargeOnes) {
  SchedulerHarness harness;
  StepSpec small = MakeStep(8, 1500);
  small.perpetual = true;
  harness.AddJob("a-small", small);
  StepSpec large = MakeStep(3, 5000);
  large.perpetual = true;
  const JobId job = harness.AddJob("b-large", large);
  harness.AddHost("a", 10);
  harness.AddHost("b", 8);
  harness.RunRound();
  LONGS_EQUAL(3, harness.HostsOf(job).size());
}

// Guards against perpetual tasks that take all capacity: they demand more than
// the host has, then short tasks arrive.
TEST(Headroom, PerpetualTasksLeaveCapacityForShortTasks) {
  SchedulerHarness harness;
  harness.AddHost("a", 10);
  harness.AddJob("short", MakeStep(4, 1000));
  harness.RunRound();
  for (std::uint32_t index = 0; index < 4; ++index) {
    harness.End("a", MakeRun(JobId("short"), index, 1), EndKind::kDone);
  }
  StepSpec perpetual = MakeStep(5, 3000);
  perpetual.perpetual = true;
  const JobId lasting = harness.AddJob("lasting", perpetual);
  harness.RunRound();
  LONGS_EQUAL(2, harness.HostsOf(lasting).size());
  const JobId burst = harness.AddJob("burst", MakeStep(4, 1000));
  harness.RunRound();
  LONGS_EQUAL(4, harness.HostsOf(burst).size());
}

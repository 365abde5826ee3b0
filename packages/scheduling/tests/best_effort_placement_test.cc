#include <CppUTest/TestHarness.h>

#include "scheduling/tests/scheduler_harness.h"

using namespace zinniacart;

TEST_GROUP(BestEffortPlacement) {
  SchedulerHarness harness;

  StepSpec BestEffort(const std::string& image, std::uint32_t count) {
    StepSpec step = MakeStep(count, 2000);
    step.best_effort = true;
    step.checkpoints = true;
    step.image = image;
    return step;
  }

  StepSpec Serving(std::uint32_t count) {
    StepSpec step = MakeStep(count, 3000);
    step.perpetual = true;
    step.image = "serving";
    step.latency_target = Duration(100);
    step.most_per_host = 1;
    return step;
  }

  /// Reports the tail latency of the host's serving task, and the millicores in
  /// use by each best-effort task: by default all that it demands, 0 while it
  /// is halted.
  void Measure(const std::string& host, std::int64_t tail_ms,
               std::int64_t used_millicores = 2000) {
    for (RunningTask& task : harness.report(host).running) {
      task.measure =
          task.id.task.job == JobId("serving") ? tail_ms : used_millicores;
    }
    harness.clock().Advance(Duration(500));
    harness.Report(host);
  }
};

TEST(BestEffortPlacement, UsesIdleProcessorsOfServingTasks) {
  harness.AddHost("a", 3);
  harness.AddJob("serving", Serving(1));
  harness.RunRound();
  Measure("a", 10);
  // All of the host is reserved, but two fifths are idle most of the time.
  const JobId batch = harness.AddJob("batch", BestEffort("quiet", 1));
  harness.RunRound();
  LONGS_EQUAL(1, harness.HostsOf(batch).size());
}

// Guards against learning the same interference on each host:
// best-effort work arrives while hosts run serving tasks that one of its images
// interferes with. What is measured on one host must keep that image off the
// others.
TEST(BestEffortPlacement, LearnedInterferenceAppliesToOtherHosts) {
  harness.AddHost("a", 8);
  harness.AddHost("b", 8);
  harness.AddJob("serving", Serving(2));
  harness.RunRound();
  Measure("a", 20);
  Measure("b", 20);
  const JobId batch = harness.AddJob("batch", BestEffort("harmful", 1));
  harness.RunRound();
  const std::string first = harness.HostsOf(batch).at(0);
  for (int sample = 0; sample < 10; ++sample) {
    Measure(first, 90);
    Measure(first == "a" ? "b" : "a", 20);
    harness.clock().Advance(Duration(500));
  }
  const JobId more = harness.AddJob("more", BestEffort("harmful", 2));
  const JobId quiet = harness.AddJob("quiet", BestEffort("quiet", 2));
  harness.RunRound();
  LONGS_EQUAL(0, harness.HostsOf(more).size());
  LONGS_EQUAL(2, harness.HostsOf(quiet).size());
}

TEST(BestEffortPlacement, LongWaitingJobStartsEvenIfItMustBeSlowed) {
  harness.AddHost("a", 8);
  harness.AddJob("serving", Serving(1));
  harness.RunRound();
  Measure("a", 95);
  const JobId batch = harness.AddJob("batch", BestEffort("batch", 2));
  harness.RunRound();
  LONGS_EQUAL(0, harness.HostsOf(batch).size());
  harness.clock().Advance(SchedulerSettings().max_wait_for_full_speed +
                          Duration(1));
  Measure("a", 95);
  harness.RunRound();
  LONGS_EQUAL(1, harness.HostsOf(batch).size());
}

// Replays a busy site: serving tasks near their peak reserve most of it, and a
// job that was started there would be halted and be late.
TEST(BestEffortPlacement, LongWaitingJobWaitsOnWhileTheSiteIsBusy) {
  harness.AddHost("a", 4);
  harness.AddJob("serving", Serving(1));
  harness.RunRound();
  Measure("a", 95);
  const JobId batch = harness.AddJob("batch", BestEffort("batch", 2));
  harness.clock().Advance(SchedulerSettings().max_wait_for_full_speed +
                          Duration(1));
  Measure("a", 95);
  harness.RunRound();
  LONGS_EQUAL(0, harness.HostsOf(batch).size());
  // The peak is over.
  for (int sample = 0; sample < 6; ++sample) {
    Measure("a", 20);
  }
  harness.RunRound();
  LONGS_EQUAL(1, harness.HostsOf(batch).size());
}

TEST(BestEffortPlacement, HaltedWorkMovesToHostWithSpareMargin) {
  harness.AddHost("a", 8);
  harness.AddJob("serving", Serving(1));
  harness.RunRound();
  Measure("a", 20);
  const JobId batch = harness.AddJob("batch", BestEffort("batch", 1));
  harness.RunRound();
  // Stays over the target until the plan is considered wrong.
  int percent = 100;
  for (int sample = 0; sample < 3; ++sample) {
    Measure("a", 200);
    for (const PaceOrder& pace : harness.Orders("a").paces) {
      percent = pace.percent;
    }
  }
  LONGS_EQUAL(0, percent);
  harness.AddHost("b", 8);
  harness.clock().Advance(SchedulerSettings().min_stay);
  // The serving task's own load now brings it close to its target.
  for (int sample = 0; sample < 6; ++sample) {
    Measure("a", 95, 0);
    harness.Report("b");
    harness.scheduler().OnTick();
  }
  CHECK(harness.Orders("a").stops.at(0) == MakeRun(batch, 0, 1));
  harness.End("a", MakeRun(batch, 0, 1), EndKind::kStopped, "half");
  harness.RunRound();
  CHECK(harness.HostsOf(batch) == std::vector<std::string>{"b"});
}

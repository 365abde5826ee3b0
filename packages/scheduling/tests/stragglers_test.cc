#include <CppUTest/TestHarness.h>

#include "scheduling/tests/scheduler_harness.h"

using namespace zinniacart;

TEST_GROUP(StragglingRuns) {
  SchedulerHarness harness;
  const JobId job{"job"};

  /// Runs four tasks on two hosts. All end but the last one on host "b", which
  /// has done little after several times the run time of the others.
  void Straggle(SchedulerHarness & site, StepSpec step) {
    site.AddHost("a", 40);
    site.AddHost("b", 40);
    step.most_per_host = 3;
    site.AddJob("job", step);
    site.RunRound();
    site.clock().Advance(Duration(1000));
    for (const char* host : {"a", "b"}) {
      const auto running = site.report(host).running;
      for (const RunningTask& task : running) {
        if (task.id.task.index != 3) {
          site.End(host, task.id, EndKind::kDone);
        }
      }
    }
    site.clock().Advance(Duration(3000));
    for (const char* host : {"a", "b"}) {
      for (RunningTask& task : site.report(host).running) {
        task.progress_percent = 10;
      }
      site.Report(host);
    }
    site.scheduler().OnTick();
    site.RunRound();
  }
  static StepSpec Step(bool speculative, bool checkpoints) {
    StepSpec step = MakeStep(4, 1000);
    step.speculative = speculative;
    step.checkpoints = checkpoints;
    return step;
  }
};

// Guards against a job that waits for one task on a slow host that has too few
// tasks to be judged. There is one copy only; the first run to end counts.
TEST(StragglingRuns, SpeculativeTaskGetsOneCopyAndTheFirstToEndCounts) {
  Straggle(harness, Step(true, false));
  LONGS_EQUAL(2, harness.HostsOf(job).size());
  CHECK(harness.HostsOf(job).at(0) != harness.HostsOf(job).at(1));
  CHECK(harness.Orders("a").stops.empty());
  CHECK(harness.Orders("b").stops.empty());
  harness.clock().Advance(Duration(5000));
  harness.Report("a");
  harness.Report("b");
  harness.scheduler().OnTick();
  harness.RunRound();
  LONGS_EQUAL(2, harness.HostsOf(job).size());
  harness.End("a", MakeRun(job, 3, 2), EndKind::kDone);
  CHECK(harness.Orders("b").stops.at(0) == MakeRun(job, 3, 1));
  CHECK(!harness.scheduler().jobs().at(job)->active());
}

TEST(StragglingRuns, OriginalThatEndsFirstStopsTheCopy) {
  Straggle(harness, Step(true, false));
  harness.End("b", MakeRun(job, 3, 1), EndKind::kDone);
  CHECK(harness.Orders("a").stops.at(0) == MakeRun(job, 3, 2));
}

// Guards against an original that runs on after its job was cancelled.
TEST(StragglingRuns, CancelledJobStopsBothRuns) {
  Straggle(harness, Step(true, false));
  harness.scheduler().CancelJob(job);
  LONGS_EQUAL(1, harness.Orders("a").stops.size());
  LONGS_EQUAL(1, harness.Orders("b").stops.size());
}

// Guards against a third run: the host of the original no longer responds, so
// that its tasks would be started elsewhere.
TEST(StragglingRuns, UnresponsiveHostOfTheOriginalGivesNoFurtherCopy) {
  Straggle(harness, Step(true, false));
  harness.AddHost("c", 40);
  harness.clock().Advance(Duration(1400));
  harness.Report("a");
  harness.Report("c");
  harness.scheduler().OnTick();
  harness.RunRound();
  LONGS_EQUAL(2, harness.HostsOf(job).size());
}

// A task that is not speculative never has two runs at once.
TEST(StragglingRuns, TaskWithCheckpointsIsMovedOnceItsRunHasEnded) {
  Straggle(harness, Step(false, true));
  LONGS_EQUAL(1, harness.HostsOf(job).size());
  harness.End("b", MakeRun(job, 3, 1), EndKind::kStopped, "checkpoint");
  harness.RunRound();
  STRCMP_EQUAL("a", harness.HostsOf(job).at(0).c_str());
}

TEST(StragglingRuns, OtherTasksAndSwitchedOffMitigationAreLeftAlone) {
  Straggle(harness, Step(false, false));
  LONGS_EQUAL(1, harness.HostsOf(job).size());
  SchedulerSettings settings;
  settings.stragglers.enabled = false;
  SchedulerHarness without(settings);
  Straggle(without, Step(true, true));
  LONGS_EQUAL(1, without.HostsOf(job).size());
}

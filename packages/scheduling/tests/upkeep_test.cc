#include <CppUTest/TestHarness.h>

#include "scheduling/tests/scheduler_harness.h"

using namespace zinniacart;

TEST_GROUP(Upkeep) {
  SchedulerHarness harness;
  const JobId job{"job"};

  StepSpec ServingStep(std::uint32_t count, std::uint32_t budget = 0) {
    StepSpec step = MakeStep(count, 1000);
    step.perpetual = true;
    step.latency_target = Duration(100);
    step.disruption_budget = budget;
    return step;
  }

  /// Reports all runs of the hosts as ready.
  void Ready(const std::vector<std::string>& hosts) {
    for (const std::string& host : hosts) {
      for (RunningTask& task : harness.report(host).running) {
        task.progress_percent = 100;
      }
      harness.Report(host);
    }
  }

  void Empty(const std::string& host, Duration spare = Duration(0)) {
    harness.scheduler().SetUpkeep({{HostId(host), HostUpkeep::kEmptying}});
    harness.scheduler().EmptyHosts({{HostId(host), spare}});
  }

  /// @returns the runs that the host is ordered to stop, which then end.
  std::size_t Stop(const std::string& host,
                   const std::string& checkpoint = {}) {
    const auto stops = harness.Orders(host).stops;
    for (const TaskRun& id : stops) {
      harness.End(host, id, EndKind::kStopped, checkpoint);
    }
    return stops.size();
  }

  std::size_t CountOn(const std::string& host) {
    return harness.scheduler().hosts().at(HostId(host)).runs.size();
  }
};

// New tasks were placed on a host whose upkeep was about to end them.
TEST(Upkeep, AHostThatIsEmptiedGetsNoNewTasks) {
  harness.AddHost("a", 4);
  Empty("a");
  harness.AddJob("job", MakeStep(1, 1000));
  harness.RunRound();
  LONGS_EQUAL(0, CountOn("a"));
  harness.scheduler().SetUpkeep({});
  harness.RunRound();
  LONGS_EQUAL(1, CountOn("a"));
}

// All tasks of a step moved at once, so that nobody served its callers.
TEST(Upkeep, ServingTasksMoveOneAtATimeWhileTheOthersAreAtWork) {
  harness.AddHost("a", 4);
  harness.AddJob("job", ServingStep(3));
  harness.RunRound();
  harness.AddHost("b", 4);
  Ready({"a"});
  for (int moved = 1; moved <= 3; ++moved) {
    Empty("a");
    LONGS_EQUAL(1, Stop("a"));
    harness.RunRound();
    LONGS_EQUAL(moved, CountOn("b"));
    Empty("a");  // The task that was moved is not ready yet.
    LONGS_EQUAL(0, Stop("a"));
    Ready({"a", "b"});
  }
  CHECK(harness.scheduler().WorkOn(HostId("a")).empty);
}

// A task was stopped that fits nowhere else.
TEST(Upkeep, ATaskStaysWhereNoOtherHostHasRoom) {
  harness.AddHost("a", 4);
  harness.AddJob("job", ServingStep(2));
  harness.RunRound();
  Ready({"a"});
  Empty("a");
  LONGS_EQUAL(0, Stop("a"));
}

// Work was lost that a checkpoint saves, or that was about to end by itself.
TEST(Upkeep, FiniteTasksMoveOnlyWithACheckpointAndIfTheyDoNotEndSoon) {
  harness.AddHost("a", 4);
  StepSpec saving = MakeStep(1, 1000);
  saving.checkpoints = true;
  harness.AddJob("saving", saving);
  harness.AddJob("losing", MakeStep(1, 1000));
  harness.RunRound();
  harness.AddHost("b", 4);
  Empty("a", Duration(1000));
  LONGS_EQUAL(0, Stop("a"));
  Empty("a", Duration(900));
  LONGS_EQUAL(1, Stop("a", "saved"));
  harness.RunRound();
  LONGS_EQUAL(1, CountOn("a"));
  LONGS_EQUAL(1, CountOn("b"));
}

// The upkeep of a host ended more tasks of a step than it can miss.
TEST(Upkeep, TheBudgetCountsAllThatAreAwayForAnyCause) {
  harness.AddHost("a", 1);
  harness.AddHost("b", 1);
  harness.AddHost("c", 1);
  harness.AddJob("job", ServingStep(3, 2));
  harness.RunRound();
  Ready({"a", "b", "c"});
  const auto may_end = [&](const char* host) {
    return harness.scheduler().WorkOn(HostId(host)).may_end;
  };
  CHECK(may_end("a"));
  harness.scheduler().SetUpkeep({{HostId("a"), HostUpkeep::kOrdered}});
  CHECK(may_end("b"));
  harness.clock().Advance(Duration(900));
  Ready({"a", "b"});
  CHECK(may_end("b"));
  harness.clock().Advance(Duration(200));  // "c" is silent for too long.
  CHECK_FALSE(may_end("b"));
  // What "c" had may still be at work, without a report.
  CHECK(may_end("c"));
  Ready({"a", "c"});
  harness.clock().Advance(Duration(1100));
  CHECK_FALSE(may_end("c"));
  Ready({"b", "c"});
  CHECK(may_end("b"));
}

// A step without a budget lost two tasks of one host at once.
TEST(Upkeep, APerpetualStepWithoutABudgetLosesOneTaskAtATime) {
  harness.AddHost("a", 2);
  harness.AddJob("job", ServingStep(2));
  harness.RunRound();
  Ready({"a"});
  CHECK_FALSE(harness.scheduler().WorkOn(HostId("a")).may_end);
}

// Tasks were suspected of crashing the worker that their host's upkeep ended.
TEST(Upkeep, AnUpkeepSpeaksAgainstNoTask) {
  harness.AddHost("a", 1);
  harness.AddJob("job", MakeStep(1, 1000));
  harness.RunRound();
  harness.scheduler().SetUpkeep({{HostId("a"), HostUpkeep::kOrdered}});
  harness.Crash("a");
  harness.scheduler().SetUpkeep({});
  harness.RunRound();
  LONGS_EQUAL(1, CountOn("a"));
  CHECK(harness.scheduler()
            .jobs()
            .at(job)
            ->Find({job, 0, 0, 0})
            ->crashes.late.empty());
}

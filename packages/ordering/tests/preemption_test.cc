#include "ordering/preemption.h"

#include <CppUTest/TestHarness.h>

using namespace zinniacart;

TEST_GROUP(Preemption) {
  std::vector<PreemptionHost> hosts;
  bool accept = true;

  static PreemptionCandidate Run(std::int64_t millicores, double unsaved,
                                 OrderTier tier = OrderTier::kLater,
                                 int priority = 0) {
    return {priority, tier, Resources{millicores, 100, 0}, false, unsaved};
  }
  static WaitingDemand Waiting(std::size_t tasks, std::int64_t millicores) {
    return {0, tasks, Resources{millicores, 100, 0}, false};
  }
  std::vector<Preemption> Choose(const WaitingDemand& demand) {
    return ChoosePreemptions({demand}, hosts,
                             [this](const Preemption&) { return accept; });
  }
  void AddHost(std::vector<PreemptionCandidate> candidates) {
    hosts.push_back({Resources{0, 1000, 0}, 0, std::move(candidates)});
  }
};

// Guards against late work that keeps the capacity while a job waits that can
// still be in time: replays a burst that has filled two hosts with late runs.
TEST(Preemption, StopsOnlyAsManyRunsAsTheWaitingTasksNeed) {
  AddHost({Run(1000, 3), Run(1000, 1), Run(1000, 2)});
  AddHost({Run(1000, 5), Run(1000, 6), Run(1000, 7)});
  const auto chosen = Choose(Waiting(2, 1000));
  LONGS_EQUAL(2, chosen.size());
  LONGS_EQUAL(0, chosen[0].host);
  LONGS_EQUAL(1, chosen[0].runs.at(0));
  LONGS_EQUAL(2, chosen[1].runs.at(0));
}

TEST(Preemption, WorkThatIsWorthNothingIsStoppedFirst) {
  AddHost({Run(1000, 0.1, OrderTier::kWithinThree)});
  AddHost({Run(1000, 9)});
  LONGS_EQUAL(1, Choose(Waiting(1, 1000)).at(0).host);
}

TEST(Preemption, HigherPriorityAndTimelyWorkIsKept) {
  AddHost({Run(1000, 1, OrderTier::kLater, -1)});
  AddHost({Run(1000, 1, OrderTier::kInTime)});
  LONGS_EQUAL(0, Choose(Waiting(1, 1000)).size());
}

// Guards against stops that help nobody: the task may not start on the host,
// or the host is too small for it.
TEST(Preemption, NothingIsStoppedWhereTheTaskMayNotStart) {
  AddHost({Run(1000, 1)});
  LONGS_EQUAL(0, Choose(Waiting(1, 2000)).size());
  accept = false;
  LONGS_EQUAL(0, Choose(Waiting(1, 1000)).size());
}

TEST(Preemption, SmallRunBesideALargeOneIsKept) {
  AddHost({Run(500, 1), Run(2000, 2)});
  const auto chosen = Choose(Waiting(1, 2000));
  LONGS_EQUAL(1, chosen.at(0).runs.size());
  LONGS_EQUAL(1, chosen[0].runs[0]);
}

// Guards against best-effort tasks that are kept out by interference though
// the runs which cause it could be stopped.
TEST(Preemption, BestEffortRunsAreStoppedUntilTheInterferenceAllowsATask) {
  PreemptionCandidate run = Run(1000, 1);
  run.best_effort = true;
  AddHost({run, run, run});
  WaitingDemand demand = Waiting(1, 1000);
  demand.best_effort = true;
  const auto chosen = ChoosePreemptions(
      {demand}, hosts,
      [](const Preemption& proposed) { return proposed.runs.size() == 2; });
  LONGS_EQUAL(2, chosen.at(0).runs.size());
  // Best-effort runs hold no reserved processors that others could get.
  LONGS_EQUAL(0, Choose(Waiting(1, 1000)).size());
}

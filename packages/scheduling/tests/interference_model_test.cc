#include "scheduling/interference_model.h"

#include <CppUTest/TestHarness.h>

#include <random>

#include "scheduling/serving_load.h"
#include "scheduling/tests/scheduler_harness.h"

using namespace zinniacart;

TEST_GROUP(InterferenceModel) {
  InterferenceModel model;
  ManualClock clock;
  ServingLoad load{3.0, 0.01, Instant{0}};
  const InterferenceSettings settings;

  void Learn(double margin, const std::vector<ImageUse>& beside) {
    model.Learn("serving", margin, beside, load, clock.Now());
  }
  double PerCore(const std::string& image) {
    return model.Estimate("serving", image, clock.Now()).loss_per_core;
  }
};

TEST(InterferenceModel, APairThatWasNeverSeenIsNeitherTrustedNorShunned) {
  const InterferenceEstimate harm =
      model.Estimate("serving", "batch", clock.Now());
  DOUBLES_EQUAL(settings.unknown_per_core, harm.loss_per_core, 1e-9);
  CHECK(harm.Conservative() > harm.loss_per_core);
}

TEST(InterferenceModel, IdleWorkTeachesNothing) {
  Learn(0.5, {ImageUse{"batch", 0.0, 0.0}});
  DOUBLES_EQUAL(settings.unknown_per_core, PerCore("batch"), 1e-9);
}

TEST(InterferenceModel, ImagesThatWorkTogetherAreToldApart) {
  std::mt19937 random(7);
  std::uniform_real_distribution<double> cores(0.0, 3.0);
  std::normal_distribution<double> noise(0.0, 0.05);
  for (int sample = 0; sample < 60; ++sample) {
    const double harmful = cores(random);
    const double harmless = cores(random);
    // An undisturbed sibling, then the disturbed task.
    Learn(3.0 + noise(random), {});
    Learn(3.0 - 0.8 * harmful + noise(random),
          {ImageUse{"harmful", harmful, 0.0},
           ImageUse{"harmless", harmless, 0.0}});
    clock.Advance(Duration(500));
  }
  DOUBLES_EQUAL(0.8, PerCore("harmful"), 0.1);
  DOUBLES_EQUAL(0.0, PerCore("harmless"), 0.1);
  CHECK(model.Estimate("serving", "harmful", clock.Now()).deviation < 0.2);
}

// Load: the same work beside traffic that doubles. Tails grow out of all
// proportion then, what they lose of their margin does not.
TEST(InterferenceModel, WhatIsLearnedHoldsAtAnyLoad) {
  for (int sample = 0; sample < 40; ++sample) {
    const double undisturbed = sample < 20 ? 3.5 : 2.0;
    Learn(undisturbed, {});
    Learn(undisturbed - 1.0, {ImageUse{"batch", 2.0, 0.0}});
    clock.Advance(Duration(500));
  }
  DOUBLES_EQUAL(2.0, load.margin(), 0.2);
  DOUBLES_EQUAL(0.5, PerCore("batch"), 0.1);
}

TEST(InterferenceModel, AChangeIsFollowedWithinAFewSeconds) {
  for (int sample = 0; sample < 20; ++sample) {
    Learn(3.0, {});
    Learn(2.0, {ImageUse{"batch", 2.0, 0.0}});
    clock.Advance(Duration(500));
  }
  DOUBLES_EQUAL(0.5, PerCore("batch"), 0.05);
  constexpr int kSamplesOfFourSeconds = 8;
  for (int sample = 0; sample < kSamplesOfFourSeconds; ++sample) {
    Learn(3.0, {});
    Learn(3.0, {ImageUse{"batch", 2.0, 0.0}});
    clock.Advance(Duration(500));
  }
  CHECK(PerCore("batch") < 0.1);
}

TEST(InterferenceModel, WhatTheMeasuresMayNotShowYetTeachesLittle) {
  InterferenceModel steady;
  ServingLoad same = load;
  steady.Learn("serving", 3.0, {ImageUse{"batch", 2.0, 0.0}}, same,
               clock.Now());
  Learn(3.0, {ImageUse{"batch", 2.0, 2.0}});
  CHECK(PerCore("batch") >
        steady.Estimate("serving", "batch", clock.Now()).loss_per_core);
}

TEST(InterferenceModel, AnUndisturbedTaskIsBelievedRatherThanASlowHost) {
  for (int sample = 0; sample < 20; ++sample) {
    Learn(0.5, {});
    Learn(3.0, {});
    clock.Advance(Duration(500));
  }
  CHECK(load.margin() > 2.5);
}

TEST_GROUP(ServingLoad) {
  ManualClock clock;
  ServingLoad load{3.0, 0.01, Instant{0}};
};

TEST(ServingLoad, ATrendIsExpectedToGoOn) {
  for (int step = 0; step < 5; ++step) {
    load.Correct(3.0 - 0.2 * step, 0.01, clock.Now());
    clock.Advance(Duration(500));
  }
  DOUBLES_EQUAL(0.4, load.ExpectedFall(Duration(1000)), 0.01);
}

TEST(ServingLoad, ARiseIsNotReliedOn) {
  for (int step = 0; step < 5; ++step) {
    load.Correct(2.0 + 0.2 * step, 0.01, clock.Now());
    clock.Advance(Duration(500));
  }
  DOUBLES_EQUAL(0, load.ExpectedFall(Duration(1000)), 1e-9);
}

TEST(ServingLoad, AnEstimateBecomesDoubtfulWithTime) {
  clock.Advance(Duration(2000));
  CHECK(load.Variance(clock.Now()) > load.Variance(Instant{0}));
}

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

  /// Reports `tail_ms` for the serving task of each host and what each
  /// best-effort task uses: all that it asks for, or nothing while halted.
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

TEST(BestEffortPlacement, IdleProcessorsOfServingTasksAreUsed) {
  harness.AddHost("a", 3);
  harness.AddJob("serving", Serving(1));
  harness.RunRound();
  Measure("a", 10);
  // All of the host is reserved; two fifths of it idle at most times.
  const JobId batch = harness.AddJob("batch", BestEffort("quiet", 1));
  harness.RunRound();
  LONGS_EQUAL(1, harness.HostsOf(batch).size());
}

// Load: best-effort work arrives while some hosts run serving tasks that one
// of its images harms. What was learned on one host keeps it off the others.
TEST(BestEffortPlacement, WhatHarmsOnOneHostIsKeptOffTheOthers) {
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

TEST(BestEffortPlacement, AJobThatWaitedLongStartsEvenWhereItMustBeSlowed) {
  harness.AddHost("a", 8);
  harness.AddJob("serving", Serving(1));
  harness.RunRound();
  Measure("a", 95);
  const JobId batch = harness.AddJob("batch", BestEffort("batch", 2));
  harness.RunRound();
  LONGS_EQUAL(0, harness.HostsOf(batch).size());
  harness.clock().Advance(SchedulerSettings().longest_idle + Duration(1));
  Measure("a", 95);
  harness.RunRound();
  LONGS_EQUAL(1, harness.HostsOf(batch).size());
}

TEST(BestEffortPlacement, HaltedWorkMovesToAHostThatCanTakeIt) {
  harness.AddHost("a", 8);
  harness.AddJob("serving", Serving(1));
  harness.RunRound();
  Measure("a", 20);
  const JobId batch = harness.AddJob("batch", BestEffort("batch", 1));
  harness.RunRound();
  // Over the target for as long as it takes to know that the plan is wrong.
  int percent = 100;
  for (int sample = 0; sample < 3; ++sample) {
    Measure("a", 200);
    for (const PaceOrder& pace : harness.Orders("a").paces) {
      percent = pace.percent;
    }
  }
  LONGS_EQUAL(0, percent);
  harness.AddHost("b", 8);
  harness.clock().Advance(SchedulerSettings().least_stay);
  // Its users alone bring the serving task close to its target now.
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

#include "colocation/interference_model.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <random>

#include "colocation/serving_load.h"

using namespace zinniacart;

TEST_GROUP(InterferenceModel) {
  InterferenceModel model;
  ManualClock clock;
  ServingLoad load{3.0, 0.01, Instant{0}};
  const InterferenceSettings settings;

  void Learn(double margin, const std::vector<ImageUse>& colocated) {
    model.Learn("serving", margin, colocated, load, clock.Now());
  }
  double LossPerCore(const std::string& image) {
    return model.Estimate("serving", image, clock.Now()).loss_per_core;
  }
};

TEST(InterferenceModel, UnknownPairGetsPriorEstimate) {
  const InterferenceEstimate estimate =
      model.Estimate("serving", "batch", clock.Now());
  DOUBLES_EQUAL(settings.prior_loss_per_core, estimate.loss_per_core, 1e-9);
  DOUBLES_EQUAL(settings.prior_deviation, estimate.deviation, 1e-9);
}

TEST(InterferenceModel, IdleWorkChangesNoEstimate) {
  Learn(0.5, {ImageUse{"batch", 0.0, 0.0}});
  DOUBLES_EQUAL(settings.prior_loss_per_core, LossPerCore("batch"), 1e-9);
}

TEST(InterferenceModel, SeparatesImagesThatRunTogether) {
  std::mt19937 random(7);
  std::uniform_real_distribution<double> cores(0.0, 3.0);
  std::normal_distribution<double> noise(0.0, 0.05);
  for (int sample = 0; sample < 60; ++sample) {
    const double harmful = cores(random);
    const double harmless = cores(random);
    // A task of the same step without interference, then one with it.
    Learn(3.0 + noise(random), {});
    Learn(3.0 - 0.8 * harmful + noise(random),
          {ImageUse{"harmful", harmful, 0.0},
           ImageUse{"harmless", harmless, 0.0}});
    clock.Advance(Duration(500));
  }
  DOUBLES_EQUAL(0.8, LossPerCore("harmful"), 0.1);
  DOUBLES_EQUAL(0.0, LossPerCore("harmless"), 0.1);
  CHECK(model.Estimate("serving", "harmful", clock.Now()).deviation < 0.2);
}

// Guards against a model that holds at one load only. The traffic of the
// serving task doubles: its tail latency then grows out of proportion, but the
// margin lost to interference stays the same.
TEST(InterferenceModel, EstimatesHoldAtAnyLoad) {
  for (int sample = 0; sample < 40; ++sample) {
    const double baseline = sample < 20 ? 3.5 : 2.0;
    Learn(baseline, {});
    Learn(baseline - 1.0, {ImageUse{"batch", 2.0, 0.0}});
    clock.Advance(Duration(500));
  }
  DOUBLES_EQUAL(2.0, load.margin(), 0.2);
  DOUBLES_EQUAL(0.5, LossPerCore("batch"), 0.1);
}

TEST(InterferenceModel, ChangeIsFollowedWithinFourSeconds) {
  for (int sample = 0; sample < 20; ++sample) {
    Learn(3.0, {});
    Learn(2.0, {ImageUse{"batch", 2.0, 0.0}});
    clock.Advance(Duration(500));
  }
  DOUBLES_EQUAL(0.5, LossPerCore("batch"), 0.05);
  constexpr int kSamplesOfFourSeconds = 8;
  for (int sample = 0; sample < kSamplesOfFourSeconds; ++sample) {
    Learn(3.0, {});
    Learn(3.0, {ImageUse{"batch", 2.0, 0.0}});
    clock.Advance(Duration(500));
  }
  CHECK(LossPerCore("batch") < 0.1);
}

// Replays a host at the worst load: best-effort tasks of one image come and go
// within two seconds beside a serving task whose traffic rises and falls, and
// bursts of short tasks raise its tail latency now and then. Work that does not
// interfere must not be blamed for that, or it would be halted at every peak.
TEST(InterferenceModel, HarmlessWorkIsNotBlamedForBurstsOfOtherTasks) {
  constexpr double kBlamed = 0.1;
  std::mt19937 random(11);
  std::normal_distribution<double> noise(0.0, 0.08);
  constexpr double kSamplesPerWave = 28;
  int blamed = 0;
  for (int sample = 0; sample < 140; ++sample) {
    const double baseline =
        2.75 + 1.15 * std::sin(2 * M_PI * sample / kSamplesPerWave);
    const double cores = sample % 4 == 0 ? 1.7 : 3.5;
    const bool burst = sample % 9 == 8;
    Learn(baseline * (1 + noise(random)), {});
    Learn(baseline * (burst ? 0.4 : 1.0) * (1 + noise(random)),
          {ImageUse{"harmless", cores, cores < 3 ? 3.5 : 0.0}});
    blamed += sample >= 20 && LossPerCore("harmless") > kBlamed ? 1 : 0;
    clock.Advance(Duration(500));
  }
  LONGS_EQUAL(0, blamed);
}

TEST(InterferenceModel, UnsteadyWorkChangesEstimatesLess) {
  InterferenceModel steady;
  ServingLoad steady_load = load;
  steady.Learn("serving", 3.0, {ImageUse{"batch", 2.0, 0.0}}, steady_load,
               clock.Now());
  Learn(3.0, {ImageUse{"batch", 2.0, 2.0}});
  CHECK(LossPerCore("batch") >
        steady.Estimate("serving", "batch", clock.Now()).loss_per_core);
}

TEST(InterferenceModel, SlowHostDoesNotLowerBaseline) {
  for (int sample = 0; sample < 20; ++sample) {
    Learn(0.5, {});
    Learn(3.0, {});
    clock.Advance(Duration(500));
  }
  CHECK(load.margin() > 2.5);
}

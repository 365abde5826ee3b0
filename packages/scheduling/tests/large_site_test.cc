#include <CppUTest/TestHarness.h>

#include <string>

#include "scheduling/tests/scheduler_harness.h"

using namespace zinniacart;

/// A large site with serving tasks on every host and more best-effort tasks
/// than may run colocated with them.
TEST_GROUP(LargeSite) {
  static constexpr int kHosts = 160;
  static constexpr std::uint64_t kServingImages = 16;
  static constexpr std::uint64_t kBatchImages = 30;

  SchedulerHarness harness;

  static std::string HostName(int number) {
    return "host" + std::to_string(number);
  }

  void AddServingHosts() {
    for (int number = 0; number < kHosts; ++number) {
      harness.AddHost(HostName(number), 16);
    }
    for (std::uint64_t number = 0; number < 2 * kServingImages; ++number) {
      StepSpec step = MakeStep(20, 3200);
      step.perpetual = true;
      step.latency_target = Duration(50);
      step.image = "serving" + std::to_string(number % kServingImages);
      harness.AddJob("serving-job" + std::to_string(number), step);
    }
    harness.RunRound();
  }

  void AddBatch() {
    for (std::uint64_t number = 0; number < 2 * kBatchImages; ++number) {
      StepSpec step = MakeStep(40, 1800);
      step.best_effort = true;
      step.checkpoints = true;
      step.image = "batch" + std::to_string(number % kBatchImages);
      harness.AddJob("batch-job" + std::to_string(number), step);
    }
  }
};

TEST(LargeSite, ARoundLooksUpEachPairOfImagesOnlyOnce) {
  AddServingHosts();
  AddBatch();
  harness.RunRound();
  const std::uint64_t before = harness.scheduler().interference().lookups();
  harness.scheduler().Place();
  const std::uint64_t round_lookups =
      harness.scheduler().interference().lookups() - before;
  CHECK(round_lookups > 0);
  CHECK(round_lookups <= kServingImages * kBatchImages);
}

TEST(LargeSite, PlacementsAreStoredBeforeCheckpoints) {
  harness.AddHost("host", 64);
  for (int number = 0; number < 20; ++number) {
    StepSpec step = MakeStep(1, 1000);
    step.checkpoints = true;
    harness.AddJob("long" + std::to_string(number), step);
  }
  harness.RunRound();
  for (RunningTask& task : harness.report("host").running) {
    task.checkpoint = CheckpointId("some work");
  }
  harness.clock().Advance(SchedulerSettings().checkpoint_interval +
                          Duration(1));
  harness.Report("host");
  harness.scheduler().OnTick();
  const JobId urgent = harness.AddJob("urgent", MakeStep(1, 1000));
  harness.scheduler().Place();
  const auto writes = harness.scheduler().TakeWrites(2);
  LONGS_EQUAL(2, writes.size());
  CHECK(writes.at(0).job == urgent);
}

TEST(LargeSite, ATakeoverCountsTheReportTimeoutFromItsFirstRequests) {
  harness.AddHost("host", 16);
  harness.AddHost("other", 16);
  StepSpec step = MakeStep(1, 1000);
  step.speculative = true;
  const JobId job = harness.AddJob("job", step);
  harness.RunRound();
  harness.TakeOver(2);
  // Loading the stored jobs takes longer than the report timeout.
  harness.clock().Advance(2 * SchedulerSettings().report_timeout);
  harness.Report("other");
  harness.scheduler().OnTick();
  harness.scheduler().Place();
  LONGS_EQUAL(1, harness.HostsOf(job).size());
  // A host that sends no report after that is unresponsive.
  harness.clock().Advance(SchedulerSettings().report_timeout + Duration(1));
  harness.Report("other");
  harness.scheduler().OnTick();
  harness.scheduler().Place();
  LONGS_EQUAL(2, harness.HostsOf(job).size());
}

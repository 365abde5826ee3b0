#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

#include "ordering/sibling_speeds.h"
#include "scheduling/tests/scheduler_harness.h"

using namespace zinniacart;

namespace {

constexpr std::uint32_t kMinutesOfAYear = 525600;

/// @returns a job of one task that repeats each minute for a year, of which
/// `due` occurrences have come due.
JobSpec MakeYearlongJob(std::int64_t due) {
  JobSpec spec;
  spec.payload = "payload";
  spec.steps = {MakeStep(1, 500)};
  constexpr Duration kMinute{60000};
  spec.schedule.occurrences = kMinutesOfAYear;
  spec.schedule.interval = kMinute;
  spec.schedule.first_at_ms =
      WallClockMilliseconds() - due * kMinute.count() + kMinute.count() / 2;
  return spec;
}

TaskRun RunOf(const JobId& job, std::uint32_t occurrence, std::uint64_t run) {
  return TaskRun{TaskKey{job, occurrence, 0, 0}, RunNumber(run)};
}

}  // namespace

TEST_GROUP(Occurrences) {
  SchedulerHarness harness;

  /// @returns the occurrences of which a run is placed, in ascending order.
  std::vector<std::uint32_t> PlacedOccurrences() {
    std::vector<std::uint32_t> placed;
    for (const auto& [id, host] : harness.scheduler().hosts()) {
      for (const auto& [run, hosted] : host.runs) {
        placed.push_back(run.task.occurrence);
      }
    }
    std::sort(placed.begin(), placed.end());
    return placed;
  }

  /// Ends the run as done and stores it.
  void Finish(const TaskRun& id) {
    harness.End("a", id, EndKind::kDone);
    harness.Write();
  }
};

// Three jobs that repeat each minute for a year took each owner in turn over
// its memory, because it held the tasks of all occurrences to come.
TEST(Occurrences, MemoryIsTakenOnlyForThoseThatAreDue) {
  harness.AddHost("a", 4);
  for (const char* name : {"first", "second", "third"}) {
    harness.AddJob(name, MakeYearlongJob(2));
  }
  harness.RunRound();
  LONGS_EQUAL(6, harness.scheduler().CountHeldTasks());
  LONGS_EQUAL(6, PlacedOccurrences().size());
  harness.TakeOver(2);
  harness.Report("a");
  LONGS_EQUAL(6, harness.scheduler().CountHeldTasks());
}

// Stored progress named each task that was done, so that it and a takeover grew
// with the age of the job.
TEST(Occurrences, CompleteOnesTakeNeitherMemoryNorProgress) {
  harness.AddHost("a", 64);
  const JobId job = harness.AddJob("job", MakeYearlongJob(50));
  harness.RunRound();
  for (std::uint32_t k = 0; k < 49; ++k) {
    Finish(RunOf(job, k, 1));
  }
  LONGS_EQUAL(1, harness.scheduler().CountHeldTasks());
  const std::string progress =
      harness.scheduler().jobs().at(job)->EncodeProgress();
  CHECK_TEXT(progress.size() < 200, progress.c_str());
  harness.TakeOver(2);
  harness.Report("a");
  harness.RunRound();
  CHECK(PlacedOccurrences() == std::vector<std::uint32_t>{49});
}

TEST(Occurrences, AnEndOfACompleteOneChangesNothing) {
  harness.AddHost("a", 4);
  const JobId job = harness.AddJob("job", MakeYearlongJob(1));
  harness.RunRound();
  Finish(RunOf(job, 0, 1));
  harness.End("a", RunOf(job, 0, 1), EndKind::kDone);
  harness.End("a", RunOf(job, 0, 2), EndKind::kFailed);
  harness.report("a").running = {RunningTask{RunOf(job, 0, 3), {}, 0, 0}};
  harness.Report("a");
  LONGS_EQUAL(1, harness.Orders("a").stops.size());
  harness.RunRound();
  CHECK(PlacedOccurrences().empty());
  CHECK(harness.scheduler().StateOf(job) == JobState::kRunning);
}

TEST(Occurrences, EachOfABacklogIsPlacedInItsTurn) {
  const std::size_t waiting = SchedulerSettings().max_waiting_occurrences;
  harness.AddHost("a", 3);
  const JobId job = harness.AddJob("job", MakeYearlongJob(1000));
  harness.RunRound();
  LONGS_EQUAL(waiting, harness.scheduler().CountHeldTasks());
  LONGS_EQUAL(6, PlacedOccurrences().size());
  harness.RunRound();
  LONGS_EQUAL(6 + waiting, harness.scheduler().CountHeldTasks());
  Finish(RunOf(job, 2, 1));
  harness.RunRound();
  CHECK(PlacedOccurrences() == (std::vector<std::uint32_t>{0, 1, 3, 4, 5, 6}));
}

TEST(Occurrences, AJobIsCompletedWithTheLastOfThem) {
  harness.AddHost("a", 4);
  JobSpec spec = MakeYearlongJob(3);
  spec.schedule.occurrences = 3;
  const JobId job = harness.AddJob("job", spec);
  harness.RunRound();
  Finish(RunOf(job, 2, 1));
  Finish(RunOf(job, 0, 1));
  harness.TakeOver(2);
  harness.Report("a");
  CHECK(harness.scheduler().StateOf(job) == JobState::kRunning);
  Finish(RunOf(job, 1, 1));
  CHECK(harness.scheduler().StateOf(job) == JobState::kCompleted);
}

TEST(Occurrences, ACancelledJobIsStoppedWithAllOfThem) {
  harness.AddHost("a", 4);
  const JobId job = harness.AddJob("job", MakeYearlongJob(2));
  harness.RunRound();
  harness.scheduler().CancelJob(job);
  LONGS_EQUAL(2, harness.Orders("a").stops.size());
}

// The work of all occurrences to come counted as work left, so that a job which
// repeats for years came after all jobs of lower priority.
TEST(Occurrences, ThoseToComeDoNotDelayAJob) {
  harness.AddHost("a", 1);
  JobSpec spec = MakeYearlongJob(1);
  spec.steps = {MakeStep(1, 1000)};
  spec.steps[0].estimate = Duration(60000);
  const JobId job = harness.AddJob("yearlong", spec, 0);
  harness.AddJob("less-important", MakeStep(1, 1000), 1);
  harness.scheduler().Place();
  LONGS_EQUAL(1, harness.HostsOf(job).size());
}

// What was learned of a complete occurrence was kept until its job ended.
TEST(Occurrences, SpeedsOfACompleteOneAreForgotten) {
  SiblingSpeeds speeds;
  const TaskKey first{JobId("job"), 0, 0, 0};
  const TaskKey second{JobId("job"), 1, 0, 0};
  speeds.Observe(first, HostId("a"), 1.0);
  speeds.Observe(second, HostId("a"), 1.0);
  speeds.Forget(JobId("job"), 0);
  CHECK_FALSE(speeds.MedianOnOtherHosts(first, HostId("b")).has_value());
  CHECK(speeds.MedianOnOtherHosts(second, HostId("b")).has_value());
}

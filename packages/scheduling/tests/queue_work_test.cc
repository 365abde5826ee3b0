#include "scheduling/queue_work.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

#include "scheduler_harness.h"

using namespace zinniacart;

namespace {

const QueueId kQueue("queue");

StepSpec MakeStep(std::uint32_t count, std::int64_t cores, int seconds) {
  StepSpec step;
  step.count = count;
  step.demand = Resources{cores * 1000, 100, 0};
  step.estimate = std::chrono::seconds(seconds);
  return step;
}

}  // namespace

/// What the forecast of waits is fed with: a queue of priority 1 beside jobs of
/// other priorities. Objectives are twice the critical path plus a second.
TEST_GROUP(QueueWork) {
  SchedulerHarness site;

  void setup() override {
    SiteConfiguration configuration;
    configuration.version = 1;
    Queue queue;
    queue.id = kQueue;
    queue.policy.service = ServiceId("service");
    queue.policy.priority = 1;
    configuration.queues = {queue};
    site.scheduler().SetConfiguration(configuration);
  }
  /// The jobs' own queues are not declared, so that they keep their policies.
  void AddJob(const std::string& id, StepSpec step, int priority) {
    JobRecord record;
    record.id = JobId(id);
    record.queue = QueueId("queue-of-" + id);
    record.policy.service = ServiceId("service");
    record.policy.priority = priority;
    record.policy.stretch = 2;
    record.policy.objective = Duration(1000);
    record.spec.steps = {std::move(step)};
    site.scheduler().AddJob(record, Duration(0));
  }
  QueueWork Work() {
    site.scheduler().Place();
    return site.scheduler().SummarizeWork().at(kQueue);
  }
};

TEST(QueueWork, CountsWaitingWorkOfTheSameAndHigherPriorities) {
  AddJob("higher", MakeStep(2, 1, 10), 0);
  AddJob("same", MakeStep(3, 2, 10), 1);
  AddJob("lower", MakeStep(5, 1, 10), 2);
  StepSpec perpetual = MakeStep(5, 1, 10);
  perpetual.perpetual = true;
  AddJob("perpetual", perpetual, 0);
  DOUBLES_EQUAL(80, Work().waiting_core_seconds, 0.01);
  DOUBLES_EQUAL(0, Work().finished_core_seconds, 0.01);
}

/// Jobs that are late come after a new one, which does not wait for them.
TEST(QueueWork, LateJobsOfTheSamePriorityAreNotAheadOfNewOnes) {
  AddJob("higher", MakeStep(2, 1, 10), 0);
  AddJob("same", MakeStep(3, 2, 10), 1);
  // Beyond the tolerance of a tenth of the objective, see `TierOf`.
  site.clock().Advance(Duration(14000));
  DOUBLES_EQUAL(20, Work().waiting_core_seconds, 0.01);
}

/// Guards against a repeated job whose occurrences that came due just now were
/// taken for late, since the job was accepted long ago.
TEST(QueueWork, OccurrencesAreJudgedFromTheirOwnDueTime) {
  JobRecord record;
  record.id = JobId("repeated");
  record.queue = QueueId("queue-of-repeated");
  record.policy.service = ServiceId("service");
  record.policy.priority = 1;
  record.policy.stretch = 2;
  record.policy.objective = Duration(1000);
  record.spec.steps = {MakeStep(3, 2, 10)};
  record.spec.schedule =
      Schedule{1, WallClockMilliseconds() - 1000, Duration(1000)};
  site.scheduler().AddJob(record, Duration(60000));
  DOUBLES_EQUAL(60, Work().waiting_core_seconds, 0.01);
}

/// Work that runs does not wait: a site may be idle beside it.
TEST(QueueWork, RunningTasksDoNotWaitAndFinishedOnesCount) {
  site.AddHost("host", 4);
  AddJob("same", MakeStep(2, 2, 10), 1);
  site.RunRound();
  DOUBLES_EQUAL(0, Work().waiting_core_seconds, 0.01);
  site.End("host", site.report("host").running.front().id, EndKind::kDone);
  DOUBLES_EQUAL(20, Work().finished_core_seconds, 0.01);
}

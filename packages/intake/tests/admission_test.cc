#include <CppUTest/TestHarness.h>

#include "intake/admission_policy.h"
#include "intake/backlog_forecast.h"

using namespace zinniacart;

namespace {

const QueueId kQueue("best-effort");
constexpr Duration kInterval{500};

}  // namespace

/// Replays a service that ends 100 core-seconds of work a second.
TEST_GROUP(BacklogForecast) {
  ManualClock clock;
  BacklogForecast forecast{BacklogSettings{}, clock};
  QueueLoad load{0, 0, std::nullopt};
  double rate = 100;

  void RunFor(Duration time) {
    const Instant end = clock.Now() + time;
    while (clock.Now() < end) {
      clock.Advance(kInterval);
      load.finished_core_seconds += rate * 0.5;
      CHECK(forecast.IsDue());
      forecast.Observe({{kQueue, load}});
    }
  }
};

TEST(BacklogForecast, WaitIsTheBacklogDividedByTheRate) {
  load.waiting_core_seconds = 2000;
  RunFor(Duration(6000));
  LONGS_EQUAL(20000, forecast.Advice().at(kQueue).count());
}

/// An owner that has just taken over knows neither rates nor waits.
TEST(BacklogForecast, NothingIsPredictedFromTooFewSeconds) {
  load.waiting_core_seconds = 2000;
  RunFor(Duration(4500));
  CHECK(forecast.Advice().empty());
  RunFor(Duration(3000));
  CHECK_FALSE(forecast.Advice().empty());
  forecast.Reset();
  RunFor(Duration(4500));
  CHECK(forecast.Advice().empty());
}

/// On an idle site one large job is a long wait at the rate of the past.
TEST(BacklogForecast, NothingIsPredictedWhereNoWorkHasWaited) {
  rate = 1;
  RunFor(Duration(10000));
  load.waiting_core_seconds = 2000;
  RunFor(Duration(4000));
  CHECK(forecast.Advice().empty());
}

/// The newest jobs may be placed before older ones that are late anyway.
TEST(BacklogForecast, WaitIsAtMostThatOfTheNewestBegunJob) {
  load.waiting_core_seconds = 2000;
  load.newest_begun_age = Duration(1500);
  RunFor(Duration(6000));
  LONGS_EQUAL(1500, forecast.Advice().at(kQueue).count());
  load.newest_begun_age = Duration(300);
  RunFor(kInterval);
  CHECK(forecast.Advice().empty());
}

TEST(BacklogForecast, AStallOfTheWholeSitePredictsNothing) {
  load.waiting_core_seconds = 2000;
  rate = 0;
  RunFor(Duration(10000));
  CHECK(forecast.Advice().empty());
}

TEST(BacklogForecast, APauseOfTheOwnerIsNotCounted) {
  load.waiting_core_seconds = 2000;
  RunFor(Duration(8000));
  clock.Advance(Duration(3000));
  CHECK(forecast.Advice().empty());
  RunFor(Duration(4000));
  CHECK(forecast.Advice().empty());
}

TEST(BacklogForecast, SwitchedOffItObservesNothing) {
  BacklogSettings settings;
  settings.enabled = false;
  CHECK_FALSE(BacklogForecast(settings, clock).IsDue());
}

TEST_GROUP(AdmissionPolicy) {
  ManualClock clock;
  AdmissionPolicy policy{clock};
  JobRecord job;

  /// A best-effort job: 2 s on its critical path, at most 3 * 5 s in all.
  void setup() override {
    job.queue = kQueue;
    job.policy.stretch = 2;
    job.policy.objective = Duration(1000);
    StepSpec step;
    step.count = 20;
    step.estimate = Duration(2000);
    job.spec.steps = {step};
  }
  void Advise(int wait_ms) {
    policy.SetAdvice({{kQueue, Duration(wait_ms)}});
  }
};

TEST(AdmissionPolicy, OnlyJobsThatAreTooLateByAClearMarginAreRefused) {
  CHECK_FALSE(policy.RefusalOf(job).has_value());
  Advise(25000);
  CHECK_FALSE(policy.RefusalOf(job).has_value());
  Advise(32000);
  LONGS_EQUAL(4, policy.RefusalOf(job)->count());
}

TEST(AdmissionPolicy, RetryAfterIsBounded) {
  Advise(10'000'000);
  LONGS_EQUAL(30, policy.RefusalOf(job)->count());
}

TEST(AdmissionPolicy, AdviceIsValidForTwoSeconds) {
  Advise(60000);
  clock.Advance(Duration(2000));
  CHECK(policy.RefusalOf(job).has_value());
  clock.Advance(Duration(1));
  CHECK_FALSE(policy.RefusalOf(job).has_value());
}

TEST(AdmissionPolicy, OtherQueuesPerpetualAndScheduledJobsAreNotRefused) {
  Advise(60000);
  JobRecord other = job;
  other.queue = QueueId("other");
  CHECK_FALSE(policy.RefusalOf(other).has_value());
  JobRecord scheduled = job;
  scheduled.spec.schedule.occurrences = 3;
  CHECK_FALSE(policy.RefusalOf(scheduled).has_value());
  job.spec.steps.front().perpetual = true;
  CHECK_FALSE(policy.RefusalOf(job).has_value());
}

TEST(AdmissionPolicy, AdviceIsReadAsItWasWritten) {
  const BacklogAdvice advice{{kQueue, Duration(1234)},
                             {QueueId("q\""), Duration(5)}};
  CHECK(*DecodeBacklogAdvice(EncodeBacklogAdvice(advice)) == advice);
  CHECK(DecodeBacklogAdvice(EncodeBacklogAdvice({}))->empty());
  for (const char* text :
       {"{", "{}", "[]", R"({"waits_ms":3})", R"({"waits_ms":{"a":-1}})"}) {
    CHECK_FALSE(DecodeBacklogAdvice(text).has_value());
  }
}

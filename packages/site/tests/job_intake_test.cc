#include "site/job_intake.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <utility>
#include <vector>

#include "site/store_monitor.h"

using namespace zinniacart;

namespace {

constexpr Duration kDeadline{3000};
constexpr Duration kStep{100};
const JobId kJob("job");

/// A store without jobs. Transactions wait until the test answers them; reads
/// are answered at once, or fail.
class OutageStore final : public StorePort {
 public:
  void Get(const std::string& key,
           Duration,
           StoreCallback<StoreItem> done) override {
    ++reads;
    if (stored) {
      return done(StoreItem{key, {}, 1});
    }
    done(Fail(failure.value_or(ErrorCode::kNotFound), key));
  }
  void List(const std::string&,
            Duration,
            StoreCallback<StoreSnapshot>) override {}
  void Watch(const std::string&,
             std::uint64_t,
             Duration,
             Duration,
             StoreCallback<StoreEvents>) override {}
  void Commit(const StoreTransaction&,
              Duration,
              StoreCallback<StoreCommit> done) override {
    ++commits;
    commit = std::move(done);
  }
  void OpenLease(Duration, Duration, StoreCallback<LeaseId>) override {}
  void RenewLease(const LeaseId&, Duration, StoreCallback<Duration>) override {}
  void EndLease(const LeaseId&, Duration, StoreCallback<Duration>) override {}

  std::optional<ErrorCode> failure;  ///< Of the reads.
  bool stored = false;               ///< Reads find their key.
  StoreCallback<StoreCommit> commit;
  int commits = 0;
  int reads = 0;
};

OwnerSettings MakeOwnerSettings() {
  OwnerSettings settings;
  settings.self = EntryId("entry");
  return settings;
}

}  // namespace

/// Replays outages of the store before the intake of an entry without peers.
TEST_GROUP(JobIntakeOutage) {
  ManualClock clock;
  boost::asio::io_context loop;
  OutageStore store;
  StoreMonitor monitor{loop, store, StoreAvailabilitySettings{}, clock};
  PeerClients peers{loop};
  EntryDirectory directory;
  Owner owner{loop, monitor, peers, MakeOwnerSettings(), clock};
  JobIntake intake{loop,  monitor,          peers, directory,
                   owner, EntryId("entry"), clock, [] { return 0.0; }};
  std::optional<IntakeReply> reply;

  void Read() {
    monitor.Get("probe", kStep, [](const Result<StoreItem>&) {});
  }

  /// The store turns all calls away until it is known to be away.
  void LoseStore() {
    store.failure = ErrorCode::kStoreUnavailable;
    for (int read = 0; read < 6; ++read) {
      Read();
      clock.Advance(kStep);
    }
    CHECK(monitor.availability().away());
  }

  void ReturnStore() {
    store.failure.reset();
    Read();
    CHECK_FALSE(monitor.availability().away());
  }

  void Submit(bool relay = true) {
    JobRecord record;
    record.id = kJob;
    record.spec.steps.resize(1);
    record.spec.steps.front().count = 1;
    intake.Accept(record, clock.Now() + kDeadline, relay,
                  [this](const IntakeReply& given) { reply = given; });
  }

  void AnswerCommit(Result<StoreCommit> result) {
    std::exchange(store.commit, nullptr)(std::move(result));
  }
};

/// A transaction that gets no answer may be executed seconds later.
TEST(JobIntakeOutage, SubmissionIsRefusedAndNotSentWhileTheStoreIsAway) {
  LoseStore();
  Submit();
  CHECK(reply && reply->outcome == IntakeOutcome::kRefused);
  CHECK(reply->reason == RefusalReason::kStoreAway);
  LONGS_EQUAL(1, reply->retry_after.count());
  LONGS_EQUAL(0, store.commits);
}

TEST(JobIntakeOutage, CancellationIsRefusedAtOnce) {
  LoseStore();
  const int before = store.reads;
  intake.Cancel(kJob, clock.Now() + kDeadline, true,
                [this](const IntakeReply& given) { reply = given; });
  CHECK(reply && reply->outcome == IntakeOutcome::kRefused);
  LONGS_EQUAL(before, store.reads);
}

TEST(JobIntakeOutage, StateIsNotReadFromAStoreThatIsAway) {
  LoseStore();
  const int before = store.reads;
  std::optional<ErrorCode> error;
  intake.GetState(kJob, [&error](const Result<JobState>& state) {
    error = state.error().code;
  });
  CHECK(error == ErrorCode::kStoreUnavailable);
  LONGS_EQUAL(before, store.reads);
}

TEST(JobIntakeOutage, SubmissionIsAcceptedAfterTheReturn) {
  LoseStore();
  ReturnStore();
  Submit();
  AnswerCommit(StoreCommit{true, 1, {}});
  CHECK(reply && reply->outcome == IntakeOutcome::kStored);
}

/// What was sent before the outage was noticed may be stored: it gets no 503,
/// is not sent into the outage again, and is resolved when the store returns.
TEST(JobIntakeOutage, SentSubmissionWaitsForTheReturn) {
  Submit();
  LoseStore();
  AnswerCommit(Fail(ErrorCode::kOutcomeUnknown, "no answer"));
  LONGS_EQUAL(1, store.commits);
  CHECK_FALSE(reply.has_value());
  ReturnStore();
  LONGS_EQUAL(2, store.commits);
  AnswerCommit(StoreCommit{false, 0, {}});
  CHECK(reply && reply->outcome == IntakeOutcome::kStored);
}

TEST(JobIntakeOutage, SentSubmissionIsUnknownAtItsDeadline) {
  Submit();
  LoseStore();
  clock.Advance(kDeadline);
  AnswerCommit(Fail(ErrorCode::kOutcomeUnknown, "no answer"));
  CHECK(reply && reply->outcome == IntakeOutcome::kUnknown);
}

/// A caller that got 504 or no answer repeats its request. What was sent for it
/// before may still be executed, so that a 503 would be untrue.
TEST(JobIntakeOutage, RepeatedSubmissionIsNotRefusedWhileTheFirstMayBeStored) {
  Submit();
  LoseStore();
  Submit();
  CHECK(reply && reply->outcome == IntakeOutcome::kUnknown);
}

TEST(JobIntakeOutage, RepeatedSubmissionOfAStoredJobIsStored) {
  Submit();
  AnswerCommit(StoreCommit{true, 1, {}});
  LoseStore();
  Submit();
  CHECK(reply && reply->outcome == IntakeOutcome::kStored);
  LONGS_EQUAL(1, store.commits);
}

TEST(JobIntakeOutage, RepetitionOfARefusedSubmissionIsRefused) {
  Submit();
  LoseStore();
  AnswerCommit(Fail(ErrorCode::kStoreUnavailable, "busy"));
  CHECK(reply && reply->outcome == IntakeOutcome::kRefused);
  reply.reset();
  Submit();
  CHECK(reply && reply->outcome == IntakeOutcome::kRefused);
}

/// Requests that arrive between the begin of an outage and its notice would
/// otherwise end with an unknown outcome.
TEST(JobIntakeOutage, SubmissionIsHeldWhileTheStoreIsSilent) {
  monitor.Commit({}, kStep, [](const Result<StoreCommit>&) {});
  for (int step = 0; step < 3; ++step) {
    clock.Advance(kStep);
    Read();
    store.failure = ErrorCode::kOutcomeUnknown;
  }
  AnswerCommit(Fail(ErrorCode::kOutcomeUnknown, "no answer"));
  CHECK(monitor.availability().silent());
  Submit();
  LONGS_EQUAL(1, store.commits);
  CHECK_FALSE(reply.has_value());
  ReturnStore();
  LONGS_EQUAL(2, store.commits);
  AnswerCommit(StoreCommit{true, 1, {}});
  CHECK(reply && reply->outcome == IntakeOutcome::kStored);
}

TEST(JobIntakeOutage, RelayedSubmissionIsRefusedAtOnce) {
  LoseStore();
  Submit(false);
  CHECK(reply && reply->outcome == IntakeOutcome::kRefused);
  LONGS_EQUAL(0, store.commits);
}

/// An idle entry has not noticed the outage that made the other one relay.
TEST(JobIntakeOutage, IdleEntryReadsItsStoreBeforeItStoresForAnother) {
  store.failure = ErrorCode::kOutcomeUnknown;
  Submit(false);
  CHECK(reply && reply->outcome == IntakeOutcome::kRefused);
  LONGS_EQUAL(0, store.commits);
}

/// Guards against refusals of jobs that are stored or may be.
TEST_GROUP(JobIntakeBacklog) {
  ManualClock clock;
  boost::asio::io_context loop;
  OutageStore store;
  StoreMonitor monitor{loop, store, StoreAvailabilitySettings{}, clock};
  PeerClients peers{loop};
  EntryDirectory directory;
  Owner owner{loop, monitor, peers, MakeOwnerSettings(), clock};
  JobIntake intake{loop,  monitor,          peers, directory,
                   owner, EntryId("entry"), clock};
  std::optional<IntakeReply> reply;

  void Submit() {
    JobRecord record;
    record.id = kJob;
    record.queue = QueueId("queue");
    record.policy.objective = Duration(500);
    record.spec.steps.resize(1);
    intake.Accept(record, clock.Now() + kDeadline, true,
                  [this](const IntakeReply& given) { reply = given; });
  }
  void Advise(int wait_ms) {
    intake.SetAdvice({{QueueId("queue"), Duration(wait_ms)}});
  }
};

TEST(JobIntakeBacklog, JobThatWouldEndTooLateIsRefusedWithoutATransaction) {
  Advise(20000);
  Submit();
  CHECK(reply && reply->outcome == IntakeOutcome::kRefused);
  CHECK(reply->reason == RefusalReason::kBacklog);
  LONGS_EQUAL(9, reply->retry_after.count());
  LONGS_EQUAL(1, store.reads);
  LONGS_EQUAL(0, store.commits);
}

TEST(JobIntakeBacklog, WithoutAdviceNothingIsReadFirst) {
  Submit();
  LONGS_EQUAL(0, store.reads);
  LONGS_EQUAL(1, store.commits);
}

/// A repeated request must not be told that its job never runs.
TEST(JobIntakeBacklog, StoredJobIsNotRefused) {
  store.stored = true;
  Advise(20000);
  Submit();
  LONGS_EQUAL(1, store.commits);
  std::exchange(store.commit, nullptr)(StoreCommit{false, 0, {}});
  CHECK(reply && reply->outcome == IntakeOutcome::kStored);
}

TEST(JobIntakeBacklog, JobThatMayBeStoredByAnEarlierAttemptIsNotRefused) {
  Submit();
  Advise(20000);
  Submit();
  CHECK_FALSE(reply.has_value());
  LONGS_EQUAL(2, store.commits);
}

TEST(JobIntakeBacklog, JobIsNotRefusedForItsBacklogWhereTheReadFails) {
  store.failure = ErrorCode::kStoreUnavailable;
  Advise(20000);
  Submit();
  CHECK(reply && reply->outcome == IntakeOutcome::kRefused);
  CHECK(reply->reason == RefusalReason::kNotStored);
}

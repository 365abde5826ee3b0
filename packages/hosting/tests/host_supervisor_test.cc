#include "hosting/host_supervisor.h"

#include <CppUTest/TestHarness.h>

using namespace zinniacart;

namespace {

const WorkerIncarnation kLife(1000);
const WorkerIncarnation kNextLife(2000);
constexpr std::int64_t kWorkerClockMs = 500000;

TaskRun MakeRun(const std::string& job, std::uint64_t run) {
  return TaskRun{TaskKey{JobId(job), 0, 0, 0}, RunNumber(run)};
}

}  // namespace

TEST_GROUP(HostSupervisor) {
  ManualClock clock;
  // The host was up for a while before its agent began.
  const Instant began = [this] {
    clock.Advance(Duration(100000));
    return clock.Now();
  }();
  SupervisorSettings settings;
  HostSupervisor supervisor{Incarnation(1), SupervisorSettings(), clock};
  HostOrders orders;
  WorkerLists lists;

  void setup() override {
    orders.epoch = Epoch(3);
    orders.incarnation = kLife;
    lists.incarnation = kLife;
    lists.clock = WorkerInstant{kWorkerClockMs};
  }

  /// Sends the orders as of now. @returns whether they were accepted.
  bool Order() {
    orders.granted_stamp = clock.Now();
    const bool accepted = supervisor.OnOrders(orders).has_value();
    orders.starts.clear();
    orders.stops.clear();
    orders.paces.clear();
    return accepted;
  }

  void Start(const TaskRun& id) {
    orders.starts.push_back(StartOrder{id, "payload", {}, {}});
    CHECK(Order());
  }

  /// Answers each hold that is due with the lists. @returns the other calls.
  std::vector<WorkerCall> Exchange() {
    std::vector<WorkerCall> others;
    for (const WorkerCall& call : supervisor.TakeCalls()) {
      if (const auto* hold = std::get_if<HoldCall>(&call)) {
        supervisor.OnHoldAnswered(*hold, lists);
      } else {
        others.push_back(call);
      }
    }
    return others;
  }

  /// Lets time pass on both clocks.
  void Pass(Duration duration) {
    clock.Advance(duration);
    lists.clock.milliseconds += duration.count();
  }

  /// Brings the supervisor to where it knows the worker and its owner.
  void Attach() {
    CHECK(Order());
    Exchange();
    CHECK(supervisor.listed());
  }

  StartCall TakeStart() {
    for (const WorkerCall& call : Exchange()) {
      if (const auto* start = std::get_if<StartCall>(&call)) {
        return *start;
      }
    }
    FAIL("no start was due");
    return {};
  }
};

TEST(HostSupervisor, AnOlderOwnersOrdersAreRefused) {
  Attach();
  orders.epoch = Epoch(2);
  CHECK_FALSE(Order());
  LONGS_EQUAL(3, supervisor.epoch().value());
}

TEST(HostSupervisor, NothingIsListedBeforeTheWorkerKnowsTheNewOwner) {
  Attach();
  orders.epoch = Epoch(4);
  CHECK(Order());
  CHECK_FALSE(supervisor.MakeReport().listed);
  Exchange();
  CHECK(supervisor.MakeReport().listed);
}

TEST(HostSupervisor, OrdersOfAnOlderOwnerThatWereNotSentAreVoid) {
  Attach();
  Start(MakeRun("old", 1));
  orders.epoch = Epoch(4);
  CHECK(Order());
  for (const WorkerCall& call : Exchange()) {
    CHECK_FALSE(std::holds_alternative<StartCall>(call));
  }
}

TEST(HostSupervisor, AStartCarriesADeadlineAndTheEpoch) {
  Attach();
  Start(MakeRun("job", 1));
  const StartCall start = TakeStart();
  LONGS_EQUAL(3, start.token.value());
  LONGS_EQUAL(kWorkerClockMs + settings.times.start_validity.count(),
              start.not_after.milliseconds);
}

TEST(HostSupervisor, AnAnsweredStartIsReportedAsRunningAtOnce) {
  Attach();
  Start(MakeRun("job", 1));
  supervisor.OnStartAnswered(TakeStart(), StartAnswer::kStarted);
  const HostReport report = supervisor.MakeReport();
  LONGS_EQUAL(1, report.running.size());
  CHECK(report.results.at(0).outcome == OrderOutcome::kStarted);
}

TEST(HostSupervisor, AListOlderThanAStartDoesNotHideIt) {
  Attach();
  Pass(settings.retry);
  HoldCall hold;
  for (const WorkerCall& call : supervisor.TakeCalls()) {
    hold = std::get<HoldCall>(call);
  }
  Start(MakeRun("job", 1));
  StartCall start;
  for (const WorkerCall& call : supervisor.TakeCalls()) {
    start = std::get<StartCall>(call);
  }
  supervisor.OnStartAnswered(start, StartAnswer::kStarted);
  supervisor.OnHoldAnswered(hold, lists);
  LONGS_EQUAL(1, supervisor.MakeReport().running.size());
}

TEST(HostSupervisor, AnUnansweredStartIsOpenUntilItCanNoLongerBeCarriedOut) {
  Attach();
  Start(MakeRun("job", 1));
  supervisor.OnStartAnswered(TakeStart(), StartAnswer::kUnanswered);
  Exchange();
  LONGS_EQUAL(0, supervisor.MakeReport().results.size());
  Pass(settings.times.start_validity + Duration(100));
  Exchange();
  CHECK(supervisor.MakeReport().results.at(0).outcome ==
        OrderOutcome::kRefused);
}

TEST(HostSupervisor, AnUnansweredStartThatIsListedHasStarted) {
  Attach();
  Start(MakeRun("job", 1));
  supervisor.OnStartAnswered(TakeStart(), StartAnswer::kUnanswered);
  lists.running.push_back(RunningTask{MakeRun("job", 1), {}, 0, 0});
  Exchange();
  CHECK(supervisor.MakeReport().results.at(0).outcome ==
        OrderOutcome::kStarted);
}

TEST(HostSupervisor, TheLeaseNeverReachesBeyondWhatTheOwnerVouchedFor) {
  Attach();
  Pass(Duration(1000));
  HoldCall hold;
  for (const WorkerCall& call : supervisor.TakeCalls()) {
    hold = std::get<HoldCall>(call);
  }
  // Granted a second ago; the worker's clock was read then as well.
  const auto bound = kWorkerClockMs + settings.times.lease.count();
  CHECK(hold.lease_until.milliseconds > kWorkerClockMs);
  CHECK(hold.lease_until.milliseconds <= bound);
}

TEST(HostSupervisor, WithoutANewGrantTheLeaseIsNotExtended) {
  Attach();
  Pass(settings.times.lease + Duration(1));
  for (const WorkerCall& call : supervisor.TakeCalls()) {
    LONGS_EQUAL(0, std::get<HoldCall>(call).lease_until.milliseconds);
  }
}

TEST(HostSupervisor, NothingStartsWhenTheGrantIsNearlyOver) {
  Attach();
  Start(MakeRun("job", 1));
  Pass(settings.times.lease - settings.times.start_validity);
  for (const WorkerCall& call : Exchange()) {
    CHECK_FALSE(std::holds_alternative<StartCall>(call));
  }
  CHECK(supervisor.MakeReport().results.at(0).outcome ==
        OrderOutcome::kRefused);
}

TEST(HostSupervisor, ADrainingWorkerStartsNothing) {
  Attach();
  WorkerFacts facts;
  facts.incarnation = kLife;
  facts.draining = true;
  supervisor.OnAnnouncement(facts, 5);
  Start(MakeRun("job", 1));
  for (const WorkerCall& call : Exchange()) {
    CHECK_FALSE(std::holds_alternative<StartCall>(call));
  }
}

TEST(HostSupervisor, ALateAnnouncementDoesNotUndoANewerOne) {
  Attach();
  WorkerFacts facts;
  facts.incarnation = kLife;
  facts.draining = true;
  supervisor.OnAnnouncement(facts, 5);
  facts.draining = false;
  supervisor.OnAnnouncement(facts, 4);
  CHECK(supervisor.MakeReport().facts->draining);
}

TEST(HostSupervisor, AnotherLifeOfTheWorkerHasNothingOfTheOneBefore) {
  Attach();
  Start(MakeRun("job", 1));
  supervisor.OnStartAnswered(TakeStart(), StartAnswer::kStarted);
  lists.incarnation = kNextLife;
  Pass(settings.hold_wait);
  Exchange();
  const HostReport report = supervisor.MakeReport();
  CHECK(report.incarnation == kNextLife);
  LONGS_EQUAL(0, report.running.size());
  LONGS_EQUAL(0, report.results.size());
}

TEST(HostSupervisor, OrdersForAnotherLifeOfTheWorkerAreIgnored) {
  Attach();
  orders.incarnation = kNextLife;
  Start(MakeRun("job", 1));
  for (const WorkerCall& call : Exchange()) {
    CHECK_FALSE(std::holds_alternative<StartCall>(call));
  }
}

TEST(HostSupervisor, HoldsDoNotSpinWhileAnEndIsNotRecorded) {
  Attach();
  lists.ended.push_back(
      EndedTask{1, MakeRun("job", 1), EndKind::kDone, CheckpointId()});
  Pass(settings.hold_wait);
  Exchange();
  LONGS_EQUAL(0, supervisor.TakeCalls().size());
  orders.recorded_ends = 1;
  CHECK(Order());
  const auto calls = supervisor.TakeCalls();
  LONGS_EQUAL(1, calls.size());
  LONGS_EQUAL(1, std::get<HoldCall>(calls[0]).recorded_ends);
}

TEST(HostSupervisor, AStopIsRepeatedUntilItIsAnswered) {
  Attach();
  orders.stops.push_back(MakeRun("job", 1));
  CHECK(Order());
  for (const bool answered : {false, true}) {
    StopCall stop;
    for (const WorkerCall& call : Exchange()) {
      stop = std::get<StopCall>(call);
    }
    CHECK(stop.id == MakeRun("job", 1));
    supervisor.OnStopAnswered(stop, answered);
  }
  for (const WorkerCall& call : Exchange()) {
    CHECK_FALSE(std::holds_alternative<StopCall>(call));
  }
  CHECK(supervisor.MakeReport().results.at(0).outcome ==
        OrderOutcome::kStopped);
}

TEST(HostSupervisor, APaceIsRepeatedUntilItIsAnswered) {
  Attach();
  lists.running.push_back(RunningTask{MakeRun("job", 1), {}, 0, 0});
  Pass(settings.hold_wait);
  Exchange();
  orders.paces.push_back(PaceOrder{MakeRun("job", 1), 40});
  CHECK(Order());
  for (const bool answered : {false, true}) {
    PaceCall pace;
    for (const WorkerCall& call : Exchange()) {
      pace = std::get<PaceCall>(call);
    }
    LONGS_EQUAL(40, pace.order.percent);
    supervisor.OnPaceAnswered(pace, answered);
  }
  for (const WorkerCall& call : Exchange()) {
    CHECK_FALSE(std::holds_alternative<PaceCall>(call));
  }
}

TEST(HostSupervisor, GrantsThatNeverReachedTheWorkerDoNotKeepItsLeaseAlive) {
  Attach();
  const Duration step{500};
  for (Duration passed{0}; passed < settings.times.lease * 2; passed += step) {
    Pass(step);
    CHECK(Order());
    for (const WorkerCall& call : supervisor.TakeCalls()) {
      supervisor.OnHoldAnswered(std::get<HoldCall>(call),
                                Fail(ErrorCode::kUnreachable, "gone"));
    }
  }
  CHECK(supervisor.MakeReport().lease_lapsed);
}

TEST(HostSupervisor, AWorkerThatIsGoneForLongerThanItsLeaseHasLapsed) {
  Attach();
  Pass(settings.times.lease + settings.times.margin + Duration(1));
  for (const WorkerCall& call : supervisor.TakeCalls()) {
    supervisor.OnHoldAnswered(std::get<HoldCall>(call),
                              Fail(ErrorCode::kUnreachable, "gone"));
  }
  const HostReport report = supervisor.MakeReport();
  CHECK_FALSE(report.worker_reachable);
  CHECK(report.lease_lapsed);
}

// Everything was killed: the agent is new, the tasks that its predecessor held
// are not.
TEST(HostSupervisor, ANewAgentDoesNotTakeItsPredecessorsLeaseForLapsed) {
  // A new owner grants nothing in its first orders.
  CHECK(supervisor.OnOrders(orders).has_value());
  Exchange();
  CHECK(supervisor.listed());
  Pass(Duration(500));
  const auto lose_worker = [this] {
    for (const WorkerCall& call : supervisor.TakeCalls()) {
      supervisor.OnHoldAnswered(std::get<HoldCall>(call),
                                Fail(ErrorCode::kUnreachable, "reset"));
    }
  };
  lose_worker();
  CHECK_FALSE(supervisor.MakeReport().worker_reachable);
  CHECK_FALSE(supervisor.MakeReport().lease_lapsed);
  Pass(settings.times.LapseTime());
  lose_worker();
  CHECK(supervisor.MakeReport().lease_lapsed);
}

TEST(HostSupervisor, ARefusalThatIsOvertakenByANewerListSaysNothing) {
  // The first call knows no owner yet; the worker refuses it, and that answer
  // comes after the lists that the new owner's call got.
  std::vector<HoldCall> holds;
  for (const WorkerCall& call : supervisor.TakeCalls()) {
    holds.push_back(std::get<HoldCall>(call));
  }
  CHECK(Order());
  Exchange();
  CHECK(supervisor.MakeReport().worker_reachable);
  supervisor.OnHoldAnswered(holds.at(0),
                            Fail(ErrorCode::kUnreachable, "409 fence"));
  const HostReport report = supervisor.MakeReport();
  CHECK(report.worker_reachable);
  CHECK_FALSE(report.lease_lapsed);
}

// A start carries a lease of its own. The newest hold asked for less, as the
// owner was not heard for a while, and is lost.
TEST(HostSupervisor, AStartExtendsTheLeaseUntilItsDeadline) {
  Attach();
  Pass(settings.times.lease - Duration(400));
  HoldCall newest;
  for (const WorkerCall& call : supervisor.TakeCalls()) {
    newest = std::get<HoldCall>(call);
  }
  orders.starts.push_back(StartOrder{MakeRun("late", 1), "payload", {}, {}});
  CHECK(Order());
  for (const WorkerCall& call : supervisor.TakeCalls()) {
    CHECK(std::holds_alternative<StartCall>(call));
  }
  Pass(Duration(400) + settings.times.margin + Duration(1));
  supervisor.OnHoldAnswered(newest, Fail(ErrorCode::kUnreachable, "reset"));
  CHECK_FALSE(supervisor.MakeReport().worker_reachable);
  CHECK_FALSE(supervisor.MakeReport().lease_lapsed);
  Pass(settings.times.start_validity);
  CHECK(supervisor.MakeReport().lease_lapsed);
}

// A worker that crashed and is back counts its ends anew. A hold that meets
// its next life unawares must not make it forget ends of that life.
TEST(HostSupervisor, EndsAreForgottenOnlyWhereTheyWereListed) {
  Attach();
  lists.ended = {EndedTask{1, MakeRun("job", 1), EndKind::kDone, {}}};
  Pass(settings.retry);
  Exchange();
  orders.recorded_ends = 1;
  CHECK(Order());
  const auto take_hold = [this] {
    for (const WorkerCall& call : supervisor.TakeCalls()) {
      if (const auto* hold = std::get_if<HoldCall>(&call)) {
        return *hold;
      }
    }
    return HoldCall{};
  };
  const HoldCall telling = take_hold();
  LONGS_EQUAL(1, telling.recorded_ends);
  // It is lost, perhaps with the worker's life.
  supervisor.OnHoldAnswered(telling, Fail(ErrorCode::kUnreachable, "reset"));
  Pass(settings.retry);
  const HoldCall asking = take_hold();
  LONGS_EQUAL(0, asking.recorded_ends);
  supervisor.OnHoldAnswered(asking, lists);
  Pass(settings.retry);
  const HoldCall again = take_hold();
  LONGS_EQUAL(1, again.recorded_ends);
  lists.ended.clear();
  supervisor.OnHoldAnswered(again, lists);
  Pass(settings.retry);
  LONGS_EQUAL(0, take_hold().recorded_ends);
}

// A call that waits at the worker is carried out after a later one that does
// not, and answers overtake each other: the worker's clock orders the lists.
TEST(HostSupervisor, ListsCountInTheOrderInWhichTheWorkerTookThem) {
  Attach();
  Pass(settings.retry);
  HoldCall waiting;
  for (const WorkerCall& call : supervisor.TakeCalls()) {
    waiting = std::get<HoldCall>(call);
  }
  orders.epoch = Epoch(4);
  CHECK(Order());
  HoldCall urgent;
  for (const WorkerCall& call : supervisor.TakeCalls()) {
    urgent = std::get<HoldCall>(call);
  }
  const WorkerLists before = lists;
  Pass(Duration(50));
  lists.running = {RunningTask{MakeRun("job", 1), {}, 0, 0}};
  supervisor.OnHoldAnswered(waiting, lists);
  supervisor.OnHoldAnswered(urgent, before);
  LONGS_EQUAL(1, supervisor.MakeReport().running.size());
}

// Orders that were on their way for long are overtaken by newer ones; by then
// the owner may have given their starts up.
TEST(HostSupervisor, AStartIsBoundByTheGrantThatCameWithIt) {
  Attach();
  HostOrders overtaken = orders;
  overtaken.granted_stamp = clock.Now();
  overtaken.starts = {StartOrder{MakeRun("given up", 1), "payload", {}, {}}};
  Pass(settings.times.lease - settings.times.start_validity + Duration(1));
  CHECK(Order());
  Exchange();
  CHECK(supervisor.OnOrders(overtaken).has_value());
  for (const WorkerCall& call : Exchange()) {
    CHECK_FALSE(std::holds_alternative<StartCall>(call));
  }
  const HostReport report = supervisor.MakeReport();
  LONGS_EQUAL(1, report.results.size());
  CHECK(report.results[0].outcome == OrderOutcome::kRefused);
}

// The worker crashed while a hold was on its way; its next life took the hold,
// then a start. The start is answered first.
TEST(HostSupervisor, AStartThatWasAnsweredSinceAListWasAskedForIsKept) {
  Attach();
  Pass(settings.retry);
  HoldCall asked;
  for (const WorkerCall& call : supervisor.TakeCalls()) {
    asked = std::get<HoldCall>(call);
  }
  orders.starts.push_back(StartOrder{MakeRun("job", 1), "payload", {}, {}});
  CHECK(Order());
  for (const WorkerCall& call : supervisor.TakeCalls()) {
    supervisor.OnStartAnswered(std::get<StartCall>(call),
                               StartAnswer::kStarted);
  }
  lists.incarnation = kNextLife;
  supervisor.OnHoldAnswered(asked, lists);
  HostReport report = supervisor.MakeReport();
  CHECK(report.incarnation == kNextLife);
  LONGS_EQUAL(1, report.running.size());
  // A list that was asked for later is certain.
  Pass(settings.hold_wait);
  Exchange();
  LONGS_EQUAL(0, supervisor.MakeReport().running.size());
}

// The newer call failed because the worker crashed in between.
TEST(HostSupervisor, AnAnswerToAnOlderCallDoesNotShowThatTheWorkerLives) {
  Attach();
  Pass(settings.retry);
  HoldCall older;
  for (const WorkerCall& call : supervisor.TakeCalls()) {
    older = std::get<HoldCall>(call);
  }
  orders.recorded_ends = 1;
  CHECK(Order());
  for (const WorkerCall& call : supervisor.TakeCalls()) {
    supervisor.OnHoldAnswered(std::get<HoldCall>(call),
                              Fail(ErrorCode::kUnreachable, "reset"));
  }
  CHECK_FALSE(supervisor.MakeReport().worker_reachable);
  lists.ended = {EndedTask{1, MakeRun("job", 1), EndKind::kDone, {}}};
  supervisor.OnHoldAnswered(older, lists);
  CHECK_FALSE(supervisor.MakeReport().worker_reachable);
}

// Two lists of the same millisecond: what was answered since both were asked
// for outlives either.
TEST(HostSupervisor, AListOfTheSameMomentDoesNotMakeARunLessCertain) {
  Attach();
  Pass(settings.retry);
  std::vector<HoldCall> asked;
  const auto ask = [&] {
    for (const WorkerCall& call : supervisor.TakeCalls()) {
      if (const auto* hold = std::get_if<HoldCall>(&call)) {
        asked.push_back(*hold);
      } else {
        supervisor.OnStartAnswered(std::get<StartCall>(call),
                                   StartAnswer::kStarted);
      }
    }
  };
  ask();
  orders.epoch = Epoch(4);
  CHECK(Order());
  ask();
  supervisor.OnHoldAnswered(asked.at(1), lists);
  orders.recorded_ends = 1;
  CHECK(Order());
  ask();
  Start(MakeRun("job", 1));
  ask();
  WorkerLists with_run = lists;
  with_run.running = {RunningTask{MakeRun("job", 1), {}, 0, 0}};
  supervisor.OnHoldAnswered(asked.at(0), with_run);
  supervisor.OnHoldAnswered(asked.at(2), lists);
  LONGS_EQUAL(1, supervisor.MakeReport().running.size());
}

#include "hosting/tests/supervisor_harness.h"

using namespace zinniacart;

TEST_GROUP_BASE(HostSupervisor, SupervisorHarness){};

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
  CHECK(supervisor.MakeReport().lease_expired);
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
  CHECK(report.lease_expired);
}

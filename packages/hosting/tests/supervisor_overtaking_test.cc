#include "hosting/tests/supervisor_harness.h"

using namespace zinniacart;

// Lives of agents and workers that follow each other, and calls, answers and
// orders that overtake each other.
TEST_GROUP_BASE(SupervisorOvertaking, SupervisorHarness){};

// Everything was killed: the agent is new, the tasks that its predecessor held
// are not.
TEST(SupervisorOvertaking, ANewAgentDoesNotTakeItsPredecessorsLeaseForLapsed) {
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
  CHECK_FALSE(supervisor.MakeReport().lease_expired);
  Pass(settings.times.LapseTime());
  lose_worker();
  CHECK(supervisor.MakeReport().lease_expired);
}

TEST(SupervisorOvertaking, ARefusalThatIsOvertakenByANewerListSaysNothing) {
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
  CHECK_FALSE(report.lease_expired);
}

// A start carries a lease of its own. The newest hold asked for less, as the
// owner was not heard for a while, and is lost.
TEST(SupervisorOvertaking, AStartExtendsTheLeaseUntilItsDeadline) {
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
  CHECK_FALSE(supervisor.MakeReport().lease_expired);
  Pass(settings.times.start_validity);
  CHECK(supervisor.MakeReport().lease_expired);
}

// A worker that crashed and is back counts its ends anew. A hold that meets
// its next life unawares must not make it forget ends of that life.
TEST(SupervisorOvertaking, EndsAreForgottenOnlyWhereTheyWereListed) {
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
TEST(SupervisorOvertaking, ListsCountInTheOrderInWhichTheWorkerTookThem) {
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
TEST(SupervisorOvertaking, AStartIsBoundByTheGrantThatCameWithIt) {
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
TEST(SupervisorOvertaking, AStartThatWasAnsweredSinceAListWasAskedForIsKept) {
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
TEST(SupervisorOvertaking, AnAnswerToAnOlderCallDoesNotShowThatTheWorkerLives) {
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
TEST(SupervisorOvertaking, AListOfTheSameMomentDoesNotMakeARunLessCertain) {
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

#include "placement/task_supervisor.h"

#include <CppUTest/TestHarness.h>

using namespace zinniacart;

namespace {

const EntryId kOwner("entry-0");
const EntryId kNewOwner("entry-1");
const TaskId kTask("team:job:0");
const ShardId kShard(3);
const Incarnation kIncarnation(7);
const Resources kCapacity{8'000, 16'000, 0};
const Resources kDemand{3'000, 4'000, 0};

PlacementKey Key(std::uint64_t generation, std::uint64_t epoch = 1) {
  return PlacementKey{kTask, Generation(generation), kShard, Epoch(epoch)};
}

}  // namespace

TEST_GROUP(TaskSupervisor) {
  PlacementTimes times;
  TaskSupervisor supervisor{DomainId("marka"), HostId("host-0"), kIncarnation,
                            PlacementTimes()};
  Instant now{100'000};
  std::vector<TaskSupervisor::Effect> effects;

  void setup() override {
    supervisor.Rebuild(kCapacity, {}, now);
  }

  void Give(const OwnerMessage& message, const EntryId& from = kOwner) {
    supervisor.Handle(from, message, now);
    effects = supervisor.TakeEffects();
  }
  template <typename Message>
  const Message* Sent() const {
    for (const auto& effect : effects) {
      const auto* send = std::get_if<TaskSupervisor::Send>(&effect);
      const auto* message =
          send == nullptr ? nullptr : std::get_if<Message>(&send->message);
      if (message != nullptr) {
        return message;
      }
    }
    return nullptr;
  }
  template <typename Effect>
  const Effect* Did() const {
    for (const auto& effect : effects) {
      if (const auto* found = std::get_if<Effect>(&effect)) {
        return found;
      }
    }
    return nullptr;
  }
  StartMessage StartOf(std::uint64_t generation, std::uint64_t epoch = 1) {
    StartMessage start;
    start.key = Key(generation, epoch);
    start.stamp = Stamp{kIncarnation, now};
    start.demand = kDemand;
    return start;
  }
  void Run(std::uint64_t generation, std::uint64_t epoch = 1) {
    Give(OfferMessage{Key(generation, epoch), kDemand, TaskClass::kBatch});
    Give(StartOf(generation, epoch));
    supervisor.OnWorkerStarted(kTask, Generation(generation), {}, now);
    effects = supervisor.TakeEffects();
  }
};

TEST(TaskSupervisor, HoldsRoomThenStartsUnderTheStamp) {
  Give(OfferMessage{Key(1), kDemand, TaskClass::kBatch});
  CHECK(Sent<OfferedMessage>() != nullptr);
  CHECK(supervisor.ledger().committed() == kDemand);
  const Instant stamped = now;
  StartMessage start = StartOf(1);
  now = now + Duration(500);
  Give(start);
  const auto* did = Did<TaskSupervisor::StartOnWorker>();
  CHECK(did != nullptr);
  CHECK(did->not_after == stamped + times.stamp_validity);
  CHECK(did->lease_until == stamped + times.run_lease);
}

TEST(TaskSupervisor, RefusesAStartWithAnExpiredStamp) {
  Give(OfferMessage{Key(1), kDemand, TaskClass::kBatch});
  const StartMessage start = StartOf(1);
  now = now + times.stamp_validity + Duration(1);
  Give(start);
  CHECK(Did<TaskSupervisor::StartOnWorker>() == nullptr);
  CHECK(Sent<StartRefusedMessage>()->code == ErrorCode::kStaleStamp);
}

TEST(TaskSupervisor, RefusesAStampOfAnEarlierIncarnation) {
  Give(OfferMessage{Key(1), kDemand, TaskClass::kBatch});
  StartMessage start = StartOf(1);
  start.stamp.incarnation = Incarnation(6);
  Give(start);
  CHECK(Did<TaskSupervisor::StartOnWorker>() == nullptr);
  CHECK(Sent<StartRefusedMessage>()->code == ErrorCode::kStaleStamp);
}

TEST(TaskSupervisor, ARefusedStartIsNotTakenFromALaterCopy) {
  supervisor.SetWorkAllowed(false, ConfigSerial(1));
  const StartMessage start = StartOf(1);
  Give(start);
  CHECK(Sent<StartRefusedMessage>() != nullptr);
  supervisor.SetWorkAllowed(true, ConfigSerial(2));
  Give(OfferMessage{Key(1), kDemand, TaskClass::kBatch});
  CHECK(Sent<OfferRefusedMessage>() != nullptr);
  Give(start);
  CHECK(Did<TaskSupervisor::StartOnWorker>() == nullptr);
}

TEST(TaskSupervisor, AnAbsentAnswerIsAPromise) {
  Give(OfferMessage{Key(1), kDemand, TaskClass::kBatch});
  const StartMessage delayed = StartOf(1);
  Give(QueryMessage{Key(1, 2)}, kNewOwner);
  CHECK(Sent<ReportMessage>()->state == ReportedState::kAbsent);
  CHECK(supervisor.ledger().committed() == Resources{});
  Give(delayed);
  CHECK(Did<TaskSupervisor::StartOnWorker>() == nullptr);
  StartMessage same_epoch = delayed;
  same_epoch.key.epoch = Epoch(2);
  Give(same_epoch, kNewOwner);
  CHECK(Did<TaskSupervisor::StartOnWorker>() == nullptr);
}

TEST(TaskSupervisor, StartsAGenerationOnceHoweverOftenItIsTold) {
  Give(OfferMessage{Key(1), kDemand, TaskClass::kBatch});
  const StartMessage start = StartOf(1);
  Give(start);
  CHECK(Did<TaskSupervisor::StartOnWorker>() != nullptr);
  Give(start);
  CHECK(Did<TaskSupervisor::StartOnWorker>() == nullptr);
}

TEST(TaskSupervisor, NeverHoldsMoreThanTheHostHas) {
  for (int number = 0; number < 4; ++number) {
    PlacementKey key = Key(1);
    key.task = TaskId("team:job:" + std::to_string(number));
    Give(OfferMessage{key, kDemand, TaskClass::kBatch});
    const bool fits = number < 2;
    CHECK_EQUAL(fits, Sent<OfferedMessage>() != nullptr);
  }
  CHECK(supervisor.ledger().committed().FitsIn(kCapacity));
}

TEST(TaskSupervisor, AnExpiredHoldGivesItsRoomBack) {
  Give(OfferMessage{Key(1), kDemand, TaskClass::kBatch});
  now = now + times.stamp_validity + Duration(1);
  supervisor.Tick(now);
  CHECK(supervisor.ledger().committed() == Resources{});
}

TEST(TaskSupervisor, StopsATaskWhoseLeaseRanOut) {
  Run(1);
  now = now + times.run_lease;
  supervisor.Tick(now);
  effects = supervisor.TakeEffects();
  CHECK(Did<TaskSupervisor::StopOnWorker>() != nullptr);
  // A renewal that comes too late does not revive it.
  Give(RenewMessage{kShard, Epoch(1), Stamp{kIncarnation, now}});
  CHECK(Did<TaskSupervisor::RenewOnWorker>() == nullptr);
}

TEST(TaskSupervisor, RenewsFromTheHeartbeatsStampAndOnlyForTheNewestOwner) {
  Run(1, 2);
  now = now + Duration(3'000);
  const Stamp stamp{kIncarnation, now - Duration(1'000)};
  Give(RenewMessage{kShard, Epoch(1), stamp});
  CHECK(Did<TaskSupervisor::RenewOnWorker>() == nullptr);
  Give(RenewMessage{kShard, Epoch(2), stamp});
  CHECK(Did<TaskSupervisor::RenewOnWorker>()->lease_until ==
        stamp.agent_time + times.run_lease);
}

TEST(TaskSupervisor, RepeatsAnEndedReportUntilItIsAcknowledged) {
  Run(1);
  WorkerTaskStatus status;
  status.task.task = kTask;
  status.task.generation = Generation(1);
  status.state = WorkerTaskState::kFinished;
  supervisor.OnWorkerList({status}, now, now);
  supervisor.TakeEffects();
  supervisor.SetEntries({kOwner});
  for (int round = 0; round < 2; ++round) {
    now = now + times.heartbeat;
    supervisor.Tick(now);
    effects = supervisor.TakeEffects();
    CHECK(Sent<ReportMessage>()->state == ReportedState::kFinished);
  }
  Give(AcknowledgeMessage{Key(1)});
  CHECK(Did<TaskSupervisor::ForgetOnWorker>() != nullptr);
  now = now + times.heartbeat;
  supervisor.Tick(now);
  effects = supervisor.TakeEffects();
  CHECK(Sent<ReportMessage>() == nullptr);
}

TEST(TaskSupervisor, TellsHowTheLastGenerationEndedBeforeHoldingTheNext) {
  Run(1);
  WorkerTaskStatus status;
  status.task.task = kTask;
  status.task.generation = Generation(1);
  status.state = WorkerTaskState::kFinished;
  supervisor.OnWorkerList({status}, now, now);
  supervisor.TakeEffects();
  Give(OfferMessage{Key(2), kDemand, TaskClass::kBatch});
  CHECK(Sent<OfferedMessage>() == nullptr);
  CHECK(Sent<ReportMessage>()->state == ReportedState::kFinished);
}

TEST(TaskSupervisor, MakesWayForUrgentWorkAndKeepsTheRoomForIt) {
  Run(1);
  PlacementKey urgent = Key(1);
  urgent.task = TaskId("team:urgent:0");
  const Resources large{7'000, 8'000, 0};
  Give(OfferMessage{urgent, large, TaskClass::kUrgent});
  CHECK(Did<TaskSupervisor::StopOnWorker>() != nullptr);
  supervisor.OnWorkerStopped(kTask, Generation(1), CheckpointId("5"), now);
  supervisor.TakeEffects();
  PlacementKey other = Key(1);
  other.task = TaskId("team:other:0");
  Give(OfferMessage{other, kDemand, TaskClass::kBatch});
  CHECK(Sent<OfferRefusedMessage>()->code == ErrorCode::kNoRoom);
  Give(OfferMessage{urgent, large, TaskClass::kUrgent});
  CHECK(Sent<OfferedMessage>() != nullptr);
}

TEST_GROUP(SupervisorRestart){};

TEST(SupervisorRestart, RefusesEverythingUntilTheLedgerIsRebuilt) {
  TaskSupervisor supervisor(DomainId("marka"), HostId("host-0"), kIncarnation,
                            PlacementTimes());
  supervisor.Handle(kOwner, OfferMessage{Key(1), kDemand, TaskClass::kBatch},
                    Instant{5});
  const auto effects = supervisor.TakeEffects();
  const auto& send = std::get<TaskSupervisor::Send>(effects.front());
  CHECK(std::get<OfferRefusedMessage>(send.message).code ==
        ErrorCode::kNotReady);
}

TEST(SupervisorRestart, CountsWhatTheWorkerStillRuns) {
  TaskSupervisor supervisor(DomainId("marka"), HostId("host-0"), kIncarnation,
                            PlacementTimes());
  WorkerTaskStatus running;
  running.task.task = kTask;
  running.task.generation = Generation(4);
  running.task.demand = kDemand;
  running.lease_until = Instant{20'000};
  supervisor.Rebuild(kCapacity, {running}, Instant{5});
  CHECK(supervisor.ledger().committed() == kDemand);
}

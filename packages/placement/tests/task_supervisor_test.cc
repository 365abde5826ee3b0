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

  void ReceiveFromOwner(const OwnerMessage& message,
                        const EntryId& from = kOwner) {
    supervisor.Handle(from, message, now);
    effects = supervisor.TakeEffects();
  }
  template <typename Message>
  const Message* FindSentMessage() const {
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
  const Effect* FindEffect() const {
    for (const auto& effect : effects) {
      if (const auto* found = std::get_if<Effect>(&effect)) {
        return found;
      }
    }
    return nullptr;
  }
  StartMessage MakeStart(std::uint64_t generation, std::uint64_t epoch = 1) {
    StartMessage start;
    start.key = Key(generation, epoch);
    start.stamp = Stamp{kIncarnation, now};
    start.demand = kDemand;
    return start;
  }
  /// Has the task offered, started and confirmed as running.
  void RunTask(std::uint64_t generation, std::uint64_t epoch = 1) {
    ReceiveFromOwner(
        OfferMessage{Key(generation, epoch), kDemand, TaskClass::kBatch});
    ReceiveFromOwner(MakeStart(generation, epoch));
    supervisor.OnWorkerStarted(kTask, Generation(generation), {}, now);
    effects = supervisor.TakeEffects();
  }
};

TEST(TaskSupervisor, ReservesResourcesThenStartsWithTimesFromStamp) {
  ReceiveFromOwner(OfferMessage{Key(1), kDemand, TaskClass::kBatch});
  CHECK(FindSentMessage<OfferedMessage>() != nullptr);
  CHECK(supervisor.ledger().committed() == kDemand);
  const Instant stamp_time = now;
  StartMessage start = MakeStart(1);
  now = now + Duration(500);
  ReceiveFromOwner(start);
  const auto* start_effect = FindEffect<TaskSupervisor::StartOnWorker>();
  CHECK(start_effect != nullptr);
  CHECK(start_effect->not_after == stamp_time + times.stamp_validity);
  CHECK(start_effect->lease_until == stamp_time + times.run_lease);
}

TEST(TaskSupervisor, RefusesStartWithExpiredStamp) {
  ReceiveFromOwner(OfferMessage{Key(1), kDemand, TaskClass::kBatch});
  const StartMessage start = MakeStart(1);
  now = now + times.stamp_validity + Duration(1);
  ReceiveFromOwner(start);
  CHECK(FindEffect<TaskSupervisor::StartOnWorker>() == nullptr);
  CHECK(FindSentMessage<StartRefusedMessage>()->code == ErrorCode::kStaleStamp);
}

TEST(TaskSupervisor, RefusesStampOfEarlierIncarnation) {
  ReceiveFromOwner(OfferMessage{Key(1), kDemand, TaskClass::kBatch});
  StartMessage start = MakeStart(1);
  start.stamp.incarnation = Incarnation(6);
  ReceiveFromOwner(start);
  CHECK(FindEffect<TaskSupervisor::StartOnWorker>() == nullptr);
  CHECK(FindSentMessage<StartRefusedMessage>()->code == ErrorCode::kStaleStamp);
}

TEST(TaskSupervisor, RefusesDuplicateOfRefusedStart) {
  supervisor.SetWorkAllowed(false, ConfigSerial(1));
  const StartMessage start = MakeStart(1);
  ReceiveFromOwner(start);
  CHECK(FindSentMessage<StartRefusedMessage>() != nullptr);
  supervisor.SetWorkAllowed(true, ConfigSerial(2));
  ReceiveFromOwner(OfferMessage{Key(1), kDemand, TaskClass::kBatch});
  CHECK(FindSentMessage<OfferRefusedMessage>() != nullptr);
  ReceiveFromOwner(start);
  CHECK(FindEffect<TaskSupervisor::StartOnWorker>() == nullptr);
}

TEST(TaskSupervisor, NeverStartsGenerationReportedAbsent) {
  ReceiveFromOwner(OfferMessage{Key(1), kDemand, TaskClass::kBatch});
  const StartMessage delayed = MakeStart(1);
  ReceiveFromOwner(QueryMessage{Key(1, 2)}, kNewOwner);
  CHECK(FindSentMessage<ReportMessage>()->state == ReportedState::kAbsent);
  CHECK(supervisor.ledger().committed() == Resources{});
  ReceiveFromOwner(delayed);
  CHECK(FindEffect<TaskSupervisor::StartOnWorker>() == nullptr);
  StartMessage same_epoch = delayed;
  same_epoch.key.epoch = Epoch(2);
  ReceiveFromOwner(same_epoch, kNewOwner);
  CHECK(FindEffect<TaskSupervisor::StartOnWorker>() == nullptr);
}

TEST(TaskSupervisor, StartsGenerationOnceDespiteRepeatedStart) {
  ReceiveFromOwner(OfferMessage{Key(1), kDemand, TaskClass::kBatch});
  const StartMessage start = MakeStart(1);
  ReceiveFromOwner(start);
  CHECK(FindEffect<TaskSupervisor::StartOnWorker>() != nullptr);
  ReceiveFromOwner(start);
  CHECK(FindEffect<TaskSupervisor::StartOnWorker>() == nullptr);
}

TEST(TaskSupervisor, NeverReservesBeyondCapacity) {
  for (int number = 0; number < 4; ++number) {
    PlacementKey key = Key(1);
    key.task = TaskId("team:job:" + std::to_string(number));
    ReceiveFromOwner(OfferMessage{key, kDemand, TaskClass::kBatch});
    const bool fits = number < 2;
    CHECK_EQUAL(fits, FindSentMessage<OfferedMessage>() != nullptr);
  }
  CHECK(supervisor.ledger().committed().FitsIn(kCapacity));
}

TEST(TaskSupervisor, ReleasesExpiredReservation) {
  ReceiveFromOwner(OfferMessage{Key(1), kDemand, TaskClass::kBatch});
  now = now + times.stamp_validity + Duration(1);
  supervisor.Tick(now);
  CHECK(supervisor.ledger().committed() == Resources{});
}

TEST(TaskSupervisor, StopsTaskWithExpiredLease) {
  RunTask(1);
  now = now + times.run_lease;
  supervisor.Tick(now);
  effects = supervisor.TakeEffects();
  CHECK(FindEffect<TaskSupervisor::StopOnWorker>() != nullptr);
  // A renewal after the expiry does not extend the lease.
  ReceiveFromOwner(RenewMessage{kShard, Epoch(1), Stamp{kIncarnation, now}});
  CHECK(FindEffect<TaskSupervisor::RenewOnWorker>() == nullptr);
}

TEST(TaskSupervisor, RenewsFromHeartbeatStampAndOnlyForNewestOwner) {
  RunTask(1, 2);
  now = now + Duration(3'000);
  const Stamp stamp{kIncarnation, now - Duration(1'000)};
  ReceiveFromOwner(RenewMessage{kShard, Epoch(1), stamp});
  CHECK(FindEffect<TaskSupervisor::RenewOnWorker>() == nullptr);
  ReceiveFromOwner(RenewMessage{kShard, Epoch(2), stamp});
  CHECK(FindEffect<TaskSupervisor::RenewOnWorker>()->lease_until ==
        stamp.agent_time + times.run_lease);
}

TEST(TaskSupervisor, RepeatsReportOfEndUntilAcknowledged) {
  RunTask(1);
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
    CHECK(FindSentMessage<ReportMessage>()->state == ReportedState::kFinished);
  }
  ReceiveFromOwner(AcknowledgeMessage{Key(1)});
  CHECK(FindEffect<TaskSupervisor::ForgetOnWorker>() != nullptr);
  now = now + times.heartbeat;
  supervisor.Tick(now);
  effects = supervisor.TakeEffects();
  CHECK(FindSentMessage<ReportMessage>() == nullptr);
}

TEST(TaskSupervisor, ReportsEndOfGenerationBeforeReservingNext) {
  RunTask(1);
  WorkerTaskStatus status;
  status.task.task = kTask;
  status.task.generation = Generation(1);
  status.state = WorkerTaskState::kFinished;
  supervisor.OnWorkerList({status}, now, now);
  supervisor.TakeEffects();
  ReceiveFromOwner(OfferMessage{Key(2), kDemand, TaskClass::kBatch});
  CHECK(FindSentMessage<OfferedMessage>() == nullptr);
  CHECK(FindSentMessage<ReportMessage>()->state == ReportedState::kFinished);
}

TEST(TaskSupervisor, PreemptsBatchTaskAndKeepsCapacityForUrgentTask) {
  RunTask(1);
  PlacementKey urgent = Key(1);
  urgent.task = TaskId("team:urgent:0");
  const Resources large{7'000, 8'000, 0};
  ReceiveFromOwner(OfferMessage{urgent, large, TaskClass::kUrgent});
  CHECK(FindEffect<TaskSupervisor::StopOnWorker>() != nullptr);
  supervisor.OnWorkerStopped(kTask, Generation(1), CheckpointId("5"), now);
  supervisor.TakeEffects();
  PlacementKey other = Key(1);
  other.task = TaskId("team:other:0");
  ReceiveFromOwner(OfferMessage{other, kDemand, TaskClass::kBatch});
  CHECK(FindSentMessage<OfferRefusedMessage>()->code == ErrorCode::kNoRoom);
  ReceiveFromOwner(OfferMessage{urgent, large, TaskClass::kUrgent});
  CHECK(FindSentMessage<OfferedMessage>() != nullptr);
}

TEST_GROUP(SupervisorRestart){};

TEST(SupervisorRestart, RefusesOfferUntilLedgerIsRebuilt) {
  TaskSupervisor supervisor(DomainId("marka"), HostId("host-0"), kIncarnation,
                            PlacementTimes());
  supervisor.Handle(kOwner, OfferMessage{Key(1), kDemand, TaskClass::kBatch},
                    Instant{5});
  const auto effects = supervisor.TakeEffects();
  const auto& send = std::get<TaskSupervisor::Send>(effects.front());
  CHECK(std::get<OfferRefusedMessage>(send.message).code ==
        ErrorCode::kNotReady);
}

TEST(SupervisorRestart, ReservesResourcesOfTasksThatWorkerStillRuns) {
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

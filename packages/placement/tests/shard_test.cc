#include "placement/shard.h"

#include <CppUTest/TestHarness.h>

using namespace zinniacart;

namespace {

const EntryId kSelf("entry-0");
const Incarnation kIncarnation(5);
const ShardId kShard(0);
const HostId kHost("host-0");
const DomainId kDomain("marka");
const JobId kJob = MakeJobId(TeamId("team"), "job");
const TaskId kTask = MakeTaskId(kJob, 0);

JobRecord MakeJob() {
  JobRecord job;
  job.job = kJob;
  job.team = TeamId("team");
  job.demand = Resources{1'000, 1'000, 0};
  job.run_time = Duration(1'000);
  job.replicas = 1;
  return job;
}

}  // namespace

TEST_GROUP(Shard) {
  PlacementTimes times;
  Shard shard{kShard, kSelf, kIncarnation, PlacementTimes()};
  Configuration configuration;
  Instant now{50'000};
  std::vector<Shard::Effect> effects;
  std::uint64_t version = 0;

  void CollectEffects() {
    effects = shard.TakeEffects();
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
  template <typename Message>
  const Message* FindSentMessage() const {
    for (const auto& effect : effects) {
      const auto* send = std::get_if<Shard::Send>(&effect);
      const auto* message =
          send == nullptr ? nullptr : std::get_if<Message>(&send->message);
      if (message != nullptr) {
        return message;
      }
    }
    return nullptr;
  }
  void ConfirmWrite() {
    shard.OnWritten(StoreVersion(++version), now);
    CollectEffects();
  }
  void Claim() {
    shard.BeginClaim(now);
    shard.OnRead(Fail(ErrorCode::kNotFound, ""), now);
    ConfirmWrite();
  }
  void AdvanceTime(Duration time) {
    now = now + time;
    shard.Tick(now);
    CollectEffects();
  }
  void Submit() {
    shard.Submit(1, MakeJob(), now);
    AdvanceTime(times.commit_interval);
    ConfirmWrite();
  }
  PlacementKey Key(std::uint64_t generation) const {
    return PlacementKey{kTask, Generation(generation), kShard, shard.epoch()};
  }
  void ReceiveFromAgent(const AgentMessage& message) {
    shard.OnAgentMessage(kHost, message, true, now);
    CollectEffects();
  }
  /// Places the task up to the point where the start message was sent.
  void AssignTask() {
    shard.Offer(kTask, kHost, kDomain, now);
    ReceiveFromAgent(OfferedMessage{Key(1), Stamp{Incarnation(9), Instant{3}}});
    AdvanceTime(times.commit_interval);
    ConfirmWrite();
    shard.OnConfigurationConfirmed(&configuration, now);
    CollectEffects();
  }
  Shard::Phase CurrentPhase() const {
    return shard.Tasks().front().placement_state->phase;
  }
};

TEST(Shard, WritesAssignmentBeforeSendingStart) {
  Claim();
  Submit();
  shard.Offer(kTask, kHost, kDomain, now);
  ReceiveFromAgent(OfferedMessage{Key(1), Stamp{Incarnation(9), Instant{3}}});
  AdvanceTime(times.commit_interval);
  CHECK(FindEffect<Shard::WriteRecord>() != nullptr);
  CHECK(FindEffect<Shard::ConfirmConfiguration>() != nullptr);
  CHECK(FindSentMessage<StartMessage>() == nullptr);
  ConfirmWrite();
  CHECK(FindSentMessage<StartMessage>() == nullptr);
  shard.OnConfigurationConfirmed(&configuration, now);
  CollectEffects();
  CHECK(FindSentMessage<StartMessage>() != nullptr);
}

TEST(Shard, DoesNotStartTaskWhenConfigurationCannotBeConfirmed) {
  Claim();
  Submit();
  shard.Offer(kTask, kHost, kDomain, now);
  ReceiveFromAgent(OfferedMessage{Key(1), Stamp{Incarnation(9), Instant{3}}});
  AdvanceTime(times.commit_interval);
  ConfirmWrite();
  shard.OnConfigurationConfirmed(nullptr, now);
  CollectEffects();
  CHECK(FindSentMessage<StartMessage>() == nullptr);
  CHECK(CurrentPhase() == Shard::Phase::kIdle);
}

TEST(Shard, DoesNotStartTaskInDomainDrainedAfterOffer) {
  Claim();
  Submit();
  shard.Offer(kTask, kHost, kDomain, now);
  ReceiveFromAgent(OfferedMessage{Key(1), Stamp{Incarnation(9), Instant{3}}});
  AdvanceTime(times.commit_interval);
  ConfirmWrite();
  ChangeRequest request{"id",
                        "operator",
                        0,
                        "domain/marka",
                        DomainResource{kDomain, false},
                        std::nullopt};
  CHECK(configuration.Append(request).has_value());
  shard.OnConfigurationConfirmed(&configuration, now);
  CollectEffects();
  CHECK(FindSentMessage<StartMessage>() == nullptr);
}

TEST(Shard, LateOfferRefusalDoesNotReleaseStartingTask) {
  Claim();
  Submit();
  AssignTask();
  CHECK(CurrentPhase() == Shard::Phase::kStarting);
  ReceiveFromAgent(OfferRefusedMessage{Key(1), ErrorCode::kConflict});
  CHECK(CurrentPhase() == Shard::Phase::kStarting);
}

TEST(Shard, ResolvesLostWriteResponseByCommitId) {
  Claim();
  shard.Submit(1, MakeJob(), now);
  AdvanceTime(times.commit_interval);
  const std::string bytes = FindEffect<Shard::WriteRecord>()->bytes;
  shard.OnWritten(Fail(ErrorCode::kOutcomeUnknown, "lost"), now);
  CollectEffects();
  CHECK(FindEffect<Shard::ReadRecord>() != nullptr);
  CHECK(FindEffect<Shard::Answer>() == nullptr);
  shard.OnRead(StoreValue{ShardKey(kShard), bytes, StoreVersion(77)}, now);
  CollectEffects();
  CHECK(FindEffect<Shard::Answer>()->result.has_value());
}

TEST(Shard, RepeatsWriteThatWasNotApplied) {
  Claim();
  shard.Submit(1, MakeJob(), now);
  AdvanceTime(times.commit_interval);
  shard.OnWritten(Fail(ErrorCode::kOutcomeUnknown, "lost"), now);
  CollectEffects();
  shard.OnRead(StoreValue{ShardKey(kShard), "", StoreVersion(version)}, now);
  CollectEffects();
  CHECK(FindEffect<Shard::WriteRecord>() != nullptr);
  CHECK(FindEffect<Shard::WriteRecord>()->expected == StoreVersion(version));
}

TEST(Shard, WriteByAnotherOwnerEndsOwnership) {
  Claim();
  shard.Submit(1, MakeJob(), now);
  AdvanceTime(times.commit_interval);
  shard.OnWritten(Fail(ErrorCode::kPreconditionFailed, "moved"), now);
  ShardRecord other;
  other.owner = EntryId("entry-1");
  other.epoch = Epoch(2);
  other.commit_id = "entry-1/1/1";
  shard.OnRead(StoreValue{ShardKey(kShard), Serialize(other), StoreVersion(9)},
               now);
  CollectEffects();
  CHECK(shard.ownership() == Shard::Ownership::kNotOwned);
  CHECK(FindEffect<Shard::Answer>()->result.error().code ==
        ErrorCode::kOutcomeUnknown);
}

TEST(Shard, ClaimsOnlyAfterListingStartedAfterRead) {
  ShardRecord other;
  other.owner = EntryId("entry-1");
  other.owner_incarnation = Incarnation(1);
  other.epoch = Epoch(4);
  shard.BeginClaim(now);
  const Instant listed_before = now - Duration(1);
  shard.OnRead(StoreValue{ShardKey(kShard), Serialize(other), StoreVersion(9)},
               now);
  const auto no_entry_alive = [](const EntryId&, Incarnation) { return false; };
  shard.OnLiveEntries(no_entry_alive, listed_before, now);
  CollectEffects();
  CHECK(FindEffect<Shard::WriteRecord>() == nullptr);
  shard.OnLiveEntries(no_entry_alive, now, now);
  CollectEffects();
  CHECK(FindEffect<Shard::WriteRecord>() != nullptr);
}

TEST(Shard, WaitsForPreviousLeaseBeforeReschedulingTaskOnSilentHost) {
  ShardRecord other;
  other.epoch = Epoch(4);
  JobRecord job = MakeJob();
  TaskRecord task;
  task.task = kTask;
  task.generation = Generation(1);
  task.host = kHost;
  task.status = TaskStatus::kAssigned;
  job.tasks.push_back(task);
  other.jobs.push_back(job);
  shard.BeginClaim(now);
  shard.OnRead(StoreValue{ShardKey(kShard), Serialize(other), StoreVersion(9)},
               now);
  ConfirmWrite();
  CHECK(FindSentMessage<QueryMessage>() != nullptr);
  AdvanceTime(times.TakeoverWait());
  CHECK(CurrentPhase() == Shard::Phase::kUncertain);
  AdvanceTime(Duration(1));
  CHECK(CurrentPhase() == Shard::Phase::kIdle);
}

TEST(Shard, AcknowledgesFinishOnlyAfterItIsDurable) {
  Claim();
  Submit();
  AssignTask();
  ReceiveFromAgent(ReportMessage{Key(1), ReportedState::kRunning, {}});
  ReceiveFromAgent(ReportMessage{Key(1), ReportedState::kFinished, {}});
  CHECK(FindSentMessage<AcknowledgeMessage>() == nullptr);
  AdvanceTime(times.commit_interval);
  CHECK(FindSentMessage<AcknowledgeMessage>() == nullptr);
  ConfirmWrite();
  CHECK(FindSentMessage<AcknowledgeMessage>() != nullptr);
  CHECK(shard.Tasks().front().record->status == TaskStatus::kFinished);
}

TEST(Shard, EvictedTaskResumesFromCheckpointInNextGeneration) {
  Claim();
  Submit();
  AssignTask();
  ReceiveFromAgent(ReportMessage{Key(1), ReportedState::kRunning, {}});
  shard.Evict(kTask, now);
  CollectEffects();
  CHECK(FindSentMessage<StopMessage>() != nullptr);
  ReceiveFromAgent(
      ReportMessage{Key(1), ReportedState::kStopped, CheckpointId("42")});
  AdvanceTime(times.commit_interval);
  ConfirmWrite();
  shard.Offer(kTask, kHost, kDomain, now);
  ReceiveFromAgent(OfferedMessage{Key(2), Stamp{Incarnation(9), Instant{4}}});
  AdvanceTime(times.commit_interval);
  ConfirmWrite();
  shard.OnConfigurationConfirmed(&configuration, now);
  CollectEffects();
  CHECK(FindSentMessage<StartMessage>()->resume_from == CheckpointId("42"));
  CHECK(FindSentMessage<StartMessage>()->key.generation == Generation(2));
}

TEST(Shard, RenewsLeasesOnlyWhileSessionIsConfirmed) {
  Claim();
  Submit();
  AssignTask();
  ReceiveFromAgent(ReportMessage{Key(1), ReportedState::kRunning, {}});
  const HeartbeatMessage heartbeat{Stamp{Incarnation(9), Instant{10}}};
  shard.OnAgentMessage(kHost, heartbeat, false, now);
  CollectEffects();
  CHECK(FindSentMessage<RenewMessage>() == nullptr);
  ReceiveFromAgent(heartbeat);
  CHECK(FindSentMessage<RenewMessage>() != nullptr);
}

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

  void Take() {
    effects = shard.TakeEffects();
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
  template <typename Message>
  const Message* Sent() const {
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
  void Written() {
    shard.OnWritten(StoreVersion(++version), now);
    Take();
  }
  void Claim() {
    shard.BeginClaim(now);
    shard.OnRead(Fail(ErrorCode::kNotFound, ""), now);
    Written();
  }
  void Wait(Duration time) {
    now = now + time;
    shard.Tick(now);
    Take();
  }
  void Submit() {
    shard.Submit(1, MakeJob(), now);
    Wait(times.commit_interval);
    Written();
  }
  PlacementKey Key(std::uint64_t generation) const {
    return PlacementKey{kTask, Generation(generation), kShard, shard.epoch()};
  }
  void FromAgent(const AgentMessage& message) {
    shard.OnAgentMessage(kHost, message, true, now);
    Take();
  }
  /// Brings the task to the point where the host was told to start.
  void Assign() {
    shard.Offer(kTask, kHost, kDomain, now);
    FromAgent(OfferedMessage{Key(1), Stamp{Incarnation(9), Instant{3}}});
    Wait(times.commit_interval);
    Written();
    shard.OnConfigurationConfirmed(&configuration, now);
    Take();
  }
  Shard::Phase PhaseNow() const {
    return shard.Tasks().front().placement_state->phase;
  }
};

TEST(Shard, WritesTheAssignmentBeforeTheHostIsToldToStart) {
  Claim();
  Submit();
  shard.Offer(kTask, kHost, kDomain, now);
  FromAgent(OfferedMessage{Key(1), Stamp{Incarnation(9), Instant{3}}});
  Wait(times.commit_interval);
  CHECK(Did<Shard::WriteRecord>() != nullptr);
  CHECK(Did<Shard::ConfirmConfiguration>() != nullptr);
  CHECK(Sent<StartMessage>() == nullptr);
  Written();
  CHECK(Sent<StartMessage>() == nullptr);
  shard.OnConfigurationConfirmed(&configuration, now);
  Take();
  CHECK(Sent<StartMessage>() != nullptr);
}

TEST(Shard, StartsNothingWhereTheConfigurationCannotBeConfirmed) {
  Claim();
  Submit();
  shard.Offer(kTask, kHost, kDomain, now);
  FromAgent(OfferedMessage{Key(1), Stamp{Incarnation(9), Instant{3}}});
  Wait(times.commit_interval);
  Written();
  shard.OnConfigurationConfirmed(nullptr, now);
  Take();
  CHECK(Sent<StartMessage>() == nullptr);
  CHECK(PhaseNow() == Shard::Phase::kIdle);
}

TEST(Shard, StartsNothingInADomainThatWasTakenOutAfterTheOffer) {
  Claim();
  Submit();
  shard.Offer(kTask, kHost, kDomain, now);
  FromAgent(OfferedMessage{Key(1), Stamp{Incarnation(9), Instant{3}}});
  Wait(times.commit_interval);
  Written();
  ChangeRequest request{"id",
                        "operator",
                        0,
                        "domain/marka",
                        DomainResource{kDomain, false},
                        std::nullopt};
  CHECK(configuration.Append(request).has_value());
  shard.OnConfigurationConfirmed(&configuration, now);
  Take();
  CHECK(Sent<StartMessage>() == nullptr);
}

TEST(Shard, ALateCopyOfARefusedOfferDoesNotFreeAStartingTask) {
  Claim();
  Submit();
  Assign();
  CHECK(PhaseNow() == Shard::Phase::kStarting);
  FromAgent(OfferRefusedMessage{Key(1), ErrorCode::kConflict});
  CHECK(PhaseNow() == Shard::Phase::kStarting);
}

TEST(Shard, ResolvesALostAnswerByItsCommitId) {
  Claim();
  shard.Submit(1, MakeJob(), now);
  Wait(times.commit_interval);
  const std::string bytes = Did<Shard::WriteRecord>()->bytes;
  shard.OnWritten(Fail(ErrorCode::kOutcomeUnknown, "lost"), now);
  Take();
  CHECK(Did<Shard::ReadRecord>() != nullptr);
  CHECK(Did<Shard::Answer>() == nullptr);
  shard.OnRead(StoreValue{ShardKey(kShard), bytes, StoreVersion(77)}, now);
  Take();
  CHECK(Did<Shard::Answer>()->result.has_value());
}

TEST(Shard, RepeatsAWriteThatDidNotTakeEffect) {
  Claim();
  shard.Submit(1, MakeJob(), now);
  Wait(times.commit_interval);
  shard.OnWritten(Fail(ErrorCode::kOutcomeUnknown, "lost"), now);
  Take();
  shard.OnRead(StoreValue{ShardKey(kShard), "", StoreVersion(version)}, now);
  Take();
  CHECK(Did<Shard::WriteRecord>() != nullptr);
  CHECK(Did<Shard::WriteRecord>()->expected == StoreVersion(version));
}

TEST(Shard, AWriteOfAnotherOwnerEndsTheOwnership) {
  Claim();
  shard.Submit(1, MakeJob(), now);
  Wait(times.commit_interval);
  shard.OnWritten(Fail(ErrorCode::kPreconditionFailed, "moved"), now);
  ShardRecord other;
  other.owner = EntryId("entry-1");
  other.epoch = Epoch(2);
  other.commit_id = "entry-1/1/1";
  shard.OnRead(StoreValue{ShardKey(kShard), Serialize(other), StoreVersion(9)},
               now);
  Take();
  CHECK(shard.ownership() == Shard::Ownership::kForeign);
  CHECK(Did<Shard::Answer>()->result.error().code ==
        ErrorCode::kOutcomeUnknown);
}

TEST(Shard, TakesOverOnlyAfterAListingBegunAfterTheRead) {
  ShardRecord other;
  other.owner = EntryId("entry-1");
  other.owner_incarnation = Incarnation(1);
  other.epoch = Epoch(4);
  shard.BeginClaim(now);
  const Instant listed_before = now - Duration(1);
  shard.OnRead(StoreValue{ShardKey(kShard), Serialize(other), StoreVersion(9)},
               now);
  const auto nobody = [](const EntryId&, Incarnation) { return false; };
  shard.OnDirectory(nobody, listed_before, now);
  Take();
  CHECK(Did<Shard::WriteRecord>() == nullptr);
  shard.OnDirectory(nobody, now, now);
  Take();
  CHECK(Did<Shard::WriteRecord>() != nullptr);
}

TEST(Shard, WaitsForTheOldLeaseBeforeATaskOnASilentHostIsPlacedAnew) {
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
  Written();
  CHECK(Sent<QueryMessage>() != nullptr);
  Wait(times.TakeoverWait());
  CHECK(PhaseNow() == Shard::Phase::kUncertain);
  Wait(Duration(1));
  CHECK(PhaseNow() == Shard::Phase::kIdle);
}

TEST(Shard, AcknowledgesAFinishOnlyOnceItIsDurable) {
  Claim();
  Submit();
  Assign();
  FromAgent(ReportMessage{Key(1), ReportedState::kRunning, {}});
  FromAgent(ReportMessage{Key(1), ReportedState::kFinished, {}});
  CHECK(Sent<AcknowledgeMessage>() == nullptr);
  Wait(times.commit_interval);
  CHECK(Sent<AcknowledgeMessage>() == nullptr);
  Written();
  CHECK(Sent<AcknowledgeMessage>() != nullptr);
  CHECK(shard.Tasks().front().record->status == TaskStatus::kFinished);
}

TEST(Shard, AnEvictedTaskCarriesItsCheckpointIntoTheNextGeneration) {
  Claim();
  Submit();
  Assign();
  FromAgent(ReportMessage{Key(1), ReportedState::kRunning, {}});
  shard.Evict(kTask, now);
  Take();
  CHECK(Sent<StopMessage>() != nullptr);
  FromAgent(ReportMessage{Key(1), ReportedState::kStopped, CheckpointId("42")});
  Wait(times.commit_interval);
  Written();
  shard.Offer(kTask, kHost, kDomain, now);
  FromAgent(OfferedMessage{Key(2), Stamp{Incarnation(9), Instant{4}}});
  Wait(times.commit_interval);
  Written();
  shard.OnConfigurationConfirmed(&configuration, now);
  Take();
  CHECK(Sent<StartMessage>()->resume_from == CheckpointId("42"));
  CHECK(Sent<StartMessage>()->key.generation == Generation(2));
}

TEST(Shard, RenewsOnlyWhileTheSessionIsConfirmed) {
  Claim();
  Submit();
  Assign();
  FromAgent(ReportMessage{Key(1), ReportedState::kRunning, {}});
  const HeartbeatMessage heartbeat{Stamp{Incarnation(9), Instant{10}}};
  shard.OnAgentMessage(kHost, heartbeat, false, now);
  Take();
  CHECK(Sent<RenewMessage>() == nullptr);
  FromAgent(heartbeat);
  CHECK(Sent<RenewMessage>() != nullptr);
}

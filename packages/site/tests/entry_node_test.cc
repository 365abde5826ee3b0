#include "site/entry_node.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "site/store_keys.h"

using namespace zinniacart;

namespace {

constexpr Duration kDeadline{5000};
constexpr Duration kReadInterval{100};
constexpr std::chrono::seconds kPatience{10};
const QueueId kQueue("orders");

/// A store that lists the given entries and records the jobs that it stores.
class IntakeStore final : public StorePort {
 public:
  void Get(const std::string& key,
           Duration,
           StoreCallback<StoreItem> done) override {
    done(Fail(failure.value_or(ErrorCode::kNotFound), key));
  }
  void List(const std::string& prefix,
            Duration,
            StoreCallback<StoreSnapshot> done) override {
    StoreSnapshot snapshot;
    if (prefix == store_keys::kEntriesPrefix) {
      snapshot.items = entries;
    }
    done(std::move(snapshot));
  }
  void Watch(const std::string&,
             std::uint64_t,
             Duration,
             Duration,
             StoreCallback<StoreEvents>) override {}
  void Commit(const StoreTransaction& transaction,
              Duration,
              StoreCallback<StoreCommit> done) override {
    const StoreWrite& write = transaction.writes.at(0);
    if (!write.key.starts_with(store_keys::kJobPrefix)) {
      return;
    }
    ++job_commits;
    if (failure) {
      return done(Fail(*failure, "no store"));
    }
    const auto record = DecodeJobRecord(
        JobId(write.key.substr(store_keys::kJobPrefix.size())), write.value);
    CHECK(record.has_value());
    stored.push_back(*record);
    done(StoreCommit{true, 1, {}});
  }
  void OpenLease(Duration, Duration, StoreCallback<LeaseId>) override {}
  void RenewLease(const LeaseId&, Duration, StoreCallback<Duration>) override {}
  void EndLease(const LeaseId&, Duration, StoreCallback<Duration>) override {}

  std::vector<StoreItem> entries;
  std::optional<ErrorCode> failure;  ///< Of the commits of jobs.
  std::vector<JobRecord> stored;
  int job_commits = 0;
};

/// @returns a configuration that declares `kQueue` with `priority`, or nothing.
SiteConfiguration MakeConfiguration(std::uint64_t version,
                                    std::optional<int> priority) {
  SiteConfiguration configuration;
  configuration.version = version;
  if (priority) {
    Queue queue;
    queue.id = kQueue;
    queue.policy.priority = *priority;
    configuration.queues = {queue};
  }
  return configuration;
}

std::uint16_t FreePort(boost::asio::io_context& loop) {
  net::HttpServer server(loop, net::ServerLimits{},
                         [](const net::Request&, const net::Responder&) {});
  return server.Listen("127.0.0.1", 0).value();
}

}  // namespace

/// Guards against a job that is stored by an older configuration: an entry that
/// has lost the store, and with it the changes of the configuration, relays the
/// job to a peer that knows a newer one.
TEST_GROUP(RelayedJob) {
  ManualClock clock;
  boost::asio::io_context loop;
  IntakeStore peer_store;
  IntakeStore lost_store;
  std::vector<std::unique_ptr<EntryNode>> peers;
  std::unique_ptr<EntryNode> entry;
  std::optional<IntakeOutcome> outcome;
  /// The entry's reads before the job; after 5 the store is known to be away.
  int reads_before = 0;

  std::unique_ptr<EntryNode> Start(const std::string& name, IntakeStore& store,
                                   SiteConfiguration configuration) {
    EntrySiteSettings settings;
    settings.entry = EntryId(name);
    settings.ip = "127.0.0.1";
    settings.peer_port = FreePort(loop);
    settings.owner.self = settings.entry;
    settings.owner.address = "127.0.0.1:" + std::to_string(settings.peer_port);
    settings.owner.cores = 1;
    auto node = std::make_unique<EntryNode>(loop, store, settings, clock);
    CHECK(node->Start().has_value());
    node->OnConfiguration(std::move(configuration));
    lost_store.entries.push_back(StoreItem{
        store_keys::Entry(settings.entry),
        EncodeEntryRecord(EntryRecord{settings.owner.address, 1}), 1});
    return node;
  }

  void AddPeer(SiteConfiguration configuration) {
    peers.push_back(Start("peer-" + std::to_string(peers.size()), peer_store,
                          std::move(configuration)));
  }

  /// Hands a job in that `entry` accepted by version 3.
  void Submit(ErrorCode failure = ErrorCode::kStoreUnavailable) {
    lost_store.failure = failure;
    entry = Start("entry", lost_store, MakeConfiguration(3, 3));
    for (int read = 0; read < reads_before; ++read) {
      entry->store().Get("probe", kDeadline, [](const Result<StoreItem>&) {});
      clock.Advance(kReadInterval);
    }
    JobRecord record;
    record.id = JobId("job");
    record.queue = kQueue;
    record.policy.priority = 3;
    record.policy_version = 3;
    record.spec.steps.resize(1);
    record.spec.steps.front().count = 1;
    entry->intake().Accept(
        record, clock.Now() + kDeadline, true,
        [this](const IntakeReply& reply) { outcome = reply.outcome; });
    const auto give_up_at = std::chrono::steady_clock::now() + kPatience;
    while (!outcome && std::chrono::steady_clock::now() < give_up_at) {
      loop.run_one_for(kPatience);
    }
    CHECK(outcome.has_value());
  }
};

TEST(RelayedJob, PeerThatKnowsTheQueueToBeDroppedRefusesIt) {
  AddPeer(MakeConfiguration(4, std::nullopt));
  Submit();
  CHECK(outcome == IntakeOutcome::kRefused);
  LONGS_EQUAL(0, peer_store.job_commits);
}

TEST(RelayedJob, NoOlderPeerStoresWhatANewerOneHasRefused) {
  AddPeer(MakeConfiguration(4, std::nullopt));
  AddPeer(MakeConfiguration(3, 3));
  Submit();
  CHECK(outcome == IntakeOutcome::kRefused);
  LONGS_EQUAL(0, peer_store.job_commits);
}

TEST(RelayedJob, RefusalLeavesTheOutcomeOfAnEarlierCommitUnknown) {
  AddPeer(MakeConfiguration(4, std::nullopt));
  Submit(ErrorCode::kOutcomeUnknown);
  CHECK(outcome == IntakeOutcome::kUnknown);
  LONGS_EQUAL(1, lost_store.job_commits);
  LONGS_EQUAL(0, peer_store.job_commits);
}

TEST(RelayedJob, NewerPolicyOfThePeerIsStored) {
  AddPeer(MakeConfiguration(4, 7));
  Submit();
  CHECK(outcome == IntakeOutcome::kStored);
  LONGS_EQUAL(1, peer_store.stored.size());
  LONGS_EQUAL(7, peer_store.stored.front().policy.priority);
  LONGS_EQUAL(4, peer_store.stored.front().policy_version);
}

TEST(RelayedJob, PeerWithAnOlderConfigurationStoresTheJobAsItIs) {
  AddPeer(MakeConfiguration(2, std::nullopt));
  Submit();
  CHECK(outcome == IntakeOutcome::kStored);
  LONGS_EQUAL(1, peer_store.stored.size());
  LONGS_EQUAL(3, peer_store.stored.front().policy.priority);
  LONGS_EQUAL(3, peer_store.stored.front().policy_version);
}

/// Where the store turns some entries away, the others store for them.
TEST(RelayedJob, PeerStoresForAnEntryWhoseStoreIsAway) {
  AddPeer(MakeConfiguration(3, 3));
  reads_before = 5;
  Submit();
  CHECK(outcome == IntakeOutcome::kStored);
  LONGS_EQUAL(0, lost_store.job_commits);
  LONGS_EQUAL(1, peer_store.stored.size());
}

TEST(RelayedJob, PeersWhoseStoreIsAwayTooRefuseWithoutATransaction) {
  AddPeer(MakeConfiguration(3, 3));
  AddPeer(MakeConfiguration(3, 3));
  peer_store.failure = ErrorCode::kOutcomeUnknown;
  reads_before = 5;
  Submit();
  CHECK(outcome == IntakeOutcome::kRefused);
  LONGS_EQUAL(0, lost_store.job_commits);
  LONGS_EQUAL(0, peer_store.job_commits);
}

#include "site/owner.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "site/store_keys.h"

using namespace zinniacart;

namespace {

const QueueId kQueue("orders");
const ServiceId kService("service");
constexpr std::chrono::seconds kPatience{10};
constexpr std::uint64_t kListedRevision = 10;

/// A store that grants the ownership and holds each watch of the jobs until the
/// test answers it.
class OwnerStore final : public StorePort {
 public:
  void Get(const std::string&, Duration, StoreCallback<StoreItem>) override {}
  void List(const std::string& prefix,
            Duration,
            StoreCallback<StoreSnapshot> done) override {
    StoreSnapshot snapshot;
    if (prefix == store_keys::kWorkPrefix) {
      snapshot.items = work;
      snapshot.as_of = kListedRevision;
    }
    done(std::move(snapshot));
  }
  void Watch(const std::string&,
             std::uint64_t,
             Duration,
             Duration,
             StoreCallback<StoreEvents> done) override {
    m_watch = std::move(done);
  }
  void Commit(const StoreTransaction&,
              Duration,
              StoreCallback<StoreCommit> done) override {
    done(StoreCommit{true, ++m_revision, {}});
  }
  void OpenLease(Duration, Duration, StoreCallback<LeaseId> done) override {
    done(LeaseId("lease"));
  }
  void RenewLease(const LeaseId&,
                  Duration,
                  StoreCallback<Duration> done) override {
    done(Duration(2000));
  }
  void EndLease(const LeaseId&, Duration, StoreCallback<Duration>) override {}

  void AnswerWatch() {
    StoreEvents events;
    events.as_of = kListedRevision;
    std::exchange(m_watch, nullptr)(std::move(events));
  }

  std::vector<StoreItem> work;

 private:
  StoreCallback<StoreEvents> m_watch;
  std::uint64_t m_revision = kListedRevision;
};

/// @returns a job that any worker of the service can run.
JobRecord MakeJob(const std::string& id) {
  JobRecord record;
  record.id = JobId(id);
  record.queue = kQueue;
  record.policy.service = kService;
  record.accepted_at_ms = WallClockMilliseconds();
  record.spec.steps.resize(1);
  record.spec.steps.front().count = 1;
  record.spec.steps.front().demand = Resources{1000, 100, 0};
  record.spec.steps.front().estimate = Duration(100);
  return record;
}

OwnerSettings MakeSettings() {
  OwnerSettings settings;
  settings.self = EntryId("entry");
  settings.address = "127.0.0.1:1";
  settings.cores = 1;
  return settings;
}

}  // namespace

/// Guards against decisions by a view that may lack what the store has
/// acknowledged since.
TEST_GROUP(OwnerView) {
  ManualClock clock;
  boost::asio::io_context loop;
  OwnerStore store;
  PeerClients peers{loop};
  Owner owner{loop, store, peers, MakeSettings(), clock};

  /// Makes `owner` the owner of a site with one waiting job.
  void Start() {
    const JobRecord record = MakeJob("job");
    store.work = {
        StoreItem{store_keys::Job(record.id), EncodeJobRecord(record), 1}};
    owner.Start();
    RunUntil([this] { return owner.active(); });
  }

  bool RunUntil(const std::function<bool()>& reached) {
    const auto give_up_at = std::chrono::steady_clock::now() + kPatience;
    while (!reached() && std::chrono::steady_clock::now() < give_up_at) {
      loop.run_one_for(kPatience);
    }
    return reached();
  }
};

TEST(OwnerView, WaitingJobsAreNotCountedByAnOldView) {
  Start();
  CHECK(owner.CountWaiting(kQueue) == std::optional<std::size_t>(1));
  clock.Advance(Duration(2500));
  CHECK(owner.CountWaiting(kQueue) == std::optional<std::size_t>(1));
  clock.Advance(Duration(1));
  CHECK(owner.CountWaiting(kQueue) == std::nullopt);
}

TEST(OwnerView, WaitingJobsAreCountedOnceTheViewIsConfirmed) {
  Start();
  clock.Advance(Duration(1500));
  store.AnswerWatch();
  clock.Advance(Duration(1500));
  store.AnswerWatch();
  CHECK(owner.CountWaiting(kQueue) == std::optional<std::size_t>(1));
}

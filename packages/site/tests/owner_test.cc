#include "site/owner.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/http_server.h"
#include "scheduling/host_messages_codec.h"
#include "site/store_keys.h"
#include "site/timer.h"

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
  void Commit(const StoreTransaction& transaction,
              Duration,
              StoreCallback<StoreCommit> done) override {
    for (const StoreWrite& write : transaction.writes) {
      written.insert(write.key);
    }
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
  std::set<std::string> written;

 private:
  StoreCallback<StoreEvents> m_watch;
  std::uint64_t m_revision = kListedRevision;
};

/// Answers the owner's calls as the agent of a host with a free worker.
class Agent final {
 public:
  explicit Agent(boost::asio::io_context& loop)
      : m_server(
            loop,
            net::ServerLimits{},
            [this](const net::Request& request, const net::Responder& respond) {
              Answer(request, respond);
            }) {
    address =
        "127.0.0.1:" + std::to_string(m_server.Listen("127.0.0.1", 0).value());
  }

  std::string address;
  int answers = 0;

 private:
  void Answer(const net::Request& request, const net::Responder& respond) {
    const auto orders = DecodeHostOrders(request.body);
    CHECK(orders.has_value());
    HostReport report;
    report.agent = Incarnation(1);
    report.sequence = ++m_sequence;
    report.list_number = m_sequence;
    report.epoch = orders->epoch;
    report.incarnation = WorkerIncarnation(1000);
    report.worker_reachable = true;
    report.listed = true;
    WorkerFacts facts;
    facts.worker = "worker";
    facts.incarnation = *report.incarnation;
    facts.domain = DomainId("domain");
    facts.service = kService;
    facts.capacity = Resources{4000, 64000, 0};
    report.facts = facts;
    respond(net::Response{200, Encode(report), {}});
    ++answers;
  }

  net::HttpServer m_server;
  std::uint64_t m_sequence = 0;
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
  Agent agent{loop};
  PeerClients peers{loop};
  Owner owner{loop, store, peers, MakeSettings(), clock};

  /// Makes `owner` the owner of a site with one host and one waiting job.
  void Start() {
    const JobRecord record = MakeJob("job");
    store.work = {
        StoreItem{store_keys::Job(record.id), EncodeJobRecord(record), 1},
        StoreItem{store_keys::Host(HostId("host")), agent.address, 2}};
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

  /// Runs the loop until the owner has handled reports of the host.
  void ReceiveReports() {
    constexpr int kCallsAtOnce = 2;
    CHECK(RunUntil([this] { return agent.answers > 2 * kCallsAtOnce; }));
  }

  /// Runs the loop until the owner has handled its next round. Timers of one
  /// loop expire in order, and a round is due 6 ms after the event that needs
  /// it.
  void TakeRound() {
    bool taken = false;
    Timer timer(loop);
    timer.After(Duration(20), [&taken] { taken = true; });
    CHECK(RunUntil([&taken] { return taken; }));
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

/// A domain may have been drained before this entry started.
TEST(OwnerView, NothingIsPlacedBeforeTheDrainedDomainsAreKnown) {
  const std::string progress = store_keys::Progress(JobId("job"));
  Start();
  ReceiveReports();
  TakeRound();
  CHECK_FALSE(store.written.contains(progress));
  owner.SetDrainedDomains({});
  CHECK(RunUntil([&] { return store.written.contains(progress); }));
}

#include "site/owner.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/post.hpp>
#include <map>
#include <string>
#include <utility>

#include "site/store_keys.h"

using namespace zinniacart;

namespace {

/// A store in memory. It answers at once, except for watches of the work, which
/// wait until the test answers them.
class MemoryStore final : public StorePort {
 public:
  explicit MemoryStore(boost::asio::io_context& loop) : m_loop(loop) {}

  std::uint64_t Put(const std::string& key, const std::string& value) {
    m_items[key] = StoreItem{key, value, ++m_revision};
    return m_revision;
  }

  /// The next listing of the work omits `key`, although it has a lower revision
  /// than others that are listed: its page was read before it was written.
  void OmitFromNextListing(const std::string& key) {
    m_omitted = key;
    m_omitted_as_of = m_items.at(key).revision - 1;
  }

  bool watches_work() const { return m_watch != nullptr; }
  /// From now on, the answers to failed conditions lack the progress.
  void HideProgressInConflicts() { m_hides_progress = true; }
  int commits() const { return m_commits; }
  int renewals() const { return m_renewals; }
  int work_listings() const { return m_work_listings; }

  void AnswerWatch(const std::string& key) {
    StoreEvents events;
    events.events = {StoreEvent{m_items.at(key), false}};
    events.as_of = m_items.at(key).revision;
    std::exchange(m_watch, nullptr)(std::move(events));
  }
  void LoseHistory() {
    std::exchange(m_watch,
                  nullptr)(Fail(ErrorCode::kPreconditionFailed, "no history"));
  }

  void Get(const std::string& key,
           Duration,
           StoreCallback<StoreItem> done) override {
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
      return Answer<StoreItem>(std::move(done),
                               Fail(ErrorCode::kNotFound, key));
    }
    Answer<StoreItem>(std::move(done), found->second);
  }

  void List(const std::string& prefix,
            Duration,
            StoreCallback<StoreSnapshot> done) override {
    const bool work = prefix == store_keys::kWorkPrefix;
    StoreSnapshot snapshot;
    snapshot.as_of = m_revision;
    for (const auto& [key, item] : m_items) {
      if (key.starts_with(prefix) && !(work && key == m_omitted)) {
        snapshot.items.push_back(item);
      }
    }
    if (work) {
      ++m_work_listings;
      if (!std::exchange(m_omitted, "").empty()) {
        snapshot.as_of = m_omitted_as_of;
      }
    }
    Answer<StoreSnapshot>(std::move(done), std::move(snapshot));
  }

  void Watch(const std::string& prefix,
             std::uint64_t,
             Duration,
             Duration,
             StoreCallback<StoreEvents> done) override {
    if (prefix == store_keys::kWorkPrefix) {
      m_watch = std::move(done);
    }
  }

  void Commit(const StoreTransaction& transaction,
              Duration,
              StoreCallback<StoreCommit> done) override {
    ++m_commits;
    StoreCommit commit;
    commit.committed = true;
    for (const StoreCondition& condition : transaction.conditions) {
      const auto found = m_items.find(condition.key);
      const StoreItem present = found == m_items.end()
                                    ? StoreItem{condition.key, {}, 0}
                                    : found->second;
      if (!m_hides_progress ||
          !condition.key.starts_with(store_keys::kProgressPrefix)) {
        commit.current.push_back(present);
      }
      commit.committed =
          commit.committed && present.revision == condition.revision;
    }
    if (commit.committed) {
      commit.revision = ++m_revision;
      for (const StoreWrite& write : transaction.writes) {
        m_items[write.key] = StoreItem{write.key, write.value, m_revision};
      }
    }
    Answer<StoreCommit>(std::move(done), std::move(commit));
  }

  void OpenLease(Duration, Duration, StoreCallback<LeaseId> done) override {
    Answer<LeaseId>(std::move(done), LeaseId("1"));
  }
  void RenewLease(const LeaseId&,
                  Duration,
                  StoreCallback<Duration> done) override {
    ++m_renewals;
    Answer<Duration>(std::move(done), Duration(2000));
  }
  void EndLease(const LeaseId&,
                Duration,
                StoreCallback<Duration> done) override {
    Answer<Duration>(std::move(done), Duration(0));
  }

 private:
  template <typename T>
  void Answer(StoreCallback<T> done, Result<T> result) {
    boost::asio::post(
        m_loop, [done = std::move(done), result = std::move(result)]() mutable {
          done(std::move(result));
        });
  }

  boost::asio::io_context& m_loop;
  std::map<std::string, StoreItem> m_items;
  std::uint64_t m_revision = 0;
  std::string m_omitted;
  std::uint64_t m_omitted_as_of = 0;
  int m_work_listings = 0;
  int m_renewals = 0;
  int m_commits = 0;
  bool m_hides_progress = false;
  StoreCallback<StoreEvents> m_watch;
};

JobRecord MakeRecord(const std::string& id) {
  JobRecord record;
  record.id = JobId(id);
  record.queue = QueueId("queue");
  record.policy.service = ServiceId("service");
  record.spec.payload = "payload";
  StepSpec step;
  step.count = 1;
  record.spec.steps = {step};
  return record;
}

constexpr char kCompleted[] = R"({"state":"completed","tasks":[[0,0,"d"]]})";
/// The first task was started on a host.
constexpr char kRunning[] =
    R"({"state":"running","tasks":[[0,0,"r",1,0,"","host",1]]})";
constexpr Duration kPastRetention{240001};

}  // namespace

/// Guards against jobs that run again although they have ended: an owner that
/// has forgotten them lists the stored jobs again.
TEST_GROUP(Owner) {
  boost::asio::io_context loop;
  MemoryStore store{loop};
  PeerClients peers{loop};
  ManualClock clock;
  Owner owner{loop, store, peers, MakeSettings(), clock};

  static OwnerSettings MakeSettings() {
    OwnerSettings settings;
    settings.self = EntryId("entry");
    settings.address = "127.0.0.1:1";
    settings.cores = 1;
    return settings;
  }

  void PutJob(const std::string& id) {
    store.Put(store_keys::Job(JobId(id)), EncodeJobRecord(MakeRecord(id)));
  }
  void PutEndedJob(const std::string& id) {
    PutJob(id);
    store.Put(store_keys::Progress(JobId(id)), kCompleted);
  }

  template <typename Condition>
  void RunUntil(Condition holds) {
    while (!holds()) {
      loop.run_one();
    }
  }
  void Load() {
    clock.Advance(Duration(100000));
    owner.Start();
    RunUntil([&] { return owner.active() && store.watches_work(); });
  }
  void ForgetEnded() {
    clock.Advance(kPastRetention);
    RunTick();
  }
  /// Runs until the owner has handled a tick that begins now. A tick renews the
  /// lease, then forgets what has expired.
  void RunTick() {
    const int before = store.renewals();
    RunUntil([&] { return store.renewals() > before; });
  }
  void ListAgain() {
    const int before = store.work_listings();
    store.LoseHistory();
    RunUntil(
        [&] { return store.work_listings() > before && store.watches_work(); });
  }
  void RunTicks(int count) {
    for (int tick = 0; tick < count; ++tick) {
      clock.Advance(Duration(1000));
      RunTick();
    }
  }
  bool Knows(const std::string& id) const {
    return owner.scheduler().jobs().contains(JobId(id));
  }
};

TEST(Owner, AJobThatEndedAndWasForgottenIsNotAddedByAListing) {
  PutEndedJob("ended");
  Load();
  CHECK(Knows("ended"));
  ForgetEnded();
  CHECK_FALSE(Knows("ended"));
  ListAgain();
  CHECK_FALSE(Knows("ended"));
}

TEST(Owner, AJobStoredInAGapIsAddedByAListing) {
  PutEndedJob("ended");
  Load();
  PutJob("new");
  ListAgain();
  CHECK(Knows("new"));
}

/// The pages of a listing are no snapshot: one that was read early may lack a
/// job that is older than those of the later pages.
TEST(Owner, AJobMissedByAnEarlyPageIsAdded) {
  PutJob("0");
  Load();
  PutJob("1");
  PutJob("2");
  store.OmitFromNextListing(store_keys::Job(JobId("1")));
  ListAgain();
  CHECK_FALSE(Knows("1"));
  CHECK(Knows("2"));
  ListAgain();
  CHECK(Knows("1"));
}

/// A job of a late page may be newer than the revision that the next watch
/// follows, so that the watch tells of it once more.
TEST(Owner, AJobThatTheWatchHasYetToTellOfIsNotForgotten) {
  PutJob("0");
  Load();
  PutJob("1");
  PutJob("2");
  store.OmitFromNextListing(store_keys::Job(JobId("1")));
  ListAgain();
  owner.OnNotice("/owner/job-cancelled/2", {});
  ForgetEnded();
  CHECK(Knows("2"));
  store.AnswerWatch(store_keys::Job(JobId("1")));
  store.AnswerWatch(store_keys::Job(JobId("2")));
  ForgetEnded();
  CHECK_FALSE(Knows("2"));
}

TEST(Owner, AJobToldByNoticeIsNotForgottenBeforeTheStoreTellsOfIt) {
  Load();
  owner.OnNotice("/owner/job-stored/told", EncodeJobRecord(MakeRecord("told")));
  owner.OnNotice("/owner/job-cancelled/told", {});
  PutJob("told");
  ForgetEnded();
  CHECK(Knows("told"));
  ListAgain();
  ForgetEnded();
  CHECK_FALSE(Knows("told"));
  ListAgain();
  CHECK_FALSE(Knows("told"));
}

TEST(Owner, AJobWhoseProgressCannotBeRestoredIsHeldBack) {
  PutJob("empty");
  store.Put(store_keys::Progress(JobId("empty")), "");
  PutJob("odd");
  store.Put(store_keys::Progress(JobId("odd")),
            R"({"state":"running","tasks":[[0,7,"d"]]})");
  PutJob("good");
  store.Put(store_keys::Progress(JobId("good")), kRunning);
  Load();
  for (const std::string id : {"empty", "odd"}) {
    owner.OnNotice("/owner/job-stored/" + id, EncodeJobRecord(MakeRecord(id)));
    CHECK_FALSE(Knows(id));
    CHECK_FALSE(owner.StateOf(JobId(id)).has_value());
  }
  ListAgain();
  CHECK_FALSE(Knows("empty"));
  CHECK_FALSE(Knows("odd"));
  CHECK(Knows("good"));
}

/// Guards against a write that is repeated in each round, many times a second.
TEST(Owner, AConflictWithoutTheStoredProgressIsRepeatedAfterADelay) {
  constexpr Duration kRetryDelay{60};
  PutJob("job");
  store.Put(store_keys::Progress(JobId("job")), kRunning);
  Load();
  store.Put(store_keys::Progress(JobId("job")), kRunning);
  store.HideProgressInConflicts();
  const SteadyClock steady;
  const Instant began = steady.Now();
  // The host never reports, so that its run expires and is written.
  clock.Advance(Duration(60000));
  RunTicks(10);
  const Duration elapsed = steady.Now() - began;
  CHECK(store.commits() > 1);
  CHECK(store.commits() <= elapsed / kRetryDelay + 2);
}

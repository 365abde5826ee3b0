#include "site/learned_archive.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <utility>

#include "site/store_keys.h"

using namespace zinniacart;

namespace {

/// A store that keeps the calls until the test answers them.
class RecordStore final : public StorePort {
 public:
  void Get(const std::string& key,
           Duration,
           StoreCallback<StoreItem> done) override {
    STRCMP_EQUAL(store_keys::kInterference.c_str(), key.c_str());
    m_get = std::move(done);
  }
  void List(const std::string&,
            Duration,
            StoreCallback<StoreSnapshot>) override {}
  void Watch(const std::string&,
             std::uint64_t,
             Duration,
             Duration,
             StoreCallback<StoreEvents>) override {}
  void Commit(const StoreTransaction& transaction,
              Duration,
              StoreCallback<StoreCommit>) override {
    commits.push_back(transaction);
  }
  void OpenLease(Duration, Duration, StoreCallback<LeaseId>) override {}
  void RenewLease(const LeaseId&, Duration, StoreCallback<Duration>) override {}
  void EndLease(const LeaseId&, Duration, StoreCallback<Duration>) override {}

  void Answer(Result<StoreItem> item) {
    std::exchange(m_get, nullptr)(std::move(item));
  }

  std::vector<StoreTransaction> commits;

 private:
  StoreCallback<StoreItem> m_get;
};

constexpr std::uint64_t kEpochRevision = 7;

}  // namespace

TEST_GROUP(LearnedArchive) {
  RecordStore store;
  ManualClock clock;
  LearnedArchive archive{store, clock, store_keys::kInterference,
                         "interference"};
  std::shared_ptr<int> term = std::make_shared<int>(0);
  std::optional<std::string> loaded;

  void Load() {
    archive.Load(term, [this](const std::string& bytes) { loaded = bytes; });
  }
  void Save(const std::string& bytes) {
    archive.SaveIfDue(kEpochRevision, [&] { return bytes; });
  }
};

TEST(LearnedArchive, RecordReachesTheNewOwner) {
  Load();
  store.Answer(StoreItem{store_keys::kInterference, "record", 3});
  STRCMP_EQUAL("record", loaded.value_or("").c_str());
}

TEST(LearnedArchive, OwnerThatLostItsTermIgnoresTheRecord) {
  Load();
  term.reset();
  store.Answer(StoreItem{store_keys::kInterference, "record", 3});
  CHECK_FALSE(loaded.has_value());
}

TEST(LearnedArchive, StoreThatCannotBeReadGivesNoRecord) {
  Load();
  store.Answer(Fail(ErrorCode::kStoreUnavailable, "the store is down"));
  CHECK_FALSE(loaded.has_value());
}

TEST(LearnedArchive, RecordOfADeposedOwnerIsConditional) {
  clock.Advance(LearnedArchive::kSaveInterval);
  Save("record");
  LONGS_EQUAL(1, store.commits.size());
  const StoreTransaction& commit = store.commits.at(0);
  STRCMP_EQUAL(store_keys::kEpoch.c_str(), commit.conditions.at(0).key.c_str());
  LONGS_EQUAL(kEpochRevision, commit.conditions.at(0).revision);
  STRCMP_EQUAL(store_keys::kInterference.c_str(),
               commit.writes.at(0).key.c_str());
  STRCMP_EQUAL("record", commit.writes.at(0).value.c_str());
}

// Guards against a new owner that knows nothing yet and writes that over what
// its predecessor had learned, before it has read it.
TEST(LearnedArchive, FirstRecordOfATermFollowsTheRead) {
  clock.Advance(LearnedArchive::kSaveInterval);
  Load();
  Save("nothing learned");
  LONGS_EQUAL(0, store.commits.size());
}

TEST(LearnedArchive, RecordsAreWrittenAtIntervals) {
  constexpr int kIntervals = 5;
  constexpr Duration kTick{50};
  for (Duration passed{0}; passed < kIntervals * LearnedArchive::kSaveInterval;
       passed += kTick) {
    clock.Advance(kTick);
    Save("record");
  }
  LONGS_EQUAL(kIntervals, store.commits.size());
}

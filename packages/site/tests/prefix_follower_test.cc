#include "site/prefix_follower.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <vector>

using namespace zinniacart;

namespace {

/// A store that holds each call until the test supplies the response.
class ManualStore final : public StorePort {
 public:
  void Get(const std::string&, Duration, StoreCallback<StoreItem>) override {}
  void List(const std::string&,
            Duration timeout,
            StoreCallback<StoreSnapshot> done) override {
    m_list_timeout = timeout;
    m_list = std::move(done);
  }
  void Watch(const std::string&,
             std::uint64_t after,
             Duration,
             Duration,
             StoreCallback<StoreEvents> done) override {
    m_watched_after = after;
    m_watch = std::move(done);
  }
  void Commit(const StoreTransaction&,
              Duration,
              StoreCallback<StoreCommit>) override {}
  void OpenLease(Duration, Duration, StoreCallback<LeaseId>) override {}
  void RenewLease(const LeaseId&, Duration, StoreCallback<Duration>) override {}
  void EndLease(const LeaseId&, Duration, StoreCallback<Duration>) override {}

  bool lists() const { return m_list != nullptr; }
  bool watches() const { return m_watch != nullptr; }
  std::uint64_t watched_after() const { return m_watched_after; }
  Duration list_timeout() const { return m_list_timeout; }

  void AnswerList(std::uint64_t revision, Duration received_in) {
    StoreSnapshot snapshot;
    snapshot.items = {StoreItem{"op/config", "value", revision}};
    snapshot.as_of = revision;
    snapshot.received_in = received_in;
    std::exchange(m_list, nullptr)(std::move(snapshot));
  }

  void AnswerWatch(const std::vector<std::uint64_t>& revisions,
                   Duration received_in) {
    StoreEvents events;
    for (const std::uint64_t revision : revisions) {
      events.events.push_back(
          StoreEvent{StoreItem{"op/config", "value", revision}, false});
      events.as_of = revision;
    }
    events.received_in = received_in;
    std::exchange(m_watch, nullptr)(std::move(events));
  }

  void FailWatch(ErrorCode code) {
    std::exchange(m_watch, nullptr)(Fail(code, "no response"));
  }

 private:
  StoreCallback<StoreSnapshot> m_list;
  StoreCallback<StoreEvents> m_watch;
  std::uint64_t m_watched_after = 0;
  Duration m_list_timeout{0};
};

constexpr Duration kFast{5};
constexpr Duration kSlow{1600};

}  // namespace

/// Guards against a follower that falls further and further behind: a
/// configuration of some 100 KB changes several times a second and is read over
/// a slow link.
TEST_GROUP(PrefixFollower) {
  boost::asio::io_context loop;
  ManualStore store;
  ManualClock clock;
  std::uint64_t seen = 0;

  PrefixFollower Make(CatchUp catch_up) {
    return PrefixFollower(
        loop, store, "op/", catch_up,
        [this](const StoreSnapshot& snapshot) {
          seen = snapshot.items.at(0).revision;
        },
        [this](const StoreEvent& event) { seen = event.item.revision; }, clock);
  }
};

TEST(PrefixFollower, WatchesOnAfterFastResponses) {
  PrefixFollower follower = Make(CatchUp::kByListing);
  follower.Start();
  store.AnswerList(10, kFast);
  CHECK(store.watches());
  store.AnswerWatch({11}, kFast);
  CHECK(store.watches());
  CHECK_FALSE(store.lists());
  LONGS_EQUAL(11, store.watched_after());
  LONGS_EQUAL(11, seen);
}

TEST(PrefixFollower, ListsAfterSlowResponsesUntilNothingIsNew) {
  PrefixFollower follower = Make(CatchUp::kByListing);
  follower.Start();
  store.AnswerList(10, kFast);
  store.AnswerWatch({11}, kSlow);
  // Six more versions were written meanwhile; a watch would return them all.
  CHECK(store.lists());
  CHECK_FALSE(store.watches());
  store.AnswerList(17, kSlow);
  LONGS_EQUAL(17, seen);
  CHECK(store.lists());
  store.AnswerList(17, kSlow);
  CHECK_FALSE(store.lists());
  CHECK(store.watches());
  LONGS_EQUAL(17, store.watched_after());
}

TEST(PrefixFollower, WatchesOnAfterSlowResponsesIfEveryChangeIsNeeded) {
  PrefixFollower follower = Make(CatchUp::kByChanges);
  follower.Start();
  store.AnswerList(10, kSlow);
  CHECK(store.watches());
  store.AnswerWatch({11, 12}, kSlow);
  CHECK(store.watches());
  CHECK_FALSE(store.lists());
}

/// Guards against a view whose age nobody knows: it counts from when the call
/// was sent, as changes after that may be missing from the response.
TEST(PrefixFollower, ViewIsAsOldAsTheLastAnsweredCall) {
  PrefixFollower follower = Make(CatchUp::kByListing);
  follower.Start();
  CHECK_FALSE(follower.confirmed_at().has_value());
  clock.Advance(Duration(40));
  store.AnswerList(10, kFast);
  LONGS_EQUAL(0, follower.confirmed_at()->milliseconds);
  clock.Advance(Duration(700));
  LONGS_EQUAL(0, follower.confirmed_at()->milliseconds);
  store.AnswerWatch({}, kFast);
  LONGS_EQUAL(40, follower.confirmed_at()->milliseconds);
}

/// Guards against a follower that reads every version of a large value after
/// the store was unavailable, and is outdated for seconds more.
TEST(PrefixFollower, ListsAfterAFailedWatch) {
  PrefixFollower follower = Make(CatchUp::kByListing);
  follower.Start();
  store.AnswerList(10, kFast);
  store.FailWatch(ErrorCode::kStoreUnavailable);
  loop.run();
  CHECK(store.lists());
  CHECK_FALSE(store.watches());
  store.AnswerList(22, kFast);
  LONGS_EQUAL(22, seen);
  CHECK(store.watches());
  LONGS_EQUAL(22, store.watched_after());
}

TEST(PrefixFollower, WatchesOnAfterAFailedWatchIfEveryChangeIsNeeded) {
  PrefixFollower follower = Make(CatchUp::kByChanges);
  follower.Start();
  store.AnswerList(10, kFast);
  store.FailWatch(ErrorCode::kStoreUnavailable);
  loop.run();
  CHECK_FALSE(store.lists());
  CHECK(store.watches());
  LONGS_EQUAL(10, store.watched_after());
}

/// Guards against a process that was halted and then reads every version that
/// was written meanwhile.
TEST(PrefixFollower, ListsAfterAResponseThatIsHandledLate) {
  PrefixFollower follower = Make(CatchUp::kByListing);
  follower.Start();
  store.AnswerList(10, kFast);
  clock.Advance(Duration(4000));
  store.AnswerWatch({11}, kFast);
  CHECK(store.lists());
  CHECK_FALSE(store.watches());
  store.AnswerList(22, kFast);
  CHECK(store.watches());
  clock.Advance(Duration(4000));
  store.AnswerWatch({}, kFast);
  CHECK(store.lists());
  store.AnswerList(34, kFast);
  LONGS_EQUAL(34, seen);
  CHECK(store.watches());
}

TEST(PrefixFollower, WatchesOnAfterWaitingInVain) {
  PrefixFollower follower = Make(CatchUp::kByListing);
  follower.Start();
  store.AnswerList(10, kFast);
  clock.Advance(Duration(700));
  store.AnswerWatch({}, kFast);
  CHECK(store.watches());
  CHECK_FALSE(store.lists());
}

TEST(PrefixFollower, WatchesOnAfterALongListingWithoutNews) {
  PrefixFollower follower = Make(CatchUp::kByListing);
  follower.Start();
  store.AnswerList(10, kFast);
  store.AnswerWatch({11}, kSlow);
  clock.Advance(kSlow);
  store.AnswerList(11, kSlow);
  CHECK(store.watches());
  CHECK_FALSE(store.lists());
}

/// Guards against listings that fail one after another where each connection
/// takes a second to open: TCP repeats a lost opening packet after that time.
TEST(PrefixFollower, ListingMayWaitForARepeatedOpeningPacket) {
  constexpr Duration kRepeatedAfter{1000};
  constexpr Duration kRoundTrips{200};
  PrefixFollower follower = Make(CatchUp::kByListing);
  follower.Start();
  CHECK(store.list_timeout() >= kRepeatedAfter + kRoundTrips);
}

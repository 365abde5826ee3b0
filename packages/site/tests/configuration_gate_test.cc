#include "site/configuration_gate.h"

#include <CppUTest/TestHarness.h>

#include <utility>

using namespace zinniacart;

namespace {

constexpr Duration kMaxAge{1800};

}  // namespace

/// Guards against requests that are decided by a version the operators have
/// replaced: the watch is late, or the process was paused and finds the request
/// before the watch's response.
TEST_GROUP(ConfigurationGate) {
  ManualClock clock;
  std::optional<Instant> confirmed_at = Instant{0};
  std::function<void(bool)> refresh;
  int refreshes = 0;
  int decided = 0;
  bool decided_current = false;
  bool store_away = false;

  ConfigurationGate gate{
      ConfigurationGate::Source{[this] { return confirmed_at; },
                                [this](std::function<void(bool)> done) {
                                  ++refreshes;
                                  refresh = std::move(done);
                                },
                                [this] { return store_away; }},
      kMaxAge, clock};

  void Pass() {
    gate.Pass([this](bool current) {
      ++decided;
      decided_current = current;
    });
  }

  void AnswerRefresh(bool refreshed, Instant sent_at) {
    if (refreshed) {
      confirmed_at = sent_at;
    }
    std::exchange(refresh, nullptr)(refreshed);
  }
};

TEST(ConfigurationGate, RequestIsDecidedAtOnceWhileTheConfigurationIsRecent) {
  clock.Advance(kMaxAge);
  Pass();
  LONGS_EQUAL(1, decided);
  CHECK(decided_current);
  LONGS_EQUAL(0, refreshes);
}

TEST(ConfigurationGate, RequestsWaitForOneReadOfAnOldConfiguration) {
  clock.Advance(kMaxAge + Duration(1));
  Pass();
  Pass();
  LONGS_EQUAL(0, decided);
  LONGS_EQUAL(1, refreshes);
  AnswerRefresh(true, clock.Now());
  LONGS_EQUAL(2, decided);
  CHECK(decided_current);
  Pass();
  LONGS_EQUAL(3, decided);
  LONGS_EQUAL(1, refreshes);
}

TEST(ConfigurationGate, ReadThatTookTooLongIsRepeated) {
  clock.Advance(kMaxAge + Duration(1));
  Pass();
  const Instant sent_at = clock.Now();
  clock.Advance(kMaxAge + Duration(1));
  AnswerRefresh(true, sent_at);
  LONGS_EQUAL(0, decided);
  LONGS_EQUAL(2, refreshes);
  AnswerRefresh(true, clock.Now());
  LONGS_EQUAL(1, decided);
  CHECK(decided_current);
}

TEST(ConfigurationGate, RequestsDoNotWaitForAStoreThatCannotBeRead) {
  clock.Advance(kMaxAge + Duration(1));
  Pass();
  AnswerRefresh(false, {});
  LONGS_EQUAL(0, decided);
  AnswerRefresh(false, {});
  LONGS_EQUAL(1, decided);
  CHECK_FALSE(decided_current);
  Pass();
  LONGS_EQUAL(2, decided);
  CHECK_FALSE(decided_current);
  LONGS_EQUAL(2, refreshes);
  clock.Advance(Duration(200));
  Pass();
  LONGS_EQUAL(3, decided);
  LONGS_EQUAL(3, refreshes);
  Pass();
  LONGS_EQUAL(4, decided);
  CHECK_FALSE(decided_current);
  LONGS_EQUAL(3, refreshes);
}

TEST(ConfigurationGate, RequestsWaitAgainOnceTheStoreWasRead) {
  clock.Advance(kMaxAge + Duration(1));
  Pass();
  AnswerRefresh(false, {});
  AnswerRefresh(false, {});
  clock.Advance(Duration(200));
  Pass();
  AnswerRefresh(true, clock.Now());
  Pass();
  LONGS_EQUAL(3, decided);
  CHECK(decided_current);
  clock.Advance(kMaxAge + Duration(1));
  Pass();
  LONGS_EQUAL(3, decided);
  AnswerRefresh(true, clock.Now());
  LONGS_EQUAL(4, decided);
  CHECK(decided_current);
}

TEST(ConfigurationGate, WatchThatAnswersDuringAFailedReadIsEnough) {
  clock.Advance(kMaxAge + Duration(1));
  Pass();
  confirmed_at = clock.Now();
  AnswerRefresh(false, {});
  LONGS_EQUAL(1, decided);
  CHECK(decided_current);
}

/// Guards against an entry that was cut off once and never waits for the store
/// again, because no request came while its watch answered.
TEST(ConfigurationGate, FailureIsForgottenOnceTheWatchAnswers) {
  clock.Advance(kMaxAge + Duration(1));
  Pass();
  AnswerRefresh(false, {});
  AnswerRefresh(false, {});
  LONGS_EQUAL(1, decided);
  clock.Advance(Duration(1));
  confirmed_at = clock.Now();
  clock.Advance(kMaxAge + Duration(1));
  Pass();
  LONGS_EQUAL(1, decided);
  LONGS_EQUAL(3, refreshes);
  AnswerRefresh(true, clock.Now());
  LONGS_EQUAL(2, decided);
  CHECK(decided_current);
}

TEST(ConfigurationGate, FailureIsForgottenAfterAWhile) {
  clock.Advance(kMaxAge + Duration(1));
  Pass();
  AnswerRefresh(false, {});
  AnswerRefresh(false, {});
  clock.Advance(Duration(2000));
  Pass();
  LONGS_EQUAL(1, decided);
  LONGS_EQUAL(3, refreshes);
}

/// A refused submission must not wait for a read of a store that is away.
TEST(ConfigurationGate, NobodyWaitsForAStoreThatIsAway) {
  clock.Advance(kMaxAge + Duration(1));
  store_away = true;
  Pass();
  LONGS_EQUAL(1, decided);
  CHECK_FALSE(decided_current);
  LONGS_EQUAL(0, refreshes);
}

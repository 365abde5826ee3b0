#include "intake/recent_changes.h"

#include <CppUTest/TestHarness.h>

using namespace zinniacart;

using State = RecentChanges::State;

/// Guards against a 503 for a request whose earlier attempt takes effect.
TEST_GROUP(RecentChanges) {
  ManualClock clock;
  RecentChanges changes{clock};
};

TEST(RecentChanges, AttemptWithoutAnOutcomeIsRemembered) {
  CHECK(changes.StateOf("a") == State::kNotSent);
  changes.OnSent("a");
  changes.OnSent("a");
  changes.OnRefused("a");
  CHECK(changes.StateOf("a") == State::kMayBeSent);
  CHECK(changes.StateOf("b") == State::kNotSent);
}

TEST(RecentChanges, RefusedAttemptsAreForgotten) {
  changes.OnSent("a");
  changes.OnRefused("a");
  CHECK(changes.StateOf("a") == State::kNotSent);
}

TEST(RecentChanges, StoredChangeStaysStored) {
  changes.OnSent("a");
  changes.OnStored("a");
  changes.OnSent("a");
  changes.OnRefused("a");
  CHECK(changes.StateOf("a") == State::kStored);
}

TEST(RecentChanges, ChangesAreForgottenInTheEnd) {
  changes.OnSent("a");
  clock.Advance(Duration(20000));
  changes.OnSent("a");
  clock.Advance(Duration(20000));
  changes.OnSent("b");
  CHECK(changes.StateOf("a") == State::kMayBeSent);
  clock.Advance(Duration(20000));
  changes.OnSent("c");
  CHECK(changes.StateOf("a") == State::kNotSent);
}

TEST(RecentChanges, MemoryIsBounded) {
  changes.OnSent("first");
  for (int sent = 0; sent < 3000; ++sent) {
    changes.OnSent(std::to_string(sent));
  }
  CHECK(changes.StateOf("first") == State::kNotSent);
}

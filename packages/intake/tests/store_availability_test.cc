#include "intake/store_availability.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>

using namespace zinniacart;

namespace {

using Health = StoreAvailability::Health;
using CallKind = StoreAvailability::CallKind;

constexpr Duration kTick{10};
constexpr Duration kWatchWait{700};
/// The store's usual latency; calls give up after 900 ms, as the intake's do.
constexpr Duration kUsual{4};
constexpr Duration kCallTimeout{900};

}  // namespace

/// Replays an entry that follows the store with one watch, and sends further
/// calls where a test asks for them, before a store whose latency is set.
TEST_GROUP(StoreAvailability) {
  ManualClock clock;
  StoreAvailability store{StoreAvailabilitySettings{}, clock};
  /// Time from a call to its answer; nothing while the store is silent.
  std::optional<Duration> latency = kUsual;
  bool refuses = false;
  StoreAvailability::Failure failure = StoreAvailability::Failure::kRefused;
  struct Call {
    Instant answered_at;
    Instant gives_up_at;
  };
  std::map<StoreAvailability::CallId, Call> calls;
  std::optional<StoreAvailability::CallId> watch;
  int probes = 0;
  int times_away = 0;

  static constexpr Instant kNever{1'000'000'000};

  StoreAvailability::CallId Send(CallKind kind = CallKind::kShort) {
    const Duration wait = kind == CallKind::kWatch ? kWatchWait : Duration(0);
    const auto id = store.OnSent(kind, wait);
    const Instant answered_at =
        latency ? clock.Now() + wait + *latency : kNever;
    calls[id] = Call{answered_at, clock.Now() + wait + kCallTimeout};
    return id;
  }

  void Step() {
    clock.Advance(kTick);
    const auto open = calls;
    for (const auto& [id, call] : open) {
      const bool answered = call.answered_at <= clock.Now() && latency;
      if (!refuses && !answered && call.gives_up_at > clock.Now()) {
        continue;
      }
      calls.erase(id);
      if (refuses || !answered) {
        store.OnFailed(id, failure);
      } else {
        store.OnAnswered(id);
      }
    }
    store.OnTick();
    times_away += store.away() ? 1 : 0;
    if (store.TakeProbe()) {
      ++probes;
      Send();
    }
    if (!watch || !calls.contains(*watch)) {
      watch = Send(CallKind::kWatch);
    }
  }

  /// @returns when the store was seen in `health`, since the call.
  std::optional<Duration> TimeUntil(Health health, Duration patience) {
    const Instant began = clock.Now();
    while (clock.Now() - began < patience) {
      if (store.health() == health) {
        return clock.Now() - began;
      }
      Step();
    }
    return std::nullopt;
  }

  void RunFor(
      Duration time, const std::function<void()>& each = [] {}) {
    const Instant end = clock.Now() + time;
    while (clock.Now() < end) {
      each();
      Step();
    }
  }

  /// The store goes silent, and so do the answers that are under way.
  void GoSilent() {
    latency.reset();
    for (auto& [id, call] : calls) {
      call.answered_at = kNever;
    }
  }
};

TEST(StoreAvailability, IdleEntryDoesNotProbeAStoreThatAnswers) {
  RunFor(Duration(20000));
  LONGS_EQUAL(0, probes);
  CHECK(store.health() == Health::kAnswers);
}

TEST(StoreAvailability, BusyEntryNoticesSilenceWithinTheBound) {
  RunFor(Duration(1000), [this] { Send(); });
  GoSilent();
  Send();
  const auto noticed = TimeUntil(Health::kAway, Duration(5000));
  CHECK(noticed && *noticed <= Duration(1050));
}

/// An idle entry has nothing but watches, which wait for up to 700 ms.
TEST(StoreAvailability, IdleEntryNoticesSilence) {
  RunFor(Duration(3000));
  GoSilent();
  const auto noticed = TimeUntil(Health::kAway, Duration(5000));
  CHECK(noticed && *noticed <= kWatchWait + Duration(1050));
}

TEST(StoreAvailability, ReturnIsNoticedByTheNextProbe) {
  GoSilent();
  RunFor(Duration(4000));
  CHECK(store.away());
  CHECK(store.AwayFor() > Duration(3000));
  const int before = probes;
  RunFor(Duration(2000));
  LONGS_EQUAL(10, probes - before);
  latency = kUsual;
  const auto noticed = TimeUntil(Health::kAnswers, Duration(5000));
  CHECK(noticed && *noticed <= Duration(230));
  LONGS_EQUAL(0, store.AwayFor().count());
}

TEST(StoreAvailability, NewTransactionsAreHeldWhileTheStoreIsSilent) {
  RunFor(Duration(1000));
  GoSilent();
  Send();
  RunFor(Duration(150));
  CHECK(store.silent());
  CHECK_FALSE(store.away());
}

/// A store that takes 60 times as long as usual, or as long as repeated
/// transactions wait, must not be taken for away.
TEST(StoreAvailability, SlowStoreIsNotAway) {
  for (const int slow : {240, 350, 600, 880}) {
    latency = kUsual;
    RunFor(Duration(15000));
    latency = Duration(slow);
    RunFor(Duration(20000));
  }
  LONGS_EQUAL(0, times_away);
}

/// Once a store is known to be slow, its slowness holds no transaction back.
TEST(StoreAvailability, KnownSlowStoreIsNotSilent) {
  latency = Duration(240);
  RunFor(Duration(3000));
  RunFor(Duration(5000), [this] { CHECK_FALSE(store.silent()); });
}

/// Under load, a queue at the store grows until calls wait for 900 ms.
TEST(StoreAvailability, GrowingQueueIsNotAway) {
  RunFor(Duration(5000), [this] { Send(); });
  RunFor(Duration(8000), [this] {
    latency = std::min(Duration(890), *latency + Duration(2));
    Send();
  });
  RunFor(Duration(5000), [this] { Send(); });
  LONGS_EQUAL(0, times_away);
}

TEST(StoreAvailability, RefusalsOfAllCallsAreAnOutage) {
  RunFor(Duration(1000));
  refuses = true;
  Send();
  const auto noticed = TimeUntil(Health::kAway, Duration(5000));
  CHECK(noticed && *noticed <= Duration(550));
  refuses = false;
  const auto returned = TimeUntil(Health::kAnswers, Duration(5000));
  CHECK(returned && *returned <= Duration(230));
}

/// What is sent while connections are reset gets no outcome.
TEST(StoreAvailability, LostConnectionHoldsTransactionsUntilAnAnswer) {
  RunFor(Duration(1000));
  failure = StoreAvailability::Failure::kLost;
  store.OnFailed(Send(), failure);
  CHECK(store.silent());
  const Instant lost_at = clock.Now();
  while (store.silent()) {
    Step();
  }
  CHECK(clock.Now() - lost_at <= Duration(30));
  refuses = true;
  Send();
  CHECK(TimeUntil(Health::kAway, Duration(5000)).has_value());
}

/// A store that limits rates turns single calls away and answers others.
TEST(StoreAvailability, SingleRefusalsAreNoOutage) {
  RunFor(Duration(10000), [this] {
    refuses = clock.Now().milliseconds % 50 == 0;
    Send();
  });
  LONGS_EQUAL(0, times_away);
}

/// A refusal is followed by a probe, which a slow store answers late.
TEST(StoreAvailability, RefusalByASlowStoreIsNoOutage) {
  latency = Duration(350);
  for (int round = 0; round < 5; ++round) {
    RunFor(Duration(12000));
    store.OnFailed(store.OnSent(CallKind::kShort), failure);
    RunFor(Duration(1000));
  }
  LONGS_EQUAL(0, times_away);
}

/// One connection may die without the store: the probes are answered.
TEST(StoreAvailability, LostCallAmongAnsweredOnesIsNoOutage) {
  RunFor(Duration(1000));
  store.OnSent(CallKind::kShort);
  RunFor(Duration(5000));
  LONGS_EQUAL(0, times_away);
}

/// A listing may take seconds over a thin link.
TEST(StoreAvailability, PendingListingSaysNothing) {
  RunFor(Duration(1000));
  store.OnSent(CallKind::kListing);
  RunFor(Duration(5000));
  LONGS_EQUAL(0, probes);
}

/// After a pause of this process the answers lie unread in its sockets.
TEST(StoreAvailability, PauseOfTheProcessIsNotTheStores) {
  RunFor(Duration(1000));
  Send();
  clock.Advance(Duration(5000));
  store.OnTick();
  CHECK_FALSE(store.away());
}

TEST(StoreAvailability, SwitchedOffTheStoreIsNeverAway) {
  StoreAvailabilitySettings settings;
  settings.enabled = false;
  StoreAvailability off(settings, clock);
  off.OnSent(CallKind::kShort);
  for (int tick = 0; tick < 100; ++tick) {
    clock.Advance(Duration(50));
    off.OnTick();
  }
  CHECK(off.health() == Health::kAnswers);
  CHECK_FALSE(off.silent());
  CHECK_FALSE(off.TakeProbe());
}

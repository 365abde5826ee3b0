#include "scheduling/succession.h"

#include <CppUTest/TestHarness.h>

using namespace zinniacart;

TEST_GROUP(Succession) {
  ManualClock clock;
  SuccessionSettings settings;
  const std::map<EntryId, EntryRecord> entries{
      {EntryId("large"), EntryRecord{"1.1.1.1:1", 0.5}},
      {EntryId("other-large"), EntryRecord{"1.1.1.2:1", 0.5}},
      {EntryId("small"), EntryRecord{"1.1.1.3:1", 0.07}}};

  Succession Make(const std::string& self, double cores) {
    return Succession(EntryId(self), cores, clock);
  }
};

TEST(Succession, ASmallEntryWaitsForLargerOnesToClaim) {
  Succession small = Make("small", 0.07);
  Succession large = Make("large", 0.5);
  small.OnView(entries, std::nullopt);
  large.OnView(entries, std::nullopt);
  CHECK(large.StandbyDelay() < settings.max_standby_delay);
  CHECK(small.StandbyDelay() >= settings.weaker_entry_delay);
}

TEST(Succession, EqualEntriesWaitAtMostTheStandbyDelay) {
  Succession small = Make("small", 0.07);
  small.OnView({{EntryId("small"), EntryRecord{"1.1.1.3:1", 0.07}},
                {EntryId("twin"), EntryRecord{"1.1.1.4:1", 0.07}}},
               std::nullopt);
  CHECK(small.StandbyDelay() <= settings.max_standby_delay);
}

TEST(Succession, DoesNotWaitForAnEntryWithUnknownCores) {
  Succession small = Make("small", 0.07);
  small.OnView({{EntryId("older"), EntryRecord{"1.1.1.4:1", 0}}}, std::nullopt);
  CHECK(small.StandbyDelay() <= settings.max_standby_delay);
}

TEST(Succession, ALargerEntryRequestsHandOverFromASmallOwner) {
  Succession large = Make("large", 0.5);
  large.OnStoreHealth(true);
  large.OnView(entries, EntryId("small"));
  CHECK_FALSE(large.ShouldRequestHandOver());
  clock.Advance(settings.hand_over_request_delay);
  CHECK(large.ShouldRequestHandOver());
  // The next request waits for the delay again.
  CHECK_FALSE(large.ShouldRequestHandOver());
  clock.Advance(settings.hand_over_request_delay);
  CHECK(large.ShouldRequestHandOver());
}

TEST(Succession, RequestsNoHandOverWhileTheStoreIsUnreachable) {
  Succession large = Make("large", 0.5);
  large.OnStoreHealth(true);
  large.OnView(entries, EntryId("small"));
  CHECK_FALSE(large.ShouldRequestHandOver());
  large.OnStoreHealth(false);
  clock.Advance(settings.hand_over_request_delay);
  CHECK_FALSE(large.ShouldRequestHandOver());
  // The delay starts again once the store is reachable.
  large.OnStoreHealth(true);
  CHECK_FALSE(large.ShouldRequestHandOver());
  clock.Advance(settings.hand_over_request_delay);
  CHECK(large.ShouldRequestHandOver());
}

TEST(Succession, RequestsNoHandOverFromAnEqualOwner) {
  Succession large = Make("large", 0.5);
  large.OnStoreHealth(true);
  large.OnView(entries, EntryId("other-large"));
  clock.Advance(10 * settings.hand_over_request_delay);
  CHECK_FALSE(large.ShouldRequestHandOver());
  clock.Advance(10 * settings.hand_over_request_delay);
  CHECK_FALSE(large.ShouldRequestHandOver());
}

TEST(Succession, HandsOverOnlyToAClearlyStrongerEntry) {
  Succession small = Make("small", 0.07);
  small.OnView(entries, EntryId("small"));
  CHECK(small.ShouldHandOverTo(EntryId("large")));
  CHECK_FALSE(small.ShouldHandOverTo(EntryId("small")));
  CHECK_FALSE(small.ShouldHandOverTo(EntryId("stranger")));
}

#include "intake/relay_peers.h"

#include <CppUTest/TestHarness.h>

#include <set>

#include "intake/retry_after.h"

using namespace zinniacart;

TEST_GROUP(RelayPeers) {
  ManualClock clock;
  RelayPeers peers{clock};
  const std::vector<std::string> all{"a", "b", "c", "d", "e", "f"};
};

/// In an outage of the whole site each request would ask every entry in turn.
TEST(RelayPeers, EntriesThatRefusedAreNotAskedAgainAtOnce) {
  std::set<std::string> asked;
  for (int request = 0; request < 2; ++request) {
    for (const std::string& peer : peers.Choose(all)) {
      CHECK(asked.insert(peer).second);
      peers.OnFailed(peer);
    }
  }
  LONGS_EQUAL(6, asked.size());
  CHECK(peers.Choose(all).empty());
  clock.Advance(Duration(1000));
  LONGS_EQUAL(RelayPeers::kMostAsked, peers.Choose(all).size());
}

TEST(RelayPeers, EntryThatStoredIsAskedFirst) {
  peers.OnStored("e");
  for (int request = 0; request < 3; ++request) {
    STRCMP_EQUAL("e", peers.Choose(all).front().c_str());
  }
}

TEST(RelayPeers, NoEntriesAreNoError) {
  CHECK(peers.Choose({}).empty());
}

TEST_GROUP(RetryAfter){
    static std::set<long> Drawn(int away_ms){std::set<long> drawn;
for (const double number : {0.0, 0.3, 0.5, 0.7, 0.999}) {
  drawn.insert(
      RetryAfterOutage(Duration(away_ms), [number] { return number; }).count());
}
return drawn;
}
}
;

TEST(RetryAfter, GrowsWithTheOutageFromOneToFiveSeconds) {
  CHECK(Drawn(0) == (std::set<long>{1, 2}));
  CHECK(Drawn(4500) == (std::set<long>{2, 3, 4}));
  CHECK(Drawn(60000) == (std::set<long>{4, 5}));
}

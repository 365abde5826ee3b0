#include "membership/host_table.h"

#include <CppUTest/TestHarness.h>

using namespace zinniacart;

namespace {

HostAnnouncement MakeHost(const std::string& name,
                          std::uint64_t incarnation,
                          std::int64_t agent_time,
                          const std::string& address = "127.0.0.1:1") {
  HostAnnouncement host;
  host.host = HostId(name);
  host.domain = DomainId("marka");
  host.address = address;
  host.stamp = Stamp{Incarnation(incarnation), Instant{agent_time}};
  return host;
}

}  // namespace

TEST_GROUP(HostTable) {
  HostTable table{Incarnation(1)};
  Instant now{0};
};

TEST(HostTable, DropsHostWithoutAnnouncements) {
  table.ReceiveFromAgent(MakeHost("a", 1, 5), now);
  now = now + HostTable::kExpiry;
  CHECK(table.DropExpired(now).empty());
  now = now + Duration(1);
  CHECK_EQUAL(1u, table.DropExpired(now).size());
  CHECK(table.Find(HostId("a")) == nullptr);
}

TEST(HostTable, PassesOnOnlyChangesReceivedFromAgents) {
  table.ReceiveFromAgent(MakeHost("a", 1, 5), now);
  table.ReceiveFromPeer(MakeHost("b", 1, 5), now);
  const auto all = table.ChangesSince(Incarnation(0), 0);
  CHECK(all.full);
  CHECK_EQUAL(1u, all.hosts.size());
  const auto none = table.ChangesSince(all.instance, all.version);
  CHECK(!none.full);
  CHECK(none.hosts.empty());
  HostAnnouncement changed = MakeHost("a", 1, 6);
  changed.draining = true;
  table.ReceiveFromAgent(changed, now);
  CHECK_EQUAL(1u, table.ChangesSince(all.instance, all.version).hosts.size());
}

TEST(HostTable, RefreshesUnchangedHostBeforeItExpiresAtPeers) {
  table.ReceiveFromAgent(MakeHost("a", 1, 5), now);
  const auto first = table.ChangesSince(Incarnation(0), 0);
  now = now + HostTable::kRefreshInterval;
  table.ReceiveFromAgent(MakeHost("a", 1, 6), now);
  CHECK_EQUAL(1u,
              table.ChangesSince(first.instance, first.version).hosts.size());
  CHECK(HostTable::kRefreshInterval * 2 < HostTable::kExpiry);
}

TEST(HostTable, IgnoresAnnouncementsOutOfOrder) {
  CHECK(table.ReceiveFromAgent(MakeHost("a", 2, 5), now));
  CHECK(!table.ReceiveFromAgent(MakeHost("a", 2, 4), now));
  CHECK(!table.ReceiveFromAgent(MakeHost("a", 1, 9), now));
}

TEST(HostTable, RefusesSecondAgentForLiveHost) {
  CHECK(table.ReceiveFromAgent(MakeHost("a", 1, 5, "127.0.0.1:1"), now));
  CHECK(!table.ReceiveFromAgent(MakeHost("a", 2, 5, "127.0.0.1:2"), now));
  now = now + HostTable::kRefreshInterval + Duration(1);
  CHECK(table.ReceiveFromAgent(MakeHost("a", 2, 6, "127.0.0.1:2"), now));
}

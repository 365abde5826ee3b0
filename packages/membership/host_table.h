#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "membership/host_announcement.h"

namespace zinniacart {

/// The hosts that one entry knows, each until its announcement expires.
///
/// Agents announce to one entry; entries pass on what they heard themselves
/// as deltas: `ChangesSince` gives rows by a version that grows with each
/// change, as in an incremental zone refresh, and a whole transfer where the
/// asker's position is unknown. Rows heard from peers are not passed on, so
/// nothing circulates.
class HostTable final {
 public:
  /// A row lives this long after it was last heard.
  static constexpr Duration kExpiry{10'000};
  /// An unchanged row is passed on again after this long.
  static constexpr Duration kRefreshInterval{3'000};

  /// What a peer has to learn.
  struct Delta {
    Incarnation instance;
    std::uint64_t version = 0;
    bool full = false;
    std::vector<HostAnnouncement> hosts;
  };

  /// @param instance distinguishes this table's versions from those of the
  ///                 process's earlier runs.
  explicit HostTable(Incarnation instance) : m_instance(instance) {}

  /// Takes an announcement from the agent itself.
  /// @returns false where it is older than what is known, or another live
  /// agent at another address claims the same host.
  bool ReceiveFromAgent(const HostAnnouncement& announcement, Instant now);

  /// Takes a row that a peer heard.
  void ReceiveFromPeer(const HostAnnouncement& announcement, Instant now);

  /// Drops the rows that have expired. @returns the hosts dropped.
  std::vector<HostId> DropExpired(Instant now);

  /// @returns what changed after `since` of `instance`; whole where the
  /// position is not one of this table.
  Delta ChangesSince(Incarnation instance, std::uint64_t since) const;

  /// @returns the host's announcement or null.
  const HostAnnouncement* Find(const HostId& host) const;

  /// A backend server and the host it runs on; valid until the next change.
  struct BackendRow {
    const HostAnnouncement* host = nullptr;
    const BackendAnnouncement* backend = nullptr;
  };
  /// @returns the backend servers that announce `service`.
  std::vector<BackendRow> BackendsOf(const ServiceId& service) const;

  /// @returns every known host.
  std::vector<const HostAnnouncement*> Hosts() const;

  std::size_t size() const { return m_rows.size(); }

 private:
  struct Row {
    HostAnnouncement announcement;
    Instant heard_at;
    Instant versioned_at;
    std::uint64_t version = 0;
    bool heard_directly = false;
  };
  bool IsNewer(const HostAnnouncement& announcement, Instant now) const;
  void Replace(const HostAnnouncement& announcement, Instant now, Row& row);

  const Incarnation m_instance;
  std::uint64_t m_version = 0;
  std::map<HostId, Row> m_rows;
  std::map<ServiceId, std::set<HostId>> m_hosts_by_service;
};

}  // namespace zinniacart

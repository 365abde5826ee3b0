#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "membership/host_announcement.h"

namespace zinniacart {

/// The hosts that one entry knows, each until its announcement expires. Not
/// thread-safe.
///
/// An agent announces its host to one entry, and entries replicate to their
/// peers the rows that they received from agents. Each change of such a row
/// gets the next version. `ChangesSince` returns the rows after a peer's
/// version, or all of them where the peer's version is not one of this table.
/// Rows received from peers are not passed on, so that no row circulates.
class HostTable final {
 public:
  /// A row expires this long after it was last received.
  static constexpr Duration kExpiry{10'000};
  /// An unchanged row is passed on again after this interval, so that it does
  /// not expire at peers; a host that is silent for longer may be claimed by an
  /// agent at another address.
  static constexpr Duration kRefreshInterval{3'000};

  /// The rows that a peer has to apply.
  struct Delta {
    Incarnation instance;       ///< Of this table.
    std::uint64_t version = 0;  ///< Up to which the peer is now informed.
    bool full = false;          ///< All rows instead of the changes.
    std::vector<HostAnnouncement> hosts;
  };

  /// @param instance distinguishes this table's versions from those of the
  ///                 process's earlier runs.
  explicit HostTable(Incarnation instance) : m_instance(instance) {}

  /// Applies an announcement that the agent itself sent.
  /// @returns false where it is older than the known one, or where another
  /// agent at another address has announced the same host recently; it is
  /// ignored then.
  bool ReceiveFromAgent(const HostAnnouncement& announcement, Instant now);

  /// Applies a row that a peer received from the agent; ignored if it is older
  /// than the known one.
  void ReceiveFromPeer(const HostAnnouncement& announcement, Instant now);

  /// Drops the rows that have expired.
  /// @returns the hosts dropped.
  std::vector<HostId> DropExpired(Instant now);

  /// @param instance of the table that `since` belongs to.
  /// @param since    version that the peer already has.
  /// @returns the rows that changed after `since`; all rows where `instance`
  /// and `since` are not a version of this table.
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
    Instant received_at;
    Instant versioned_at;  ///< When it got its newest version.
    std::uint64_t version = 0;
    bool from_agent = false;
  };
  bool IsNewer(const HostAnnouncement& announcement, Instant now) const;
  void Replace(const HostAnnouncement& announcement, Instant now, Row& row);

  const Incarnation m_instance;
  std::uint64_t m_version = 0;
  std::map<HostId, Row> m_rows;
  std::map<ServiceId, std::set<HostId>> m_hosts_by_service;
};

}  // namespace zinniacart

#include "membership/host_table.h"

namespace zinniacart {
namespace {

bool SameContent(const HostAnnouncement& a, const HostAnnouncement& b) {
  return a.address == b.address && a.domain == b.domain &&
         a.capacity == b.capacity && a.committed == b.committed &&
         a.backends == b.backends && a.draining == b.draining &&
         a.config_serial == b.config_serial;
}

}  // namespace

bool HostTable::ReceiveFromAgent(const HostAnnouncement& announcement,
                                 Instant now) {
  if (!IsNewer(announcement, now)) {
    return false;
  }
  Row& row = m_rows[announcement.host];
  const bool first = row.version == 0;
  const bool changed = !SameContent(row.announcement, announcement);
  const bool due = now - row.versioned_at >= kRefreshInterval;
  Replace(announcement, now, row);
  row.from_agent = true;
  if (first || changed || due) {
    row.version = ++m_version;
    row.versioned_at = now;
  }
  return true;
}

void HostTable::ReceiveFromPeer(const HostAnnouncement& announcement,
                                Instant now) {
  if (!IsNewer(announcement, now)) {
    return;
  }
  Row& row = m_rows[announcement.host];
  Replace(announcement, now, row);
  row.from_agent = false;
}

std::vector<HostId> HostTable::DropExpired(Instant now) {
  std::vector<HostId> dropped;
  for (const auto& [host, row] : m_rows) {
    if (now - row.received_at > kExpiry) {
      dropped.push_back(host);
    }
  }
  for (const HostId& host : dropped) {
    for (auto& [service, hosts] : m_hosts_by_service) {
      hosts.erase(host);
    }
    m_rows.erase(host);
  }
  return dropped;
}

HostTable::Delta HostTable::ChangesSince(Incarnation instance,
                                         std::uint64_t since) const {
  const bool known = instance == m_instance && since <= m_version;
  Delta delta{m_instance, m_version, !known, {}};
  const std::uint64_t after = known ? since : 0;
  for (const auto& [host, row] : m_rows) {
    if (row.from_agent && row.version > after) {
      delta.hosts.push_back(row.announcement);
    }
  }
  return delta;
}

const HostAnnouncement* HostTable::Find(const HostId& host) const {
  const auto found = m_rows.find(host);
  return found == m_rows.end() ? nullptr : &found->second.announcement;
}

std::vector<HostTable::BackendRow> HostTable::BackendsOf(
    const ServiceId& service) const {
  std::vector<BackendRow> rows;
  const auto found = m_hosts_by_service.find(service);
  if (found == m_hosts_by_service.end()) {
    return rows;
  }
  for (const HostId& host : found->second) {
    const HostAnnouncement& announcement = m_rows.at(host).announcement;
    for (const BackendAnnouncement& backend : announcement.backends) {
      if (backend.service == service) {
        rows.push_back(BackendRow{&announcement, &backend});
      }
    }
  }
  return rows;
}

std::vector<const HostAnnouncement*> HostTable::Hosts() const {
  std::vector<const HostAnnouncement*> hosts;
  hosts.reserve(m_rows.size());
  for (const auto& [host, row] : m_rows) {
    hosts.push_back(&row.announcement);
  }
  return hosts;
}

bool HostTable::IsNewer(const HostAnnouncement& announcement,
                        Instant now) const {
  const auto found = m_rows.find(announcement.host);
  if (found == m_rows.end()) {
    return true;
  }
  const HostAnnouncement& known = found->second.announcement;
  if (announcement.stamp.incarnation == known.stamp.incarnation) {
    return announcement.stamp.agent_time >= known.stamp.agent_time;
  }
  // Incarnations grow with each restart of an agent at the same address. An
  // agent at another address may claim the host only after it became silent.
  const bool same_address = announcement.address == known.address;
  const bool silent = now - found->second.received_at > kRefreshInterval;
  return same_address || silent
             ? announcement.stamp.incarnation > known.stamp.incarnation
             : false;
}

void HostTable::Replace(const HostAnnouncement& announcement,
                        Instant now,
                        Row& row) {
  for (const BackendAnnouncement& backend : row.announcement.backends) {
    m_hosts_by_service[backend.service].erase(announcement.host);
  }
  row.announcement = announcement;
  row.received_at = now;
  for (const BackendAnnouncement& backend : announcement.backends) {
    m_hosts_by_service[backend.service].insert(announcement.host);
  }
}

}  // namespace zinniacart

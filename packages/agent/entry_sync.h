#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "configuration/configuration.h"
#include "rpc/channel_pool.h"
#include "zinniacart.pb.h"

namespace zinniacart {

/// The agent's connection to the entries: announces the host to one of them,
/// carries placement messages to all that need them, and brings back the
/// configuration's changes. Used from one thread.
class EntrySync final {
 public:
  /// @param seeds some entries' "ip:port"; they name the others.
  EntrySync(HostId host, std::vector<std::string> seeds);

  /// What one round brought.
  struct Round {
    bool reached_any = false;
    bool host_conflict = false;
    bool configuration_changed = false;
    /// Placement messages by entry.
    std::vector<std::pair<EntryId, wire::SyncReply>> replies;
  };

  /// Sends messages to their entries and the announcement to the entry that
  /// passes it on.
  /// @param announce whether the announcement is due.
  Round Run(std::map<EntryId, std::vector<wire::AgentMessage>> messages,
            const wire::HostAnnouncement& announcement,
            bool announce);

  /// @returns the entries known now.
  std::vector<EntryId> Entries() const;
  const Configuration& configuration() const { return m_configuration; }

 private:
  struct Target {
    EntryId entry;
    std::string address;
  };
  std::vector<Target> AnnouncementOrder() const;
  bool Call(const Target& target,
            const wire::SyncRequest& request,
            Round& round);
  void TakeEntries(const wire::SyncReply& reply);
  bool TakeConfiguration(const wire::SyncReply& reply);

  const HostId m_host;
  const std::vector<std::string> m_seeds;
  ChannelPool m_channels;
  std::map<EntryId, std::string> m_entries;
  Configuration m_configuration;
};

}  // namespace zinniacart

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

/// Exchanges messages with the entries by `Sync` calls: announces the host to
/// one of them, delivers the placement messages of the agent, and receives the
/// messages of owners and changes of the configuration. Not thread-safe.
class EntrySync final {
 public:
  /// @param seeds addresses ("ip:port") of some entries; their replies list the
  ///              others.
  EntrySync(HostId host, std::vector<std::string> seeds);

  /// The results of one round of calls.
  struct Round {
    bool reached_any = false;  ///< Whether any call succeeded.
    /// An entry has refused the announcement because another agent claims this
    /// host.
    bool host_conflict = false;
    bool configuration_changed = false;
    /// The replies, each with the entry called; the id is empty where a seed
    /// address was used.
    std::vector<std::pair<EntryId, wire::SyncReply>> replies;
  };

  /// Sends the messages to their entries, and the announcement to the first
  /// entry that can be reached, which passes it on to the others. Blocks.
  /// Messages for an entry that is unknown or cannot be reached are dropped;
  /// heartbeats repeat the state of the tasks.
  /// @param announcement_due whether to send the announcement.
  Round RunRound(std::map<EntryId, std::vector<wire::AgentMessage>> messages,
                 const wire::HostAnnouncement& announcement,
                 bool announcement_due);

  /// @returns the entries in the latest reply that listed any.
  std::vector<EntryId> Entries() const;
  const Configuration& configuration() const { return m_configuration; }

 private:
  struct Target {
    EntryId entry;
    std::string address;
  };
  /// @returns the known entries in a fixed order that differs between hosts,
  /// then the seeds.
  std::vector<Target> AnnouncementTargets() const;
  /// Calls one entry and adds its reply to `round`.
  /// @returns whether the call succeeded.
  bool Call(const Target& target,
            const wire::SyncRequest& request,
            Round& round);
  void ApplyEntries(const wire::SyncReply& reply);
  /// @returns whether the configuration changed.
  bool ApplyConfiguration(const wire::SyncReply& reply);

  const HostId m_host;
  const std::vector<std::string> m_seeds;
  ChannelPool m_channels;
  std::map<EntryId, std::string> m_entries;
  Configuration m_configuration;
};

}  // namespace zinniacart

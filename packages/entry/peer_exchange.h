#pragma once

#include <map>

#include "base/clock.h"
#include "entry/entry_state.h"
#include "rpc/channel_pool.h"

namespace zinniacart {

/// Replicates host announcements between entries. An agent announces its host
/// to one entry only; each entry fetches from every other one the announcements
/// that changed since the previous round, along with the serial of the
/// configuration in force there. Not thread-safe: call from one thread.
class PeerExchange final {
 public:
  PeerExchange(EntryState& state,
               const Clock& clock,
               ChannelPool& entries,
               EntryId self);

  /// Fetches from each live peer in turn. Skips a peer that does not reply
  /// within 300 ms until the next round.
  void Run();

 private:
  /// The version of a peer's host table up to which this entry is informed.
  /// Versions of different instances of the table are not comparable.
  struct Position {
    std::uint64_t instance = 0;
    std::uint64_t version = 0;
  };
  void Fetch(const EntryInfo& peer);

  EntryState& m_state;
  const Clock& m_clock;
  ChannelPool& m_entries;
  const EntryId m_self;
  std::map<EntryId, Position> m_positions;
};

}  // namespace zinniacart

#pragma once

#include <map>

#include "base/clock.h"
#include "entry/entry_state.h"
#include "rpc/channel_pool.h"

namespace zinniacart {

/// Fetches from each other entry what its agents announced since the last
/// round. Used from one thread.
class PeerExchange final {
 public:
  PeerExchange(EntryState& state,
               const Clock& clock,
               ChannelPool& entries,
               EntryId self);

  /// One round over all live peers.
  void Run();

 private:
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

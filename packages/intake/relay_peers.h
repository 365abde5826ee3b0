#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace zinniacart {

/// Chooses the entries that are asked to store what this entry's store does not
/// take. An entry whose own store is away, or that does not answer, is left
/// alone for a while; one that has stored something is asked first.
class RelayPeers final {
 public:
  /// The number of entries asked for one request. Entries that refuse are
  /// remembered, so that the next requests reach the others.
  static constexpr std::size_t kMostAsked = 3;

  explicit RelayPeers(const Clock& clock) : m_clock(clock) {}

  /// @param peers the addresses of all other entries.
  /// @returns at most `kMostAsked` of them, the most promising first.
  std::vector<std::string> Choose(const std::vector<std::string>& peers);

  void OnStored(const std::string& peer);
  /// The peer has refused, was not reached, or did not know the outcome.
  void OnFailed(const std::string& peer);

 private:
  struct Report {
    bool stored = false;
    Instant at;
  };

  const Clock& m_clock;
  std::map<std::string, Report> m_reports;  ///< The last report of each peer.
  std::size_t m_first = 0;  ///< Moves on, so that all peers are asked in turn.
};

}  // namespace zinniacart

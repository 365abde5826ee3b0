#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "base/clock.h"

namespace zinniacart {

/// The changes that this entry has lately sent to the store or to other
/// entries. A caller that got no answer repeats its request; while an earlier
/// attempt may still take effect or is known to have done so, the repetition
/// must not be told that nothing was stored.
class RecentChanges final {
 public:
  enum class State {
    kNotSent,    ///< Nothing was sent that may still take effect.
    kMayBeSent,  ///< Something was sent whose outcome is not known.
    kStored,
  };

  explicit RecentChanges(const Clock& clock) : m_clock(clock) {}

  /// The change was sent. Each call is followed by one of the others once the
  /// outcome is known, by none otherwise.
  /// @param change identifies the change, such as its path.
  void OnSent(const std::string& change);
  void OnStored(const std::string& change);
  /// The attempt had and will have no effect.
  void OnRefused(const std::string& change);

  State StateOf(const std::string& change) const;

 private:
  struct Entry {
    int open_attempts = 0;
    bool stored = false;
    Instant sent_at;
  };

  void Expire();

  const Clock& m_clock;
  std::map<std::string, Entry> m_changes;
  std::deque<std::pair<Instant, std::string>> m_order;  ///< Oldest first.
};

}  // namespace zinniacart

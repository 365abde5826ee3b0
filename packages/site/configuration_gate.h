#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace zinniacart {

/// Holds requests back while the configuration that would decide them may be
/// outdated.
///
/// A watch tells of a new version only when its response arrives and the event
/// loop has time for it. Both may take seconds: the connection stalls, or the
/// process waits for its processor, and then the requests that waited with the
/// response may be handled before it. So each request is decided by a
/// configuration that contains all that the store had acknowledged `max_age`
/// ago; where it may not, the store is read first. Costs a few milliseconds for
/// the requests that wait.
///
/// Once the store could not be read, requests do not wait until it can be read
/// again. They go on with the configuration as it is, and are told so: an entry
/// that has lost the store still serves what its peers can store.
class ConfigurationGate final {
 public:
  /// Reads the configuration; calls `done` once with whether it could be read.
  using Refresh = std::function<void(std::function<void(bool refreshed)> done)>;
  /// Decides one request.
  /// @param current whether the configuration is recent enough.
  using Decision = std::function<void(bool current)>;

  struct Source {
    /// @returns an instant up to which the configuration contains every version
    /// that the store had acknowledged, nothing if it was never read.
    std::function<std::optional<Instant>()> confirmed_at;
    Refresh refresh;
    /// @returns whether the store is known to be away. May be empty.
    std::function<bool()> store_away = nullptr;
  };

  /// @param max_age in milliseconds.
  ConfigurationGate(Source source, Duration max_age, const Clock& clock);

  /// Calls `decide` once: at once while the configuration is recent enough or
  /// the store cannot be read, else after it was read.
  void Pass(Decision decide);

  /// @returns for how long the store may have acknowledged versions that the
  /// configuration does not contain, nothing if it was never read.
  std::optional<Duration> Age() const;

 private:
  bool IsCurrent() const;
  /// @returns whether the store could not be read lately, and was not since.
  bool IsUnreadable() const;
  bool IsStoreAway() const;
  void StartRefresh();
  void OnRefreshed(bool refreshed);
  void DecideWaiting();

  const Source m_source;
  const Duration m_max_age;
  const Clock& m_clock;
  std::vector<Decision> m_waiting;
  bool m_refreshing = false;
  int m_attempts = 0;  ///< Of the present refresh.
  /// When the last refresh failed; nothing after one that succeeded.
  std::optional<Instant> m_failed_at;
};

}  // namespace zinniacart

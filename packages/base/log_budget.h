#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace zinniacart {

/// Limits the number of log lines of each kind in a second. The second starts
/// with the first line of a kind; the next line after its end starts a new one.
class LogBudget final {
 public:
  /// @param lines_per_second limit for each kind of line.
  explicit LogBudget(std::uint32_t lines_per_second)
      : m_lines_per_second(lines_per_second) {}

  /// Counts one line of `kind` against its limit.
  /// @returns whether the line may be logged at `now`.
  bool Take(const std::string& kind, Instant now);

  /// @returns the number of lines refused since the last call; resets it to 0.
  std::uint64_t TakeSuppressed();

 private:
  struct Window {
    Instant start;
    std::uint32_t lines = 0;
  };

  const std::uint32_t m_lines_per_second;
  std::map<std::string, Window> m_windows;
  std::uint64_t m_suppressed = 0;
};

}  // namespace zinniacart

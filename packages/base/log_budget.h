#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace zinniacart {

/// Bounds how many lines of one kind are logged in a second.
class LogBudget final {
 public:
  explicit LogBudget(std::uint32_t lines_per_second)
      : m_lines_per_second(lines_per_second) {}

  /// @returns whether a line of `kind` may be logged now.
  bool Take(const std::string& kind, Instant now);

  /// @returns how many lines were held back since the last call.
  std::uint64_t TakeSuppressed();

 private:
  struct Spent {
    Instant since;
    std::uint32_t lines = 0;
  };

  const std::uint32_t m_lines_per_second;
  std::map<std::string, Spent> m_spent;
  std::uint64_t m_suppressed = 0;
};

}  // namespace zinniacart

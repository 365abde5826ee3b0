#include "base/log_budget.h"

#include <utility>

namespace zinniacart {
namespace {

constexpr Duration kWindowLength{1000};

}  // namespace

bool LogBudget::Take(const std::string& kind, Instant now) {
  Window& window = m_windows[kind];
  if (now - window.start >= kWindowLength) {
    window = Window{now, 0};
  }
  if (window.lines >= m_lines_per_second) {
    ++m_suppressed;
    return false;
  }
  ++window.lines;
  return true;
}

std::uint64_t LogBudget::TakeSuppressed() {
  return std::exchange(m_suppressed, 0);
}

}  // namespace zinniacart

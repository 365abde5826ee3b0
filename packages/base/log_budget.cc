#include "base/log_budget.h"

#include <utility>

namespace zinniacart {
namespace {

constexpr Duration kSecond{1000};

}  // namespace

bool LogBudget::Take(const std::string& kind, Instant now) {
  Spent& spent = m_spent[kind];
  if (now - spent.since >= kSecond) {
    spent = Spent{now, 0};
  }
  if (spent.lines >= m_lines_per_second) {
    ++m_suppressed;
    return false;
  }
  ++spent.lines;
  return true;
}

std::uint64_t LogBudget::TakeSuppressed() {
  return std::exchange(m_suppressed, 0);
}

}  // namespace zinniacart

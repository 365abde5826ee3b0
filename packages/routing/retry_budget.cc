#include "routing/retry_budget.h"

#include <algorithm>

namespace zinniacart {

void RetryBudget::Earn() {
  m_saved = std::min(kMostSaved, m_saved + kRetriesPerRequest);
}

bool RetryBudget::Spend() {
  if (m_saved < 1.0) {
    return false;
  }
  m_saved -= 1.0;
  return true;
}

}  // namespace zinniacart

#include "routing/retry_budget.h"

#include <algorithm>

namespace zinniacart {

void RetryBudget::Earn() {
  m_balance = std::min(kMaxBalance, m_balance + kRetriesPerRequest);
}

bool RetryBudget::Spend() {
  if (m_balance < 1.0) {
    return false;
  }
  m_balance -= 1.0;
  return true;
}

}  // namespace zinniacart

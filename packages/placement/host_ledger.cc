#include "placement/host_ledger.h"

#include "base/invariant.h"

namespace zinniacart {

bool HostLedger::Hold(const TaskId& task, const Resources& demand) {
  if (!HasRoom(task, demand)) {
    return false;
  }
  Adopt(task, demand);
  CheckInvariant(m_committed.FitsIn(m_capacity),
                 "a host is never committed beyond its capacity");
  return true;
}

void HostLedger::Adopt(const TaskId& task, const Resources& demand) {
  Release(task);
  m_held[task] = demand;
  m_committed += demand;
}

void HostLedger::Release(const TaskId& task) {
  const auto found = m_held.find(task);
  if (found == m_held.end()) {
    return;
  }
  m_committed -= found->second;
  m_held.erase(found);
  CheckInvariant(m_committed.IsNonNegative(),
                 "a host gives back only what was held");
}

bool HostLedger::HasRoom(const TaskId& task, const Resources& demand) const {
  if (!demand.IsNonNegative()) {
    return false;
  }
  const auto found = m_held.find(task);
  const Resources own = found == m_held.end() ? Resources{} : found->second;
  return (m_committed - own + demand).FitsIn(m_capacity);
}

}  // namespace zinniacart

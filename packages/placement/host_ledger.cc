#include "placement/host_ledger.h"

#include "base/invariant.h"

namespace zinniacart {

bool HostLedger::Reserve(const TaskId& task, const Resources& demand) {
  if (!HasFreeCapacity(task, demand)) {
    return false;
  }
  ReserveUnchecked(task, demand);
  CheckInvariant(m_committed.FitsIn(m_capacity),
                 "the resources reserved on a host never exceed its capacity");
  return true;
}

void HostLedger::ReserveUnchecked(const TaskId& task, const Resources& demand) {
  Release(task);
  m_reserved[task] = demand;
  m_committed += demand;
}

void HostLedger::Release(const TaskId& task) {
  const auto found = m_reserved.find(task);
  if (found == m_reserved.end()) {
    return;
  }
  m_committed -= found->second;
  m_reserved.erase(found);
  CheckInvariant(m_committed.IsNonNegative(),
                 "the resources reserved on a host are never negative");
}

bool HostLedger::HasFreeCapacity(const TaskId& task,
                                 const Resources& demand) const {
  if (!demand.IsNonNegative()) {
    return false;
  }
  const auto found = m_reserved.find(task);
  const Resources own = found == m_reserved.end() ? Resources{} : found->second;
  return (m_committed - own + demand).FitsIn(m_capacity);
}

}  // namespace zinniacart

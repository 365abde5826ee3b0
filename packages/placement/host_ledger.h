#pragma once

#include <map>

#include "base/ids.h"
#include "base/resources.h"

namespace zinniacart {

/// Tracks the resources that are reserved for each task on one host. The agent
/// starts a task only while its resources are reserved here. `Reserve` never
/// lets the sum of the reservations exceed the capacity.
class HostLedger final {
 public:
  explicit HostLedger(Resources capacity = {}) : m_capacity(capacity) {}

  /// Reserves `demand` for `task`, replacing its previous reservation.
  /// @returns false, and changes nothing, where it does not fit.
  bool Reserve(const TaskId& task, const Resources& demand);

  /// Reserves `demand` for a task that is already running, even where the sum
  /// exceeds the capacity. Callers use it only to rebuild the ledger from the
  /// worker's list.
  void ReserveUnchecked(const TaskId& task, const Resources& demand);

  /// Releases the reservation of `task`; does nothing where it has none.
  void Release(const TaskId& task);

  /// @returns whether `demand` fits into the capacity that is not reserved for
  /// other tasks; false where `demand` is negative in any dimension.
  bool HasFreeCapacity(const TaskId& task, const Resources& demand) const;

  const Resources& capacity() const { return m_capacity; }
  /// @returns the sum of all reservations.
  const Resources& committed() const { return m_committed; }

 private:
  Resources m_capacity;
  Resources m_committed;
  std::map<TaskId, Resources> m_reserved;
};

}  // namespace zinniacart

#pragma once

#include <map>

#include "base/ids.h"
#include "base/resources.h"

namespace zinniacart {

/// What one host has promised to whom. The agent asks it before anything is
/// held or started; the sum never exceeds the capacity.
class HostLedger final {
 public:
  explicit HostLedger(Resources capacity = {}) : m_capacity(capacity) {}

  /// Holds `demand` for `task`, replacing what it held.
  /// @returns false, and changes nothing, where it does not fit.
  bool Hold(const TaskId& task, const Resources& demand);

  /// Notes what already runs, even where it exceeds the capacity: used only
  /// when the ledger is rebuilt from the worker's list.
  void Adopt(const TaskId& task, const Resources& demand);

  /// Gives back what `task` held; nothing where it held nothing.
  void Release(const TaskId& task);

  /// @returns whether `demand` would fit beside what others hold.
  bool HasRoom(const TaskId& task, const Resources& demand) const;

  const Resources& capacity() const { return m_capacity; }
  const Resources& committed() const { return m_committed; }

 private:
  Resources m_capacity;
  Resources m_committed;
  std::map<TaskId, Resources> m_held;
};

}  // namespace zinniacart

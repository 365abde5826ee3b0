#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.h"

namespace zinniacart {

/// Counts the starts of one task, from 1; the members of a gang share one
/// number.
using RunNumber = StrongType<struct RunNumberTag, std::uint64_t>;

/// Identifies one task: its job, the occurrence of a repeated job, the step and
/// the task's index in the step.
struct TaskKey {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskKey&) const = default;

  /// @returns the first task of the same step, which serves as the step's key.
  TaskKey First() const { return TaskKey{job, occurrence, step, 0}; }
  /// @returns "JOB.OCCURRENCE.STEP.INDEX".
  std::string ToString() const;
  /// @returns the task that `text` identifies, nothing if it is malformed.
  static std::optional<TaskKey> Parse(const std::string& text);
};

/// One start of one task.
struct TaskRun {
  TaskKey task;
  RunNumber run;

  auto operator<=>(const TaskRun&) const = default;
};

}  // namespace zinniacart

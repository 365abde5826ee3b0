#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/resources.h"

namespace zinniacart {

/// Some equal tasks of a job that may run side by side.
struct StepSpec {
  std::uint32_t count = 0;
  Resources demand;                  ///< Of each task.
  Duration estimate{0};              ///< A rough guess of one task's run time.
  std::vector<std::uint32_t> after;  ///< Steps that must be done before.
  bool checkpoints = false;          ///< Tasks can resume from a checkpoint.
  bool gang = false;                 ///< The tasks work only all together.
  bool same_rack = false;            ///< A gang is much faster within one rack.
  std::string required_label;       ///< A label the host must have; empty: any.
  std::string preferred_rack;       ///< Where the data is; empty: anywhere.
  std::uint32_t most_per_host = 0;  ///< 0: no limit.
  bool speculative = false;    ///< Copies may run; the first to end counts.
  bool perpetual = false;      ///< Tasks run until the job is cancelled.
  std::string image;           ///< Tasks of one image behave alike.
  Duration latency_target{0};  ///< Of a serving task's users; 0: none.
  bool best_effort = false;    ///< Runs on processors that others leave.
  std::uint32_t disruption_budget = 0;  ///< Tasks we may take away at once.

  /// @returns whether the tasks serve users of their own.
  bool serves() const { return latency_target.count() > 0; }
};

/// When a repeated job runs.
struct Schedule {
  std::uint32_t occurrences = 0;  ///< 0: the job runs once, at once.
  std::int64_t first_at_ms = 0;   ///< Wall clock, since 1970.
  Duration interval{0};
};

/// What a caller submits.
struct JobSpec {
  std::string payload;  ///< Handed to the worker with each task.
  std::vector<StepSpec> steps;
  Schedule schedule;

  /// @returns how many times the steps run.
  std::uint32_t occurrences() const {
    return schedule.occurrences == 0 ? 1 : schedule.occurrences;
  }
  /// @returns whether a step runs until the job is cancelled.
  bool perpetual() const;
};

/// Limits on what one job may declare.
struct JobLimits {
  std::size_t most_payload_bytes = 4000;
  std::size_t most_steps = 64;
  std::uint32_t most_tasks_per_step = 10000;
};

/// @returns `kInvalidArgument` naming the field that is at fault.
Result<void> Validate(const JobSpec& spec, const JobLimits& limits = {});

/// How long a task of a step is expected to run.
using RunTimeEstimator = std::function<Duration(const StepSpec&)>;

/// @returns what callers declare.
Duration DeclaredTime(const StepSpec& step);

/// @returns the expected time of the longest chain of steps from the start of
/// `first_step` to the end of the job, without waiting.
Duration ChainEstimate(const JobSpec& spec,
                       std::uint32_t first_step,
                       const RunTimeEstimator& time = DeclaredTime);

/// @returns the expected time of the job's longest chain of steps.
Duration LongestChainEstimate(const JobSpec& spec,
                              const RunTimeEstimator& time = DeclaredTime);

}  // namespace zinniacart

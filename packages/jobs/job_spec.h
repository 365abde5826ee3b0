#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/resources.h"

namespace zinniacart {

/// A step of a job: a number of identical tasks that may run in parallel.
struct StepSpec {
  std::uint32_t count = 0;
  Resources demand;                  ///< Per task.
  Duration estimate{0};              ///< Declared run time; may be far off.
  std::vector<std::uint32_t> after;  ///< Steps that must finish first.
  bool checkpoints = false;          ///< Tasks can resume from a checkpoint.
  bool gang = false;                 ///< All tasks must run at the same time.
  bool same_rack = false;            ///< A gang is much faster within one rack.
  std::string required_label;        ///< Label the host must have; empty: any.
  std::string preferred_rack;        ///< Where the data is; empty: anywhere.
  std::uint32_t most_per_host = 0;   ///< Maximum tasks per host; 0: no limit.
  /// Tasks may have duplicate runs; the first one to finish counts.
  bool speculative = false;
  bool perpetual = false;  ///< Tasks run until the job is cancelled.
  std::string image;       ///< Tasks of one image are assumed to behave alike.
  /// Tail latency target for the requests of a serving task; 0: not serving.
  Duration latency_target{0};
  /// Tasks use only processor time that other tasks leave idle.
  bool best_effort = false;
  /// Maximum tasks that the scheduler may evict at the same time.
  std::uint32_t disruption_budget = 0;

  /// @returns whether the tasks are latency-critical: they answer requests and
  /// have a latency target.
  bool serves() const { return latency_target.count() > 0; }
};

/// When the occurrences of a repeated job start.
struct Schedule {
  std::uint32_t occurrences = 0;  ///< 0: the job runs once, immediately.
  std::int64_t first_at_ms = 0;   ///< Wall clock, since 1970.
  Duration interval{0};
};

/// What a caller submits.
struct JobSpec {
  std::string payload;  ///< Passed to the worker with each task.
  std::vector<StepSpec> steps;
  Schedule schedule;

  /// @returns how many times the steps run; at least 1.
  std::uint32_t occurrences() const {
    return schedule.occurrences == 0 ? 1 : schedule.occurrences;
  }
  /// @returns whether any step runs until the job is cancelled.
  bool perpetual() const;
};

/// Limits on what one job may declare.
struct JobLimits {
  std::size_t max_payload_bytes = 4000;
  std::size_t max_steps = 64;
  std::uint32_t max_tasks_per_step = 10000;
  /// Of all steps. The owner holds every task that is due in memory, and a
  /// message of 10 KB could declare 640,000.
  std::uint32_t max_tasks = 20000;
  /// Of an image, a label or a rack. The owner lists all jobs from the store,
  /// in responses whose size is bounded.
  std::size_t max_name_bytes = 256;
};

/// Checks the limits, and that steps depend only on earlier steps.
/// @returns nothing if the specification is valid, otherwise `kInvalidArgument`
/// with the name of the invalid field.
Result<void> Validate(const JobSpec& spec, const JobLimits& limits = {});

/// Returns the time that one task of the step is expected to run.
using RunTimeEstimator = std::function<Duration(const StepSpec&)>;

/// @returns the run time that the caller declared for the step.
Duration DeclaredTime(const StepSpec& step);

/// @returns the expected run time of the longest chain of dependent steps that
/// begins with `first_step`, excluding any waiting.
/// @param estimate_time gives the run time of each step.
Duration ChainEstimate(const JobSpec& spec,
                       std::uint32_t first_step,
                       const RunTimeEstimator& estimate_time = DeclaredTime);

/// @returns the expected run time of the job's critical path: its longest chain
/// of dependent steps, excluding any waiting.
/// @param estimate_time gives the run time of each step.
Duration LongestChainEstimate(
    const JobSpec& spec,
    const RunTimeEstimator& estimate_time = DeclaredTime);

}  // namespace zinniacart

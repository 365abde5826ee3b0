#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/clock.h"
#include "jobs/task_key.h"
#include "ordering/run_time_estimate.h"

namespace zinniacart {

/// The progress of a running task, as its worker reports it.
struct TaskProgress {
  Duration elapsed{0};  ///< Since its start.
  int percent = 0;      ///< Share of its work that is done.
  /// It began without a checkpoint: `percent` was done in `elapsed`.
  bool from_beginning = true;
  /// It was at full speed all the time and `from_beginning`: its run time tells
  /// that of its siblings.
  bool representative = true;
};

/// What the tasks of one step have shown of their run times so far.
struct StepObservation {
  /// How many run times it is worth: a running task counts for less than a
  /// finished one.
  double samples = 0;
  std::size_t finished = 0;  ///< Representative tasks that have ended.
  double mean_log_ms = 0;    ///< Of those run times.
  Duration longest{0};       ///< Longest run time of a representative task.
  std::size_t running = 0;   ///< Tasks whose progress is known.
  double running_done = 0;   ///< Sum of their completed shares.
  Instant last_end;          ///< When the last of them is expected to end.
};

/// Estimates the run time of the tasks of each step from those that have ended
/// and the progress of those that run. It answers declared times that are off
/// by several times: neither the image nor earlier steps of a job predict the
/// run times of a step, only its own tasks do.
class StepRunTimes final {
 public:
  /// Records the newest progress of a task. Does nothing without a positive
  /// declared time.
  /// @param estimate of its run time before its own progress is considered.
  void OnRunning(const TaskKey& task,
                 const TaskProgress& progress,
                 Duration declared,
                 Duration estimate,
                 Instant now);
  /// Records a task that ended after `taken` at full speed. Does nothing unless
  /// both durations are positive.
  /// @returns the squared deviation of the logarithm from those of the tasks
  /// that ended before, as an estimate of the variance within the step; empty
  /// for the first one.
  std::optional<double> OnFinished(const TaskKey& task,
                                   Duration taken,
                                   Duration declared);
  /// Drops the progress of a task that no longer runs.
  void Remove(const TaskKey& task);

  /// @returns what is known of the step; nullptr if nothing is.
  /// @param step named by its first task.
  const StepObservation* Find(const TaskKey& step) const;

  /// @returns the samples of the siblings of a task, without its own progress.
  StepObservation SiblingsOf(const TaskKey& task) const;

  /// Drops the steps of an occurrence that is complete.
  void Forget(const JobId& job, std::uint32_t occurrence);
  /// Drops the steps of a job that has ended.
  void Forget(const JobId& job);
  void Clear() { m_steps.clear(); }
  std::size_t size() const { return m_steps.size(); }

 private:
  struct Running {
    double weight = 0;  ///< In samples.
    double log_ms = 0;
    double done = 0;
    Instant end;
  };
  struct Step {
    std::size_t finished = 0;
    double finished_log_sum = 0;
    Duration longest_finished{0};
    std::map<std::uint32_t, Running> running;  ///< By index of the task.
    StepObservation observation;

    /// Derives `observation` from the other members.
    void Summarize();
  };

  std::map<TaskKey, Step> m_steps;
};

/// @returns the estimate for a task of a step of which tasks were observed: the
/// logarithms of the prior and of the siblings, weighted by inverse variance.
/// @param prior    from the queue, for a task of any step.
/// @param within   the part of its variance that tasks of a step do not have in
///                 common.
/// @param observed nullptr if nothing is known.
RunTimeEstimate CombineWithSiblings(const RunTimeEstimate& prior,
                                    double within,
                                    const StepObservation* observed);

}  // namespace zinniacart

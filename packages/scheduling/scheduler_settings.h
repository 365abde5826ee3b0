#pragma once

#include "base/clock.h"
#include "ordering/job_order.h"
#include "ordering/stragglers.h"

namespace zinniacart {

/// Durations of the lease protocol between owner, agents and workers. Owner and
/// agents must use the same values.
///
/// Each report of an agent carries a stamp, a reading of the agent's clock. The
/// owner grants a stamp by returning it with its orders; the agent may then
/// extend the worker's lease to that stamp plus `lease`.
struct LeaseTimes {
  /// How far a worker's lease extends beyond the granted stamp. It must not
  /// exceed the longest lease that the platform allows. It is long enough for
  /// tasks to survive a restart of all daemons, and short enough that the tasks
  /// of a disconnected host are placed again while their job can still meet its
  /// objective.
  Duration lease{4000};
  /// The owner grants stamps only while its ownership was confirmed at most
  /// this long ago. During an outage of the store, tasks therefore keep running
  /// for this time plus `lease`.
  Duration max_confirmation_age{4000};
  /// A worker refuses a start that it would execute later than this after the
  /// agent issued it.
  Duration start_validity{1000};
  /// The factor by which another machine's clock may run slower than the local
  /// one.
  double max_clock_slowdown = 1.02;
  /// Covers rounding and the time that a worker takes to act on the expiry of
  /// its lease.
  Duration expiry_margin{300};

  /// @returns how long, on the owner's clock, a host may still run tasks after
  /// the report with the last granted stamp was received.
  Duration MaxLeaseDuration() const {
    return Duration(static_cast<std::int64_t>(
               static_cast<double>(lease.count()) * max_clock_slowdown)) +
           expiry_margin;
  }
};

/// Settings of the owner's scheduling decisions.
struct SchedulerSettings {
  LeaseTimes times;
  /// An order is sent again if no report shows its effect within this time.
  Duration redelivery_delay{2000};
  /// Once a job has waited this long without a running task, its best-effort
  /// tasks may be placed where they must be slowed down, while less than
  /// `max_reserved_to_start_slowed` of the service's capacity is reserved:
  /// callers must not wait beside free hosts. On a busy site such a start only
  /// makes the job late, as its slowest task decides.
  Duration max_wait_for_full_speed{1500};
  double max_reserved_to_start_slowed = 0.6;
  /// Time from the middle of a latency measurement until the pace derived from
  /// it takes effect: a quarter of a second of measuring, the report, and the
  /// worker's delay.
  Duration pace_effect_delay{600};
  /// A best-effort task whose pace has been 0 for this long is moved to another
  /// host if one is available.
  Duration move_halted_after{700};
  /// A task stays on its host at least this long, because a move loses unsaved
  /// work and costs a start.
  Duration min_stay{1000};
  /// Interval at which checkpoints of running tasks are stored. It bounds the
  /// work lost when owner and worker fail at the same time.
  Duration checkpoint_interval{1500};
  /// Serving tasks are consolidated one move at a time, at this interval, so
  /// that each decision sees the effect of the previous move.
  Duration consolidation_interval{150};
  /// A perpetual task that has run before and has waited this long to run again
  /// is placed before all other tasks of its priority, also in the capacity
  /// that is kept free for short tasks. Callers are promised that such a task
  /// runs again within 9 s while there is room for it; the rest of that time is
  /// for starts that are refused.
  Duration max_perpetual_wait{3000};
  Duration load_log_interval{2000};
  /// A host without a report for this long gets no new tasks, and those of its
  /// tasks that allow duplicate runs are started elsewhere. Longer than two
  /// rounds of reports.
  Duration report_timeout{1300};
  /// Ended jobs are removed from memory after this time.
  Duration ended_job_retention{240000};
  /// Consecutive failures on one host after which it is quarantined.
  std::uint32_t failures_to_quarantine = 3;
  /// A quarantined host gets no new tasks for this long. The first failure of
  /// another step afterwards quarantines it again.
  Duration quarantine{4000};
  /// Failed runs count for this long towards a judgement on their host.
  Duration failure_memory{10000};
  /// At most this share of a service's hosts is quarantined.
  double max_hosts_in_quarantine = 0.5;
  /// A run that fails within this time counts towards its task's back-off.
  Duration early_failure{2000};
  /// The back-off begins with this early failure in a row, at `first_back_off`,
  /// and doubles with each further one, `most_back_off_doublings` times. Its
  /// longest is below the time within which callers are promised that a task
  /// whose turn has come runs.
  std::uint32_t failures_to_back_off = 3;
  Duration first_back_off{100};
  std::uint32_t most_back_off_doublings = 4;
  /// While the run of a task that is suspected of crashing workers is unproven,
  /// its host gets no other new tasks, but not for longer than this: the agent
  /// shows within half a second whether it has survived.
  Duration max_trial{2000};
  /// At most this share of the hosts, and one at least, is on such trials.
  double max_hosts_on_trial = 0.34;
  /// For this long after a crash that no task caused, no task is the sole
  /// suspect of the host's next crash.
  Duration host_doubt{10000};
  /// Of a job's due occurrences at most so many that have not begun are
  /// considered for placement, the earliest ones. The others need the same
  /// capacity and follow once these have begun, so that a backlog is neither
  /// held nor scanned in full.
  std::size_t max_waiting_occurrences = 100;
  /// A scheduled occurrence starts this long after its due time, so that a
  /// clock that is ahead does not start it early.
  Duration occurrence_delay{50};
  /// The run times of a step are estimated from its own tasks too, and what is
  /// left of running tasks counts for the rank of their job, see
  /// `StepRunTimes`. Otherwise from the queue alone.
  bool sibling_run_times = true;
  /// The statistics of run times are stored for the next owner.
  bool hand_over_run_times = true;
  OrderSettings order;
  /// Runs of late jobs that save checkpoints are stopped where pending tasks of
  /// jobs that can be in time fit nowhere, at most once per interval: the
  /// effect of the last stops is seen by then. A run that was just started is
  /// not stopped, as its start would be lost.
  bool preempt_late_work = true;
  Duration preemption_interval{300};
  Duration min_run_before_preemption{1000};
  StragglerSettings stragglers;
  /// A task counts as at work only while its host's last report is younger,
  /// where a step's disruption budget decides whether another may be ended.
  Duration at_work_notice{1000};
};

}  // namespace zinniacart

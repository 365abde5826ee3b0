#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "colocation/serving_load.h"
#include "jobs/job_record.h"
#include "jobs/job_state.h"
#include "jobs/queue.h"
#include "ordering/job_order.h"
#include "ordering/preemption.h"
#include "ordering/run_time_model.h"
#include "ordering/sibling_speeds.h"
#include "ordering/step_run_times.h"
#include "scheduling/crash_history.h"
#include "scheduling/headroom.h"
#include "scheduling/host.h"
#include "scheduling/host_messages.h"
#include "scheduling/host_work.h"
#include "scheduling/job.h"
#include "scheduling/job_forecast.h"
#include "scheduling/placement.h"
#include "scheduling/queue_work.h"
#include "scheduling/scheduler_messages.h"
#include "scheduling/scheduler_settings.h"

namespace zinniacart {

/// Decides for the owner which task runs on which host.
///
/// The class does no I/O and is not thread-safe. The caller passes in jobs, the
/// hosts' reports and the results of writes to the store, calls `OnTick` and
/// `Place` regularly, and then fetches the writes (`TakeWrites`) and the orders
/// for the agents (`TakeOrders`) that result.
///
/// A start is ordered only after the placement that it belongs to is stored,
/// and a worker may forget a task's end only after the end is stored. A new
/// owner can therefore rebuild the state from the store and the hosts' reports.
/// Unless a step is `speculative`, its tasks never run twice at the same time:
/// a task is placed again only after its run has ended or the lease of the
/// run's host must have expired.
class Scheduler final {
 public:
  using DecisionLog = std::function<void(const DecisionEvent&)>;

  Scheduler(SchedulerSettings settings, const Clock& clock, DecisionLog log);

  /// Starts a period of ownership. Discards all jobs and hosts.
  /// @param epoch reports of other epochs are ignored from now on.
  void Begin(Epoch epoch, EntryId owner);

  /// Sets the queues and applies their current policies to the known jobs.
  void SetConfiguration(SiteConfiguration configuration);
  /// Sets the failure domains that operators have drained. Their hosts get no
  /// new tasks.
  void SetDrainedDomains(std::set<DomainId> domains);

  /// Adds an accepted job. Does nothing if the job is already known.
  /// @param age how long ago it was accepted.
  void AddJob(JobRecord record, Duration age);
  /// Restores the stored progress of a job after a takeover. The job must have
  /// been added before.
  /// @param bytes    the output of `Job::EncodeProgress`.
  /// @param revision the store revision of `bytes`.
  /// @returns `kNotFound` if the job is not known, or the error of
  ///          `Job::RestoreProgress`. The job is then held back, see
  ///          `IsHeldBack`.
  Result<void> RestoreProgress(const JobId& job,
                               const std::string& bytes,
                               std::uint64_t revision);
  /// Keeps a job in memory after it has ended, until `Unpin`. The store may
  /// still tell of a pinned job; told after it is forgotten, it would be taken
  /// for a new one. Does nothing if the job is not known.
  void Pin(const JobId& job);
  /// Ends the effect of `Pin`. Does nothing if the job is not pinned.
  void Unpin(const JobId& job);
  /// Cancels a job and orders its runs to stop. Does nothing if the job is not
  /// known or has ended.
  void CancelJob(const JobId& job);

  /// Adds a host. Does nothing if the host is already known.
  void AddHost(const HostId& host);
  /// Applies the report of a host's agent. Ignores reports of another epoch and
  /// reports that a newer one of the same agent process has overtaken.
  void OnReport(const HostId& host, const HostReport& report);
  /// Handles everything that depends on time: marks hosts without reports as
  /// unreachable, releases runs whose lease has expired, repeats orders without
  /// effect, duplicates runs of unresponsive hosts, moves halted and serving
  /// tasks, queues checkpoints for storage and removes old ended jobs.
  void OnTick();
  /// Places all tasks that are ready to run and fit on a host.
  void Place();

  /// Sets the hosts that are emptied for their upkeep or whose upkeep was
  /// ordered, in place of those of the last call. Hosts that are not known are
  /// ignored.
  void SetUpkeep(const std::map<HostId, HostUpkeep>& hosts);
  /// Moves tasks off the hosts that are being emptied, as far as the disruption
  /// budgets of their steps allow and other hosts have room. Finite tasks move
  /// only if they save checkpoints; gangs stay.
  /// @param spare a finite task that is expected to end within this time stays.
  void EmptyHosts(const std::map<HostId, Duration>& spare);
  /// @returns what would be lost if all runs on the host ended now. The host
  /// must be known.
  HostWork WorkOn(const HostId& host) const;

  /// @returns the pending writes, at most `limit`. Each must be passed to
  /// `OnWritten`, `OnWriteFailed` or `OnWriteConflict` afterwards. Writes that
  /// only save checkpoints come last.
  std::vector<ProgressWrite> TakeWrites(std::size_t limit);
  /// All of `writes` are stored at `revision`. Releases the starts that wait
  /// for them.
  void OnWritten(const std::vector<ProgressWrite>& writes,
                 std::uint64_t revision);
  /// The writes failed, or it is unknown whether they took effect. They are
  /// repeated.
  void OnWriteFailed(const std::vector<ProgressWrite>& writes);
  /// The writes were rejected because the store holds other revisions than
  /// expected. A job of which the store has what an attempt of this owner wrote
  /// is written again against the present revision: an earlier write that
  /// seemed to have failed took effect. So is a job of which nothing is stored.
  /// Any other progress was not read by this owner: its job is held back, see
  /// `IsHeldBack`.
  /// @param stored the store's current progress of each job.
  void OnWriteConflict(const std::map<JobId, StoredProgress>& stored);

  /// @returns the hosts with pending orders that have listed their runs in this
  /// epoch and whose agents have reached their workers.
  std::vector<HostId> HostsWithOrders() const;
  /// @returns the pending orders for `host`, and marks them as sent. `host`
  /// must be known.
  /// @param grant whether the owner may grant the host's newest stamp, that is,
  ///              whether its ownership was confirmed recently enough.
  HostOrders TakeOrders(const HostId& host, bool grant);
  /// Orders for `host` were lost, or may have been. They are sent again.
  void OnOrdersLost(const HostId& host);

  /// @returns the state of the job that callers may see, which is never ahead
  /// of the stored progress; nothing if the job is not known.
  std::optional<JobState> StateOf(const JobId& job) const;
  /// @returns whether the job is not scheduled in this period of ownership
  /// because its stored progress could not be restored or differs from what
  /// this owner knows. It is not among `jobs`, cannot be added, and its
  /// progress is not written.
  bool IsHeldBack(const JobId& job) const { return m_held_back.contains(job); }
  /// @returns the number of active jobs of the queue of which no task has ever
  /// been placed.
  std::size_t CountWaiting(const QueueId& queue) const;

  /// @returns the work that matters to new jobs of each declared queue.
  std::map<QueueId, QueueWork> SummarizeWork() const;

  /// @returns the number of tasks that are held in memory: those of occurrences
  /// that are due and not complete.
  std::size_t CountHeldTasks() const;

  const std::map<JobId, std::unique_ptr<Job>>& jobs() const { return m_jobs; }
  const std::map<HostId, Host>& hosts() const { return m_hosts; }
  const InterferenceModel& interference() const { return m_interference; }
  const RunTimeModel& run_times() const { return m_run_times; }
  /// Adds what an earlier owner had learned about run times.
  /// @returns the errors of `::RestoreRunTimes`.
  Result<void> RestoreRunTimes(const std::string& bytes);
  /// Adds what an earlier owner had learned about interference.
  /// @returns the errors of `::RestoreInterference`.
  Result<void> RestoreInterference(const std::string& bytes);
  Epoch epoch() const { return m_epoch; }

 private:
  /// A step with pending tasks whose dependencies are done.
  struct ReadyStep {
    Job* job;
    std::uint32_t occurrence;
    std::uint32_t step;
    double urgency;  ///< Smaller values are placed first.
    bool overdue;    ///< Includes only the overdue tasks, see `IsOverdue`.
    /// Empty for perpetual steps.
    std::optional<OrderTier> tier{};
  };

  /// A FIFO queue of jobs that holds each job at most once.
  struct JobQueue {
    std::deque<JobId> order;
    std::set<JobId> members;

    void Add(const JobId& job);
    std::optional<JobId> TakeFirst();
  };

  // Reports, health and pacing.
  void AdoptAgent(Host& host, const HostReport& report);
  void AdoptIncarnation(Host& host, const HostReport& report);
  /// Decides what becomes of a run when the worker has restarted.
  /// @param listed whether the new worker incarnation lists the run.
  void ResolveRunOfOldIncarnation(Host& host, const TaskRun& id, bool listed);
  /// @returns the crash that the report shows and that was not handled yet.
  /// Must be called before the report is applied.
  static std::optional<WorkerCrash> CrashShownBy(Host& host,
                                                 const HostReport& report);
  /// Records which tasks are suspected of the crash. Gives up the jobs of those
  /// that are guilty.
  void HandleCrash(Host& host, WorkerCrash crash);
  /// Records a crash against the tasks whose runs had just been started.
  /// @param evidence against those whose starts were confirmed.
  void SuspectStarts(const Host& host,
                     const WorkerCrash& crash,
                     CrashEvidence evidence);
  /// Whether runs that had survived their start may have caused a crash.
  enum class InterruptedSuspects { kNone, kSome, kGuilty };
  /// Records a crash against the tasks whose runs were at work. If those of one
  /// job are guilty, that explains the crash, and the others are not suspected.
  InterruptedSuspects HandleInterrupted(const Host& host,
                                        const WorkerCrash& crash);
  /// @returns whether a task with this record is guilty by what is known now.
  bool IsGuilty(const CrashRecord& crashes) const;
  /// A guilty task has caused the crash: it says nothing of its host or of the
  /// runs of other jobs that were at work.
  void ExplainCrash(const HostId& host, const WorkerIncarnation& incarnation);
  /// @returns `HostedRun::acquits_after` of the task's next run.
  static std::optional<Duration> AcquittalOf(const Task& task);
  /// Acquits the run's task of late crashes if the run has worked long enough.
  /// @param run the run `id`.
  void AcquitIfDue(const TaskRun& id, HostedRun& run);
  void Acquit(const TaskRun& id, HostedRun& run);
  /// @returns whether the run cannot be the cause of the crash of a worker
  /// incarnation: its task has been cleared since, or it is a suspect of
  /// another crash. A run can have crashed one worker only.
  bool IsExonerated(const TaskRun& id, const WorkerIncarnation& incarnation);
  /// Records that the run is suspected of the crash. Gives up its job if that
  /// proves its task guilty.
  void SuspectOf(const TaskRun& id, const SuspectedCrash& crash);
  /// @returns whether the host may be unresponsive because of the run, which
  /// had just been started. It must not be started elsewhere before that is
  /// known.
  static bool MayHaveCrashed(const Host& host, const HostedRun& run);
  /// @returns whether the host has lately crashed and no task caused it.
  bool IsDoubtful(const Host& host) const;
  /// Removes the task from the suspects of all crashes. The hosts of crashes
  /// without another suspect have failed by themselves.
  /// @param proven the task's run that has survived its start.
  void ClearSuspicion(Job& job, const TaskRun& proven);
  /// If all tasks that are still suspected of the crash belong to one job, they
  /// are its sole suspects from now on.
  void NarrowSuspects(const HostId& host, const WorkerIncarnation& crashed);
  /// Removes the tasks of a job that is forgotten from the suspects.
  void ForgetSuspectsOf(const JobId& job);
  /// Ends the job as failed if the task of the run is guilty.
  void GiveUpIfGuilty(Job& job, const TaskRun& id, const HostId& host);
  /// The host was lost: each of its runs that had just been started may have
  /// crashed its worker, although no crash was seen.
  void MarkVanished(const Host& host);
  /// The run has survived its start.
  void OnProven(const Host& host, const TaskRun& id, HostedRun& run);
  void HandleEnds(Host& host, const HostReport& report);
  /// @returns what a run of the task takes of its host's capacity; nothing if
  /// the task is not known.
  Resources DemandOf(const TaskKey& task);
  void HandleRunning(Host& host, const HostReport& report);
  void MarkStarted(Host& host, HostedRun& run);
  /// @returns the pace, in percent, at which a best-effort task starts on
  /// `host`.
  int InitialPace(const Host& host, const StepSpec& step) const;
  /// Excludes `host` from the task's next placement if it refused the start.
  void AvoidHost(const OrderResult& result, const Host& host);
  void HandleResults(Host& host, const HostReport& report);
  /// Releases the run of a start that was refused. If an earlier agent may have
  /// sent it too, the run is stopped first, which bars it.
  /// @param run an element of `host.runs`.
  void HandleRefusal(Host& host, const OrderResult& result, HostedRun& run);
  void HandleAbsent(Host& host, const HostReport& report);
  void ApplyEnd(Host& host, const EndedTask& ended);
  /// Applies the end of a run that this owner does not track.
  void ApplyUnexpectedEnd(const EndedTask& ended);
  /// Records that the run has finished its task, and forgets what was learned
  /// of an occurrence that is complete with it.
  void FinishTask(Job& job, const TaskRun& finished);
  /// Finishes the task and adds its work to `m_finished_work`.
  void FinishAndCount(Job& job, const TaskKey& task);
  /// @returns a function that estimates run times from the job's queue alone.
  RunTimeEstimator QueueEstimate(const Job& job) const;
  /// Core-seconds of tasks that wait for capacity.
  struct WaitingWork {
    double all = 0;
    double in_time = 0;  ///< Of the first tier, see `TierOf`.
  };
  /// @returns the work of the job's tasks that wait for capacity.
  WaitingWork WaitingWorkOf(const Job& job) const;
  void LearnRunTime(const Job& job, const HostedRun& run);

  // Run times and order, see `packages/ordering`.
  /// @returns what is known of steps, nullptr while that is not used.
  const StepRunTimes* Siblings() const;
  /// @returns the expected run time of the task.
  Duration ExpectedTime(const Job& job, const TaskKey& task) const;
  /// @returns how long ago the occurrence was due, or the job accepted if it
  /// runs once.
  Duration AgeOf(const Job& job, std::uint32_t occurrence) const;
  /// Learns from the progress of a run that its worker lists.
  void ObserveProgress(const HostedRun& run);
  /// Logs what is learned of run times and done for the order of work.
  void LogOrder();
  /// Quarantines the host if too many consecutive failures are its fault, see
  /// `FailuresOfHost`.
  void CountOutcome(Host& host, const TaskRun& id, bool failed);
  /// @returns how many of the host's failed runs it is at fault for.
  std::uint32_t CountFailuresOf(const Host& host);
  /// @returns whether enough hosts of the service stay out of quarantine: where
  /// most hosts fail, the jobs are the more likely cause.
  bool MayQuarantine(const Host& host) const;
  void Quarantine(Host& host, const TaskRun& id);
  /// Ends the quarantine of a host that is not at fault by what is known now.
  void ReviseQuarantine(Host& host);
  /// Delays the next run of a task whose runs fail soon after their start, so
  /// that it does not keep the capacity that it frees each time from others.
  /// @param run its run that has failed.
  void BackOff(Job& job, const HostedRun& run);
  /// The agent reports that the worker's lease has expired.
  void ExpireRunsAtAgent(Host& host);
  void ExpireRuns(Host& host, const char* reason);
  /// Removes a run that has ended or never started, and makes its task pending
  /// again.
  /// @param checkpoint passed by value because it may belong to the run that is
  ///                   erased.
  /// @param failed     counts the end as a failed attempt.
  void DropRun(Host& host,
               const TaskRun& id,
               CheckpointId checkpoint,
               bool failed,
               const char* reason);
  /// Updates up to which end the worker may forget: all ends that are stored.
  void AdvanceRecordedEnds(Host& host);
  /// Decides the paces of the host's best-effort tasks from a new list of
  /// measurements.
  void UpdatePacing(Host& host, std::uint64_t list_number);
  /// Reads the cores that best-effort tasks use on the host from its new list.
  /// The worker measures use and tail latency over half a second each, but not
  /// the same one, so the use beside a tail latency is taken as the mean of the
  /// last two lists.
  /// @returns the use by image.
  static std::vector<ImageUse> MeasureBestEffortUse(Host& host);
  /// Learns from the tail latencies of the host's serving tasks.
  /// @param colocated the best-effort work beside them.
  void ObserveServing(Host& host, const std::vector<ImageUse>& colocated);
  void SetPace(Host& host, const BestEffortPace& change);
  /// @returns for each of `serving_images` the estimated margin that each core
  /// of `run` takes from it.
  std::vector<double> MarginLossPerCore(
      const HostedRun& run,
      const std::vector<std::string>& serving_images) const;
  void MoveHaltedRuns();
  void MoveHaltedRunsOf(Host& host, PlacementIndex& index);
  void Consolidate();
  /// @returns whether a suspected task of the job may be tried now, or enough
  /// hosts are on trials of other jobs.
  bool MayTry(const PlacementIndex& index, const Job& job) const;
  PlacementIndex MakeIndex() const;
  void ObserveHeadroom();
  /// @returns whether enough capacity for finite tasks stays free after a
  /// perpetual task of `step` is placed.
  bool LeavesHeadroom(const PlacementIndex& index,
                      const Job& job,
                      const StepSpec& step) const;
  /// @returns whether the job's best-effort tasks may start where they must be
  /// slowed down.
  bool MayStartSlowed(const PlacementIndex& index, const Job& job) const;
  /// The tasks of a step, as its disruption budget counts them.
  struct StepPresence {
    std::uint32_t here = 0;  ///< May be at work on the host in question.
    /// Of these, not known to be at work.
    std::uint32_t unsure_here = 0;
    /// Elsewhere, neither done nor known to be at work.
    std::uint32_t away = 0;
  };
  /// @param host whose tasks are counted apart.
  StepPresence PresenceOf(const TaskKey& step, const HostId& host) const;
  /// @param host counts as reliable also while its upkeep is ordered.
  bool IsAtWork(const TaskKey& key, const Task& task, const HostId& host) const;
  /// @returns whether the task has a run on the host that was not told to stop
  /// and may have begun.
  bool MayWorkOn(const TaskKey& key, const Task& task, const Host& host) const;
  /// @returns whether the run may be stopped: it is the only one of its step
  /// that is away, or the budget allows for one more.
  bool MayMove(const TaskRun& id, const Host& host) const;
  /// @returns whether the disruption budget that the step declares, if any,
  /// allows to stop the run.
  bool WithinBudget(const TaskRun& id, const Host& host) const;
  /// Moves the run if it must not stay and may move.
  /// @param spare see `EmptyHosts`.
  void MoveOffHost(Host& host,
                   const TaskRun& id,
                   HostedRun& run,
                   Duration spare,
                   const PlacementIndex& index,
                   ReservedCapacity& reserved);
  /// @returns whether a host is being emptied or its upkeep was ordered.
  bool HasUpkeep() const;
  void SaveCheckpoints();
  void UpdateHealth(Host& host);
  /// Passes the speeds of the running tasks to the host's health estimate.
  /// @returns whether a task could be compared with tasks of the same step on
  /// other hosts.
  bool ObserveRunningTasks(Host& host);
  /// Passes the speed of a finished task to the host's health estimate.
  void ObserveFinishedTask(Host& host, const HostedRun& run);
  void StopRunsOfUnhealthyHost(Host& host);
  /// Orders a run to stop. Its task is pending again at once if the step allows
  /// duplicate runs, otherwise when the run has ended.
  void StopRun(Job& job, const TaskKey& key, Host& host, HostedRun& run);
  /// Places tasks of unresponsive hosts again where the step allows duplicate
  /// runs.
  void DuplicateRunsOfUnresponsiveHosts();
  /// Stops the newest run of a task that an older run has finished.
  void StopDuplicateRun(Job& job, const TaskRun& finished);
  void LogLoad();
  /// @returns how long after the last granted stamp was received, or after this
  /// ownership began if there was none, runs of the host may still be running.
  Duration LeaseExpiryBound(const Host& host) const;

  // Placement.
  std::vector<ReadyStep> ReadySteps();
  /// Opens the occurrences of the job that have come due, see
  /// `SchedulerSettings::max_waiting_occurrences`.
  void OpenDueOccurrences(Job& job);
  void CollectReadySteps(Job& job, std::vector<ReadyStep>& ready);
  ReadyStep RankStep(Job& job,
                     std::uint32_t occurrence,
                     std::uint32_t step,
                     const JobForecast& forecast) const;
  /// @returns the urgency of the step's overdue tasks.
  static double OverdueUrgencyOf(const Job& job, std::uint32_t step);
  /// @returns whether the task is a perpetual one that waits to run again for
  /// longer than `SchedulerSettings::max_perpetual_wait`.
  bool IsOverdue(const Job& job, const StepSpec& step, const Task& task) const;
  /// @returns whether the occurrence's scheduled time has come.
  bool IsDue(const Job& job, std::uint32_t occurrence) const;
  void PlaceStep(const ReadyStep& ready, PlacementIndex& index);
  void PlaceGang(const ReadyStep& ready, PlacementIndex& index);
  void PlaceTask(Job& job, const TaskKey& key, Host& host);
  static HostedRun MakeRun(const StepSpec& step);

  // Stragglers, see `IsStraggler`.
  /// Starts copies of stragglers, or moves them where copies are not allowed.
  void MitigateStragglers();
  /// @returns whether the tasks of the host are about as fast as elsewhere, so
  /// that a run that takes long there has more work than others.
  bool IsKnownToBeSound(const Host& host) const;
  bool IsStragglingRun(const Host& host,
                       const TaskRun& id,
                       const HostedRun& run);
  void Mitigate(const TaskRun& id, Host& host, PlacementIndex& index);
  /// @returns whether one more copy leaves the copies within their share of the
  /// service's processors.
  bool MayCopy(const ServiceId& service, const StepSpec& step);
  /// Stops the run of which a copy was started, unless it is `finished`, and
  /// forgets the copy.
  void StopOriginal(const TaskKey& task, RunNumber finished);
  void StopOriginalsOf(const JobId& job);
  /// @returns the progress of the run as its worker last listed it.
  TaskProgress ProgressOfRun(const HostedRun& run) const;

  // Preemption, see `ChoosePreemptions`.
  struct PreemptionRound;
  /// Stops late work in favour of pending tasks of jobs that can be in time.
  /// Must be called after all tasks that fit are placed.
  void PreemptLateWork(const std::vector<ReadyStep>& ready_steps);
  void AddWaiting(const ReadyStep& ready, PreemptionRound& round) const;
  /// Adds the hosts of the service with the runs that may be stopped there.
  void AddCandidates(const ServiceId& service, PreemptionRound& round);
  /// @param job of the run, may be nullptr.
  bool IsPreemptible(Job* job, const TaskRun& id, const HostedRun& run) const;
  /// @returns whether placement accepts a task of the demand on the host after
  /// the stops. If so, the task counts as placed there in `round`.
  bool AcceptsAfterPreemption(PreemptionRound& round,
                              const Preemption& proposed) const;
  void Preempt(const PreemptionRound& round, const Preemption& preemption);

  // Jobs.
  void StopTasksOf(Job& job);
  /// Forgets the ended jobs whose retention is over.
  void ForgetEndedJobs();
  void Forget(const JobId& job);
  /// Orders the job's runs to stop, forgets it, and bars it from being added.
  /// @param reason for the log.
  void HoldBack(const JobId& job, const std::string& reason);
  /// Queues the job's progress to be written.
  void MarkDirty(Job& job);
  /// As `MarkDirty`, but with lower priority than the writes that starts and
  /// ends wait for.
  void MarkCheckpointDirty(Job& job);
  /// Orders the starts of the job whose placement is now stored.
  void ReleaseOrders(Job& job);
  Job* FindJob(const JobId& id);
  /// @returns the job's queue, nullptr if it is not declared or if the job's
  /// policy comes from a newer configuration than this owner has.
  const Queue* FindNewerQueue(const JobRecord& record) const;

  const SchedulerSettings m_settings;
  const Clock& m_clock;
  const DecisionLog m_log;
  Epoch m_epoch;
  EntryId m_owner;
  Instant m_ownership_began;
  /// When this owner began to request reports, after it had loaded the jobs.
  std::optional<Instant> m_polling_since;
  SiteConfiguration m_configuration;
  std::set<DomainId> m_drained_domains;
  InterferenceModel m_interference;
  RunTimeModel m_run_times;
  StepRunTimes m_step_times;
  SiblingSpeeds m_siblings;
  /// The tasks that are still suspected of each crash, by host and the worker
  /// incarnation that crashed.
  std::map<std::pair<HostId, WorkerIncarnation>, std::set<TaskKey>> m_suspects;
  CrashHistory m_crashes;
  /// Core-seconds of finished tasks, by service and priority.
  std::map<std::pair<ServiceId, int>, double> m_finished_work;
  /// Keyed by the first task of each step.
  std::map<TaskKey, ServingLoad> m_serving_loads;
  std::map<ServiceId, Headroom> m_headroom;
  Instant m_checkpoints_saved_at;
  Instant m_load_logged_at;
  Instant m_consolidated_at;
  /// Tasks with a copy beside their straggling run, and that run and its host.
  std::map<TaskKey, std::pair<RunNumber, HostId>> m_copied;
  Instant m_stragglers_checked_at;
  std::uint64_t m_copied_stragglers = 0;  ///< In this process.
  std::uint64_t m_moved_stragglers = 0;
  Instant m_preempted_at;
  std::uint64_t m_preempted_runs = 0;  ///< In this process, for the load log.
  std::map<JobId, std::unique_ptr<Job>> m_jobs;
  std::map<HostId, Host> m_hosts;
  JobQueue m_dirty;
  /// Jobs of which only checkpoints need to be written.
  JobQueue m_checkpoint_dirty;
  /// Ended jobs and when they ended, oldest first.
  std::deque<std::pair<Instant, JobId>> m_ended_jobs;
  std::set<JobId> m_pinned;
  std::set<JobId> m_held_back;
};

}  // namespace zinniacart

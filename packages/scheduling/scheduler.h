#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "jobs/job_record.h"
#include "jobs/job_state.h"
#include "jobs/queue.h"
#include "scheduling/headroom.h"
#include "scheduling/host.h"
#include "scheduling/host_messages.h"
#include "scheduling/job.h"
#include "scheduling/placement.h"
#include "scheduling/run_time_model.h"
#include "scheduling/scheduler_settings.h"
#include "scheduling/serving_load.h"
#include "scheduling/sibling_speeds.h"

namespace zinniacart {

/// One job's progress, to be written to the store.
struct ProgressWrite {
  JobId job;
  std::string bytes;
  std::uint64_t version = 0;   ///< Of the job; see `Job::version`.
  std::uint64_t revision = 0;  ///< The store's revision that it replaces.
};

/// One decision, for the log.
struct DecisionEvent {
  const char* name;
  TaskRun run;
  HostId host;
  std::string detail;
};

/// The decisions of the owner: which task runs where. It does no I/O: it is
/// fed jobs, reports and results of writes, and is asked for writes and
/// orders. A start is ordered only after the write that records it.
class Scheduler final {
 public:
  using DecisionLog = std::function<void(const DecisionEvent&)>;

  Scheduler(SchedulerSettings settings, const Clock& clock, DecisionLog log);

  /// Begins a term of ownership, with nothing known.
  void Begin(Epoch epoch, EntryId owner);

  void SetConfiguration(SiteConfiguration configuration);
  void SetDrainedDomains(std::set<DomainId> domains);

  /// Adds an accepted job; one that is known already is left as it is.
  /// @param age how long ago it was accepted.
  void AddJob(JobRecord record, Duration age);
  /// Restores the progress of a job that was added, at takeover.
  Result<void> RestoreProgress(const JobId& job,
                               const std::string& bytes,
                               std::uint64_t revision);
  void CancelJob(const JobId& job);

  void AddHost(const HostId& host);
  void OnReport(const HostId& host, const HostReport& report);
  /// Lets time pass: leases lapse, orders are repeated.
  void OnTick();
  /// Places what can be placed.
  void Place();

  /// @returns the writes that wait, at most `most`.
  std::vector<ProgressWrite> TakeWrites(std::size_t most);
  /// All of `writes` are stored, at `revision`.
  void OnWritten(const std::vector<ProgressWrite>& writes,
                 std::uint64_t revision);
  /// It is not known whether the writes took effect; they are due again.
  void OnWriteFailed(const std::vector<ProgressWrite>& writes);
  /// The store holds other revisions than thought: an earlier attempt of ours
  /// took effect. The writes are due again.
  void OnWriteConflict(const std::map<JobId, std::uint64_t>& revisions);

  /// @returns the hosts for which orders wait.
  std::vector<HostId> HostsWithOrders() const;
  /// @returns the orders for `host` and notes them as sent.
  HostOrders TakeOrders(const HostId& host, bool vouch);
  /// The orders did not arrive, or may not have.
  void OnOrdersLost(const HostId& host);

  /// @returns the job's state, nothing where it is not known.
  std::optional<JobState> StateOf(const JobId& job) const;
  /// @returns how many jobs of the queue wait for their first task.
  std::size_t CountWaiting(const QueueId& queue) const;

  const std::map<JobId, std::unique_ptr<Job>>& jobs() const { return m_jobs; }
  const std::map<HostId, Host>& hosts() const { return m_hosts; }
  const InterferenceModel& interference() const { return m_interference; }
  Epoch epoch() const { return m_epoch; }

 private:
  struct ReadyStep {
    Job* job;
    std::uint32_t occurrence;
    std::uint32_t step;
    double urgency;  ///< Smaller comes first.
  };

  /// Jobs in the order of their first mention, each once.
  struct JobQueue {
    std::deque<JobId> order;
    std::set<JobId> members;

    void Add(const JobId& job);
    std::optional<JobId> TakeFirst();
  };

  // Reports.
  void AdoptAgent(Host& host, const HostReport& report);
  void AdoptIncarnation(Host& host, const HostReport& report);
  void LeaveOldLife(Host& host, const TaskRun& id, bool listed);
  void HandleEnds(Host& host, const HostReport& report);
  void HandleRunning(Host& host, const HostReport& report);
  void MarkStarted(Host& host, HostedRun& run);
  int FirstPace(const Host& host, const StepSpec& step) const;
  void AvoidHost(const OrderResult& result, const Host& host);
  void HandleResults(Host& host, const HostReport& report);
  void HandleAbsent(Host& host, const HostReport& report);
  void ApplyEnd(Host& host, const EndedTask& ended);
  void ApplyUnexpectedEnd(const EndedTask& ended);
  void LearnRunTime(const Job& job, const HostedRun& run);
  void CountOutcome(Host& host, const TaskRun& id, bool failed);
  void LapseAtAgent(Host& host);
  void LapseRuns(Host& host, const char* reason);
  void EraseRun(Host& host, const TaskRun& id);
  /// @param checkpoint by value: it may be the run's own.
  void DropRun(Host& host,
               const TaskRun& id,
               CheckpointId checkpoint,
               bool failed,
               const char* reason);
  void AdvanceRecordedEnds(Host& host);
  void UpdatePacing(Host& host, std::uint64_t list_number);
  std::vector<ImageUse> BestEffortUse(Host& host) const;
  void ObserveServing(Host& host);
  void SetPace(Host& host, const BestEffortPace& change);
  std::vector<double> HarmOf(
      const HostedRun& run,
      const std::vector<std::string>& serving_images) const;
  void MoveHalted();
  void MoveHaltedOf(Host& host, PlacementIndex& index);
  void Consolidate();
  PlacementIndex MakeIndex() const;
  void ObserveHeadroom();
  bool LeavesHeadroom(const PlacementIndex& index,
                      const Job& job,
                      const StepSpec& step) const;
  void SaveCheckpoints();
  void UpdateHealth(Host& host);
  bool LookAtRunning(Host& host);
  void NoteFinished(Host& host, const HostedRun& run);
  void LeaveSickHost(Host& host);
  void StopRun(Job& job, const TaskKey& key, Host& host, HostedRun& run);
  void CopyRunsOfSilentHosts();
  void StopOtherCopy(Job& job, const TaskRun& finished);
  void LogLoad();
  Duration LapseBound(const Host& host) const;

  // Placement.
  std::vector<ReadyStep> ReadySteps();
  void CollectReadySteps(Job& job, std::vector<ReadyStep>& ready);
  double UrgencyOf(const Job& job, std::uint32_t step) const;
  bool Due(const Job& job, std::uint32_t occurrence) const;
  void PlaceStep(const ReadyStep& ready, PlacementIndex& index);
  void PlaceGang(const ReadyStep& ready, PlacementIndex& index);
  void PlaceTask(Job& job, const TaskKey& key, Host& host);
  static HostedRun MakeRun(const StepSpec& step);

  // Jobs.
  void StopTasksOf(Job& job);
  /// The job's progress is to be written.
  void Touched(Job& job);
  /// As `Touched`, after what starts and ends wait for.
  void TouchedLightly(Job& job);
  void ReleaseOrders(Job& job);
  Job* FindJob(const JobId& id);

  const SchedulerSettings m_settings;
  const Clock& m_clock;
  const DecisionLog m_log;
  Epoch m_epoch;
  EntryId m_owner;
  Instant m_began;
  /// Since when hosts are asked: loading comes before.
  std::optional<Instant> m_asking_since;
  SiteConfiguration m_configuration;
  std::set<DomainId> m_drained_domains;
  InterferenceModel m_interference;
  RunTimeModel m_run_times;
  SiblingSpeeds m_siblings;
  /// By step, named by its first task.
  std::map<TaskKey, ServingLoad> m_serving;
  std::map<ServiceId, Headroom> m_headroom;
  Instant m_checkpoints_saved_at;
  Instant m_load_logged_at;
  Instant m_consolidated_at;
  std::map<JobId, std::unique_ptr<Job>> m_jobs;
  std::map<HostId, Host> m_hosts;
  JobQueue m_dirty;
  /// Jobs of which only checkpoints are to be written.
  JobQueue m_lightly_dirty;
  std::deque<std::pair<Instant, JobId>> m_ended;
};

}  // namespace zinniacart

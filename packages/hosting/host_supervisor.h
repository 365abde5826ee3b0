#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "hosting/worker_calls.h"
#include "scheduling/host_messages.h"
#include "scheduling/scheduler_settings.h"

namespace zinniacart {

/// Times of a `HostSupervisor`.
struct SupervisorSettings {
  LeaseTimes times;
  /// How long a hold waits at the worker for a run to end. It also bounds the
  /// age of the lists while the worker answers.
  Duration hold_wait{400};
  /// Delay before the next hold where the last one failed, did not wait, or
  /// listed ends that the owner has not recorded yet.
  Duration retry_delay{150};
  /// A call that got no answer may still reach the worker within this time.
  Duration max_call_delay{15000};
  /// A run that has worked this long is not suspected of a later crash of its
  /// worker: a task that crashes its workers does so when it starts.
  Duration trial{100};
};

/// Controls the worker of one host for the host's agent; nothing else may call
/// that worker. It forwards the orders of the newest owner, extends the
/// worker's lease no further than that owner granted, and reports for each
/// order whether it was carried out or never will be. An order that is in no
/// report yet may still be carried out.
///
/// Answers overtake each other, so a run that is being stopped may be in no
/// list yet. A stop is therefore reported only beside lists that the worker
/// made after it had accepted the stop: a run that they do not contain never
/// begins.
///
/// It does no I/O and has no locks. Its user sends the calls that `TakeCalls`
/// returns, passes each answer to the matching `On...Answered` function, and
/// sends the reports to the owner.
class HostSupervisor final {
 public:
  /// @param agent the incarnation of the agent's process.
  HostSupervisor(Incarnation agent,
                 SupervisorSettings settings,
                 const Clock& clock);

  /// Called when the worker announced itself. An announcement that is older
  /// than one received before is ignored.
  /// @param sequence grows with each announcement of one incarnation.
  void OnAnnouncement(const WorkerFacts& facts, std::uint64_t sequence);

  /// Accepts the orders of an owner. Orders for another worker incarnation than
  /// the one last listed are dropped; their epoch and grant still count.
  /// @returns `kStaleEpoch` if orders of a newer owner were received before.
  Result<void> OnOrders(const HostOrders& orders);

  /// @param lists the worker's answer, or an error if none came or it refused.
  void OnHoldAnswered(const HoldCall& call, const Result<WorkerLists>& lists);
  /// @param clock the worker's clock at its answer, if the answer contains it.
  void OnStartAnswered(const StartCall& call,
                       StartAnswer answer,
                       std::optional<WorkerInstant> clock = std::nullopt);
  /// @param answered whether the worker accepted the stop; otherwise it is sent
  /// again.
  void OnStopAnswered(const StopCall& call, bool answered);
  /// @param answered whether the worker accepted the pace; otherwise it is sent
  /// again while the run is listed.
  void OnPaceAnswered(const PaceCall& call, bool answered);

  /// @returns the calls to send to the worker now. Each is returned once.
  std::vector<WorkerCall> TakeCalls();

  /// @returns the next report to the owner, with a new sequence number.
  HostReport MakeReport();
  /// @returns the current state as a report, without a new sequence number.
  HostReport Snapshot() const;
  /// @returns the number of changes so far that are to be reported to the owner
  /// without delay.
  std::uint64_t change_count() const { return m_change_count; }
  /// @returns whether the worker has listed its runs in answer to a call with
  /// the newest epoch, so that no older owner can add to them.
  bool listed() const { return m_listed; }
  /// @returns the newest epoch from which orders were received.
  Epoch epoch() const { return m_epoch; }

 private:
  enum class StartPhase { kWaiting, kSent, kUnanswered, kResolved };
  struct Start {
    StartOrder order;
    StartPhase phase = StartPhase::kWaiting;
    WorkerInstant not_after;
    Instant sent_at;
    OrderOutcome outcome = OrderOutcome::kRefused;  ///< Once it is resolved.
    Instant resolved_at;
    Instant granted_stamp;  ///< The newest that came with this start.
  };
  struct Stop {
    bool sent = false;
    bool answered = false;
    std::uint64_t answered_event = 0;  ///< The newest event at its answer.
    /// The lists are newer than the answer, or the worker's lease has expired.
    bool settled = false;
    Instant settled_at;
  };
  struct Pace {
    PaceOrder order;
    bool sent = false;
  };
  struct ListedRun {
    RunningTask task;
    /// Number of the newest event, a hold or a successful start, that showed
    /// that it runs.
    std::uint64_t shown_by_event = 0;
    Instant since;  ///< When it was first known to run.
  };

  void AdoptEpoch(Epoch epoch);
  void AdoptIncarnation(const WorkerIncarnation& incarnation);
  void ApplyLists(const HoldCall& call, const WorkerLists& lists);
  /// Determines from the lists whether unanswered starts were carried out.
  void ResolveUnanswered(const WorkerLists& lists);
  /// Resolves unanswered starts at a worker that has not answered for so long
  /// that they cannot be carried out any more.
  void GiveUpUnanswered();
  void Resolve(Start& start, OrderOutcome outcome);
  /// `call` was answered: settles the stops that were answered before it was
  /// sent.
  void SettleStopsBefore(const HoldCall& call);
  /// Settles the stops at a worker whose lease has expired. A run whose start
  /// may still be carried out is left to `GiveUpUnanswered`.
  void SettleExpiredStops();
  void Settle(Stop& stop);
  void ForgetOldResults();
  /// Ends the trials of runs that have worked long enough or have ended.
  void UpdateTrials(const WorkerLists& lists);
  /// The worker has confirmed a start.
  /// @param clock see `OnStartAnswered`.
  void ShowStarted(const TaskRun& id, std::optional<WorkerInstant> clock);
  /// Begins the trials of runs anew that may belong to the next incarnation,
  /// and drops the others.
  void RestartTrials();
  /// @returns whether a new list would show that a run has survived.
  bool TrialDue() const;
  /// A run that the present incarnation lists was not begun by the one that
  /// has crashed: an answered start does not tell which of them carried it out.
  void ClearListedSuspects(const WorkerLists& lists);
  /// Records a crash unless the incarnation that has ended was draining.
  void RecordCrash(const WorkerIncarnation& ended);
  /// @returns the hold that is due, if any.
  std::optional<HoldCall> NextHold();
  /// @returns the latest time on the worker's clock to which the owner's grant
  /// allows the lease to last; nothing if the grant has ended or the worker was
  /// not listed under the newest epoch.
  std::optional<WorkerInstant> LeaseUntil() const;
  /// @returns the present time on the worker's clock, extrapolated from its
  /// newest reading.
  WorkerInstant WorkerNow() const;
  /// @returns whether the worker can start runs and the grant of the start
  /// outlasts the validity of a start call.
  bool MayStart(const Start& start) const;
  /// @returns whether the worker's lease, and so each of its runs, has ended.
  bool LeaseExpired() const;
  /// @returns whether newer lists of the worker were applied.
  bool IsOvertaken(const WorkerLists& lists) const;
  /// @returns the number up to which the worker may forget ended runs; 0: none.
  std::uint64_t EndsToForget() const;
  /// @returns whether an ended run is listed that the owner has not recorded.
  bool HasUnrecordedEnds() const;
  /// @returns the worker's id, empty before its first announcement.
  std::string worker_id() const;
  void CountChange() { ++m_change_count; }

  const Incarnation m_agent;
  const SupervisorSettings m_settings;
  const Clock& m_clock;

  Epoch m_epoch;
  Instant m_granted_stamp;
  std::optional<WorkerIncarnation> m_incarnation;
  std::map<WorkerIncarnation, std::pair<WorkerFacts, std::uint64_t>> m_facts;

  // The newest reading of the worker's clock, and when it was received.
  WorkerInstant m_worker_clock;
  Instant m_worker_clock_at;

  std::uint64_t m_events = 0;  ///< Number of holds sent and runs started.
  bool m_hold_in_flight = false;
  bool m_urgent_hold = false;  ///< A hold is due at once and must not wait.
  std::uint64_t m_newest_answered = 0;  ///< Id of the newest answered hold.
  std::uint64_t m_newest_failed = 0;    ///< Id of the newest failed hold.
  std::uint64_t m_lists_applied = 0;
  Instant m_next_hold_at;
  bool m_reachable = false;
  /// The first of the holds that have failed since the last answer.
  std::optional<Instant> m_failing_since;
  /// No call to the worker requested a lease beyond this.
  Instant m_requested_lease_end;
  bool m_listed = false;

  std::map<TaskRun, Start> m_starts;
  std::map<TaskRun, Stop> m_stops;
  std::map<TaskRun, Pace> m_paces;
  std::map<TaskRun, ListedRun> m_running;
  struct Trial {
    /// Time on the worker's clock at which it is first known to be at work.
    /// Empty while the start is not confirmed.
    std::optional<WorkerInstant> shown_at;
    bool suspected = false;  ///< See `StartOrder::trial`.
  };
  /// Runs of which no list shows yet that they have survived their start.
  std::map<TaskRun, Trial> m_trials;
  Instant m_next_trial_hold_at;
  std::optional<WorkerCrash> m_crash;
  Instant m_crash_seen_at;
  std::vector<EndedTask> m_ended;
  bool m_more_ends = false;  ///< See `WorkerLists::more_ends`.
  std::uint64_t m_recorded_ends = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_change_count = 0;
};

}  // namespace zinniacart

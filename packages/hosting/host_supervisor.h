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

struct SupervisorSettings {
  LeaseTimes times;
  /// How long a hold waits for an end; also the age of the lists at most.
  Duration hold_wait{400};
  /// Pause after a hold that failed.
  Duration retry{150};
};

/// The only caller of one host's worker. It passes on the orders of the newest
/// owner, keeps the worker's lease within what the owner vouched for, and
/// knows for each order whether it was carried out, will be, or never will.
/// It does no I/O: calls to the worker are taken from it and answered to it.
class HostSupervisor final {
 public:
  HostSupervisor(Incarnation agent,
                 SupervisorSettings settings,
                 const Clock& clock);

  /// The worker announced itself.
  /// @param sequence grows with each announcement of one incarnation.
  void OnAnnouncement(const WorkerFacts& facts, std::uint64_t sequence);

  /// @returns `kStaleEpoch` where a newer owner is known.
  Result<void> OnOrders(const HostOrders& orders);

  void OnHoldAnswered(const HoldCall& call, const Result<WorkerLists>& lists);
  void OnStartAnswered(const StartCall& call, StartAnswer answer);
  /// @param answered whether the worker took the stop.
  void OnStopAnswered(const StopCall& call, bool answered);

  void OnPaceAnswered(const PaceCall& call, bool answered);

  /// @returns the calls that are due, each once.
  std::vector<WorkerCall> TakeCalls();

  /// @returns the next report to the owner.
  HostReport MakeReport();
  /// @returns what a report would say now, without counting as one.
  HostReport Snapshot() const;
  /// Grows with each change that the owner should hear of at once.
  std::uint64_t change_count() const { return m_change_count; }
  /// @returns whether the lists were taken under the newest epoch.
  bool listed() const { return m_listed; }
  Epoch epoch() const { return m_epoch; }

 private:
  enum class StartPhase { kWaiting, kSent, kUnanswered, kResolved };
  struct Start {
    StartOrder order;
    StartPhase phase = StartPhase::kWaiting;
    WorkerInstant not_after;
    OrderOutcome outcome = OrderOutcome::kRefused;
    Instant resolved_at;
    Instant granted_stamp;  ///< The newest that came with this start.
  };
  struct Stop {
    bool sent = false;
    bool answered = false;
    Instant answered_at;
  };
  struct Pace {
    PaceOrder order;
    bool sent = false;
  };
  struct Listed {
    RunningTask task;
    std::uint64_t known_from = 0;  ///< Number of the event that told of it.
  };

  void AdoptEpoch(Epoch epoch);
  void AdoptIncarnation(const WorkerIncarnation& incarnation);
  void ApplyLists(const HoldCall& call, const WorkerLists& lists);
  void ResolveUnanswered(const WorkerLists& lists);
  void Resolve(Start& start, OrderOutcome outcome);
  void ForgetOldResults();
  std::optional<HoldCall> NextHold();
  std::optional<WorkerInstant> LeaseUntil() const;
  WorkerInstant WorkerNow() const;
  bool MayStart(const Start& start) const;
  bool LeaseLapsed() const;
  /// @returns whether newer lists of the worker are known.
  bool Overtaken(const WorkerLists& lists) const;
  /// @returns up to which number the worker may forget ends; 0: none.
  std::uint64_t EndsToForget() const;
  bool EndsWait() const;
  /// @returns the worker's id, empty before its first announcement.
  std::string worker() const;
  void CountChange() { ++m_change_count; }

  const Incarnation m_agent;
  const SupervisorSettings m_settings;
  const Clock& m_clock;

  Epoch m_epoch;
  Instant m_granted_stamp;
  std::optional<WorkerIncarnation> m_incarnation;
  std::map<WorkerIncarnation, std::pair<WorkerFacts, std::uint64_t>> m_facts;

  // The newest reading of the worker's clock, and when it came in.
  WorkerInstant m_worker_clock;
  Instant m_worker_clock_at;

  std::uint64_t m_events = 0;
  bool m_hold_in_flight = false;
  bool m_urgent_hold = false;
  std::uint64_t m_newest_answered = 0;  ///< The newest hold with an answer.
  std::uint64_t m_newest_failed = 0;    ///< The newest hold without one.
  std::uint64_t m_lists_applied = 0;
  Instant m_hold_not_before;
  bool m_reachable = false;
  /// No call asked the worker for a lease beyond this.
  Instant m_lease_asked;
  bool m_listed = false;

  std::map<TaskRun, Start> m_starts;
  std::map<TaskRun, Stop> m_stops;
  std::map<TaskRun, Pace> m_paces;
  std::map<TaskRun, Listed> m_running;
  std::vector<EndedTask> m_ended;
  std::uint64_t m_recorded_ends = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_change_count = 0;
};

}  // namespace zinniacart

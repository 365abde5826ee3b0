#include "hosting/host_supervisor.h"

#include <algorithm>
#include <set>
#include <utility>

namespace zinniacart {
namespace {

/// How long reports repeat the outcome of an order. An owner that received none
/// of these reports sends the order again.
constexpr Duration kResultRepeatPeriod{5000};
/// An unanswered start that is not listed counts as refused this long after its
/// deadline on the worker's clock.
constexpr std::int64_t kDeadlineMarginMs = 50;

}  // namespace

HostSupervisor::HostSupervisor(Incarnation agent,
                               SupervisorSettings settings,
                               const Clock& clock)
    : m_agent(agent),
      m_settings(settings),
      m_clock(clock),
      // An earlier agent process may have requested a full lease just now.
      m_requested_lease_end(clock.Now() + settings.times.lease) {}

void HostSupervisor::OnAnnouncement(const WorkerFacts& facts,
                                    std::uint64_t sequence) {
  const auto known = m_facts.find(facts.incarnation);
  if (known != m_facts.end() && sequence <= known->second.second) {
    return;
  }
  const bool changed = known == m_facts.end() ||
                       known->second.first.draining != facts.draining ||
                       known->second.first.capacity != facts.capacity;
  m_facts[facts.incarnation] = {facts, sequence};
  if (changed) {
    m_urgent_hold = true;
    CountChange();
  }
}

Result<void> HostSupervisor::OnOrders(const HostOrders& orders) {
  if (orders.epoch < m_epoch) {
    return Fail(ErrorCode::kStaleEpoch,
                "epoch " + std::to_string(orders.epoch.value()) +
                    " is older than " + std::to_string(m_epoch.value()));
  }
  AdoptEpoch(orders.epoch);
  m_granted_stamp = std::max(m_granted_stamp, orders.granted_stamp);
  if (!m_incarnation || orders.incarnation != *m_incarnation) {
    return {};
  }
  if (orders.recorded_ends > m_recorded_ends) {
    m_recorded_ends = orders.recorded_ends;
    m_urgent_hold = true;
  }
  for (const StartOrder& order : orders.starts) {
    Start& start =
        m_starts.try_emplace(order.id, Start{order, {}, {}, {}, {}, {}, {}})
            .first->second;
    start.granted_stamp = std::max(start.granted_stamp, orders.granted_stamp);
  }
  for (const TaskRun& id : orders.stops) {
    Stop& stop = m_stops[id];
    stop.answered = false;
    stop.settled = false;
  }
  for (const PaceOrder& pace : orders.paces) {
    m_paces[pace.id] = Pace{pace, false};
  }
  return {};
}

void HostSupervisor::AdoptEpoch(Epoch epoch) {
  if (epoch == m_epoch) {
    return;
  }
  m_epoch = epoch;
  m_listed = false;
  m_urgent_hold = true;
  // Discard orders of the previous owner that were not sent yet.
  std::erase_if(m_starts, [](const auto& entry) {
    return entry.second.phase == StartPhase::kWaiting;
  });
  m_stops.clear();
  m_paces.clear();
}

void HostSupervisor::AdoptIncarnation(const WorkerIncarnation& incarnation) {
  if (m_incarnation == incarnation) {
    return;
  }
  if (m_incarnation) {
    RecordCrash(*m_incarnation);
  }
  m_incarnation = incarnation;
  RestartTrials();
  m_starts.clear();
  m_stops.clear();
  m_paces.clear();
  // `m_running` is kept: runs that started after the hold was sent may belong
  // to the new incarnation. The next list shows whether they do.
  m_ended.clear();
  m_more_ends = false;
  m_recorded_ends = 0;
  std::erase_if(m_facts,
                [&](const auto& entry) { return entry.first < incarnation; });
  CountChange();
}

void HostSupervisor::OnHoldAnswered(const HoldCall& call,
                                    const Result<WorkerLists>& lists) {
  if (call.wait.count() > 0) {
    m_hold_in_flight = false;
  }
  if (lists && lists->incarnation == m_incarnation) {
    // Lists that have overtaken these are newer still.
    SettleStopsBefore(call);
  }
  if (lists ? IsOvertaken(*lists) : call.id < m_newest_answered) {
    return;
  }
  if (!lists) {
    if (m_reachable) {
      CountChange();
    }
    m_reachable = false;
    m_failing_since = m_failing_since.value_or(m_clock.Now());
    m_newest_failed = std::max(m_newest_failed, call.id);
    m_next_hold_at = m_clock.Now() + m_settings.retry_delay;
    return;
  }
  m_newest_answered = std::max(m_newest_answered, call.id);
  ++m_lists_applied;
  const bool reachable = call.id > m_newest_failed;
  if (reachable != m_reachable) {
    CountChange();
  }
  m_reachable = reachable;
  ApplyLists(call, *lists);
  m_failing_since.reset();
  UpdateTrials(*lists);
  if (HasUnrecordedEnds()) {
    m_next_hold_at = m_clock.Now() + m_settings.retry_delay;
  }
}

bool HostSupervisor::IsOvertaken(const WorkerLists& lists) const {
  if (!m_incarnation || lists.incarnation > *m_incarnation) {
    return false;
  }
  return lists.incarnation < *m_incarnation || lists.clock < m_worker_clock;
}

std::uint64_t HostSupervisor::EndsToForget() const {
  // A worker that does not answer may have crashed; its next incarnation
  // numbers ended runs from 1 again, so that an old number would drop
  // unrecorded ends.
  const bool listed =
      !m_ended.empty() && m_ended.front().number <= m_recorded_ends;
  return listed && m_reachable ? m_recorded_ends : 0;
}

bool HostSupervisor::HasUnrecordedEnds() const {
  return !m_ended.empty() && m_ended.back().number > m_recorded_ends;
}

void HostSupervisor::ApplyLists(const HoldCall& call,
                                const WorkerLists& lists) {
  AdoptIncarnation(lists.incarnation);
  m_worker_clock = lists.clock;
  m_worker_clock_at = m_clock.Now();
  std::map<TaskRun, ListedRun> running;
  for (const RunningTask& task : lists.running) {
    const auto known = m_running.find(task.id);
    const bool is_known = known != m_running.end();
    const std::uint64_t event = is_known ? known->second.shown_by_event : 0;
    running[task.id] =
        ListedRun{task, std::max(event, call.id),
                  is_known ? known->second.since : m_clock.Now()};
  }
  for (const auto& [id, listed] : m_running) {
    const bool ended =
        std::any_of(lists.ended.begin(), lists.ended.end(),
                    [&](const EndedTask& end) { return end.id == id; });
    if (listed.shown_by_event > call.id && !ended) {
      running.try_emplace(id, listed);
    }
  }
  m_running = std::move(running);
  const bool new_ends =
      !lists.ended.empty() &&
      (m_ended.empty() || lists.ended.back().number > m_ended.back().number);
  m_ended = lists.ended;
  m_more_ends = lists.more_ends;
  ClearListedSuspects(lists);
  ResolveUnanswered(lists);
  const bool newly_listed = !m_listed && call.token == m_epoch;
  m_listed = m_listed || newly_listed;
  if (new_ends || newly_listed) {
    CountChange();
  }
}

void HostSupervisor::ResolveUnanswered(const WorkerLists& lists) {
  for (auto& [id, start] : m_starts) {
    if (start.phase != StartPhase::kUnanswered) {
      continue;
    }
    const bool ended =
        std::any_of(lists.ended.begin(), lists.ended.end(),
                    [&id = id](const EndedTask& end) { return end.id == id; });
    if (m_running.contains(id) || ended) {
      Resolve(start, OrderOutcome::kStarted);
    } else if (!lists.more_ends &&
               lists.clock.milliseconds >
                   start.not_after.milliseconds + kDeadlineMarginMs) {
      m_trials.erase(id);
      Resolve(start, OrderOutcome::kRefused);
    }
  }
}

void HostSupervisor::GiveUpUnanswered() {
  if (!LeaseExpired()) {
    return;
  }
  for (auto& [id, start] : m_starts) {
    if (start.phase == StartPhase::kUnanswered &&
        m_clock.Now() - start.sent_at > m_settings.max_call_delay) {
      Resolve(start, OrderOutcome::kRefused);
    }
  }
}

void HostSupervisor::UpdateTrials(const WorkerLists& lists) {
  for (const RunningTask& task : lists.running) {
    const auto trial = m_trials.find(task.id);
    if (trial != m_trials.end() && !trial->second.shown_at) {
      trial->second.shown_at = lists.clock;
    }
  }
  for (auto entry = m_trials.begin(); entry != m_trials.end();) {
    auto& [id, trial] = *entry;
    const auto start = m_starts.find(id);
    const bool may_begin =
        start != m_starts.end() && start->second.phase != StartPhase::kResolved;
    const bool running = m_running.contains(id);
    const bool survived =
        running && trial.shown_at &&
        lists.clock.milliseconds - trial.shown_at->milliseconds >=
            m_settings.trial.count();
    if (!survived && (running || may_begin)) {
      ++entry;
      continue;
    }
    if (trial.suspected) {
      CountChange();
    }
    entry = m_trials.erase(entry);
  }
}

void HostSupervisor::RestartTrials() {
  std::erase_if(m_trials, [this](const auto& entry) {
    return !m_running.contains(entry.first);
  });
  for (auto& [id, trial] : m_trials) {
    trial.shown_at.reset();
  }
}

bool HostSupervisor::TrialDue() const {
  return m_reachable &&
         std::any_of(m_trials.begin(), m_trials.end(), [&](const auto& entry) {
           const Trial& trial = entry.second;
           return trial.shown_at &&
                  WorkerNow().milliseconds - trial.shown_at->milliseconds >=
                      m_settings.trial.count();
         });
}

void HostSupervisor::ClearListedSuspects(const WorkerLists& lists) {
  if (!m_crash) {
    return;
  }
  const auto is_listed = [&lists](const TaskRun& id) {
    const auto matches = [&id](const auto& row) { return row.id == id; };
    return std::any_of(lists.running.begin(), lists.running.end(), matches) ||
           std::any_of(lists.ended.begin(), lists.ended.end(), matches);
  };
  std::erase_if(m_crash->suspects, is_listed);
  std::erase_if(m_crash->unconfirmed, is_listed);
  std::erase_if(m_crash->interrupted,
                [&](const InterruptedRun& run) { return is_listed(run.id); });
}

void HostSupervisor::RecordCrash(const WorkerIncarnation& ended) {
  const auto facts = m_facts.find(ended);
  if (facts != m_facts.end() && facts->second.first.draining) {
    return;
  }
  m_crash = WorkerCrash{ended, {}, {}, {}};
  for (const auto& [id, trial] : m_trials) {
    (trial.shown_at ? m_crash->suspects : m_crash->unconfirmed).push_back(id);
  }
  const Instant gone = m_failing_since.value_or(m_clock.Now());
  for (const auto& [id, listed] : m_running) {
    if (!m_trials.contains(id)) {
      m_crash->interrupted.push_back(
          InterruptedRun{id, std::max(gone - listed.since, Duration(0))});
    }
  }
  m_crash_seen_at = m_clock.Now();
}

void HostSupervisor::Resolve(Start& start, OrderOutcome outcome) {
  start.phase = StartPhase::kResolved;
  start.outcome = outcome;
  start.resolved_at = m_clock.Now();
  CountChange();
}

void HostSupervisor::SettleStopsBefore(const HoldCall& call) {
  for (auto& [id, stop] : m_stops) {
    if (stop.answered && !stop.settled && call.id > stop.answered_event) {
      Settle(stop);
    }
  }
}

void HostSupervisor::SettleExpiredStops() {
  if (!LeaseExpired()) {
    return;
  }
  for (auto& [id, stop] : m_stops) {
    const auto start = m_starts.find(id);
    const bool may_begin =
        start != m_starts.end() && start->second.phase != StartPhase::kResolved;
    if (!stop.settled && !may_begin) {
      Settle(stop);
    }
  }
}

void HostSupervisor::Settle(Stop& stop) {
  stop.settled = true;
  stop.settled_at = m_clock.Now();
  CountChange();
}

void HostSupervisor::OnStartAnswered(const StartCall& call,
                                     StartAnswer answer,
                                     std::optional<WorkerInstant> clock) {
  const auto found = m_starts.find(call.order.id);
  if (found == m_starts.end()) {
    return;
  }
  Start& start = found->second;
  if (answer != StartAnswer::kStarted && answer != StartAnswer::kUnanswered) {
    m_trials.erase(call.order.id);
  }
  switch (answer) {
    case StartAnswer::kStarted:
      m_running[call.order.id] =
          ListedRun{RunningTask{call.order.id, call.order.resume_from, 0, 0},
                    ++m_events, m_clock.Now()};
      ShowStarted(call.order.id, clock);
      Resolve(start, OrderOutcome::kStarted);
      break;
    case StartAnswer::kNoRoom:
      Resolve(start, OrderOutcome::kNoCapacity);
      break;
    case StartAnswer::kNoTicket:
      Resolve(start, OrderOutcome::kNoTicket);
      break;
    case StartAnswer::kFenced:
    case StartAnswer::kStaleRun:
    case StartAnswer::kTooLate:
    case StartAnswer::kUnhealthy:
    case StartAnswer::kInvalid:
    case StartAnswer::kOtherWorker:
    case StartAnswer::kUnreachable:
      Resolve(start, OrderOutcome::kRefused);
      break;
    case StartAnswer::kUnanswered:
      start.phase = StartPhase::kUnanswered;
      m_urgent_hold = true;
      break;
  }
}

void HostSupervisor::ShowStarted(const TaskRun& id,
                                 std::optional<WorkerInstant> clock) {
  const auto trial = m_trials.find(id);
  // The clock of the next incarnation, which may have begun it, begins anew.
  const bool next_incarnation = clock && *clock < m_worker_clock;
  if (trial == m_trials.end() || trial->second.shown_at || next_incarnation) {
    return;
  }
  trial->second.shown_at = clock.value_or(WorkerNow());
}

void HostSupervisor::OnStopAnswered(const StopCall& call, bool answered) {
  const auto found = m_stops.find(call.id);
  if (found == m_stops.end()) {
    return;
  }
  found->second.sent = false;
  found->second.answered = answered;
  if (answered) {
    found->second.answered_event = m_events;
    m_urgent_hold = true;
  }
}

void HostSupervisor::OnPaceAnswered(const PaceCall& call, bool answered) {
  const auto found = m_paces.find(call.order.id);
  if (found == m_paces.end() ||
      found->second.order.percent != call.order.percent) {
    return;
  }
  if (answered || !m_running.contains(call.order.id)) {
    m_paces.erase(found);
  } else {
    found->second.sent = false;
  }
}

std::vector<WorkerCall> HostSupervisor::TakeCalls() {
  ForgetOldResults();
  GiveUpUnanswered();
  SettleExpiredStops();
  std::vector<WorkerCall> calls;
  for (auto& [id, stop] : m_stops) {
    if (!stop.sent && !stop.answered && m_reachable) {
      stop.sent = true;
      calls.emplace_back(StopCall{id, worker_id(), m_epoch});
    }
  }
  for (auto& [id, start] : m_starts) {
    if (start.phase != StartPhase::kWaiting || !m_listed) {
      continue;
    }
    if (!MayStart(start) || m_stops.contains(id)) {
      Resolve(start, OrderOutcome::kRefused);
      continue;
    }
    start.phase = StartPhase::kSent;
    start.sent_at = m_clock.Now();
    start.not_after = WorkerInstant{WorkerNow().milliseconds +
                                    m_settings.times.start_validity.count()};
    // The worker extends the lease of all its runs to the deadline of a start.
    m_requested_lease_end = std::max(
        m_requested_lease_end, m_clock.Now() + m_settings.times.start_validity);
    m_trials[id] = Trial{std::nullopt, start.order.trial};
    calls.emplace_back(
        StartCall{start.order, worker_id(), m_epoch, start.not_after});
  }
  for (auto& [id, pace] : m_paces) {
    if (!pace.sent && m_reachable) {
      pace.sent = true;
      calls.emplace_back(PaceCall{pace.order, worker_id(), m_epoch});
    }
  }
  if (auto hold = NextHold()) {
    calls.emplace_back(std::move(*hold));
  }
  return calls;
}

std::optional<HoldCall> HostSupervisor::NextHold() {
  if (TrialDue() && m_clock.Now() >= m_next_trial_hold_at) {
    m_urgent_hold = true;
    m_next_trial_hold_at = m_clock.Now() + m_settings.retry_delay;
  }
  const bool due =
      m_urgent_hold || (!m_hold_in_flight && m_clock.Now() >= m_next_hold_at);
  if (!due) {
    return std::nullopt;
  }
  HoldCall call;
  call.id = ++m_events;
  call.token = m_epoch;
  call.recorded_ends = EndsToForget();
  // Until the worker is reachable a hold must not wait, as nothing is known
  // yet. A worker that lists unrecorded ends answers without waiting for more.
  call.wait = m_urgent_hold || !m_reachable || HasUnrecordedEnds()
                  ? Duration(0)
                  : m_settings.hold_wait;
  // A worker whose answers are lost may still receive calls. Its lease must not
  // be extended, or nobody could tell when its tasks have ended.
  const auto until = m_reachable ? LeaseUntil() : std::nullopt;
  if (until) {
    call.lease_until = *until;
    m_requested_lease_end = std::max(m_requested_lease_end,
                                     m_granted_stamp + m_settings.times.lease);
  }
  m_urgent_hold = false;
  if (call.wait.count() > 0) {
    m_hold_in_flight = true;
  } else {
    m_next_hold_at = m_clock.Now() + m_settings.retry_delay;
  }
  return call;
}

std::optional<WorkerInstant> HostSupervisor::LeaseUntil() const {
  if (!m_incarnation || m_worker_clock_at == Instant() || !m_listed) {
    return std::nullopt;
  }
  const Instant until = m_granted_stamp + m_settings.times.lease;
  const Duration ahead = until - m_worker_clock_at;
  if (until <= m_clock.Now()) {
    return std::nullopt;
  }
  const auto on_worker_clock = static_cast<std::int64_t>(
      static_cast<double>(ahead.count()) / m_settings.times.max_clock_slowdown);
  return WorkerInstant{m_worker_clock.milliseconds + on_worker_clock};
}

WorkerInstant HostSupervisor::WorkerNow() const {
  return WorkerInstant{m_worker_clock.milliseconds +
                       (m_clock.Now() - m_worker_clock_at).count()};
}

bool HostSupervisor::MayStart(const Start& start) const {
  const Instant until = start.granted_stamp + m_settings.times.lease;
  const bool draining = m_incarnation && m_facts.contains(*m_incarnation) &&
                        m_facts.at(*m_incarnation).first.draining;
  return m_reachable && !draining &&
         until > m_clock.Now() + m_settings.times.start_validity;
}

bool HostSupervisor::LeaseExpired() const {
  return !m_reachable &&
         m_clock.Now() > m_requested_lease_end + m_settings.times.expiry_margin;
}

std::string HostSupervisor::worker_id() const {
  const auto facts =
      m_incarnation ? m_facts.find(*m_incarnation) : m_facts.end();
  return facts == m_facts.end() ? std::string() : facts->second.first.worker;
}

void HostSupervisor::ForgetOldResults() {
  const Instant now = m_clock.Now();
  std::erase_if(m_starts, [&](const auto& entry) {
    return entry.second.phase == StartPhase::kResolved &&
           now - entry.second.resolved_at > kResultRepeatPeriod;
  });
  std::erase_if(m_stops, [&](const auto& entry) {
    return entry.second.settled &&
           now - entry.second.settled_at > kResultRepeatPeriod;
  });
  if (m_crash && now - m_crash_seen_at > kResultRepeatPeriod) {
    m_crash.reset();
  }
}

HostReport HostSupervisor::MakeReport() {
  ++m_sequence;
  return Snapshot();
}

HostReport HostSupervisor::Snapshot() const {
  HostReport report;
  report.agent = m_agent;
  report.sequence = m_sequence;
  report.stamp = m_clock.Now();
  report.epoch = m_epoch;
  report.incarnation = m_incarnation;
  const auto facts =
      m_incarnation ? m_facts.find(*m_incarnation) : m_facts.end();
  if (facts != m_facts.end()) {
    report.facts = facts->second.first;
  }
  report.listed = m_listed;
  report.list_number = m_lists_applied;
  report.worker_reachable = m_reachable;
  report.lease_expired = LeaseExpired();
  for (const auto& [id, listed] : m_running) {
    report.running.push_back(listed.task);
  }
  for (const EndedTask& ended : m_ended) {
    if (ended.number > m_recorded_ends) {
      report.ended.push_back(ended);
    }
  }
  report.more_ends = m_more_ends;
  for (const auto& [id, trial] : m_trials) {
    report.unproven.push_back(id);
  }
  report.crash = m_crash;
  for (const auto& [id, start] : m_starts) {
    if (start.phase == StartPhase::kResolved) {
      report.results.push_back(OrderResult{id, start.outcome});
    }
  }
  for (const auto& [id, stop] : m_stops) {
    if (stop.settled) {
      report.results.push_back(OrderResult{id, OrderOutcome::kStopped});
    }
  }
  return report;
}

}  // namespace zinniacart

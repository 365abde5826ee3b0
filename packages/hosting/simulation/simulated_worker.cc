#include "hosting/simulation/simulated_worker.h"

#include <algorithm>

namespace zinniacart::simulation {
namespace {

constexpr std::int64_t kMaxLeaseMs = 10000;
constexpr int kMinRunMs = 200;
constexpr int kMaxRunMs = 9000;
constexpr std::int64_t kMemoryMb = 8000;
/// How much longer a run of a perpetual task lasts than others.
constexpr int kPerpetualRunFactor = 20;
/// Steady runs take this time and a part of the time of other runs.
constexpr Duration kSteadyRun{700};
constexpr int kSteadyRunSpread = 15;
/// Measures of a perpetual task, which is ready as soon as it is at work.
constexpr int kReadyPercent = 100;
constexpr std::int64_t kTailLatencyMs = 20;
constexpr int kSlowRunFactor = 8;
/// A checkpoint is saved each time this share of the work is done, in percent.
constexpr int kCheckpointPercent = 25;

}  // namespace

SimulatedWorker::SimulatedWorker(HostId host,
                                 TaskOracle& oracle,
                                 WorkerFaults faults,
                                 double clock_speed,
                                 std::uint64_t seed)
    : m_host(std::move(host)),
      m_oracle(oracle),
      m_faults(faults),
      m_clock_speed(clock_speed),
      m_random(seed) {}

WorkerInstant SimulatedWorker::Now() const {
  return WorkerInstant{static_cast<std::int64_t>(m_clock_ms)};
}

void SimulatedWorker::Advance(Duration duration) {
  m_clock_ms += static_cast<double>(duration.count()) * m_clock_speed;
  const bool expired =
      Now().milliseconds > m_lease_until_ms && !m_faults.ignores_leases;
  const auto runs = m_runs;
  for (const auto& [id, run] : runs) {
    if (run.crashes && run.total - run.left >= m_faults.crash_after) {
      return Crash();
    }
    if (expired) {
      End(id, EndKind::kLeaseExpired);
    } else {
      Work(id, m_runs[id], duration);
    }
  }
}

void SimulatedWorker::Work(const TaskRun& id, Run& run, Duration duration) {
  run.left -= duration;
  if (run.left <= Duration(0)) {
    const bool fails =
        std::bernoulli_distribution(m_faults.failure_probability)(m_random);
    return End(id, fails ? EndKind::kFailed : EndKind::kDone);
  }
  if (run.until_stopped && (*run.until_stopped -= duration) <= Duration(0)) {
    End(id, EndKind::kStopped);
  }
}

void SimulatedWorker::End(const TaskRun& id, EndKind how) {
  const CheckpointId checkpoint = CheckpointOf(id, m_runs[id]);
  m_runs.erase(id);
  m_newest_closed_run[id.task] = std::max(m_newest_closed_run[id.task], id.run);
  m_ended.push_back(EndedTask{++m_last_end_number, id, how, checkpoint});
  m_ended_at[m_last_end_number] = m_oracle.now();
  m_oracle.OnEnded(id, m_host, how);
}

void SimulatedWorker::SetCapacity(std::int64_t millicores, Instant settled_at) {
  m_millicores = millicores;
  m_capacity_settled_at = settled_at;
}

void SimulatedWorker::Crash() {
  for (const auto& [id, run] : m_runs) {
    m_oracle.OnCrashed(id, run.crashes);
    m_oracle.OnEnded(id, m_host, EndKind::kLeaseExpired);
  }
  m_runs.clear();
  m_newest_closed_run.clear();
  m_ended.clear();
  m_ended_at.clear();
  m_last_end_number = 0;
  m_announcements = 0;
  m_fence = Epoch();
  m_lease_until_ms = 0;
  if (m_faults.clock_restarts) {
    m_clock_ms = 0;
  }
  m_incarnation = WorkerIncarnation(m_incarnation.value() + 1);
}

std::int64_t SimulatedWorker::FreeMillicores() const {
  std::int64_t free = m_millicores;
  for (const auto& [id, run] : m_runs) {
    const StepSpec& step = m_oracle.StepOf(id.task);
    free -= step.best_effort ? 0 : step.demand.millicores;
  }
  return free;
}

bool SimulatedWorker::Runs(const TaskKey& task) const {
  return std::any_of(m_runs.begin(), m_runs.end(), [&](const auto& entry) {
    return entry.first.task == task;
  });
}

bool SimulatedWorker::RunsTaskOfStep(const TaskKey& task) const {
  return std::any_of(m_runs.begin(), m_runs.end(), [&](const auto& entry) {
    return entry.first.task.First() == task.First();
  });
}

std::optional<Instant> SimulatedWorker::OldestUnrecordedEnd() const {
  return m_ended_at.empty() ? std::nullopt
                            : std::optional(m_ended_at.begin()->second);
}

bool SimulatedWorker::Fenced(Epoch token) {
  if (token < m_fence) {
    return true;
  }
  m_fence = std::max(m_fence, token);
  return false;
}

Result<WorkerLists> SimulatedWorker::Hold(const HoldCall& call) {
  if (Fenced(call.token)) {
    return Fail(ErrorCode::kUnreachable, "fence");
  }
  const auto max_lease_until = Now().milliseconds + kMaxLeaseMs;
  m_lease_until_ms =
      std::max(m_lease_until_ms,
               std::min(max_lease_until, call.lease_until.milliseconds));
  for (const EndedTask& ended : m_ended) {
    if (ended.number <= call.recorded_ends) {
      m_oracle.OnEndRecorded(ended.id, ended.kind);
    }
  }
  std::erase_if(m_ended, [&](const EndedTask& ended) {
    return ended.number <= call.recorded_ends;
  });
  m_ended_at.erase(m_ended_at.begin(),
                   m_ended_at.upper_bound(call.recorded_ends));
  WorkerLists lists;
  lists.incarnation = m_incarnation;
  lists.clock = Now();
  lists.ended.assign(
      m_ended.begin(),
      m_ended.begin() + static_cast<std::ptrdiff_t>(std::min(
                            m_ended.size(), m_faults.max_ends_in_list)));
  lists.more_ends = lists.ended.size() >= m_faults.max_ends_in_list;
  for (const auto& [id, run] : m_runs) {
    lists.running.push_back(List(id, run));
  }
  return lists;
}

RunningTask SimulatedWorker::List(const TaskRun& id, const Run& run) const {
  if (run.perpetual) {
    return RunningTask{id, {}, kReadyPercent, kTailLatencyMs};
  }
  const Duration done = run.total - run.left;
  return RunningTask{
      id, CheckpointOf(id, run),
      m_faults.steady ? static_cast<int>(100 * done / run.total) : 0, 0};
}

CheckpointId SimulatedWorker::CheckpointOf(const TaskRun& id,
                                           const Run& run) const {
  if (!m_oracle.StepOf(id.task).checkpoints) {
    return {};
  }
  const auto percent = static_cast<int>(100 * (run.total - run.left) /
                                        std::max(run.total, Duration(1)));
  const int saved = percent / kCheckpointPercent * kCheckpointPercent;
  return saved == 0 ? run.resumed_from
                    : CheckpointId(id.task.ToString() + "-" +
                                   std::to_string(id.run.value()) + "-" +
                                   std::to_string(saved));
}

StartAnswer SimulatedWorker::Start(const StartCall& call) {
  if (Fenced(call.token)) {
    return StartAnswer::kFenced;
  }
  const TaskRun& id = call.order.id;
  if (m_runs.contains(id)) {
    return StartAnswer::kStarted;
  }
  const bool newer_runs =
      std::any_of(m_runs.begin(), m_runs.end(), [&id](const auto& entry) {
        return entry.first.task == id.task && entry.first.run > id.run;
      });
  if (newer_runs || m_newest_closed_run[id.task] >= id.run) {
    return StartAnswer::kStaleRun;
  }
  m_lease_until_ms = std::max(m_lease_until_ms, call.not_after.milliseconds);
  if (Now() > call.not_after && !m_faults.ignores_deadlines) {
    return StartAnswer::kTooLate;
  }
  constexpr std::size_t kMaxConcurrentRuns = 4;
  if (m_runs.size() >= kMaxConcurrentRuns && !m_faults.ignores_capacity) {
    return StartAnswer::kNoRoom;
  }
  m_oracle.OnStarted(id, m_host);
  if (m_faults.ignores_capacity) {
    std::vector<TaskKey> tasks{id.task};
    for (const auto& [running, run] : m_runs) {
      tasks.push_back(running.task);
    }
    m_oracle.CheckCapacity(tasks, m_host, m_millicores, m_capacity_settled_at);
  }
  m_runs[id].crashes = call.order.payload == kCrashingPayload;
  Run& run = m_runs[id];
  run.total = Duration(
      std::uniform_int_distribution<int>(kMinRunMs, kMaxRunMs)(m_random));
  run.perpetual = m_oracle.StepOf(id.task).perpetual;
  if (run.perpetual) {
    run.total *= kPerpetualRunFactor;
  } else if (m_faults.steady) {
    run.total = kSteadyRun + run.total / kSteadyRunSpread;
  }
  if (run.crashes) {
    run.total = std::max(run.total, m_faults.crash_after + Duration(1000));
  }
  if (m_faults.slow_runs > 0 &&
      std::bernoulli_distribution(m_faults.slow_runs)(m_random)) {
    run.total *= kSlowRunFactor;
  }
  run.resumed_from = call.order.resume_from;
  // A resumed run has half of its work left.
  run.left = run.resumed_from == CheckpointId() ? run.total : run.total / 2;
  return StartAnswer::kStarted;
}

bool SimulatedWorker::Stop(const StopCall& call) {
  if (Fenced(call.token)) {
    return false;
  }
  m_newest_closed_run[call.id.task] =
      std::max(m_newest_closed_run[call.id.task], call.id.run);
  const auto run = m_runs.find(call.id);
  if (run == m_runs.end()) {
    return true;
  }
  if (m_faults.stop_time == Duration(0)) {
    End(call.id, EndKind::kStopped);
  } else if (!run->second.until_stopped) {
    run->second.until_stopped = m_faults.stop_time;
  }
  return true;
}

WorkerFacts SimulatedWorker::Facts() const {
  WorkerFacts facts;
  facts.machine = MachineId("machine-" + m_host.value());
  facts.worker = "worker-" + m_host.value();
  facts.incarnation = m_incarnation;
  facts.domain = DomainId("domain");
  facts.service = ServiceId("service");
  facts.capacity = Resources{
      m_faults.hides_capacity ? kFullMillicores : m_millicores, kMemoryMb, 0};
  return facts;
}

}  // namespace zinniacart::simulation

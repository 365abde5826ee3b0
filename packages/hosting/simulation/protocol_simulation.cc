#include "hosting/simulation/protocol_simulation.h"

#include <algorithm>
#include <string>
#include <utility>

#include "hosting/simulation/varied_jobs.h"

namespace zinniacart::simulation {
namespace {

constexpr Duration kTick{10};
constexpr Duration kAnnouncementInterval{1000};
/// Promises with a time limit hold after this time without a disturbance.
constexpr Duration kContact{3000};
/// An entry takes over after this time without an owner.
constexpr Duration kOwnerlessTimeout{600};
constexpr double kLossProbability = 0.01;
/// Per tick: 2.5 faults in a second of simulated time.
constexpr double kFaultProbability = 0.025;
/// Of calls to a worker, while the fault of late calls lasts.
constexpr double kLateProbability = 0.3;
constexpr Duration kMinLateness{2000};
constexpr Duration kMaxLateness{12000};

/// An end must be recorded within this time without a disturbance.
constexpr Duration kMaxEndAge{5000};
/// A perpetual task must run again this long after its last run, if there has
/// been room for it twice over for `kRoomTime`.
constexpr Duration kMaxPerpetualWait{9000};
constexpr Duration kRoomTime{3000};
/// Without faults for this long, the last two times hold.
constexpr Duration kCalmTime{7000};
/// How long the simulation goes on without faults at least.
constexpr Duration kMinCalmPeriod{25000};

/// When the waves begin, after the start, and how long each may take.
constexpr Duration kFirstWaveAt{8000};
constexpr Duration kSecondWaveAfterFaults{1000};
constexpr Duration kWaveDuration{40000};
/// A perpetual task is away once it has not been at work for this long.
constexpr Duration kNotice{1000};

/// The best-effort job beside perpetual ones, which may outlast the run.
const JobId kBatchJob("batch");

std::string EntryName(std::size_t entry) {
  return "entry-" + std::to_string(entry);
}

JobSpec RandomJobSpec(const std::function<int(int, int)>& draw) {
  JobSpec spec;
  spec.payload = "payload";
  const int steps = draw(1, 2);
  for (int number = 0; number < steps; ++number) {
    StepSpec step;
    step.count = static_cast<std::uint32_t>(draw(1, 4));
    step.demand = Resources{draw(200, 900), 100, 0};
    step.estimate = Duration(1000);
    if (number > 0) {
      step.after = {0};
    }
    spec.steps.push_back(step);
  }
  return spec;
}

}  // namespace

ProtocolSimulation::ProtocolSimulation(ProtocolSettings settings)
    : m_settings(settings), m_random(settings.seed) {
  m_clock.Advance(Duration(100000));
  constexpr double kSlowestClock = 0.98;
  for (int number = 0; number < settings.hosts; ++number) {
    const HostId host("host-" + std::to_string(number));
    m_workers[host] = std::make_unique<SimulatedWorker>(
        host, m_oracle, settings.worker, number % 2 ? kSlowestClock : 1.0,
        m_random());
    m_agents[host];
    m_machines.Add(m_workers[host]->Facts().machine);
  }
  SchedulerSettings scheduler;
  scheduler.times = settings.owner_times;
  scheduler.max_perpetual_wait = settings.max_perpetual_wait;
  for (int number = 0; number < settings.entries; ++number) {
    const std::string name = EntryName(number);
    m_entries.push_back(SimulatedEntry{
        std::make_unique<SimulatedOwner>(
            EntryId(name), scheduler, m_store, m_machines,
            [this, name](const std::string& to,
                         const std::function<void()>& action) {
              Send(name, to == name ? "store" : to, action);
            },
            [this, number](const HostId& host, const HostOrders& orders) {
              SendOrders(number, host, orders);
            },
            [this, name](const DecisionEvent& event) {
              const std::string decision = event.name;
              m_report.preempted += decision == "run preempted" ? 1 : 0;
              m_report.copied += decision == "run copied" ? 1 : 0;
              Trace(name + ": " + event.name + " " + event.run.task.ToString() +
                    " run " + std::to_string(event.run.run.value()) + " " +
                    event.host.value() + " " + event.detail);
            }),
        {}});
  }
}

ProtocolSimulation::~ProtocolSimulation() = default;

int ProtocolSimulation::Random(int min, int max) {
  return std::uniform_int_distribution<int>(min, max)(m_random);
}

bool ProtocolSimulation::Chance(double probability) {
  return std::bernoulli_distribution(probability)(m_random);
}

void ProtocolSimulation::Trace(const std::string& text) const {
  if (m_settings.trace) {
    m_settings.trace(std::to_string(m_clock.Now().milliseconds) + " " + text);
  }
}

ProtocolReport ProtocolSimulation::Run() {
  const Instant faults_end = m_clock.Now() + m_settings.fault_period;
  const Instant end = faults_end + m_settings.recovery_period;
  SubmitPerpetualJobs();
  while (m_clock.Now() < faults_end) {
    Tick(true);
  }
  m_cut_links.clear();
  for (auto& [host, worker] : m_workers) {
    worker->SetCapacity(kFullMillicores, m_clock.Now());
  }
  m_calm_since = m_clock.Now();
  for (auto& [host, agent] : m_agents) {
    m_calm_since = std::max(m_calm_since, agent.worker_down_until);
    m_calm_since = std::max(m_calm_since, agent.down_until);
    m_calm_since = std::max(m_calm_since, agent.frozen_until);
  }
  for (const SimulatedEntry& entry : m_entries) {
    m_calm_since = std::max(m_calm_since, entry.frozen_until);
  }
  m_calm_since = std::max(m_calm_since, m_late_calls_until + kMaxLateness);
  while (m_clock.Now() < end &&
         (!AllJobsEnded() || !m_machines.AllCompleted() ||
          m_clock.Now() - m_calm_since < kMinCalmPeriod)) {
    Tick(false);
    CheckCalm();
  }
  CheckOutcome();
  m_report.starts = m_oracle.starts();
  m_report.upkeeps = m_machines.upkeeps();
  return m_report;
}

void ProtocolSimulation::Tick(bool faulty) {
  m_clock.Advance(kTick);
  m_store.unavailable = faulty && m_clock.Now() < m_store_available_at;
  RunDueActions();
  for (auto& [host, worker] : m_workers) {
    worker->Advance(kTick);
  }
  for (auto& [host, agent] : m_agents) {
    RunAgent(host, agent);
  }
  for (SimulatedEntry& entry : m_entries) {
    entry.owner->Advance(kTick, m_clock.Now() < entry.frozen_until);
  }
  EnsureOwner();
  if (m_settings.waves) {
    DeclareWaves();
  }
  if (faulty && Chance(kFaultProbability)) {
    ++m_report.faults;
    InjectFault();
  }
  if (faulty && m_settings.capacity_changes && Chance(kFaultProbability)) {
    ChangeCapacity();
  }
  const Duration submission_period =
      m_settings.fault_period +
      (m_settings.perpetual_jobs > 0 ? kMinCalmPeriod : Duration(0));
  const Duration interval = submission_period / m_settings.jobs;
  if (m_submitted_jobs < m_settings.jobs &&
      m_clock.Now() >= Instant{100000} + interval * m_submitted_jobs) {
    SubmitJob(m_submitted_jobs++);
  }
}

void ProtocolSimulation::RunDueActions() {
  while (!m_scheduled_actions.empty() &&
         m_scheduled_actions.begin()->first <= m_clock.Now()) {
    const auto action =
        m_scheduled_actions.extract(m_scheduled_actions.begin()).mapped();
    action();
  }
}

void ProtocolSimulation::RunAfter(Duration delay,
                                  std::function<void()> action) {
  m_scheduled_actions.emplace(m_clock.Now() + delay, std::move(action));
}

bool ProtocolSimulation::Send(const std::string& entry,
                              const std::string& peer,
                              std::function<void()> action) {
  const auto cut = m_cut_links.find({entry, peer});
  if ((cut != m_cut_links.end() && m_clock.Now() < cut->second) ||
      Chance(kLossProbability)) {
    return false;
  }
  // A few messages are slow, so that later ones overtake them.
  const int max_delay_ms = Chance(0.05) ? 400 : 30;
  RunAfter(Duration(Random(1, max_delay_ms)), std::move(action));
  return true;
}

void ProtocolSimulation::RunAgent(const HostId& host, SimulatedAgent& agent) {
  const Instant now = m_clock.Now();
  if (now < agent.down_until) {
    return;
  }
  if (!agent.supervisor) {
    SupervisorSettings settings;
    settings.times = m_settings.agent_times;
    agent.supervisor = std::make_unique<HostSupervisor>(
        Incarnation(++agent.incarnations), settings, m_clock);
  }
  if (now < agent.frozen_until) {
    return;
  }
  if (!WorkerDown(host) && now - agent.announced_at >= kAnnouncementInterval) {
    agent.announced_at = now;
    SimulatedWorker& worker = *m_workers.at(host);
    agent.supervisor->OnAnnouncement(worker.Facts(), worker.NextAnnouncement());
  }
  for (const WorkerCall& call : agent.supervisor->TakeCalls()) {
    Call(host, call);
  }
}

template <typename Request, typename Handle, typename Answer>
void ProtocolSimulation::Exchange(const HostId& host,
                                  const Request& request,
                                  Handle handle,
                                  Answer answer) {
  const std::uint64_t agent_incarnation = m_agents.at(host).incarnations;
  const auto reply = [this, host, agent_incarnation,
                      answer](const auto& result) {
    SimulatedAgent& agent = m_agents.at(host);
    if (agent.supervisor && agent.incarnations == agent_incarnation) {
      answer(*agent.supervisor, result);
    }
  };
  if (WorkerDown(host)) {
    return RunAfter(Duration(1), [reply] { reply(std::nullopt); });
  }
  const auto worker_incarnation = m_workers.at(host)->Facts().incarnation;
  if (std::is_same_v<Request, HoldCall> &&
      m_agents.at(host).connected_to != worker_incarnation) {
    // The connection was closed when the worker crashed.
    m_agents.at(host).connected_to = worker_incarnation;
    return RunAfter(Duration(1), [reply] { reply(std::nullopt); });
  }
  const auto execute = [this, host, worker_incarnation, request, handle] {
    SimulatedWorker& worker = *m_workers.at(host);
    return std::make_pair(worker.Facts().incarnation == worker_incarnation,
                          handle(worker, request));
  };
  const bool late =
      m_clock.Now() < m_late_calls_until && Chance(kLateProbability);
  if (late || Chance(kLossProbability)) {
    if (late) {
      // Carry the call out seconds later, unless the worker restarts before.
      RunAfter(Duration(Random(static_cast<int>(kMinLateness.count()),
                               static_cast<int>(kMaxLateness.count()))),
               [this, host, worker_incarnation, request, handle] {
                 SimulatedWorker& worker = *m_workers.at(host);
                 if (worker.Facts().incarnation == worker_incarnation) {
                   handle(worker, request);
                 }
               });
    }
    constexpr Duration kCallTimeout{700};
    return RunAfter(kCallTimeout, [reply] { reply(std::nullopt); });
  }
  // Some calls are delayed in transit, so that later ones overtake them.
  constexpr double kSlowProbability = 0.1;
  Duration wait(Random(1, Chance(kSlowProbability) ? 500 : 10));
  if constexpr (std::is_same_v<Request, HoldCall>) {
    // The worker answers when a run ends or after the hold's wait.
    wait += Duration(Random(0, static_cast<int>(request.wait.count())));
  }
  RunAfter(wait, [this, execute, reply] {
    const auto outcome = execute();
    RunAfter(Duration(Random(1, Chance(m_settings.slow_answers) ? 300 : 10)),
             [reply, outcome] { reply(std::make_optional(outcome.second)); });
  });
}

void ProtocolSimulation::Call(const HostId& host, const WorkerCall& call) {
  if (const auto* hold = std::get_if<HoldCall>(&call)) {
    return Exchange(
        host, *hold,
        [](SimulatedWorker& worker, const HoldCall& worker_call) {
          return worker.Hold(worker_call);
        },
        [worker_call = *hold](HostSupervisor& agent,
                              const std::optional<Result<WorkerLists>>& lists) {
          agent.OnHoldAnswered(
              worker_call,
              lists ? *lists : Fail(ErrorCode::kOutcomeUnknown, "no answer"));
        });
  }
  if (const auto* start = std::get_if<StartCall>(&call)) {
    return Exchange(
        host, *start,
        [](SimulatedWorker& worker, const StartCall& worker_call) {
          const StartAnswer answer = worker.Start(worker_call);
          return std::make_pair(answer, worker.Now());
        },
        [worker_call = *start](
            HostSupervisor& agent,
            const std::optional<std::pair<StartAnswer, WorkerInstant>>&
                answer) {
          if (answer) {
            agent.OnStartAnswered(worker_call, answer->first, answer->second);
          } else {
            agent.OnStartAnswered(worker_call, StartAnswer::kUnanswered);
          }
        });
  }
  if (const auto* stop = std::get_if<StopCall>(&call)) {
    return Exchange(
        host, *stop,
        [](SimulatedWorker& worker, const StopCall& worker_call) {
          return worker.Stop(worker_call);
        },
        [worker_call = *stop](HostSupervisor& agent,
                              const std::optional<bool>& answered) {
          agent.OnStopAnswered(worker_call, answered.value_or(false));
        });
  }
}

void ProtocolSimulation::SendOrders(int entry,
                                    const HostId& host,
                                    const HostOrders& orders) {
  SimulatedOwner& owner = *m_entries[static_cast<std::size_t>(entry)].owner;
  const Epoch epoch = owner.epoch();
  const auto report_lost = [&owner, host, epoch] {
    if (owner.epoch() == epoch) {
      owner.OnOrdersLost(host);
    }
  };
  constexpr Duration kOrdersTimeout{700};
  const std::string name = EntryName(static_cast<std::size_t>(entry));
  const bool sent = Send(name, host.value(), [=, this, &owner] {
    SimulatedAgent& agent = m_agents.at(host);
    if (!agent.supervisor || m_clock.Now() < agent.frozen_until) {
      return RunAfter(kOrdersTimeout, report_lost);
    }
    const bool accepted = agent.supervisor->OnOrders(orders).has_value();
    const HostReport report = agent.supervisor->MakeReport();
    const bool replied = Send(name, host.value(), [=, &owner] {
      if (owner.epoch() != epoch) {
        return;
      }
      if (accepted) {
        owner.OnReport(host, report);
      } else {
        owner.OnDeposed();
      }
    });
    if (!replied) {
      RunAfter(kOrdersTimeout, report_lost);
    }
  });
  if (!sent) {
    RunAfter(kOrdersTimeout, report_lost);
  }
}

void ProtocolSimulation::InjectFault() {
  const Instant now = m_clock.Now();
  const Instant until = now + Duration(Random(200, 6000));
  const auto entry = static_cast<std::size_t>(
      Random(0, static_cast<int>(m_entries.size()) - 1));
  const HostId host("host-" + std::to_string(Random(0, m_settings.hosts - 1)));
  SimulatedAgent& agent = m_agents.at(host);
  const int fault = Random(0, 10);
  Trace("fault " + std::to_string(fault) + " " + EntryName(entry) + " " +
        host.value() + " until " + std::to_string(until.milliseconds));
  switch (fault) {
    case 0:
      // The link between an entry and an agent is cut.
      m_cut_links[{EntryName(entry), host.value()}] = until;
      break;
    case 1:
      // The link between an entry and the store is cut.
      m_cut_links[{EntryName(entry), "store"}] = until;
      break;
    case 2:
      // An entry is suspended.
      m_entries[entry].frozen_until = until;
      break;
    case 3:
      // An entry is killed: it loses its scheduling state.
      m_entries[entry].owner->OnDeposed();
      break;
    case 4:
      // An agent is killed and restarts later.
      agent.supervisor.reset();
      agent.down_until = until;
      m_agent_undisturbed_at[host] = until;
      break;
    case 5:
      // An agent is suspended.
      agent.frozen_until = until;
      m_agent_undisturbed_at[host] = until;
      break;
    case 6:
      m_workers.at(host)->Crash();
      if (m_settings.worker_outages) {
        agent.worker_down_until = until;
      }
      break;
    case 7:
      // The store is unavailable.
      m_store_available_at = until;
      break;
    case 8:
      // Calls to workers are carried out late.
      m_late_calls_until = until;
      break;
    case 9:
      CancelRandomJob();
      break;
    default:
      // Another entry takes over without the owner's knowledge.
      if (!m_store.unavailable) {
        ++m_report.takeovers;
        std::set<HostId> hosts;
        for (const auto& [id, simulated_agent] : m_agents) {
          hosts.insert(id);
        }
        m_entries[entry].owner->TakeOver(hosts);
      }
  }
}

void ProtocolSimulation::ChangeCapacity() {
  const HostId host("host-" + std::to_string(Random(0, m_settings.hosts - 1)));
  const int millicores = Random(0, kFullMillicores);
  Trace(host.value() + " has " + std::to_string(millicores) + " millicores");
  m_workers.at(host)->SetCapacity(
      millicores, m_clock.Now() + kContact + kAnnouncementInterval);
}

bool ProtocolSimulation::InTouch(const HostId& host) const {
  const auto undisturbed = m_agent_undisturbed_at.find(host);
  return m_clock.Now() >= m_store_available_at + kContact &&
         (undisturbed == m_agent_undisturbed_at.end() ||
          m_clock.Now() >= undisturbed->second + kContact);
}

void ProtocolSimulation::EnsureOwner() {
  const Instant now = m_clock.Now();
  const bool owned = std::any_of(
      m_entries.begin(), m_entries.end(), [this](const SimulatedEntry& entry) {
        return entry.owner->active() && entry.owner->epoch() == m_store.epoch;
      });
  if (owned || m_store.unavailable) {
    m_ownerless_since = now;
    return;
  }
  if (now - m_ownerless_since < kOwnerlessTimeout) {
    return;
  }
  ++m_report.takeovers;
  std::set<HostId> hosts;
  for (const auto& [id, simulated_agent] : m_agents) {
    hosts.insert(id);
  }
  const auto entry = static_cast<std::size_t>(
      Random(0, static_cast<int>(m_entries.size()) - 1));
  m_entries[entry].owner->TakeOver(hosts);
  Trace(EntryName(entry) + " takes over");
}

void ProtocolSimulation::SubmitJob(int number) {
  JobRecord record;
  record.id = JobId("job-" + std::to_string(number));
  record.queue = QueueId("queue");
  const auto draw = [this](int min, int max) { return Random(min, max); };
  if (m_settings.varied_jobs) {
    record.policy = VariedPolicy(draw);
    record.spec = VariedJobSpec(draw);
  } else {
    record.spec = RandomJobSpec(draw);
  }
  record.policy.service = ServiceId("service");
  record.policy.max_attempts = 3;
  if (m_settings.crashing_job_every > 0 &&
      number % m_settings.crashing_job_every == 0) {
    record.spec.payload = kCrashingPayload;
  }
  Store(record);
}

void ProtocolSimulation::Store(const JobRecord& record) {
  m_oracle.AddJob(record);
  m_store.jobs[record.id] = record;
  for (SimulatedEntry& entry : m_entries) {
    entry.owner->OnJobStored(record);
  }
}

void ProtocolSimulation::SubmitPerpetualJobs() {
  JobRecord record;
  record.queue = QueueId("queue");
  record.policy.service = ServiceId("service");
  record.policy.max_attempts = 3;
  for (int number = 0; number < m_settings.perpetual_jobs; ++number) {
    record.id = JobId("perpetual-" + std::to_string(number));
    StepSpec step;
    step.count = 2;
    step.demand = Resources{800, 100, 0};
    step.estimate = Duration(1000);
    step.perpetual = true;
    step.most_per_host = 1;
    step.disruption_budget = m_settings.disruption_budget;
    step.image = "serving";
    step.latency_target = Duration(100);
    record.spec.steps = {step};
    Store(record);
    for (std::uint32_t index = 0; index < step.count; ++index) {
      m_perpetual_tasks[TaskKey{record.id, 0, 0, index}] = {m_clock.Now(),
                                                            m_clock.Now()};
    }
  }
  if (m_settings.perpetual_jobs == 0) {
    return;
  }
  record.id = kBatchJob;
  record.policy.priority = 1;
  StepSpec step;
  step.count = 1;
  step.demand = Resources{400, 100, 0};
  step.estimate = Duration(1000);
  step.best_effort = true;
  step.image = "batch";
  constexpr std::uint32_t kSteps = 120;
  record.spec.steps = std::vector<StepSpec>(kSteps, step);
  for (std::uint32_t later = 1; later < kSteps; ++later) {
    record.spec.steps[later].after = {later - 1};
  }
  Store(record);
}

std::int64_t ProtocolSimulation::RoomFor(const TaskKey& task) const {
  std::int64_t room = 0;
  for (const auto& [host, worker] : m_workers) {
    // No two tasks of a perpetual step run on one host.
    const bool fits =
        worker->FreeMillicores() >= m_oracle.StepOf(task).demand.millicores;
    room += fits && !worker->RunsTaskOfStep(task) ? 1 : 0;
  }
  return room;
}

void ProtocolSimulation::CheckCalm() {
  const Instant now = m_clock.Now();
  for (const auto& [host, worker] : m_workers) {
    const auto ended = worker->OldestUnrecordedEnd();
    if (ended &&
        now - std::max(*ended, m_calm_since + kCalmTime) > kMaxEndAge) {
      throw Violation("an end at " + host.value() + " is not recorded after " +
                      std::to_string((now - *ended).count()) + " ms");
    }
  }
  for (const auto& [task, state] : m_perpetual_tasks) {
    CheckPerpetualTask(task);
  }
}

bool ProtocolSimulation::HasEnded(const JobId& job) const {
  return std::any_of(
      m_entries.begin(), m_entries.end(), [&](const SimulatedEntry& entry) {
        if (!entry.owner->active() || entry.owner->epoch() != m_store.epoch) {
          return false;
        }
        const auto& jobs = entry.owner->scheduler().jobs();
        const auto found = jobs.find(job);
        return found != jobs.end() && !found->second->active();
      });
}

void ProtocolSimulation::CheckPerpetualTask(const TaskKey& task) {
  const Instant now = m_clock.Now();
  PerpetualTask& state = m_perpetual_tasks.at(task);
  if (m_oracle.IsRunning(task) || !m_oracle.HasRun(task) ||
      HasEnded(task.job)) {
    state.last_run = now;
  }
  if (RoomFor(task) < 2) {
    state.cramped_last = now;
  }
  if (now - m_calm_since > kCalmTime &&
      now - state.last_run > kMaxPerpetualWait &&
      now - state.cramped_last > kRoomTime) {
    throw Violation(task.ToString() + " has not run for " +
                    std::to_string((now - state.last_run).count()) +
                    " ms though there is room for it");
  }
}

void ProtocolSimulation::CancelRandomJob() {
  if (m_submitted_jobs == 0) {
    return;
  }
  const JobId job("job-" + std::to_string(Random(0, m_submitted_jobs - 1)));
  m_store.cancelled.insert(job);
  for (SimulatedEntry& entry : m_entries) {
    entry.owner->OnJobCancelled(job);
  }
}

bool ProtocolSimulation::AllJobsEnded() const {
  for (const SimulatedEntry& entry : m_entries) {
    if (!entry.owner->active() || entry.owner->epoch() != m_store.epoch) {
      continue;
    }
    const auto& jobs = entry.owner->scheduler().jobs();
    return std::all_of(
        m_store.jobs.begin(), m_store.jobs.end(), [&](const auto& row) {
          const auto found = jobs.find(row.first);
          return row.second.spec.perpetual() || row.first == kBatchJob ||
                 (found != jobs.end() &&
                  IsTerminal(found->second->visible_state()));
        });
  }
  return false;
}

void ProtocolSimulation::DeclareWaves() {
  const Instant start{100000};
  const Instant first = start + kFirstWaveAt;
  const Instant second =
      start + m_settings.fault_period + kSecondWaveAfterFaults;
  const std::size_t due =
      (m_clock.Now() >= first ? 1 : 0) + (m_clock.Now() >= second ? 1 : 0);
  if (m_machines.waves().size() < due) {
    WaveSpec wave{WaveId(due), {}, kWaveDuration, 1};
    for (const auto& [host, worker] : m_workers) {
      wave.machines.push_back(worker->Facts().machine);
    }
    m_machines.Declare(wave);
    auto told = m_machines.waves();
    for (auto& [id, declared] : told) {
      declared.max_down = m_settings.max_down;
    }
    for (SimulatedEntry& entry : m_entries) {
      entry.owner->SetWaves(told);
    }
  }
  for (const auto& [task, state] : m_perpetual_tasks) {
    if (m_oracle.IsRunning(task)) {
      m_last_at_work[task] = m_clock.Now();
    }
  }
}

void ProtocolSimulation::BeginUpkeep(const MachineId& machine) {
  for (auto& [host, worker] : m_workers) {
    if (worker->Facts().machine != machine) {
      continue;
    }
    for (const auto& [task, state] : m_perpetual_tasks) {
      if (!worker->Runs(task)) {
        continue;
      }
      for (const auto& [other, its_state] : m_perpetual_tasks) {
        if (other.First() == task.First() && other != task &&
            (worker->Runs(other) ||
             m_clock.Now() - m_last_at_work[other] > kNotice)) {
          throw Violation("the upkeep of " + machine.value() + " ends " +
                          task.ToString() + " while " + other.ToString() +
                          " is away");
        }
      }
    }
    Trace("upkeep of " + machine.value());
    worker->Crash();
    m_agents.at(host).worker_down_until =
        m_clock.Now() + SimulatedMachines::kMaintenance;
  }
}

void ProtocolSimulation::CheckOutcome() {
  if (!m_machines.AllCompleted()) {
    throw Violation("a wave was not completed in the recovery period");
  }
  if (!AllJobsEnded()) {
    throw Violation("accepted jobs did not end in the recovery period");
  }
  for (const SimulatedEntry& entry : m_entries) {
    if (!entry.owner->active() || entry.owner->epoch() != m_store.epoch) {
      continue;
    }
    for (const auto& [id, job] : entry.owner->scheduler().jobs()) {
      const bool completed = job->visible_state() == JobState::kCompleted;
      m_report.completed += completed ? 1 : 0;
      const bool failed = job->visible_state() == JobState::kFailed;
      const bool crashing = job->spec().payload == kCrashingPayload;
      m_report.given_up += failed && crashing ? 1 : 0;
      if (failed && !m_oracle.MayBeGivenUp(id)) {
        throw Violation(id.value() +
                        " is reported as failed, but no task has failed");
      }
      if (failed && !crashing && !m_oracle.AnyFailure(id)) {
        ++m_report.sound_given_up;
      }
      if (completed && !m_oracle.AllTasksDone(id)) {
        throw Violation(id.value() +
                        " is reported as completed, but a task is not done");
      }
    }
  }
}

}  // namespace zinniacart::simulation

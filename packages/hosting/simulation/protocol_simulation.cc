#include "hosting/simulation/protocol_simulation.h"

#include <algorithm>
#include <utility>

namespace zinniacart::simulation {
namespace {

constexpr Duration kTick{10};
constexpr Duration kAnnounceEvery{1000};
constexpr Duration kOwnerlessFor{600};
constexpr double kLossShare = 0.01;
constexpr double kFaultShare = 0.025;  ///< Of the ticks: four a second.
constexpr double kLateShare = 0.3;

std::string EntryName(std::size_t entry) {
  return "entry-" + std::to_string(entry);
}

JobSpec DrawSpec(const std::function<int(int, int)>& draw) {
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
  }
  SchedulerSettings scheduler;
  scheduler.times = settings.owner_times;
  for (int number = 0; number < settings.entries; ++number) {
    const std::string name = EntryName(number);
    m_entries.push_back(EntryNode{
        std::make_unique<SimulatedOwner>(
            EntryId(name), scheduler, m_store,
            [this, name](const std::string& to,
                         const std::function<void()>& action) {
              Send(name, to == name ? "store" : to, action);
            },
            [this, number](const HostId& host, const HostOrders& orders) {
              SendOrders(number, host, orders);
            },
            [this, name](const DecisionEvent& event) {
              Trace(name + ": " + event.name + " " + event.run.task.ToString() +
                    " run " + std::to_string(event.run.run.value()) + " " +
                    event.host.value() + " " + event.detail);
            }),
        {}});
  }
}

ProtocolSimulation::~ProtocolSimulation() = default;

int ProtocolSimulation::Random(int least, int most) {
  return std::uniform_int_distribution<int>(least, most)(m_random);
}

bool ProtocolSimulation::Chance(double share) {
  return std::bernoulli_distribution(share)(m_random);
}

void ProtocolSimulation::Trace(const std::string& text) const {
  if (m_settings.trace) {
    m_settings.trace(std::to_string(m_clock.Now().milliseconds) + " " + text);
  }
}

ProtocolReport ProtocolSimulation::Run() {
  const Instant quiet_from = m_clock.Now() + m_settings.faulty_time;
  const Instant end = quiet_from + m_settings.quiet_time;
  while (m_clock.Now() < quiet_from) {
    Tick(true);
  }
  m_cuts.clear();
  while (m_clock.Now() < end && !AllEnded()) {
    Tick(false);
  }
  CheckOutcome();
  m_report.starts = m_oracle.starts();
  return m_report;
}

void ProtocolSimulation::Tick(bool faulty) {
  m_clock.Advance(kTick);
  m_store.away = faulty && m_clock.Now() < m_store_back;
  Deliver();
  for (auto& [host, worker] : m_workers) {
    worker->Advance(kTick);
  }
  for (auto& [host, agent] : m_agents) {
    RunAgent(host, agent);
  }
  for (EntryNode& entry : m_entries) {
    entry.owner->Advance(kTick, m_clock.Now() < entry.frozen_until);
  }
  KeepAnOwner();
  if (faulty && Chance(kFaultShare)) {
    ++m_report.faults;
    InjectFault();
  }
  const Duration between = m_settings.faulty_time / m_settings.jobs;
  if (m_jobs < m_settings.jobs &&
      m_clock.Now() >= Instant{100000} + between * m_jobs) {
    SubmitJob(m_jobs++);
  }
}

void ProtocolSimulation::Deliver() {
  while (!m_messages.empty() && m_messages.begin()->first <= m_clock.Now()) {
    const auto action = m_messages.extract(m_messages.begin()).mapped();
    action();
  }
}

void ProtocolSimulation::Later(Duration delay, std::function<void()> action) {
  m_messages.emplace(m_clock.Now() + delay, std::move(action));
}

bool ProtocolSimulation::Send(const std::string& a,
                              const std::string& b,
                              std::function<void()> action) {
  const auto cut = m_cuts.find({a, b});
  if ((cut != m_cuts.end() && m_clock.Now() < cut->second) ||
      Chance(kLossShare)) {
    return false;
  }
  // Some messages are overtaken by others.
  const int slowest = Chance(0.05) ? 400 : 30;
  Later(Duration(Random(1, slowest)), std::move(action));
  return true;
}

void ProtocolSimulation::RunAgent(const HostId& host, AgentNode& agent) {
  const Instant now = m_clock.Now();
  if (now < agent.down_until) {
    return;
  }
  if (!agent.supervisor) {
    SupervisorSettings settings;
    settings.times = m_settings.agent_times;
    agent.supervisor = std::make_unique<HostSupervisor>(
        Incarnation(++agent.boots), settings, m_clock);
  }
  if (now < agent.frozen_until) {
    return;
  }
  if (now - agent.announced_at >= kAnnounceEvery) {
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
  const std::uint64_t boot = m_agents.at(host).boots;
  const auto reply = [this, host, boot, answer](const auto& result) {
    AgentNode& agent = m_agents.at(host);
    if (agent.supervisor && agent.boots == boot) {
      answer(*agent.supervisor, result);
    }
  };
  const auto life = m_workers.at(host)->Facts().incarnation;
  if (std::is_same_v<Request, HoldCall> &&
      m_agents.at(host).connected_to != life) {
    // The connection broke when the worker crashed.
    m_agents.at(host).connected_to = life;
    return Later(Duration(1), [reply] { reply(std::nullopt); });
  }
  const auto carry_out = [this, host, life, request, handle] {
    SimulatedWorker& worker = *m_workers.at(host);
    return std::make_pair(worker.Facts().incarnation == life,
                          handle(worker, request));
  };
  const bool late = m_clock.Now() < m_late_orders_until && Chance(kLateShare);
  if (late || Chance(kLossShare)) {
    if (late) {
      // Carried out seconds later, unless the worker's life ends before.
      Later(Duration(Random(2000, 12000)), [this, host, life, request, handle] {
        SimulatedWorker& worker = *m_workers.at(host);
        if (worker.Facts().incarnation == life) {
          handle(worker, request);
        }
      });
    }
    constexpr Duration kCallTimeout{700};
    return Later(kCallTimeout, [reply] { reply(std::nullopt); });
  }
  // Some calls wait on their way and are overtaken.
  constexpr double kSlowShare = 0.1;
  Duration wait(Random(1, Chance(kSlowShare) ? 500 : 10));
  if constexpr (std::is_same_v<Request, HoldCall>) {
    // It is answered at the next end or after its wait.
    wait += Duration(Random(0, static_cast<int>(request.wait.count())));
  }
  Later(wait, [this, carry_out, reply] {
    const auto outcome = carry_out();
    Later(Duration(Random(1, Chance(0.1) ? 300 : 10)),
          [reply, outcome] { reply(std::make_optional(outcome.second)); });
  });
}

void ProtocolSimulation::Call(const HostId& host, const WorkerCall& call) {
  if (const auto* hold = std::get_if<HoldCall>(&call)) {
    return Exchange(
        host, *hold,
        [](SimulatedWorker& worker, const HoldCall& one) {
          return worker.Hold(one);
        },
        [one = *hold](HostSupervisor& agent,
                      const std::optional<Result<WorkerLists>>& lists) {
          agent.OnHoldAnswered(
              one,
              lists ? *lists : Fail(ErrorCode::kOutcomeUnknown, "no answer"));
        });
  }
  if (const auto* start = std::get_if<StartCall>(&call)) {
    return Exchange(
        host, *start,
        [](SimulatedWorker& worker, const StartCall& one) {
          return worker.Start(one);
        },
        [one = *start](HostSupervisor& agent,
                       const std::optional<StartAnswer>& answer) {
          agent.OnStartAnswered(one, answer.value_or(StartAnswer::kUnanswered));
        });
  }
  if (const auto* stop = std::get_if<StopCall>(&call)) {
    return Exchange(
        host, *stop,
        [](SimulatedWorker& worker, const StopCall& one) {
          return worker.Stop(one);
        },
        [one = *stop](HostSupervisor& agent,
                      const std::optional<bool>& answered) {
          agent.OnStopAnswered(one, answered.value_or(false));
        });
  }
}

void ProtocolSimulation::SendOrders(int entry,
                                    const HostId& host,
                                    const HostOrders& orders) {
  SimulatedOwner& owner = *m_entries[static_cast<std::size_t>(entry)].owner;
  const Epoch epoch = owner.epoch();
  const auto lost = [&owner, host, epoch] {
    if (owner.epoch() == epoch) {
      owner.OnOrdersLost(host);
    }
  };
  constexpr Duration kOrdersTimeout{700};
  const std::string name = EntryName(static_cast<std::size_t>(entry));
  const bool sent = Send(name, host.value(), [=, this, &owner] {
    AgentNode& agent = m_agents.at(host);
    if (!agent.supervisor || m_clock.Now() < agent.frozen_until) {
      return Later(kOrdersTimeout, lost);
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
        owner.OnStale();
      }
    });
    if (!replied) {
      Later(kOrdersTimeout, lost);
    }
  });
  if (!sent) {
    Later(kOrdersTimeout, lost);
  }
}

void ProtocolSimulation::InjectFault() {
  const Instant now = m_clock.Now();
  const Instant until = now + Duration(Random(200, 6000));
  const auto entry = static_cast<std::size_t>(
      Random(0, static_cast<int>(m_entries.size()) - 1));
  const HostId host("host-" + std::to_string(Random(0, m_settings.hosts - 1)));
  AgentNode& agent = m_agents.at(host);
  const int fault = Random(0, 10);
  Trace("fault " + std::to_string(fault) + " " + EntryName(entry) + " " +
        host.value() + " until " + std::to_string(until.milliseconds));
  switch (fault) {
    case 0:
      m_cuts[{EntryName(entry), host.value()}] = until;
      break;
    case 1:
      m_cuts[{EntryName(entry), "store"}] = until;
      break;
    case 2:
      m_entries[entry].frozen_until = until;
      break;
    case 3:
      m_entries[entry].owner->OnStale();
      break;
    case 4:
      agent.supervisor.reset();
      agent.down_until = until;
      break;
    case 5:
      agent.frozen_until = until;
      break;
    case 6:
      m_workers.at(host)->Crash();
      break;
    case 7:
      m_store_back = until;
      break;
    case 8:
      m_late_orders_until = until;
      break;
    case 9:
      CancelSomeJob();
      break;
    default:
      // Another entry takes over while the owner does not know.
      if (!m_store.away) {
        ++m_report.takeovers;
        std::set<HostId> hosts;
        for (const auto& [id, node] : m_agents) {
          hosts.insert(id);
        }
        m_entries[entry].owner->TakeOver(hosts);
      }
  }
}

void ProtocolSimulation::KeepAnOwner() {
  const Instant now = m_clock.Now();
  const bool owned = std::any_of(
      m_entries.begin(), m_entries.end(), [this](const EntryNode& entry) {
        return entry.owner->active() && entry.owner->epoch() == m_store.epoch;
      });
  if (owned || m_store.away) {
    m_ownerless_since = now;
    return;
  }
  if (now - m_ownerless_since < kOwnerlessFor) {
    return;
  }
  ++m_report.takeovers;
  std::set<HostId> hosts;
  for (const auto& [id, node] : m_agents) {
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
  record.policy.service = ServiceId("service");
  record.policy.max_attempts = 3;
  record.spec =
      DrawSpec([this](int least, int most) { return Random(least, most); });
  m_oracle.AddJob(record);
  m_store.jobs[record.id] = record;
  for (EntryNode& entry : m_entries) {
    entry.owner->OnJobStored(record);
  }
}

void ProtocolSimulation::CancelSomeJob() {
  if (m_jobs == 0) {
    return;
  }
  const JobId job("job-" + std::to_string(Random(0, m_jobs - 1)));
  m_store.cancelled.insert(job);
  for (EntryNode& entry : m_entries) {
    entry.owner->OnJobCancelled(job);
  }
}

bool ProtocolSimulation::AllEnded() const {
  for (const EntryNode& entry : m_entries) {
    if (!entry.owner->active() || entry.owner->epoch() != m_store.epoch) {
      continue;
    }
    const auto& jobs = entry.owner->scheduler().jobs();
    return std::all_of(m_store.jobs.begin(), m_store.jobs.end(),
                       [&](const auto& row) {
                         const auto found = jobs.find(row.first);
                         return found != jobs.end() &&
                                IsTerminal(found->second->visible_state());
                       });
  }
  return false;
}

void ProtocolSimulation::CheckOutcome() {
  if (!AllEnded()) {
    throw Violation("accepted jobs have not ended in the quiet time");
  }
  for (const EntryNode& entry : m_entries) {
    if (!entry.owner->active() || entry.owner->epoch() != m_store.epoch) {
      continue;
    }
    for (const auto& [id, job] : entry.owner->scheduler().jobs()) {
      const bool completed = job->visible_state() == JobState::kCompleted;
      m_report.completed += completed ? 1 : 0;
      if (completed && !m_oracle.Done(id)) {
        throw Violation(id.value() + " is shown as completed, but is not done");
      }
    }
  }
}

}  // namespace zinniacart::simulation

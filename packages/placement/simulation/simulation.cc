#include "placement/simulation/simulation.h"

#include <algorithm>
#include <cstdio>

#include "placement/simulation/trace.h"

namespace zinniacart::simulation {
namespace {

/// Interval at which agents announce themselves, in milliseconds.
constexpr Duration kAnnouncementInterval{500};
/// A submission without success is repeated after this long, in milliseconds.
constexpr Duration kSubmitRetryInterval{700};
constexpr Resources kHostCapacity{16'000, 60'000, 2};
// Probabilities for each message while faults are injected.
constexpr double kLossProbability = 0.03;
constexpr double kDuplicateProbability = 0.03;
constexpr double kLateProbability = 0.02;

std::string EntryName(int number) {
  return "entry-" + std::to_string(number);
}

std::string HostName(int number) {
  return "host-" + std::to_string(number);
}

DomainId DomainName(int number) {
  return DomainId("domain-" + std::to_string(number));
}

}  // namespace

Simulation::Simulation(SimulationSettings settings)
    : m_settings(settings), m_events(settings.seed), m_store(m_events) {
  for (int number = 0; number < settings.entries; ++number) {
    const Duration offset = m_events.RandomDelay(0, 1'000'000);
    const int drift = static_cast<int>(m_events.RandomInt(-500, 500));
    m_entries.push_back(std::make_unique<SimulatedEntry>(
        m_events, m_store, EntryId(EntryName(number)), settings.shards, offset,
        drift, settings.owner_times,
        [this](const auto& from, const auto& host, const auto& message) {
          SendToAgent(from, host, message);
        }));
  }
  for (int number = 0; number < settings.hosts; ++number) {
    const Duration offset = m_events.RandomDelay(0, 1'000'000);
    const int drift = static_cast<int>(m_events.RandomInt(-500, 500));
    m_agents.push_back(std::make_unique<SimulatedAgent>(
        m_events, m_oracle, HostId(HostName(number)),
        DomainName(number % settings.domains), kHostCapacity, offset, drift,
        settings.agent_times,
        [this](const auto& from, const auto& entry, const auto& message) {
          SendToEntry(from, entry, message);
        }));
  }
}

Simulation::~Simulation() = default;

SimulationReport Simulation::Run() {
  std::vector<EntryId> names;
  for (auto& entry : m_entries) {
    names.push_back(entry->entry());
    entry->Start();
  }
  for (auto& agent : m_agents) {
    agent->SetEntries(names);
    agent->worker().set_ignores_leases(m_settings.workers_ignore_leases);
    agent->worker().AdvancePeriodically();
    agent->Start();
  }
  SendAnnouncements();
  const std::int64_t latest_ms = m_settings.faulty_time.count() * 3 / 4;
  for (int number = 0; number < m_settings.jobs; ++number) {
    m_events.ScheduleAfter(m_events.RandomDelay(2'000, latest_ms),
                           [this, number] { SubmitJob(number); });
    if (m_events.RandomBool(0.15)) {
      m_events.ScheduleAfter(m_events.RandomDelay(5'000, latest_ms),
                             [this, number] { CancelJob(number); });
    }
  }
  m_events.ScheduleAfter(Duration(8'000), [this] { InjectFault(); });
  m_events.RunUntil(Instant{} + m_settings.faulty_time);
  EndFaults();
  m_events.RunUntil(m_events.now() + m_settings.quiet_time);
  CheckFinalState();
  m_report.starts = m_oracle.start_count();
  return m_report;
}

// ---- Links ----

void Simulation::Deliver(const std::string& from,
                         const std::string& to,
                         const std::function<void()>& action) {
  const bool cut = m_cut_links.count({from, to}) > 0;
  if (m_injects_faults && (cut || m_events.RandomBool(kLossProbability))) {
    return;
  }
  const auto delay = [this] {
    const bool late = m_injects_faults && m_events.RandomBool(kLateProbability);
    return late ? m_events.RandomDelay(200, 20'000)
                : m_events.RandomDelay(1, 8);
  };
  m_events.ScheduleAfter(delay(), action);
  if (m_injects_faults && m_events.RandomBool(kDuplicateProbability)) {
    m_events.ScheduleAfter(delay(), action);
  }
}

void Simulation::SendToAgent(const EntryId& from,
                             const HostId& host,
                             const OwnerMessage& message) {
  for (auto& agent : m_agents) {
    if (agent->host() == host) {
      SimulatedAgent* target = agent.get();
      Deliver(from.value(), host.value(), [this, target, from, message] {
        Trace(from.value(), target->host().value(),
              Describe(message, m_settings.traced_task));
        target->Receive(from, message);
      });
    }
  }
}

void Simulation::SendToEntry(const HostId& from,
                             const EntryId& entry,
                             const AgentMessage& message) {
  for (auto& candidate : m_entries) {
    if (candidate->entry() == entry) {
      SimulatedEntry* target = candidate.get();
      Deliver(from.value(), entry.value(), [this, target, from, message] {
        Trace(from.value(), target->entry().value(),
              Describe(message, m_settings.traced_task));
        target->Receive(from, message);
      });
    }
  }
}

void Simulation::SendAnnouncements() {
  m_events.ScheduleAfter(kAnnouncementInterval,
                         [this] { SendAnnouncements(); });
  for (auto& agent : m_agents) {
    const auto announcement = agent->MakeAnnouncement();
    if (!announcement) {
      continue;
    }
    for (auto& entry : m_entries) {
      SimulatedEntry* target = entry.get();
      SimulatedAgent* source = agent.get();
      Deliver(source->host().value(), target->entry().value(),
              [target, announcement] {
                target->ReceiveAnnouncement(*announcement);
              });
      Deliver(target->entry().value(), source->host().value(),
              [source, configuration = target->configuration()] {
                source->ReceiveConfiguration(configuration);
              });
    }
  }
}

void Simulation::Trace(const std::string& from,
                       const std::string& to,
                       const std::string& text) const {
  if (!m_settings.traced_task.empty() && !text.empty()) {
    std::printf("%8lld %s -> %s: %s\n",
                static_cast<long long>(m_events.now().milliseconds),
                from.c_str(), to.c_str(), text.c_str());
  }
}

// ---- Faults ----

void Simulation::InjectFault() {
  if (!m_injects_faults) {
    return;
  }
  m_events.ScheduleAfter(m_events.RandomDelay(500, 9'000),
                         [this] { InjectFault(); });
  ++m_report.faults;
  SimulatedEntry& entry = RandomEntry();
  SimulatedAgent& agent = RandomAgent();
  switch (m_events.RandomInt(0, 10)) {
    case 0:
      Trace(entry.entry().value(), "", "killed");
      entry.Kill();
      m_events.ScheduleAfter(m_events.RandomDelay(200, 20'000), [&entry] {
        if (!entry.alive()) {
          entry.Start();
        }
      });
      return;
    case 1:
      Trace(entry.entry().value(), "", "paused");
      entry.Pause();
      m_events.ScheduleAfter(m_events.RandomDelay(200, 30'000),
                             [&entry] { entry.Resume(); });
      return;
    case 2:
      Trace(agent.host().value(), "", "killed");
      agent.Kill();
      m_events.ScheduleAfter(m_events.RandomDelay(100, 20'000), [&agent] {
        if (!agent.alive()) {
          agent.Start();
        }
      });
      return;
    case 3:
      Trace(agent.host().value(), "", "paused");
      agent.Pause();
      m_events.ScheduleAfter(m_events.RandomDelay(200, 30'000),
                             [&agent] { agent.Resume(); });
      return;
    case 4:
      Trace(agent.host().value(), "", "lost power");
      agent.LosePower();
      m_events.ScheduleAfter(m_events.RandomDelay(1'000, 30'000), [&agent] {
        if (!agent.alive()) {
          agent.Start();
        }
      });
      return;
    case 5:
      m_store.set_down(true);
      m_events.ScheduleAfter(m_events.RandomDelay(500, 30'000),
                             [this] { m_store.set_down(false); });
      return;
    case 6:
      m_store.set_lost_response_probability(0.3);
      m_store.set_slow_call_probability(0.3);
      m_events.ScheduleAfter(m_events.RandomDelay(1'000, 15'000), [this] {
        m_store.set_lost_response_probability(0.01);
        m_store.set_slow_call_probability(0.01);
      });
      return;
    case 7:
      ToggleDomain();
      return;
    case 8:
    case 9:
      CutLink();
      return;
    default:
      entry.EvictRunningTask();
      return;
  }
}

void Simulation::ToggleDomain() {
  const DomainId domain = DomainName(
      static_cast<int>(m_events.RandomInt(0, m_settings.domains - 1)));
  const bool available = m_drained_domains.count(domain) > 0;
  const std::string key = "domain/" + domain.value();
  if (!m_store.ApplyChange(key, DomainResource{domain, available})) {
    return;
  }
  if (available) {
    m_drained_domains.erase(domain);
  } else {
    m_drained_domains.insert(domain);
  }
  m_oracle.OnDomainAvailability(domain, available, m_events.now());
}

void Simulation::CutLink() {
  const std::string entry = RandomEntry().entry().value();
  const std::string host = RandomAgent().host().value();
  // 0: host to entry, 1: entry to host, 2: both directions.
  const auto direction = m_events.RandomInt(0, 2);
  std::vector<std::pair<std::string, std::string>> cut;
  if (direction != 0) {
    cut.emplace_back(entry, host);
  }
  if (direction != 1) {
    cut.emplace_back(host, entry);
  }
  m_cut_links.insert(cut.begin(), cut.end());
  m_events.ScheduleAfter(m_events.RandomDelay(1'000, 60'000), [this, cut] {
    for (const auto& link : cut) {
      m_cut_links.erase(link);
    }
  });
}

void Simulation::EndFaults() {
  m_injects_faults = false;
  m_cut_links.clear();
  m_store.set_down(false);
  m_store.set_lost_response_probability(0.0);
  m_store.set_slow_call_probability(0.0);
  for (const DomainId& domain : m_drained_domains) {
    m_store.ApplyChange("domain/" + domain.value(),
                        DomainResource{domain, true});
    m_oracle.OnDomainAvailability(domain, true, m_events.now());
  }
  for (auto& entry : m_entries) {
    entry->Resume();
    if (!entry->alive()) {
      entry->Start();
    }
  }
  for (auto& agent : m_agents) {
    agent->Resume();
    if (!agent->alive()) {
      agent->Start();
    }
  }
}

SimulatedEntry& Simulation::RandomEntry() {
  const auto last = static_cast<std::int64_t>(m_entries.size()) - 1;
  return *m_entries[static_cast<std::size_t>(m_events.RandomInt(0, last))];
}

SimulatedAgent& Simulation::RandomAgent() {
  const auto last = static_cast<std::int64_t>(m_agents.size()) - 1;
  return *m_agents[static_cast<std::size_t>(m_events.RandomInt(0, last))];
}

// ---- Work ----

JobRecord Simulation::MakeJob(int number) const {
  JobRecord job;
  job.team = TeamId("team-" + std::to_string(number % 5));
  job.job = MakeJobId(job.team, "job-" + std::to_string(number));
  job.replicas = 1 + number % 4;
  job.demand = Resources{1'000 * (1 + number % 7), 4'000 * (1 + number % 5),
                         number % 6 == 0 ? 1 : 0};
  job.run_time = Duration(2'000 + 8'000 * (number % 11));
  const bool urgent = number % 9 == 0;
  job.task_class = urgent ? TaskClass::kUrgent : TaskClass::kBatch;
  return job;
}

void Simulation::SubmitJob(int number) {
  // An operator repeats a submission until its result says that it is durable.
  const auto schedule_retry = [this, number] {
    m_events.ScheduleAfter(kSubmitRetryInterval, [this, number] {
      if (m_accepted_jobs.count(number) == 0) {
        SubmitJob(number);
      }
    });
  };
  for (auto& entry : m_entries) {
    const bool taken = entry->Submit(
        MakeJob(number), [this, number](const Result<void>& result) {
          if (result) {
            m_accepted_jobs.insert(number);
          }
        });
    if (taken) {
      break;
    }
  }
  schedule_retry();
}

void Simulation::CancelJob(int number) {
  if (m_accepted_jobs.count(number) == 0) {
    return;
  }
  m_cancel_requested_jobs.insert(number);
  const JobRecord job = MakeJob(number);
  for (auto& entry : m_entries) {
    if (entry->Cancel(job.team, job.job, [](const Result<void>&) {})) {
      return;
    }
  }
}

void Simulation::CheckFinalState() {
  for (int number = 0; number < m_settings.jobs; ++number) {
    if (m_accepted_jobs.count(number) == 0) {
      throw Violation("job " + std::to_string(number) + " was never accepted");
    }
    ++m_report.jobs_accepted;
    const JobRecord job = MakeJob(number);
    const ShardId shard = ShardOf(job.team, m_settings.shards);
    auto record = ParseShardRecord(m_store.Peek(ShardKey(shard)));
    const JobRecord* stored = record->FindJob(job.job);
    if (stored == nullptr) {
      throw Violation(job.job.value() +
                      " was accepted but is missing from the stored record");
    }
    for (const TaskRecord& task : stored->tasks) {
      const bool finished = task.status == TaskStatus::kFinished;
      const bool cancelled = task.status == TaskStatus::kCancelled;
      if (cancelled && m_cancel_requested_jobs.count(number) == 0) {
        throw Violation(
            task.task.value() +
            " was cancelled although no cancellation was requested");
      }
      if (!finished && !cancelled) {
        throw Violation(task.task.value() + " did not end; its status is " +
                        ToString(task.status));
      }
      if (finished && m_oracle.FinishCount(task.task) == 0) {
        throw Violation(task.task.value() +
                        " is recorded as finished but did not finish");
      }
      m_report.tasks_finished += finished ? 1 : 0;
      m_report.tasks_cancelled += cancelled ? 1 : 0;
    }
  }
}

}  // namespace zinniacart::simulation

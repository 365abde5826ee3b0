#include "placement/simulation/simulated_agent.h"

#include <utility>

namespace zinniacart::simulation {
namespace {

constexpr Duration kTick{100};
constexpr int kTicksPerPoll = 10;

}  // namespace

SimulatedAgent::SimulatedAgent(EventQueue& events,
                               Oracle& oracle,
                               HostId host,
                               DomainId domain,
                               Resources capacity,
                               Duration clock_offset,
                               int drift_ppm,
                               PlacementTimes times,
                               SendToEntry send)
    : m_events(events),
      m_host(std::move(host)),
      m_domain(std::move(domain)),
      m_clock(events, clock_offset, drift_ppm),
      m_worker(events, oracle, m_clock, m_host, m_domain, capacity),
      m_times(times),
      m_send(std::move(send)) {}

void SimulatedAgent::Start() {
  m_incarnation = Incarnation(m_incarnation.value() + 1);
  m_supervisor = std::make_unique<TaskSupervisor>(m_domain, m_host,
                                                  m_incarnation, m_times);
  m_configuration = Configuration();
  m_worker.Attach(m_incarnation);
  m_supervisor->Rebuild(m_worker.capacity(), m_worker.List(), m_clock.Now());
  Tick(m_incarnation);
}

void SimulatedAgent::Kill() {
  m_supervisor.reset();
  m_waiting.clear();
  m_paused = false;
}

void SimulatedAgent::LosePower() {
  Kill();
  m_worker.LosePower();
}

void SimulatedAgent::Resume() {
  m_paused = false;
  for (auto& action : std::exchange(m_waiting, {})) {
    Do(std::move(action));
  }
}

void SimulatedAgent::Receive(const EntryId& from, const OwnerMessage& message) {
  if (!alive()) {
    return;
  }
  Do([this, from, message] {
    m_supervisor->SetEntries(m_entries);
    m_supervisor->Handle(from, message, m_clock.Now());
    CarryOut();
  });
}

void SimulatedAgent::ReceiveConfiguration(const Configuration& configuration) {
  if (!alive()) {
    return;
  }
  Do([this, configuration] {
    if (configuration.serial() > m_configuration.serial()) {
      m_configuration = configuration;
      m_supervisor->SetWorkAllowed(m_configuration.AllowsWork(m_domain, m_host),
                                   m_configuration.serial());
    }
  });
}

std::optional<HostAnnouncement> SimulatedAgent::Announcement() const {
  if (!alive() || m_paused) {
    return std::nullopt;
  }
  HostAnnouncement announcement;
  announcement.host = m_host;
  announcement.domain = m_domain;
  announcement.address = m_host.value();
  announcement.stamp = m_supervisor->MakeStamp(m_clock.Now());
  announcement.capacity = m_supervisor->ledger().capacity();
  announcement.committed = m_supervisor->ledger().committed();
  return announcement;
}

void SimulatedAgent::Do(std::function<void()> action) {
  if (m_paused) {
    m_waiting.push_back(std::move(action));
  } else if (alive()) {
    action();
  }
}

void SimulatedAgent::Tick(Incarnation incarnation) {
  if (!alive() || incarnation != m_incarnation) {
    return;
  }
  m_events.After(kTick, [this, incarnation] { Tick(incarnation); });
  if (m_paused) {
    return;
  }
  m_supervisor->SetEntries(m_entries);
  m_supervisor->Tick(m_clock.Now());
  if (++m_ticks % kTicksPerPoll == 0) {
    const Instant asked_at = m_clock.Now();
    CallWorker([this, asked_at]() -> std::function<void()> {
      return [this, asked_at, rows = m_worker.List()] {
        m_supervisor->OnWorkerList(rows, asked_at, m_clock.Now());
      };
    });
  }
  CarryOut();
}

void SimulatedAgent::CallWorker(std::function<std::function<void()>()> call) {
  // A call to the worker is sometimes slow, both ways.
  const Duration there =
      m_events.Chance(0.02) ? m_events.Delay(500, 3'000) : m_events.Delay(0, 3);
  const Duration back =
      m_events.Chance(0.02) ? m_events.Delay(500, 3'000) : m_events.Delay(0, 3);
  const Incarnation incarnation = m_incarnation;
  m_events.After(there, [this, call, back, incarnation] {
    auto result = call();
    m_events.After(back, [this, result, incarnation] {
      Do([this, result, incarnation] {
        if (incarnation == m_incarnation) {
          result();
          CarryOut();
        }
      });
    });
  });
}

void SimulatedAgent::CarryOut() {
  const Incarnation self = m_incarnation;
  for (const auto& effect : m_supervisor->TakeEffects()) {
    std::visit(
        Visitor{[&](const TaskSupervisor::Send& send) {
                  m_send(m_host, send.entry, send.message);
                },
                [&](const TaskSupervisor::StartOnWorker& start) {
                  CallWorker([this, start, self]() -> std::function<void()> {
                    auto result = m_worker.Start(
                        self, start.task, start.not_after, start.lease_until);
                    return [this, start, result] {
                      m_supervisor->OnWorkerStarted(start.task.task,
                                                    start.task.generation,
                                                    result, m_clock.Now());
                    };
                  });
                },
                [&](const TaskSupervisor::RenewOnWorker& renew) {
                  CallWorker([this, renew, self]() -> std::function<void()> {
                    m_worker.Renew(self, renew.task, renew.generation,
                                   renew.lease_until);
                    return [] {};
                  });
                },
                [&](const TaskSupervisor::StopOnWorker& stop) {
                  CallWorker([this, stop, self]() -> std::function<void()> {
                    auto result =
                        m_worker.Stop(self, stop.task, stop.generation);
                    return [this, stop, result] {
                      m_supervisor->OnWorkerStopped(stop.task, stop.generation,
                                                    result, m_clock.Now());
                    };
                  });
                },
                [&](const TaskSupervisor::ForgetOnWorker& forget) {
                  CallWorker([this, forget, self]() -> std::function<void()> {
                    m_worker.Forget(self, forget.task, forget.generation);
                    return [] {};
                  });
                }},
        effect);
  }
}

}  // namespace zinniacart::simulation

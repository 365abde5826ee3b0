#include "placement/simulation/simulated_agent.h"

#include <utility>

namespace zinniacart::simulation {
namespace {

/// Interval between two ticks of the supervisor, in milliseconds.
constexpr Duration kTickInterval{100};
/// The worker's tasks are listed on every tenth tick.
constexpr int kTicksPerWorkerList = 10;

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
  m_deferred.clear();
  m_paused = false;
}

void SimulatedAgent::LosePower() {
  Kill();
  m_worker.LosePower();
}

void SimulatedAgent::Resume() {
  m_paused = false;
  for (auto& action : std::exchange(m_deferred, {})) {
    RunOrDefer(std::move(action));
  }
}

void SimulatedAgent::Receive(const EntryId& from, const OwnerMessage& message) {
  if (!alive()) {
    return;
  }
  RunOrDefer([this, from, message] {
    m_supervisor->SetEntries(m_entries);
    m_supervisor->Handle(from, message, m_clock.Now());
    ExecuteEffects();
  });
}

void SimulatedAgent::ReceiveConfiguration(const Configuration& configuration) {
  if (!alive()) {
    return;
  }
  RunOrDefer([this, configuration] {
    if (configuration.serial() > m_configuration.serial()) {
      m_configuration = configuration;
      m_supervisor->SetWorkAllowed(m_configuration.AllowsWork(m_domain, m_host),
                                   m_configuration.serial());
    }
  });
}

std::optional<HostAnnouncement> SimulatedAgent::MakeAnnouncement() const {
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

void SimulatedAgent::RunOrDefer(std::function<void()> action) {
  if (m_paused) {
    m_deferred.push_back(std::move(action));
  } else if (alive()) {
    action();
  }
}

void SimulatedAgent::Tick(Incarnation incarnation) {
  if (!alive() || incarnation != m_incarnation) {
    return;
  }
  m_events.ScheduleAfter(kTickInterval,
                         [this, incarnation] { Tick(incarnation); });
  if (m_paused) {
    return;
  }
  m_supervisor->SetEntries(m_entries);
  m_supervisor->Tick(m_clock.Now());
  if (++m_tick_count % kTicksPerWorkerList == 0) {
    const Instant listed_at = m_clock.Now();
    CallWorker([this, listed_at]() -> std::function<void()> {
      return [this, listed_at, tasks = m_worker.List()] {
        m_supervisor->OnWorkerList(tasks, listed_at, m_clock.Now());
      };
    });
  }
  ExecuteEffects();
}

void SimulatedAgent::CallWorker(std::function<std::function<void()>()> call) {
  // 2% of the requests and 2% of the responses are slow.
  const Duration request_delay = m_events.RandomBool(0.02)
                                     ? m_events.RandomDelay(500, 3'000)
                                     : m_events.RandomDelay(0, 3);
  const Duration response_delay = m_events.RandomBool(0.02)
                                      ? m_events.RandomDelay(500, 3'000)
                                      : m_events.RandomDelay(0, 3);
  const Incarnation incarnation = m_incarnation;
  m_events.ScheduleAfter(
      request_delay, [this, call, response_delay, incarnation] {
        auto result = call();
        m_events.ScheduleAfter(response_delay, [this, result, incarnation] {
          RunOrDefer([this, result, incarnation] {
            if (incarnation == m_incarnation) {
              result();
              ExecuteEffects();
            }
          });
        });
      });
}

void SimulatedAgent::ExecuteEffects() {
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

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "placement/simulation/event_queue.h"
#include "placement/simulation/fake_worker.h"
#include "placement/simulation/host_clock.h"
#include "placement/task_supervisor.h"

namespace zinniacart::simulation {

/// A simulated agent process and its host: the real `TaskSupervisor` with a
/// `FakeWorker`. The process can be killed, restarted and paused. Messages and
/// worker results that arrive while it is paused are handled when it resumes;
/// those that arrive while it is not running are lost.
class SimulatedAgent final {
 public:
  using SendToEntry =
      std::function<void(const HostId&, const EntryId&, const AgentMessage&)>;

  SimulatedAgent(EventQueue& events,
                 Oracle& oracle,
                 HostId host,
                 DomainId domain,
                 Resources capacity,
                 Duration clock_offset,
                 int drift_ppm,
                 PlacementTimes times,
                 SendToEntry send);

  /// Starts the process with a new incarnation; it must not be running.
  void Start();
  /// Ends the process. The worker and its tasks keep running.
  void Kill();
  /// Ends the process and every task on the worker.
  void LosePower();
  /// Pauses the process, but not the worker.
  void Pause() { m_paused = true; }
  void Resume();
  bool alive() const { return m_supervisor != nullptr; }

  void Receive(const EntryId& from, const OwnerMessage& message);
  void ReceiveConfiguration(const Configuration& configuration);
  void SetEntries(std::vector<EntryId> entries) { m_entries = entries; }

  /// @returns the current announcement, or none while the process is paused or
  /// not running.
  std::optional<HostAnnouncement> MakeAnnouncement() const;

  const HostId& host() const { return m_host; }
  const DomainId& domain() const { return m_domain; }
  FakeWorker& worker() { return m_worker; }

 private:
  /// Runs `action` now, or when the process resumes if it is paused; discards
  /// it if the process is not running.
  void RunOrDefer(std::function<void()> action);
  /// Updates the supervisor and schedules the next tick, until the process with
  /// this incarnation ends.
  void Tick(Incarnation incarnation);
  /// Executes the effects of the supervisor.
  void ExecuteEffects();
  /// Executes `call` on the worker after a delay, and the function it returns,
  /// which handles the result in the agent, after another delay. The result is
  /// discarded if this incarnation of the agent has ended by then.
  void CallWorker(std::function<std::function<void()>()> call);

  EventQueue& m_events;
  const HostId m_host;
  const DomainId m_domain;
  const HostClock m_clock;
  FakeWorker m_worker;
  const PlacementTimes m_times;
  const SendToEntry m_send;
  std::unique_ptr<TaskSupervisor> m_supervisor;
  Incarnation m_incarnation;
  bool m_paused = false;
  int m_tick_count = 0;
  std::vector<std::function<void()>> m_deferred;
  std::vector<EntryId> m_entries;
  Configuration m_configuration;
};

}  // namespace zinniacart::simulation

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "placement/simulation/event_queue.h"
#include "placement/simulation/fake_worker.h"
#include "placement/simulation/node_clock.h"
#include "placement/task_supervisor.h"

namespace zinniacart::simulation {

/// An agent process: the real task supervisor over a fake worker. It can be
/// killed, restarted and paused; what arrives while it is paused waits.
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

  void Start();
  void Kill();
  void LosePower();
  void Pause() { m_paused = true; }
  void Resume();
  bool alive() const { return m_supervisor != nullptr; }

  void Receive(const EntryId& from, const OwnerMessage& message);
  void ReceiveConfiguration(const Configuration& configuration);
  void SetEntries(std::vector<EntryId> entries) { m_entries = entries; }

  /// @returns what this agent announces now, or nothing while it cannot.
  std::optional<HostAnnouncement> Announcement() const;

  const HostId& host() const { return m_host; }
  const DomainId& domain() const { return m_domain; }
  FakeWorker& worker() { return m_worker; }

 private:
  void Do(std::function<void()> action);
  void Tick(Incarnation incarnation);
  void CarryOut();
  void CallWorker(std::function<std::function<void()>()> call);

  EventQueue& m_events;
  const HostId m_host;
  const DomainId m_domain;
  const NodeClock m_clock;
  FakeWorker m_worker;
  const PlacementTimes m_times;
  const SendToEntry m_send;
  std::unique_ptr<TaskSupervisor> m_supervisor;
  Incarnation m_incarnation;
  bool m_paused = false;
  int m_ticks = 0;
  std::vector<std::function<void()>> m_waiting;
  std::vector<EntryId> m_entries;
  Configuration m_configuration;
};

}  // namespace zinniacart::simulation

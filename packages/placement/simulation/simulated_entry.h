#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "membership/host_table.h"
#include "placement/shard_owner.h"
#include "placement/simulation/event_queue.h"
#include "placement/simulation/fake_store.h"
#include "placement/simulation/node_clock.h"

namespace zinniacart::simulation {

/// An entry process: the real shard owner over the fake store, with its
/// session. It can be killed, restarted and paused.
class SimulatedEntry final {
 public:
  using SendToAgent =
      std::function<void(const EntryId&, const HostId&, const OwnerMessage&)>;

  SimulatedEntry(EventQueue& events,
                 FakeStore& store,
                 EntryId entry,
                 std::uint32_t shards,
                 Duration clock_offset,
                 int drift_ppm,
                 PlacementTimes times,
                 SendToAgent send);

  void Start();
  void Kill();
  void Pause() { m_paused = true; }
  void Resume();
  bool alive() const { return m_alive; }
  bool paused() const { return m_paused; }

  void Receive(const HostId& host, const AgentMessage& message);
  void Hear(const HostAnnouncement& announcement);

  /// Submits or cancels where this entry owns the team's shard.
  /// @returns whether the call was taken; `done` then tells the result.
  bool Submit(const JobRecord& job, std::function<void(Result<void>)> done);
  bool Cancel(const TeamId& team,
              const JobId& job,
              std::function<void(Result<void>)> done);
  /// Evicts some running batch task, as interference control would ask.
  void EvictSome();

  const EntryId& entry() const { return m_entry; }
  const Configuration& configuration() const { return m_configuration; }

 private:
  void Do(std::function<void()> action);
  template <typename Value>
  std::function<void(Result<Value>)> Guard(
      std::function<void(Result<Value>)> handler);
  void Tick(std::uint64_t run);
  void KeepSession(std::uint64_t run);
  void OpenSession();
  void ListEntries();
  void FollowConfiguration(std::function<void(bool)> done);
  void CarryOut();

  EventQueue& m_events;
  FakeStore& m_store;
  const EntryId m_entry;
  const std::uint32_t m_shards;
  const NodeClock m_clock;
  const PlacementTimes m_times;
  const SendToAgent m_send;
  bool m_alive = false;
  bool m_paused = false;
  std::uint64_t m_run = 0;
  std::uint64_t m_sessions = 0;
  LeaseId m_lease;
  std::unique_ptr<ShardOwner> m_owner;
  std::unique_ptr<HostTable> m_hosts;
  Configuration m_configuration;
  std::vector<std::function<void()>> m_waiting;
  std::map<std::uint64_t, std::function<void(Result<void>)>> m_calls;
  std::uint64_t m_call_count = 0;
};

}  // namespace zinniacart::simulation

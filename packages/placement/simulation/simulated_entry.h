#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "membership/host_table.h"
#include "placement/shard_owner.h"
#include "placement/simulation/event_queue.h"
#include "placement/simulation/fake_store.h"
#include "placement/simulation/host_clock.h"

namespace zinniacart::simulation {

/// A simulated entry process: the real `ShardOwner` with the fake store, and
/// the session that the owner needs. The process can be killed, restarted and
/// paused. Messages and store responses that arrive while it is paused are
/// handled when it resumes; those that arrive while it is not running are lost.
class SimulatedEntry final {
 public:
  using SendToAgent =
      std::function<void(const EntryId&, const HostId&, const OwnerMessage&)>;

  SimulatedEntry(EventQueue& events,
                 FakeStore& store,
                 EntryId entry,
                 std::uint32_t shard_count,
                 Duration clock_offset,
                 int drift_ppm,
                 PlacementTimes times,
                 SendToAgent send);

  /// Starts the process, which then opens a session; it must not be running.
  void Start();
  /// Ends the process. Its session stays in the store until its lease expires.
  void Kill();
  void Pause() { m_paused = true; }
  void Resume();
  bool alive() const { return m_alive; }
  bool paused() const { return m_paused; }

  void Receive(const HostId& host, const AgentMessage& message);
  void ReceiveAnnouncement(const HostAnnouncement& announcement);

  /// Submits a job if this entry owns the shard of its team.
  /// @returns whether the call was accepted. `done` is then called with the
  /// result, unless the process ends first.
  bool Submit(const JobRecord& job, std::function<void(Result<void>)> done);
  /// Cancels a job; otherwise as `Submit`.
  bool Cancel(const TeamId& team,
              const JobId& job,
              std::function<void(Result<void>)> done);
  /// Evicts one running batch task of an owned shard, if there is one, as
  /// interference control would.
  void EvictRunningTask();

  const EntryId& entry() const { return m_entry; }
  const Configuration& configuration() const { return m_configuration; }

 private:
  /// Runs `action` now, or when the process resumes if it is paused; discards
  /// it if the process is not running.
  void RunOrDefer(std::function<void()> action);
  /// @returns a callback for a store call that runs `handler` and then the
  /// effects of the owner, unless the process or the session ended since this
  /// call.
  template <typename Value>
  std::function<void(Result<Value>)> GuardCallback(
      std::function<void(Result<Value>)> handler);
  /// Updates the owner and schedules the next tick, until the process with this
  /// number ends.
  void Tick(std::uint64_t process_number);
  /// Opens or renews the session, lists the live entries, reads the
  /// configuration and schedules the next renewal, until the process with this
  /// number ends.
  void MaintainSession(std::uint64_t process_number);
  /// Opens a lease, registers this entry with it, and creates the owner.
  void OpenSession();
  void ListEntries();
  /// Reads the configuration and passes it to the owner if it is newer.
  /// @param done called with whether the read succeeded; that no configuration
  /// was written yet counts as success.
  void ReadConfiguration(std::function<void(bool)> done);
  /// Executes the effects of the owner.
  void ExecuteEffects();

  EventQueue& m_events;
  FakeStore& m_store;
  const EntryId m_entry;
  const std::uint32_t m_shard_count;
  const HostClock m_clock;
  const PlacementTimes m_times;
  const SendToAgent m_send;
  bool m_alive = false;
  bool m_paused = false;
  /// The number of starts of the process.
  std::uint64_t m_process_number = 0;
  /// Increases whenever a session is opened or lost.
  std::uint64_t m_session_number = 0;
  /// The lease of the session; empty while there is none.
  LeaseId m_lease;
  /// Null while there is no session.
  std::unique_ptr<ShardOwner> m_owner;
  std::unique_ptr<HostTable> m_hosts;
  Configuration m_configuration;
  std::vector<std::function<void()>> m_deferred;
  /// The callbacks of submissions and cancellations without a result, by call.
  std::map<std::uint64_t, std::function<void(Result<void>)>> m_pending_calls;
  std::uint64_t m_call_count = 0;
};

}  // namespace zinniacart::simulation

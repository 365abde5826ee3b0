#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "hosting/simulation/simulated_machines.h"
#include "hosting/simulation/simulated_services.h"
#include "scheduling/scheduler.h"
#include "site/store_port.h"
#include "site/upkeep_duty.h"

namespace zinniacart::simulation {

/// The contents of the store. Transactions of an older epoch fail.
struct SimulatedStore {
  bool unavailable = false;
  Epoch epoch;
  std::uint64_t revision = 1;
  std::map<JobId, JobRecord> jobs;
  std::set<JobId> cancelled;
  std::map<JobId, std::pair<std::string, std::uint64_t>> progress;

  /// The keys of the upkeep waves and their store revisions.
  std::map<std::string, StoreItem> items;

  Result<StoreSnapshot> List(const std::string& prefix) const;
  /// Commits a transaction on `items`. The epoch's revision is the epoch.
  Result<StoreCommit> Commit(const StoreTransaction& transaction);
  /// Applies all writes or none.
  /// @returns whether they were applied.
  bool Commit(Epoch writer, const std::vector<ProgressWrite>& writes);
};

/// An entry that owns scheduling, or has not yet detected that another entry
/// took over. It runs the real `Scheduler` over a simulated store and simulated
/// links.
class SimulatedOwner final {
 public:
  /// Sends a message: runs `action` later, or never if the message is lost.
  using Post = std::function<void(const std::string& to,
                                  const std::function<void()>& action)>;
  /// Sends orders to a host's agent. The reply is passed to `OnReport`,
  /// `OnDeposed` or `OnOrdersLost`.
  using SendOrders = std::function<void(const HostId&, const HostOrders&)>;

  SimulatedOwner(EntryId self,
                 SchedulerSettings settings,
                 SimulatedStore& store,
                 SimulatedMachines& machines,
                 Post post,
                 SendOrders send,
                 Scheduler::DecisionLog log);

  /// Claims the next epoch and loads the jobs and their progress from the
  /// store.
  void TakeOver(const std::set<HostId>& hosts);
  /// Advances the owner's clock and performs the actions that are due.
  /// @param frozen the clock advances, but no action is performed, as if the
  /// process were suspended.
  void Advance(Duration duration, bool frozen);
  void OnReport(const HostId& host, const HostReport& report);
  /// Called when an agent or the store has accepted a newer owner.
  void OnDeposed();
  void OnOrdersLost(const HostId& host);
  /// Called when an entry has stored a job.
  void OnJobStored(const JobRecord& record);
  /// Sets the upkeep waves that operators ask for.
  void SetWaves(const std::map<WaveId, WaveSpec>& waves) {
    m_upkeep.SetWaves(waves);
  }
  /// Called when an entry has stored a cancellation.
  void OnJobCancelled(const JobId& job);

  bool active() const { return m_scheduler != nullptr; }
  Epoch epoch() const { return m_epoch; }
  const Scheduler& scheduler() const { return *m_scheduler; }

 private:
  void ConfirmOwnership();
  void WriteProgress();
  void SendDueOrders(bool poll);

  const EntryId m_self;
  const SchedulerSettings m_settings;
  SimulatedStore& m_store;
  const Post m_post;
  const SendOrders m_send;
  const Scheduler::DecisionLog m_log;
  ManualClock m_clock;
  SimulatedServices m_services;
  UpkeepDuty m_upkeep;
  Epoch m_epoch;
  std::unique_ptr<Scheduler> m_scheduler;
  std::set<HostId> m_hosts;
  Instant m_confirmed_at;
  Instant m_confirmation_sent_at;
  Instant m_polled_at;
  Instant m_write_sent_at;
  bool m_writing = false;
  std::uint64_t m_write_number = 0;
};

}  // namespace zinniacart::simulation

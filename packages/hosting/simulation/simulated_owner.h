#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "scheduling/scheduler.h"

namespace zinniacart::simulation {

/// What the store holds. Transactions of an older epoch fail.
struct SimulatedStore {
  bool away = false;
  Epoch epoch;
  std::uint64_t revision = 1;
  std::map<JobId, JobRecord> jobs;
  std::set<JobId> cancelled;
  std::map<JobId, std::pair<std::string, std::uint64_t>> progress;

  /// @returns whether the writes took effect; all or none.
  bool Commit(Epoch writer, const std::vector<ProgressWrite>& writes);
};

/// One entry that owns the scheduling, or believes that it does: the real
/// decisions over a simulated store and simulated links.
class SimulatedOwner final {
 public:
  /// Delivers `action` later, or never.
  using Post = std::function<void(const std::string& to,
                                  const std::function<void()>& action)>;
  /// Hands orders to a host's agent; the reply comes by `OnReport`.
  using SendOrders = std::function<void(const HostId&, const HostOrders&)>;

  SimulatedOwner(EntryId self,
                 SchedulerSettings settings,
                 SimulatedStore& store,
                 Post post,
                 SendOrders send,
                 Scheduler::DecisionLog log);

  /// Claims the next epoch and loads what is stored.
  void TakeOver(const std::set<HostId>& hosts);
  /// Lets time pass and does what is due.
  /// @param frozen time passes, but nothing is done.
  void Advance(Duration duration, bool frozen);
  void OnReport(const HostId& host, const HostReport& report);
  /// An agent knows a newer owner.
  void OnStale();
  void OnOrdersLost(const HostId& host);
  /// Another entry has stored something.
  void OnJobStored(const JobRecord& record);
  void OnJobCancelled(const JobId& job);

  bool active() const { return m_scheduler != nullptr; }
  Epoch epoch() const { return m_epoch; }
  const Scheduler& scheduler() const { return *m_scheduler; }

 private:
  void Confirm();
  void Write();
  void SendAll(bool poll);

  const EntryId m_self;
  const SchedulerSettings m_settings;
  SimulatedStore& m_store;
  const Post m_post;
  const SendOrders m_send;
  const Scheduler::DecisionLog m_log;
  ManualClock m_clock;
  Epoch m_epoch;
  std::unique_ptr<Scheduler> m_scheduler;
  std::set<HostId> m_hosts;
  Instant m_confirmed_at;
  Instant m_asked_at;
  Instant m_polled_at;
  Instant m_write_began;
  bool m_writing = false;
  std::uint64_t m_write = 0;
};

}  // namespace zinniacart::simulation

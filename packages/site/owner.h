#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "scheduling/ownership.h"
#include "scheduling/scheduler.h"
#include "site/host_link.h"
#include "site/peer_clients.h"
#include "site/prefix_follower.h"
#include "site/store_port.h"
#include "site/timer.h"

namespace zinniacart {

struct OwnerSettings {
  EntryId self;
  std::string address;  ///< Where the other entries reach this one.
  double cores = 0;     ///< Processors that this entry may use.
  OwnershipTimes ownership;
  SchedulerSettings scheduler;
};

/// Competes for the ownership of the scheduling and, while it has it, runs the
/// scheduler: loads what is stored, writes progress, talks to the agents.
class Owner final {
 public:
  Owner(boost::asio::io_context& loop,
        StorePort& store,
        PeerClients& peers,
        OwnerSettings settings,
        const Clock& clock);

  void Start();
  /// Hands the ownership over: gives the lease back.
  void Retire(std::function<void()> done);

  /// Gives the ownership up to a better placed entry, but stays ready.
  void HandOver(const EntryId& to);

  void SetStandbyDelay(Duration delay) { m_ownership.SetStandbyDelay(delay); }
  void OnOwnershipView(const OwnershipView& view);
  void OnConfiguration(const SiteConfiguration& configuration);
  void OnEvacuated(const std::set<DomainId>& domains);
  /// An entry stored a job or a cancellation; see `peer_paths`.
  void OnNotice(const std::string& path, const std::string& body);

  /// @returns whether this entry owns the scheduling and has loaded it.
  bool active() const { return m_loaded; }

  /// @returns the state, nothing where this entry cannot vouch for it.
  std::optional<JobState> StateOf(const JobId& job, const QueueId& queue) const;
  std::optional<std::size_t> CountWaiting(const QueueId& queue) const;

  const Scheduler& scheduler() const { return m_scheduler; }
  const Ownership& ownership() const { return m_ownership; }

 private:
  // Ownership.
  void Tick();
  void TakeStep();
  void Run(const ReadViewStep& step);
  void Run(const OpenLeaseStep& step);
  void Run(const ClaimStep& step);
  void Run(const RenewStep& step);
  void OnClaimAnswered(const ClaimStep& step,
                       const Result<StoreCommit>& commit);
  void Lose(const char* reason);

  // Loading.
  void BeginTerm();
  void LoadProgress();
  void OnWorkSnapshot(const StoreSnapshot& snapshot);
  void OnWorkEvent(const StoreEvent& event);
  void ApplyWork(const StoreItem& item);
  void FinishLoading();

  // Running.
  void Kick();
  void RunRound();
  void WriteProgress();
  void OnProgressWritten(const std::vector<ProgressWrite>& writes,
                         const Result<StoreCommit>& commit);
  void OnProgressConflict(const std::vector<ProgressWrite>& writes,
                          const StoreCommit& commit);
  void PushOrders();
  void AddLink(const HostId& host, const std::string& address);
  bool Vouches() const;

  boost::asio::io_context& m_loop;
  StorePort& m_store;
  PeerClients& m_peers;
  const OwnerSettings m_settings;
  const Clock& m_clock;
  Ownership m_ownership;
  Scheduler m_scheduler;
  std::unique_ptr<PrefixFollower> m_work;
  std::map<HostId, std::unique_ptr<HostLink>> m_links;
  std::optional<StoreSnapshot> m_progress;
  Timer m_tick;
  Timer m_round;
  Duration m_round_took{0};
  Timer m_write_retry;
  bool m_loaded = false;
  bool m_writing = false;
  bool m_retired = false;
  /// Answers to calls of an earlier term are ignored.
  std::shared_ptr<int> m_term;
};

}  // namespace zinniacart

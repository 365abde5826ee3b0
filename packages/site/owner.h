#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "intake/backlog_forecast.h"
#include "scheduling/ownership.h"
#include "scheduling/scheduler.h"
#include "site/host_link.h"
#include "site/learned_archive.h"
#include "site/peer_clients.h"
#include "site/prefix_follower.h"
#include "site/store_port.h"
#include "site/timer.h"
#include "site/upkeep_duty.h"
#include "upkeep/machine_port.h"
#include "upkeep/upkeep_settings.h"

namespace zinniacart {

struct OwnerSettings {
  EntryId self;
  std::string address;  ///< Peer address of this entry, as ip:port.
  double cores = 0;     ///< Processors that this entry may use.
  OwnershipTimes ownership;
  SchedulerSettings scheduler;
  BacklogSettings backlog;
  UpkeepSettings upkeep;
  /// The machine service, not owned; nullptr where there is none.
  MachinePort* machines = nullptr;
};

/// Runs the scheduler of the site while this entry owns the scheduling.
///
/// Every entry has one `Owner`, and all of them compete for the ownership: a
/// record in the store under a lease that the owner renews, with an epoch that
/// grows by one with each claim. The entry that claims it loads the jobs, their
/// progress and the hosts from the store, then schedules in rounds: each round
/// places tasks, writes the changed progress to the store and sends orders to
/// the agents. Each progress write is conditional on the epoch, so that a
/// replaced owner cannot write any more.
///
/// Runs on the event loop and is not thread-safe. Store errors are logged or
/// retried; no function returns them.
class Owner final {
 public:
  Owner(boost::asio::io_context& loop,
        StorePort& store,
        PeerClients& peers,
        OwnerSettings settings,
        const Clock& clock);

  /// Starts to compete for the ownership.
  void Start();
  /// Stops competing for good, before the process exits. An owner ends its
  /// lease in the store, so that another entry can take over at once.
  /// @param done is called when the lease has ended or the attempt has failed;
  ///             at once if this entry is not the owner.
  void Retire(std::function<void()> done);

  /// Gives up the ownership in favour of a better placed entry. This entry
  /// remains a standby. Does nothing if it is not the owner.
  void HandOver(const EntryId& to);

  /// @param delay how long this entry leaves a vacant ownership to better
  ///              placed entries.
  void SetStandbyDelay(Duration delay) { m_ownership.SetStandbyDelay(delay); }
  /// The store's ownership records were read or have changed.
  void OnOwnershipView(const OwnershipView& view);
  /// The site has a new configuration.
  void OnConfiguration(const SiteConfiguration& configuration);
  /// Sets the failure domains that operators have drained. Nothing is placed
  /// before the first call.
  void SetDrainedDomains(const std::set<DomainId>& domains);
  /// Sets the upkeep waves that operators ask for.
  void SetWaves(std::map<WaveId, WaveSpec> waves);
  /// An entry has stored a job or a cancellation. Callers check `active` first.
  /// @param path `peer_paths::kJobStored` or `peer_paths::kJobCancelled`,
  ///             followed by the job's id.
  /// @param body the encoded job record; unused for a cancellation.
  void OnNotice(const std::string& path, const std::string& body);

  /// @returns whether this entry owns the scheduling and has loaded all jobs
  /// and their progress.
  bool active() const { return m_loaded; }

  /// @returns the state of `job`; nothing if this entry is not active, its
  /// ownership was not confirmed recently enough, or it has no such job.
  std::optional<JobState> StateOf(const JobId& job) const;
  /// @returns how many jobs of `queue` wait for their first task; nothing if
  /// this entry is not active, or its ownership or its view of the stored jobs
  /// was not confirmed recently enough.
  std::optional<std::size_t> CountWaiting(const QueueId& queue) const;

  /// @returns how long new jobs will wait, by queue; nothing if this entry is
  /// not active, or its ownership was not confirmed recently enough.
  BacklogAdvice Backlog() const;
  /// @returns the longest wait of `Backlog`, 0 if there is none.
  Duration LongestPredictedWait() const;

  const Scheduler& scheduler() const { return m_scheduler; }
  const Ownership& ownership() const { return m_ownership; }
  /// @returns the upkeep of machines; nullptr if there is no machine service.
  const UpkeepDuty* upkeep() const { return m_upkeep.get(); }

 private:
  // Ownership.
  void Tick();
  /// Runs the next step towards or within the ownership, if one is due.
  void TakeStep();
  void Run(const ReadViewStep& step);
  void Run(const OpenLeaseStep& step);
  void Run(const ClaimStep& step);
  void Run(const RenewStep& step);
  void OnClaimCompleted(const ClaimStep& step,
                        const Result<StoreCommit>& commit);
  /// Ends this term of ownership and discards its state. Does nothing if this
  /// entry is not the owner.
  /// @param reason for the log.
  void LoseOwnership(const char* reason);

  // Loading.
  /// Starts a term: the time from one gain of the ownership to its loss.
  void BeginTerm();
  void LoadProgress();
  /// Takes over what the previous owner had learned about interference.
  void LoadInterference();
  void SaveInterference();
  /// Takes over what the previous owner had learned about run times.
  void LoadRunTimes();
  void SaveRunTimes();
  void OnWorkSnapshot(const StoreSnapshot& snapshot);
  void OnWorkEvent(const StoreEvent& event);
  void ApplyWorkItem(const StoreItem& item);
  /// Applies a job from a listing, unless the store has told of it before in
  /// this term: it may have ended and been forgotten since.
  /// @param as_of see `StoreSnapshot::as_of`.
  void ApplyListedJob(const StoreItem& item, std::uint64_t as_of);
  void AddStoredJob(const JobId& job, const std::string& bytes);
  void RestoreLoadedProgress();

  // Running.
  /// Observes the queues for the forecast, if that is due.
  void ObserveBacklog();
  void LogBacklog(BacklogAdvice advice);
  /// Schedules the next round unless one is already scheduled.
  void ScheduleRound();
  void RunRound();
  void WriteProgress();
  void OnProgressWritten(const std::vector<ProgressWrite>& writes,
                         const Result<StoreCommit>& commit);
  void OnProgressConflict(const std::vector<ProgressWrite>& writes,
                          const StoreCommit& commit);
  void SendPendingOrders();
  /// Adds a host to the scheduler and connects to its agent. Replaces the
  /// connection if the address has changed.
  void AddLink(const HostId& host, const std::string& address);
  /// @returns whether the ownership was confirmed recently enough to grant
  /// leases and to answer for the jobs' states.
  bool IsOwnershipConfirmed() const;
  /// @returns whether the store has recently confirmed that this entry knows
  /// all jobs and cancellations. Call it only while this entry is active.
  bool IsWorkCurrent() const;

  boost::asio::io_context& m_loop;
  StorePort& m_store;
  PeerClients& m_peers;
  const OwnerSettings m_settings;
  const Clock& m_clock;
  Ownership m_ownership;
  Scheduler m_scheduler;
  LearnedArchive m_archive;
  LearnedArchive m_run_times;
  BacklogForecast m_forecast;
  BacklogAdvice m_logged_backlog;
  std::unique_ptr<UpkeepDuty> m_upkeep;
  /// Follows jobs, cancellations and hosts in the store during a term.
  std::unique_ptr<PrefixFollower> m_work;
  std::map<HostId, std::unique_ptr<HostLink>> m_links;
  /// The stored progress, until it is restored into the scheduler.
  std::optional<StoreSnapshot> m_progress;
  /// The store has told of all jobs up to this revision in this term. Listed
  /// items may be newer, and others of the same age missing, since the pages of
  /// a listing are no snapshot.
  std::uint64_t m_told_to = 0;
  Timer m_tick_timer;
  Timer m_round_timer;
  Duration m_round_duration{0};
  /// Delays the next load or write of progress after one has failed.
  Timer m_store_retry;
  bool m_loaded = false;
  bool m_write_in_flight = false;
  bool m_drained_domains_known = false;
  bool m_retired = false;
  /// Exists during a term. Callbacks hold weak pointers to it, by which they
  /// ignore results of calls from an earlier term.
  std::shared_ptr<int> m_term;
};

}  // namespace zinniacart

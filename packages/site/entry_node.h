#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "intake/store_availability.h"
#include "jobs/job_record.h"
#include "jobs/queue.h"
#include "net/http_server.h"
#include "scheduling/succession.h"
#include "site/entry_directory.h"
#include "site/job_intake.h"
#include "site/owner.h"
#include "site/peer_clients.h"
#include "site/prefix_follower.h"
#include "site/registration.h"
#include "site/store_monitor.h"
#include "site/timer.h"

namespace zinniacart {

/// Identity and addresses of one entry.
struct EntrySiteSettings {
  EntryId entry;
  std::string ip;  ///< Local address that the peer server listens on.
  std::uint16_t peer_port = 0;  ///< Port for requests of other entries.
  OwnerSettings owner;
  StoreAvailabilitySettings store_availability;
  net::ServerLimits peer_listener;
  net::ClientLimits to_peers;
};

/// An entry process of a site. It accepts jobs from callers, serves the other
/// entries' requests, and competes for the ownership of the scheduling. An
/// owner with clearly fewer processors than this entry is asked to hand the
/// ownership over. Runs on one event loop; no call blocks.
class EntryNode final {
 public:
  EntryNode(boost::asio::io_context& loop,
            StorePort& store,
            EntrySiteSettings settings,
            const Clock& clock);

  /// Listens for peers, starts to follow the store, registers this entry and
  /// competes for the ownership.
  /// @returns `kInvalidArgument` if the peer address cannot be listened on.
  Result<void> Start();

  /// Puts a configuration in force. One that is not newer than the current one
  /// is ignored.
  void OnConfiguration(SiteConfiguration configuration);
  /// @param domains all failure domains that operators have drained.
  void OnEvacuated(std::set<DomainId> domains);
  /// @param waves all upkeep waves that operators ask for.
  void OnWaves(std::map<WaveId, WaveSpec> waves);

  /// Stops competing for the ownership and, if this entry is the owner, ends
  /// its lease so that another entry can take over at once.
  /// @param done runs when the store has replied or the call has failed; at
  ///             once if this entry is not the owner.
  void Retire(std::function<void()> done);

  /// @returns the configuration in force, nothing before the first one.
  const std::optional<SiteConfiguration>& configuration() const {
    return m_configuration;
  }
  JobIntake& intake() { return *m_intake; }
  const Owner& owner() const { return *m_owner; }
  /// The store, with its health. All calls of the process go through it.
  StoreMonitor& store() { return m_store; }
  /// @returns the listener for other entries; call it only after `Start`.
  const net::HttpServer& peer_server() const { return *m_peer_server; }

 private:
  void HandlePeer(net::Request request, net::Responder respond);
  /// Serves an entry that relays a job or a cancellation it could not store.
  void HandleRelayedRequest(const net::Request& request,
                            net::Responder respond);
  /// Replaces the policy of a job that another entry accepted, if this entry
  /// has a newer configuration.
  /// @returns false if that configuration does not declare the job's queue.
  bool ApplyNewerConfiguration(JobRecord& record) const;
  void OnDirectoryChanged();
  void HandOver(const EntryId& to, const net::Responder& respond);
  /// Periodically checks whether to ask the owner to hand over to this entry.
  void CheckForHandOver();
  /// Serves requests that entries send to the owner.
  void HandleOwnerRequest(const net::Request& request, net::Responder respond);

  boost::asio::io_context& m_loop;
  const EntrySiteSettings m_settings;
  const Clock& m_clock;
  StoreMonitor m_store;
  PeerClients m_peers;
  EntryDirectory m_directory;
  Succession m_succession;
  Timer m_hand_over_timer;
  std::unique_ptr<Owner> m_owner;
  std::unique_ptr<JobIntake> m_intake;
  std::unique_ptr<PrefixFollower> m_entries_follower;
  std::unique_ptr<net::HttpServer> m_peer_server;
  std::optional<SiteConfiguration> m_configuration;
  Registration m_registration;
};

}  // namespace zinniacart

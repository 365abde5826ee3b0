#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "jobs/queue.h"
#include "net/http_server.h"
#include "scheduling/succession.h"
#include "site/entry_directory.h"
#include "site/job_intake.h"
#include "site/owner.h"
#include "site/peer_clients.h"
#include "site/prefix_follower.h"
#include "site/registration.h"
#include "site/timer.h"

namespace zinniacart {

struct EntrySiteSettings {
  EntryId entry;
  std::string ip;
  std::uint16_t peer_port = 0;  ///< For agents' and entries' own protocol.
  OwnerSettings owner;
};

/// An entry of a site: takes jobs in and stands ready to own the scheduling.
class EntryNode final {
 public:
  EntryNode(boost::asio::io_context& loop,
            StorePort& store,
            EntrySiteSettings settings,
            const Clock& clock);

  /// @returns `kInvalidArgument` where an address cannot be listened on.
  Result<void> Start();

  void OnConfiguration(SiteConfiguration configuration);
  void OnEvacuated(std::set<DomainId> domains);

  /// Leaves: hands the ownership over, then calls `done`.
  void Retire(std::function<void()> done);

  /// @returns the declarations in force, nothing before the first.
  const std::optional<SiteConfiguration>& configuration() const {
    return m_configuration;
  }
  JobIntake& intake() { return *m_intake; }
  const Owner& owner() const { return *m_owner; }

 private:
  void HandlePeer(net::Request request, net::Responder respond);
  void HandleStoreRequest(const net::Request& request, net::Responder respond);
  void OnDirectoryChanged();
  void HandOver(const EntryId& to, const net::Responder& respond);
  void ConsiderOffer();
  void HandleQuestion(const net::Request& request, net::Responder respond);

  boost::asio::io_context& m_loop;
  const EntrySiteSettings m_settings;
  const Clock& m_clock;
  PeerClients m_peers;
  EntryDirectory m_directory;
  Succession m_succession;
  Timer m_offer;
  std::unique_ptr<Owner> m_owner;
  std::unique_ptr<JobIntake> m_intake;
  std::unique_ptr<PrefixFollower> m_entries;
  std::unique_ptr<net::HttpServer> m_peer_server;
  std::optional<SiteConfiguration> m_configuration;
  Registration m_registration;
};

}  // namespace zinniacart

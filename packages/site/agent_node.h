#pragma once

#include <boost/asio/io_context.hpp>
#include <list>
#include <memory>
#include <string>

#include "base/clock.h"
#include "hosting/host_supervisor.h"
#include "net/http_server.h"
#include "site/registration.h"
#include "site/store_port.h"
#include "site/timer.h"
#include "site/worker_port.h"

namespace zinniacart {

struct AgentSiteSettings {
  HostId host;
  std::string ip;               ///< Address for the owner's requests.
  std::uint16_t peer_port = 0;  ///< Port for the owner's requests.
  SupervisorSettings supervisor;
  net::ServerLimits peer_listener;
};

/// The agent process's main class, one on each host. Receives the owner's
/// orders over HTTP, lets a `HostSupervisor` decide what to call, makes these
/// calls to the host's worker, and answers the owner with reports.
///
/// It also stores its address, by which the owner finds it. Runs on the event
/// loop and is not thread-safe.
class AgentNode final {
 public:
  AgentNode(boost::asio::io_context& loop,
            StorePort& store,
            WorkerPort& worker,
            AgentSiteSettings settings,
            const Clock& clock);

  /// Starts to listen for the owner's requests and to call the worker.
  /// @returns `kInvalidArgument` if it cannot listen on the address.
  Result<void> Start();

  /// The worker announced itself.
  /// @param sequence see `HostSupervisor::OnAnnouncement`.
  void OnAnnouncement(const WorkerFacts& facts, std::uint64_t sequence);

  const HostSupervisor& supervisor() const { return m_supervisor; }
  /// @returns the listener for the owner; call it only after `Start`.
  const net::HttpServer& peer_server() const { return *m_peer_server; }

 private:
  /// A request of the owner that is answered when there is something to report.
  struct WaitingRequest {
    net::Responder respond;
    Instant until;  ///< It is answered at this time in any case.
  };

  void HandlePeer(net::Request request, net::Responder respond);
  /// Makes the pending calls to the worker, then answers waiting requests. Does
  /// nothing if it is called from within one of these calls.
  void SendCallsAndReports();
  void Run(const HoldCall& call);
  void Run(const StartCall& call);
  void Run(const StopCall& call);
  void Run(const PaceCall& call);
  /// Sends a report in answer to all waiting requests if there are changes to
  /// report, otherwise only to those whose time is over.
  void AnswerWaitingRequests();
  void Tick();

  boost::asio::io_context& m_loop;
  WorkerPort& m_worker;
  const AgentSiteSettings m_settings;
  const Clock& m_clock;
  HostSupervisor m_supervisor;
  std::unique_ptr<net::HttpServer> m_peer_server;
  std::list<WaitingRequest> m_waiting_requests;
  /// `HostSupervisor::change_count` when requests were last answered.
  std::uint64_t m_reported_changes = 0;
  Timer m_tick_timer;
  Registration m_registration;
  bool m_sending_calls = false;
  /// Whether the last hold succeeded, to log only when this changes.
  bool m_holds_succeed = true;
  /// As in the worker's last lists.
  std::string m_unreadable_row;
};

}  // namespace zinniacart

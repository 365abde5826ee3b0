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
  std::string ip;
  std::uint16_t peer_port = 0;  ///< Where the owner calls.
  SupervisorSettings supervisor;
};

/// The agent beside one worker: carries out the owner's orders and reports.
class AgentNode final {
 public:
  AgentNode(boost::asio::io_context& loop,
            StorePort& store,
            WorkerPort& worker,
            AgentSiteSettings settings,
            const Clock& clock);

  /// @returns `kInvalidArgument` where an address cannot be listened on.
  Result<void> Start();

  /// The worker announced itself; see `HostSupervisor::OnAnnouncement`.
  void OnAnnouncement(const WorkerFacts& facts, std::uint64_t sequence);

  const HostSupervisor& supervisor() const { return m_supervisor; }

 private:
  /// A request of the owner's that waits for news.
  struct Waiting {
    net::Responder respond;
    Instant until;
  };

  void HandlePeer(net::Request request, net::Responder respond);
  void Pump();
  void Run(const HoldCall& call);
  void Run(const StartCall& call);
  void Run(const StopCall& call);
  void Run(const PaceCall& call);
  void AnswerWaiting();
  void Tick();

  boost::asio::io_context& m_loop;
  WorkerPort& m_worker;
  const AgentSiteSettings m_settings;
  const Clock& m_clock;
  HostSupervisor m_supervisor;
  std::unique_ptr<net::HttpServer> m_peer_server;
  std::list<Waiting> m_waiting;
  std::uint64_t m_news_told = 0;
  Timer m_tick;
  Registration m_registration;
  bool m_pumping = false;
  bool m_worker_answers = true;
};

}  // namespace zinniacart

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/ids.h"
#include "scheduling/host_messages.h"
#include "site/peer_clients.h"
#include "site/timer.h"

namespace zinniacart {

/// The owner's conversation with the agent of one host: one request always
/// waits there for news, further ones carry orders at once.
class HostLink final {
 public:
  struct Events {
    /// @returns the orders to send.
    std::function<HostOrders(const HostId&)> take_orders;
    std::function<void(const HostId&, const HostReport&)> on_report;
    std::function<void(const HostId&)> on_lost;
    /// The agent knows a newer owner.
    std::function<void(const HostId&)> on_stale;
  };

  HostLink(boost::asio::io_context& loop,
           PeerClients& peers,
           HostId host,
           std::string address,
           Events events);

  /// Starts waiting for news.
  void Start();
  /// Sends the orders that wait.
  void Push();

  const std::string& address() const { return m_address; }

 private:
  void Send(bool poll);
  void OnAnswer(bool poll, const Result<net::Response>& response);

  PeerClients& m_peers;
  const HostId m_host;
  const std::string m_address;
  const Events m_events;
  Timer m_retry;
  Duration m_backoff{0};
  bool m_push_in_flight = false;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace zinniacart

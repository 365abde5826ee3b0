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

/// The owner's connection to the agent of one host.
///
/// Sends orders to the agent and receives its reports as responses. One request
/// is always a long poll, which the agent answers when it has something to
/// report. `SendOrders` sends a second request with orders that must not wait
/// for the poll's response. A failed poll is repeated after an exponential
/// delay.
///
/// The callbacks run on the event loop. They may destroy the link. A link that
/// is destroyed calls none of them any more.
class HostLink final {
 public:
  struct Events {
    /// @returns the orders to send. Called for each request.
    std::function<HostOrders(const HostId&)> take_orders;
    /// A report was received.
    std::function<void(const HostId&, const HostReport&)> on_report;
    /// A request failed or its response cannot be decoded: the agent may not
    /// have received its orders.
    std::function<void(const HostId&)> on_orders_lost;
    /// The agent refused the orders because it has accepted a newer owner. A
    /// poll that is refused so is not repeated.
    std::function<void(const HostId&)> on_newer_owner;
  };

  /// @param address the agent's peer address, as ip:port.
  HostLink(boost::asio::io_context& loop,
           PeerClients& peers,
           HostId host,
           std::string address,
           Events events);

  /// Starts to poll the agent.
  void Start();
  /// Sends the pending orders now. Does nothing while an earlier call's request
  /// is in flight.
  void SendOrders();

  const std::string& address() const { return m_address; }

 private:
  void Send(bool poll);
  void OnResponse(bool poll, const Result<net::Response>& response);

  PeerClients& m_peers;
  const HostId m_host;
  const std::string m_address;
  const Events m_events;
  Timer m_retry;
  Duration m_backoff{0};
  bool m_orders_in_flight = false;
  /// Callbacks hold weak pointers to it, to detect that the link is destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace zinniacart

#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "net/http_client.h"

namespace zinniacart {

/// HTTP clients for requests to the product's other processes (entries and
/// agents). Keeps one client for each address.
class PeerClients final {
 public:
  /// @param limits bound the connections and responses of all clients together.
  explicit PeerClients(boost::asio::io_context& loop,
                       const net::ClientLimits& limits = {})
      : m_loop(loop), m_budget(std::make_shared<net::ClientBudget>(limits)) {}

  /// Sends a POST request.
  /// @param address where to send it, as ip:port.
  /// @param done    receives the response, or the error of
  ///                `net::Address::Parse` or `net::HttpClient::Call`.
  void Post(const std::string& address,
            const std::string& path,
            std::string body,
            Duration timeout,
            net::ResponseCallback done);

 private:
  boost::asio::io_context& m_loop;
  const std::shared_ptr<net::ClientBudget> m_budget;
  std::map<std::string, std::shared_ptr<net::HttpClient>> m_clients;
};

}  // namespace zinniacart

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
  explicit PeerClients(boost::asio::io_context& loop) : m_loop(loop) {}

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
  std::map<std::string, std::shared_ptr<net::HttpClient>> m_clients;
};

}  // namespace zinniacart

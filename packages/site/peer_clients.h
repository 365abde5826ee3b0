#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "net/http_client.h"

namespace zinniacart {

/// Clients to the product's other processes, one an address.
class PeerClients final {
 public:
  explicit PeerClients(boost::asio::io_context& loop) : m_loop(loop) {}

  /// Posts `body` to `path` at `address`.
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

#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "net/http_types.h"

namespace zinniacart::net {

class ClientConnection;

/// Calls to one HTTP server over a pool of kept connections, one request at a
/// time on each. A connection whose call failed is closed, so a silent
/// connection costs one timeout at most. Runs on the event loop's thread.
class HttpClient final : public std::enable_shared_from_this<HttpClient> {
 public:
  static std::shared_ptr<HttpClient> Create(boost::asio::io_context& loop,
                                            Address address);

  /// Sends `request` and reports its outcome exactly once.
  /// @param timeout  bounds connecting, sending and the wait for the response.
  /// @param patience `kEachPause` for responses that may take a thin link
  ///                 longer than a lost one should go unnoticed.
  void Call(Request request,
            Duration timeout,
            ResponseCallback done,
            Patience patience = Patience::kWhole);

  /// Closes the idle connections; the next calls use new ones.
  void DropIdleConnections();

  const Address& address() const { return m_address; }

 private:
  HttpClient(boost::asio::io_context& loop, Address address);

  friend class ClientConnection;
  void GiveBack(std::shared_ptr<ClientConnection> connection);

  boost::asio::io_context& m_loop;
  const Address m_address;
  std::vector<std::shared_ptr<ClientConnection>> m_idle;
};

}  // namespace zinniacart::net

#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "net/client_budget.h"
#include "net/http_types.h"

namespace zinniacart::net {

class ClientConnection;

/// An asynchronous HTTP client for one server. It holds a pool of keep-alive
/// connections, each of which carries one request at a time. A connection is
/// closed when its call fails, so an unresponsive connection costs at most one
/// timeout. The connections and the size of responses are bounded by a
/// `ClientBudget`, which several clients may share. Use it only on the event
/// loop's thread.
class HttpClient final : public std::enable_shared_from_this<HttpClient> {
 public:
  /// Creates a client with a budget of its own.
  static std::shared_ptr<HttpClient> Create(boost::asio::io_context& loop,
                                            Address address,
                                            const ClientLimits& limits = {});
  /// Creates a client that shares `budget` with others.
  static std::shared_ptr<HttpClient> Create(
      boost::asio::io_context& loop,
      Address address,
      std::shared_ptr<ClientBudget> budget);
  ~HttpClient();

  /// Sends `request` and reports its outcome exactly once.
  /// @param timeout  in milliseconds; bounds connecting, sending and waiting
  ///                 for the response, as `patience` selects.
  /// @param done     receives the response, `kUnreachable` (also if all
  ///                 connections are in use), `kOutcomeUnknown` or `kTooLarge`
  ///                 (see `ResponseCallback`).
  /// @param patience `kEachPause` for large responses: over a slow link they
  ///                 may take longer than the time within which a lost
  ///                 connection has to be detected.
  void Call(Request request,
            Duration timeout,
            ResponseCallback done,
            Patience patience = Patience::kWhole);

  /// Closes the idle connections; later calls open new ones.
  void DropIdleConnections();

  const Address& address() const { return m_address; }

 private:
  HttpClient(boost::asio::io_context& loop,
             Address address,
             std::shared_ptr<ClientBudget> budget);

  friend class ClientConnection;
  void ReturnToPool(std::shared_ptr<ClientConnection> connection);
  /// @returns a connection; null if all are in use.
  std::shared_ptr<ClientConnection> TakeConnection();

  boost::asio::io_context& m_loop;
  const Address m_address;
  const std::shared_ptr<ClientBudget> m_budget;
  std::size_t m_connections = 0;  ///< In use or idle.
  std::vector<std::shared_ptr<ClientConnection>> m_idle;
};

}  // namespace zinniacart::net

#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "net/connection_ledger.h"
#include "net/http_server.h"
#include "net/message_reader.h"

namespace zinniacart::net {

/// One accepted connection of an `HttpServer`. Every step tells the server what
/// the connection is occupied with and how much memory it holds.
class ServerConnection final
    : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(boost::asio::ip::tcp::socket socket, HttpServer& server);
  ~ServerConnection();

  /// Reads the next request and passes it to the server's handler.
  void ReadRequest();

  /// Answers 503 without reading a request, and closes the connection.
  void Refuse();

  /// Closes the connection in favour of others. A client whose request is
  /// incomplete gets 503 as far as the socket accepts it at once.
  /// @param reason see `HttpServer::refusals`.
  void Evict(const char* reason);

  /// The connection's phase has taken as long as it may.
  void OnTimeLimit();

  /// Closes the connection unless a request is in flight or data of one has
  /// been received.
  void CloseIfIdle();

  void Close();

  /// Called when the server is destroyed: the connection stops using it and
  /// closes after its current response.
  void DetachFromServer() { m_server = nullptr; }

 private:
  void ReadSome();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  void Parse();
  void Handle();
  /// Answers a request that the handler does not see, and closes the
  /// connection.
  void RejectRequest(int status, const char* reason);
  void Respond(Response response);
  void PrepareResponse(Response response);
  void Write();
  void OnWritten(bool failed);
  /// Discards what the client still sends: closing a socket with unread data
  /// would discard the answer on its way to the client.
  void Linger();
  void SetPhase(ConnectionPhase phase);
  void SetHeldBytes(std::size_t bytes);

  boost::asio::ip::tcp::socket m_socket;
  HttpServer* m_server;
  ConnectionRecord m_record;
  MessageReader<true> m_reader;
  boost::beast::http::response<boost::beast::http::string_body> m_response;
  std::size_t m_discarded_bytes = 0;
  bool m_keep_alive = true;
  bool m_refused = false;
};

}  // namespace zinniacart::net

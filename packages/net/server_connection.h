#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>

#include "net/http_server.h"

namespace zinniacart::net {

/// One accepted connection of an `HttpServer`.
class ServerConnection final
    : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(boost::asio::ip::tcp::socket socket, HttpServer& server);
  ~ServerConnection();

  /// Reads the next request and passes it to the server's handler.
  void ReadRequest();

  /// Closes the connection unless a request is in flight or data of one has
  /// been received.
  void CloseIfIdle();

  bool carries_request() const { return m_carries_request; }

  /// Called when the server is destroyed: the connection stops using it and
  /// closes after its current response.
  void DetachFromServer() { m_server = nullptr; }

 private:
  void Handle();
  void RejectRequest(int status);
  void Respond(Response response);
  void Write();
  void Close();

  boost::beast::tcp_stream m_stream;
  HttpServer* m_server;
  boost::beast::flat_buffer m_buffer;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      m_parser;
  boost::beast::http::response<boost::beast::http::string_body> m_response;
  bool m_carries_request = false;
  bool m_keep_alive = true;
};

}  // namespace zinniacart::net

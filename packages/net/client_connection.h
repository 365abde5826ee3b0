#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>

#include "net/http_types.h"

namespace zinniacart::net {

class HttpClient;

/// One TCP connection of an `HttpClient`; carries one request at a time. It
/// returns to the client's pool after a complete response that allows
/// keep-alive, and is closed after an error.
class ClientConnection final
    : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(boost::asio::io_context& loop,
                   std::shared_ptr<HttpClient> client);

  /// Sends `request`, connecting first if the connection is not open.
  /// @param timeout  in milliseconds; `patience` selects what it bounds.
  /// @param done     receives the response, or `kUnreachable` if connecting
  ///                 failed, `kTooLarge` if the response exceeds the limit,
  ///                 or `kOutcomeUnknown` if another step failed.
  void Start(Request request,
             Duration timeout,
             Patience patience,
             ResponseCallback done);

 private:
  void Prepare(Request request);
  void Connect();
  void Write();
  void Read();
  void ReadSome();
  void Finish();
  void FailWith(ErrorCode code, const boost::system::error_code& error);

  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer;
  std::weak_ptr<HttpClient> m_client;
  Address m_address;
  boost::beast::http::request<boost::beast::http::string_body> m_request;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      m_parser;
  ResponseCallback m_done;
  SteadyClock m_clock;
  std::optional<Instant> m_first_bytes_at;
  Duration m_timeout{0};
  Patience m_patience = Patience::kWhole;
  bool m_connected = false;
};

}  // namespace zinniacart::net

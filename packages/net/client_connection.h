#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>

#include "net/client_budget.h"
#include "net/http_types.h"
#include "net/message_reader.h"

namespace zinniacart::net {

class HttpClient;

/// One TCP connection of an `HttpClient`; carries one request at a time. It
/// returns to the client's pool after a complete response that allows
/// keep-alive, and is closed after an error.
class ClientConnection final
    : public std::enable_shared_from_this<ClientConnection> {
 public:
  /// @param budget has counted this connection, which returns it when it ends.
  ClientConnection(boost::asio::io_context& loop,
                   const std::shared_ptr<HttpClient>& client,
                   std::shared_ptr<ClientBudget> budget);
  ~ClientConnection();

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
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  void OnProgress(ReadProgress progress);
  /// Discards an interim response (1xx) and goes on with the final one.
  void SkipInterimResponse();
  void Finish(MessageReader<false>::Message message);
  void FailWith(ErrorCode code, const std::string& detail);
  /// @returns false if the responses of all connections hold too much.
  bool SetHeldBytes(std::size_t bytes);

  boost::beast::tcp_stream m_stream;
  std::weak_ptr<HttpClient> m_client;
  const std::shared_ptr<ClientBudget> m_budget;
  Address m_address;
  boost::beast::http::request<boost::beast::http::string_body> m_request;
  MessageReader<false> m_reader;
  std::size_t m_held_bytes = 0;
  int m_interim_responses = 0;
  ResponseCallback m_done;
  SteadyClock m_clock;
  std::optional<Instant> m_first_bytes_at;
  Duration m_timeout{0};
  Patience m_patience = Patience::kWhole;
  bool m_connected = false;
};

}  // namespace zinniacart::net

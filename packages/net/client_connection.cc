#include "net/client_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <utility>

#include "net/http_client.h"

namespace zinniacart::net {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Limits the memory that one response body takes: twice the largest value
/// that the platform's store holds, because encoding enlarges the value.
constexpr std::size_t kMaxResponseBytes = 8U << 20U;

}  // namespace

ClientConnection::ClientConnection(boost::asio::io_context& loop,
                                   std::shared_ptr<HttpClient> client)
    : m_stream(loop), m_client(client), m_address(client->address()) {}

void ClientConnection::Start(Request request,
                             Duration timeout,
                             Patience patience,
                             ResponseCallback done) {
  m_timeout = timeout;
  m_patience = patience;
  m_done = std::move(done);
  Prepare(std::move(request));
  m_stream.expires_after(timeout);
  if (m_connected) {
    return Write();
  }
  Connect();
}

void ClientConnection::Prepare(Request request) {
  m_request = {};
  m_request.version(11);
  m_request.method_string(request.method);
  m_request.target(request.target);
  m_request.set(http::field::host, m_address.ToString());
  for (const auto& [name, value] : request.headers) {
    m_request.set(name, value);
  }
  m_request.body() = std::move(request.body);
  if (!m_request.body().empty()) {
    m_request.set(http::field::content_type, "application/json");
  }
  m_request.prepare_payload();
}

void ClientConnection::Connect() {
  const tcp::endpoint endpoint(boost::asio::ip::make_address_v4(m_address.ip),
                               m_address.port);
  m_stream.async_connect(
      endpoint, [this, self = shared_from_this()](error_code error) {
        if (error) {
          return FailWith(ErrorCode::kUnreachable, error);
        }
        m_connected = true;
        m_stream.socket().set_option(tcp::no_delay(true), error);
        Write();
      });
}

void ClientConnection::Write() {
  http::async_write(
      m_stream, m_request,
      [this, self = shared_from_this()](error_code error, std::size_t) {
        if (error) {
          return FailWith(ErrorCode::kOutcomeUnknown, error);
        }
        Read();
      });
}

void ClientConnection::Read() {
  m_first_bytes_at.reset();
  m_parser.emplace();
  m_parser->body_limit(kMaxResponseBytes);
  ReadSome();
}

void ClientConnection::ReadSome() {
  http::async_read_some(
      m_stream, m_buffer, *m_parser,
      [this, self = shared_from_this()](error_code error, std::size_t) {
        if (error == http::error::body_limit) {
          return FailWith(ErrorCode::kTooLarge, error);
        }
        if (error) {
          return FailWith(ErrorCode::kOutcomeUnknown, error);
        }
        m_first_bytes_at = m_first_bytes_at.value_or(m_clock.Now());
        if (m_parser->is_done()) {
          return Finish();
        }
        if (m_patience == Patience::kEachPause) {
          m_stream.expires_after(m_timeout);
        }
        ReadSome();
      });
}

void ClientConnection::Finish() {
  auto message = m_parser->release();
  m_parser.reset();
  Response response;
  response.status = static_cast<int>(message.result_int());
  response.body = std::move(message.body());
  response.received_in = m_clock.Now() - *m_first_bytes_at;
  for (const auto& field : message) {
    response.headers.emplace_back(std::string(field.name_string()),
                                  std::string(field.value()));
  }
  auto done = std::exchange(m_done, nullptr);
  const auto client = m_client.lock();
  if (client && message.keep_alive()) {
    m_stream.expires_never();
    client->ReturnToPool(shared_from_this());
  }
  done(std::move(response));
}

void ClientConnection::FailWith(ErrorCode code, const error_code& error) {
  error_code ignored;
  m_stream.socket().close(ignored);
  m_connected = false;
  auto done = std::exchange(m_done, nullptr);
  done(Fail(code, m_address.ToString() + ": " + error.message()));
}

}  // namespace zinniacart::net

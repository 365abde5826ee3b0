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

/// A server rarely sends more than one or two of them.
constexpr int kMaxInterimResponses = 16;
constexpr int kFirstFinalStatus = 200;
constexpr int kSwitchingProtocols = 101;

}  // namespace

ClientConnection::ClientConnection(boost::asio::io_context& loop,
                                   const std::shared_ptr<HttpClient>& client,
                                   std::shared_ptr<ClientBudget> budget)
    : m_stream(loop),
      m_client(client),
      m_budget(std::move(budget)),
      m_address(client->address()) {}

ClientConnection::~ClientConnection() {
  SetHeldBytes(0);
  m_budget->ReturnConnection();
  if (const auto client = m_client.lock()) {
    --client->m_connections;
  }
}

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
          return FailWith(ErrorCode::kUnreachable, error.message());
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
          return FailWith(ErrorCode::kOutcomeUnknown, error.message());
        }
        Read();
      });
}

void ClientConnection::Read() {
  m_first_bytes_at.reset();
  m_interim_responses = 0;
  m_reader.Begin(m_budget->limits().most_header_bytes,
                 m_budget->limits().most_body_bytes);
  ReadSome();
}

void ClientConnection::ReadSome() {
  m_stream.async_read_some(
      m_reader.Prepare(),
      [this, self = shared_from_this()](error_code error, std::size_t bytes) {
        OnRead(error, bytes);
      });
}

void ClientConnection::OnRead(const error_code& error, std::size_t bytes) {
  if (error == boost::asio::error::eof &&
      m_reader.ParseEnd() == ReadProgress::kComplete) {
    return Finish(m_reader.TakeMessage());
  }
  if (error) {
    return FailWith(ErrorCode::kOutcomeUnknown, error.message());
  }
  m_reader.Commit(bytes);
  m_first_bytes_at = m_first_bytes_at.value_or(m_clock.Now());
  OnProgress(m_reader.Parse());
}

void ClientConnection::OnProgress(ReadProgress progress) {
  if (!SetHeldBytes(m_reader.HeldBytes())) {
    return FailWith(ErrorCode::kTooLarge, "no memory for the response");
  }
  switch (progress) {
    case ReadProgress::kMalformed:
      return FailWith(ErrorCode::kOutcomeUnknown, "malformed response");
    case ReadProgress::kHeaderTooLarge:
      return FailWith(ErrorCode::kTooLarge,
                      "header, chunk header or trailers exceed " +
                          std::to_string(m_budget->limits().most_header_bytes) +
                          " bytes");
    case ReadProgress::kBodyTooLarge:
      return FailWith(ErrorCode::kTooLarge,
                      "body exceeds " +
                          std::to_string(m_budget->limits().most_body_bytes) +
                          " bytes");
    case ReadProgress::kComplete:
      return Finish(m_reader.TakeMessage());
    case ReadProgress::kNeedMore:
      break;
  }
  if (m_patience == Patience::kEachPause) {
    m_stream.expires_after(m_timeout);
  }
  ReadSome();
}

void ClientConnection::SkipInterimResponse() {
  if (++m_interim_responses > kMaxInterimResponses) {
    return FailWith(ErrorCode::kOutcomeUnknown,
                    "more than " + std::to_string(kMaxInterimResponses) +
                        " interim responses");
  }
  m_reader.Begin(m_budget->limits().most_header_bytes,
                 m_budget->limits().most_body_bytes);
  OnProgress(m_reader.Parse());
}

void ClientConnection::Finish(MessageReader<false>::Message message) {
  const int status = static_cast<int>(message.result_int());
  if (status < kFirstFinalStatus && status != kSwitchingProtocols) {
    return SkipInterimResponse();
  }
  Response response;
  response.status = status;
  response.body = std::move(message.body());
  response.received_in = m_clock.Now() - *m_first_bytes_at;
  for (const auto& field : message) {
    response.headers.emplace_back(std::string(field.name_string()),
                                  std::string(field.value()));
  }
  auto done = std::exchange(m_done, nullptr);
  const auto client = m_client.lock();
  m_request = {};
  m_reader.ShrinkBuffer();
  SetHeldBytes(0);
  // Bytes beyond the response would be taken for the next one.
  if (client && message.keep_alive() && !m_reader.has_unparsed_bytes()) {
    m_stream.expires_never();
    client->ReturnToPool(shared_from_this());
  }
  done(std::move(response));
}

void ClientConnection::FailWith(ErrorCode code, const std::string& detail) {
  error_code ignored;
  m_stream.socket().close(ignored);
  m_connected = false;
  m_reader.Clear();
  SetHeldBytes(0);
  auto done = std::exchange(m_done, nullptr);
  done(Fail(code, m_address.ToString() + ": " + detail));
}

bool ClientConnection::SetHeldBytes(std::size_t bytes) {
  const std::size_t before = std::exchange(m_held_bytes, bytes);
  return m_budget->ChangeHeldBytes(before, bytes);
}

}  // namespace zinniacart::net

#include "net/server_connection.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <string_view>
#include <utility>

namespace zinniacart::net {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kUnavailable = 503;

constexpr const char* kRetryAfterSeconds = "1";

/// A refused client that sends more than this loses the answer.
constexpr std::size_t kMaxDiscardedBytes = 4U << 20U;

/// Memory of a connection that has received nothing.
constexpr std::size_t kConnectionBytes = 2048;

/// The 503 to a connection that is closed at once.
constexpr std::string_view kClosedResponse =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    "Connection: close\r\nContent-Length: 0\r\n\r\n";

constexpr std::string_view kAbsoluteFormScheme = "http://";

/// @returns the host in lower case, because host names are case-insensitive.
std::string HostWithoutPort(const std::string& authority) {
  return boost::algorithm::to_lower_copy(
      authority.substr(0, authority.rfind(':')));
}

/// Splits an absolute-form target, which overrides the Host header.
void SetHostAndTarget(std::string target, Request& request) {
  if (!boost::algorithm::istarts_with(target, kAbsoluteFormScheme)) {
    request.host = HostWithoutPort(request.Header("Host"));
    request.target = std::move(target);
    return;
  }
  const std::string rest = target.substr(kAbsoluteFormScheme.size());
  const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
  request.host = HostWithoutPort(rest.substr(0, end));
  request.target = rest.substr(end);
  if (!request.target.starts_with('/')) {
    request.target.insert(0, "/");
  }
}

}  // namespace

ServerConnection::ServerConnection(boost::asio::ip::tcp::socket socket,
                                   HttpServer& server)
    : m_socket(std::move(socket)), m_server(&server) {
  error_code ignored;
  m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  m_record.held_bytes = kConnectionBytes;
  m_server->m_connections.emplace(&m_record, this);
  m_server->m_ledger.Add(m_record, m_server->m_clock.Now());
}

ServerConnection::~ServerConnection() {
  if (m_server != nullptr) {
    m_server->Remove(m_record);
  }
}

void ServerConnection::SetPhase(ConnectionPhase phase) {
  if (m_server != nullptr) {
    m_server->m_ledger.SetPhase(m_record, phase, m_server->m_clock.Now());
  }
}

void ServerConnection::SetHeldBytes(std::size_t bytes) {
  if (m_server != nullptr) {
    m_server->m_ledger.SetHeldBytes(m_record, kConnectionBytes + bytes);
  }
}

void ServerConnection::ReadRequest() {
  if (m_server == nullptr) {
    return Close();
  }
  m_reader.Begin(m_server->m_limits.most_header_bytes,
                 m_server->m_limits.most_body_bytes);
  m_reader.ShrinkBuffer();
  SetHeldBytes(m_reader.HeldBytes());
  SetPhase(ConnectionPhase::kIdle);
  if (m_reader.has_unparsed_bytes()) {
    return Parse();
  }
  ReadSome();
}

void ServerConnection::ReadSome() {
  m_socket.async_read_some(
      m_reader.Prepare(),
      [self = shared_from_this()](error_code error, std::size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void ServerConnection::OnRead(const error_code& error, std::size_t bytes) {
  if (m_refused) {
    return;  // The time limit came first.
  }
  if (error || m_server == nullptr) {
    return Close();
  }
  m_reader.Commit(bytes);
  Parse();
}

void ServerConnection::Parse() {
  if (m_record.phase == ConnectionPhase::kIdle) {
    SetPhase(ConnectionPhase::kReading);
  }
  const ReadProgress progress = m_reader.Parse();
  SetHeldBytes(m_reader.HeldBytes());
  switch (progress) {
    case ReadProgress::kMalformed:
      return RejectRequest(kBadRequest, "malformed");
    case ReadProgress::kHeaderTooLarge:
      return RejectRequest(kHeaderTooLarge, "header too large");
    case ReadProgress::kBodyTooLarge:
      return RejectRequest(kPayloadTooLarge, "body too large");
    case ReadProgress::kNeedMore:
    case ReadProgress::kComplete:
      break;
  }
  if (!m_server->MakeRoomForBytes(m_record)) {
    return RejectRequest(kUnavailable, "no memory");
  }
  if (progress == ReadProgress::kComplete) {
    return Handle();
  }
  ReadSome();
}

void ServerConnection::Handle() {
  auto message = m_reader.TakeMessage();
  m_keep_alive = message.keep_alive();
  SetPhase(ConnectionPhase::kHandling);
  Request request;
  request.method = std::string(message.method_string());
  request.body = std::move(message.body());
  for (const auto& field : message) {
    request.headers.emplace_back(std::string(field.name_string()),
                                 std::string(field.value()));
  }
  SetHostAndTarget(std::string(message.target()), request);
  m_server->m_handler(std::move(request),
                      [self = shared_from_this()](Response response) {
                        self->Respond(std::move(response));
                      });
}

void ServerConnection::RejectRequest(int status, const char* reason) {
  m_server->CountRefusal(reason);
  m_keep_alive = false;
  m_refused = true;
  m_reader.Clear();
  Response response{status, R"({"error":"the request cannot be read"})", {}};
  if (status == kUnavailable) {
    response.body = R"({"error":"no capacity; the request has not run"})";
    response.headers.emplace_back("Retry-After", kRetryAfterSeconds);
  }
  PrepareResponse(std::move(response));
  SetHeldBytes(m_response.body().size());
  SetPhase(ConnectionPhase::kLingering);
  Write();
}

void ServerConnection::Refuse() {
  RejectRequest(kUnavailable, "no connection");
}

void ServerConnection::Evict(const char* reason) {
  m_server->CountRefusal(reason);
  if (m_record.phase == ConnectionPhase::kReading) {
    error_code ignored;
    m_socket.non_blocking(true, ignored);
    m_socket.send(boost::asio::buffer(kClosedResponse), 0, ignored);
  }
  Close();
}

void ServerConnection::OnTimeLimit() {
  error_code ignored;
  if (m_record.phase == ConnectionPhase::kIdle &&
      m_socket.available(ignored) > 0) {
    return;  // A request has arrived and is about to be read.
  }
  if (m_record.phase != ConnectionPhase::kReading) {
    return Close();
  }
  m_socket.cancel(ignored);
  RejectRequest(kRequestTimeout, "not complete in time");
}

void ServerConnection::Respond(Response response) {
  if (m_server == nullptr || m_server->m_draining) {
    m_keep_alive = false;
  }
  PrepareResponse(std::move(response));
  SetHeldBytes(m_reader.HeldBytes() + m_response.body().size());
  SetPhase(ConnectionPhase::kWriting);
  Write();
}

void ServerConnection::PrepareResponse(Response response) {
  m_response = {};
  m_response.version(11);
  m_response.result(static_cast<unsigned>(response.status));
  m_response.keep_alive(m_keep_alive);
  m_response.set(http::field::content_type, "application/json");
  for (const auto& [name, value] : response.headers) {
    m_response.set(name, value);
  }
  m_response.body() = std::move(response.body);
  m_response.prepare_payload();
}

void ServerConnection::Write() {
  http::async_write(m_socket, m_response,
                    [self = shared_from_this()](error_code error, std::size_t) {
                      self->OnWritten(error.failed());
                    });
}

void ServerConnection::OnWritten(bool failed) {
  m_response = {};
  if (failed || (!m_keep_alive && !m_refused)) {
    return Close();
  }
  if (!m_refused) {
    return ReadRequest();
  }
  error_code ignored;
  m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  Linger();
}

void ServerConnection::Linger() {
  // The content is never read, so all connections share the memory.
  static thread_local std::array<char, 16384> discarded;
  m_socket.async_read_some(
      boost::asio::buffer(discarded),
      [self = shared_from_this()](error_code error, std::size_t bytes) {
        self->m_discarded_bytes += bytes;
        if (error || self->m_discarded_bytes > kMaxDiscardedBytes) {
          return self->Close();
        }
        self->Linger();
      });
}

void ServerConnection::CloseIfIdle() {
  // A connection that has already received data of a request stays open to
  // serve it.
  error_code ignored;
  if (m_record.phase == ConnectionPhase::kIdle &&
      m_socket.available(ignored) == 0) {
    Close();
  }
}

void ServerConnection::Close() {
  error_code ignored;
  m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
  m_socket.close(ignored);
  if (m_server != nullptr) {
    std::exchange(m_server, nullptr)->Remove(m_record);
  }
}

}  // namespace zinniacart::net

#include "net/server_connection.h"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <string_view>
#include <utility>

namespace zinniacart::net {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
/// The connection is closed if the peer does not read its response within this
/// time (in milliseconds).
constexpr Duration kWriteTimeout{10000};

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
    : m_stream(std::move(socket)), m_server(&server) {
  error_code ignored;
  m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  m_server->m_connections.insert(this);
}

ServerConnection::~ServerConnection() {
  if (m_server != nullptr) {
    m_server->m_connections.erase(this);
  }
}

void ServerConnection::ReadRequest() {
  if (m_server == nullptr) {
    return Close();
  }
  m_parser.emplace();
  m_parser->header_limit(
      static_cast<std::uint32_t>(m_server->m_limits.most_header_bytes));
  m_parser->body_limit(m_server->m_limits.most_body_bytes);
  m_stream.expires_after(m_server->m_limits.idle_timeout);
  http::async_read(
      m_stream, m_buffer, *m_parser,
      [self = shared_from_this()](error_code error, std::size_t) {
        if (!error) {
          return self->Handle();
        }
        if (error == http::error::body_limit) {
          return self->RejectRequest(kPayloadTooLarge);
        }
        const bool malformed =
            error.category() ==
                make_error_code(http::error::bad_method).category() &&
            error != http::error::end_of_stream &&
            error != http::error::partial_message;
        if (malformed) {
          return self->RejectRequest(kBadRequest);
        }
        self->Close();
      });
}

void ServerConnection::Handle() {
  if (m_server == nullptr) {
    return Close();
  }
  auto message = m_parser->release();
  m_parser.reset();
  m_carries_request = true;
  m_keep_alive = message.keep_alive();
  m_stream.expires_never();
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

void ServerConnection::RejectRequest(int status) {
  m_keep_alive = false;
  m_carries_request = true;
  Respond(Response{status, R"({"error":"the request cannot be read"})", {}});
}

void ServerConnection::Respond(Response response) {
  if (m_server == nullptr || m_server->m_draining) {
    m_keep_alive = false;
  }
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
  Write();
}

void ServerConnection::Write() {
  m_stream.expires_after(kWriteTimeout);
  http::async_write(m_stream, m_response,
                    [self = shared_from_this()](error_code error, std::size_t) {
                      self->m_carries_request = false;
                      if (error || !self->m_keep_alive) {
                        return self->Close();
                      }
                      self->ReadRequest();
                    });
}

void ServerConnection::CloseIfIdle() {
  // A connection that has already received data of a request stays open to
  // serve it.
  if (!m_carries_request && m_buffer.size() == 0 &&
      m_stream.socket().available() == 0) {
    Close();
  }
}

void ServerConnection::Close() {
  error_code ignored;
  m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both,
                             ignored);
  m_stream.socket().close(ignored);
}

}  // namespace zinniacart::net

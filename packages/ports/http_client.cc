#include "ports/http_client.h"

#include <httplib.h>

#include <utility>

namespace zinniacart {
namespace {

constexpr std::size_t kMaxIdleConnections = 16;

Error ToError(httplib::Error error) {
  if (error == httplib::Error::Connection ||
      error == httplib::Error::ConnectionTimeout) {
    return Error{ErrorCode::kUnreachable, httplib::to_string(error), {}};
  }
  return Error{ErrorCode::kOutcomeUnknown, httplib::to_string(error), {}};
}

std::string StripQuotes(const std::string& tag) {
  const bool quoted = tag.size() >= 2 && tag.front() == '"';
  return quoted ? tag.substr(1, tag.size() - 2) : tag;
}

}  // namespace

HttpClient::HttpClient(Endpoint endpoint, Duration timeout)
    : m_endpoint(std::move(endpoint)), m_timeout(timeout) {}

HttpClient::~HttpClient() = default;

Result<HttpAnswer> HttpClient::Call(const std::string& method,
                                    const std::string& path,
                                    const std::string& body,
                                    const HttpHeaders& headers,
                                    Duration extra_wait) {
  auto client = TakeFromPool();
  client->set_read_timeout(m_timeout + extra_wait);
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.body = body;
  for (const auto& [name, value] : headers) {
    request.set_header(name, value);
  }
  auto result = client->send(request);
  if (!result) {
    return tl::unexpected<Error>(ToError(result.error()));
  }
  HttpAnswer answer{result->status, result->body,
                    StripQuotes(result->get_header_value("ETag"))};
  ReturnToPool(std::move(client));
  return answer;
}

std::unique_ptr<httplib::Client> HttpClient::TakeFromPool() {
  {
    const std::lock_guard lock(m_mutex);
    if (!m_idle.empty()) {
      auto client = std::move(m_idle.back());
      m_idle.pop_back();
      return client;
    }
  }
  auto client =
      std::make_unique<httplib::Client>(m_endpoint.ip, m_endpoint.port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_connection_timeout(m_timeout);
  client->set_write_timeout(m_timeout);
  return client;
}

void HttpClient::ReturnToPool(std::unique_ptr<httplib::Client> client) {
  const std::lock_guard lock(m_mutex);
  if (m_idle.size() < kMaxIdleConnections) {
    m_idle.push_back(std::move(client));
  }
}

}  // namespace zinniacart

#include "ports/http_endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace zinniacart {
namespace {

constexpr int kMaxPort = 65535;

bool IsIpv4Literal(const std::string& text) {
  in_addr address{};
  return inet_pton(AF_INET, text.c_str(), &address) == 1;
}

}  // namespace

Result<Endpoint> Endpoint::Parse(const std::string& text,
                                 const std::string& field) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return Fail(ErrorCode::kInvalidArgument, "expected ip:port, got " + text,
                field);
  }
  Endpoint endpoint{text.substr(0, colon), 0};
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(first, last, endpoint.port);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == last;
  if (!whole || endpoint.port < 0 || endpoint.port > kMaxPort) {
    return Fail(ErrorCode::kInvalidArgument, "bad port in " + text, field);
  }
  if (!IsIpv4Literal(endpoint.ip)) {
    return Fail(ErrorCode::kInvalidArgument, "not an IP literal: " + text,
                field);
  }
  return endpoint;
}

std::string Endpoint::ToString() const {
  return ip + ":" + std::to_string(port);
}

}  // namespace zinniacart

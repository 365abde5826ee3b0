#include "net/http_types.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace zinniacart::net {

Result<Address> Address::Parse(const std::string& text,
                               const std::string& field) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return Fail(ErrorCode::kInvalidArgument,
                "address \"" + text + "\" has no port", field);
  }
  boost::system::error_code error;
  const auto ip =
      boost::asio::ip::make_address_v4(text.substr(0, colon), error);
  if (error) {
    return Fail(ErrorCode::kInvalidArgument,
                "address \"" + text + "\" is not an IPv4 literal", field);
  }
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return Fail(ErrorCode::kInvalidArgument,
                "address \"" + text + "\" has no valid port", field);
  }
  return Address{ip.to_string(), port};
}

std::string Address::ToString() const {
  return ip + ":" + std::to_string(port);
}

std::string Request::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (boost::beast::iequals(key, name)) {
      return value;
    }
  }
  return {};
}

}  // namespace zinniacart::net

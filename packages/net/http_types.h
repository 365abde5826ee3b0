#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/error.h"

namespace zinniacart::net {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// An IPv4 address and a port, checked when parsed.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const Address&) const = default;
  auto operator<=>(const Address&) const = default;

  /// @returns the address, or `kInvalidArgument` naming `field`.
  static Result<Address> Parse(const std::string& text,
                               const std::string& field);
  /// @returns "ip:port".
  std::string ToString() const;
};

/// One HTTP request, whole.
struct Request {
  std::string method;
  std::string target;  ///< Path and query.
  std::string host;    ///< The Host header without a port.
  std::string body;
  Headers headers;

  /// @returns the header's value, empty where it is absent; names compare
  /// without regard to case.
  std::string Header(const std::string& name) const;
};

/// One HTTP response, whole.
struct Response {
  int status = 0;
  std::string body;
  Headers headers;
  /// At the client: from its first bytes to its last ones.
  Duration received_in{0};
};

/// What a call's timeout bounds.
enum class Patience {
  kWhole,      ///< The whole call.
  kEachPause,  ///< Each time in which nothing of the response comes in.
};

/// Receives the outcome of a call. `kUnreachable`: no connection, nothing was
/// sent. `kOutcomeUnknown`: the request may have been carried out.
using ResponseCallback = std::function<void(Result<Response>)>;

/// Sends the response of one request; call it exactly once.
using Responder = std::function<void(Response)>;

using RequestHandler = std::function<void(Request, Responder)>;

}  // namespace zinniacart::net

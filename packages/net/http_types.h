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

/// An IPv4 address and a port; `Parse` validates both.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const Address&) const = default;
  auto operator<=>(const Address&) const = default;

  /// Parses "ip:port" with an IPv4 literal and a port from 1 to 65535.
  /// @returns the address, or `kInvalidArgument` naming `field`.
  static Result<Address> Parse(const std::string& text,
                               const std::string& field);
  /// @returns "ip:port".
  std::string ToString() const;
};

/// A complete HTTP request.
struct Request {
  std::string method;
  std::string target;  ///< Path and query.
  /// The host that is addressed: in lower case, without its port. A server sets
  /// it from an absolute-form target, otherwise from the Host header.
  std::string host;
  std::string body;
  Headers headers;

  /// @returns the value of the first header called `name` (case-insensitive),
  /// or an empty string if there is none.
  std::string Header(const std::string& name) const;
};

/// A complete HTTP response.
struct Response {
  int status = 0;
  std::string body;
  Headers headers;
  /// Milliseconds from the first bytes received to the last; set only by the
  /// client.
  Duration received_in{0};
};

/// Selects what the timeout of an `HttpClient` call bounds.
enum class Patience {
  kWhole,      ///< The whole call.
  kEachPause,  ///< Connecting, sending and waiting for the first bytes, then
               ///< each wait for further bytes of the response.
};

/// Receives the outcome of a call. `kUnreachable`: no connection was made and
/// nothing was sent. `kOutcomeUnknown`: the server may have executed the
/// request. `kTooLarge`: it has executed it, but the response is larger than
/// the client accepts.
using ResponseCallback = std::function<void(Result<Response>)>;

/// Sends the response of one request; call it exactly once.
using Responder = std::function<void(Response)>;

/// Handles one request. It may call the responder before or after it returns.
using RequestHandler = std::function<void(Request, Responder)>;

}  // namespace zinniacart::net

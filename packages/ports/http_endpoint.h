#pragma once

#include <string>

#include "base/error.h"

namespace zinniacart {

/// An IPv4 literal and a port, as in "127.0.0.1:7000".
struct Endpoint {
  std::string ip;
  int port = 0;

  /// Parses `text`, "ip:port" with a port from 0 to 65535.
  /// @returns the endpoint, or `kInvalidArgument` naming `field` if the address
  ///          is not an IPv4 literal or the port is out of range.
  static Result<Endpoint> Parse(const std::string& text,
                                const std::string& field);
  /// @returns the endpoint as "ip:port".
  std::string ToString() const;
};

}  // namespace zinniacart

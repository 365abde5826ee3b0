#pragma once

#include <string>

#include "base/error.h"

namespace zinniacart {

/// An IP literal and port, as in "127.0.0.1:7000".
struct Endpoint {
  std::string ip;
  int port = 0;

  /// Parses `text`. @returns `kInvalidArgument` naming `field` where the
  /// address is not an IP literal or the port is out of range.
  static Result<Endpoint> Parse(const std::string& text,
                                const std::string& field);
  /// @returns the endpoint as "ip:port".
  std::string ToString() const;
};

}  // namespace zinniacart

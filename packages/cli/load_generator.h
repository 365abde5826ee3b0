#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "base/error.h"

namespace zinniacart {

/// What load to put on.
struct LoadSettings {
  std::string target;
  std::string path = "/s/echo/bench";
  std::string method = "GET";
  std::string baseline;  ///< Measured in turn with the target; may be empty.
  std::string baseline_path = "/bench";
  int callers = 16;
  int requests = 500;
  int body_bytes = 0;
  int timeout_ms = 10'000;
};

/// Puts the load on and measures. With a baseline the two are measured in
/// alternating rounds, so that the ratio holds while the machine's speed
/// drifts.
/// @returns latencies in microseconds, outcomes, and ratios; an error where
/// an address is malformed.
Result<nlohmann::json> RunLoad(const LoadSettings& settings);

}  // namespace zinniacart

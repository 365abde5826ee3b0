#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "ports/http_endpoint.h"

namespace zinniacart {

/// What an agent is told at its start.
struct AgentSettings {
  HostId host;
  DomainId domain;
  Endpoint rpc;                        ///< Where it listens for entries.
  std::optional<Endpoint> advertised;  ///< Where entries reach it, if not so.
  Endpoint local;   ///< Where backend servers, metrics and health reach it.
  Endpoint worker;  ///< The worker on this host.
  std::vector<Endpoint> entries;  ///< Some entries; they name the others.
  Duration drain_time{4'000};     ///< From "leaving" to the last refusal.
};

}  // namespace zinniacart

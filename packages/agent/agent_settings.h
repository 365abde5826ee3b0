#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "ports/http_endpoint.h"

namespace zinniacart {

/// The settings of an agent process.
struct AgentSettings {
  HostId host;
  DomainId domain;  ///< The failure domain of the host.
  Endpoint rpc;     ///< Listens here for calls of entries.
  /// Address given to entries, if it differs from `rpc`.
  std::optional<Endpoint> advertised;
  Endpoint local;   ///< Listens here for backend servers, metrics and health.
  Endpoint worker;  ///< The worker on this host.
  std::vector<Endpoint> entries;  ///< Some entries; they list the others.
  /// Milliseconds in which a stopping agent still accepts new requests, so that
  /// entries learn that it drains and choose other hosts.
  Duration drain_time{4'000};
};

}  // namespace zinniacart

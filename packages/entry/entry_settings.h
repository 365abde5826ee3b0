#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "ports/http_endpoint.h"

namespace zinniacart {

/// The settings of an entry process, fixed at its start.
struct EntrySettings {
  EntryId entry;
  DomainId domain;
  Endpoint callers;    ///< Listener for callers.
  Endpoint operators;  ///< Listener for operators, metrics and health checks.
  Endpoint rpc;        ///< gRPC listener for agents and other entries.
  Endpoint store;      ///< The platform's store.
  std::uint32_t shards = 16;  ///< Must be equal on all entries of one site.
  int caller_threads = 512;   ///< Caller connections served at once.
  /// Time from reporting not ready to closing the callers' listener.
  Duration drain_time{2'000};
};

}  // namespace zinniacart

#pragma once

#include <cstddef>

#include "net/http_client.h"
#include "net/http_server.h"

namespace zinniacart::net {

/// The limits of all listeners and outgoing clients of one process.
struct ProcessLimits {
  ServerLimits callers;
  ServerLimits check_ins;  ///< Announcements of an agent's worker.
  ServerLimits peers;
  ServerLimits readiness;
  ServerLimits metrics;
  ClientLimits to_store;
  ClientLimits to_peers;  ///< All peers together.
  ClientLimits to_worker;
};

/// Divides the memory and the descriptors of a process among its listeners and
/// clients, so that none of them can use up what another one needs. A process
/// has a listener for callers or for check-ins, and calls peers or a worker;
/// the two of each pair get the same share.
/// @param memory_mb memory of the process; 3 of 8 parts are left for its state.
/// @param max_fds   descriptors of the process; 200 are reserved for files. At
///                  least half of the others remain for outgoing calls. The
///                  store's share exceeds those of callers and peers together,
///                  since each of their requests may wait for a call to it.
ProcessLimits DeriveLimits(std::size_t memory_mb, std::size_t max_fds);

/// Removes the bounds on connections and on memory, so that only the size of
/// each message stays limited.
void RemoveBounds(ProcessLimits& limits);

}  // namespace zinniacart::net

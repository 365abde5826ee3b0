#include "net/process_limits.h"

#include <algorithm>
#include <limits>

namespace zinniacart::net {
namespace {

constexpr std::size_t kReservedDescriptors = 200;
/// Fewer connections or less memory would not serve an ordinary site.
constexpr std::size_t kMinConnections = 100;
constexpr std::size_t kMinMemoryMb = 32;

// Shares of the descriptors that are left, in percent.
constexpr std::size_t kCallersPercent = 16;
constexpr std::size_t kPeersPercent = 6;
constexpr std::size_t kReadinessPercent = 4;
constexpr std::size_t kMetricsPercent = 4;
// The owner keeps up to two connections to each agent; 860 hosts are planned.
constexpr std::size_t kToStorePercent = 26;
constexpr std::size_t kToPeersPercent = 44;
/// A peer that does not answer occupies at most this part of the connections to
/// all peers.
constexpr std::size_t kPartsPerPeer = 4;

// Most memory that the messages of one listener or client occupy, in 32nd parts
// of the process's memory. The store's responses are the largest messages, and
// several of them arrive together after an outage.
constexpr std::size_t kMemoryParts = 32;
constexpr std::size_t kLargeMemoryParts = 4;
constexpr std::size_t kStoreMemoryParts = 6;
constexpr std::size_t kProbeMemoryParts = 1;

/// Check-ins and orders are at most 4 MiB.
constexpr std::size_t kMaxPeerBodyBytes = (4U << 20U) + (64U << 10U);
/// Readiness probes and reads of metrics have no body.
constexpr std::size_t kMaxProbeBodyBytes = 64U << 10U;

/// A caller's 262,144 bytes take 4 s at 0.5 Mbit/s.
constexpr Duration kCallerRequestTimeout{20000};

/// The kernel's default size of receive buffers; without a limit it lets them
/// grow to some MB for each connection.
constexpr int kSocketBufferBytes = 64 << 10;
constexpr int kPeerSocketBufferBytes = 256 << 10;

}  // namespace

ProcessLimits DeriveLimits(std::size_t memory_mb, std::size_t max_fds) {
  const std::size_t connections =
      std::max(max_fds, kReservedDescriptors + kMinConnections) -
      kReservedDescriptors;
  const std::size_t memory = std::max(memory_mb, kMinMemoryMb) << 20U;
  const auto share = [&](std::size_t percent) {
    return connections * percent / 100;
  };
  const std::size_t large_share = memory / kMemoryParts * kLargeMemoryParts;

  ProcessLimits limits;
  limits.callers.name = "callers";
  limits.callers.most_connections = share(kCallersPercent);
  limits.callers.most_held_bytes = large_share;
  limits.callers.request_timeout = kCallerRequestTimeout;
  limits.callers.socket_buffer_bytes = kSocketBufferBytes;

  limits.peers.name = "peers";
  limits.peers.most_connections = share(kPeersPercent);
  limits.peers.most_held_bytes = large_share;
  limits.peers.most_body_bytes = std::min(kMaxPeerBodyBytes, large_share / 3);
  limits.peers.socket_buffer_bytes = kPeerSocketBufferBytes;

  limits.check_ins = limits.peers;
  limits.check_ins.name = "check-ins";
  limits.check_ins.most_connections = share(kCallersPercent);

  limits.readiness = limits.callers;
  limits.readiness.name = "readiness";
  limits.readiness.most_connections = share(kReadinessPercent);
  limits.readiness.most_held_bytes = memory / kMemoryParts * kProbeMemoryParts;
  limits.readiness.most_body_bytes = kMaxProbeBodyBytes;

  limits.metrics = limits.readiness;
  limits.metrics.name = "metrics";
  limits.metrics.most_connections = share(kMetricsPercent);

  limits.to_store.most_connections = share(kToStorePercent);
  limits.to_store.most_connections_per_server = share(kToStorePercent);
  limits.to_store.most_held_bytes = memory / kMemoryParts * kStoreMemoryParts;
  limits.to_store.most_body_bytes = std::min(
      limits.to_store.most_body_bytes, limits.to_store.most_held_bytes / 2);

  limits.to_worker = limits.to_store;
  limits.to_worker.most_held_bytes = large_share;
  limits.to_worker.most_body_bytes =
      std::min(limits.to_worker.most_body_bytes, large_share / 2);
  limits.to_worker.most_connections = share(kToPeersPercent);
  limits.to_worker.most_connections_per_server = share(kToPeersPercent);

  limits.to_peers = limits.to_worker;
  limits.to_peers.most_connections_per_server =
      share(kToPeersPercent) / kPartsPerPeer;
  return limits;
}

void RemoveBounds(ProcessLimits& limits) {
  constexpr std::size_t kUnbounded = std::numeric_limits<std::size_t>::max();
  for (ServerLimits* server :
       {&limits.callers, &limits.check_ins, &limits.peers, &limits.readiness,
        &limits.metrics}) {
    server->most_connections = kUnbounded;
    server->most_held_bytes = kUnbounded;
    server->socket_buffer_bytes = 0;
  }
  for (ClientLimits* client :
       {&limits.to_store, &limits.to_peers, &limits.to_worker}) {
    client->most_connections = kUnbounded;
    client->most_connections_per_server = kUnbounded;
    client->most_held_bytes = kUnbounded;
  }
}

}  // namespace zinniacart::net

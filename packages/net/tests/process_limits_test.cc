#include "net/process_limits.h"

#include <CppUTest/TestHarness.h>

using namespace zinniacart;
using namespace zinniacart::net;

namespace {

constexpr std::size_t kReservedDescriptors = 200;

}  // namespace

TEST_GROUP(ProcessLimits){};

/// Guards against listeners that together use up the descriptors or the memory,
/// or against requests of clients that use up the calls to the store.
TEST(ProcessLimits, SharesAddUpToLessThanTheProcessHas) {
  for (const std::size_t memory_mb : {32, 64, 128, 512}) {
    for (const std::size_t max_fds : {300, 400, 4096, 8192}) {
      const ProcessLimits limits = DeriveLimits(memory_mb, max_fds);
      const std::size_t free = max_fds - kReservedDescriptors;
      const std::size_t incoming =
          limits.callers.most_connections + limits.peers.most_connections +
          limits.readiness.most_connections + limits.metrics.most_connections;
      const std::size_t outgoing =
          limits.to_store.most_connections + limits.to_peers.most_connections;
      CHECK(incoming <= free / 2);
      CHECK(incoming + outgoing <= free);
      CHECK(limits.to_store.most_connections >
            limits.callers.most_connections + limits.peers.most_connections);
      const std::size_t held =
          limits.callers.most_held_bytes + limits.peers.most_held_bytes +
          limits.readiness.most_held_bytes + limits.metrics.most_held_bytes +
          limits.to_store.most_held_bytes + limits.to_peers.most_held_bytes;
      CHECK(held <= (memory_mb << 20U) * 5 / 8);
    }
  }
}

TEST(ProcessLimits, BoundsOnAllConnectionsCanBeRemoved) {
  ProcessLimits limits = DeriveLimits(128, 4096);
  RemoveBounds(limits);
  CHECK(limits.callers.most_connections > 1U << 30U);
  CHECK(limits.to_store.most_held_bytes > 1U << 30U);
  LONGS_EQUAL(32768, limits.callers.most_header_bytes);
}

/// Guards against limits that ordinary clients meet on the smallest process.
TEST(ProcessLimits, LieBeyondWhatOrdinaryClientsNeed) {
  const ProcessLimits limits = DeriveLimits(128, 4096);
  CHECK(limits.callers.most_header_bytes > 16384);
  CHECK(limits.callers.most_body_bytes > 262144);
  CHECK(limits.callers.request_timeout > Duration(15000));
  CHECK(limits.callers.idle_timeout > Duration(15000));
  CHECK(limits.check_ins.most_body_bytes > 4U << 20U);
  CHECK(limits.peers.most_body_bytes > 4U << 20U);
  CHECK(limits.to_worker.most_body_bytes > 4U << 20U);
  CHECK(limits.to_store.most_body_bytes >= 8U << 20U);
}

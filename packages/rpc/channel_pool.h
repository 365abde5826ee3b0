#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/clock.h"

namespace grpc {
class Channel;
}

namespace zinniacart {

/// Keeps one gRPC channel per peer address. Each channel sends its own
/// keepalive pings. They detect a connection whose state was lost on the
/// network path (by a firewall, for example), so that it is replaced while new
/// connections still work. Thread-safe.
class ChannelPool final {
 public:
  /// @returns the channel to `address` ("ip:port"), created on first use.
  std::shared_ptr<grpc::Channel> Get(const std::string& address);

  /// Connects to `address` ("ip:port") if needed and blocks until the
  /// connection is ready or `timeout` expires.
  /// @returns whether the connection is ready. If false, nothing was sent.
  bool IsConnected(const std::string& address, Duration timeout);

  /// Removes the channel to `address` from the pool; the next `Get` creates a
  /// new one with a new connection.
  void Replace(const std::string& address);

  /// Removes the channels to all addresses for which `keep(address)` is false.
  template <typename Keep>
  void DropUnless(Keep keep) {
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_channels,
                  [&](const auto& item) { return !keep(item.first); });
  }

 private:
  std::mutex m_mutex;
  std::map<std::string, std::shared_ptr<grpc::Channel>> m_channels;
  int m_channel_count = 0;
};

}  // namespace zinniacart

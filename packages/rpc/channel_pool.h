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

/// One gRPC channel per peer address. Each channel sends pings of its own,
/// so that a connection that something between the two ends has lost track
/// of is found and replaced while new ones work.
class ChannelPool final {
 public:
  /// @returns the channel to `address` ("ip:port"), made if needed.
  std::shared_ptr<grpc::Channel> Get(const std::string& address);

  /// Connects to `address` if needed.
  /// @returns false where there is no connection within `patience`; then
  /// nothing was sent.
  bool IsConnected(const std::string& address, Duration patience);

  /// Throws the channel away: the next call connects anew.
  void Replace(const std::string& address);

  /// Drops the channels to addresses that `keep` does not name.
  template <typename Keep>
  void DropUnless(Keep keep) {
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_channels,
                  [&](const auto& row) { return !keep(row.first); });
  }

 private:
  std::mutex m_mutex;
  std::map<std::string, std::shared_ptr<grpc::Channel>> m_channels;
  int m_channel_count = 0;
};

}  // namespace zinniacart

#include "rpc/channel_pool.h"

#include <grpcpp/grpcpp.h>

#include <chrono>

namespace zinniacart {
namespace {

constexpr int kKeepaliveIntervalMs = 2'000;
constexpr int kKeepaliveTimeoutMs = 1'000;
constexpr int kMinReconnectBackoffMs = 100;
constexpr int kMaxReconnectBackoffMs = 1'000;
constexpr int kMaxMessageBytes = 32 << 20;

std::shared_ptr<grpc::Channel> MakeChannel(const std::string& address,
                                           int channel_number) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveIntervalMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   kMinReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  // A local subchannel pool and a number of its own keep a new channel from
  // sharing the connection of an earlier channel to the same address.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt("zinniacart.channel", channel_number);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  return grpc::CreateCustomChannel(
      "ipv4:" + address, grpc::InsecureChannelCredentials(), arguments);
}

}  // namespace

std::shared_ptr<grpc::Channel> ChannelPool::Get(const std::string& address) {
  const std::lock_guard lock(m_mutex);
  auto& channel = m_channels[address];
  if (!channel) {
    channel = MakeChannel(address, ++m_channel_count);
  }
  return channel;
}

bool ChannelPool::IsConnected(const std::string& address, Duration timeout) {
  const auto deadline = std::chrono::system_clock::now() + timeout;
  return Get(address)->WaitForConnected(deadline);
}

void ChannelPool::Replace(const std::string& address) {
  const std::lock_guard lock(m_mutex);
  m_channels.erase(address);
}

}  // namespace zinniacart

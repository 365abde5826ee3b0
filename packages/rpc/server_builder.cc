#include "rpc/server_builder.h"

#include <grpcpp/grpcpp.h>

namespace zinniacart {
namespace {

constexpr int kMaxMessageBytes = 32 << 20;
/// Below the keepalive interval of `ChannelPool`, so that the server accepts
/// its pings.
constexpr int kMinReceivedPingIntervalMs = 1'000;
constexpr int kKeepaliveIntervalMs = 30'000;
constexpr int kKeepaliveTimeoutMs = 5'000;

}  // namespace

RunningServer ServeRpc(grpc::Service& service,
                       const std::string& ip,
                       int port) {
  RunningServer running;
  grpc::ServerBuilder builder;
  builder.AddListeningPort(ip + ":" + std::to_string(port),
                           grpc::InsecureServerCredentials(), &running.port);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
      kMinReceivedPingIntervalMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveIntervalMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                             kKeepaliveTimeoutMs);
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder.RegisterService(&service);
  running.server = builder.BuildAndStart();
  return running;
}

}  // namespace zinniacart

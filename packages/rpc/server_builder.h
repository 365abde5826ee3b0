#pragma once

#include <memory>
#include <string>

namespace grpc {
class Server;
class Service;
}  // namespace grpc

namespace zinniacart {

/// A running gRPC server and the port that it got.
struct RunningServer {
  std::unique_ptr<grpc::Server> server;
  int port = 0;
};

/// Serves `service` at `ip` and `port` (0: the kernel chooses), with limits
/// and pings that match those of `ChannelPool`.
/// @returns a null server where the address cannot be bound.
RunningServer ServeRpc(grpc::Service& service, const std::string& ip, int port);

}  // namespace zinniacart

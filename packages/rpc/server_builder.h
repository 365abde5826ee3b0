#pragma once

#include <memory>
#include <string>

namespace grpc {
class Server;
class Service;
}  // namespace grpc

namespace zinniacart {

/// A running gRPC server and the TCP port on which it listens.
struct RunningServer {
  std::unique_ptr<grpc::Server> server;
  int port = 0;
};

/// Starts a gRPC server with a message size limit and keepalive settings that
/// match those of `ChannelPool`.
/// @param service must outlive the server.
/// @param ip      local address to listen on.
/// @param port    TCP port to listen on; 0 lets the kernel choose one.
/// @returns the running server; its `server` is null if the address cannot be
/// bound.
RunningServer ServeRpc(grpc::Service& service, const std::string& ip, int port);

}  // namespace zinniacart

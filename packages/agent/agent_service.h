#pragma once

#include <functional>

#include "zinniacart.grpc.pb.h"

namespace zinniacart {

class BackendPool;

/// The agent's gRPC service for entries. `Forward` and `Inquire` use the
/// backend pool, and a forwarded request holds no thread of the server while it
/// waits; `Place` passes an owner's batch to the task supervisor.
class AgentService final : public wire::Agent::CallbackService {
 public:
  /// Handles an owner's batch and returns the replies.
  using PlaceHandler = std::function<wire::AgentBatch(const wire::OwnerBatch&)>;

  /// @param pool must outlive the service.
  AgentService(BackendPool& pool, PlaceHandler place);

  grpc::ServerUnaryReactor* Forward(grpc::CallbackServerContext* context,
                                    const wire::ForwardRequest* request,
                                    wire::ForwardReply* reply) override;
  grpc::ServerUnaryReactor* Inquire(grpc::CallbackServerContext* context,
                                    const wire::InquireRequest* request,
                                    wire::ForwardReply* reply) override;
  grpc::ServerUnaryReactor* Place(grpc::CallbackServerContext* context,
                                  const wire::OwnerBatch* request,
                                  wire::AgentBatch* reply) override;

 private:
  BackendPool& m_pool;
  const PlaceHandler m_place;
};

}  // namespace zinniacart

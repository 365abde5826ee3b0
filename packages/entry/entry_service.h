#pragma once

#include "base/clock.h"
#include "entry/entry_state.h"
#include "zinniacart.grpc.pb.h"

namespace zinniacart {

class JobDesk;
class PlacementDriver;

/// The entry's gRPC face towards agents and other entries.
class EntryService final : public wire::Entry::Service {
 public:
  EntryService(EntryState& state,
               const Clock& clock,
               PlacementDriver& placement,
               JobDesk& jobs);

  grpc::Status Sync(grpc::ServerContext* context,
                    const wire::SyncRequest* request,
                    wire::SyncReply* reply) override;
  grpc::Status Exchange(grpc::ServerContext* context,
                        const wire::ExchangeRequest* request,
                        wire::ExchangeReply* reply) override;
  grpc::Status Job(grpc::ServerContext* context,
                   const wire::JobCall* request,
                   wire::JobReply* reply) override;

 private:
  void WriteConfiguration(ConfigSerial known, wire::SyncReply& reply);

  EntryState& m_state;
  const Clock& m_clock;
  PlacementDriver& m_placement;
  JobDesk& m_jobs;
};

}  // namespace zinniacart

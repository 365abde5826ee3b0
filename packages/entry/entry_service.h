#pragma once

#include "base/clock.h"
#include "entry/entry_state.h"
#include "zinniacart.grpc.pb.h"

namespace zinniacart {

class JobDesk;
class PlacementDriver;

/// The gRPC service that an entry offers to agents and to other entries. The
/// calls run concurrently on gRPC's threads.
class EntryService final : public wire::Entry::Service {
 public:
  EntryService(EntryState& state,
               const Clock& clock,
               PlacementDriver& placement,
               JobDesk& jobs);

  /// Handles an agent's periodic call. Stores the host's announcement if the
  /// request has one, and returns the known entries with it, the configuration
  /// changes after the serial that the agent has, and the owner's messages to
  /// the agent. Sets only `host_conflict` and the entries when the announcement
  /// is refused because it is older than the known one or another agent has
  /// announced the same host.
  grpc::Status Sync(grpc::ServerContext* context,
                    const wire::SyncRequest* request,
                    wire::SyncReply* reply) override;
  /// Returns to another entry the hosts whose announcements changed after the
  /// version that it already has, or all of them where that version is unknown
  /// here, and the serial of the configuration in force.
  grpc::Status Exchange(grpc::ServerContext* context,
                        const wire::ExchangeRequest* request,
                        wire::ExchangeReply* reply) override;
  /// Carries out an operator's call that another entry forwarded; see
  /// `JobDesk::HandleLocally`.
  grpc::Status Job(grpc::ServerContext* context,
                   const wire::JobCall* request,
                   wire::JobReply* reply) override;

 private:
  /// Writes the changes after `known` to `reply`, or the whole configuration
  /// where the list of changes no longer goes back that far. Writes nothing
  /// where `known` is up to date.
  void WriteConfiguration(ConfigSerial known, wire::SyncReply& reply);

  EntryState& m_state;
  const Clock& m_clock;
  PlacementDriver& m_placement;
  JobDesk& m_jobs;
};

}  // namespace zinniacart

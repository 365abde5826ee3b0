#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "base/clock.h"
#include "entry/entry_state.h"
#include "rpc/channel_pool.h"
#include "zinniacart.pb.h"

namespace zinniacart {

class PlacementDriver;

/// Operators' calls on jobs: submit, look at, cancel. A call that reaches an
/// entry that does not own the team's shard is passed on to the one that does.
class JobDesk final {
 public:
  JobDesk(EntryState& state,
          const Clock& clock,
          PlacementDriver& placement,
          ChannelPool& entries,
          EntryId self);

  /// Carries out a call here or at the owner.
  /// `call.operation` is "submit", "get", "list" or "cancel".
  wire::JobReply Handle(const wire::JobCall& call);

  /// Carries out a call here; answers not-ready where the shard is not owned.
  wire::JobReply HandleHere(const wire::JobCall& call);

 private:
  wire::JobReply Submit(const wire::JobCall& call);
  wire::JobReply Cancel(const wire::JobCall& call);
  wire::JobReply Get(const wire::JobCall& call);

  EntryState& m_state;
  const Clock& m_clock;
  PlacementDriver& m_placement;
  ChannelPool& m_entries;
  const EntryId m_self;
};

/// Parses a job's declaration.
/// @returns `kInvalidArgument` naming the field at fault.
Result<JobRecord> ParseJob(const nlohmann::json& body);

}  // namespace zinniacart

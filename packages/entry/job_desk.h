#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "base/clock.h"
#include "entry/entry_state.h"
#include "rpc/channel_pool.h"
#include "zinniacart.pb.h"

namespace zinniacart {

class PlacementDriver;

/// Carries out operators' calls on jobs: submit, get and cancel. A team's jobs
/// belong to one shard; a call that reaches an entry without that shard is
/// forwarded to the entry that should own it. Thread-safe; the calls block.
///
/// A reply holds an HTTP status and a JSON body, which on errors is a problem
/// document. Errors common to all calls: `kNotReady` (this entry has no session
/// at the store yet, or the shard has no owner yet) and `kOutcomeUnknown` (the
/// owner did not reply, or the change was not known to be stored in time; the
/// call may be repeated).
class JobDesk final {
 public:
  JobDesk(EntryState& state,
          const Clock& clock,
          PlacementDriver& placement,
          ChannelPool& entries,
          EntryId self);

  /// Carries out a call on this entry, or forwards it to the entry that should
  /// own the team's shard.
  /// @param call its `operation` is "submit", "cancel" or "get"; "list" and
  /// every other value are handled like "get".
  wire::JobReply Handle(const wire::JobCall& call);

  /// Carries out a call on this entry without forwarding it.
  /// @returns `kNotReady` where this entry does not own the team's shard.
  wire::JobReply HandleLocally(const wire::JobCall& call);

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

/// Parses the JSON declaration of a batch job. `name` and `team` are required;
/// `kind`, `tasks`, `demand`, `run_time_ms` (milliseconds), `priority` and
/// `urgent` are optional.
/// @returns the job, or `kInvalidArgument` with the name of the invalid field.
Result<JobRecord> ParseJob(const nlohmann::json& body);

}  // namespace zinniacart

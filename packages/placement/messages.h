#pragma once

#include <variant>

#include "base/error.h"
#include "base/ids.h"
#include "base/resources.h"
#include "membership/host_announcement.h"
#include "placement/shard_record.h"

namespace zinniacart {

/// Identifies one placement of a task: the task, the number of the placement,
/// and the shard and ownership epoch under which the owner acts.
struct PlacementKey {
  TaskId task;
  Generation generation;
  ShardId shard;
  Epoch epoch;
};

/// Owner to agent: asks the host to reserve `demand` for the task. The agent
/// replies with `OfferedMessage` or `OfferRefusedMessage`.
struct OfferMessage {
  PlacementKey key;
  Resources demand;
  TaskClass task_class = TaskClass::kBatch;
};

/// Owner to agent: start the task, unless more than
/// `PlacementTimes::stamp_validity` has passed since `stamp` on the agent's
/// own clock.
struct StartMessage {
  PlacementKey key;
  Stamp stamp;
  ConfigSerial config_serial;
  Resources demand;
  TaskClass task_class = TaskClass::kBatch;
  Duration run_time{0};
  CheckpointId resume_from;
};

/// Owner to agent: checkpoint the task and stop it.
struct StopMessage {
  PlacementKey key;
};

/// Owner to agent: asks for a `ReportMessage` about the placement. An agent
/// that reports it absent guarantees never to start this generation later.
struct QueryMessage {
  PlacementKey key;
};

/// Owner to agent: extends the leases of this shard's tasks on the host to
/// `PlacementTimes::run_lease` after `stamp`, which is taken from a heartbeat.
struct RenewMessage {
  ShardId shard;
  Epoch epoch;
  Stamp stamp;
};

/// Owner to agent: the end of the placement is stored durably, so the agent
/// can discard its report.
struct AcknowledgeMessage {
  PlacementKey key;
};

using OwnerMessage = std::variant<OfferMessage,
                                  StartMessage,
                                  StopMessage,
                                  QueryMessage,
                                  RenewMessage,
                                  AcknowledgeMessage>;

/// Agent to owner: the resources are reserved until the stamp expires, which
/// is `PlacementTimes::stamp_validity` after it was taken.
struct OfferedMessage {
  PlacementKey key;
  Stamp stamp;
};

/// Agent to owner: no resources are reserved for the offer. This says nothing
/// about a start of the same generation, because a duplicate of an offer that
/// arrives after the start is refused as well.
struct OfferRefusedMessage {
  PlacementKey key;
  ErrorCode code = ErrorCode::kInternal;
};

/// Agent to owner: the start was refused. The generation is not running on
/// this host and, unless the code is `kStaleEpoch`, never will.
struct StartRefusedMessage {
  PlacementKey key;
  ErrorCode code = ErrorCode::kInternal;
};

/// The state of a placement as its agent reports it.
enum class ReportedState { kAbsent, kRunning, kFinished, kFailed, kStopped };

/// Agent to owner: the state of a placement. The report of an ended one is
/// sent repeatedly until it is acknowledged.
struct ReportMessage {
  PlacementKey key;
  ReportedState state = ReportedState::kAbsent;
  CheckpointId checkpoint;
};

/// Agent to owner: the agent is alive; `stamp` holds its incarnation and the
/// current time of its clock. The owner returns the stamp in `RenewMessage`.
struct HeartbeatMessage {
  Stamp stamp;
};

using AgentMessage = std::variant<OfferedMessage,
                                  OfferRefusedMessage,
                                  StartRefusedMessage,
                                  ReportMessage,
                                  HeartbeatMessage>;

/// Combines lambdas into one visitor for `std::visit`.
template <typename... Handlers>
struct Visitor : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Visitor(Handlers...) -> Visitor<Handlers...>;

}  // namespace zinniacart

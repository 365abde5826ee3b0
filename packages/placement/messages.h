#pragma once

#include <variant>

#include "base/error.h"
#include "base/ids.h"
#include "base/resources.h"
#include "membership/host_announcement.h"
#include "placement/shard_record.h"

namespace zinniacart {

/// Names one placement of a task and the ownership it is made under.
struct PlacementKey {
  TaskId task;
  Generation generation;
  ShardId shard;
  Epoch epoch;
};

/// Owner to agent: would you hold room for this?
struct OfferMessage {
  PlacementKey key;
  Resources demand;
  TaskClass task_class = TaskClass::kBatch;
};

/// Owner to agent: start it, if the stamp is still fresh.
struct StartMessage {
  PlacementKey key;
  Stamp stamp;
  ConfigSerial config_serial;
  Resources demand;
  TaskClass task_class = TaskClass::kBatch;
  Duration run_time{0};
  CheckpointId resume_from;
};

/// Owner to agent: checkpoint and stop it.
struct StopMessage {
  PlacementKey key;
};

/// Owner to agent: is it with you? "No" is a promise.
struct QueryMessage {
  PlacementKey key;
};

/// Owner to agent: tasks of this shard may run for a lease after `stamp`.
struct RenewMessage {
  ShardId shard;
  Epoch epoch;
  Stamp stamp;
};

/// Owner to agent: the report is durable; forget it.
struct AcknowledgeMessage {
  PlacementKey key;
};

using OwnerMessage = std::variant<OfferMessage,
                                  StartMessage,
                                  StopMessage,
                                  QueryMessage,
                                  RenewMessage,
                                  AcknowledgeMessage>;

/// Agent to owner: room is held until the stamp expires.
struct OfferedMessage {
  PlacementKey key;
  Stamp stamp;
};

/// Agent to owner: no room is held for the offer. It says nothing about a
/// start of the same generation: a late copy of an offer is refused too.
struct OfferRefusedMessage {
  PlacementKey key;
  ErrorCode code = ErrorCode::kInternal;
};

/// Agent to owner: the start was refused; this generation does not run here
/// and, unless the epoch was stale, never will.
struct StartRefusedMessage {
  PlacementKey key;
  ErrorCode code = ErrorCode::kInternal;
};

/// How an agent reports a task.
enum class ReportedState { kAbsent, kRunning, kFinished, kFailed, kStopped };

/// Agent to owner: how a placement stands. Ended ones are repeated until
/// acknowledged.
struct ReportMessage {
  PlacementKey key;
  ReportedState state = ReportedState::kAbsent;
  CheckpointId checkpoint;
};

/// Agent to owner: alive, and my clock reads so.
struct HeartbeatMessage {
  Stamp stamp;
};

using AgentMessage = std::variant<OfferedMessage,
                                  OfferRefusedMessage,
                                  StartRefusedMessage,
                                  ReportMessage,
                                  HeartbeatMessage>;

/// Joins lambdas into one visitor.
template <typename... Handlers>
struct Visitor : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Visitor(Handlers...) -> Visitor<Handlers...>;

}  // namespace zinniacart

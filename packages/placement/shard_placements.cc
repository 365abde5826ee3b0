// The part of a shard that follows its placements: what agents say of them,
// and what becomes due while they say nothing.
#include <algorithm>
#include <utility>

#include "placement/shard.h"

namespace zinniacart {
namespace {

/// A host that refused a task is not asked again for this long.
constexpr Duration kAvoidance{1'000};

}  // namespace

bool Shard::PlacementState::IsPlaced() const {
  return phase == Phase::kStarting || phase == Phase::kRunning ||
         phase == Phase::kStopping || phase == Phase::kUncertain;
}

void Shard::OnAgentMessage(const HostId& host,
                           const AgentMessage& message,
                           bool may_renew,
                           Instant now) {
  if (!IsActive()) {
    return;
  }
  std::visit(Visitor{[&](const OfferedMessage& offered) {
                       HandleOffered(host, offered, now);
                     },
                     [&](const OfferRefusedMessage& refused) {
                       HandleOfferRefused(host, refused, now);
                     },
                     [&](const StartRefusedMessage& refused) {
                       HandleStartRefused(host, refused, now);
                     },
                     [&](const ReportMessage& report) {
                       HandleReport(host, report, now);
                     },
                     [&](const HeartbeatMessage& heartbeat) {
                       if (may_renew) {
                         HandleHeartbeat(host, heartbeat, now);
                       }
                     }},
             message);
}

void Shard::HandleOffered(const HostId& host,
                          const OfferedMessage& message,
                          Instant now) {
  const TaskRecord* record = m_record.FindTask(message.key.task);
  if (record == nullptr) {
    return;
  }
  PlacementState& known = m_placements[message.key.task];
  const bool expected = known.phase == Phase::kOffering &&
                        known.target == host &&
                        message.key.epoch == m_record.epoch &&
                        message.key.generation == record->generation.Next();
  if (!expected) {
    return;
  }
  known.stamp = message.stamp;
  SetPhase(known, Phase::kCommitting, now);
  Stage(AssignChange{message.key.task, host}, now);
}

void Shard::HandleOfferRefused(const HostId& host,
                               const OfferRefusedMessage& message,
                               Instant now) {
  const TaskRecord* record = m_record.FindTask(message.key.task);
  if (record == nullptr || message.key.epoch != m_record.epoch) {
    return;
  }
  PlacementState& known = m_placements[message.key.task];
  const bool expected = known.phase == Phase::kOffering &&
                        known.target == host &&
                        message.key.generation == record->generation.Next();
  if (expected) {
    known.avoid[host] = now + kAvoidance;
    MakeIdle(message.key.task, PendingReason::kNoRoomNow, now);
  }
}

void Shard::HandleStartRefused(const HostId& host,
                               const StartRefusedMessage& message,
                               Instant now) {
  const TaskRecord* record = m_record.FindTask(message.key.task);
  if (record == nullptr || message.code == ErrorCode::kStaleEpoch) {
    return;
  }
  PlacementState& known = m_placements[message.key.task];
  const bool expected = known.phase == Phase::kStarting &&
                        record->host == host &&
                        message.key.generation == record->generation;
  if (expected) {
    known.avoid[host] = now + kAvoidance;
    MakeIdle(message.key.task, PendingReason::kNoRoomNow, now);
  }
}

void Shard::HandleReport(const HostId& host,
                         const ReportMessage& message,
                         Instant now) {
  const PlacementKey key = KeyOf(message.key.task, message.key.generation);
  const bool running = message.state == ReportedState::kRunning;
  const bool absent = message.state == ReportedState::kAbsent;
  const TaskRecord* record = m_record.FindTask(key.task);
  if (record != nullptr && key.generation > record->generation) {
    return;
  }
  const bool current =
      record != nullptr && record->status == TaskStatus::kAssigned &&
      record->host == host && record->generation == key.generation;
  if (!current) {
    if (running) {
      SendTo(host, StopMessage{key});
    } else if (!absent) {
      SendTo(host, AcknowledgeMessage{key});
    }
    return;
  }
  PlacementState& known = m_placements[key.task];
  if (running) {
    known.heard_at = now;
    const bool news =
        known.phase == Phase::kStarting || known.phase == Phase::kUncertain;
    if (news) {
      known.reason = PendingReason::kNone;
      SetPhase(known, Phase::kRunning, now);
    }
    return;
  }
  if (absent) {
    if (known.IsPlaced()) {
      MakeIdle(key.task, PendingReason::kNotTriedYet, now);
    }
    return;
  }
  const bool being_written =
      known.phase == Phase::kReporting || known.phase == Phase::kCommitting;
  if (!being_written) {
    SetPhase(known, Phase::kReporting, now);
    Stage(FinishChange{key.task, key.generation, host, message.state,
                       message.checkpoint},
          now);
  }
}

void Shard::HandleHeartbeat(const HostId& host,
                            const HeartbeatMessage& message,
                            Instant now) {
  const bool handing_over = m_ownership == Ownership::kReleasing && m_commit;
  if (handing_over) {
    return;
  }
  const auto here = m_by_host.find(host);
  if (here == m_by_host.end()) {
    return;
  }
  bool any_placed = false;
  for (const TaskRecord* record : here->second) {
    PlacementState& known = m_placements[record->task];
    if (!known.IsPlaced()) {
      continue;
    }
    any_placed = true;
    known.ended_after = std::max(
        known.ended_after, now + m_times.run_lease + m_times.drift_margin);
  }
  if (any_placed) {
    SendTo(host, RenewMessage{m_id, m_record.epoch, message.stamp});
  }
}

void Shard::TickTask(const JobRecord& job,
                     const TaskRecord& record,
                     PlacementState& known,
                     Instant now) {
  if (known.IsPlaced() && now > known.ended_after) {
    MakeIdle(record.task, PendingReason::kNotTriedYet, now);
  }
  const bool may_ask = now - known.asked_at >= m_times.resend;
  switch (known.phase) {
    case Phase::kIdle:
      if (job.IsCancelled(record)) {
        SetPhase(known, Phase::kReporting, now);
        Stage(FinishChange{record.task, record.generation, record.host,
                           ReportedState::kStopped, record.checkpoint},
              now);
      }
      return;
    case Phase::kOffering:
      if (now - known.phase_since >= m_times.resend) {
        known.avoid[known.target] = now + kAvoidance;
        MakeIdle(record.task, PendingReason::kNoRoomNow, now);
      }
      return;
    case Phase::kStarting:
    case Phase::kUncertain:
      if (may_ask) {
        Ask(record, known, now);
      }
      return;
    case Phase::kRunning:
      if (job.IsCancelled(record)) {
        SendStop(record, known, now);
      } else if (now - known.heard_at >= m_times.heartbeat * 3) {
        known.reason = PendingReason::kHostUncertain;
        SetPhase(known, Phase::kUncertain, now);
      }
      return;
    case Phase::kStopping:
      if (may_ask) {
        SendStop(record, known, now);
      }
      return;
    case Phase::kCommitting:
    case Phase::kReporting:
      return;
  }
}

}  // namespace zinniacart

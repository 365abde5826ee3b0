// The part of `Shard` that tracks its placements: handles the messages of
// agents, and the timeouts while there are none.
#include <algorithm>
#include <utility>

#include "placement/shard.h"

namespace zinniacart {
namespace {

/// A host that refused a task, or did not answer its offer, is not offered the
/// task again for this long.
constexpr Duration kRefusalCooldown{1'000};

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
  PlacementState& placement = m_placements[message.key.task];
  const bool expected = placement.phase == Phase::kOffering &&
                        placement.offered_host == host &&
                        message.key.epoch == m_record.epoch &&
                        message.key.generation == record->generation.Next();
  if (!expected) {
    return;
  }
  placement.stamp = message.stamp;
  SetPhase(placement, Phase::kCommitting, now);
  Stage(AssignChange{message.key.task, host}, now);
}

void Shard::HandleOfferRefused(const HostId& host,
                               const OfferRefusedMessage& message,
                               Instant now) {
  const TaskRecord* record = m_record.FindTask(message.key.task);
  if (record == nullptr || message.key.epoch != m_record.epoch) {
    return;
  }
  PlacementState& placement = m_placements[message.key.task];
  const bool expected = placement.phase == Phase::kOffering &&
                        placement.offered_host == host &&
                        message.key.generation == record->generation.Next();
  if (expected) {
    placement.avoid[host] = now + kRefusalCooldown;
    MakeIdle(message.key.task, PendingReason::kNoFreeCapacity, now);
  }
}

void Shard::HandleStartRefused(const HostId& host,
                               const StartRefusedMessage& message,
                               Instant now) {
  const TaskRecord* record = m_record.FindTask(message.key.task);
  if (record == nullptr || message.code == ErrorCode::kStaleEpoch) {
    return;
  }
  PlacementState& placement = m_placements[message.key.task];
  const bool expected = placement.phase == Phase::kStarting &&
                        record->host == host &&
                        message.key.generation == record->generation;
  if (expected) {
    placement.avoid[host] = now + kRefusalCooldown;
    MakeIdle(message.key.task, PendingReason::kNoFreeCapacity, now);
  }
}

void Shard::HandleReport(const HostId& host,
                         const ReportMessage& message,
                         Instant now) {
  const PlacementKey key = MakeKey(message.key.task, message.key.generation);
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
  PlacementState& placement = m_placements[key.task];
  if (running) {
    placement.last_report_at = now;
    const bool confirms_running = placement.phase == Phase::kStarting ||
                                  placement.phase == Phase::kUncertain;
    if (confirms_running) {
      placement.reason = PendingReason::kNone;
      SetPhase(placement, Phase::kRunning, now);
    }
    return;
  }
  if (absent) {
    if (placement.IsPlaced()) {
      MakeIdle(key.task, PendingReason::kNotTriedYet, now);
    }
    return;
  }
  const bool being_written = placement.phase == Phase::kReporting ||
                             placement.phase == Phase::kCommitting;
  if (!being_written) {
    SetPhase(placement, Phase::kReporting, now);
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
  const auto assigned = m_assigned_by_host.find(host);
  if (assigned == m_assigned_by_host.end()) {
    return;
  }
  bool any_placed = false;
  for (const TaskRecord* record : assigned->second) {
    PlacementState& placement = m_placements[record->task];
    if (!placement.IsPlaced()) {
      continue;
    }
    any_placed = true;
    placement.lease_expired_after =
        std::max(placement.lease_expired_after,
                 now + m_times.run_lease + m_times.drift_margin);
  }
  if (any_placed) {
    SendTo(host, RenewMessage{m_id, m_record.epoch, message.stamp});
  }
}

void Shard::TickTask(const JobRecord& job,
                     const TaskRecord& record,
                     PlacementState& placement,
                     Instant now) {
  if (placement.IsPlaced() && now > placement.lease_expired_after) {
    MakeIdle(record.task, PendingReason::kNotTriedYet, now);
  }
  const bool may_resend = now - placement.last_request_at >= m_times.resend;
  switch (placement.phase) {
    case Phase::kIdle:
      if (job.IsCancelled(record)) {
        SetPhase(placement, Phase::kReporting, now);
        Stage(FinishChange{record.task, record.generation, record.host,
                           ReportedState::kStopped, record.checkpoint},
              now);
      }
      return;
    case Phase::kOffering:
      if (now - placement.phase_since >= m_times.resend) {
        placement.avoid[placement.offered_host] = now + kRefusalCooldown;
        MakeIdle(record.task, PendingReason::kNoFreeCapacity, now);
      }
      return;
    case Phase::kStarting:
    case Phase::kUncertain:
      if (may_resend) {
        SendQuery(record, placement, now);
      }
      return;
    case Phase::kRunning:
      if (job.IsCancelled(record)) {
        SendStop(record, placement, now);
      } else if (now - placement.last_report_at >= m_times.heartbeat * 3) {
        placement.reason = PendingReason::kHostUncertain;
        SetPhase(placement, Phase::kUncertain, now);
      }
      return;
    case Phase::kStopping:
      if (may_resend) {
        SendStop(record, placement, now);
      }
      return;
    case Phase::kCommitting:
    case Phase::kReporting:
      return;
  }
}

}  // namespace zinniacart

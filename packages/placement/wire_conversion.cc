#include "placement/wire_conversion.h"

namespace zinniacart {
namespace {

/// Reads the fields common to all messages about one placement. In an agent's
/// message, the epoch is that of the owner it answers.
template <typename Message>
PlacementKey ReadKey(const Message& in) {
  return PlacementKey{TaskId(in.task()), Generation(in.generation()),
                      ShardId(in.shard()), Epoch(in.epoch())};
}

template <typename Message>
void WriteKey(const PlacementKey& key, Message& out) {
  out.set_task(key.task.value());
  out.set_generation(key.generation.value());
  out.set_shard(key.shard.value());
  out.set_epoch(key.epoch.value());
}

template <typename Message>
void WriteRefused(const Message& refused, wire::Refused& out) {
  WriteKey(refused.key, out);
  out.set_code(static_cast<std::uint32_t>(refused.code));
}

template <typename Message>
Message ReadRefused(const wire::Refused& in) {
  return Message{ReadKey(in), static_cast<ErrorCode>(in.code())};
}

void WriteResources(const Resources& resources, wire::Resources& out) {
  out.set_millicores(resources.millicores);
  out.set_memory_mb(resources.memory_mb);
  out.set_accelerators(resources.accelerators);
}

Resources ReadResources(const wire::Resources& in) {
  return Resources{in.millicores(), in.memory_mb(), in.accelerators()};
}

}  // namespace

wire::Stamp ToWire(const Stamp& stamp) {
  wire::Stamp out;
  out.set_incarnation(stamp.incarnation.value());
  out.set_agent_time_ms(stamp.agent_time.milliseconds);
  return out;
}

Stamp FromWire(const wire::Stamp& stamp) {
  return Stamp{Incarnation(stamp.incarnation()),
               Instant{stamp.agent_time_ms()}};
}

wire::OwnerMessage ToWire(const OwnerMessage& message) {
  wire::OwnerMessage out;
  std::visit(
      Visitor{
          [&](const OfferMessage& offer) {
            auto& kind = *out.mutable_offer();
            WriteKey(offer.key, kind);
            WriteResources(offer.demand, *kind.mutable_demand());
            kind.set_task_class(static_cast<std::uint32_t>(offer.task_class));
          },
          [&](const StartMessage& start) {
            auto& kind = *out.mutable_start();
            WriteKey(start.key, kind);
            *kind.mutable_stamp() = ToWire(start.stamp);
            kind.set_config_serial(start.config_serial.value());
            auto& spec = *kind.mutable_spec();
            WriteResources(start.demand, *spec.mutable_demand());
            spec.set_task_class(static_cast<std::uint32_t>(start.task_class));
            spec.set_run_time_ms(start.run_time.count());
            spec.set_checkpoint(start.resume_from.value());
          },
          [&](const StopMessage& stop) {
            WriteKey(stop.key, *out.mutable_stop());
          },
          [&](const QueryMessage& query) {
            WriteKey(query.key, *out.mutable_query());
          },
          [&](const RenewMessage& renew) {
            auto& kind = *out.mutable_renew();
            kind.set_shard(renew.shard.value());
            kind.set_epoch(renew.epoch.value());
            *kind.mutable_stamp() = ToWire(renew.stamp);
          },
          [&](const AcknowledgeMessage& acknowledge) {
            WriteKey(acknowledge.key, *out.mutable_acknowledge());
          }},
      message);
  return out;
}

std::optional<OwnerMessage> FromWire(const wire::OwnerMessage& message) {
  switch (message.kind_case()) {
    case wire::OwnerMessage::kOffer: {
      const auto& in = message.offer();
      return OfferMessage{ReadKey(in), ReadResources(in.demand()),
                          static_cast<TaskClass>(in.task_class())};
    }
    case wire::OwnerMessage::kStart: {
      const auto& in = message.start();
      return StartMessage{ReadKey(in),
                          FromWire(in.stamp()),
                          ConfigSerial(in.config_serial()),
                          ReadResources(in.spec().demand()),
                          static_cast<TaskClass>(in.spec().task_class()),
                          Duration(in.spec().run_time_ms()),
                          CheckpointId(in.spec().checkpoint())};
    }
    case wire::OwnerMessage::kStop:
      return StopMessage{ReadKey(message.stop())};
    case wire::OwnerMessage::kQuery:
      return QueryMessage{ReadKey(message.query())};
    case wire::OwnerMessage::kRenew:
      return RenewMessage{ShardId(message.renew().shard()),
                          Epoch(message.renew().epoch()),
                          FromWire(message.renew().stamp())};
    case wire::OwnerMessage::kAcknowledge:
      return AcknowledgeMessage{ReadKey(message.acknowledge())};
    case wire::OwnerMessage::KIND_NOT_SET:
      return std::nullopt;
  }
  return std::nullopt;
}

wire::AgentMessage ToWire(const AgentMessage& message) {
  wire::AgentMessage out;
  std::visit(
      Visitor{[&](const OfferedMessage& offered) {
                auto& kind = *out.mutable_offered();
                WriteKey(offered.key, kind);
                *kind.mutable_stamp() = ToWire(offered.stamp);
              },
              [&](const OfferRefusedMessage& refused) {
                WriteRefused(refused, *out.mutable_offer_refused());
              },
              [&](const StartRefusedMessage& refused) {
                WriteRefused(refused, *out.mutable_start_refused());
              },
              [&](const ReportMessage& report) {
                auto& kind = *out.mutable_report();
                WriteKey(report.key, kind);
                kind.set_state(static_cast<wire::TaskState>(report.state));
                kind.set_checkpoint(report.checkpoint.value());
              },
              [&](const HeartbeatMessage& heartbeat) {
                *out.mutable_heartbeat()->mutable_stamp() =
                    ToWire(heartbeat.stamp);
              }},
      message);
  return out;
}

std::optional<AgentMessage> FromWire(const wire::AgentMessage& message) {
  switch (message.kind_case()) {
    case wire::AgentMessage::kOffered:
      return OfferedMessage{ReadKey(message.offered()),
                            FromWire(message.offered().stamp())};
    case wire::AgentMessage::kOfferRefused:
      return ReadRefused<OfferRefusedMessage>(message.offer_refused());
    case wire::AgentMessage::kStartRefused:
      return ReadRefused<StartRefusedMessage>(message.start_refused());
    case wire::AgentMessage::kReport:
      return ReportMessage{ReadKey(message.report()),
                           static_cast<ReportedState>(message.report().state()),
                           CheckpointId(message.report().checkpoint())};
    case wire::AgentMessage::kHeartbeat:
      return HeartbeatMessage{FromWire(message.heartbeat().stamp())};
    case wire::AgentMessage::KIND_NOT_SET:
      return std::nullopt;
  }
  return std::nullopt;
}

wire::HostAnnouncement ToWire(const HostAnnouncement& announcement) {
  wire::HostAnnouncement out;
  out.set_host(announcement.host.value());
  out.set_domain(announcement.domain.value());
  out.set_address(announcement.address);
  *out.mutable_stamp() = ToWire(announcement.stamp);
  WriteResources(announcement.capacity, *out.mutable_capacity());
  WriteResources(announcement.committed, *out.mutable_committed());
  out.set_draining(announcement.draining);
  out.set_config_serial(announcement.config_serial.value());
  for (const BackendAnnouncement& backend : announcement.backends) {
    auto& row = *out.add_backends();
    row.set_backend(backend.backend.value());
    row.set_service(backend.service.value());
    row.set_running(backend.running);
    row.set_queued(backend.queued);
    row.set_draining(backend.draining);
    row.set_latency_ms(static_cast<std::uint32_t>(backend.latency.count()));
  }
  return out;
}

HostAnnouncement FromWire(const wire::HostAnnouncement& in) {
  HostAnnouncement announcement{HostId(in.host()),
                                DomainId(in.domain()),
                                in.address(),
                                FromWire(in.stamp()),
                                ReadResources(in.capacity()),
                                ReadResources(in.committed()),
                                {},
                                in.draining(),
                                ConfigSerial(in.config_serial())};
  for (const auto& row : in.backends()) {
    announcement.backends.push_back(BackendAnnouncement{
        BackendId(row.backend()), ServiceId(row.service()),
        static_cast<int>(row.running()), static_cast<int>(row.queued()),
        row.draining(), Duration(row.latency_ms())});
  }
  return announcement;
}

}  // namespace zinniacart

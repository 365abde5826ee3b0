#include "placement/simulation/trace.h"

namespace zinniacart::simulation {
namespace {

std::string FormatPlacement(const char* kind, const PlacementKey& key) {
  return std::string(kind) + " generation " +
         std::to_string(key.generation.value()) + " epoch " +
         std::to_string(key.epoch.value());
}

std::string TextIfAbout(const std::string& task,
                        const PlacementKey& key,
                        const std::string& text) {
  return key.task.value() == task ? text : std::string();
}

}  // namespace

std::string Describe(const OwnerMessage& message, const std::string& task) {
  const auto line = [&](const char* kind, const PlacementKey& key) {
    return TextIfAbout(task, key, FormatPlacement(kind, key));
  };
  return std::visit(
      Visitor{[&](const OfferMessage& kind) { return line("offer", kind.key); },
              [&](const StartMessage& kind) {
                return TextIfAbout(
                    task, kind.key,
                    FormatPlacement("start", kind.key) + " stamp " +
                        std::to_string(kind.stamp.agent_time.milliseconds));
              },
              [&](const StopMessage& kind) { return line("stop", kind.key); },
              [&](const QueryMessage& kind) { return line("query", kind.key); },
              [&](const RenewMessage& kind) {
                return "renew shard " + std::to_string(kind.shard.value()) +
                       " epoch " + std::to_string(kind.epoch.value());
              },
              [&](const AcknowledgeMessage& kind) {
                return line("acknowledge", kind.key);
              }},
      message);
}

std::string Describe(const AgentMessage& message, const std::string& task) {
  const auto line = [&](const char* kind, const PlacementKey& key) {
    return TextIfAbout(task, key, FormatPlacement(kind, key));
  };
  return std::visit(
      Visitor{
          [&](const OfferedMessage& kind) { return line("offered", kind.key); },
          [&](const OfferRefusedMessage& kind) {
            return line(ToString(kind.code), kind.key) + " offer-refused";
          },
          [&](const StartRefusedMessage& kind) {
            return line(ToString(kind.code), kind.key) + " start-refused";
          },
          [&](const ReportMessage& kind) {
            return TextIfAbout(
                task, kind.key,
                FormatPlacement("report", kind.key) + " state " +
                    std::to_string(static_cast<int>(kind.state)));
          },
          [&](const HeartbeatMessage&) { return std::string(); }},
      message);
}

}  // namespace zinniacart::simulation

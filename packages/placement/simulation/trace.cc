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
      Visitor{
          [&](const OfferMessage& content) {
            return line("offer", content.key);
          },
          [&](const StartMessage& content) {
            return TextIfAbout(
                task, content.key,
                FormatPlacement("start", content.key) + " stamp " +
                    std::to_string(content.stamp.agent_time.milliseconds));
          },
          [&](const StopMessage& content) { return line("stop", content.key); },
          [&](const QueryMessage& content) {
            return line("query", content.key);
          },
          [&](const RenewMessage& content) {
            return "renew shard " + std::to_string(content.shard.value()) +
                   " epoch " + std::to_string(content.epoch.value());
          },
          [&](const AcknowledgeMessage& content) {
            return line("acknowledge", content.key);
          }},
      message);
}

std::string Describe(const AgentMessage& message, const std::string& task) {
  const auto line = [&](const char* kind, const PlacementKey& key) {
    return TextIfAbout(task, key, FormatPlacement(kind, key));
  };
  return std::visit(
      Visitor{
          [&](const OfferedMessage& content) {
            return line("offered", content.key);
          },
          [&](const OfferRefusedMessage& content) {
            return line(ToString(content.code), content.key) + " offer-refused";
          },
          [&](const StartRefusedMessage& content) {
            return line(ToString(content.code), content.key) + " start-refused";
          },
          [&](const ReportMessage& content) {
            return TextIfAbout(
                task, content.key,
                FormatPlacement("report", content.key) + " state " +
                    std::to_string(static_cast<int>(content.state)));
          },
          [&](const HeartbeatMessage&) { return std::string(); }},
      message);
}

}  // namespace zinniacart::simulation

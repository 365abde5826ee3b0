#pragma once

#include <optional>

#include "placement/messages.h"
#include "zinniacart.pb.h"

namespace zinniacart {

/// Conversions between the typed messages and the generated ones. Reading
/// returns nothing where a message has no known kind.
wire::OwnerMessage ToWire(const OwnerMessage& message);
std::optional<OwnerMessage> FromWire(const wire::OwnerMessage& message);
wire::AgentMessage ToWire(const AgentMessage& message);
std::optional<AgentMessage> FromWire(const wire::AgentMessage& message);
wire::HostAnnouncement ToWire(const HostAnnouncement& announcement);
HostAnnouncement FromWire(const wire::HostAnnouncement& announcement);
wire::Stamp ToWire(const Stamp& stamp);
Stamp FromWire(const wire::Stamp& stamp);

}  // namespace zinniacart

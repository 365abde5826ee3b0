#pragma once

#include <optional>

#include "placement/messages.h"
#include "zinniacart.pb.h"

namespace zinniacart {

/// Conversions between the messages of the placement protocol and their
/// generated Protocol Buffers types. `FromWire` returns nothing for an owner or
/// agent message of an unknown kind.
wire::OwnerMessage ToWire(const OwnerMessage& message);
std::optional<OwnerMessage> FromWire(const wire::OwnerMessage& message);
wire::AgentMessage ToWire(const AgentMessage& message);
std::optional<AgentMessage> FromWire(const wire::AgentMessage& message);
wire::HostAnnouncement ToWire(const HostAnnouncement& announcement);
HostAnnouncement FromWire(const wire::HostAnnouncement& announcement);
wire::Stamp ToWire(const Stamp& stamp);
Stamp FromWire(const wire::Stamp& stamp);

}  // namespace zinniacart

#pragma once

#include <string>

#include "placement/messages.h"

namespace zinniacart::simulation {

/// @returns a description of `message` in one line for a trace of `task`, or an
/// empty string where the message is about another task and for heartbeats.
/// Renewals, which are about a whole shard, are always described; refusals of
/// other tasks appear without a placement.
std::string Describe(const OwnerMessage& message, const std::string& task);
std::string Describe(const AgentMessage& message, const std::string& task);

}  // namespace zinniacart::simulation

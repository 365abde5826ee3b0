#pragma once

#include <string>

#include "placement/messages.h"

namespace zinniacart::simulation {

/// @returns one line about `message`, or an empty one where it is not about
/// `task`.
std::string Describe(const OwnerMessage& message, const std::string& task);
std::string Describe(const AgentMessage& message, const std::string& task);

}  // namespace zinniacart::simulation

#pragma once

#include <string>

#include "base/error.h"
#include "scheduling/host_messages.h"

namespace zinniacart {

/// @returns the message as JSON, as sent between owner and agent.
std::string Encode(const HostOrders& orders);
std::string Encode(const HostReport& report);

/// @returns the message, `kInvalidArgument` where the bytes are not a valid
/// one.
Result<HostOrders> DecodeHostOrders(const std::string& bytes);
Result<HostReport> DecodeHostReport(const std::string& bytes);

}  // namespace zinniacart

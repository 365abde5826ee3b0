#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace zinniacart {

/// Sets up logging to standard error, one JSON object a line.
/// @param program the name put into each line.
void StartLogging(const std::string& program);

/// Logs `event` with `fields` at level info.
void LogInfo(const std::string& event, const nlohmann::json& fields);
/// Logs `event` with `fields` at level warning.
void LogWarning(const std::string& event, const nlohmann::json& fields);
/// Logs `event` with `fields` at level error.
void LogError(const std::string& event, const nlohmann::json& fields);

}  // namespace zinniacart

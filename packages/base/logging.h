#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace zinniacart {

/// Sets up logging to standard error, one JSON object a line.
/// @param program the name put into each line.
void StartLogging(const std::string& program);

/// Sets up logging to standard output for a daemon whose decisions must not
/// wait for a reader: lines are kept until `FlushLog`, bounded in number a
/// second by kind and in bytes; what is left out is counted in a line.
void StartBoundedLogging(const std::string& program);

/// Writes the lines that were kept; does nothing after `StartLogging`.
void FlushLog();

/// Logs `event` with `fields` at level info.
void LogInfo(const std::string& event, const nlohmann::json& fields);
/// Logs `event` with `fields` at level warning.
void LogWarning(const std::string& event, const nlohmann::json& fields);
/// Logs `event` with `fields` at level error.
void LogError(const std::string& event, const nlohmann::json& fields);

}  // namespace zinniacart

#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace zinniacart {

/// Sets up logging to standard error, one JSON object per line. Each line is
/// written at once and blocks while the reader is slow.
/// @param program program name in each line.
void StartLogging(const std::string& program);

/// Sets up logging to standard output for a daemon whose decisions must not be
/// delayed by a slow log reader. Lines are buffered until `FlushLog`. Both the
/// number of lines per second of each event and the bytes in the buffer are
/// limited; lines beyond a limit are dropped, and a warning gives their number.
/// Log and flush from one thread only.
/// @param program program name in each line.
void StartBoundedLogging(const std::string& program);

/// Writes the buffered lines as far as the reader accepts them without
/// blocking. Does nothing unless `StartBoundedLogging` was called.
void FlushLog();

/// Logs `event`, a short constant text, with `fields` at level info.
void LogInfo(const std::string& event, const nlohmann::json& fields);
/// Logs `event` with `fields` at level warning.
void LogWarning(const std::string& event, const nlohmann::json& fields);
/// Logs `event` with `fields` at level error.
void LogError(const std::string& event, const nlohmann::json& fields);

}  // namespace zinniacart

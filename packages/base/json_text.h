#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace zinniacart {

/// Deepest nesting of arrays and objects that `ParseJson` accepts. The JSON
/// library copies and writes nested values recursively.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// Largest magnitude of an integer from outside the process: a double holds it
/// exactly, and sums of some hundred such integers fit into 64 bits.
inline constexpr std::int64_t kMaxJsonInteger = std::int64_t{1} << 53;

/// Most memory that the values of one text may occupy besides their strings, as
/// estimated by `ParseJson`. Small values occupy up to 25 times their text: 4
/// MiB of empty arrays took a process with 128 MB to 133 MB.
inline constexpr std::size_t kMaxJsonMemory = 24U << 20U;

/// Parses JSON text from outside the process.
/// @param max_memory bounds the estimated memory of the values.
/// @returns the value, whose strings are valid UTF-8.
/// @throws std::exception if `text` is not JSON, contains a number that a
///         double cannot hold, is nested deeper than `kMaxJsonDepth`, or has
///         too many values for `max_memory`.
nlohmann::json ParseJson(std::string_view text,
                         std::size_t max_memory = kMaxJsonMemory);

/// @returns the JSON text of `value`; bytes of its strings that are not UTF-8
/// are replaced by U+FFFD.
std::string DumpJson(const nlohmann::json& value);

/// Reads an integer and checks its range. Fractions are cut off.
/// @param name of the value, for the error.
/// @throws std::invalid_argument if `value` is not a number from `min` to
///         `max`.
std::int64_t ReadInteger(const nlohmann::json& value,
                         const std::string& name,
                         std::int64_t min = 0,
                         std::int64_t max = kMaxJsonInteger);

/// Reads an integer field of an object and checks its range.
/// @throws std::exception if the field is absent or not a number from `min` to
///         `max`.
std::int64_t ReadIntegerField(const nlohmann::json& object,
                              const char* name,
                              std::int64_t min = 0,
                              std::int64_t max = kMaxJsonInteger);

/// Reads an integer field of an object and checks its range.
/// @returns the integer, 0 if the field is absent or null.
/// @throws std::exception if the field is not a number from `min` to `max`.
std::int64_t ReadOptionalIntegerField(const nlohmann::json& object,
                                      const char* name,
                                      std::int64_t min = 0,
                                      std::int64_t max = kMaxJsonInteger);

/// Reads a count field of an object.
/// @throws std::exception if the field is absent or not a number from 0 to
///         2^32 - 1.
std::uint32_t ReadCountField(const nlohmann::json& object, const char* name);

/// @returns the count, 0 if the field is absent or null.
/// @throws std::exception if the field is not a number from 0 to 2^32 - 1.
std::uint32_t ReadOptionalCountField(const nlohmann::json& object,
                                     const char* name);

/// @returns the counts in an array field, none if it is absent or null.
/// @throws std::exception if the field is not an array of numbers from 0 to
///         2^32 - 1.
std::vector<std::uint32_t> ReadOptionalCountsField(const nlohmann::json& object,
                                                   const char* name);

}  // namespace zinniacart

#include "base/json_text.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace zinniacart {
namespace {

using nlohmann::json;

constexpr std::int64_t kMaxCount = std::numeric_limits<std::uint32_t>::max();

// Memory of the JSON library's values, with what growing arrays leave unused.
constexpr std::size_t kContainerMemory = 40;
constexpr std::size_t kElementMemory = 32;
constexpr std::size_t kMemberMemory = 96;

/// @returns the memory that `character`, outside of strings, stands for.
std::size_t MemoryOf(char character) {
  switch (character) {
    case '[':
    case '{':
      return kContainerMemory;
    case ',':
      return kElementMemory;
    case ':':
      return kMemberMemory;
    default:
      return 0;
  }
}

/// Throws where the brackets outside of strings nest too deeply or the values
/// would occupy too much memory. Text that is not JSON may pass; the parser
/// rejects it.
void CheckSize(std::string_view text, std::size_t max_memory) {
  std::size_t memory = 0;
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char character = text[at];
    memory += in_string ? 0 : MemoryOf(character);
    if (memory > max_memory) {
      throw std::invalid_argument("JSON has too many values at byte " +
                                  std::to_string(at) + " of " +
                                  std::to_string(text.size()));
    }
    if (in_string) {
      at += character == '\\' ? 1U : 0U;
      in_string = character != '"';
    } else if (character == '"') {
      in_string = true;
    } else if (character == '[' || character == '{') {
      if (++depth > kMaxJsonDepth) {
        throw std::invalid_argument("JSON is nested deeper than " +
                                    std::to_string(kMaxJsonDepth) +
                                    " levels at byte " + std::to_string(at));
      }
    } else if ((character == ']' || character == '}') && depth > 0) {
      --depth;
    }
  }
}

[[noreturn]] void ThrowOutOfRange(const json& value,
                                  const std::string& name,
                                  std::int64_t min,
                                  std::int64_t max) {
  const std::string found =
      value.is_number() ? value.dump() : std::string(value.type_name());
  throw std::invalid_argument(name + " is " + found +
                              ", must be a number from " + std::to_string(min) +
                              " to " + std::to_string(max));
}

}  // namespace

json ParseJson(std::string_view text, std::size_t max_memory) {
  CheckSize(text, max_memory);
  return json::parse(text);
}

std::string DumpJson(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::int64_t ReadInteger(const json& value,
                         const std::string& name,
                         std::int64_t min,
                         std::int64_t max) {
  if (value.is_number_float()) {
    const double number = value.get<double>();
    // Bounds that exclude the rounded limits, whose conversion would overflow.
    if (number > static_cast<double>(min) - 1 &&
        number < static_cast<double>(max) + 1) {
      return static_cast<std::int64_t>(number);
    }
  } else if (value.is_number_unsigned()) {
    const auto number = value.get<std::uint64_t>();
    if (max >= 0 && number <= static_cast<std::uint64_t>(max) &&
        static_cast<std::int64_t>(number) >= min) {
      return static_cast<std::int64_t>(number);
    }
  } else if (value.is_number_integer()) {
    const auto number = value.get<std::int64_t>();
    if (number >= min && number <= max) {
      return number;
    }
  }
  ThrowOutOfRange(value, name, min, max);
}

std::int64_t ReadIntegerField(const json& object,
                              const char* name,
                              std::int64_t min,
                              std::int64_t max) {
  return ReadInteger(object.at(name), name, min, max);
}

std::int64_t ReadOptionalIntegerField(const json& object,
                                      const char* name,
                                      std::int64_t min,
                                      std::int64_t max) {
  const auto found = object.find(name);
  return found == object.end() || found->is_null()
             ? 0
             : ReadInteger(*found, name, min, max);
}

std::uint32_t ReadCountField(const json& object, const char* name) {
  return static_cast<std::uint32_t>(
      ReadIntegerField(object, name, 0, kMaxCount));
}

std::uint32_t ReadOptionalCountField(const json& object, const char* name) {
  return static_cast<std::uint32_t>(
      ReadOptionalIntegerField(object, name, 0, kMaxCount));
}

std::vector<std::uint32_t> ReadOptionalCountsField(const json& object,
                                                   const char* name) {
  std::vector<std::uint32_t> counts;
  const auto found = object.find(name);
  if (found == object.end() || found->is_null()) {
    return counts;
  }
  if (!found->is_array()) {
    throw std::invalid_argument(std::string(name) + " is of type " +
                                found->type_name() + ", must be an array");
  }
  for (const json& count : *found) {
    counts.push_back(
        static_cast<std::uint32_t>(ReadInteger(count, name, 0, kMaxCount)));
  }
  return counts;
}

}  // namespace zinniacart

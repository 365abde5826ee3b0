#include "jobs/task_key.h"

#include <array>
#include <charconv>

namespace zinniacart {
namespace {

bool ParseNumber(const std::string& text,
                 std::size_t begin,
                 std::size_t end,
                 std::uint32_t& number) {
  const char* last = text.data() + end;
  const auto parsed = std::from_chars(text.data() + begin, last, number);
  return parsed.ec == std::errc() && parsed.ptr == last;
}

}  // namespace

std::string TaskKey::ToString() const {
  return job.value() + "." + std::to_string(occurrence) + "." +
         std::to_string(step) + "." + std::to_string(index);
}

std::optional<TaskKey> TaskKey::Parse(const std::string& text) {
  std::array<std::uint32_t, 3> numbers{};
  std::size_t end = text.size();
  for (std::size_t part = numbers.size(); part-- > 0;) {
    const auto dot = text.rfind('.', end == 0 ? 0 : end - 1);
    if (dot == std::string::npos || dot == 0 ||
        !ParseNumber(text, dot + 1, end, numbers[part])) {
      return std::nullopt;
    }
    end = dot;
  }
  return TaskKey{JobId(text.substr(0, end)), numbers[0], numbers[1],
                 numbers[2]};
}

}  // namespace zinniacart

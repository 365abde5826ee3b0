#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace zinniacart {

/// Wraps a `Value` in a distinct type for each `Tag`, so that the compiler
/// rejects one kind of id or counter where another is expected. Use `value()`
/// only where the value enters or leaves the program, as in messages.
template <typename Tag, typename Value>
class StrongType final {
 public:
  StrongType() = default;
  explicit StrongType(Value value) : m_value(std::move(value)) {}

  /// @returns the wrapped value.
  const Value& value() const { return m_value; }

  auto operator<=>(const StrongType&) const = default;

  /// @returns this value plus one. For counters only.
  StrongType Next() const { return StrongType(m_value + 1); }

 private:
  Value m_value{};
};

}  // namespace zinniacart

template <typename Tag, typename Value>
struct std::hash<zinniacart::StrongType<Tag, Value>> {
  std::size_t operator()(
      const zinniacart::StrongType<Tag, Value>& id) const noexcept {
    return std::hash<Value>{}(id.value());
  }
};

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace zinniacart {

/// A value of type `Value` that cannot be mixed up with one of another tag.
/// Use it for ids and counters; `value()` gives the plain value at an edge.
template <typename Tag, typename Value>
class StrongType final {
 public:
  StrongType() = default;
  explicit StrongType(Value value) : m_value(std::move(value)) {}

  /// @returns the plain value.
  const Value& value() const { return m_value; }

  auto operator<=>(const StrongType&) const = default;

  /// @returns the value one above this one; for counters only.
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

#pragma once

#include <cstdint>

namespace zinniacart {

/// An amount of a host's processor time (thousandths of a core), memory (MB)
/// and accelerators (count).
struct Resources {
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  Resources operator+(const Resources& other) const;
  Resources operator-(const Resources& other) const;

  /// @returns the processor time in cores.
  double cores() const {
    constexpr double kMillicoresPerCore = 1000.0;
    return static_cast<double>(millicores) / kMillicoresPerCore;
  }
  /// @returns whether this amount is at most `capacity` in every dimension.
  bool FitsIn(const Resources& capacity) const;
  /// @returns whether no dimension is negative.
  bool IsNonNegative() const;
};

/// @returns the largest of the shares of `total` that `used` takes in each
/// dimension; from 0 to 1 if `used` fits into `total`. A dimension without
/// capacity counts as 1 if any of it is used, else as 0.
double DominantShare(const Resources& used, const Resources& total);

}  // namespace zinniacart

#pragma once

#include <cstdint>

namespace zinniacart {

/// An amount of a host's processors, memory and accelerators.
struct Resources {
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  Resources operator+(const Resources& other) const;
  Resources operator-(const Resources& other) const;

  /// @returns the processors as a number of cores.
  double cores() const {
    constexpr double kMillicoresPerCore = 1000.0;
    return static_cast<double>(millicores) / kMillicoresPerCore;
  }
  /// @returns whether this amount fits into `room` in each dimension.
  bool FitsIn(const Resources& room) const;
  /// @returns whether no dimension is negative.
  bool IsNonNegative() const;
};

/// @returns the largest share that `used` takes of any dimension of `total`,
/// from 0 to 1 for amounts that fit.
double DominantShare(const Resources& used, const Resources& total);

}  // namespace zinniacart

#pragma once

#include <cstdint>

#include "base/clock.h"

namespace zinniacart {

struct HeadroomSettings {
  /// Time in which a remembered peak decays by half.
  Duration half_life{15000};
  /// Factor on the remembered peak, for a next peak that is higher.
  double margin = 1.2;
};

/// Computes how much processor capacity of a service perpetual tasks must leave
/// free for short tasks, from the decaying peak of what short tasks needed.
/// Otherwise perpetual tasks fill every host, and short tasks, which are worth
/// more per core-second, wait until a perpetual task ends.
class Headroom final {
 public:
  explicit Headroom(HeadroomSettings settings = {}) : m_settings(settings) {}

  /// Updates the remembered peak.
  /// @param wanted what short tasks use or wait for, in millicores.
  /// @param used   the part of it that they use already, in millicores.
  void Observe(std::int64_t wanted, std::int64_t used, Instant now);

  /// @returns the millicores to keep free in addition to what short tasks use.
  std::int64_t Reserve() const;

 private:
  HeadroomSettings m_settings;
  double m_peak = 0;
  std::int64_t m_used = 0;
  Instant m_observed_at;
};

}  // namespace zinniacart

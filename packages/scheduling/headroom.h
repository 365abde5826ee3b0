#pragma once

#include <cstdint>

#include "base/clock.h"

namespace zinniacart {

struct HeadroomSettings {
  /// A peak of short work loses half of its weight in this time.
  Duration half_life{15000};
  /// Room kept beyond the remembered peak, for the next one.
  double margin = 1.2;
};

/// How much room perpetual tasks must leave to tasks that end. Load it
/// answers: perpetual tasks that fill every host, so that short tasks, which
/// are worth more for each core-second, find none until somebody leaves.
class Headroom final {
 public:
  explicit Headroom(HeadroomSettings settings = {}) : m_settings(settings) {}

  /// @param wanted what short tasks use or wait for, in millicores.
  /// @param used   the part that they use already.
  void Observe(std::int64_t wanted, std::int64_t used, Instant now);

  /// @returns the millicores that must stay free besides what is in use.
  std::int64_t Reserve() const;

 private:
  HeadroomSettings m_settings;
  double m_peak = 0;
  std::int64_t m_used = 0;
  Instant m_observed_at;
};

}  // namespace zinniacart

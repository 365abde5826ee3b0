#pragma once

namespace zinniacart {

/// Bounds retries to a fraction of the traffic, so that a failing fleet is
/// not buried under them. Each request earns a part of a retry; each retry
/// spends a whole one.
class RetryBudget final {
 public:
  /// Counts one first attempt.
  void Earn();
  /// @returns whether a retry may be made, and counts it.
  bool Spend();

 private:
  static constexpr double kRetriesPerRequest = 0.1;
  static constexpr double kMostSaved = 20.0;

  double m_saved = kMostSaved;
};

}  // namespace zinniacart

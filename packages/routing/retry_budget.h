#pragma once

namespace zinniacart {

/// Limits retries to a fraction of the traffic, so that they do not overload
/// hosts that already fail. Each request adds a fraction of a retry to the
/// balance; each retry takes 1 from it.
class RetryBudget final {
 public:
  /// Counts the first attempt of a request.
  void Earn();
  /// Takes one retry from the balance if there is one.
  /// @returns whether the retry may be made.
  bool Spend();

 private:
  static constexpr double kRetriesPerRequest = 0.1;
  /// Retries that may be made at once, also at the start.
  static constexpr double kMaxBalance = 20.0;

  double m_balance = kMaxBalance;
};

}  // namespace zinniacart

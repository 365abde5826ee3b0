#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "base/clock.h"
#include "intake/store_availability.h"
#include "site/store_port.h"
#include "site/timer.h"

namespace zinniacart {

/// Passes all calls of a process on to the store, observes how they end, and
/// probes the store while it is in doubt or away. Changes of the store's health
/// are logged.
class StoreMonitor final : public StorePort {
 public:
  StoreMonitor(boost::asio::io_context& loop,
               StorePort& store,
               StoreAvailabilitySettings settings,
               const Clock& clock);

  /// Starts to judge the store as time passes, and to probe it.
  void Start();
  /// @param on_change is called after each change of `availability().health()`
  ///                  or `availability().silent()`.
  void SetListener(std::function<void()> on_change) {
    m_on_change = std::move(on_change);
  }

  const StoreAvailability& availability() const { return m_availability; }

  void Get(const std::string& key,
           Duration timeout,
           StoreCallback<StoreItem> done) override;
  void List(const std::string& prefix,
            Duration timeout,
            StoreCallback<StoreSnapshot> done) override;
  void Watch(const std::string& prefix,
             std::uint64_t after,
             Duration wait,
             Duration timeout,
             StoreCallback<StoreEvents> done) override;
  void Commit(const StoreTransaction& transaction,
              Duration timeout,
              StoreCallback<StoreCommit> done) override;
  void OpenLease(Duration ttl,
                 Duration timeout,
                 StoreCallback<LeaseId> done) override;
  void RenewLease(const LeaseId& lease,
                  Duration timeout,
                  StoreCallback<Duration> done) override;
  void EndLease(const LeaseId& lease,
                Duration timeout,
                StoreCallback<Duration> done) override;

 private:
  /// Reports a call as sent.
  /// @returns `done`, after reporting how the call has ended.
  template <typename T>
  StoreCallback<T> Observe(StoreAvailability::CallKind kind,
                           Duration wait,
                           StoreCallback<T> done);
  void Tick();
  /// Reports changes since the last call.
  void ReportChanges();

  StorePort& m_store;
  const Clock& m_clock;
  StoreAvailability m_availability;
  StoreAvailability::Health m_reported_health =
      StoreAvailability::Health::kAnswers;
  bool m_reported_silent = false;
  Instant m_away_since;
  std::function<void()> m_on_change;
  Timer m_timer;
};

}  // namespace zinniacart

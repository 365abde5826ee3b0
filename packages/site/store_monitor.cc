#include "site/store_monitor.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/logging.h"
#include "site/store_keys.h"

namespace zinniacart {
namespace {

using CallKind = StoreAvailability::CallKind;

constexpr Duration kTickInterval{50};
/// Longer than the interval of the probes, so that a slow store answers them.
constexpr Duration kProbeTimeout{1000};

/// @returns whether a call that failed with `error` got an answer that shows
/// the store at work.
bool IsAnswer(const Error& error) {
  return error.code == ErrorCode::kNotFound ||
         error.code == ErrorCode::kPreconditionFailed;
}

}  // namespace

StoreMonitor::StoreMonitor(boost::asio::io_context& loop,
                           StorePort& store,
                           StoreAvailabilitySettings settings,
                           const Clock& clock)
    : m_store(store),
      m_clock(clock),
      m_availability(settings, clock),
      m_timer(loop) {}

void StoreMonitor::Start() {
  Tick();
}

void StoreMonitor::Tick() {
  m_timer.After(kTickInterval, [this] { Tick(); });
  m_availability.OnTick();
  ReportChanges();
  if (m_availability.TakeProbe()) {
    Get(store_keys::kEpoch, kProbeTimeout, [](const Result<StoreItem>&) {});
  }
}

void StoreMonitor::ReportChanges() {
  const auto health = m_availability.health();
  const auto before = std::exchange(m_reported_health, health);
  const bool silent = m_availability.silent();
  const bool was_silent = std::exchange(m_reported_silent, silent);
  if (health == before && silent == was_silent) {
    return;
  }
  if (health == StoreAvailability::Health::kAway &&
      before != StoreAvailability::Health::kAway) {
    m_away_since = m_clock.Now() - m_availability.AwayFor();
    LogWarning("store is away: callers' changes are not sent to it",
               {{"for_ms", m_availability.AwayFor().count()}});
  }
  if (before == StoreAvailability::Health::kAway &&
      health != StoreAvailability::Health::kAway) {
    LogInfo("store answers again",
            {{"away_ms", (m_clock.Now() - m_away_since).count()}});
  }
  if (m_on_change) {
    m_on_change();
  }
}

template <typename T>
StoreCallback<T> StoreMonitor::Observe(CallKind kind,
                                       Duration wait,
                                       StoreCallback<T> done) {
  return [this, call = m_availability.OnSent(kind, wait),
          done = std::move(done)](Result<T> result) {
    if (result || IsAnswer(result.error())) {
      m_availability.OnAnswered(call);
    } else {
      m_availability.OnFailed(call,
                              result.error().code == ErrorCode::kOutcomeUnknown
                                  ? StoreAvailability::Failure::kLost
                                  : StoreAvailability::Failure::kRefused);
    }
    ReportChanges();
    done(std::move(result));
  };
}

void StoreMonitor::Get(const std::string& key,
                       Duration timeout,
                       StoreCallback<StoreItem> done) {
  m_store.Get(key, timeout,
              Observe(CallKind::kShort, Duration(0), std::move(done)));
}

void StoreMonitor::List(const std::string& prefix,
                        Duration timeout,
                        StoreCallback<StoreSnapshot> done) {
  m_store.List(prefix, timeout,
               Observe(CallKind::kListing, Duration(0), std::move(done)));
}

void StoreMonitor::Watch(const std::string& prefix,
                         std::uint64_t after,
                         Duration wait,
                         Duration timeout,
                         StoreCallback<StoreEvents> done) {
  m_store.Watch(prefix, after, wait, timeout,
                Observe(CallKind::kWatch, wait, std::move(done)));
}

void StoreMonitor::Commit(const StoreTransaction& transaction,
                          Duration timeout,
                          StoreCallback<StoreCommit> done) {
  m_store.Commit(transaction, timeout,
                 Observe(CallKind::kShort, Duration(0), std::move(done)));
}

void StoreMonitor::OpenLease(Duration ttl,
                             Duration timeout,
                             StoreCallback<LeaseId> done) {
  m_store.OpenLease(ttl, timeout,
                    Observe(CallKind::kShort, Duration(0), std::move(done)));
}

void StoreMonitor::RenewLease(const LeaseId& lease,
                              Duration timeout,
                              StoreCallback<Duration> done) {
  m_store.RenewLease(lease, timeout,
                     Observe(CallKind::kShort, Duration(0), std::move(done)));
}

void StoreMonitor::EndLease(const LeaseId& lease,
                            Duration timeout,
                            StoreCallback<Duration> done) {
  m_store.EndLease(lease, timeout,
                   Observe(CallKind::kShort, Duration(0), std::move(done)));
}

}  // namespace zinniacart

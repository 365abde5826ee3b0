#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "site/store_port.h"
#include "site/timer.h"

namespace zinniacart {

/// How a follower continues after a response that took long to receive.
enum class CatchUp {
  kByChanges,  ///< Watches on: the follower needs every change.
  kByListing,  ///< Lists again: only the newest values matter.
};

/// Follows all keys with one prefix. It lists them first, then watches for
/// changes, and lists again whenever the store no longer keeps the history that
/// a watch needs or the changes are too large for one response. Failed calls
/// are repeated after a delay.
///
/// `CatchUp::kByListing` serves large values that are rewritten often and read
/// over a slow link: a watch returns every version, so that the follower would
/// fall further and further behind. With this setting a slow response is
/// followed by listings until one contains nothing new, and a watch that failed
/// or was handled late by a listing.
class PrefixFollower final {
 public:
  using SnapshotHandler = std::function<void(const StoreSnapshot&)>;
  using EventHandler = std::function<void(const StoreEvent&)>;
  /// Called with true after each response and with false after each failed
  /// call, also if the value is the same as before. A watch that fails because
  /// the prefix must be listed again is not reported.
  using HealthHandler = std::function<void(bool answering)>;

  PrefixFollower(boost::asio::io_context& loop,
                 StorePort& store,
                 std::string prefix,
                 CatchUp catch_up,
                 SnapshotHandler on_snapshot,
                 EventHandler on_event,
                 const Clock& clock,
                 HealthHandler on_health = nullptr);
  ~PrefixFollower();

  /// Lists the prefix and follows it until `Stop`.
  void Start();
  /// Ends the following: later responses are ignored. The snapshot and event
  /// handlers may call it, the health handler must not.
  void Stop();

  /// @returns an instant up to which the handlers have received every change
  /// that the store had acknowledged: when the last answered call was sent.
  /// Nothing before the first answer.
  std::optional<Instant> confirmed_at() const { return m_confirmed_at; }

 private:
  void List();
  void OnListed(const StoreSnapshot& snapshot, Instant sent_at);
  void Watch();
  void OnWatched(const StoreEvents& events, Instant sent_at);
  /// Lists or watches next.
  /// @param has_changes whether the last response contained a new value.
  /// @param sent_at when its call was sent.
  void Continue(bool has_changes, Duration received_in, Instant sent_at);
  void RetryLater(const Error& error);
  void ReportHealth(bool answering);

  StorePort& m_store;
  const std::string m_prefix;
  const CatchUp m_catch_up;
  const SnapshotHandler m_on_snapshot;
  const EventHandler m_on_event;
  const Clock& m_clock;
  const HealthHandler m_on_health;
  Timer m_retry;
  /// Pending calls hold a weak reference: responses to calls of an earlier
  /// `Start` are ignored.
  std::shared_ptr<int> m_session;
  std::uint64_t m_as_of = 0;   ///< Store revision that the next watch follows.
  std::uint64_t m_newest = 0;  ///< Revision of the newest value received.
  std::optional<Instant> m_confirmed_at;
  bool m_synchronized = false;  ///< A watch can continue from `m_as_of`.
  bool m_answering = true;
};

}  // namespace zinniacart

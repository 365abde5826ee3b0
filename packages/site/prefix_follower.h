#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "site/store_port.h"
#include "site/timer.h"

namespace zinniacart {

/// How a follower goes on after an answer that took long to come in.
enum class CatchUp {
  kByChanges,  ///< It needs every change.
  kByListing,  ///< Only the newest values matter.
};

/// Follows all keys with one prefix: a whole listing first and whenever the
/// store's history does not reach back, single changes otherwise. Load it
/// answers: a large value that is written again and again, read over a thin
/// link. Watches would bring every version, and ever more of them; with
/// `CatchUp::kByListing`, listings follow until one shows nothing new.
class PrefixFollower final {
 public:
  using SnapshotHandler = std::function<void(const StoreSnapshot&)>;
  using EventHandler = std::function<void(const StoreEvent&)>;
  /// Told whenever the store answers or stops answering.
  using HealthHandler = std::function<void(bool answering)>;

  PrefixFollower(boost::asio::io_context& loop,
                 StorePort& store,
                 std::string prefix,
                 CatchUp catch_up,
                 SnapshotHandler on_snapshot,
                 EventHandler on_event,
                 HealthHandler on_health = nullptr);
  ~PrefixFollower();

  void Start();
  void Stop();

 private:
  void List();
  void OnListed(const StoreSnapshot& snapshot);
  void Watch();
  void OnWatched(const StoreEvents& events);
  void FollowOn(bool news, Duration received_in);
  void RetryLater(const Error& error);
  void ReportHealth(bool answering);

  StorePort& m_store;
  const std::string m_prefix;
  const CatchUp m_catch_up;
  const SnapshotHandler m_on_snapshot;
  const EventHandler m_on_event;
  const HealthHandler m_on_health;
  Timer m_retry;
  /// Replies to calls of an earlier `Start` are ignored.
  std::shared_ptr<int> m_life;
  std::uint64_t m_as_of = 0;
  std::uint64_t m_newest = 0;  ///< Revision of the newest value that was seen.
  bool m_synchronized = false;
  bool m_answering = true;
};

}  // namespace zinniacart

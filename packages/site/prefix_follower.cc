#include "site/prefix_follower.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/logging.h"

namespace zinniacart {
namespace {

/// A watch waits this long for a change. Short, because a silent connection is
/// noticed only when the answer is overdue, and changes must be in force
/// within two seconds.
constexpr Duration kWatchWait{700};
/// How much later than its wait a watch's answer may come.
constexpr Duration kWatchGrace{600};
constexpr Duration kListTimeout{1000};
constexpr Duration kRetry{150};
/// While an answer takes longer than this to come in, further versions of its
/// values may be written.
constexpr Duration kSlowAnswer{150};

}  // namespace

PrefixFollower::PrefixFollower(boost::asio::io_context& loop,
                               StorePort& store,
                               std::string prefix,
                               CatchUp catch_up,
                               SnapshotHandler on_snapshot,
                               EventHandler on_event,
                               HealthHandler on_health)
    : m_store(store),
      m_prefix(std::move(prefix)),
      m_catch_up(catch_up),
      m_on_snapshot(std::move(on_snapshot)),
      m_on_event(std::move(on_event)),
      m_on_health(std::move(on_health)),
      m_retry(loop) {}

PrefixFollower::~PrefixFollower() {
  Stop();
}

void PrefixFollower::Start() {
  m_life = std::make_shared<int>(0);
  m_synchronized = false;
  List();
}

void PrefixFollower::Stop() {
  m_life.reset();
  m_retry.Cancel();
}

void PrefixFollower::List() {
  m_store.List(m_prefix, kListTimeout,
               [this, life = std::weak_ptr<int>(m_life)](
                   const Result<StoreSnapshot>& snapshot) {
                 if (life.expired()) {
                   return;
                 }
                 if (!snapshot) {
                   return RetryLater(snapshot.error());
                 }
                 OnListed(*snapshot);
               });
}

void PrefixFollower::OnListed(const StoreSnapshot& snapshot) {
  ReportHealth(true);
  m_as_of = snapshot.as_of;
  m_synchronized = true;
  bool news = false;
  for (const StoreItem& item : snapshot.items) {
    news = news || item.revision > m_newest;
    m_newest = std::max(m_newest, item.revision);
  }
  const std::weak_ptr<int> life = m_life;
  m_on_snapshot(snapshot);
  if (!life.expired()) {
    FollowOn(news, snapshot.received_in);
  }
}

void PrefixFollower::Watch() {
  m_store.Watch(m_prefix, m_as_of, kWatchWait, kWatchWait + kWatchGrace,
                [this, life = std::weak_ptr<int>(m_life)](
                    const Result<StoreEvents>& events) {
                  if (life.expired()) {
                    return;
                  }
                  if (!events) {
                    return RetryLater(events.error());
                  }
                  OnWatched(*events);
                });
}

void PrefixFollower::OnWatched(const StoreEvents& events) {
  ReportHealth(true);
  m_as_of = std::max(m_as_of, events.as_of);
  const std::weak_ptr<int> life = m_life;
  for (const StoreEvent& event : events.events) {
    m_newest = std::max(m_newest, event.item.revision);
    m_on_event(event);
    if (life.expired()) {
      return;
    }
  }
  FollowOn(!events.events.empty(), events.received_in);
}

void PrefixFollower::FollowOn(bool news, Duration received_in) {
  const bool behind = news && received_in > kSlowAnswer;
  if (behind && m_catch_up == CatchUp::kByListing) {
    return List();
  }
  Watch();
}

void PrefixFollower::RetryLater(const Error& error) {
  if (error.code == ErrorCode::kPreconditionFailed) {
    LogInfo("store history is gone, listing anew", {{"prefix", m_prefix}});
    m_synchronized = false;
  } else {
    ReportHealth(false);
  }
  m_retry.After(kRetry, [this] { m_synchronized ? Watch() : List(); });
}

void PrefixFollower::ReportHealth(bool answering) {
  if (answering != m_answering) {
    LogInfo(answering ? "store regained" : "store lost",
            {{"prefix", m_prefix}});
  }
  m_answering = answering;
  if (m_on_health) {
    m_on_health(answering);
  }
}

}  // namespace zinniacart

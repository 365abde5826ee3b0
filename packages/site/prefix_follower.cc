#include "site/prefix_follower.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/logging.h"

namespace zinniacart {
namespace {

/// How long a watch waits for a change. It is short because a dead connection
/// is detected only when the response is overdue, and changes must be in force
/// within two seconds.
constexpr Duration kWatchWait{700};
/// How long after the end of the wait a watch's response may arrive.
constexpr Duration kWatchGrace{600};
/// Longer than the second after which TCP repeats a lost opening packet.
constexpr Duration kListTimeout{1300};
constexpr Duration kRetryDelay{150};
/// If a response takes longer than this to receive, newer versions of its
/// values may have been written meanwhile.
constexpr Duration kSlowResponse{150};

}  // namespace

PrefixFollower::PrefixFollower(boost::asio::io_context& loop,
                               StorePort& store,
                               std::string prefix,
                               CatchUp catch_up,
                               SnapshotHandler on_snapshot,
                               EventHandler on_event,
                               const Clock& clock,
                               HealthHandler on_health)
    : m_store(store),
      m_prefix(std::move(prefix)),
      m_catch_up(catch_up),
      m_on_snapshot(std::move(on_snapshot)),
      m_on_event(std::move(on_event)),
      m_clock(clock),
      m_on_health(std::move(on_health)),
      m_retry(loop) {}

PrefixFollower::~PrefixFollower() {
  Stop();
}

void PrefixFollower::Start() {
  m_session = std::make_shared<int>(0);
  m_synchronized = false;
  List();
}

void PrefixFollower::Stop() {
  m_session.reset();
  m_retry.Cancel();
}

void PrefixFollower::List() {
  m_store.List(
      m_prefix, kListTimeout,
      [this, session = std::weak_ptr<int>(m_session),
       sent_at = m_clock.Now()](const Result<StoreSnapshot>& snapshot) {
        if (session.expired()) {
          return;
        }
        if (!snapshot) {
          return RetryLater(snapshot.error());
        }
        OnListed(*snapshot, sent_at);
      });
}

void PrefixFollower::OnListed(const StoreSnapshot& snapshot, Instant sent_at) {
  ReportHealth(true);
  m_as_of = snapshot.as_of;
  m_synchronized = true;
  bool has_changes = false;
  for (const StoreItem& item : snapshot.items) {
    has_changes = has_changes || item.revision > m_newest;
    m_newest = std::max(m_newest, item.revision);
  }
  const std::weak_ptr<int> session = m_session;
  m_on_snapshot(snapshot);
  if (session.expired()) {
    return;
  }
  m_confirmed_at = sent_at;
  Continue(has_changes, snapshot.received_in, sent_at);
}

void PrefixFollower::Watch() {
  m_store.Watch(m_prefix, m_as_of, kWatchWait, kWatchWait + kWatchGrace,
                [this, session = std::weak_ptr<int>(m_session),
                 sent_at = m_clock.Now()](const Result<StoreEvents>& events) {
                  if (session.expired()) {
                    return;
                  }
                  if (!events) {
                    return RetryLater(events.error());
                  }
                  OnWatched(*events, sent_at);
                });
}

void PrefixFollower::OnWatched(const StoreEvents& events, Instant sent_at) {
  ReportHealth(true);
  m_as_of = std::max(m_as_of, events.as_of);
  const std::weak_ptr<int> session = m_session;
  for (const StoreEvent& event : events.events) {
    m_newest = std::max(m_newest, event.item.revision);
    m_on_event(event);
    if (session.expired()) {
      return;
    }
  }
  m_confirmed_at = sent_at;
  Continue(!events.events.empty(), events.received_in, sent_at);
}

void PrefixFollower::Continue(bool has_changes,
                              Duration received_in,
                              Instant sent_at) {
  // Only a halted process or a late event loop makes a call take this long.
  const bool handled_late =
      m_clock.Now() - sent_at - received_in > kWatchWait + kWatchGrace;
  const bool may_be_outdated =
      handled_late || (has_changes && received_in > kSlowResponse);
  if (may_be_outdated && m_catch_up == CatchUp::kByListing) {
    return List();
  }
  Watch();
}

void PrefixFollower::RetryLater(const Error& error) {
  if (error.code == ErrorCode::kPreconditionFailed) {
    LogInfo("watch cannot continue; listing again",
            {{"prefix", m_prefix}, {"detail", error.detail}});
    m_synchronized = false;
  } else {
    // A watch would return all versions written while the store was away.
    m_synchronized = m_synchronized && m_catch_up == CatchUp::kByChanges;
    ReportHealth(false);
  }
  m_retry.After(kRetryDelay, [this] { m_synchronized ? Watch() : List(); });
}

void PrefixFollower::ReportHealth(bool answering) {
  if (answering != m_answering) {
    LogInfo(
        answering ? "store responds again" : "store does not respond; retrying",
        {{"prefix", m_prefix}});
  }
  m_answering = answering;
  if (m_on_health) {
    m_on_health(answering);
  }
}

}  // namespace zinniacart

#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/clock.h"

namespace zinniacart {

/// Bounds by which the store is judged.
struct StoreAvailabilitySettings {
  /// False: the store is always taken to answer, and nothing is probed.
  bool enabled = true;
  /// An unanswered call puts the store in doubt after this time. The store
  /// usually answers within 4 ms.
  Duration doubt_after{100};
  /// The store is away once no call has been answered for this long. Longer
  /// than the 900 ms that a repeated transaction waits for a queue at the
  /// store. Until then, transactions are held back (see `silent`), so that the
  /// length of the bound delays refusals and makes no outcome unknown.
  Duration away_after_silence{1000};
  /// The store is away once calls were turned away or lost their connections,
  /// the first and the last of them this long apart, and none was answered in
  /// between. One alone may be a rate limit or a connection that was closed.
  Duration away_after_refusals{300};
  Duration probe_interval{200};
};

/// Judges from the outcomes of this process's calls whether the store answers,
/// as a circuit breaker does. Does no I/O and is not thread-safe: the caller
/// tells of each call, calls `OnTick` about every 50 ms and sends a read
/// whenever `TakeProbe` asks for one.
///
/// What counts is how long no call has been answered while one was waiting, not
/// how long a single call takes. A store with a growing queue answers late but
/// keeps answering, and is not taken for away.
class StoreAvailability final {
 public:
  enum class Health {
    kAnswers,
    kInDoubt,  ///< A call is overdue or was turned away; the store is probed.
    kAway,     ///< No call was answered for longer than the bound.
  };

  enum class CallKind {
    kShort,    ///< Answered at once.
    kWatch,    ///< Answered at the latest after the wait that it asks for.
    kListing,  ///< Its answer may take long over a thin link: only the end of
               ///< the call says something about the store.
  };

  using CallId = std::uint64_t;

  StoreAvailability(StoreAvailabilitySettings settings, const Clock& clock);

  /// A call was sent.
  /// @param wait how long a watch waits for a change; 0 for other calls.
  /// @returns the id under which the end of the call must be reported.
  CallId OnSent(CallKind kind, Duration wait = Duration(0));
  /// The store has answered the call, whatever the answer says.
  void OnAnswered(CallId call);
  /// The call failed.
  enum class Failure {
    kRefused,  ///< It had no effect: it was turned away or could not be sent.
    kLost,     ///< The connection broke, or no answer came in time.
  };
  void OnFailed(CallId call, Failure failure);
  /// Judges the store by the time that has passed.
  void OnTick();

  /// @returns whether a read must be sent now. Each true asks for one read.
  bool TakeProbe();

  bool enabled() const { return m_settings.enabled; }
  Health health() const { return m_health; }
  bool away() const { return m_health == Health::kAway; }
  /// @returns whether a new transaction would probably get no answer: a call
  /// has lost its connection, or none has been answered for much longer than
  /// the store has lately taken. The store is then either found to be away or
  /// answers soon.
  bool silent() const { return m_silent; }
  /// @returns whether a call was answered within the last `period`.
  bool AnsweredWithin(Duration period) const;
  /// @returns for how long the store has not answered; 0 unless it is away.
  Duration AwayFor() const;

 private:
  struct Pending {
    CallKind kind;
    Duration due_since;  ///< When an answer could be expected first.
  };

  /// Advances `m_time`.
  void Advance();
  void Judge();
  /// @returns for how long no call was answered while one was overdue.
  Duration Silence() const;
  void NoteLatency(Duration latency);
  Duration SlowestAnswer() const;

  const StoreAvailabilitySettings m_settings;
  const Clock& m_clock;
  /// The time in which this process has run. A step of the clock counts as at
  /// most 100 ms: after a pause of the process, answers lie unread in its
  /// sockets, and the silence is its own.
  Duration m_time{0};
  Instant m_last_advance;
  std::map<CallId, Pending> m_pending;
  CallId m_last_call = 0;
  Health m_health = Health::kAnswers;
  bool m_silent = false;
  Duration m_answered_at{0};        ///< The newest answer, in `m_time`.
  std::optional<Instant> m_answer;  ///< The newest answer, on the clock.
  Instant m_trouble_began;          ///< On the clock; while not `kAnswers`.
  std::optional<Duration> m_unanswered_since;  ///< By calls that timed out.
  /// A call has lost its connection since the newest answer.
  bool m_connection_lost = false;
  std::optional<Duration> m_refused_since;  ///< By calls that ended at once.
  Duration m_refused_at{0};                 ///< The newest of these.
  std::optional<Duration> m_probed_at;
  /// The longest answers of this and of the previous period.
  Duration m_slowest{0};
  Duration m_slowest_before{0};
  Duration m_period_began{0};
};

/// @returns the name for logs.
const char* ToString(StoreAvailability::Health health);

}  // namespace zinniacart

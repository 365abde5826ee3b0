#pragma once

#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

namespace zinniacart {

/// A backend server's complete HTTP response.
struct Answer {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// The request is queued or at the backend server.
struct RequestRunning {};
/// The backend server's complete answer was received.
struct RequestAnswered {
  Answer answer;
};
/// No byte of the request was sent to the backend server, nor ever will be
/// under this id.
struct RequestNotRun {
  Error reason;
};
/// The request was sent, but no complete answer is available: it may have run.
struct RequestOutcomeUnknown {
  Error reason;
};

/// The outcome of one request.
using RequestOutcome = std::variant<RequestRunning,
                                    RequestAnswered,
                                    RequestNotRun,
                                    RequestOutcomeUnknown>;

/// Keeps the outcome of each request on the host of the backend servers. An
/// entry that lost its connection can query the outcome, and a request id runs
/// at most once however often it arrives. Not thread-safe.
class RequestLedger final {
 public:
  /// How long the outcome of an ended request is kept. It is safe to drop after
  /// that, because a request whose route stamp is older than `kStampValidity`
  /// is refused.
  static constexpr Duration kRetention{120'000};
  static constexpr Duration kStampValidity{60'000};
  /// Upper bound of all answer bodies that are kept, in bytes. Beyond it, the
  /// oldest answers are dropped and their outcome becomes unknown.
  static constexpr std::size_t kMaxAnswerBytes = 16 << 20;

  /// Registers an arriving request.
  /// @returns null where it is new and now counts as running, else the outcome
  /// of its first arrival.
  const RequestOutcome* Arrive(const RequestId& request);

  /// Records the outcome of a running request.
  void End(const RequestId& request, RequestOutcome outcome, Instant now);

  /// @returns whether `request` arrived or was queried before and is still
  /// kept.
  bool Knows(const RequestId& request) const {
    return m_outcomes.count(request) > 0;
  }

  /// Queries the outcome of `request`. One that never arrived is recorded as
  /// not run, so that it is refused if it still arrives.
  /// @returns the outcome.
  const RequestOutcome& Inquire(const RequestId& request, Instant now);

  /// Drops the outcomes of requests that ended more than `kRetention` ago.
  void Forget(Instant now);

  std::size_t size() const { return m_outcomes.size(); }

 private:
  struct Ended {
    RequestId request;
    Instant at;
    std::size_t bytes = 0;
  };
  void DropOldestAnswers();

  std::map<RequestId, RequestOutcome> m_outcomes;
  std::deque<Ended> m_ended;
  std::size_t m_first_with_body = 0;
  std::size_t m_answer_bytes = 0;
};

}  // namespace zinniacart

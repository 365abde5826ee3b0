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

/// A backend server's whole answer.
struct Answer {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// The request is queued or at the backend server.
struct RequestRunning {};
/// The backend server's whole answer came back.
struct RequestAnswered {
  Answer answer;
};
/// Not a byte went to the backend server, nor ever will for this id.
struct RequestNotRun {
  Error reason;
};
/// The request was sent and its answer did not come back whole.
struct RequestOutcomeUnknown {
  Error reason;
};

/// What became of one request.
using RequestOutcome = std::variant<RequestRunning,
                                    RequestAnswered,
                                    RequestNotRun,
                                    RequestOutcomeUnknown>;

/// Remembers, beside the backend servers, what became of each request, so
/// that an entry whose connection went silent can ask, and so that a request
/// id runs at most once however often it arrives.
class RequestLedger final {
 public:
  /// How long an ended request is remembered. A stamped request that is
  /// older than `kStampValidity` is refused, so forgetting is safe.
  static constexpr Duration kRetention{120'000};
  static constexpr Duration kStampValidity{60'000};
  /// Answers kept for asking, in bytes over all requests; the oldest bodies
  /// go first and turn into outcome-unknown.
  static constexpr std::size_t kMostAnswerBytes = 16 << 20;

  /// Takes in an arriving request.
  /// @returns null where it is new and now counts as running, else what
  /// became of its first arrival.
  const RequestOutcome* Arrive(const RequestId& request);

  /// Notes how a running request ended.
  void End(const RequestId& request, RequestOutcome outcome, Instant now);

  /// @returns whether `request` arrived or was asked for before.
  bool Knows(const RequestId& request) const {
    return m_outcomes.count(request) > 0;
  }

  /// @returns what became of `request`. One that never arrived is noted as
  /// not-run, and is refused should it still arrive.
  const RequestOutcome& Inquire(const RequestId& request, Instant now);

  /// Forgets what is older than the retention.
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

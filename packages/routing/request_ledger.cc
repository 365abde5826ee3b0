#include "routing/request_ledger.h"

#include "base/invariant.h"

namespace zinniacart {

const RequestOutcome* RequestLedger::Arrive(const RequestId& request) {
  const auto [row, is_new] = m_outcomes.try_emplace(request, RequestRunning{});
  return is_new ? nullptr : &row->second;
}

void RequestLedger::End(const RequestId& request,
                        RequestOutcome outcome,
                        Instant now) {
  const auto found = m_outcomes.find(request);
  CheckInvariant(found != m_outcomes.end() &&
                     std::holds_alternative<RequestRunning>(found->second),
                 "a request ends once");
  const auto* answered = std::get_if<RequestAnswered>(&outcome);
  const std::size_t bytes = answered ? answered->answer.body.size() : 0;
  found->second = std::move(outcome);
  m_ended.push_back(Ended{request, now, bytes});
  m_answer_bytes += bytes;
  DropOldestAnswers();
}

const RequestOutcome& RequestLedger::Inquire(const RequestId& request,
                                             Instant now) {
  if (Arrive(request) == nullptr) {
    const Error reason{
        ErrorCode::kUnreachable, "the request never arrived", {}};
    End(request, RequestNotRun{reason}, now);
  }
  return m_outcomes.at(request);
}

void RequestLedger::Forget(Instant now) {
  while (!m_ended.empty() && now - m_ended.front().at > kRetention) {
    const Ended& oldest = m_ended.front();
    m_answer_bytes -= oldest.bytes;
    m_outcomes.erase(oldest.request);
    m_ended.pop_front();
    if (m_first_with_body > 0) {
      --m_first_with_body;
    }
  }
}

void RequestLedger::DropOldestAnswers() {
  while (m_answer_bytes > kMaxAnswerBytes &&
         m_first_with_body < m_ended.size()) {
    Ended& oldest = m_ended[m_first_with_body++];
    m_answer_bytes -= oldest.bytes;
    if (oldest.bytes > 0) {
      const Error reason{
          ErrorCode::kOutcomeUnknown, "the answer is no longer kept", {}};
      m_outcomes[oldest.request] = RequestOutcomeUnknown{reason};
    }
    oldest.bytes = 0;
  }
}

}  // namespace zinniacart

#include "entry/request_dispatcher.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "placement/wire_conversion.h"
#include "zinniacart.grpc.pb.h"

namespace zinniacart {
namespace {

constexpr Duration kConnectTimeout{500};
/// The agent replies within the request's timeout; the RPC deadline is this
/// much later, so that the reply can still arrive.
constexpr Duration kRpcDeadlineMargin{250};
constexpr Duration kInquiryTimeout{500};
constexpr Duration kInquiryInterval{50};
/// An agent that has not replied to queries for this long is considered gone.
constexpr Duration kAgentUnreachableTimeout{3'000};

RequestOutcome MakeUnknown(const std::string& detail) {
  return RequestOutcomeUnknown{Error{ErrorCode::kOutcomeUnknown, detail, {}}};
}

std::chrono::system_clock::time_point WallDeadline(Duration timeout) {
  return std::chrono::system_clock::now() + timeout;
}

}  // namespace

RequestDispatcher::RequestDispatcher(EntryState& state,
                                     const Clock& clock,
                                     ChannelPool& agents,
                                     EntryId self,
                                     Incarnation incarnation)
    : m_state(state),
      m_clock(clock),
      m_agents(agents),
      m_self(std::move(self)),
      m_incarnation(incarnation) {}

RequestOutcome RequestDispatcher::Dispatch(const CallerRequest& request) {
  std::set<BackendId> excluded;
  std::optional<RequestOutcome> last;
  while (true) {
    auto attempt = Prepare(request, excluded);
    if (!attempt) {
      return last ? *last : RequestOutcome(RequestNotRun{attempt.error()});
    }
    RequestOutcome outcome = Send(request, *attempt);
    const bool not_run = std::holds_alternative<RequestNotRun>(outcome);
    const bool unknown = std::holds_alternative<RequestOutcomeUnknown>(outcome);
    const bool may_retry = not_run || (unknown && request.idempotent);
    if (!may_retry || m_clock.Now() >= request.deadline || !TakeRetry()) {
      return outcome;
    }
    excluded.insert(attempt->route.backend);
    last = std::move(outcome);
  }
}

Result<Attempt> RequestDispatcher::Prepare(
    const CallerRequest& request,
    const std::set<BackendId>& excluded) {
  if (m_clock.Now() >= request.deadline) {
    return Fail(ErrorCode::kDeadlineExceeded, "expired at the entry");
  }
  const std::lock_guard lock(m_state.mutex);
  if (excluded.empty()) {
    m_state.retries.Earn();
  }
  auto route = m_state.router.Choose(request.service, m_state.hosts,
                                     *m_state.configuration, excluded);
  if (!route) {
    return tl::unexpected(route.error());
  }
  const RequestId id(m_self.value() + "-" +
                     std::to_string(m_incarnation.value()) + "-" +
                     std::to_string(++m_request_count));
  return Attempt{id, std::move(*route)};
}

void RequestDispatcher::EndAttempt(const Attempt& attempt) {
  const std::lock_guard lock(m_state.mutex);
  m_state.router.Complete(attempt.route.backend);
}

RequestOutcome RequestDispatcher::Send(const CallerRequest& request,
                                       const Attempt& attempt) {
  const std::string& address = attempt.route.address;
  if (!m_agents.IsConnected(address, kConnectTimeout)) {
    EndAttempt(attempt);
    m_agents.Replace(address);
    return RequestNotRun{Error{ErrorCode::kUnreachable, address, {}}};
  }
  const Duration timeout = request.deadline - m_clock.Now();
  wire::ForwardRequest forward;
  forward.set_request_id(attempt.request.value());
  forward.set_service(request.service.value());
  forward.set_backend(attempt.route.backend.value());
  forward.set_method(request.method);
  forward.set_path(request.path);
  forward.set_body(request.body);
  forward.set_idempotent(request.idempotent);
  forward.set_timeout_ms(
      static_cast<std::uint32_t>(std::max<std::int64_t>(timeout.count(), 0)));
  *forward.mutable_route_stamp() = ToWire(attempt.route.stamp);
  for (const auto& [name, value] : request.headers) {
    auto& header = *forward.add_headers();
    header.set_name(name);
    header.set_value(value);
  }
  const auto stub = wire::Agent::NewStub(m_agents.Get(address));
  grpc::ClientContext context;
  context.set_deadline(WallDeadline(timeout + kRpcDeadlineMargin));
  wire::ForwardReply reply;
  const grpc::Status status = stub->Forward(&context, forward, &reply);
  EndAttempt(attempt);
  if (status.ok()) {
    return ToOutcome(attempt.request, reply);
  }
  // The connection failed or stopped responding with the request in flight:
  // query the outcome over a new connection.
  m_agents.Replace(address);
  const Instant resolve_until =
      std::max(request.deadline, m_clock.Now() + kInquiryTimeout);
  return Resolve(attempt.request, address, attempt.route.stamp.incarnation,
                 Duration(0), resolve_until);
}

RequestOutcome RequestDispatcher::Resolve(const RequestId& request,
                                          const std::string& address,
                                          Incarnation agent,
                                          Duration arrival_window,
                                          Instant deadline) {
  Instant last_reply_at = m_clock.Now();
  const Instant peek_until = last_reply_at + arrival_window;
  RequestOutcome outcome = MakeUnknown("the agent cannot be asked");
  while (m_clock.Now() < deadline) {
    wire::InquireRequest inquiry;
    inquiry.set_request_id(request.value());
    inquiry.set_incarnation(agent.value());
    inquiry.set_peek(m_clock.Now() < peek_until);
    const auto stub = wire::Agent::NewStub(m_agents.Get(address));
    grpc::ClientContext context;
    context.set_deadline(WallDeadline(kInquiryTimeout));
    wire::ForwardReply reply;
    const grpc::Status status = stub->Inquire(&context, inquiry, &reply);
    if (status.ok()) {
      last_reply_at = m_clock.Now();
      outcome = ToOutcome(request, reply);
      if (!std::holds_alternative<RequestRunning>(outcome)) {
        return outcome;
      }
    } else {
      m_agents.Replace(address);
      if (m_clock.Now() - last_reply_at > kAgentUnreachableTimeout) {
        break;
      }
    }
    std::this_thread::sleep_for(kInquiryInterval);
  }
  return std::holds_alternative<RequestRunning>(outcome)
             ? MakeUnknown("still running at the deadline")
             : outcome;
}

bool RequestDispatcher::TakeRetry() {
  const std::lock_guard lock(m_state.mutex);
  return m_state.retries.Spend();
}

RequestOutcome RequestDispatcher::ToOutcome(
    const RequestId& request,
    const wire::ForwardReply& reply) const {
  if (reply.request_id() != request.value()) {
    return MakeUnknown("the answer belongs to another request");
  }
  const Error failure{static_cast<ErrorCode>(reply.failure().code()),
                      reply.failure().detail(),
                      {}};
  switch (reply.outcome()) {
    case wire::OUTCOME_ANSWERED: {
      if (reply.body_length() != reply.body().size()) {
        return MakeUnknown("the answer came cut short");
      }
      Answer answer;
      answer.status = static_cast<int>(reply.status());
      answer.body = reply.body();
      for (const auto& header : reply.headers()) {
        answer.headers.emplace_back(header.name(), header.value());
      }
      return RequestAnswered{std::move(answer)};
    }
    case wire::OUTCOME_NOT_RUN:
      return RequestNotRun{failure};
    case wire::OUTCOME_STILL_RUNNING:
      return RequestRunning{};
    default:
      return RequestOutcomeUnknown{failure};
  }
}

}  // namespace zinniacart

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

constexpr Duration kConnectPatience{500};
/// The agent answers within its timeout; the transport gets this much more.
constexpr Duration kTransportSlack{250};
constexpr Duration kInquiryTimeout{500};
constexpr Duration kInquiryPause{50};
/// An agent that cannot be asked for this long is taken as gone.
constexpr Duration kInquiryPatience{3'000};

RequestOutcome Unknown(const std::string& detail) {
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
    const bool may_repeat = not_run || (unknown && request.idempotent);
    if (!may_repeat || m_clock.Now() >= request.deadline || !MayRetry()) {
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

void RequestDispatcher::Abandon(const Attempt& attempt) {
  const std::lock_guard lock(m_state.mutex);
  m_state.router.Complete(attempt.route.backend);
}

RequestOutcome RequestDispatcher::Send(const CallerRequest& request,
                                       const Attempt& attempt) {
  const std::string& address = attempt.route.address;
  if (!m_agents.IsConnected(address, kConnectPatience)) {
    Abandon(attempt);
    m_agents.Replace(address);
    return RequestNotRun{Error{ErrorCode::kUnreachable, address, {}}};
  }
  const Duration timeout = request.deadline - m_clock.Now();
  wire::ForwardRequest out;
  out.set_request_id(attempt.request.value());
  out.set_service(request.service.value());
  out.set_backend(attempt.route.backend.value());
  out.set_method(request.method);
  out.set_path(request.path);
  out.set_body(request.body);
  out.set_idempotent(request.idempotent);
  out.set_timeout_ms(
      static_cast<std::uint32_t>(std::max<std::int64_t>(timeout.count(), 0)));
  *out.mutable_route_stamp() = ToWire(attempt.route.stamp);
  for (const auto& [name, value] : request.headers) {
    auto& header = *out.add_headers();
    header.set_name(name);
    header.set_value(value);
  }
  const auto stub = wire::Agent::NewStub(m_agents.Get(address));
  grpc::ClientContext context;
  context.set_deadline(WallDeadline(timeout + kTransportSlack));
  wire::ForwardReply reply;
  const grpc::Status status = stub->Forward(&context, out, &reply);
  Abandon(attempt);
  if (status.ok()) {
    return ReadReply(attempt.request, reply);
  }
  // The connection failed or went silent with the request in flight: ask on
  // a new one what became of it.
  m_agents.Replace(address);
  const Instant give_up =
      std::max(request.deadline, m_clock.Now() + kInquiryTimeout);
  return Resolve(attempt.request, address, attempt.route.stamp.incarnation,
                 Duration(0), give_up);
}

RequestOutcome RequestDispatcher::Resolve(const RequestId& request,
                                          const std::string& address,
                                          Incarnation agent,
                                          Duration on_its_way,
                                          Instant deadline) {
  Instant last_heard = m_clock.Now();
  const Instant peek_until = last_heard + on_its_way;
  RequestOutcome outcome = Unknown("the agent cannot be asked");
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
      last_heard = m_clock.Now();
      outcome = ReadReply(request, reply);
      if (!std::holds_alternative<RequestRunning>(outcome)) {
        return outcome;
      }
    } else {
      m_agents.Replace(address);
      if (m_clock.Now() - last_heard > kInquiryPatience) {
        break;
      }
    }
    std::this_thread::sleep_for(kInquiryPause);
  }
  return std::holds_alternative<RequestRunning>(outcome)
             ? Unknown("still running at the deadline")
             : outcome;
}

bool RequestDispatcher::MayRetry() {
  const std::lock_guard lock(m_state.mutex);
  return m_state.retries.Spend();
}

RequestOutcome RequestDispatcher::ReadReply(
    const RequestId& request,
    const wire::ForwardReply& reply) const {
  if (reply.request_id() != request.value()) {
    return Unknown("the answer belongs to another request");
  }
  const Error failure{static_cast<ErrorCode>(reply.failure().code()),
                      reply.failure().detail(),
                      {}};
  switch (reply.outcome()) {
    case wire::OUTCOME_ANSWERED: {
      if (reply.body_length() != reply.body().size()) {
        return Unknown("the answer came cut short");
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

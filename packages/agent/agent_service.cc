#include "agent/agent_service.h"

#include <grpcpp/grpcpp.h>

#include <utility>

#include "agent/backend_pool.h"
#include "placement/messages.h"
#include "placement/wire_conversion.h"

namespace zinniacart {
namespace {

void WriteFailure(const Error& error, wire::ForwardReply& reply) {
  reply.mutable_failure()->set_code(static_cast<std::uint32_t>(error.code));
  reply.mutable_failure()->set_detail(error.detail);
}

void WriteOutcome(const RequestOutcome& outcome, wire::ForwardReply& reply) {
  std::visit(
      Visitor{[&](const RequestRunning&) {
                reply.set_outcome(wire::OUTCOME_STILL_RUNNING);
              },
              [&](const RequestAnswered& answered) {
                reply.set_outcome(wire::OUTCOME_ANSWERED);
                reply.set_status(answered.answer.status);
                reply.set_body(answered.answer.body);
                reply.set_body_length(answered.answer.body.size());
                for (const auto& [name, value] : answered.answer.headers) {
                  auto& header = *reply.add_headers();
                  header.set_name(name);
                  header.set_value(value);
                }
              },
              [&](const RequestNotRun& not_run) {
                reply.set_outcome(wire::OUTCOME_NOT_RUN);
                WriteFailure(not_run.reason, reply);
              },
              [&](const RequestOutcomeUnknown& unknown) {
                reply.set_outcome(wire::OUTCOME_UNKNOWN);
                WriteFailure(unknown.reason, reply);
              }},
      outcome);
}

ForwardedRequest ReadRequest(const wire::ForwardRequest& in) {
  ForwardedRequest forwarded;
  forwarded.request.request = RequestId(in.request_id());
  forwarded.request.method = in.method();
  forwarded.request.path = in.path();
  forwarded.request.body = in.body();
  forwarded.request.idempotent = in.idempotent();
  for (const auto& header : in.headers()) {
    forwarded.request.headers.emplace_back(header.name(), header.value());
  }
  forwarded.backend = BackendId(in.backend());
  forwarded.route_stamp = FromWire(in.route_stamp());
  forwarded.timeout = Duration(in.timeout_ms());
  return forwarded;
}

}  // namespace

AgentService::AgentService(BackendPool& pool, PlaceHandler place)
    : m_pool(pool), m_place(std::move(place)) {}

grpc::ServerUnaryReactor* AgentService::Forward(
    grpc::CallbackServerContext* context,
    const wire::ForwardRequest* request,
    wire::ForwardReply* reply) {
  grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
  reply->set_request_id(request->request_id());
  m_pool.Forward(ReadRequest(*request),
                 [reactor, reply](const RequestOutcome& outcome) {
                   WriteOutcome(outcome, *reply);
                   reactor->Finish(grpc::Status::OK);
                 });
  return reactor;
}

grpc::ServerUnaryReactor* AgentService::Inquire(
    grpc::CallbackServerContext* context,
    const wire::InquireRequest* request,
    wire::ForwardReply* reply) {
  grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
  reply->set_request_id(request->request_id());
  const RequestOutcome outcome =
      m_pool.Inquire(RequestId(request->request_id()),
                     Incarnation(request->incarnation()), request->peek());
  WriteOutcome(outcome, *reply);
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

grpc::ServerUnaryReactor* AgentService::Place(
    grpc::CallbackServerContext* context,
    const wire::OwnerBatch* request,
    wire::AgentBatch* reply) {
  grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
  *reply = m_place(*request);
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

}  // namespace zinniacart

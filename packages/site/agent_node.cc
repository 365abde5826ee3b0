#include "site/agent_node.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/logging.h"
#include "scheduling/host_messages_codec.h"
#include "site/peer_paths.h"
#include "site/store_keys.h"

namespace zinniacart {
namespace {

constexpr Duration kTickInterval{100};
/// An owner that asks to wait longer gets a report after this time, so that
/// requests do not occupy connections without end.
constexpr Duration kMaxWait{60000};
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

}  // namespace

AgentNode::AgentNode(boost::asio::io_context& loop,
                     StorePort& store,
                     WorkerPort& worker,
                     AgentSiteSettings settings,
                     const Clock& clock)
    : m_loop(loop),
      m_worker(worker),
      m_settings(std::move(settings)),
      m_clock(clock),
      m_supervisor(Incarnation(DrawRunNumber()), m_settings.supervisor, clock),
      m_tick_timer(loop),
      m_registration(
          loop,
          store,
          store_keys::Host(m_settings.host),
          m_settings.ip + ":" + std::to_string(m_settings.peer_port)) {}

Result<void> AgentNode::Start() {
  m_peer_server = std::make_unique<net::HttpServer>(
      m_loop, m_settings.peer_listener,
      [this](net::Request request, net::Responder respond) {
        HandlePeer(std::move(request), std::move(respond));
      });
  const auto listening =
      m_peer_server->Listen(m_settings.ip, m_settings.peer_port);
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  m_registration.Start();
  Tick();
  return {};
}

void AgentNode::OnAnnouncement(const WorkerFacts& facts,
                               std::uint64_t sequence) {
  m_supervisor.OnAnnouncement(facts, sequence);
  SendCallsAndReports();
}

void AgentNode::HandlePeer(net::Request request, net::Responder respond) {
  if (request.target != peer_paths::kHostSync) {
    return respond(net::Response{kNotFound, {}, {}});
  }
  const auto orders = DecodeHostOrders(request.body);
  if (!orders) {
    LogError("orders cannot be decoded, rejected",
             {{"detail", orders.error().detail}});
    return respond(net::Response{kBadRequest, {}, {}});
  }
  const Epoch previous_epoch = m_supervisor.epoch();
  const auto accepted = m_supervisor.OnOrders(*orders);
  if (!accepted) {
    LogInfo("orders of an older owner refused",
            {{"owner", orders->owner.value()},
             {"detail", accepted.error().detail}});
    return respond(net::Response{kConflict, {}, {}});
  }
  if (previous_epoch != m_supervisor.epoch()) {
    LogInfo("new owner accepted", {{"owner", orders->owner.value()},
                                   {"epoch", orders->epoch.value()}});
  }
  m_waiting_requests.push_back(WaitingRequest{
      std::move(respond), m_clock.Now() + std::min(orders->wait, kMaxWait)});
  SendCallsAndReports();
}

void AgentNode::SendCallsAndReports() {
  if (m_sending_calls) {
    return;
  }
  m_sending_calls = true;
  for (const WorkerCall& call : m_supervisor.TakeCalls()) {
    std::visit([this](const auto& worker_call) { Run(worker_call); }, call);
  }
  m_sending_calls = false;
  AnswerWaitingRequests();
}

void AgentNode::Run(const HoldCall& call) {
  m_worker.Hold(call, [this, call](Result<WorkerLists> lists) {
    if (lists.has_value() != m_holds_succeed) {
      m_holds_succeed = lists.has_value();
      LogInfo(m_holds_succeed ? "hold calls to the worker succeed again"
                              : "hold call to the worker failed",
              {{"detail", lists ? std::string() : lists.error().detail}});
    }
    if (lists && lists->unreadable != m_unreadable_row) {
      m_unreadable_row = lists->unreadable;
      LogWarning(
          m_unreadable_row.empty()
              ? "all rows of the worker's lists can be decoded again"
              : "row of the worker's lists ignored: it cannot be decoded",
          {{"detail", m_unreadable_row}});
    }
    m_supervisor.OnHoldAnswered(call, lists);
    SendCallsAndReports();
  });
}

void AgentNode::Run(const StartCall& call) {
  m_worker.Start(call, [this, call](StartAnswer answer,
                                    std::optional<WorkerInstant> clock) {
    LogInfo("start call to the worker completed",
            {{"task", call.order.id.task.ToString()},
             {"run", call.order.id.run.value()},
             {"answer", static_cast<int>(answer)}});
    m_supervisor.OnStartAnswered(call, answer, clock);
    SendCallsAndReports();
  });
}

void AgentNode::Run(const StopCall& call) {
  m_worker.Stop(call, [this, call](bool answered) {
    m_supervisor.OnStopAnswered(call, answered);
    SendCallsAndReports();
  });
}

void AgentNode::Run(const PaceCall& call) {
  m_worker.Pace(call, [this, call](bool answered) {
    m_supervisor.OnPaceAnswered(call, answered);
  });
}

void AgentNode::AnswerWaitingRequests() {
  if (m_waiting_requests.empty()) {
    return;
  }
  const Instant now = m_clock.Now();
  const bool changed = m_supervisor.change_count() != m_reported_changes;
  m_reported_changes = m_supervisor.change_count();
  for (auto waiting = m_waiting_requests.begin();
       waiting != m_waiting_requests.end();) {
    if (!changed && now < waiting->until) {
      ++waiting;
      continue;
    }
    auto respond = std::move(waiting->respond);
    waiting = m_waiting_requests.erase(waiting);
    respond(net::Response{kOk, Encode(m_supervisor.MakeReport()), {}});
  }
}

void AgentNode::Tick() {
  SendCallsAndReports();
  m_tick_timer.After(kTickInterval, [this] { Tick(); });
}

}  // namespace zinniacart

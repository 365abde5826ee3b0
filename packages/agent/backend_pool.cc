#include "agent/backend_pool.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"

namespace zinniacart {
namespace {

/// A backend server that does not announce itself for this long is gone.
constexpr Duration kAnnouncementExpiry{3'000};
constexpr Duration kTrafficWindow{2'000};

}  // namespace

BackendPool::BackendPool(const Clock& clock,
                         Incarnation incarnation,
                         RunBlocking run_blocking)
    : m_clock(clock),
      m_incarnation(incarnation),
      m_run_blocking(std::move(run_blocking)) {}

BackendPool::~BackendPool() = default;

Result<void> BackendPool::Announce(const BackendId& backend,
                                   const ServiceId& service,
                                   const std::string& address) {
  const auto endpoint = Endpoint::Parse(address, "address");
  if (!endpoint) {
    return tl::unexpected(endpoint.error());
  }
  const std::lock_guard lock(m_mutex);
  const Instant now = m_clock.Now();
  auto found = m_backends.find(backend);
  const bool moved = found != m_backends.end() &&
                     (found->second.server->endpoint().ToString() != address ||
                      found->second.service != service);
  if (moved) {
    const bool live = now - found->second.heard_at < kAnnouncementExpiry &&
                      !found->second.withdrawn;
    if (live || !found->second.queue.idle()) {
      return Fail(ErrorCode::kConflict,
                  backend.value() + " is announced from another address",
                  "backend");
    }
    m_backends.erase(found);
    found = m_backends.end();
  }
  if (found == m_backends.end()) {
    const ServiceResource* declared = m_configuration.FindService(service);
    const ServiceResource limits =
        declared == nullptr ? ServiceResource() : *declared;
    Backend fresh;
    fresh.service = service;
    fresh.server =
        std::make_shared<BackendServer>(*endpoint, limits.connections);
    fresh.queue.SetSlots(std::min(limits.slots, limits.connections));
    found = m_backends.emplace(backend, std::move(fresh)).first;
  }
  found->second.heard_at = now;
  if (found->second.withdrawn) {
    found->second.withdrawn = false;
    found->second.queue.Reopen();
  }
  return {};
}

void BackendPool::Withdraw(const BackendId& backend) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_backends.find(backend);
  if (found != m_backends.end()) {
    found->second.withdrawn = true;
    found->second.queue.Drain();
  }
}

void BackendPool::Forward(ForwardedRequest forwarded, Done done) {
  Calls calls;
  {
    const std::lock_guard lock(m_mutex);
    Admit(std::move(forwarded), std::move(done), calls);
  }
  for (const auto& call : calls) {
    call();
  }
}

void BackendPool::Admit(ForwardedRequest forwarded, Done done, Calls& calls) {
  if (const auto stale = CheckRoute(forwarded)) {
    calls.emplace_back([done, stale] { done(RequestNotRun{*stale}); });
    return;
  }
  const RequestId id = forwarded.request.request;
  if (const RequestOutcome* known = m_ledger.Arrive(id)) {
    if (std::holds_alternative<RequestRunning>(*known)) {
      m_requests.at(id).done.push_back(std::move(done));
    } else {
      calls.emplace_back([done, outcome = *known] { done(outcome); });
    }
    return;
  }
  const Instant now = m_clock.Now();
  const Instant deadline = now + forwarded.timeout;
  m_requests[id] =
      Waiting{std::move(forwarded.request), deadline, {std::move(done)}};
  const auto found = m_backends.find(forwarded.backend);
  if (found == m_backends.end() || m_draining) {
    const ErrorCode code =
        m_draining ? ErrorCode::kDraining : ErrorCode::kNoBackend;
    EndRequest(id, RequestNotRun{Error{code, "not served here", {}}}, calls);
    return;
  }
  const auto verdict = found->second.queue.Arrive(id, now, deadline);
  if (!verdict) {
    EndRequest(id, RequestNotRun{verdict.error()}, calls);
  } else if (*verdict == AdmissionQueue::Verdict::kRun) {
    Start(found->first, found->second, id);
  }
}

std::optional<Error> BackendPool::CheckRoute(
    const ForwardedRequest& forwarded) const {
  const Stamp& stamp = forwarded.route_stamp;
  if (stamp.incarnation != m_incarnation) {
    return Error{ErrorCode::kStaleStamp, "meant for an earlier run", {}};
  }
  if (m_clock.Now() - stamp.agent_time > RequestLedger::kStampValidity) {
    return Error{ErrorCode::kStaleStamp, "the route is too old", {}};
  }
  return std::nullopt;
}

RequestOutcome BackendPool::Inquire(const RequestId& request,
                                    Incarnation incarnation,
                                    bool peek) {
  if (incarnation != m_incarnation) {
    return RequestOutcomeUnknown{
        Error{ErrorCode::kOutcomeUnknown, "the agent was restarted", {}}};
  }
  const std::lock_guard lock(m_mutex);
  if (peek && !m_ledger.Knows(request)) {
    return RequestRunning{};
  }
  return m_ledger.Inquire(request, m_clock.Now());
}

void BackendPool::Start(const BackendId& id,
                        Backend& backend,
                        const RequestId& request) {
  const Waiting& waiting = m_requests.at(request);
  const Instant started = m_clock.Now();
  const Duration timeout = waiting.deadline - started;
  m_run_blocking([this, id, server = backend.server, started, timeout,
                  work = waiting.request] {
    RequestOutcome outcome = server->Call(work, timeout);
    Finish(id, work.request, std::move(outcome), m_clock.Now() - started);
  });
}

void BackendPool::Finish(const BackendId& id,
                         const RequestId& request,
                         RequestOutcome outcome,
                         Duration service_time) {
  Calls calls;
  {
    const std::lock_guard lock(m_mutex);
    const Instant now = m_clock.Now();
    Backend& backend = m_backends.at(id);
    backend.last_answer = now;
    backend.tail.Add(service_time);
    EndRequest(request, std::move(outcome), calls);
    const auto departures = backend.queue.Complete(now, service_time);
    for (const RequestId& expired : departures.expired) {
      EndRequest(expired,
                 RequestNotRun{Error{
                     ErrorCode::kDeadlineExceeded, "expired in the queue", {}}},
                 calls);
    }
    if (departures.run) {
      Start(id, backend, *departures.run);
    }
  }
  for (const auto& call : calls) {
    call();
  }
}

void BackendPool::EndRequest(const RequestId& request,
                             RequestOutcome outcome,
                             Calls& calls) {
  const auto found = m_requests.find(request);
  CheckInvariant(found != m_requests.end(), "an ended request was in flight");
  for (Done& done : found->second.done) {
    calls.push_back([done = std::move(done), outcome] { done(outcome); });
  }
  m_requests.erase(found);
  if (m_requests.empty()) {
    m_became_idle.notify_all();
  }
  if (std::holds_alternative<RequestAnswered>(outcome)) {
    ++m_counts.answered;
  } else if (std::holds_alternative<RequestNotRun>(outcome)) {
    ++m_counts.not_run;
  } else {
    ++m_counts.unknown;
  }
  m_ledger.End(request, std::move(outcome), m_clock.Now());
}

void BackendPool::SetConfiguration(const Configuration& configuration) {
  const std::lock_guard lock(m_mutex);
  m_configuration = configuration;
  for (auto& [id, backend] : m_backends) {
    const ServiceResource* declared =
        m_configuration.FindService(backend.service);
    if (declared != nullptr) {
      backend.queue.SetSlots(std::min(declared->slots, declared->connections));
    }
    const bool drained =
        backend.withdrawn || !m_configuration.AllowsRequests(id);
    if (drained) {
      backend.queue.Drain();
    } else {
      backend.queue.Reopen();
    }
  }
}

void BackendPool::Tick() {
  Calls calls;
  {
    const std::lock_guard lock(m_mutex);
    const Instant now = m_clock.Now();
    for (auto& [id, backend] : m_backends) {
      for (const RequestId& expired : backend.queue.Expire(now)) {
        EndRequest(
            expired,
            RequestNotRun{Error{
                ErrorCode::kDeadlineExceeded, "expired in the queue", {}}},
            calls);
      }
    }
    std::erase_if(m_backends, [&](const auto& row) {
      const bool silent = now - row.second.heard_at > kAnnouncementExpiry;
      return silent && row.second.queue.idle();
    });
    m_ledger.Forget(now);
  }
  for (const auto& call : calls) {
    call();
  }
}

void BackendPool::DrainAll() {
  const std::lock_guard lock(m_mutex);
  m_draining = true;
}

void BackendPool::WaitUntilIdle() {
  std::unique_lock lock(m_mutex);
  m_became_idle.wait(lock, [this] { return m_requests.empty(); });
}

std::vector<BackendAnnouncement> BackendPool::Announcements() const {
  const std::lock_guard lock(m_mutex);
  const Instant now = m_clock.Now();
  std::vector<BackendAnnouncement> announcements;
  for (const auto& [id, backend] : m_backends) {
    const bool silent = now - backend.heard_at > kAnnouncementExpiry;
    announcements.push_back(BackendAnnouncement{
        id, backend.service, backend.queue.running(), backend.queue.queued(),
        backend.withdrawn || silent || m_draining || backend.queue.draining(),
        backend.tail.tail()});
  }
  return announcements;
}

BackendPool::Counts BackendPool::counts() const {
  const std::lock_guard lock(m_mutex);
  return m_counts;
}

std::vector<BackendPool::ServiceLatency> BackendPool::Latencies() const {
  const std::lock_guard lock(m_mutex);
  const Instant now = m_clock.Now();
  std::vector<ServiceLatency> latencies;
  for (const auto& [id, backend] : m_backends) {
    const ServiceResource* declared =
        m_configuration.FindService(backend.service);
    const Duration target = declared == nullptr
                                ? ServiceResource().latency_target
                                : declared->latency_target;
    latencies.push_back(
        ServiceLatency{backend.service, backend.tail.tail(), target,
                       now - backend.last_answer < kTrafficWindow});
  }
  return latencies;
}

}  // namespace zinniacart

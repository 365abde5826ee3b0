#include "agent/backend_pool.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"

namespace zinniacart {
namespace {

/// The registration of a backend server expires this long after its last
/// announcement.
constexpr Duration kAnnouncementExpiry{3'000};
/// A backend server has traffic if a request ended at most this long ago.
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
  const bool changed =
      found != m_backends.end() &&
      (found->second.server->endpoint().ToString() != address ||
       found->second.service != service);
  if (changed) {
    const bool live = now - found->second.announced_at < kAnnouncementExpiry &&
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
    Backend added;
    added.service = service;
    added.server =
        std::make_shared<BackendServer>(*endpoint, limits.connections);
    added.queue.SetSlots(std::min(limits.slots, limits.connections));
    found = m_backends.emplace(backend, std::move(added)).first;
  }
  found->second.announced_at = now;
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

void BackendPool::Forward(ForwardedRequest forwarded,
                          OutcomeCallback callback) {
  DeferredCalls deferred_calls;
  {
    const std::lock_guard lock(m_mutex);
    Admit(std::move(forwarded), std::move(callback), deferred_calls);
  }
  for (const auto& call : deferred_calls) {
    call();
  }
}

void BackendPool::Admit(ForwardedRequest forwarded,
                        OutcomeCallback callback,
                        DeferredCalls& deferred_calls) {
  if (const auto stale = CheckRoute(forwarded)) {
    deferred_calls.emplace_back(
        [callback, stale] { callback(RequestNotRun{*stale}); });
    return;
  }
  const RequestId id = forwarded.request.request;
  if (const RequestOutcome* earlier_outcome = m_ledger.Arrive(id)) {
    if (std::holds_alternative<RequestRunning>(*earlier_outcome)) {
      m_requests.at(id).callbacks.push_back(std::move(callback));
    } else {
      deferred_calls.emplace_back(
          [callback, outcome = *earlier_outcome] { callback(outcome); });
    }
    return;
  }
  const Instant now = m_clock.Now();
  const Instant deadline = now + forwarded.timeout;
  m_requests[id] = PendingRequest{
      std::move(forwarded.request), deadline, {std::move(callback)}};
  const auto found = m_backends.find(forwarded.backend);
  if (found == m_backends.end() || m_draining) {
    const ErrorCode code =
        m_draining ? ErrorCode::kDraining : ErrorCode::kNoBackend;
    EndRequest(id, RequestNotRun{Error{code, "not served here", {}}},
               deferred_calls);
    return;
  }
  const auto admission = found->second.queue.Arrive(id, now, deadline);
  if (!admission) {
    EndRequest(id, RequestNotRun{admission.error()}, deferred_calls);
  } else if (*admission == AdmissionQueue::Verdict::kRun) {
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
  const PendingRequest& pending = m_requests.at(request);
  const Instant started = m_clock.Now();
  const Duration timeout = pending.deadline - started;
  m_run_blocking([this, id, server = backend.server, started, timeout,
                  backend_request = pending.request] {
    RequestOutcome outcome = server->Call(backend_request, timeout);
    Finish(id, backend_request.request, std::move(outcome),
           m_clock.Now() - started);
  });
}

void BackendPool::Finish(const BackendId& id,
                         const RequestId& request,
                         RequestOutcome outcome,
                         Duration service_time) {
  DeferredCalls deferred_calls;
  {
    const std::lock_guard lock(m_mutex);
    const Instant now = m_clock.Now();
    Backend& backend = m_backends.at(id);
    backend.last_answer_at = now;
    backend.tail.Add(service_time);
    EndRequest(request, std::move(outcome), deferred_calls);
    const auto departures = backend.queue.Complete(now, service_time);
    for (const RequestId& expired : departures.expired) {
      EndRequest(expired,
                 RequestNotRun{Error{
                     ErrorCode::kDeadlineExceeded, "expired in the queue", {}}},
                 deferred_calls);
    }
    if (departures.run) {
      Start(id, backend, *departures.run);
    }
  }
  for (const auto& call : deferred_calls) {
    call();
  }
}

void BackendPool::EndRequest(const RequestId& request,
                             RequestOutcome outcome,
                             DeferredCalls& deferred_calls) {
  const auto found = m_requests.find(request);
  CheckInvariant(found != m_requests.end(), "an ended request was in flight");
  for (OutcomeCallback& callback : found->second.callbacks) {
    deferred_calls.push_back(
        [callback = std::move(callback), outcome] { callback(outcome); });
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
  DeferredCalls deferred_calls;
  {
    const std::lock_guard lock(m_mutex);
    const Instant now = m_clock.Now();
    for (auto& [id, backend] : m_backends) {
      for (const RequestId& expired : backend.queue.Expire(now)) {
        EndRequest(
            expired,
            RequestNotRun{Error{
                ErrorCode::kDeadlineExceeded, "expired in the queue", {}}},
            deferred_calls);
      }
    }
    std::erase_if(m_backends, [&](const auto& row) {
      const bool announcement_expired =
          now - row.second.announced_at > kAnnouncementExpiry;
      return announcement_expired && row.second.queue.idle();
    });
    m_ledger.Forget(now);
  }
  for (const auto& call : deferred_calls) {
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
    const bool announcement_expired =
        now - backend.announced_at > kAnnouncementExpiry;
    announcements.push_back(BackendAnnouncement{
        id, backend.service, backend.queue.running(), backend.queue.queued(),
        backend.withdrawn || announcement_expired || m_draining ||
            backend.queue.draining(),
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
                       now - backend.last_answer_at < kTrafficWindow});
  }
  return latencies;
}

}  // namespace zinniacart

#include "routing/router.h"

#include <algorithm>

#include "base/invariant.h"

namespace zinniacart {

Router::Router(DomainId own_domain, std::uint64_t seed)
    : m_own_domain(std::move(own_domain)), m_random(seed) {}

Result<Route> Router::Choose(const ServiceId& service,
                             const HostTable& hosts,
                             const Configuration& configuration,
                             const std::set<BackendId>& excluded) {
  const auto rows = hosts.BackendsOf(service);
  if (rows.empty()) {
    return Fail(ErrorCode::kNoBackend, service.value());
  }
  const ServiceResource* declared = configuration.FindService(service);
  const int slots =
      declared == nullptr ? ServiceResource().slots : declared->slots;
  std::vector<Candidate> local;
  std::vector<Candidate> remote;
  bool any_excluded = false;
  for (const auto& row : rows) {
    const bool unavailable =
        row.host->draining || row.backend->draining ||
        !configuration.AllowsRequests(row.backend->backend) ||
        !configuration.AllowsWork(row.host->domain, row.host->host);
    if (unavailable) {
      continue;
    }
    if (excluded.count(row.backend->backend) > 0) {
      any_excluded = true;
      continue;
    }
    const auto in_flight = m_in_flight.find(row.backend->backend);
    const int in_flight_here =
        in_flight == m_in_flight.end() ? 0 : in_flight->second;
    const int announced = row.backend->running + row.backend->queued;
    const Candidate candidate{row, std::max(in_flight_here, announced), slots};
    (row.host->domain == m_own_domain ? local : remote).push_back(candidate);
  }
  if (local.empty() && remote.empty()) {
    return any_excluded ? Fail(ErrorCode::kOverloaded, service.value())
                        : Fail(ErrorCode::kDraining, service.value());
  }
  const bool local_is_saturated =
      std::all_of(local.begin(), local.end(),
                  [](const Candidate& row) { return row.Saturated(); });
  const bool spill = local_is_saturated && !remote.empty();
  const Candidate& chosen = BetterOfTwo(spill ? remote : local);
  ++m_in_flight[chosen.row.backend->backend];
  return Route{chosen.row.host->host, chosen.row.host->address,
               chosen.row.backend->backend, chosen.row.host->stamp};
}

void Router::Complete(const BackendId& backend) {
  const auto found = m_in_flight.find(backend);
  CheckInvariant(found != m_in_flight.end() && found->second > 0,
                 "a completed route was chosen before");
  if (--found->second == 0) {
    m_in_flight.erase(found);
  }
}

const Router::Candidate& Router::BetterOfTwo(
    const std::vector<Candidate>& candidates) {
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  const Candidate& first = candidates[pick(m_random)];
  const Candidate& second = candidates[pick(m_random)];
  return second.work < first.work ? second : first;
}

}  // namespace zinniacart

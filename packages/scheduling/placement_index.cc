#include "scheduling/placement_index.h"

#include <algorithm>

namespace zinniacart {

PlacementIndex::PlacementIndex(const std::map<HostId, Host>& hosts,
                               const std::set<DomainId>& evacuated,
                               const InterferenceModel& interference,
                               Instant now)
    : m_interference(interference), m_now(now) {
  for (const auto& [id, host] : hosts) {
    if (host.IsSchedulable(now) && !evacuated.contains(host.facts->domain)) {
      m_usable_hosts.push_back(HostCapacity{&host, {}, 0, {}});
      Summarize(m_usable_hosts.back());
    }
  }
}

void PlacementIndex::Refresh(const Host& host) {
  const auto capacity =
      std::lower_bound(m_usable_hosts.begin(), m_usable_hosts.end(), host.id(),
                       [](const HostCapacity& left, const HostId& id) {
                         return left.host->id() < id;
                       });
  if (capacity != m_usable_hosts.end() && capacity->host == &host) {
    Summarize(*capacity);
  }
}

std::vector<InterferenceEstimate> PlacementIndex::InterferenceOf(
    const std::string& image) const {
  std::vector<InterferenceEstimate> estimates;
  for (std::size_t index = 0; index < m_serving_images.size(); ++index) {
    estimates.push_back(InterferenceBetween(index, image));
  }
  return estimates;
}

void PlacementIndex::Summarize(HostCapacity& capacity) {
  const Host& host = *capacity.host;
  capacity.free = host.Free();
  capacity.idle_millicores = host.IdleMillicores();
  capacity.serving.clear();
  capacity.trial_job.reset();
  capacity.unproven_runs = 0;
  capacity.at_stake_millicores = 0;
  for (const auto& [id, run] : host.runs) {
    capacity.at_stake_millicores += run.demand.millicores;
    capacity.unproven_runs += run.proven ? 0U : 1U;
    if (run.IsOnTrial(m_now)) {
      capacity.trial_job = id.task.job;
    }
    if (!run.serves) {
      continue;
    }
    const std::size_t image = ServingImageIndex(run.image);
    const double spare_margin = host.SpareMargin(run);
    const auto known = std::find_if(
        capacity.serving.begin(), capacity.serving.end(),
        [image](const ServingMargin& other) { return other.image == image; });
    if (known != capacity.serving.end()) {
      known->spare_margin = std::min(known->spare_margin, spare_margin);
    } else {
      capacity.serving.push_back(ServingMargin{image, spare_margin, 0});
    }
  }
  for (const auto& [id, run] : host.runs) {
    // Full demand, even of throttled runs: they regain full speed before new
    // work is added.
    if (!run.best_effort || run.stopping) {
      continue;
    }
    for (ServingMargin& serving : capacity.serving) {
      serving.lost_margin +=
          run.demand.cores() *
          InterferenceBetween(serving.image, run.image).loss_per_core;
    }
  }
}

std::size_t PlacementIndex::ServingImageIndex(
    const std::string& serving_image) {
  const auto known = std::find(m_serving_images.begin(), m_serving_images.end(),
                               serving_image);
  if (known != m_serving_images.end()) {
    return static_cast<std::size_t>(known - m_serving_images.begin());
  }
  m_serving_images.push_back(serving_image);
  return m_serving_images.size() - 1;
}

const InterferenceEstimate& PlacementIndex::InterferenceBetween(
    std::size_t serving_image,
    const std::string& image) const {
  auto& cached = m_estimates[image];
  if (cached.size() <= serving_image) {
    cached.resize(serving_image + 1);
  }
  auto& estimate = cached[serving_image];
  if (!estimate) {
    estimate =
        m_interference.Estimate(m_serving_images[serving_image], image, m_now);
  }
  return *estimate;
}

}  // namespace zinniacart

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
      m_rooms.push_back(HostRoom{&host, {}, 0, {}});
      SumUp(m_rooms.back());
    }
  }
}

void PlacementIndex::Refresh(const Host& host) {
  const auto room =
      std::lower_bound(m_rooms.begin(), m_rooms.end(), host.id(),
                       [](const HostRoom& left, const HostId& id) {
                         return left.host->id() < id;
                       });
  if (room != m_rooms.end() && room->host == &host) {
    SumUp(*room);
  }
}

std::vector<InterferenceEstimate> PlacementIndex::HarmOf(
    const std::string& image) const {
  std::vector<InterferenceEstimate> harm;
  for (std::size_t index = 0; index < m_serving_images.size(); ++index) {
    harm.push_back(Harm(index, image));
  }
  return harm;
}

void PlacementIndex::SumUp(HostRoom& room) {
  const Host& host = *room.host;
  room.free = host.Free();
  room.idle_millicores = host.IdleMillicores();
  room.serving.clear();
  for (const auto& [id, run] : host.runs) {
    if (!run.serves) {
      continue;
    }
    const std::size_t image = IndexOf(run.image);
    const double spare = host.SpareMargin(run);
    const auto known = std::find_if(
        room.serving.begin(), room.serving.end(),
        [image](const ServingRoom& other) { return other.image == image; });
    if (known != room.serving.end()) {
      known->spare = std::min(known->spare, spare);
    } else {
      room.serving.push_back(ServingRoom{image, spare, 0});
    }
  }
  for (const auto& [id, run] : host.runs) {
    // What is slowed now wants its full speed back before more work comes.
    if (!run.best_effort || run.stopping) {
      continue;
    }
    for (ServingRoom& serving : room.serving) {
      serving.taken +=
          run.demand.cores() * Harm(serving.image, run.image).loss_per_core;
    }
  }
}

std::size_t PlacementIndex::IndexOf(const std::string& serving_image) {
  const auto known = std::find(m_serving_images.begin(), m_serving_images.end(),
                               serving_image);
  if (known != m_serving_images.end()) {
    return static_cast<std::size_t>(known - m_serving_images.begin());
  }
  m_serving_images.push_back(serving_image);
  return m_serving_images.size() - 1;
}

const InterferenceEstimate& PlacementIndex::Harm(
    std::size_t serving_image,
    const std::string& image) const {
  auto& looked_up = m_harm[image];
  if (looked_up.size() <= serving_image) {
    looked_up.resize(serving_image + 1);
  }
  auto& harm = looked_up[serving_image];
  if (!harm) {
    harm =
        m_interference.Estimate(m_serving_images[serving_image], image, m_now);
  }
  return *harm;
}

}  // namespace zinniacart

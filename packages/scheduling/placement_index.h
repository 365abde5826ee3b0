#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "scheduling/host.h"

namespace zinniacart {

/// How one image's serving tasks on a host stand.
struct ServingRoom {
  std::size_t image = 0;  ///< Index into the serving images.
  double spare = 0;       ///< The least margin above the planned one.
  /// The margin that best-effort work on the host takes at full speed.
  double taken = 0;
};

/// What a placement looks at in one usable host, summed up.
struct HostRoom {
  const Host* host = nullptr;
  Resources free;
  std::int64_t idle_millicores = 0;
  std::vector<ServingRoom> serving;  ///< One entry an image.
};

/// The usable hosts as one round of decisions sees them. Load it answers: a
/// thousand waiting tasks before hundreds of hosts, where summing up every
/// host's runs for every task would take longer than the tasks do.
class PlacementIndex final {
 public:
  PlacementIndex(const std::map<HostId, Host>& hosts,
                 const std::set<DomainId>& evacuated,
                 const InterferenceModel& interference,
                 Instant now);

  /// Takes in that runs of `host` have changed.
  void Refresh(const Host& host);

  /// @returns the hosts that may get work, in order of their ids.
  const std::vector<HostRoom>& rooms() const { return m_rooms; }
  /// @returns what a core of best-effort `image` takes from each serving image,
  /// in the order of the indices in `ServingRoom`.
  std::vector<InterferenceEstimate> HarmOf(const std::string& image) const;
  Instant now() const { return m_now; }

 private:
  void SumUp(HostRoom& room);
  std::size_t IndexOf(const std::string& serving_image);
  const InterferenceEstimate& Harm(std::size_t serving_image,
                                   const std::string& image) const;

  const InterferenceModel& m_interference;
  const Instant m_now;
  std::vector<HostRoom> m_rooms;
  std::vector<std::string> m_serving_images;
  /// Beliefs that were looked up, by best-effort and by serving image.
  mutable std::map<std::string,
                   std::vector<std::optional<InterferenceEstimate>>>
      m_harm;
};

}  // namespace zinniacart

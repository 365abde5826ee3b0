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

/// Latency margin of the serving tasks of one image on one host. The margin of
/// a task is its latency target divided by its tail latency.
struct ServingMargin {
  std::size_t image = 0;    ///< Index into the serving images.
  double spare_margin = 0;  ///< Smallest margin above the planned one.
  /// Margin that the best-effort work on the host takes at full speed.
  double lost_margin = 0;
};

/// Capacity and latency margins of one usable host, summed over its runs.
struct HostCapacity {
  const Host* host = nullptr;
  Resources free;                      ///< Capacity not assigned to any run.
  std::int64_t idle_millicores = 0;    ///< Available to more best-effort work.
  std::vector<ServingMargin> serving;  ///< One element per image.
  /// The job whose suspected task is on trial here; only its tasks may start.
  std::optional<JobId> trial_job{};
  std::size_t unproven_runs = 0;  ///< Runs that may yet crash the worker.
  std::int64_t at_stake_millicores = 0;  ///< What a crash would interrupt.
};

/// Summaries of the usable hosts for one round of placement decisions. With a
/// thousand waiting tasks and hundreds of hosts, summing the runs of every host
/// for every task would take longer than the tasks themselves.
class PlacementIndex final {
 public:
  /// Keeps pointers to `hosts` and a reference to `interference`, which must
  /// outlive the index.
  /// @param evacuated domains whose hosts get no new work.
  PlacementIndex(const std::map<HostId, Host>& hosts,
                 const std::set<DomainId>& evacuated,
                 const InterferenceModel& interference,
                 Instant now);

  /// Updates the summary of `host` after its runs have changed.
  void Refresh(const Host& host);

  /// @returns the hosts that may get new work, ordered by id.
  const std::vector<HostCapacity>& usable_hosts() const {
    return m_usable_hosts;
  }
  /// @returns the estimated margin that each core of best-effort `image` takes
  /// from each serving image, indexed like `ServingMargin::image`.
  std::vector<InterferenceEstimate> InterferenceOf(
      const std::string& image) const;
  Instant now() const { return m_now; }

 private:
  void Summarize(HostCapacity& capacity);
  std::size_t ServingImageIndex(const std::string& serving_image);
  const InterferenceEstimate& InterferenceBetween(
      std::size_t serving_image,
      const std::string& image) const;

  const InterferenceModel& m_interference;
  const Instant m_now;
  std::vector<HostCapacity> m_usable_hosts;
  std::vector<std::string> m_serving_images;
  /// Cached estimates, by best-effort image and by index of the serving image.
  mutable std::map<std::string,
                   std::vector<std::optional<InterferenceEstimate>>>
      m_estimates;
};

}  // namespace zinniacart

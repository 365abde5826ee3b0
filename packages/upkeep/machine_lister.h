#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "upkeep/call_pacer.h"
#include "upkeep/machine_port.h"
#include "upkeep/wave_planner.h"

namespace zinniacart {

/// Reads the list of machines page by page, within the service's rate limit.
class MachineLister final {
 public:
  /// @param pages_per_second limit over all callers.
  MachineLister(MachinePort& machines,
                double pages_per_second,
                const Clock& clock);

  /// Reads the next page if one is due. Call it regularly.
  /// @param interval from the beginning of one listing to that of the next.
  /// @param on_listing receives each complete listing.
  void Tick(Duration interval,
            std::function<void(const MachineListing&)> on_listing);
  /// Discards a listing that is in progress. Answers to it are ignored. Another
  /// caller may just have used up the rate limit.
  void Reset();

 private:
  void OnPage(const Result<MachinePage>& page,
              const std::function<void(const MachineListing&)>& on_listing);

  MachinePort& m_machines;
  const Clock& m_clock;
  CallPacer m_pacer;
  std::optional<MachineListing> m_listing;  ///< In progress.
  std::string m_next_page;
  Instant m_next_at;
  Instant m_pause_until;
  bool m_away = false;  ///< The last call failed.
  /// Exists while a call is in flight; callbacks hold weak pointers to it.
  std::shared_ptr<int> m_call;
};

}  // namespace zinniacart

#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "upkeep/machine_port.h"
#include "upkeep/wave.h"

namespace zinniacart::simulation {

/// The machine service: one machine for each host. It throws `Violation` if an
/// upkeep begins beyond its wave's limit, if two entries call with one fencing
/// token, or if a wave is reported as completed too early.
class SimulatedMachines final {
 public:
  /// @param begin_upkeep called with the machine when its upkeep begins; ends
  ///                     what runs there.
  SimulatedMachines(const Clock& clock,
                    std::function<void(const MachineId&)> begin_upkeep)
      : m_clock(clock), m_begin_upkeep(std::move(begin_upkeep)) {}

  void Add(const MachineId& machine) { m_machines[machine]; }
  void Declare(const WaveSpec& wave) { m_waves[wave.id] = wave; }
  const std::map<WaveId, WaveSpec>& waves() const { return m_waves; }

  MachinePage List();
  UpkeepAnswer BeginUpkeep(const UpkeepCall& call);

  /// The wave is reported as completed.
  void OnCompleted(const WaveId& wave);
  bool AllCompleted() const { return m_completed.size() == m_waves.size(); }
  /// @returns how many upkeeps have begun.
  int upkeeps() const { return m_upkeeps; }

  static constexpr Duration kMaintenance{2000};

 private:
  struct Machine {
    std::set<WaveId> waves_begun;
    WaveId down_for;
    Instant up_at;
    Epoch token;
    std::map<Epoch, EntryId> holders;
  };

  const Clock& m_clock;
  const std::function<void(const MachineId&)> m_begin_upkeep;
  std::map<MachineId, Machine> m_machines;
  std::map<WaveId, WaveSpec> m_waves;
  std::set<WaveId> m_completed;
  int m_upkeeps = 0;
};

}  // namespace zinniacart::simulation

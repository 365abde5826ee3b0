#include "hosting/simulation/simulated_machines.h"

#include <algorithm>

#include "hosting/simulation/task_oracle.h"

namespace zinniacart::simulation {

MachinePage SimulatedMachines::List() {
  MachinePage page;
  for (const auto& [id, machine] : m_machines) {
    const bool down = m_clock.Now() < machine.up_at;
    page.machines.push_back(ListedMachine{
        id, {}, down ? MachineState::kUpkeep : MachineState::kUp, {}, "w"});
  }
  return page;
}

UpkeepAnswer SimulatedMachines::BeginUpkeep(const UpkeepCall& call) {
  const auto found = m_machines.find(call.machine);
  if (found == m_machines.end()) {
    return UpkeepAnswer::kUnknownMachine;
  }
  Machine& machine = found->second;
  if (call.token < machine.token) {
    return UpkeepAnswer::kFenced;
  }
  machine.token = call.token;
  const auto holder = machine.holders.emplace(call.token, call.holder).first;
  if (holder->second != call.holder) {
    throw Violation(call.holder.value() + " and " + holder->second.value() +
                    " hold token " + std::to_string(call.token.value()));
  }
  if (machine.waves_begun.contains(call.wave)) {
    return UpkeepAnswer::kAccepted;
  }
  const Instant now = m_clock.Now();
  if (now < machine.up_at) {
    return UpkeepAnswer::kBusy;
  }
  const auto down = std::count_if(
      m_machines.begin(), m_machines.end(), [&](const auto& entry) {
        return now < entry.second.up_at && entry.second.down_for == call.wave;
      });
  if (down >= static_cast<std::ptrdiff_t>(m_waves.at(call.wave).max_down)) {
    throw Violation("the upkeep of " + call.machine.value() + " begins while " +
                    std::to_string(down) + " machines are down");
  }
  m_begin_upkeep(call.machine);
  machine.waves_begun.insert(call.wave);
  machine.down_for = call.wave;
  machine.up_at = now + kMaintenance;
  ++m_upkeeps;
  return UpkeepAnswer::kAccepted;
}

void SimulatedMachines::OnCompleted(const WaveId& wave) {
  for (const MachineId& machine : m_waves.at(wave).machines) {
    if (!m_machines.at(machine).waves_begun.contains(wave)) {
      throw Violation("wave " + std::to_string(wave.value()) +
                      " is reported as completed without " + machine.value());
    }
  }
  m_completed.insert(wave);
}

}  // namespace zinniacart::simulation

// Runs the randomised placement simulation with consecutive seeds and prints
// every seed that violates a guarantee. Exits with 1 if there was one.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <string>

#include "placement/simulation/simulation.h"

int main(int argc, char** argv) {
  using namespace zinniacart;
  using namespace zinniacart::simulation;
  CLI::App app{"Runs the placement simulation with consecutive seeds"};
  std::uint64_t first = 1;
  std::uint64_t count = 100;
  app.add_option("--first-seed", first, "First seed");
  app.add_option("--seeds", count, "Number of seeds");
  std::string traced_task;
  app.add_option(
      "--trace", traced_task,
      "Print the messages about this task, and the kills, pauses and power "
      "losses of all processes");
  CLI11_PARSE(app, argc, argv);
  constexpr double kMillisecondsPerHour = 3'600'000.0;
  std::uint64_t failed = 0;
  SimulationReport total;
  double hours = 0.0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    SimulationSettings settings;
    settings.seed = seed;
    settings.traced_task = traced_task;
    const Duration time = settings.faulty_time + settings.quiet_time;
    hours += static_cast<double>(time.count()) / kMillisecondsPerHour;
    try {
      const SimulationReport report = Simulation(settings).Run();
      total.starts += report.starts;
      total.faults += report.faults;
      total.tasks_finished += report.tasks_finished;
    } catch (const Violation& violation) {
      ++failed;
      std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed),
                  violation.what());
      std::fflush(stdout);
    }
  }
  std::printf(
      "%llu seeds, %.1f simulated hours, %llu starts, %d faults, "
      "%d tasks finished, %llu seeds failed\n",
      static_cast<unsigned long long>(count), hours,
      static_cast<unsigned long long>(total.starts), total.faults,
      total.tasks_finished, static_cast<unsigned long long>(failed));
  return failed == 0 ? 0 : 1;
}

#include <CLI/CLI.hpp>
#include <iostream>

#include "hosting/simulation/protocol_simulation.h"

/// Simulates randomised runs of the placement protocol and exits with 1 at the
/// first violated guarantee.
int main(int argc, char** argv) {
  std::uint64_t first = 1;
  std::uint64_t seeds = 50;
  CLI::App app("Randomised runs of the placement protocol");
  app.add_option("--first", first, "The first seed");
  app.add_option("--seeds", seeds, "Number of seeds to simulate")
      ->check(CLI::PositiveNumber);
  bool trace = false;
  app.add_flag("--trace", trace, "Print each decision and each fault");
  CLI11_PARSE(app, argc, argv);
  using namespace zinniacart::simulation;
  std::size_t starts = 0;
  int faults = 0;
  int takeovers = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    ProtocolSettings settings;
    settings.seed = seed;
    if (trace) {
      settings.trace = [](const std::string& line) {
        std::cout << line << '\n';
      };
    }
    try {
      const ProtocolReport report = ProtocolSimulation(settings).Run();
      starts += report.starts;
      faults += report.faults;
      takeovers += report.takeovers;
    } catch (const Violation& violation) {
      std::cerr << "seed " << seed << ": " << violation.what() << '\n';
      return 1;
    }
  }
  std::cout << seeds << " seeds, " << starts << " starts, " << faults
            << " faults, " << takeovers
            << " takeovers: no guarantee violated\n";
}

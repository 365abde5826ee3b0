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
  int crashing_job_every = 0;
  app.add_option("--crashing-job-every", crashing_job_every,
                 "The tasks of every so many jobs crash their workers");
  int crash_after_ms = 0;
  app.add_option("--crash-after", crash_after_ms,
                 "How long such tasks work until then, in ms");
  bool capacity_changes = false;
  app.add_flag("--capacity-changes", capacity_changes,
               "The capacities of workers shrink and grow; they ignore it");
  bool steady = false;
  app.add_flag("--steady", steady, "Runs take about a second");
  std::size_t max_ends =
      zinniacart::simulation::WorkerFaults().max_ends_in_list;
  app.add_option("--max-ends", max_ends, "Most ends in a worker's list");
  double slow_answers = zinniacart::simulation::ProtocolSettings().slow_answers;
  app.add_option("--slow-answers", slow_answers,
                 "Share of the workers' answers that are slow");
  int stop_time_ms = 0;
  app.add_option("--stop-time", stop_time_ms,
                 "How long a run works on after a stop, in ms");
  bool clock_restarts = false;
  app.add_flag("--clock-restarts", clock_restarts,
               "The clock of each worker incarnation begins at 0");
  int perpetual_jobs = 0;
  app.add_option("--perpetual-jobs", perpetual_jobs,
                 "Number of perpetual jobs; workers ignore their capacity");
  int jobs = zinniacart::simulation::ProtocolSettings().jobs;
  app.add_option("--jobs", jobs, "Number of other jobs");
  bool worker_outages = false;
  app.add_flag("--worker-outages", worker_outages,
               "Workers that crash are back only after some seconds");
  bool varied_jobs = false;
  app.add_flag("--varied-jobs", varied_jobs,
               "Jobs save checkpoints, are best-effort, speculative and late; "
               "workers ignore their capacity");
  bool waves = false;
  app.add_flag("--waves", waves, "Operators ask for upkeep waves");
  CLI11_PARSE(app, argc, argv);
  using namespace zinniacart::simulation;
  std::size_t starts = 0;
  int faults = 0;
  int takeovers = 0;
  int upkeeps = 0;
  int given_up = 0;
  int sound_given_up = 0;
  int preempted = 0;
  int copied = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    ProtocolSettings settings;
    settings.seed = seed;
    settings.crashing_job_every = crashing_job_every;
    settings.worker.crash_after = zinniacart::Duration(crash_after_ms);
    settings.capacity_changes = capacity_changes;
    settings.worker.ignores_capacity =
        capacity_changes || perpetual_jobs > 0 || varied_jobs;
    settings.worker.steady = steady || perpetual_jobs > 0 || varied_jobs;
    settings.varied_jobs = varied_jobs;
    settings.worker.slow_runs = varied_jobs ? 0.1 : 0.0;
    settings.perpetual_jobs = perpetual_jobs;
    settings.worker_outages = worker_outages;
    settings.waves = waves;
    settings.jobs = jobs;
    settings.worker.max_ends_in_list = max_ends;
    settings.slow_answers = slow_answers;
    settings.worker.clock_restarts = clock_restarts;
    settings.worker.stop_time = zinniacart::Duration(stop_time_ms);
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
      upkeeps += report.upkeeps;
      given_up += report.given_up;
      sound_given_up += report.sound_given_up;
      preempted += report.preempted;
      copied += report.copied;
    } catch (const Violation& violation) {
      std::cerr << "seed " << seed << ": " << violation.what() << '\n';
      return 1;
    }
  }
  std::cout << seeds << " seeds, " << starts << " starts, " << faults
            << " faults, " << takeovers << " takeovers, " << upkeeps
            << " upkeeps, " << given_up << " crashing jobs and "
            << sound_given_up << " others given up, " << preempted
            << " runs preempted, " << copied
            << " copied: no guarantee violated\n";
}

#include "ordering/job_order.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

using namespace zinniacart;

namespace {

RankingInputs MakeInputs(int objective_ms,
                         int age_ms,
                         int chain_ms,
                         double work) {
  return RankingInputs{Duration(objective_ms), Duration(age_ms),
                       Duration(chain_ms), Duration(chain_ms), work};
}

/// A job in the simulation of an overloaded pool of cores.
struct SimulatedJob {
  double arrival = 0;         ///< In seconds.
  double work = 0;            ///< In core-seconds.
  double remaining_work = 0;  ///< In core-seconds.
  double finished_at = -1;    ///< In seconds; -1 while unfinished.
};

constexpr double kPoolCores = 60;
constexpr double kMaxCoresPerJob = 20;  ///< Cores that one job can use.
constexpr double kObjectiveSeconds = 12;
constexpr double kStepSeconds = 0.1;

using Rank = std::function<double(const SimulatedJob&, double now)>;

/// Simulates 40 s of arrivals, with a burst, on a pool of cores that runs the
/// jobs in order of `rank`.
/// @param late_value what a job is worth that ends late, but within three
///                   objectives.
/// @returns the share of the work that belongs to jobs that finished in time,
/// plus `late_value` times that of the late ones.
double Simulate(const Rank& rank, unsigned seed, double late_value = 0) {
  std::mt19937 random(seed);
  std::exponential_distribution<double> gap(1.0);
  std::lognormal_distribution<double> size(4.1, 0.7);
  std::vector<SimulatedJob> jobs;
  for (double at = 0; at < 40; at += gap(random)) {
    // From 12 s to 20 s, arrivals exceed the capacity of the cores.
    const int arrivals = at > 12 && at < 20 ? 3 : 1;
    for (int arrival = 0; arrival < arrivals; ++arrival) {
      const double work = size(random);
      jobs.push_back(SimulatedJob{at, work, work, -1});
    }
  }
  for (double now = 0; now < 120; now += kStepSeconds) {
    std::vector<SimulatedJob*> open;
    for (SimulatedJob& job : jobs) {
      if (job.arrival <= now && job.remaining_work > 0) {
        open.push_back(&job);
      }
    }
    std::stable_sort(open.begin(), open.end(),
                     [&](const SimulatedJob* left, const SimulatedJob* right) {
                       return rank(*left, now) < rank(*right, now);
                     });
    double cores = kPoolCores;
    for (SimulatedJob* job : open) {
      const double used = std::min(
          {cores, kMaxCoresPerJob, job->remaining_work / kStepSeconds});
      job->remaining_work -= used * kStepSeconds;
      cores -= used;
      job->finished_at = job->remaining_work <= 1e-9 ? now : -1;
    }
  }
  double work_in_time = 0;
  double all_work = 0;
  for (const SimulatedJob& job : jobs) {
    all_work += job.work;
    const double taken = job.finished_at - job.arrival;
    if (job.finished_at >= 0 && taken <= 3 * kObjectiveSeconds) {
      work_in_time +=
          job.work * (taken <= kObjectiveSeconds ? 1.0 : late_value);
    }
  }
  return work_in_time / all_work;
}

double RankSimulated(const SimulatedJob& job,
                     double now,
                     const OrderSettings& settings = {}) {
  const auto ms = [](double seconds) {
    return Duration(static_cast<std::int64_t>(seconds * 1000));
  };
  const Duration chain_left = ms(job.remaining_work / kMaxCoresPerJob);
  return RankOf(RankingInputs{ms(kObjectiveSeconds), ms(now - job.arrival),
                              chain_left, chain_left, job.remaining_work},
                settings);
}

}  // namespace

TEST_GROUP(JobOrder){};

TEST(JobOrder, LessSlackComesFirst) {
  CHECK(RankOf(MakeInputs(10000, 6000, 1000, 10)) <
        RankOf(MakeInputs(10000, 2000, 1000, 10)));
}

TEST(JobOrder, LessRemainingWorkComesFirstAtEqualSlack) {
  CHECK(RankOf(MakeInputs(10000, 6000, 1000, 10)) <
        RankOf(MakeInputs(10000, 6000, 1000, 60)));
}

TEST(JobOrder, LateJobsComeAfterJobsThatCanStillBeInTime) {
  CHECK(RankOf(MakeInputs(10000, 15000, 1000, 1)) >
        RankOf(MakeInputs(10000, 1000, 1000, 200)));
}

TEST(JobOrder, SlightlyLateEstimatesDoNotCountAsLate) {
  // The estimate says half a second late, but estimates may be off.
  CHECK(RankOf(MakeInputs(10000, 9500, 1000, 10)) <
        RankOf(MakeInputs(10000, 1000, 1000, 10)));
}

// During a burst of three times the usual arrivals on cores that are nearly
// busy already, both baselines make most jobs of the burst late. The first is
// earliest deadline first, which equals first come first served because all
// objectives are equal; the second is least slack first.
TEST(JobOrder, FinishesMoreWorkInTimeThanDeadlineOrderDuringABurst) {
  double ranked = 0;
  double by_deadline = 0;
  double by_slack = 0;
  constexpr unsigned kSeeds = 10;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    ranked += Simulate([](const SimulatedJob& job,
                          double now) { return RankSimulated(job, now); },
                       seed);
    by_deadline += Simulate(
        [](const SimulatedJob& job, double) { return job.arrival; }, seed);
    by_slack += Simulate(
        [](const SimulatedJob& job, double) {
          return job.arrival - job.remaining_work / kMaxCoresPerJob;
        },
        seed);
  }
  CHECK(ranked > 1.3 * by_deadline);
  CHECK(ranked > 1.3 * by_slack);
}

// Guards against capacity for jobs that are worth nothing any more while others
// can still end within three objectives, during the same burst.
TEST(JobOrder, TiersOfLateJobsGainValueDuringABurst) {
  double with_tiers = 0;
  double without = 0;
  constexpr unsigned kSeeds = 10;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const auto simulate = [seed](bool late_tiers) {
      return Simulate(
          [late_tiers](const SimulatedJob& job, double now) {
            return RankSimulated(job, now, OrderSettings{late_tiers});
          },
          seed, 0.15);
    };
    with_tiers += simulate(true);
    without += simulate(false);
  }
  CHECK(with_tiers > without);
}

TEST(JobOrder, JobsWithinThreeObjectivesComeBeforeLaterOnes) {
  const RankingInputs within = MakeInputs(10000, 20000, 1000, 500);
  const RankingInputs later = MakeInputs(10000, 40000, 1000, 1);
  CHECK(TierOf(within) == OrderTier::kWithinThree);
  CHECK(TierOf(later) == OrderTier::kLater);
  CHECK(RankOf(within) < RankOf(later));
}

// Guards against a large late job that waits for ever behind small ones.
TEST(JobOrder, AgeOutweighsWorkAmongLateJobs) {
  CHECK(RankOf(MakeInputs(1000, 300000, 1000, 700)) <
        RankOf(MakeInputs(1000, 5000, 1000, 1)));
  CHECK(RankOf(MakeInputs(1000, 20000, 1000, 700)) >
        RankOf(MakeInputs(1000, 5000, 1000, 1)));
}

// Guards against a rank that reaches into the next tier.
TEST(JobOrder, HugeWorkAndAgeStayWithinTheTier) {
  CHECK(RankOf(MakeInputs(10000, 0, 1000, 1e9)) <
        RankOf(MakeInputs(10000, 20000, 1000, 1)));
  CHECK(RankOf(MakeInputs(10000, 20000, 1000, 1e9)) <
        RankOf(MakeInputs(10000, 1000000000, 1000, 1)));
}

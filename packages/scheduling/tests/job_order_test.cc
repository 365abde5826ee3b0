#include "scheduling/job_order.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

using namespace zinniacart;

namespace {

RankingInputs Standing(int objective_ms,
                       int age_ms,
                       int chain_ms,
                       double work) {
  return RankingInputs{Duration(objective_ms), Duration(age_ms),
                       Duration(chain_ms), work};
}

/// A job in a replay of too much load on one pool of cores.
struct ReplayedJob {
  double arrives = 0;
  double work = 0;  ///< In core-seconds.
  double left = 0;
  double ended = -1;
};

constexpr double kCores = 60;
constexpr double kMostParallel = 20;  ///< Cores that one job can use.
constexpr double kObjectiveSeconds = 12;
constexpr double kStep = 0.1;

using Rank = std::function<double(const ReplayedJob&, double now)>;

/// @returns the part of the work whose jobs ended in time.
double Replay(const Rank& rank, unsigned seed) {
  std::mt19937 random(seed);
  std::exponential_distribution<double> gap(1.0);
  std::lognormal_distribution<double> size(4.1, 0.7);
  std::vector<ReplayedJob> jobs;
  for (double at = 0; at < 40; at += gap(random)) {
    // A burst in the middle brings more than the cores can do.
    const int several = at > 12 && at < 20 ? 3 : 1;
    for (int copy = 0; copy < several; ++copy) {
      const double work = size(random);
      jobs.push_back(ReplayedJob{at, work, work, -1});
    }
  }
  for (double now = 0; now < 120; now += kStep) {
    std::vector<ReplayedJob*> open;
    for (ReplayedJob& job : jobs) {
      if (job.arrives <= now && job.left > 0) {
        open.push_back(&job);
      }
    }
    std::stable_sort(open.begin(), open.end(),
                     [&](const ReplayedJob* left, const ReplayedJob* right) {
                       return rank(*left, now) < rank(*right, now);
                     });
    double cores = kCores;
    for (ReplayedJob* job : open) {
      const double used = std::min({cores, kMostParallel, job->left / kStep});
      job->left -= used * kStep;
      cores -= used;
      job->ended = job->left <= 1e-9 ? now : -1;
    }
  }
  double in_time = 0;
  double all = 0;
  for (const ReplayedJob& job : jobs) {
    all += job.work;
    in_time += job.ended >= 0 && job.ended - job.arrives <= kObjectiveSeconds
                   ? job.work
                   : 0;
  }
  return in_time / all;
}

double RankReplayed(const ReplayedJob& job, double now) {
  const auto ms = [](double seconds) {
    return Duration(static_cast<std::int64_t>(seconds * 1000));
  };
  return RankOf(RankingInputs{ms(kObjectiveSeconds), ms(now - job.arrives),
                              ms(job.left / kMostParallel), job.left});
}

}  // namespace

TEST_GROUP(JobOrder){};

TEST(JobOrder, OfEqualJobsTheOneWithLessTimeToSpareComesFirst) {
  CHECK(RankOf(Standing(10000, 6000, 1000, 10)) <
        RankOf(Standing(10000, 2000, 1000, 10)));
}

TEST(JobOrder, OfEquallyUrgentJobsTheOneThatIsNearlyDoneComesFirst) {
  CHECK(RankOf(Standing(10000, 6000, 1000, 10)) <
        RankOf(Standing(10000, 6000, 1000, 60)));
}

TEST(JobOrder, WhatIsTooLateComesAfterWhatCanBeSaved) {
  CHECK(RankOf(Standing(10000, 15000, 1000, 1)) >
        RankOf(Standing(10000, 1000, 1000, 200)));
}

TEST(JobOrder, EstimatesGetTheBenefitOfDoubt) {
  // Half a second late by its estimate, which may be wrong.
  CHECK(RankOf(Standing(10000, 9500, 1000, 10)) <
        RankOf(Standing(10000, 1000, 1000, 10)));
}

// Load: a burst of three times the usual jobs on cores that are nearly busy
// already. Both baselines, first come first served and earliest deadline
// (the same order, as all objectives are equal) and least time to spare, make
// most jobs of the burst late.
TEST(JobOrder, InABurstMoreWorkIsInTimeThanByDeadlinesAlone) {
  double ranked = 0;
  double by_deadline = 0;
  double by_slack = 0;
  constexpr unsigned kSeeds = 10;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    ranked += Replay(RankReplayed, seed);
    by_deadline += Replay(
        [](const ReplayedJob& job, double) { return job.arrives; }, seed);
    by_slack +=
        Replay([](const ReplayedJob& job,
                  double) { return job.arrives - job.left / kMostParallel; },
               seed);
  }
  CHECK(ranked > 1.3 * by_deadline);
  CHECK(ranked > 1.3 * by_slack);
}

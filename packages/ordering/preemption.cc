#include "ordering/preemption.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <tuple>
#include <utility>

namespace zinniacart {
namespace {

/// A best-effort task may start with this share of the processors it asks for,
/// as in placement, which has the last word.
constexpr double kMinBestEffortShare = 0.6;

/// Capacity of a host as the demand sees it: best-effort tasks take no reserved
/// processors, but idle ones.
struct Room {
  Resources free;
  std::int64_t idle_millicores = 0;

  bool Fits(const WaitingDemand& demand) const {
    Resources needed = demand.demand;
    if (demand.best_effort) {
      needed.millicores = 0;
    }
    return needed.FitsIn(free) &&
           (!demand.best_effort ||
            static_cast<double>(idle_millicores) >=
                kMinBestEffortShare *
                    static_cast<double>(demand.demand.millicores));
  }
  /// @param sign 1 to release what a run takes, -1 to take it.
  void Add(const Resources& demand, bool best_effort, std::int64_t sign) {
    free.millicores += best_effort ? 0 : sign * demand.millicores;
    free.memory_mb += sign * demand.memory_mb;
    free.accelerators += sign * demand.accelerators;
    idle_millicores += sign * demand.millicores;
  }
};

/// One round of decisions.
class Round final {
 public:
  Round(const std::vector<PreemptionHost>& hosts,
        const AcceptsAfterStops& accepts,
        const PreemptionLimits& limits)
      : m_hosts(hosts),
        m_accepts(accepts),
        m_stops_left(limits.max_stops),
        m_checks_left(limits.max_checks) {
    for (const PreemptionHost& host : hosts) {
      m_rooms.push_back(Room{host.free, host.idle_millicores});
      m_stopped.emplace_back(host.candidates.size(), false);
      m_order.push_back(InOrderOfCost(host));
    }
  }

  /// Makes room for the tasks of the demand, as far as possible.
  void Serve(std::size_t number, const WaitingDemand& demand) {
    for (std::size_t task = 0; task < demand.tasks; ++task) {
      if (!ServeOne(number, demand)) {
        return;
      }
    }
  }

  std::vector<Preemption> TakeResults() { return std::move(m_results); }

 private:
  /// Stops on one host, and what they cost.
  struct Option {
    Preemption preemption;
    std::tuple<bool, double, std::size_t> cost;
  };

  bool ServeOne(std::size_t number, const WaitingDemand& demand) {
    if (m_stops_left == 0 || m_checks_left == 0) {
      return false;
    }
    std::vector<Option> options;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
      if (auto option = MakeOption(number, demand, host)) {
        options.push_back(std::move(*option));
      }
    }
    std::stable_sort(options.begin(), options.end(),
                     [](const Option& left, const Option& right) {
                       return left.cost < right.cost;
                     });
    for (Option& option : options) {
      if (Accept(demand, option.preemption)) {
        Apply(demand, std::move(option.preemption));
        return true;
      }
    }
    return false;
  }

  /// @returns the candidates of the host, those that cost least first.
  static std::vector<std::size_t> InOrderOfCost(const PreemptionHost& host) {
    const auto& all = host.candidates;
    std::vector<std::size_t> order(all.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&all](std::size_t left, std::size_t right) {
                       return std::make_tuple(all[right].tier,
                                              all[left].unsaved_core_seconds) <
                              std::make_tuple(all[left].tier,
                                              all[right].unsaved_core_seconds);
                     });
    return order;
  }

  bool MayStop(const WaitingDemand& demand,
               std::size_t host,
               std::size_t run) const {
    const PreemptionCandidate& candidate = m_hosts[host].candidates[run];
    return !m_stopped[host][run] && candidate.tier != OrderTier::kInTime &&
           candidate.priority >= demand.priority;
  }

  /// @returns the stops after which the host has the capacity for one task.
  std::optional<Option> MakeOption(std::size_t number,
                                   const WaitingDemand& demand,
                                   std::size_t host) const {
    const auto& all = m_hosts[host].candidates;
    Room room = m_rooms[host];
    std::vector<std::size_t> runs;
    for (const std::size_t run : m_order[host]) {
      if (room.Fits(demand)) {
        break;
      }
      if (!MayStop(demand, host, run)) {
        continue;
      }
      room.Add(all[run].demand, all[run].best_effort, 1);
      runs.push_back(run);
    }
    if (!room.Fits(demand)) {
      return std::nullopt;
    }
    // A run that was taken first may not be needed beside a larger one.
    for (std::size_t index = runs.size(); index-- > 0;) {
      const PreemptionCandidate& run = all[runs[index]];
      Room without = room;
      without.Add(run.demand, run.best_effort, -1);
      if (without.Fits(demand)) {
        room = without;
        runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(index));
      }
    }
    Option option{Preemption{number, host, std::move(runs)}, {}};
    option.cost = CostOf(option.preemption);
    return option;
  }

  std::tuple<bool, double, std::size_t> CostOf(
      const Preemption& preemption) const {
    bool valuable = false;
    double unsaved = 0;
    for (const std::size_t run : preemption.runs) {
      const PreemptionCandidate& stopped =
          m_hosts[preemption.host].candidates[run];
      valuable = valuable || stopped.tier == OrderTier::kWithinThree;
      unsaved += stopped.unsaved_core_seconds;
    }
    return {valuable, unsaved, preemption.runs.size()};
  }

  /// Where best-effort work interferes, adds further best-effort runs to the
  /// stops until the task may start.
  bool Accept(const WaitingDemand& demand, Preemption& preemption) {
    const std::size_t host = preemption.host;
    const auto& candidates = m_order[host];
    auto next = candidates.begin();
    while (m_checks_left > 0 && preemption.runs.size() <= m_stops_left) {
      --m_checks_left;
      if (m_accepts(preemption)) {
        return true;
      }
      next = std::find_if(next, candidates.end(), [&](std::size_t run) {
        return m_hosts[host].candidates[run].best_effort &&
               MayStop(demand, host, run) &&
               std::find(preemption.runs.begin(), preemption.runs.end(), run) ==
                   preemption.runs.end();
      });
      if (!demand.best_effort || next == candidates.end()) {
        return false;
      }
      preemption.runs.push_back(*next);
    }
    return false;
  }

  void Apply(const WaitingDemand& demand, Preemption preemption) {
    Room& room = m_rooms[preemption.host];
    for (const std::size_t run : preemption.runs) {
      const PreemptionCandidate& stopped =
          m_hosts[preemption.host].candidates[run];
      room.Add(stopped.demand, stopped.best_effort, 1);
      m_stopped[preemption.host][run] = true;
    }
    room.Add(demand.demand, demand.best_effort, -1);
    m_stops_left -= preemption.runs.size();
    m_results.push_back(std::move(preemption));
  }

  const std::vector<PreemptionHost>& m_hosts;
  const AcceptsAfterStops& m_accepts;
  std::size_t m_stops_left;
  std::size_t m_checks_left;
  std::vector<Room> m_rooms;
  std::vector<std::vector<bool>> m_stopped;
  std::vector<std::vector<std::size_t>> m_order;  ///< See `InOrderOfCost`.
  std::vector<Preemption> m_results;
};

}  // namespace

std::vector<Preemption> ChoosePreemptions(
    const std::vector<WaitingDemand>& demands,
    const std::vector<PreemptionHost>& hosts,
    const AcceptsAfterStops& accepts,
    const PreemptionLimits& limits) {
  Round round(hosts, accepts, limits);
  for (std::size_t number = 0; number < demands.size(); ++number) {
    round.Serve(number, demands[number]);
  }
  return round.TakeResults();
}

}  // namespace zinniacart

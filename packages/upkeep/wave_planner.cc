#include "upkeep/wave_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace zinniacart {
namespace {

/// A machine has left once so many listings in a row lack it. One may lack it
/// because the machines changed between its pages.
constexpr int kListingsUntilGone = 2;
/// A call that was not answered may be carried out so much later.
constexpr Duration kLateCall{2000};
/// A machine that is not empty after its share of the wave's time, or after
/// this, makes room for others.
constexpr Duration kMinTimeToEmpty{2000};
/// Calls are made so much before the wave would be late.
constexpr Duration kHurryMargin{1000};
/// The agent reports the new worker within this time after the machine is up.
constexpr Duration kMaxTimeToReport{5000};

const MachineView kUnknownView;

const MachineView& ViewOf(const std::map<MachineId, MachineView>& views,
                          const MachineId& id) {
  const auto found = views.find(id);
  return found == views.end() ? kUnknownView : found->second;
}

}  // namespace

WavePlanner::WavePlanner(WaveSpec spec,
                         WaveTimes times,
                         WaveRecord record,
                         Instant began,
                         Instant now)
    : m_spec(std::move(spec)),
      m_times(times),
      m_record(std::move(record)),
      m_began(began) {
  for (const auto& [id, machine] : m_record.machines) {
    m_tracked[id].changed_at = now;
    m_refused = m_refused || machine.stage == UpkeepStage::kRefused;
    m_accepted = m_accepted || machine.stage == UpkeepStage::kBegun ||
                 machine.stage == UpkeepStage::kDone;
  }
  SetSpec(m_spec);
}

void WavePlanner::SetSpec(WaveSpec spec) {
  m_spec = std::move(spec);
  m_spec.max_down = std::max<std::uint32_t>(1, m_spec.max_down);
  for (const MachineId& id : m_spec.machines) {
    m_record.machines.try_emplace(id);
    m_tracked.try_emplace(id);
  }
}

void WavePlanner::OnListing(const MachineListing& listing, Instant now) {
  m_listed = true;
  for (const auto& [id, machine] : m_record.machines) {
    if (listing.machines.contains(id)) {
      ApplyListed(id, listing, now);
    } else {
      ApplyMissing(id);
    }
  }
}

void WavePlanner::ApplyListed(const MachineId& id,
                              const MachineListing& listing,
                              Instant now) {
  MachineRecord& record = m_record.machines.at(id);
  Tracked& tracked = m_tracked.at(id);
  tracked.missing = 0;
  if (listing.asked_at < tracked.changed_at) {
    return;  // It may show the machine as it was before.
  }
  const ListedMachine& listed = listing.machines.at(id);
  tracked.listed = listed;
  if (record.stage == UpkeepStage::kGone) {
    record.stage = UpkeepStage::kWaiting;
  }
  if (record.stage == UpkeepStage::kRefused &&
      (listed.state != record.state || listed.worker != record.worker)) {
    tracked.changed_since_refusal = true;
  }
  if (record.stage == UpkeepStage::kBegun &&
      listed.state == MachineState::kUp &&
      listing.asked_at >= tracked.changed_at + m_times.maintenance) {
    record.stage = UpkeepStage::kDone;
    tracked.up_since = now;
  }
}

void WavePlanner::ApplyMissing(const MachineId& id) {
  MachineRecord& record = m_record.machines.at(id);
  Tracked& tracked = m_tracked.at(id);
  if (++tracked.missing < kListingsUntilGone) {
    return;
  }
  tracked.listed.reset();
  if (record.stage != UpkeepStage::kDone && !tracked.in_call) {
    record.stage = UpkeepStage::kGone;
  }
}

bool WavePlanner::IsListedUp(const MachineId& id) const {
  const auto& listed = m_tracked.at(id).listed;
  return listed && listed->state == MachineState::kUp;
}

bool WavePlanner::IsDown(const MachineId& id) const {
  const UpkeepStage stage = m_record.machines.at(id).stage;
  if (stage == UpkeepStage::kOrdered || stage == UpkeepStage::kBegun) {
    return true;
  }
  // An earlier call that was not answered may be carried out after the one that
  // was refused.
  const auto& listed = m_tracked.at(id).listed;
  return (stage == UpkeepStage::kRefused || stage == UpkeepStage::kExcluded) &&
         listed && listed->state == MachineState::kUpkeep;
}

std::size_t WavePlanner::CountDown() const {
  return static_cast<std::size_t>(
      std::count_if(m_record.machines.begin(), m_record.machines.end(),
                    [this](const auto& entry) { return IsDown(entry.first); }));
}

bool WavePlanner::IsOpen(const MachineId& id) const {
  const UpkeepStage stage = m_record.machines.at(id).stage;
  return stage == UpkeepStage::kWaiting ||
         (stage == UpkeepStage::kRefused &&
          m_tracked.at(id).changed_since_refusal);
}

std::size_t WavePlanner::CountLeft() const {
  return static_cast<std::size_t>(
      std::count_if(m_spec.machines.begin(), m_spec.machines.end(),
                    [this](const MachineId& id) {
                      return IsOpen(id) || m_tracked.at(id).in_call;
                    }));
}

std::int64_t WavePlanner::Batches() const {
  const auto left = static_cast<std::int64_t>(CountLeft());
  return (left + m_spec.max_down - 1) / m_spec.max_down;
}

Duration WavePlanner::Turnaround() const {
  return std::max(m_times.maintenance + m_times.confirmation,
                  m_times.call_interval * m_spec.max_down);
}

Duration WavePlanner::TimeNeeded() const {
  return Turnaround() * Batches();
}

bool WavePlanner::MustHurry(Instant now) const {
  return now + TimeNeeded() + kHurryMargin >= deadline();
}

Duration WavePlanner::SparePerBatch(Instant now) const {
  const Duration spare = deadline() - now - TimeNeeded() - kHurryMargin;
  return std::max(Duration(0), spare) / std::max<std::int64_t>(1, Batches());
}

bool WavePlanner::IsComplete() const {
  return m_listed && std::all_of(m_spec.machines.begin(), m_spec.machines.end(),
                                 [this](const MachineId& id) {
                                   const UpkeepStage stage =
                                       m_record.machines.at(id).stage;
                                   return stage == UpkeepStage::kBegun ||
                                          stage == UpkeepStage::kDone ||
                                          stage == UpkeepStage::kGone;
                                 });
}

bool WavePlanner::IsLate(Instant now) const {
  if (m_record.completed) {
    return false;
  }
  const auto left = static_cast<std::int64_t>(CountLeft());
  // The last batch has to begin in time only.
  const Duration until_begun =
      left == 0 ? Duration(0) : TimeNeeded() - Turnaround();
  return now + until_begun > deadline();
}

std::map<UpkeepStage, std::size_t> WavePlanner::Counts() const {
  std::map<UpkeepStage, std::size_t> counts;
  for (const MachineId& id : m_spec.machines) {
    ++counts[m_record.machines.at(id).stage];
  }
  return counts;
}

void WavePlanner::ObserveRefused(
    const std::map<MachineId, MachineView>& views) {
  for (const MachineId& id : m_spec.machines) {
    const MachineRecord& record = m_record.machines.at(id);
    const std::int64_t now = ViewOf(views, id).incarnation;
    if (record.stage == UpkeepStage::kRefused && record.incarnation != 0 &&
        now != 0 && now != record.incarnation) {
      m_tracked.at(id).changed_since_refusal = true;
    }
  }
}

std::optional<MachineId> WavePlanner::MachineToCallAgain(
    const std::map<MachineId, MachineView>& views) const {
  for (const MachineId& id : m_spec.machines) {
    const bool ordered =
        m_record.machines.at(id).stage == UpkeepStage::kOrdered;
    const MachineView& view = ViewOf(views, id);
    if (ordered && !m_tracked.at(id).in_call && IsListedUp(id) && view.known &&
        view.may_end) {
      return id;
    }
  }
  return std::nullopt;
}

std::vector<MachineId> WavePlanner::OrderOf(
    const std::map<MachineId, MachineView>& views) const {
  std::vector<MachineId> order;
  for (const MachineId& id : m_spec.machines) {
    if (IsOpen(id) && IsListedUp(id) && ViewOf(views, id).known) {
      order.push_back(id);
    }
  }
  const auto rank = [&](const MachineId& id) {
    const MachineView& view = ViewOf(views, id);
    return std::tuple(m_tracked.at(id).attempts_to_empty, view.domain_short,
                      !view.empty, view.loss);
  };
  std::stable_sort(order.begin(), order.end(),
                   [&](const MachineId& left, const MachineId& right) {
                     return rank(left) < rank(right);
                   });
  return order;
}

std::size_t WavePlanner::CountToEmpty(Instant now) const {
  if (ExpectsRefusal()) {
    return now >= m_began + m_spec.duration / 2 ? 1 : 0;
  }
  // Where time is short, the next machines are emptied while others are down.
  const std::size_t down = SparePerBatch(now) < Turnaround() ? 0 : CountDown();
  return down >= m_spec.max_down ? 0 : m_spec.max_down - down;
}

void WavePlanner::ChooseEmptying(const std::vector<MachineId>& order,
                                 Instant now,
                                 WavePlan& plan) {
  const Duration spare = SparePerBatch(now);
  const std::size_t most = CountToEmpty(now);
  const auto choose = [&](const MachineId& id) {
    Tracked& tracked = m_tracked.at(id);
    tracked.emptying_since = tracked.emptying_since.value_or(now);
    plan.emptying[id] = spare;
  };
  for (const MachineId& id : order) {
    Tracked& tracked = m_tracked.at(id);
    if (!tracked.emptying_since) {
      continue;
    }
    const Duration limit = std::max(kMinTimeToEmpty, spare);
    if (plan.emptying.size() < most && now - *tracked.emptying_since <= limit) {
      choose(id);
      continue;
    }
    tracked.attempts_to_empty += now - *tracked.emptying_since > limit ? 1 : 0;
    tracked.emptying_since.reset();
  }
  for (const MachineId& id : order) {
    if (plan.emptying.size() < most) {
      choose(id);
    }
  }
}

WavePlan WavePlanner::Plan(const std::map<MachineId, MachineView>& views,
                           Instant now) {
  WavePlan plan;
  for (const auto& [id, record] : m_record.machines) {
    const Tracked& tracked = m_tracked.at(id);
    const std::int64_t incarnation = ViewOf(views, id).incarnation;
    // The agent has yet to report that the worker of before has ended.
    const bool unreported = record.stage == UpkeepStage::kDone &&
                            tracked.incarnation_at_order != 0 &&
                            incarnation == tracked.incarnation_at_order &&
                            now - tracked.up_since < kMaxTimeToReport;
    if (IsDown(id) || unreported) {
      plan.ordered.insert(id);
    }
  }
  if (!m_listed || m_record.completed) {
    return plan;
  }
  ObserveRefused(views);
  plan.call = MachineToCallAgain(views);
  const std::vector<MachineId> order = OrderOf(views);
  ChooseEmptying(order, now, plan);
  if (plan.call) {
    return plan;
  }
  const bool short_ones_wait =
      !MustHurry(now) &&
      std::any_of(order.begin(), order.end(), [&](const MachineId& id) {
        return !ViewOf(views, id).domain_short;
      });
  const auto next =
      std::find_if(order.begin(), order.end(), [&](const MachineId& id) {
        const MachineView& view = ViewOf(views, id);
        return !(view.domain_short && short_ones_wait) &&
               MayCall(id, view, now);
      });
  plan.call = next == order.end() ? std::nullopt : std::optional(*next);
  return plan;
}

bool WavePlanner::MayCall(const MachineId& id,
                          const MachineView& view,
                          Instant now) const {
  const UpkeepStage stage = m_record.machines.at(id).stage;
  const bool again =
      stage == UpkeepStage::kOrdered &&
      m_tracked.at(id).before_order.stage == UpkeepStage::kOrdered;
  // The machine itself counts as down once it is ordered.
  std::size_t others_down = CountDown() - (IsDown(id) ? 1 : 0);
  for (const auto& [other, tracked] : m_tracked) {
    others_down += other != id && now < tracked.down_until && !IsDown(other);
  }
  return view.known && view.may_end &&
         (again ||
          (others_down < m_spec.max_down && (view.empty || MustHurry(now))));
}

void WavePlanner::OnOrdered(const MachineId& id,
                            Epoch epoch,
                            const MachineView& view,
                            Instant now) {
  MachineRecord& record = m_record.machines.at(id);
  Tracked& tracked = m_tracked.at(id);
  tracked.before_order = record;
  record.stage = UpkeepStage::kOrdered;
  record.epoch = epoch;
  tracked.in_call = true;
  tracked.changed_at = now;
  tracked.incarnation_at_order = view.incarnation;
  tracked.emptying_since.reset();
}

void WavePlanner::OnOrderDropped(const MachineId& id) {
  Tracked& tracked = m_tracked.at(id);
  m_record.machines.at(id) = tracked.before_order;
  tracked.in_call = false;
}

void WavePlanner::OnAnswer(const MachineId& id,
                           UpkeepAnswer answer,
                           Instant now) {
  MachineRecord& record = m_record.machines.at(id);
  Tracked& tracked = m_tracked.at(id);
  tracked.in_call = false;
  tracked.changed_at = now;
  switch (answer) {
    case UpkeepAnswer::kAccepted:
      record.stage = UpkeepStage::kBegun;
      m_accepted = true;
      tracked.listed.reset();
      return;
    case UpkeepAnswer::kBusy:
      record.stage = UpkeepStage::kRefused;
      record.worker = tracked.listed ? tracked.listed->worker : std::string();
      record.state = tracked.listed ? tracked.listed->state : MachineState::kUp;
      record.incarnation = tracked.incarnation_at_order;
      tracked.changed_since_refusal = false;
      m_refused = true;
      break;
    case UpkeepAnswer::kOtherWave:
    case UpkeepAnswer::kUnknownMachine:
      record.stage = UpkeepStage::kExcluded;
      break;
    case UpkeepAnswer::kTooManyCalls:
    case UpkeepAnswer::kUnreachable:
      record = tracked.before_order;
      return;
    case UpkeepAnswer::kFenced:
    case UpkeepAnswer::kUnanswered:
      tracked.listed.reset();
      return;
  }
  if (tracked.before_order.stage == UpkeepStage::kOrdered) {
    tracked.down_until = now + kLateCall;
  }
}

}  // namespace zinniacart

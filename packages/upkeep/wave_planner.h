#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "upkeep/machine_port.h"
#include "upkeep/wave.h"
#include "upkeep/wave_record.h"

namespace zinniacart {

/// What the scheduler knows of a machine of a wave.
struct MachineView {
  /// Whether the rest is known; nothing is done to a machine before.
  bool known = false;
  bool empty = true;             ///< Nothing of ours runs there.
  bool may_end = true;           ///< All that runs there may end now.
  double loss = 0;               ///< What would be lost so, in core-seconds.
  bool domain_short = false;     ///< Its failure domain lacks hosts already.
  std::int64_t incarnation = 0;  ///< Of its worker; 0: unknown.
};

/// A complete list of the machines.
struct MachineListing {
  std::map<MachineId, ListedMachine> machines;
  Instant asked_at;  ///< When its first page was asked for.
};

struct WaveTimes {
  Duration maintenance{2000};  ///< From the call until a new worker joins.
  /// From then on until a listing shows it.
  Duration confirmation{800};
  Duration call_interval{0};  ///< Shortest time between two calls.
};

/// What is to be done for a wave now.
struct WavePlan {
  /// Machines to take the work off, and how long work may stay that ends by
  /// itself.
  std::map<MachineId, Duration> emptying;
  std::set<MachineId> ordered;    ///< Machines that are or may be down.
  std::optional<MachineId> call;  ///< Its upkeep is to be ordered.
};

/// Decides which machine of an upkeep wave goes next.
///
/// Load that it addresses: every host of a site is taken down once while the
/// site stays loaded. Machines with the least to lose go first, those in a
/// failure domain that lacks hosts last. Work is taken off the machines that
/// are next. A machine is called for once it is empty, or when the wave would
/// otherwise be late, but only while the disruption budgets of what still runs
/// there allow it and fewer than `WaveSpec::max_down` machines are down.
///
/// Machines that have one of our agents may all be refused as busy. While none
/// was accepted, work is therefore taken off one machine at a time, and only in
/// the second half of the wave's time.
///
/// The class does no I/O and is not thread-safe.
class WavePlanner final {
 public:
  /// @param record what is stored of the wave; its machines that were ordered
  ///               count as down until a listing shows otherwise.
  /// @param began  when the wave began, on this process's clock.
  WavePlanner(WaveSpec spec,
              WaveTimes times,
              WaveRecord record,
              Instant began,
              Instant now);

  /// The operators have changed the wave.
  void SetSpec(WaveSpec spec);
  void OnListing(const MachineListing& listing, Instant now);

  /// @param views of each machine of the wave; one that is absent is not known.
  WavePlan Plan(const std::map<MachineId, MachineView>& views, Instant now);
  /// The call for the machine of the last plan's is about to be stored and
  /// sent.
  void OnOrdered(const MachineId& machine,
                 Epoch epoch,
                 const MachineView& view,
                 Instant now);
  /// The call was not sent after all.
  void OnOrderDropped(const MachineId& machine);
  void OnAnswer(const MachineId& machine, UpkeepAnswer answer, Instant now);

  /// @returns whether the machine may still be called for, as ordered.
  /// @param view of the machine now.
  bool MayCall(const MachineId& machine,
               const MachineView& view,
               Instant now) const;
  /// @returns whether every machine that is still listed has begun its upkeep.
  bool IsComplete() const;
  /// The wave is reported as completed. Call it only if `IsComplete`.
  void MarkCompleted() { m_record.completed = true; }
  /// @returns whether the wave cannot be completed in time.
  bool IsLate(Instant now) const;
  /// @returns whether a machine is or may be down, so that listings are of use
  /// soon.
  bool HasMachinesDown() const { return CountDown() > 0; }
  /// @returns how many machines are in each stage.
  std::map<UpkeepStage, std::size_t> Counts() const;

  const WaveSpec& spec() const { return m_spec; }
  const WaveRecord& record() const { return m_record; }
  Instant deadline() const { return m_began + m_spec.duration; }

 private:
  /// What this owner knows beyond the record.
  struct Tracked {
    Instant changed_at;
    MachineRecord before_order;
    bool in_call = false;
    int missing = 0;  ///< Listings in a row that did not show it.
    std::optional<ListedMachine> listed;
    bool changed_since_refusal = false;
    std::optional<Instant> emptying_since;
    int attempts_to_empty = 0;
    std::int64_t incarnation_at_order = 0;
    /// It counts as down until then, whatever its stage.
    Instant down_until;
    Instant up_since;  ///< When it was seen up after its upkeep.
  };

  void ApplyListed(const MachineId& id,
                   const MachineListing& listing,
                   Instant now);
  void ApplyMissing(const MachineId& id);
  bool IsDown(const MachineId& id) const;
  bool IsListedUp(const MachineId& id) const;
  std::size_t CountDown() const;
  /// @returns the machines that still have to be called for the first time.
  std::size_t CountLeft() const;
  bool IsOpen(const MachineId& id) const;
  /// Notes whether the worker of a refused machine was replaced.
  void ObserveRefused(const std::map<MachineId, MachineView>& views);
  /// @returns a machine whose call was not answered and may be repeated.
  std::optional<MachineId> MachineToCallAgain(
      const std::map<MachineId, MachineView>& views) const;
  /// @returns the machines that may be called for, best first.
  std::vector<MachineId> OrderOf(
      const std::map<MachineId, MachineView>& views) const;
  void ChooseEmptying(const std::vector<MachineId>& order,
                      Instant now,
                      WavePlan& plan);
  std::size_t CountToEmpty(Instant now) const;
  /// @returns how many times as many machines as may be down are left.
  std::int64_t Batches() const;
  Duration Turnaround() const;
  Duration TimeNeeded() const;
  /// @returns how long each batch may take beyond its upkeep.
  Duration SparePerBatch(Instant now) const;
  bool MustHurry(Instant now) const;
  /// @returns whether all calls so far were refused as busy.
  bool ExpectsRefusal() const { return m_refused && !m_accepted; }

  WaveSpec m_spec;
  const WaveTimes m_times;
  WaveRecord m_record;
  const Instant m_began;
  std::map<MachineId, Tracked> m_tracked;
  bool m_listed = false;
  bool m_refused = false;
  bool m_accepted = false;
};

}  // namespace zinniacart

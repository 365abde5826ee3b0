#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"
#include "scheduling/scheduler.h"
#include "site/store_port.h"
#include "upkeep/call_pacer.h"
#include "upkeep/machine_lister.h"
#include "upkeep/machine_port.h"
#include "upkeep/upkeep_settings.h"
#include "upkeep/wave_planner.h"

namespace zinniacart {

/// Carries out the upkeep waves that operators ask for, while this entry owns
/// the scheduling.
///
/// The progress of a wave is stored under the owner's epoch before each call to
/// the machine service, so that the next owner knows which machines may be
/// down. The epoch is also the fencing token of the calls. One call is in
/// flight at a time. Without a wave that is open, nothing is read, written or
/// called.
///
/// Not thread-safe; nothing blocks. Errors are logged and calls repeated.
class UpkeepDuty final {
 public:
  /// Returns the wall clock in milliseconds since 1970.
  using WallClock = std::function<std::int64_t()>;

  /// @param self name of this entry, the holder of the duty.
  UpkeepDuty(UpkeepSettings settings,
             EntryId self,
             StorePort& store,
             MachinePort& machines,
             const Clock& clock,
             WallClock wall_clock = WallClockMilliseconds);

  /// Sets the waves that operators ask for, in place of those of the last call.
  void SetWaves(std::map<WaveId, WaveSpec> waves);
  /// This entry owns the scheduling.
  /// @param epoch_revision store revision of the epoch.
  void BeginTerm(Epoch epoch, std::uint64_t epoch_revision);
  /// Ends the term: answers to its calls are ignored.
  void EndTerm();
  /// Takes the next steps. Call it regularly within a term, once all jobs and
  /// hosts are known.
  /// @param confirmed whether the ownership was confirmed so recently that no
  ///                  other entry can own the scheduling.
  void Tick(Scheduler& scheduler, bool confirmed);

  /// @returns for each wave how many machines are in each stage; empty outside
  /// a term.
  std::map<WaveId, std::map<UpkeepStage, std::size_t>> Counts() const;
  /// @returns how many waves are, or will be, late.
  std::size_t CountLate() const;
  /// @returns how many upkeep calls had each answer, since the start.
  const std::map<UpkeepAnswer, std::uint64_t>& answers() const {
    return m_answers;
  }

 private:
  struct Wave {
    explicit Wave(WavePlanner its_planner) : planner(std::move(its_planner)) {}

    WavePlanner planner;
    WavePlan plan;
    std::uint64_t revision = 0;  ///< Store revision of its record.
    std::string stored;          ///< Its record as stored.
    std::string status;          ///< Its status as stored.
    bool reported_late = false;
  };
  struct StoredRecord {
    std::string bytes;
    std::uint64_t revision = 0;
  };
  struct PendingCall {
    WaveId wave;
    MachineId machine;
    bool stored = false;
    bool sent = false;
  };
  using Views = std::map<MachineId, MachineView>;

  void Load();
  /// Adapts the planners to the waves that operators ask for.
  void UpdatePlanners();
  void AddPlanner(const WaveSpec& spec);
  /// @returns whether a wave has anything left to do or to observe.
  bool HasOpenWaves() const;
  void List();
  Views MakeViews(const Scheduler& scheduler) const;
  void Plan(const Views& views);
  /// Lets the scheduler empty hosts and keep away from those that are ordered.
  void Apply(Scheduler& scheduler);
  void Order(const Views& views, bool confirmed);
  void SendCall(const Views& views, bool confirmed);
  void DropCall();
  void OnAnswer(const PendingCall& call, UpkeepAnswer answer);
  void ObserveProgress();
  void Write();
  void OnWritten(
      const std::map<WaveId, std::pair<std::string, std::string>>& values,
      bool with_call,
      const Result<StoreCommit>& commit);

  const UpkeepSettings m_settings;
  const EntryId m_self;
  StorePort& m_store;
  MachinePort& m_machines;
  const Clock& m_clock;
  const WallClock m_wall_clock;
  CallPacer m_pacer;
  MachineLister m_lister;
  std::map<WaveId, WaveSpec> m_specs;
  bool m_specs_changed = false;
  std::map<WaveId, Wave> m_waves;
  /// The records of all waves, once they are loaded.
  std::optional<std::map<WaveId, StoredRecord>> m_records;
  std::optional<PendingCall> m_call;
  bool m_loading = false;
  bool m_writing = false;
  bool m_fenced = false;   ///< No more calls in this term.
  bool m_applied = false;  ///< The scheduler keeps hosts out of use for us.
  bool m_away = false;     ///< The last call was not answered.
  Instant m_retry_store_at;
  Instant m_call_from;  ///< No call earlier in this term.
  Instant m_emptied_at;
  Epoch m_epoch;
  std::uint64_t m_epoch_revision = 0;
  std::map<UpkeepAnswer, std::uint64_t> m_answers;
  /// Exists during a term. Callbacks hold weak pointers to it.
  std::shared_ptr<int> m_term;
};

}  // namespace zinniacart

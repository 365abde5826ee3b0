#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "upkeep/wave.h"

namespace zinniacart {

enum class MachineState { kUp, kMoving, kUpkeep, kDown };

/// One machine as the machine service lists it.
struct ListedMachine {
  MachineId machine;
  ServiceId service;
  MachineState state = MachineState::kDown;
  DomainId domain;
  std::string worker;  ///< Id of its worker; empty if it has none.
};

/// One page of the list of machines.
struct MachinePage {
  std::vector<ListedMachine> machines;
  std::string next_page;  ///< Empty on the last page.
};

/// Asks for the upkeep of one machine.
struct UpkeepCall {
  WaveId wave;
  MachineId machine;
  EntryId holder;  ///< The calling entry.
  Epoch token;     ///< Of the owner; fences off earlier ones.
};

enum class UpkeepAnswer {
  kAccepted,        ///< It has begun, now or before.
  kFenced,          ///< The service has seen a higher token.
  kBusy,            ///< It cannot have its upkeep now.
  kOtherWave,       ///< The machine is not part of the wave.
  kUnknownMachine,  ///< There is no such machine.
  kTooManyCalls,    ///< Not carried out; calls come too fast.
  kUnreachable,     ///< Not carried out; nothing was sent.
  kUnanswered,      ///< It may have been carried out, or may yet be.
};

/// @returns the name of the answer, for the log and metrics.
const char* ToString(UpkeepAnswer answer);

/// The platform's machine service. Calls do not block; each callback runs once,
/// on the event loop.
class MachinePort {
 public:
  virtual ~MachinePort() = default;

  /// Reads one page of the list of machines.
  /// @param page empty for the first page, then `MachinePage::next_page`.
  /// @param done receives the page, or `kUnreachable` if the service is away or
  ///             its answer cannot be decoded.
  virtual void ListPage(const std::string& page,
                        Duration timeout,
                        std::function<void(Result<MachinePage>)> done) = 0;
  /// Ends all that runs on the machine and takes it down for its upkeep.
  virtual void BeginUpkeep(const UpkeepCall& call,
                           Duration timeout,
                           std::function<void(UpkeepAnswer)> done) = 0;
};

}  // namespace zinniacart

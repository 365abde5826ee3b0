#pragma once

#include <functional>
#include <optional>

#include "base/error.h"
#include "hosting/worker_calls.h"

namespace zinniacart {

/// Interface to the worker of this host. Calls do not block; each callback runs
/// once, on the event loop.
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;

  /// Extends the worker's lease and lists its runs.
  /// @param done receives the lists, or an error if the worker did not answer,
  ///             refused the call or sent a response that cannot be decoded.
  virtual void Hold(const HoldCall& call,
                    std::function<void(Result<WorkerLists>)> done) = 0;
  /// Starts a run.
  /// @param done receives the result, which may be that there is no answer, and
  ///             the worker's clock if the answer contains it.
  virtual void Start(
      const StartCall& call,
      std::function<void(StartAnswer, std::optional<WorkerInstant>)> done) = 0;
  /// Stops a run.
  /// @param done receives whether the worker accepted the stop.
  virtual void Stop(const StopCall& call, std::function<void(bool)> done) = 0;
  /// Limits the speed of a run.
  /// @param done receives whether the worker accepted the pace.
  virtual void Pace(const PaceCall& call, std::function<void(bool)> done) = 0;
};

}  // namespace zinniacart

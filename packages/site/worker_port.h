#pragma once

#include <functional>

#include "base/error.h"
#include "hosting/worker_calls.h"

namespace zinniacart {

/// The worker of this host. Calls do not block; each callback runs once, on
/// the event loop.
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;

  virtual void Hold(const HoldCall& call,
                    std::function<void(Result<WorkerLists>)> done) = 0;
  virtual void Start(const StartCall& call,
                     std::function<void(StartAnswer)> done) = 0;
  /// @param done receives whether the worker took the stop.
  virtual void Stop(const StopCall& call, std::function<void(bool)> done) = 0;
  virtual void Pace(const PaceCall& call, std::function<void(bool)> done) = 0;
};

}  // namespace zinniacart

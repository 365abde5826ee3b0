#pragma once

#include "ports/http_client.h"
#include "ports/worker.h"

namespace zinniacart {

/// Calls the worker on this host over HTTP with JSON bodies.
class HttpWorker final : public Worker {
 public:
  /// @param timeout in milliseconds; bounds each step of a call as in
  ///                `HttpClient`.
  HttpWorker(Endpoint endpoint, Duration timeout);

  Result<void> Attach(Incarnation incarnation) override;
  Result<Resources> Capacity() override;
  Result<std::vector<WorkerTaskStatus>> List() override;
  Result<void> Start(const WorkerTask& task,
                     Instant not_after,
                     Instant lease_until) override;
  Result<void> Renew(const TaskId& task,
                     Generation generation,
                     Instant lease_until) override;
  Result<CheckpointId> Stop(const TaskId& task, Generation generation) override;
  Result<void> Throttle(const TaskId& task, int percent) override;
  Result<void> Forget(const TaskId& task, Generation generation) override;

 private:
  HttpClient m_client;
  Incarnation m_incarnation;
};

}  // namespace zinniacart

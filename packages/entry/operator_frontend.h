#pragma once

#include <atomic>
#include <functional>
#include <string>

#include "base/clock.h"
#include "entry/entry_state.h"
#include "ports/http_server.h"
#include "ports/store.h"

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace zinniacart {

class JobDesk;

/// The operators' HTTP listener, apart from the callers': resources, jobs,
/// audit, status, health and metrics.
class OperatorFrontend final {
 public:
  /// @returns the metrics as Prometheus text.
  using Metrics = std::function<std::string()>;

  OperatorFrontend(EntryState& state,
                   Store& store,
                   const Clock& clock,
                   JobDesk& jobs,
                   Metrics metrics);

  bool Start(const Endpoint& endpoint);
  /// Makes the process look not ready, so that the balancer turns away.
  void BeginDrain() { m_draining = true; }
  void Stop();
  int port() const { return m_server.port(); }

 private:
  void Apply(const httplib::Request& in, httplib::Response& out);
  void Delete(const httplib::Request& in, httplib::Response& out);
  void Change(const httplib::Request& in,
              const std::string& key,
              std::optional<Resource> resource,
              httplib::Response& out);
  void GetResource(const std::string& key, httplib::Response& out);
  void ListResources(const httplib::Request& in, httplib::Response& out);
  void Audit(httplib::Response& out);
  void InForce(const httplib::Request& in, httplib::Response& out);
  void Status(httplib::Response& out);
  void Job(const std::string& operation,
           const httplib::Request& in,
           httplib::Response& out);
  void SubmitJob(const httplib::Request& in, httplib::Response& out);
  bool IsReady();

  EntryState& m_state;
  Store& m_store;
  const Clock& m_clock;
  JobDesk& m_jobs;
  const Metrics m_metrics;
  HttpServer m_server;
  std::atomic<bool> m_draining{false};
};

}  // namespace zinniacart

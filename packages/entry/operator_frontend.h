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

/// The HTTP listener for operators: configuration resources and their audit
/// log, jobs, status, health and metrics. It has a port and threads of its own,
/// separate from the callers'. Handlers report errors as
/// RFC 9457 problem bodies.
class OperatorFrontend final {
 public:
  /// @returns the metrics as Prometheus text.
  using Metrics = std::function<std::string()>;

  OperatorFrontend(EntryState& state,
                   Store& store,
                   const Clock& clock,
                   JobDesk& jobs,
                   Metrics metrics);

  /// Binds `endpoint` and serves.
  /// @returns false if the address cannot be bound.
  bool Start(const Endpoint& endpoint);
  /// Makes `/readyz` report not ready, so that the load balancer stops sending
  /// requests to this entry.
  void BeginDrain() { m_draining = true; }
  /// Stops accepting connections and waits for the requests in flight.
  void Stop();
  int port() const { return m_server.port(); }

 private:
  void ApplyResource(const httplib::Request& http_request,
                     httplib::Response& http_response);
  void DeleteResource(const httplib::Request& http_request,
                      httplib::Response& http_response);
  /// Writes one change of the configuration to the store and puts it in force
  /// here.
  /// @param resource the new resource, or none to delete `key`.
  void WriteChange(const httplib::Request& http_request,
                   const std::string& key,
                   std::optional<Resource> resource,
                   httplib::Response& http_response);
  void GetResource(const std::string& key, httplib::Response& http_response);
  void ListResources(const httplib::Request& http_request,
                     httplib::Response& http_response);
  void GetAudit(httplib::Response& http_response);
  /// Lists the hosts and entries whose configuration is older than `serial`.
  void GetInForce(const httplib::Request& http_request,
                  httplib::Response& http_response);
  void GetStatus(httplib::Response& http_response);
  /// Passes `operation` on the job in the request's path to the job desk.
  void CallJobDesk(const std::string& operation,
                   const httplib::Request& http_request,
                   httplib::Response& http_response);
  void SubmitJob(const httplib::Request& http_request,
                 httplib::Response& http_response);
  /// @returns whether this entry has a session at the store, knows the site's
  /// entries and is not draining.
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

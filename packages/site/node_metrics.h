#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "net/http_server.h"

namespace zinniacart {

/// The Prometheus metrics of one process: a histogram of request durations,
/// gauges, and a counter of refused clients.
class NodeMetrics final {
 public:
  NodeMetrics();

  /// Adds one answered request to the histogram `zinniacart_request_seconds`.
  /// @param kind    label: the type of request, such as "submit".
  /// @param outcome label: the result, such as "stored".
  /// @param took    time from the request's arrival to the response.
  void CountRequest(const std::string& kind,
                    const std::string& outcome,
                    Duration took);

  /// Sets the gauge `name`, which is created on first use.
  /// @param help the gauge's description in the text format.
  void Set(const std::string& name,
           const std::string& help,
           double value,
           const std::map<std::string, std::string>& labels = {});

  /// Sets the gauges of a listener's open connections and held bytes, and the
  /// counter of its refused clients, by reason.
  void ObserveListener(const net::HttpServer& server);

  /// @returns all metrics in Prometheus's text format.
  std::string Write() const;

 private:
  std::shared_ptr<prometheus::Registry> m_registry;
  prometheus::Family<prometheus::Histogram>& m_requests;
  prometheus::Family<prometheus::Counter>& m_refusals;
  prometheus::Family<prometheus::Gauge>& m_open_connections;
  prometheus::Family<prometheus::Gauge>& m_held_bytes;
};

}  // namespace zinniacart

#pragma once

#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "base/clock.h"

namespace zinniacart {

/// The counters and histograms of one daemon.
class NodeMetrics final {
 public:
  NodeMetrics();

  /// Counts one answered request.
  /// @param kind what was asked, as "submit".
  /// @param outcome how it ended, as "stored".
  void CountRequest(const std::string& kind,
                    const std::string& outcome,
                    Duration took);

  /// Sets a value that is read when the metrics are.
  void Set(const std::string& name, const std::string& help, double value);

  /// @returns all of them in Prometheus's text format.
  std::string Write() const;

 private:
  std::shared_ptr<prometheus::Registry> m_registry;
  prometheus::Family<prometheus::Histogram>& m_requests;
};

}  // namespace zinniacart

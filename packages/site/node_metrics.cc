#include "site/node_metrics.h"

#include <prometheus/text_serializer.h>

namespace zinniacart {
namespace {

constexpr double kMillisecondsPerSecond = 1000.0;

/// Histogram bounds in seconds, from the duration of one store call to the
/// longest timeout of a caller.
const prometheus::Histogram::BucketBoundaries kRequestSecondsBounds{
    0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1,
    0.15,  0.2,   0.3,  0.5,  0.75, 1.0,  2.0,   3.0};

}  // namespace

NodeMetrics::NodeMetrics()
    : m_registry(std::make_shared<prometheus::Registry>()),
      m_requests(prometheus::BuildHistogram()
                     .Name("zinniacart_request_seconds")
                     .Help("Time to the answer, by kind and outcome")
                     .Register(*m_registry)),
      m_refusals(prometheus::BuildCounter()
                     .Name("zinniacart_connections_refused_total")
                     .Help("Clients refused or closed, by listener and reason")
                     .Register(*m_registry)),
      m_open_connections(prometheus::BuildGauge()
                             .Name("zinniacart_open_connections")
                             .Help("Open connections, by listener")
                             .Register(*m_registry)),
      m_held_bytes(prometheus::BuildGauge()
                       .Name("zinniacart_held_bytes")
                       .Help("Memory that connections occupy, by listener")
                       .Register(*m_registry)) {}

void NodeMetrics::CountRequest(const std::string& kind,
                               const std::string& outcome,
                               Duration took) {
  m_requests.Add({{"kind", kind}, {"outcome", outcome}}, kRequestSecondsBounds)
      .Observe(static_cast<double>(took.count()) / kMillisecondsPerSecond);
}

void NodeMetrics::Set(const std::string& name,
                      const std::string& help,
                      double value,
                      const std::map<std::string, std::string>& labels) {
  prometheus::BuildGauge()
      .Name(name)
      .Help(help)
      .Register(*m_registry)
      .Add(labels)
      .Set(value);
}

void NodeMetrics::ObserveListener(const net::HttpServer& server) {
  m_open_connections.Add({{"listener", server.name()}})
      .Set(static_cast<double>(server.open_connections()));
  m_held_bytes.Add({{"listener", server.name()}})
      .Set(static_cast<double>(server.held_bytes()));
  for (const auto& [reason, count] : server.refusals()) {
    prometheus::Counter& counter =
        m_refusals.Add({{"listener", server.name()}, {"reason", reason}});
    counter.Increment(static_cast<double>(count) - counter.Value());
  }
}

std::string NodeMetrics::Write() const {
  return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

}  // namespace zinniacart

// Stand-in for the platform's key-value service.
#include <httplib.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>

#include "base/clock.h"
#include "ports/http_server.h"
#include "standin_process.h"

namespace zinniacart::standin {
namespace {

using httplib::Request;
using httplib::Response;

constexpr std::size_t kLargestValueBytes = 1 << 20;

struct Value {
  std::string bytes;
  std::uint64_t version = 0;
  std::string lease;
};

struct Lease {
  Duration ttl{0};
  Instant ends;
};

std::uint64_t Number(const std::string& text) {
  return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

/// The whole store: one map under one lock, with switches for faults.
class KeyValueStore final {
 public:
  void Register(httplib::Server& server) {
    server.Get("/v1/kv/(.+)",
               Guarded("get", [this](auto& in, auto& out) { Get(in, out); }));
    server.Put("/v1/kv/(.+)",
               Guarded("put", [this](auto& in, auto& out) { Put(in, out); }));
    server.Delete("/v1/kv/(.+)", Guarded("delete", [this](auto& in, auto& out) {
                    Delete(in, out);
                  }));
    server.Get("/v1/list",
               Guarded("list", [this](auto& in, auto& out) { List(in, out); }));
    server.Post("/v1/leases", Guarded("lease", [this](auto& in, auto& out) {
                  OpenLease(in, out);
                }));
    server.Put("/v1/leases/(.+)", Guarded("lease", [this](auto& in, auto& out) {
                 RenewLease(in, out);
               }));
    server.Post("/v1/faults", [this](auto& in, auto&) { SetFaults(in); });
    server.Get("/v1/stats", [this](auto&, auto& out) { Stats(out); });
  }

 private:
  using Handler = std::function<void(const Request&, Response&)>;

  /// Counts the call and applies the faults that are switched on.
  httplib::Server::Handler Guarded(std::string kind, Handler handler) {
    return [this, kind, handler](const Request& request, Response& response) {
      Duration delay{0};
      {
        const std::lock_guard lock(m_mutex);
        ++m_calls[kind];
        m_bytes_in += request.body.size();
        if (m_clock.Now() < m_outage_until) {
          response.status = 503;
          return;
        }
        delay = m_delay;
      }
      if (delay.count() > 0) {
        std::this_thread::sleep_for(delay);
      }
      handler(request, response);
      const std::lock_guard lock(m_mutex);
      m_bytes_out += response.body.size();
      if (kind == "put" && m_lost_answers > 0) {
        --m_lost_answers;
        response = Response();
        response.status = 504;
      }
    };
  }

  void DropLapsed() {
    const Instant now = m_clock.Now();
    std::erase_if(m_leases, [&](auto& row) { return row.second.ends < now; });
    std::erase_if(m_values, [&](auto& row) {
      const std::string& lease = row.second.lease;
      return !lease.empty() && m_leases.count(lease) == 0;
    });
  }

  void Get(const Request& request, Response& response) {
    const std::uint64_t known = Number(request.get_param_value("known"));
    const Duration wait(Number(request.get_param_value("wait_ms")));
    const std::string key = request.matches[1];
    std::unique_lock lock(m_mutex);
    const auto changed = [&] {
      DropLapsed();
      const auto found = m_values.find(key);
      return (found == m_values.end() ? 0 : found->second.version) != known;
    };
    if (known != 0 || wait.count() > 0) {
      if (!m_change.wait_for(lock, wait, changed)) {
        response.status = 304;
        return;
      }
    }
    DropLapsed();
    const auto found = m_values.find(key);
    if (found == m_values.end()) {
      response.status = 404;
      return;
    }
    response.set_header("ETag",
                        '"' + std::to_string(found->second.version) + '"');
    response.set_content(found->second.bytes, "application/octet-stream");
  }

  void Put(const Request& request, Response& response) {
    if (request.body.size() > kLargestValueBytes) {
      response.status = 413;
      return;
    }
    const std::lock_guard lock(m_mutex);
    DropLapsed();
    const std::string lease = request.get_param_value("lease");
    if (!lease.empty() && m_leases.count(lease) == 0) {
      response.status = 404;
      return;
    }
    const std::uint64_t expected = Number(request.get_header_value("If-Match"));
    const auto found = m_values.find(request.matches[1]);
    const std::uint64_t current =
        found == m_values.end() ? 0 : found->second.version;
    if (current != expected) {
      response.status = 412;
      return;
    }
    const std::uint64_t version = ++m_last_version;
    m_values[request.matches[1]] = Value{request.body, version, lease};
    m_change.notify_all();
    response.set_header("ETag", '"' + std::to_string(version) + '"');
  }

  void Delete(const Request& request, Response& response) {
    const std::lock_guard lock(m_mutex);
    DropLapsed();
    const auto found = m_values.find(request.matches[1]);
    if (found == m_values.end()) {
      response.status = 404;
      return;
    }
    if (found->second.version != Number(request.get_header_value("If-Match"))) {
      response.status = 412;
      return;
    }
    m_values.erase(found);
    m_change.notify_all();
  }

  void List(const Request& request, Response& response) {
    const std::string prefix = request.get_param_value("prefix");
    const std::lock_guard lock(m_mutex);
    DropLapsed();
    nlohmann::json rows = nlohmann::json::array();
    for (auto row = m_values.lower_bound(prefix);
         row != m_values.end() && row->first.starts_with(prefix); ++row) {
      const std::string& bytes = row->second.bytes;
      rows.push_back(
          {{"key", row->first},
           {"version", row->second.version},
           {"value", nlohmann::json::binary({bytes.begin(), bytes.end()})}});
    }
    const auto packed = nlohmann::json::to_msgpack(rows);
    response.set_content(std::string(packed.begin(), packed.end()),
                         "application/msgpack");
  }

  void OpenLease(const Request& request, Response& response) {
    const std::lock_guard lock(m_mutex);
    const Duration ttl(Number(request.get_param_value("ttl_ms")));
    const std::string id = "lease-" + std::to_string(++m_last_lease);
    m_leases[id] = Lease{ttl, m_clock.Now() + ttl};
    response.set_content(id, "text/plain");
  }

  void RenewLease(const Request& request, Response& response) {
    const std::lock_guard lock(m_mutex);
    DropLapsed();
    const auto found = m_leases.find(request.matches[1]);
    if (found == m_leases.end()) {
      response.status = 404;
      return;
    }
    found->second.ends = m_clock.Now() + found->second.ttl;
  }

  void SetFaults(const Request& request) {
    const std::lock_guard lock(m_mutex);
    if (request.has_param("outage_ms")) {
      m_outage_until = m_clock.Now() +
                       Duration(Number(request.get_param_value("outage_ms")));
    }
    if (request.has_param("lose_answers")) {
      m_lost_answers = Number(request.get_param_value("lose_answers"));
    }
    if (request.has_param("delay_ms")) {
      m_delay = Duration(Number(request.get_param_value("delay_ms")));
    }
  }

  void Stats(Response& response) {
    const std::lock_guard lock(m_mutex);
    const nlohmann::json body{{"calls", m_calls},
                              {"bytes_in", m_bytes_in},
                              {"bytes_out", m_bytes_out}};
    response.set_content(body.dump(), "application/json");
  }

  SteadyClock m_clock;
  std::mutex m_mutex;
  std::condition_variable m_change;
  std::map<std::string, Value> m_values;
  std::map<std::string, Lease> m_leases;
  std::map<std::string, std::uint64_t> m_calls;
  std::uint64_t m_bytes_in = 0;
  std::uint64_t m_bytes_out = 0;
  std::uint64_t m_last_version = 0;
  std::uint64_t m_last_lease = 0;
  Instant m_outage_until;
  std::uint64_t m_lost_answers = 0;
  Duration m_delay{0};
};

}  // namespace
}  // namespace zinniacart::standin

int main(int argc, char** argv) {
  using namespace zinniacart;
  CLI::App app{"Stand-in for the platform's key-value service"};
  int port = 0;
  app.add_option("--port", port, "Port on 127.0.0.1; 0: the kernel chooses");
  CLI11_PARSE(app, argc, argv);
  const sigset_t signals = standin::BlockStopSignals();
  standin::KeyValueStore store;
  HttpServer server(HttpServerLimits{512, 60, 2 << 20});
  store.Register(server.server());
  if (!server.Start(Endpoint{"127.0.0.1", port})) {
    std::fprintf(stderr, "cannot bind port %d\n", port);
    return 1;
  }
  standin::ServeUntilStopped(signals, server.port());
  server.Stop();
  return 0;
}

// Stand-in for a backend server: echoes bodies and counts what it ran.
#include <httplib.h>

#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "ports/http_client.h"
#include "ports/http_server.h"
#include "standin_process.h"

namespace zinniacart::standin {
namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr Duration kAnnounceInterval{500};

/// Announces this server to its agent until destroyed.
class Announcer final {
 public:
  Announcer(Endpoint agent, json announcement)
      : m_client(std::move(agent), Duration(1000)),
        m_announcement(std::move(announcement)),
        m_thread([this] { Run(); }) {}

  ~Announcer() {
    m_stopping = true;
    m_thread.join();
    m_client.Call("POST", "/v1/withdraw", m_announcement.dump());
  }

 private:
  void Run() {
    while (!m_stopping) {
      m_client.Call("POST", "/v1/announce", m_announcement.dump());
      std::this_thread::sleep_for(kAnnounceInterval);
    }
  }

  HttpClient m_client;
  const json m_announcement;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

class EchoServer final {
 public:
  explicit EchoServer(Duration service_time) : m_service_time(service_time) {}

  void Register(httplib::Server& server) {
    server.Get("/ledger", [this](auto&, auto& out) {
      const std::lock_guard lock(m_mutex);
      out.set_content(json(m_runs).dump(), "application/json");
    });
    const auto handler = [this](const Request& in, Response& out) {
      Serve(in, out);
    };
    server.Get(".*", handler);
    server.Post(".*", handler);
    server.Put(".*", handler);
  }

 private:
  void Serve(const Request& request, Response& response) {
    if (request.has_header("Idempotency-Key")) {
      const std::lock_guard lock(m_mutex);
      ++m_runs[request.get_header_value("Idempotency-Key")];
    }
    Duration pause = m_service_time;
    if (request.has_header("X-Work-Ms")) {
      pause =
          Duration(std::atoi(request.get_header_value("X-Work-Ms").c_str()));
    }
    if (pause.count() > 0) {
      std::this_thread::sleep_for(pause);
    }
    response.set_content(request.path + "\n" + request.body, "text/plain");
  }

  const Duration m_service_time;
  std::mutex m_mutex;
  std::map<std::string, int> m_runs;
};

}  // namespace
}  // namespace zinniacart::standin

int main(int argc, char** argv) {
  using namespace zinniacart;
  CLI::App app{"Stand-in for a backend server"};
  int port = 0;
  int service_time_ms = 0;
  std::string agent;
  std::string service = "echo";
  std::string name;
  app.add_option("--port", port, "Port on 127.0.0.1; 0: the kernel chooses");
  app.add_option("--agent", agent, "The agent's local ip:port");
  app.add_option("--service", service, "Service to announce");
  app.add_option("--name", name, "Name to announce")->required();
  app.add_option("--service-time-ms", service_time_ms, "Pause per request");
  CLI11_PARSE(app, argc, argv);
  const sigset_t signals = standin::BlockStopSignals();
  standin::EchoServer echo{Duration(service_time_ms)};
  HttpServer server(HttpServerLimits{256, 60, 16 << 20});
  echo.Register(server.server());
  if (!server.Start(Endpoint{"127.0.0.1", port})) {
    std::fprintf(stderr, "cannot bind port %d\n", port);
    return 1;
  }
  if (agent.empty()) {
    standin::ServeUntilStopped(signals, server.port());
    return 0;
  }
  const auto endpoint = Endpoint::Parse(agent, "agent");
  if (!endpoint) {
    std::fprintf(stderr, "%s\n", endpoint.error().detail.c_str());
    return 2;
  }
  const Endpoint own{"127.0.0.1", server.port()};
  standin::Announcer announcer(*endpoint,
                               nlohmann::json{{"service", service},
                                              {"backend", name},
                                              {"address", own.ToString()}});
  standin::ServeUntilStopped(signals, server.port());
  return 0;
}

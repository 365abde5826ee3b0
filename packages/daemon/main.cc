#include <signal.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "agent/agent_daemon.h"
#include "base/logging.h"
#include "configuration/resource.h"
#include "entry/entry_daemon.h"

namespace zinniacart {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitInvalidSetting = 64;

/// The settings as given by flags and environment variables, not validated.
struct RawSettings {
  std::string role;
  std::string name;
  std::string domain;
  std::string rpc = "127.0.0.1:0";
  std::string callers = "127.0.0.1:0";
  std::string operators = "127.0.0.1:0";
  std::string local = "127.0.0.1:0";
  std::string store;
  std::string worker;
  std::string advertised;
  std::vector<std::string> entries;
  std::uint32_t shards = EntrySettings().shards;
  int caller_threads = EntrySettings().caller_threads;
  int drain_ms = -1;
};

/// Prints which flag is invalid and why to standard error.
/// @returns the exit code for an invalid setting.
int ReportInvalidSetting(const Error& error) {
  std::fprintf(stderr, "zinniacartd: --%s: %s\n", error.field.c_str(),
               error.detail.c_str());
  return kExitInvalidSetting;
}

/// Blocks SIGTERM and SIGINT in this thread and in the threads it starts later,
/// so that `WaitForStopSignal` receives them.
/// @returns the blocked signals.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/// Raises the limit of open files to the hard limit, because each connection
/// takes a file descriptor.
void RaiseFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

/// @returns `name`, or an error about `field` if it is not a valid name.
Result<std::string> CheckName(const std::string& name,
                              const std::string& field) {
  return ParseName(nlohmann::json{{field, name}}, field);
}

/// An address setting: its text, the name of its flag and the endpoint that
/// receives the parsed address.
struct AddressSetting {
  const std::string* text;
  const char* field;
  Endpoint* endpoint;

  Result<void> Parse() const {
    const auto parsed = Endpoint::Parse(*text, field);
    if (!parsed) {
      return tl::unexpected(parsed.error());
    }
    *endpoint = *parsed;
    return {};
  }
};

Result<EntrySettings> ToEntrySettings(const RawSettings& raw) {
  EntrySettings settings;
  const auto name = CheckName(raw.name, "name");
  const auto domain = CheckName(raw.domain, "domain");
  for (const auto* text : {&name, &domain}) {
    if (!*text) {
      return tl::unexpected(text->error());
    }
  }
  settings.entry = EntryId(*name);
  settings.domain = DomainId(*domain);
  for (const AddressSetting& address :
       {AddressSetting{&raw.callers, "callers", &settings.callers},
        AddressSetting{&raw.operators, "operators", &settings.operators},
        AddressSetting{&raw.rpc, "rpc", &settings.rpc},
        AddressSetting{&raw.store, "store", &settings.store}}) {
    const auto parsed = address.Parse();
    if (!parsed) {
      return tl::unexpected(parsed.error());
    }
  }
  settings.shards = raw.shards;
  settings.caller_threads = raw.caller_threads;
  if (raw.drain_ms >= 0) {
    settings.drain_time = Duration(raw.drain_ms);
  }
  return settings;
}

Result<AgentSettings> ToAgentSettings(const RawSettings& raw) {
  AgentSettings settings;
  const auto name = CheckName(raw.name, "name");
  const auto domain = CheckName(raw.domain, "domain");
  for (const auto* text : {&name, &domain}) {
    if (!*text) {
      return tl::unexpected(text->error());
    }
  }
  settings.host = HostId(*name);
  settings.domain = DomainId(*domain);
  for (const AddressSetting& address :
       {AddressSetting{&raw.rpc, "rpc", &settings.rpc},
        AddressSetting{&raw.local, "local", &settings.local},
        AddressSetting{&raw.worker, "worker", &settings.worker}}) {
    const auto parsed = address.Parse();
    if (!parsed) {
      return tl::unexpected(parsed.error());
    }
  }
  if (!raw.advertised.empty()) {
    const auto endpoint = Endpoint::Parse(raw.advertised, "advertise");
    if (!endpoint) {
      return tl::unexpected(endpoint.error());
    }
    settings.advertised = *endpoint;
  }
  if (raw.entries.empty()) {
    return Fail(ErrorCode::kInvalidArgument, "at least one is needed", "entry");
  }
  for (const std::string& text : raw.entries) {
    const auto endpoint = Endpoint::Parse(text, "entry");
    if (!endpoint) {
      return tl::unexpected(endpoint.error());
    }
    settings.entries.push_back(*endpoint);
  }
  if (raw.drain_ms >= 0) {
    settings.drain_time = Duration(raw.drain_ms);
  }
  return settings;
}

/// Flushes standard output and blocks until one of `signals` arrives.
void WaitForStopSignal(const sigset_t& signals) {
  std::fflush(stdout);
  int signal_number = 0;
  sigwait(&signals, &signal_number);
}

int RunEntry(const RawSettings& raw, const sigset_t& signals) {
  const auto settings = ToEntrySettings(raw);
  if (!settings) {
    return ReportInvalidSetting(settings.error());
  }
  EntryDaemon daemon(*settings);
  const auto started = daemon.Start();
  if (!started) {
    return ReportInvalidSetting(started.error());
  }
  std::printf("ready callers=%d operators=%d rpc=%d\n", daemon.caller_port(),
              daemon.operator_port(), daemon.rpc_port());
  WaitForStopSignal(signals);
  daemon.Stop();
  return kExitOk;
}

int RunAgent(const RawSettings& raw, const sigset_t& signals) {
  const auto settings = ToAgentSettings(raw);
  if (!settings) {
    return ReportInvalidSetting(settings.error());
  }
  AgentDaemon daemon(*settings);
  const auto started = daemon.Start();
  if (!started) {
    return ReportInvalidSetting(started.error());
  }
  std::printf("ready rpc=%d local=%d\n", daemon.rpc_port(),
              daemon.local_port());
  WaitForStopSignal(signals);
  daemon.Stop();
  return kExitOk;
}

}  // namespace
}  // namespace zinniacart

int main(int argc, char** argv) {
  using namespace zinniacart;
  RawSettings raw;
  CLI::App app{"zinniacart daemon: routes requests and places work"};
  app.add_option("--role", raw.role, "entry or agent")
      ->required()
      ->check(CLI::IsMember({"entry", "agent"}))
      ->envname("ZINNIACART_ROLE");
  app.add_option("--name", raw.name, "This entry's or host's name")
      ->required()
      ->envname("ZINNIACART_NAME");
  app.add_option("--domain", raw.domain, "This process's failure domain")
      ->required()
      ->envname("ZINNIACART_DOMAIN");
  app.add_option("--rpc", raw.rpc, "ip:port for agents and entries")
      ->envname("ZINNIACART_RPC");
  app.add_option("--callers", raw.callers, "entry: ip:port for callers")
      ->envname("ZINNIACART_CALLERS");
  app.add_option("--operators", raw.operators,
                 "entry: ip:port for operators, health and metrics")
      ->envname("ZINNIACART_OPERATORS");
  app.add_option("--store", raw.store, "entry: ip:port of the store")
      ->envname("ZINNIACART_STORE");
  app.add_option("--shards", raw.shards,
                 "entry: shards of the site; equal on all entries")
      ->check(CLI::Range(1, 65536))
      ->envname("ZINNIACART_SHARDS");
  app.add_option("--caller-threads", raw.caller_threads,
                 "entry: caller connections served at once")
      ->check(CLI::Range(1, 4096))
      ->envname("ZINNIACART_CALLER_THREADS");
  app.add_option("--local", raw.local,
                 "agent: ip:port for backend servers, health and metrics")
      ->envname("ZINNIACART_LOCAL");
  app.add_option("--advertise", raw.advertised,
                 "agent: ip:port that entries reach, if not that of --rpc")
      ->envname("ZINNIACART_ADVERTISE");
  app.add_option("--worker", raw.worker, "agent: ip:port of the worker")
      ->envname("ZINNIACART_WORKER");
  app.add_option("--entry", raw.entries, "agent: ip:port of an entry's rpc")
      ->delimiter(',')
      ->envname("ZINNIACART_ENTRIES");
  app.add_option("--drain-ms", raw.drain_ms,
                 "Time between the stop signal and the last refusal, in ms")
      ->check(CLI::Range(0, 600000))
      ->envname("ZINNIACART_DRAIN_MS");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? kExitOk : kExitInvalidSetting;
  }
  const sigset_t signals = BlockStopSignals();
  RaiseFileLimit();
  StartLogging("zinniacartd-" + raw.role);
  return raw.role == "entry" ? RunEntry(raw, signals) : RunAgent(raw, signals);
}

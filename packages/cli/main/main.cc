#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "cli/load_generator.h"
#include "cli/operator_client.h"
#include "cli/table.h"

namespace zinniacart {
namespace {

using nlohmann::json;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitConflict = 3;
constexpr int kExitUnavailable = 4;
constexpr int kExitUnknown = 5;
constexpr int kExitBadSetting = 64;
constexpr std::chrono::milliseconds kWatchPause{300};
constexpr Duration kInForcePatience{12'000};

/// Everything the command line can say.
struct Arguments {
  std::string entry = "127.0.0.1:7001";
  std::string author = "operator";
  std::string output = "table";
  std::string file = "-";
  std::string what;
  std::string kind;
  std::string name;
  std::uint64_t expected = 0;
  bool has_expected = false;
  bool wait = false;
  LoadSettings load;
};

int ExitCodeOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kConflict:
    case ErrorCode::kPreconditionFailed:
      return kExitConflict;
    case ErrorCode::kStoreUnavailable:
    case ErrorCode::kNotReady:
    case ErrorCode::kUnreachable:
      return kExitUnavailable;
    case ErrorCode::kOutcomeUnknown:
      return kExitUnknown;
    default:
      return kExitFailed;
  }
}

int Report(const Error& error) {
  const std::string field =
      error.field.empty() ? std::string() : " (" + error.field + ")";
  std::fprintf(stderr, "zinniacart: %s%s: %s\n", ToString(error.code),
               field.c_str(), error.detail.c_str());
  return ExitCodeOf(error.code);
}

int Print(const Arguments& arguments, const Result<json>& answer) {
  if (!answer) {
    return Report(answer.error());
  }
  const std::string text =
      arguments.output == "json" ? answer->dump(2) + "\n" : ToTable(*answer);
  std::fputs(text.c_str(), stdout);
  std::fflush(stdout);
  return kExitOk;
}

Result<json> ReadDeclarations(const std::string& file) {
  std::string text;
  if (file == "-") {
    text.assign(std::istreambuf_iterator<char>(std::cin), {});
  } else {
    std::ifstream stream(file);
    if (!stream) {
      return Fail(ErrorCode::kNotFound, "cannot read " + file, "file");
    }
    text.assign(std::istreambuf_iterator<char>(stream), {});
  }
  json body = json::parse(text, nullptr, false);
  if (body.is_discarded()) {
    return Fail(ErrorCode::kInvalidArgument, "malformed JSON", "file");
  }
  return body.is_array() ? body : json::array({body});
}

int ApplyOne(OperatorClient& client,
             const Arguments& arguments,
             const json& body) {
  const auto expected =
      arguments.has_expected ? std::optional(arguments.expected) : std::nullopt;
  const auto answer = client.Apply(body, expected);
  const int code = Print(arguments, answer);
  if (code != kExitOk || !arguments.wait || !answer->contains("serial")) {
    return code;
  }
  const auto in_force =
      client.AwaitInForce(answer->at("serial"), kInForcePatience);
  return in_force ? kExitOk : Report(in_force.error());
}

int Apply(OperatorClient& client, const Arguments& arguments) {
  const auto declarations = ReadDeclarations(arguments.file);
  if (!declarations) {
    return Report(declarations.error());
  }
  for (const auto& body : *declarations) {
    const int code = ApplyOne(client, arguments, body);
    if (code != kExitOk) {
      return code;
    }
  }
  return kExitOk;
}

bool IsFinalJob(const json& job) {
  const std::string status = job.value("status", "");
  return status == "finished" || status == "failed" || status == "cancelled";
}

int Watch(OperatorClient& client, const Arguments& arguments) {
  json last;
  while (true) {
    const auto answer = client.Get(arguments.what);
    const bool lasting = !answer &&
                         answer.error().code != ErrorCode::kUnreachable &&
                         answer.error().code != ErrorCode::kNotReady &&
                         answer.error().code != ErrorCode::kOutcomeUnknown;
    if (lasting) {
      return Report(answer.error());
    }
    if (answer && *answer != last) {
      last = *answer;
      Print(arguments, answer);
      if (arguments.what.starts_with("job/") && IsFinalJob(last)) {
        return last["status"] == "finished" ? kExitOk : kExitFailed;
      }
    }
    std::this_thread::sleep_for(kWatchPause);
  }
}

int SetAvailable(OperatorClient& client,
                 const Arguments& arguments,
                 bool available) {
  return ApplyOne(client, arguments,
                  json{{"kind", arguments.kind},
                       {"name", arguments.name},
                       {"available", available}});
}

int Explain(OperatorClient& client, const Arguments& arguments) {
  const auto job = client.Get("job/" + arguments.what);
  if (!job) {
    return Report(job.error());
  }
  json rows = json::array();
  for (const auto& task : job->at("tasks")) {
    rows.push_back({{"task", task.at("task")},
                    {"status", task.at("status")},
                    {"host", task.at("host")},
                    {"failures", task.at("failures")},
                    {"reason", task.value("reason", "")}});
  }
  return Print(arguments, rows);
}

void AddChangeCommand(CLI::App& app,
                      const char* name,
                      const char* help,
                      Arguments& arguments) {
  auto* command = app.add_subcommand(name, help);
  command->add_option("kind", arguments.kind, "domain, host or backend")
      ->required()
      ->check(CLI::IsMember({"domain", "host", "backend"}));
  command->add_option("name", arguments.name, "Its name")->required();
  command->add_flag("--wait", arguments.wait, "Return when in force");
}

void AddNamed(CLI::App& app,
              const char* name,
              const char* help,
              const char* argument_help,
              Arguments& arguments) {
  auto* command = app.add_subcommand(name, help);
  command->add_option("what", arguments.what, argument_help)->required();
}

void AddBench(CLI::App& app, Arguments& arguments) {
  auto* bench = app.add_subcommand("bench", "Puts load on an entry");
  LoadSettings& load = arguments.load;
  bench->add_option("--target", load.target, "ip:port")->required();
  bench->add_option("--path", load.path, "Path, as in /s/SERVICE/x");
  bench->add_option("--method", load.method, "HTTP method");
  bench->add_option("--baseline", load.baseline,
                    "ip:port to measure in turn, for the ratio");
  bench->add_option("--baseline-path", load.baseline_path, "Its path");
  bench->add_option("--callers", load.callers, "Concurrent callers")
      ->check(CLI::Range(1, 1024));
  bench->add_option("--requests", load.requests, "Requests per caller")
      ->check(CLI::Range(1, 10'000'000));
  bench->add_option("--body-bytes", load.body_bytes, "Size of each body");
  bench->add_option("--timeout-ms", load.timeout_ms, "Deadline per request");
}

int RunCommand(const CLI::App& app, const Arguments& arguments) {
  const auto entry = Endpoint::Parse(arguments.entry, "entry");
  if (!entry) {
    Report(entry.error());
    return kExitBadSetting;
  }
  OperatorClient client(*entry, arguments.author);
  const std::string command = app.get_subcommands().front()->get_name();
  if (command == "apply") {
    return Apply(client, arguments);
  }
  if (command == "get") {
    return Print(arguments, client.Get(arguments.what));
  }
  if (command == "watch") {
    return Watch(client, arguments);
  }
  if (command == "delete") {
    return Print(arguments, client.Delete(arguments.what));
  }
  if (command == "cancel") {
    return Print(arguments, client.Delete("job/" + arguments.what));
  }
  if (command == "drain") {
    return SetAvailable(client, arguments, false);
  }
  if (command == "restore") {
    return SetAvailable(client, arguments, true);
  }
  if (command == "status") {
    return Print(arguments, client.Read("/v1/status"));
  }
  if (command == "audit") {
    return Print(arguments, client.Read("/v1/audit"));
  }
  if (command == "explain") {
    return Explain(client, arguments);
  }
  return Print(arguments, RunLoad(arguments.load));
}

}  // namespace
}  // namespace zinniacart

int main(int argc, char** argv) {
  using namespace zinniacart;
  Arguments arguments;
  CLI::App app{"zinniacart: operators' command line"};
  app.require_subcommand(1);
  app.add_option("--entry", arguments.entry, "An entry's operators' ip:port")
      ->envname("ZINNIACART_ENTRY");
  app.add_option("--author", arguments.author, "Stands in the audit trail")
      ->envname("ZINNIACART_AUTHOR");
  app.add_option("--output", arguments.output, "table or json")
      ->check(CLI::IsMember({"table", "json"}));
  auto* apply = app.add_subcommand("apply", "Declares resources, submits jobs");
  apply->add_option("-f,--file", arguments.file, "JSON file, - for stdin");
  auto* expected = apply->add_option("--if-serial", arguments.expected,
                                     "Only if this serial changed it last");
  apply->add_flag("--wait", arguments.wait, "Return when in force");
  AddNamed(app, "get", "Shows resources", "KIND, KIND/NAME or job/TEAM/NAME",
           arguments);
  AddNamed(app, "watch", "Follows a resource", "KIND/NAME or job/TEAM/NAME",
           arguments);
  AddNamed(app, "delete", "Deletes a resource", "KIND/NAME", arguments);
  AddNamed(app, "cancel", "Cancels a job", "TEAM/NAME", arguments);
  AddNamed(app, "explain", "Says why tasks wait", "TEAM/NAME", arguments);
  AddChangeCommand(app, "drain", "Takes something out", arguments);
  AddChangeCommand(app, "restore", "Brings something back", arguments);
  app.add_subcommand("status", "Shows entries, hosts and backend servers");
  app.add_subcommand("audit", "Shows every accepted change");
  AddBench(app, arguments);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? kExitOk : kExitBadSetting;
  }
  arguments.has_expected = expected->count() > 0;
  return RunCommand(app, arguments);
}

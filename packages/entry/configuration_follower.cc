#include "entry/configuration_follower.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "base/logging.h"
#include "configuration/configuration_writer.h"

namespace zinniacart {
namespace {

constexpr Duration kWatchTimeout{5'000};
constexpr Duration kRetryInterval{200};

}  // namespace

ConfigurationFollower::ConfigurationFollower(EntryState& state,
                                             Store& store,
                                             const Clock& clock)
    : m_state(state), m_store(store), m_clock(clock) {}

ConfigurationFollower::~ConfigurationFollower() {
  Stop();
}

void ConfigurationFollower::Start() {
  m_running = true;
  m_thread = std::thread([this] { Run(); });
}

void ConfigurationFollower::Stop() {
  if (m_thread.joinable()) {
    m_running = false;
    m_thread.join();
  }
}

bool ConfigurationFollower::Refresh() {
  return Apply(m_store.GetIfChanged(ConfigurationWriter::Key(),
                                    StoreVersion(m_version)));
}

void ConfigurationFollower::Run() {
  while (m_running) {
    const auto value = m_store.Watch(ConfigurationWriter::Key(),
                                     StoreVersion(m_version), kWatchTimeout);
    if (!Apply(value)) {
      std::this_thread::sleep_for(kRetryInterval);
    }
  }
}

bool ConfigurationFollower::Apply(const Result<StoreValue>& value) {
  if (!value) {
    // The key does not exist, as no configuration was ever written: the empty
    // configuration is the newest.
    return value.error().code == ErrorCode::kNotFound && m_version == 0;
  }
  if (value->bytes.empty()) {
    return true;
  }
  const auto configuration = Configuration::Parse(value->bytes);
  if (!configuration) {
    LogError("configuration.unreadable",
             {{"detail", configuration.error().detail}});
    return false;
  }
  PutInForce(m_state, *configuration, m_clock.Now());
  std::uint64_t known = m_version;
  while (known < value->version.value() &&
         !m_version.compare_exchange_weak(known, value->version.value())) {
  }
  return true;
}

void PutInForce(EntryState& state,
                const Configuration& configuration,
                Instant now) {
  const std::lock_guard lock(state.mutex);
  if (configuration.serial() <= state.configuration->serial()) {
    return;
  }
  state.configuration = std::make_shared<Configuration>(configuration);
  if (state.owner) {
    state.owner->OnConfiguration(configuration, now);
  }
  LogInfo("configuration.in-force",
          {{"serial", configuration.serial().value()}});
}

}  // namespace zinniacart

#include "site/entry_node.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/logging.h"
#include "site/peer_paths.h"
#include "site/store_keys.h"

namespace zinniacart {
namespace {

/// Deadline for storing a request that another entry relays. The attempts end
/// `JobIntake`'s answer margin earlier, so that the reply reaches the relaying
/// entry before its own timeout.
constexpr Duration kRelayedRequestTimeout{900};

/// Interval of the checks whether this entry should ask for the ownership.
constexpr Duration kHandOverCheckInterval{500};
constexpr Duration kHandOverRequestTimeout{700};

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;

int StatusOf(IntakeOutcome outcome) {
  switch (outcome) {
    case IntakeOutcome::kStored:
      return kOk;
    case IntakeOutcome::kNotFound:
      return kGone;
    case IntakeOutcome::kRefused:
      return kUnavailable;
    case IntakeOutcome::kUnknown:
      return kTimeout;
  }
  return kTimeout;
}

/// @returns the part of the request's target after `prefix`, nothing if the
/// target does not begin with it.
std::optional<std::string> TargetSuffix(const net::Request& request,
                                        const std::string& prefix) {
  if (!request.target.starts_with(prefix)) {
    return std::nullopt;
  }
  return request.target.substr(prefix.size());
}

}  // namespace

EntryNode::EntryNode(boost::asio::io_context& loop,
                     StorePort& store,
                     EntrySiteSettings settings,
                     const Clock& clock)
    : m_loop(loop),
      m_settings(std::move(settings)),
      m_clock(clock),
      m_store(loop, store, m_settings.store_availability, clock),
      m_peers(loop, m_settings.to_peers),
      m_succession(m_settings.entry, m_settings.owner.cores, clock),
      m_hand_over_timer(loop),
      m_registration(loop,
                     m_store,
                     store_keys::Entry(m_settings.entry),
                     EncodeEntryRecord(EntryRecord{m_settings.owner.address,
                                                   m_settings.owner.cores})) {
  m_owner =
      std::make_unique<Owner>(loop, m_store, m_peers, m_settings.owner, clock);
  m_intake = std::make_unique<JobIntake>(loop, m_store, m_peers, m_directory,
                                         *m_owner, m_settings.entry, clock);
  m_entries_follower = std::make_unique<PrefixFollower>(
      loop, m_store, store_keys::kEntriesPrefix, CatchUp::kByChanges,
      [this](const StoreSnapshot& snapshot) {
        m_directory.OnSnapshot(snapshot);
        OnDirectoryChanged();
      },
      [this](const StoreEvent& event) {
        m_directory.OnEvent(event);
        OnDirectoryChanged();
      },
      clock, [this](bool answering) { m_succession.OnStoreHealth(answering); });
}

Result<void> EntryNode::Start() {
  m_peer_server = std::make_unique<net::HttpServer>(
      m_loop, m_settings.peer_listener,
      [this](net::Request request, net::Responder respond) {
        HandlePeer(std::move(request), std::move(respond));
      });
  const auto listening =
      m_peer_server->Listen(m_settings.ip, m_settings.peer_port);
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  m_store.Start();
  m_entries_follower->Start();
  m_owner->Start();
  m_registration.Start();
  CheckForHandOver();
  return {};
}

void EntryNode::OnDirectoryChanged() {
  const auto& owner = m_directory.owner();
  m_succession.OnView(m_directory.entries(),
                      owner ? std::optional(owner->entry) : std::nullopt);
  m_owner->SetStandbyDelay(m_succession.StandbyDelay());
  m_owner->OnOwnershipView(m_directory.ownership());
}

void EntryNode::CheckForHandOver() {
  m_hand_over_timer.After(kHandOverCheckInterval,
                          [this] { CheckForHandOver(); });
  const auto& owner = m_directory.owner();
  if (!owner || !m_succession.ShouldRequestHandOver()) {
    return;
  }
  LogInfo("asking the owner to hand the ownership over to this entry",
          {{"owner", owner->entry.value()}});
  m_peers.Post(
      owner->address, peer_paths::kHandOver + m_settings.entry.value(), {},
      kHandOverRequestTimeout, [](const Result<net::Response>& response) {
        if (!response) {
          LogInfo("request to hand over got no response from the owner",
                  {{"reason", response.error().detail}});
        }
      });
}

void EntryNode::HandOver(const EntryId& to, const net::Responder& respond) {
  if (m_succession.ShouldHandOverTo(to)) {
    m_owner->HandOver(to);
  }
  respond(net::Response{kOk, {}, {}});
}

void EntryNode::OnConfiguration(SiteConfiguration configuration) {
  if (m_configuration && configuration.version <= m_configuration->version) {
    return;
  }
  LogInfo("new configuration in force", {{"version", configuration.version}});
  m_owner->OnConfiguration(configuration);
  m_configuration = std::move(configuration);
}

void EntryNode::OnEvacuated(std::set<DomainId> domains) {
  m_owner->SetDrainedDomains(domains);
}

void EntryNode::OnWaves(std::map<WaveId, WaveSpec> waves) {
  m_owner->SetWaves(std::move(waves));
}

void EntryNode::Retire(std::function<void()> done) {
  m_hand_over_timer.Cancel();
  m_owner->Retire(std::move(done));
}

void EntryNode::HandlePeer(net::Request request, net::Responder respond) {
  if (request.target.starts_with("/entry/")) {
    return HandleRelayedRequest(request, std::move(respond));
  }
  HandleOwnerRequest(request, std::move(respond));
}

void EntryNode::HandleRelayedRequest(const net::Request& request,
                                     net::Responder respond) {
  const Instant deadline = m_clock.Now() + kRelayedRequestTimeout;
  const auto answer = [respond](const IntakeReply& reply) {
    respond(net::Response{StatusOf(reply.outcome), {}, {}});
  };
  if (const auto id = TargetSuffix(request, peer_paths::kStoreJob)) {
    auto record = DecodeJobRecord(JobId(*id), request.body);
    if (!record) {
      LogError("relayed job refused: its record cannot be parsed",
               {{"job", *id}, {"detail", record.error().detail}});
      return respond(net::Response{kUnavailable, {}, {}});
    }
    if (!ApplyNewerConfiguration(*record)) {
      LogInfo("relayed job refused: its queue is no longer declared",
              {{"job", *id},
               {"queue", record->queue.value()},
               {"accepted_by_version", record->policy_version},
               {"version", m_configuration->version}});
      return respond(net::Response{kConflict, {}, {}});
    }
    return m_intake->Accept(*record, deadline, false, answer);
  }
  if (const auto id = TargetSuffix(request, peer_paths::kCancelJob)) {
    return m_intake->Cancel(JobId(*id), deadline, false, answer);
  }
  respond(net::Response{kNotFound, {}, {}});
}

bool EntryNode::ApplyNewerConfiguration(JobRecord& record) const {
  if (!m_configuration || m_configuration->version <= record.policy_version) {
    return true;
  }
  const Queue* queue = m_configuration->Find(record.queue);
  if (queue == nullptr) {
    return false;
  }
  record.policy = queue->policy;
  record.policy_version = m_configuration->version;
  return true;
}

void EntryNode::HandleOwnerRequest(const net::Request& request,
                                   net::Responder respond) {
  if (request.target.starts_with(peer_paths::kJobStored) ||
      request.target.starts_with(peer_paths::kJobCancelled)) {
    if (m_owner->active()) {
      m_owner->OnNotice(request.target, request.body);
    }
    return respond(
        net::Response{kOk, EncodeBacklogAdvice(m_owner->Backlog()), {}});
  }
  if (const auto entry = TargetSuffix(request, peer_paths::kHandOver)) {
    return HandOver(EntryId(*entry), respond);
  }
  if (const auto id = TargetSuffix(request, peer_paths::kJobState)) {
    const auto state = m_owner->StateOf(JobId(*id));
    return respond(state ? net::Response{kOk, ToString(*state), {}}
                         : net::Response{kUnavailable, {}, {}});
  }
  if (request.target == peer_paths::kWaitingJobs) {
    const auto count = m_owner->CountWaiting(QueueId(request.body));
    return respond(count ? net::Response{kOk, std::to_string(*count), {}}
                         : net::Response{kUnavailable, {}, {}});
  }
  respond(net::Response{kNotFound, {}, {}});
}

}  // namespace zinniacart

#include "site/entry_node.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/logging.h"
#include "site/peer_paths.h"
#include "site/store_keys.h"

namespace zinniacart {
namespace {

/// Bounds a request that another entry relays; that entry waits a bit less.
constexpr Duration kRelayedRequest{600};

/// Between two looks at whether this entry should own the scheduling.
constexpr Duration kConsiderOffer{500};
constexpr Duration kOfferTimeout{700};

constexpr int kOk = 200;
constexpr int kNotFound = 404;
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

/// @returns what follows `prefix` in the path, nothing where it does not
/// begin with it.
std::optional<std::string> After(const net::Request& request,
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
      m_peers(loop),
      m_succession(m_settings.entry, m_settings.owner.cores, clock),
      m_offer(loop),
      m_registration(loop,
                     store,
                     store_keys::Entry(m_settings.entry),
                     EncodeEntryRecord(EntryRecord{m_settings.owner.address,
                                                   m_settings.owner.cores})) {
  m_owner =
      std::make_unique<Owner>(loop, store, m_peers, m_settings.owner, clock);
  m_intake = std::make_unique<JobIntake>(loop, store, m_peers, m_directory,
                                         *m_owner, m_settings.entry, clock);
  m_entries = std::make_unique<PrefixFollower>(
      loop, store, store_keys::kEntriesPrefix, CatchUp::kByChanges,
      [this](const StoreSnapshot& snapshot) {
        m_directory.OnSnapshot(snapshot);
        OnDirectoryChanged();
      },
      [this](const StoreEvent& event) {
        m_directory.OnEvent(event);
        OnDirectoryChanged();
      },
      [this](bool answering) { m_succession.OnStoreHealth(answering); });
}

Result<void> EntryNode::Start() {
  m_peer_server = std::make_unique<net::HttpServer>(
      m_loop, net::ServerLimits{},
      [this](net::Request request, net::Responder respond) {
        HandlePeer(std::move(request), std::move(respond));
      });
  const auto listening =
      m_peer_server->Listen(m_settings.ip, m_settings.peer_port);
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  m_entries->Start();
  m_owner->Start();
  m_registration.Start();
  ConsiderOffer();
  return {};
}

void EntryNode::OnDirectoryChanged() {
  const auto& owner = m_directory.owner();
  m_succession.OnView(m_directory.entries(),
                      owner ? std::optional(owner->entry) : std::nullopt);
  m_owner->SetStandbyDelay(m_succession.StandbyDelay());
  m_owner->OnOwnershipView(m_directory.ownership());
}

void EntryNode::ConsiderOffer() {
  m_offer.After(kConsiderOffer, [this] { ConsiderOffer(); });
  const auto& owner = m_directory.owner();
  if (!owner || !m_succession.ShouldRequestHandOver()) {
    return;
  }
  LogInfo("asking the owner to hand over", {{"owner", owner->entry.value()}});
  m_peers.Post(
      owner->address, peer_paths::kHandOver + m_settings.entry.value(), {},
      kOfferTimeout, [](const Result<net::Response>& response) {
        if (!response) {
          LogInfo("owner was not asked", {{"reason", response.error().detail}});
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
  LogInfo("configuration in force", {{"version", configuration.version}});
  m_owner->OnConfiguration(configuration);
  m_configuration = std::move(configuration);
}

void EntryNode::OnEvacuated(std::set<DomainId> domains) {
  m_owner->SetDrainedDomains(domains);
}

void EntryNode::Retire(std::function<void()> done) {
  m_offer.Cancel();
  m_owner->Retire(std::move(done));
}

void EntryNode::HandlePeer(net::Request request, net::Responder respond) {
  if (request.target.starts_with("/entry/")) {
    return HandleStoreRequest(request, std::move(respond));
  }
  HandleQuestion(request, std::move(respond));
}

void EntryNode::HandleStoreRequest(const net::Request& request,
                                   net::Responder respond) {
  const Instant until = m_clock.Now() + kRelayedRequest;
  const auto answer = [respond](IntakeOutcome outcome) {
    respond(net::Response{StatusOf(outcome), {}, {}});
  };
  if (const auto id = After(request, peer_paths::kStoreJob)) {
    const auto record = DecodeJobRecord(JobId(*id), request.body);
    if (!record) {
      LogError("relayed job cannot be read",
               {{"job", *id}, {"detail", record.error().detail}});
      return respond(net::Response{kUnavailable, {}, {}});
    }
    return m_intake->Accept(*record, until, false, answer);
  }
  if (const auto id = After(request, peer_paths::kCancelJob)) {
    return m_intake->Cancel(JobId(*id), until, false, answer);
  }
  respond(net::Response{kNotFound, {}, {}});
}

void EntryNode::HandleQuestion(const net::Request& request,
                               net::Responder respond) {
  if (request.target.starts_with(peer_paths::kJobStored) ||
      request.target.starts_with(peer_paths::kJobCancelled)) {
    if (m_owner->active()) {
      m_owner->OnNotice(request.target, request.body);
    }
    return respond(net::Response{kOk, {}, {}});
  }
  if (const auto entry = After(request, peer_paths::kHandOver)) {
    return HandOver(EntryId(*entry), respond);
  }
  if (const auto id = After(request, peer_paths::kJobState)) {
    const auto state = m_owner->StateOf(JobId(*id), QueueId(request.body));
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

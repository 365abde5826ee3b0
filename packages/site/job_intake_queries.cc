#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json_text.h"
#include "base/logging.h"
#include "site/job_intake.h"
#include "site/peer_paths.h"
#include "site/store_keys.h"

namespace zinniacart {
namespace {

constexpr Duration kOwnerTimeout{400};
constexpr Duration kReadTimeout{700};
constexpr int kOk = 200;

/// @returns the state in a stored progress record, `kInvalidArgument` if it has
/// none or an unknown one.
Result<JobState> StateOfProgress(const std::string& bytes) {
  try {
    return ParseJobState(ParseJson(bytes).at("state").get<std::string>());
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), "state");
  }
}

/// Logs a job state that cannot be parsed; it is not returned to the caller.
void LogUnreadable(const JobId& job, const Error& error) {
  LogError("job state ignored: it cannot be parsed",
           {{"job", job.value()}, {"detail", error.detail}});
}

}  // namespace

void JobIntake::GetState(const JobId& job,
                         std::function<void(Result<JobState>)> done) {
  if (const auto state = m_owner.StateOf(job)) {
    return done(*state);
  }
  const auto& owner = m_directory.owner();
  if (m_owner.active() || !owner || owner->entry == m_self) {
    return ReadState(job, std::move(done));
  }
  m_peers.Post(owner->address, peer_paths::kJobState + job.value(), {},
               kOwnerTimeout,
               [this, job,
                done = std::move(done)](const Result<net::Response>& response) {
                 if (response && response->status == kOk) {
                   const auto state = ParseJobState(response->body);
                   if (state) {
                     return done(*state);
                   }
                   LogUnreadable(job, state.error());
                 }
                 ReadState(job, done);
               });
}

void JobIntake::ReadState(const JobId& job,
                          std::function<void(Result<JobState>)> done) {
  if (m_store.availability().away()) {
    return done(Fail(ErrorCode::kStoreUnavailable, "the store is away"));
  }
  m_store.Get(
      store_keys::Job(job), kReadTimeout,
      [this, job, done = std::move(done)](const Result<StoreItem>& item) {
        if (!item) {
          return done(tl::unexpected(item.error()));
        }
        const auto record = DecodeJobRecord(job, item->value);
        if (!record) {
          return done(tl::unexpected(record.error()));
        }
        ReadProgress(job, done);
      });
}

void JobIntake::ReadProgress(const JobId& job,
                             std::function<void(Result<JobState>)> done) {
  m_store.Get(
      store_keys::Progress(job), kReadTimeout,
      [this, job, done = std::move(done)](const Result<StoreItem>& progress) {
        JobState state = JobState::kQueued;
        if (progress) {
          const auto stored = StateOfProgress(progress->value);
          if (!stored) {
            LogUnreadable(job, stored.error());
            return done(tl::unexpected(stored.error()));
          }
          state = *stored;
        } else if (progress.error().code != ErrorCode::kNotFound) {
          return done(tl::unexpected(progress.error()));
        }
        if (IsTerminal(state)) {
          return done(state);
        }
        m_store.Get(store_keys::Cancelled(job), kReadTimeout,
                    [state, done](Result<StoreItem> cancelled) {
                      if (cancelled) {
                        return done(JobState::kCancelled);
                      }
                      if (cancelled.error().code != ErrorCode::kNotFound) {
                        return done(tl::unexpected(cancelled.error()));
                      }
                      done(state);
                    });
      });
}

void JobIntake::CountWaiting(const QueueId& queue,
                             std::function<void(Result<std::size_t>)> done) {
  if (const auto count = m_owner.CountWaiting(queue)) {
    return done(*count);
  }
  const auto& owner = m_directory.owner();
  if (!owner || owner->entry == m_self) {
    return done(Fail(ErrorCode::kStoreUnavailable, "no owner is known"));
  }
  m_peers.Post(
      owner->address, peer_paths::kWaitingJobs, queue.value(), kOwnerTimeout,
      [done = std::move(done)](const Result<net::Response>& response) {
        std::size_t count = 0;
        if (!response || response->status != kOk ||
            std::from_chars(response->body.data(),
                            response->body.data() + response->body.size(),
                            count)
                    .ec != std::errc()) {
          return done(
              Fail(ErrorCode::kStoreUnavailable, "the owner did not answer"));
        }
        done(count);
      });
}

}  // namespace zinniacart

#pragma once

#include <string>

/// The paths of the product's own HTTP protocol between its processes. All
/// requests are POST requests; a path that ends in a slash is followed by an
/// id.
namespace zinniacart::peer_paths {

/// Owner to agent. The body holds orders, the response a report. Status 409:
/// the agent has accepted a newer owner.
inline const std::string kHostSync = "/host/sync";
/// Entry to owner: the job with this id was stored (the body is its record), or
/// its cancellation was stored. The response is the owner's advice which jobs
/// to refuse (`EncodeBacklogAdvice`); empty: none.
inline const std::string kJobStored = "/owner/job-stored/";
inline const std::string kJobCancelled = "/owner/job-cancelled/";
/// Entry to owner: asks it to hand the ownership over to the entry with this
/// id, which can carry more load.
inline const std::string kHandOver = "/owner/hand-over/";
/// Entry to owner, for callers' queries. The response is the state of the job
/// with this id, or the number of jobs of a queue that wait for their first
/// task (the body is the queue's id). Status 503: this entry cannot answer for
/// it.
inline const std::string kJobState = "/owner/job-state/";
inline const std::string kWaitingJobs = "/owner/waiting-jobs";
/// Entry to entry: asks it to store a job (the body is its record) or a
/// cancellation, because the store refuses requests of the sender. Status 409:
/// nothing was stored, because the receiver has a newer configuration, which
/// does not declare the job's queue.
inline const std::string kStoreJob = "/entry/store-job/";
inline const std::string kCancelJob = "/entry/cancel-job/";

}  // namespace zinniacart::peer_paths

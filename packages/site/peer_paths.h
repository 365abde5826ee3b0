#pragma once

#include <string>

/// The paths of the product's own protocol between its processes.
namespace zinniacart::peer_paths {

/// Owner to agent: orders; the response is a report.
inline const std::string kHostSync = "/host/sync";
/// Entry to owner: a job was stored, a job was cancelled.
inline const std::string kJobStored = "/owner/job-stored/";
inline const std::string kJobCancelled = "/owner/job-cancelled/";
/// Entry to owner: hand over to me, I can carry more.
inline const std::string kHandOver = "/owner/hand-over/";
/// Entry to owner: what callers ask.
inline const std::string kJobState = "/owner/job-state/";
inline const std::string kWaitingJobs = "/owner/waiting-jobs";
/// Entry to entry: store this for me, the store turns me away.
inline const std::string kStoreJob = "/entry/store-job/";
inline const std::string kCancelJob = "/entry/cancel-job/";

}  // namespace zinniacart::peer_paths

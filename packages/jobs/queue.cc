#include "jobs/queue.h"

#include <algorithm>

namespace zinniacart {

const Queue* SiteConfiguration::Find(const std::string& host,
                                     const std::string& path) const {
  const Queue* found = nullptr;
  for (const Queue& queue : queues) {
    if (queue.host != host || !path.starts_with(queue.prefix)) {
      continue;
    }
    if (found == nullptr || queue.prefix.size() > found->prefix.size()) {
      found = &queue;
    }
  }
  return found;
}

const Queue* SiteConfiguration::Find(const QueueId& id) const {
  const auto found =
      std::find_if(queues.begin(), queues.end(),
                   [&](const Queue& queue) { return queue.id == id; });
  return found == queues.end() ? nullptr : &*found;
}

}  // namespace zinniacart

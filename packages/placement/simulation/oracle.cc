#include "placement/simulation/oracle.h"

namespace zinniacart::simulation {

void Oracle::OnStarted(const TaskId& task,
                       Generation generation,
                       const HostId& host,
                       const DomainId& domain,
                       const std::string& resume_from,
                       const Resources& host_use,
                       const Resources& host_capacity,
                       Instant now) {
  const auto running = m_running.find(task);
  if (running != m_running.end()) {
    throw Violation(task.value() + " started on " + host.value() +
                    " while it runs on " + running->second.second.value());
  }
  if (!m_started_generations.insert({task, generation}).second) {
    throw Violation(task.value() + " generation " +
                    std::to_string(generation.value()) + " started twice");
  }
  if (!resume_from.empty() && m_checkpoints[task].count(resume_from) == 0) {
    throw Violation(task.value() +
                    " resumed from a checkpoint that it did not write");
  }
  if (!host_use.FitsIn(host_capacity)) {
    throw Violation(host.value() + " runs tasks that exceed its capacity");
  }
  const auto drained = m_drained_since.find(domain);
  if (drained != m_drained_since.end() &&
      now - drained->second > kDrainedDomainStartLimit) {
    throw Violation(task.value() + " started in " + domain.value() +
                    " too long after the domain was drained");
  }
  m_running[task] = {generation, host};
}

void Oracle::OnEnded(const TaskId& task,
                     Generation generation,
                     const HostId& host) {
  const auto running = m_running.find(task);
  const bool known = running != m_running.end() &&
                     running->second == std::pair(generation, host);
  if (!known) {
    throw Violation(task.value() + " ended on a host where it was not running");
  }
  m_running.erase(running);
}

void Oracle::OnCheckpoint(const TaskId& task, const std::string& checkpoint) {
  m_checkpoints[task].insert(checkpoint);
}

void Oracle::OnFinished(const TaskId& task) {
  ++m_finished[task];
}

void Oracle::OnDomainAvailability(const DomainId& domain,
                                  bool available,
                                  Instant now) {
  if (available) {
    m_drained_since.erase(domain);
  } else {
    m_drained_since.try_emplace(domain, now);
  }
}

int Oracle::FinishCount(const TaskId& task) const {
  const auto found = m_finished.find(task);
  return found == m_finished.end() ? 0 : found->second;
}

}  // namespace zinniacart::simulation

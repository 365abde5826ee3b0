#include "ports/elastic_task_queue.h"

#include <chrono>
#include <thread>
#include <utility>

namespace zinniacart {
namespace {

constexpr std::chrono::seconds kIdleThreadTimeout{10};

}  // namespace

ElasticTaskQueue::ElasticTaskQueue(std::size_t most_threads)
    : m_most_threads(most_threads) {}

ElasticTaskQueue::~ElasticTaskQueue() {
  shutdown();
}

void ElasticTaskQueue::enqueue(std::function<void()> task) {
  const std::lock_guard lock(m_mutex);
  m_tasks.push_back(std::move(task));
  const bool needs_thread = m_tasks.size() > m_idle_threads;
  if (needs_thread && m_threads < m_most_threads) {
    ++m_threads;
    std::thread([this] { RunThread(); }).detach();
    return;
  }
  m_work_available_or_stopping.notify_one();
}

void ElasticTaskQueue::shutdown() {
  std::unique_lock lock(m_mutex);
  m_stopping = true;
  m_work_available_or_stopping.notify_all();
  m_thread_ended.wait(lock, [this] { return m_threads == 0; });
}

void ElasticTaskQueue::RunThread() {
  std::unique_lock lock(m_mutex);
  while (true) {
    ++m_idle_threads;
    const bool woken = m_work_available_or_stopping.wait_for(
        lock, kIdleThreadTimeout,
        [this] { return m_stopping || !m_tasks.empty(); });
    --m_idle_threads;
    if (m_tasks.empty() && (m_stopping || !woken)) {
      break;
    }
    auto task = std::move(m_tasks.front());
    m_tasks.pop_front();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
  }
  --m_threads;
  m_thread_ended.notify_all();
}

}  // namespace zinniacart

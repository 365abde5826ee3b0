#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace zinniacart {

/// Runs each connection on a thread of its own, up to a limit. Threads are
/// made when none is free and end after a while without work, so that idle
/// connections cost memory only while they last.
class ElasticTaskQueue final : public httplib::TaskQueue {
 public:
  explicit ElasticTaskQueue(std::size_t most_threads);
  ~ElasticTaskQueue() override;

  void enqueue(std::function<void()> task) override;
  void shutdown() override;

 private:
  void RunThread();

  const std::size_t m_most_threads;
  std::mutex m_mutex;
  std::condition_variable m_work_or_stop;
  std::condition_variable m_thread_ended;
  std::deque<std::function<void()>> m_tasks;
  std::size_t m_threads = 0;
  std::size_t m_idle_threads = 0;
  bool m_stopping = false;
};

}  // namespace zinniacart

#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace zinniacart {

/// The thread pool of an `HttpServer`: each task serves one connection. A
/// thread is created when none is idle, up to `most_threads`, and ends after
/// 10 s without work, so that connections cost a thread's memory only while
/// they are open. Further tasks wait in the queue.
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
  std::condition_variable m_work_available_or_stopping;
  std::condition_variable m_thread_ended;
  std::deque<std::function<void()>> m_tasks;
  std::size_t m_threads = 0;
  std::size_t m_idle_threads = 0;
  bool m_stopping = false;
};

}  // namespace zinniacart

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "base/clock.h"

namespace zinniacart {

/// Runs a function on the event loop after a delay. At most one function is
/// pending: `Cancel`, a new `After` and the destructor cancel the earlier one.
class Timer final {
 public:
  explicit Timer(boost::asio::io_context& loop) : m_timer(loop) {}

  /// Runs `action` once after `delay`.
  void After(Duration delay, std::function<void()> action) {
    m_armed = true;
    m_timer.expires_after(delay);
    m_timer.async_wait(
        [this, action = std::move(action)](boost::system::error_code error) {
          if (!error) {
            m_armed = false;
            action();
          }
        });
  }

  void Cancel() {
    m_armed = false;
    m_timer.cancel();
  }

  /// @returns whether a function is pending.
  bool armed() const { return m_armed; }

 private:
  boost::asio::steady_timer m_timer;
  bool m_armed = false;
};

}  // namespace zinniacart

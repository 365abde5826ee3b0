#pragma once

#include <boost/asio/io_context.hpp>
#include <string>

#include "site/store_port.h"
#include "site/timer.h"

namespace zinniacart {

/// Writes under a lasting key of the store where this process is reached, and
/// goes on trying until the store has it.
class Registration final {
 public:
  /// @param key     where it is stored.
  /// @param record  what is stored: where this process is reached.
  Registration(boost::asio::io_context& loop,
               StorePort& store,
               std::string key,
               std::string record);

  void Start();

 private:
  StorePort& m_store;
  const std::string m_key;
  const std::string m_record;
  Timer m_retry;
};

}  // namespace zinniacart

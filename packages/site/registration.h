#pragma once

#include <boost/asio/io_context.hpp>
#include <string>

#include "site/store_port.h"
#include "site/timer.h"

namespace zinniacart {

/// Stores the address of this process under a key without a lease. Retries
/// until the store confirms the write.
class Registration final {
 public:
  /// @param key     the store key to write.
  /// @param record  the value to write, which contains the address of this
  ///                process.
  Registration(boost::asio::io_context& loop,
               StorePort& store,
               std::string key,
               std::string record);

  /// Writes the record. Called once.
  void Start();

 private:
  StorePort& m_store;
  const std::string m_key;
  const std::string m_record;
  Timer m_retry;
};

}  // namespace zinniacart

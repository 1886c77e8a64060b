// A voter's store in a folder: SQLite, each record under a checksum (XXH3).
//
// Errors: opening says what is wrong in one line. A store in which any record is damaged is set aside under
// another name and a new one begun, with a new identity: this broker then joins anew, and never votes twice
// in a term.
#pragma once
#include <memory>
#include <stdexcept>
#include <string>

#include "shared_config/durable_store.h"

namespace cairnhub::shared_config {

struct SqliteStoreError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class SqliteStore : public DurableStore {
 public:
  // `make_id`: an identity for a store that is new here. `set_aside` is told the new name of a damaged one.
  static std::unique_ptr<SqliteStore> open(const std::string& folder, std::uint64_t make_id,
                                           std::string* set_aside);
  static bool exists(const std::string& folder);
  // The ground that this broker keeps to, beside the log: of one that does not vote too.
  virtual void save_baseline(const std::string& text, std::uint64_t number) = 0;
  virtual bool baseline(std::string& text, std::uint64_t& number) const = 0;
};

}  // namespace cairnhub::shared_config

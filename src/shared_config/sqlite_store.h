// The durable state of a voter in an SQLite database. Each record has an XXH3 checksum.
//
// Errors: `open` throws `SqliteStoreError` with a one-line message. If any record is damaged, the file is
// renamed and a new store with a new identity is created, so that this broker rejoins as another voter and
// never votes twice in a term.
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
  // Opens the store in `folder`, or creates one with the identity `new_voter_id`. If a damaged store was
  // renamed, `set_aside` (optional) receives its new file name.
  static std::unique_ptr<SqliteStore> open(const std::string& folder, std::uint64_t new_voter_id,
                                           std::string* set_aside);
  // Returns whether `folder` holds a store.
  static bool exists(const std::string& folder);
  // The newest baseline that this broker follows. It is stored beside the log, also by brokers that don't
  // vote.
  virtual void save_baseline(const std::string& text, std::uint64_t number) = 0;
  // Returns false if no baseline is stored or its record is damaged.
  virtual bool baseline(std::string& text, std::uint64_t& number) const = 0;
};

}  // namespace cairnhub::shared_config

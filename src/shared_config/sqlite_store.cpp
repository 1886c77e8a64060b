#include "shared_config/sqlite_store.h"

#include <sqlite3.h>
#include <sys/stat.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <functional>

namespace cairnhub::shared_config {

namespace {

constexpr int kMaxRecords = 32;
constexpr int kMaxDamagedFiles = 1000;
constexpr std::uint64_t kRecordChecksumSeed = 7;
constexpr std::size_t kSnapshotHeaderBytes = 32;

std::string file_in(const std::string& folder) { return folder + "/accord.db"; }

std::uint64_t checksum(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

// A prepared statement. After any step has failed, every later step fails too.
class Statement {
 public:
  Statement(sqlite3* db, const char* sql) {
    is_ok_ = sqlite3_prepare_v2(db, sql, -1, &statement_, nullptr) == SQLITE_OK;
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;
  Statement& bind(std::uint64_t n) {
    is_ok_ = is_ok_ && sqlite3_bind_int64(statement_, ++bound_, static_cast<sqlite3_int64>(n)) == SQLITE_OK;
    return *this;
  }
  Statement& bind(std::string_view bytes) {
    is_ok_ = is_ok_ && sqlite3_bind_blob(statement_, ++bound_, bytes.data() ? bytes.data() : "",
                                         static_cast<int>(bytes.size()), SQLITE_TRANSIENT) == SQLITE_OK;
    return *this;
  }
  // Returns whether there is another row.
  bool step() {
    const int rc = is_ok_ ? sqlite3_step(statement_) : SQLITE_ERROR;
    is_ok_ = rc == SQLITE_ROW || rc == SQLITE_DONE;
    return rc == SQLITE_ROW;
  }
  // Steps through all rows. Returns false on an error.
  bool run() {
    while (step()) {
    }
    return is_ok_;
  }
  bool is_ok() const { return is_ok_; }
  std::uint64_t number(int column) const {
    return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
  }
  std::string bytes(int column) const {
    const void* blob = sqlite3_column_blob(statement_, column);
    return blob ? std::string(static_cast<const char*>(blob),
                              static_cast<std::size_t>(sqlite3_column_bytes(statement_, column)))
                : std::string();
  }

 private:
  sqlite3_stmt* statement_ = nullptr;
  bool is_ok_ = false;
  int bound_ = 0;  // parameters bound so far
};

class SqliteStoreImpl : public SqliteStore {
 public:
  explicit SqliteStoreImpl(const std::string& file) {
    if (sqlite3_open_v2(file.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr) !=
        SQLITE_OK) {
      const std::string error = db_ ? sqlite3_errmsg(db_) : "out of memory";
      sqlite3_close(db_);
      throw SqliteStoreError(file + ": opening the database failed: " + error);
    }
  }
  ~SqliteStoreImpl() override { sqlite3_close(db_); }
  SqliteStoreImpl(const SqliteStoreImpl&) = delete;
  SqliteStoreImpl& operator=(const SqliteStoreImpl&) = delete;

  // Reads the whole store. Returns false if it is damaged.
  bool load(std::uint64_t new_voter_id) {
    // Pages and cache are small because the store holds little data and the broker's memory is limited.
    if (!run("PRAGMA cache_size=64") || !run("PRAGMA cell_size_check=ON") ||
        !run("PRAGMA journal_mode=DELETE") || !run("PRAGMA synchronous=FULL") ||
        !run("CREATE TABLE IF NOT EXISTS one(name TEXT PRIMARY KEY, data BLOB, sum INTEGER)") ||
        !run("CREATE TABLE IF NOT EXISTS log(at INTEGER PRIMARY KEY, term INTEGER, type INTEGER, data BLOB, "
             "sum "
             "INTEGER)"))
      return false;
    bool damaged = false;
    const auto number = [&](const char* name, std::uint64_t& into) {
      std::string bytes;
      if (!record(name, bytes, damaged)) return false;
      if (bytes.size() != 8) {
        damaged = true;
        return false;
      }
      std::memcpy(&into, bytes.data(), 8);
      return true;
    };
    if (!number("id", loaded_.voter_id) && !damaged) {
      // A new store has no log. A store with a log but without an identity is damaged.
      Statement count(db_, "SELECT count(*) FROM log");
      if (!count.step() || count.number(0) != 0) return false;
      loaded_.voter_id = new_voter_id;
      if (!put_number("id", new_voter_id)) return false;
    }
    number("term", loaded_.term);
    number("vote", loaded_.vote);
    std::string bytes;
    {
      Statement rows(db_, "SELECT name FROM one");
      // Damaged pages may point to each other in a loop, so the number of rows is limited.
      for (int n = 0; rows.step(); ++n) {
        if (n > kMaxRecords) return false;
        record(rows.bytes(0).c_str(), bytes, damaged);
      }
      if (!rows.is_ok()) return false;
    }
    if (record("snapshot", bytes, damaged)) {
      Snapshot snapshot;
      if (bytes.size() < kSnapshotHeaderBytes) return false;
      std::uint64_t header[4];
      std::memcpy(header, bytes.data(), kSnapshotHeaderBytes);
      snapshot.index = header[0];
      snapshot.term = header[1];
      snapshot.configuration_index = header[2];
      const std::uint64_t configuration_bytes = header[3];
      if (configuration_bytes > bytes.size() - kSnapshotHeaderBytes) return false;
      snapshot.configuration = bytes.substr(kSnapshotHeaderBytes, configuration_bytes);
      snapshot.data = bytes.substr(kSnapshotHeaderBytes + configuration_bytes);
      loaded_.snapshot = std::move(snapshot);
    }
    std::uint64_t expected_index = 0;
    Statement rows(db_, "SELECT at, term, type, data, sum FROM log ORDER BY at");
    while (rows.step()) {
      LogEntry entry{rows.number(1), static_cast<unsigned short>(rows.number(2)), rows.bytes(3)};
      if (expected_index == 0) {
        expected_index = rows.number(0);
        loaded_.first_index = expected_index;
      }
      // A missing entry or a flipped bit.
      if (rows.number(0) != expected_index || rows.number(4) != entry_checksum(expected_index, entry))
        return false;
      loaded_.entries.push_back(std::move(entry));
      ++expected_index;
    }
    if (loaded_.entries.empty() && loaded_.snapshot) loaded_.first_index = loaded_.snapshot->index + 1;
    if (!rows.is_ok() || damaged) return false;
    // A damaged page may lose whole records while the checksums of all others match. The summary record
    // detects the loss.
    for (std::size_t i = 0; i < loaded_.entries.size(); ++i)
      entry_checksum_total_ += entry_checksum(loaded_.first_index + i, loaded_.entries[i]);
    next_index_ = loaded_.entries.empty() ? 0 : loaded_.first_index + loaded_.entries.size();
    first_index_ = loaded_.entries.empty() ? 0 : loaded_.first_index;
    term_ = loaded_.term;
    vote_ = loaded_.vote;
    snapshot_checksum_ = loaded_.snapshot ? checksum(loaded_.snapshot->configuration + loaded_.snapshot->data,
                                                     loaded_.snapshot->index)
                                          : 0;
    std::string summary;
    const bool has_summary = record("summary", summary, damaged);
    if (damaged ||
        (has_summary ? summary != current_summary() : loaded_.term != 0 || !loaded_.entries.empty()))
      return false;
    return has_summary || put_summary();
  }

  const PersistedState& loaded_state() const override { return loaded_; }
  bool set_term(std::uint64_t term) override {
    return in_transaction([&] {
      term_ = term;
      vote_ = 0;
      return put_number("term", term) && put_number("vote", 0);
    });
  }
  bool set_vote(std::uint64_t id) override {
    return in_transaction([&] {
      vote_ = id;
      return put_number("vote", id);
    });
  }
  bool append(std::uint64_t first, const std::vector<LogEntry>& entries) override {
    return in_transaction([&] {
      std::uint64_t index = first;
      for (const LogEntry& entry : entries) {
        if (!Statement(db_, "INSERT OR REPLACE INTO log VALUES(?,?,?,?,?)")
                 .bind(index)
                 .bind(entry.term)
                 .bind(std::uint64_t{entry.type})
                 .bind(entry.data)
                 .bind(entry_checksum(index, entry))
                 .run())
          return false;
        entry_checksum_total_ += entry_checksum(index, entry);
        ++index;
      }
      if (first_index_ == 0) first_index_ = first;
      next_index_ = index;
      return true;
    });
  }
  bool truncate(std::uint64_t from) override {
    return in_transaction([&] {
      if (!subtract_checksums("SELECT sum FROM log WHERE at >= ?", from)) return false;
      next_index_ = from;
      if (next_index_ <= first_index_) {
        first_index_ = 0;
        next_index_ = 0;
      }
      return Statement(db_, "DELETE FROM log WHERE at >= ?").bind(from).run();
    });
  }
  bool save_snapshot(const Snapshot& snapshot, std::uint64_t keep_from) override {
    std::string bytes(kSnapshotHeaderBytes, '\0');
    const std::uint64_t header[4] = {snapshot.index, snapshot.term, snapshot.configuration_index,
                                     snapshot.configuration.size()};
    std::memcpy(bytes.data(), header, kSnapshotHeaderBytes);
    bytes += snapshot.configuration + snapshot.data;
    return in_transaction([&] {
             if (!subtract_checksums("SELECT sum FROM log WHERE at < ?", keep_from)) return false;
             if (keep_from >= next_index_) {
               first_index_ = 0;
               next_index_ = 0;
             } else {
               first_index_ = std::max(first_index_, keep_from);
             }
             snapshot_checksum_ = checksum(snapshot.configuration + snapshot.data, snapshot.index);
             return put_record("snapshot", bytes) &&
                    Statement(db_, "DELETE FROM log WHERE at < ?").bind(keep_from).run();
           }) &&
           ((loaded_.snapshot = snapshot), true);
  }
  std::optional<Snapshot> snapshot() const override { return loaded_.snapshot; }

  void save_baseline(const std::string& text, std::uint64_t number) override {
    std::string bytes(8, '\0');
    std::memcpy(bytes.data(), &number, 8);
    put_record("ground", bytes + text);
  }
  bool baseline(std::string& text, std::uint64_t& number) const override {
    std::string bytes;
    bool damaged = false;
    if (!const_cast<SqliteStoreImpl*>(this)->record("ground", bytes, damaged) || bytes.size() < 8)
      return false;
    std::memcpy(&number, bytes.data(), 8);
    text = bytes.substr(8);
    return true;
  }

 private:
  // Shifted right by one bit, since SQLite's integers are signed.
  static std::uint64_t entry_checksum(std::uint64_t index, const LogEntry& entry) {
    return checksum(entry.data, index * 1000003 + entry.term * 31 + entry.type) >> 1;
  }
  bool run(const char* sql) { return sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) == SQLITE_OK; }
  bool in_transaction(const std::function<bool()>& write) {
    if (!run("BEGIN IMMEDIATE")) return false;
    if (write() && put_summary() && run("COMMIT")) return true;
    // The members that `write` changed are not restored: after a failed write the store is not used any more.
    run("ROLLBACK");
    return false;
  }
  // Subtracts the checksums of the entries that are about to be deleted.
  bool subtract_checksums(const char* sql, std::uint64_t index) {
    Statement rows(db_, sql);
    rows.bind(index);
    while (rows.step()) entry_checksum_total_ -= rows.number(0);
    return rows.is_ok();
  }
  // The fields that the safety of voting depends on.
  std::string current_summary() const {
    const std::uint64_t fields[7] = {
        loaded_.voter_id, term_, vote_, first_index_, next_index_, entry_checksum_total_, snapshot_checksum_};
    std::string bytes(sizeof fields, '\0');
    std::memcpy(bytes.data(), fields, sizeof fields);
    return bytes;
  }
  bool put_summary() { return put_record("summary", current_summary()); }
  bool put_record(const char* name, const std::string& bytes) {
    return Statement(db_, "INSERT OR REPLACE INTO one VALUES(?,?,?)")
        .bind(std::string_view(name))
        .bind(bytes)
        .bind(checksum(bytes, kRecordChecksumSeed) >> 1)
        .run();
  }
  bool put_number(const char* name, std::uint64_t n) {
    std::string bytes(8, '\0');
    std::memcpy(bytes.data(), &n, 8);
    return put_record(name, bytes);
  }
  // Reads a record. Returns false if it is missing, and also sets `damaged` if it is damaged.
  bool record(const char* name, std::string& into, bool& damaged) {
    Statement row(db_, "SELECT data, sum FROM one WHERE name = ?");
    row.bind(std::string_view(name));
    if (!row.step()) {
      damaged = damaged || !row.is_ok();
      return false;
    }
    into = row.bytes(0);
    if (row.number(1) != checksum(into, kRecordChecksumSeed) >> 1) {
      damaged = true;
      return false;
    }
    return true;
  }

  sqlite3* db_ = nullptr;
  PersistedState loaded_;  // as of the opening, except for the snapshot, which is kept current
  // The current values:
  std::uint64_t term_ = 0;
  std::uint64_t vote_ = 0;
  std::uint64_t first_index_ = 0;  // 0: the log is empty
  std::uint64_t next_index_ = 0;   // 0: the log is empty
  std::uint64_t entry_checksum_total_ = 0;
  std::uint64_t snapshot_checksum_ = 0;
};

}  // namespace

bool SqliteStore::exists(const std::string& folder) {
  struct stat info {};
  return stat(file_in(folder).c_str(), &info) == 0;
}

std::unique_ptr<SqliteStore> SqliteStore::open(const std::string& folder, std::uint64_t new_voter_id,
                                               std::string* set_aside) {
  struct stat info {};
  if (stat(folder.c_str(), &info) != 0 || !S_ISDIR(info.st_mode))
    throw SqliteStoreError(folder + ": no such folder");
  const std::string file = file_in(folder);
  for (int attempt = 0; attempt < 2; ++attempt) {
    auto store = std::make_unique<SqliteStoreImpl>(file);
    if (store->load(new_voter_id)) return store;
    store.reset();
    if (attempt == 1) break;
    // A store that fails to load because the folder is not writable is not damaged, and a new store would
    // fail as well.
    std::FILE* probe = std::fopen((folder + "/probe").c_str(), "wb");
    const bool is_writable = probe && std::fwrite("x", 1, 1, probe) == 1 && std::fflush(probe) == 0;
    if (probe) std::fclose(probe);
    std::remove((folder + "/probe").c_str());
    if (!is_writable) throw SqliteStoreError(folder + ": the folder is not writable");
    std::string damaged_file;
    for (int n = 1; n < kMaxDamagedFiles; ++n) {
      damaged_file = file + ".damaged-" + std::to_string(n);
      if (stat(damaged_file.c_str(), &info) != 0) break;
    }
    if (std::rename(file.c_str(), damaged_file.c_str()) != 0)
      throw SqliteStoreError(file + ": the store is damaged and cannot be renamed to " + damaged_file);
    std::remove((file + "-journal").c_str());
    if (set_aside) *set_aside = damaged_file;
  }
  throw SqliteStoreError(file + ": a new store, made after a damaged one was renamed, cannot be loaded");
}

}  // namespace cairnhub::shared_config

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

std::string file_in(const std::string& folder) { return folder + "/accord.db"; }

std::uint64_t sum(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

// One statement, run to its end.
class Statement {
 public:
  Statement(sqlite3* db, const char* sql) {
    good_ = sqlite3_prepare_v2(db, sql, -1, &s_, nullptr) == SQLITE_OK;
  }
  ~Statement() { sqlite3_finalize(s_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;
  Statement& add(std::uint64_t n) {
    good_ = good_ && sqlite3_bind_int64(s_, ++at_, static_cast<sqlite3_int64>(n)) == SQLITE_OK;
    return *this;
  }
  Statement& add(std::string_view bytes) {
    good_ = good_ && sqlite3_bind_blob(s_, ++at_, bytes.data() ? bytes.data() : "",
                                       static_cast<int>(bytes.size()), SQLITE_TRANSIENT) == SQLITE_OK;
    return *this;
  }
  bool row() {
    const int rc = good_ ? sqlite3_step(s_) : SQLITE_ERROR;
    good_ = rc == SQLITE_ROW || rc == SQLITE_DONE;
    return rc == SQLITE_ROW;
  }
  bool run() {
    while (row()) {
    }
    return good_;
  }
  bool good() const { return good_; }
  std::uint64_t number(int column) const {
    return static_cast<std::uint64_t>(sqlite3_column_int64(s_, column));
  }
  std::string bytes(int column) const {
    const void* at = sqlite3_column_blob(s_, column);
    return at ? std::string(static_cast<const char*>(at),
                            static_cast<std::size_t>(sqlite3_column_bytes(s_, column)))
              : std::string();
  }

 private:
  sqlite3_stmt* s_ = nullptr;
  bool good_ = false;
  int at_ = 0;
};

class Sqlite : public SqliteStore {
 public:
  explicit Sqlite(const std::string& file) {
    if (sqlite3_open_v2(file.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr) !=
        SQLITE_OK) {
      const std::string why = db_ ? sqlite3_errmsg(db_) : "no memory";
      sqlite3_close(db_);
      throw SqliteStoreError(file + ": " + why);
    }
  }
  ~Sqlite() override { sqlite3_close(db_); }
  Sqlite(const Sqlite&) = delete;
  Sqlite& operator=(const Sqlite&) = delete;

  // False: damaged.
  bool load(std::uint64_t make_id) {
    // Small pages and caches: the store holds little, and the broker's memory is counted.
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
      if (!one(name, bytes, damaged)) return false;
      if (bytes.size() != 8) return damaged = true, false;
      std::memcpy(&into, bytes.data(), 8);
      return true;
    };
    if (!number("id", now_.voter_id) && !damaged) {
      // A new store has no log either; one with a log and without its identity is not to be trusted.
      Statement any(db_, "SELECT count(*) FROM log");
      if (!any.row() || any.number(0) != 0) return false;
      now_.voter_id = make_id;
      if (!put_number("id", make_id)) return false;
    }
    number("term", now_.term);
    number("vote", now_.vote);
    std::string bytes;
    {
      Statement rows(db_, "SELECT name FROM one");
      // Danger: damaged pages that lead back to each other.
      for (int n = 0; rows.row(); ++n) {
        if (n > 32) return false;
        one(rows.bytes(0).c_str(), bytes, damaged);
      }
      if (!rows.good()) return false;
    }
    if (one("snapshot", bytes, damaged)) {
      Snapshot s;
      if (bytes.size() < 32) return false;
      std::uint64_t n[4];
      std::memcpy(n, bytes.data(), 32);
      s.index = n[0], s.term = n[1], s.configuration_index = n[2];
      if (n[3] > bytes.size() - 32) return false;
      s.configuration = bytes.substr(32, n[3]);
      s.data = bytes.substr(32 + n[3]);
      now_.snapshot = std::move(s);
    }
    std::uint64_t next = 0;
    Statement all(db_, "SELECT at, term, type, data, sum FROM log ORDER BY at");
    while (all.row()) {
      LogEntry e{all.number(1), static_cast<unsigned short>(all.number(2)), all.bytes(3)};
      if (next == 0) now_.first_index = next = all.number(0);
      if (all.number(0) != next || all.number(4) != sum_of(next, e)) return false;  // a gap, or a flipped bit
      now_.entries.push_back(std::move(e));
      ++next;
    }
    if (now_.entries.empty() && now_.snapshot) now_.first_index = now_.snapshot->index + 1;
    if (!all.good() || damaged) return false;
    // Danger: a page that is damaged so that records are missing, each of the others being sound.
    for (std::size_t i = 0; i < now_.entries.size(); ++i)
      sums_ += sum_of(now_.first_index + i, now_.entries[i]);
    next_ = now_.entries.empty() ? 0 : now_.first_index + now_.entries.size();
    low_ = now_.entries.empty() ? 0 : now_.first_index;
    term_ = now_.term, vote_ = now_.vote;
    snapshot_sum_ =
        now_.snapshot ? sum(now_.snapshot->configuration + now_.snapshot->data, now_.snapshot->index) : 0;
    std::string summary;
    const bool there = one("summary", summary, damaged);
    if (damaged || (there ? summary != summary_now() : now_.term != 0 || !now_.entries.empty())) return false;
    return there || put_summary();
  }

  const PersistedState& loaded_state() const override { return now_; }
  bool set_term(std::uint64_t term) override {
    return all_or_nothing([&] {
      term_ = term, vote_ = 0;
      return put_number("term", term) && put_number("vote", 0);
    });
  }
  bool set_vote(std::uint64_t id) override {
    return all_or_nothing([&] {
      vote_ = id;
      return put_number("vote", id);
    });
  }
  bool append(std::uint64_t first, const std::vector<LogEntry>& entries) override {
    return all_or_nothing([&] {
      std::uint64_t at = first;
      for (const LogEntry& e : entries) {
        if (!Statement(db_, "INSERT OR REPLACE INTO log VALUES(?,?,?,?,?)")
                 .add(at)
                 .add(e.term)
                 .add(std::uint64_t{e.type})
                 .add(e.data)
                 .add(sum_of(at, e))
                 .run())
          return false;
        sums_ += sum_of(at, e);
        ++at;
      }
      if (low_ == 0) low_ = first;
      next_ = at;
      return true;
    });
  }
  bool truncate(std::uint64_t from) override {
    return all_or_nothing([&] {
      if (!take_off("SELECT sum FROM log WHERE at >= ?", from)) return false;
      next_ = from;
      if (next_ <= low_) low_ = next_ = 0;
      return Statement(db_, "DELETE FROM log WHERE at >= ?").add(from).run();
    });
  }
  bool save_snapshot(const Snapshot& s, std::uint64_t keep_from) override {
    std::string bytes(32, '\0');
    const std::uint64_t n[4] = {s.index, s.term, s.configuration_index, s.configuration.size()};
    std::memcpy(bytes.data(), n, 32);
    bytes += s.configuration + s.data;
    return all_or_nothing([&] {
             if (!take_off("SELECT sum FROM log WHERE at < ?", keep_from)) return false;
             if (keep_from >= next_)
               low_ = next_ = 0;
             else
               low_ = std::max(low_, keep_from);
             snapshot_sum_ = sum(s.configuration + s.data, s.index);
             return put_one("snapshot", bytes) &&
                    Statement(db_, "DELETE FROM log WHERE at < ?").add(keep_from).run();
           }) &&
           ((now_.snapshot = s), true);
  }
  std::optional<Snapshot> snapshot() const override { return now_.snapshot; }

  void save_baseline(const std::string& text, std::uint64_t number) override {
    std::string bytes(8, '\0');
    std::memcpy(bytes.data(), &number, 8);
    put_one("ground", bytes + text);
  }
  bool baseline(std::string& text, std::uint64_t& number) const override {
    std::string bytes;
    bool damaged = false;
    if (!const_cast<Sqlite*>(this)->one("ground", bytes, damaged) || bytes.size() < 8) return false;
    std::memcpy(&number, bytes.data(), 8);
    text = bytes.substr(8);
    return true;
  }

 private:
  static std::uint64_t sum_of(std::uint64_t at, const LogEntry& e) {
    // Kept within what SQLite's signed integers hold.
    return sum(e.data, at * 1000003 + e.term * 31 + e.type) >> 1;
  }
  bool run(const char* sql) { return sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) == SQLITE_OK; }
  bool all_or_nothing(const std::function<bool()>& what) {
    if (!run("BEGIN IMMEDIATE")) return false;
    if (what() && put_summary() && run("COMMIT")) return true;
    run("ROLLBACK");  // nothing more is built on this store: what is counted here no longer matters
    return false;
  }
  bool take_off(const char* sql, std::uint64_t at) {
    Statement s(db_, sql);
    s.add(at);
    while (s.row()) sums_ -= s.number(0);
    return s.good();
  }
  // Of everything that a vote hangs on.
  std::string summary_now() const {
    const std::uint64_t n[7] = {now_.voter_id, term_, vote_, low_, next_, sums_, snapshot_sum_};
    std::string bytes(sizeof n, '\0');
    std::memcpy(bytes.data(), n, sizeof n);
    return bytes;
  }
  bool put_summary() { return put_one("summary", summary_now()); }
  bool put_one(const char* name, const std::string& bytes) {
    return Statement(db_, "INSERT OR REPLACE INTO one VALUES(?,?,?)")
        .add(std::string_view(name))
        .add(bytes)
        .add(sum(bytes, 7) >> 1)
        .run();
  }
  bool put_number(const char* name, std::uint64_t n) {
    std::string bytes(8, '\0');
    std::memcpy(bytes.data(), &n, 8);
    return put_one(name, bytes);
  }
  bool one(const char* name, std::string& into, bool& damaged) {
    Statement s(db_, "SELECT data, sum FROM one WHERE name = ?");
    s.add(std::string_view(name));
    if (!s.row()) {
      damaged = damaged || !s.good();
      return false;
    }
    into = s.bytes(0);
    if (s.number(1) != sum(into, 7) >> 1) return damaged = true, false;
    return true;
  }

  sqlite3* db_ = nullptr;
  PersistedState now_;  // as it was found, but for the snapshot
  std::uint64_t term_ = 0, vote_ = 0, low_ = 0, next_ = 0, sums_ = 0, snapshot_sum_ = 0;  // as they are
};

}  // namespace

bool SqliteStore::exists(const std::string& folder) {
  struct stat s {};
  return stat(file_in(folder).c_str(), &s) == 0;
}

std::unique_ptr<SqliteStore> SqliteStore::open(const std::string& folder, std::uint64_t make_id,
                                               std::string* set_aside) {
  struct stat s {};
  if (stat(folder.c_str(), &s) != 0 || !S_ISDIR(s.st_mode))
    throw SqliteStoreError(folder + ": no such folder");
  const std::string file = file_in(folder);
  for (int tries = 0; tries < 2; ++tries) {
    auto store = std::make_unique<Sqlite>(file);
    if (store->load(make_id)) return store;
    store.reset();
    if (tries == 1) break;
    // Danger: a store that can't be written to is not a damaged one; to begin anew would not help.
    std::FILE* probe = std::fopen((folder + "/probe").c_str(), "wb");
    const bool writes = probe && std::fwrite("x", 1, 1, probe) == 1 && std::fflush(probe) == 0;
    if (probe) std::fclose(probe);
    std::remove((folder + "/probe").c_str());
    if (!writes) throw SqliteStoreError(folder + ": can't be written to");
    std::string aside;
    for (int n = 1; n < 1000; ++n) {
      aside = file + ".damaged-" + std::to_string(n);
      if (stat(aside.c_str(), &s) != 0) break;
    }
    if (std::rename(file.c_str(), aside.c_str()) != 0)
      throw SqliteStoreError(file + ": damaged, and can't be set aside");
    std::remove((file + "-journal").c_str());
    if (set_aside) *set_aside = aside;
  }
  throw SqliteStoreError(file + ": can't be used");
}

}  // namespace cairnhub::shared_config

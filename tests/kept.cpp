// SqliteStore under faults: a flipped bit in each byte, truncation at many lengths, and a kill or a full disk
// at many positions of a write. Opening the store afterwards must yield what was written, or set the store
// aside.
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <string>

#include "shared_config/sqlite_store.h"

using namespace cairnhub::shared_config;
namespace fs = std::filesystem;

namespace {

std::string folder;
std::string file() { return folder + "/accord.db"; }

std::string read_all(const std::string& name) {
  std::ifstream in(name, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}
void write_all(const std::string& name, const std::string& bytes) {
  std::ofstream(name, std::ios::binary) << bytes;
}
void clear_folder() {
  for (const auto& f : fs::directory_iterator(folder)) fs::remove_all(f);
}

// Formats the state on one line.
std::string describe(const PersistedState& state) {
  std::string out = std::to_string(state.voter_id) + " term " + std::to_string(state.term) + " vote " +
                    std::to_string(state.vote) + " from " + std::to_string(state.first_index);
  for (const LogEntry& entry : state.entries) out += " " + std::to_string(entry.term) + ":" + entry.data;
  if (state.snapshot) out += " snapshot " + std::to_string(state.snapshot->index) + state.snapshot->data;
  return out;
}

// A sequence of writes that covers every operation of the store.
constexpr int kSteps = 6;
bool run_step(DurableStore& store, int number) {
  switch (number) {
    case 0:
      return store.set_term(3);
    case 1:
      return store.set_vote(77);
    case 2:
      return store.append(1, {{3, 1, "one"}, {3, 1, std::string(3000, 'x')}, {3, 1, "three"}});
    case 3:
      return store.truncate(3);
    case 4:
      return store.append(3, {{4, 1, "third"}, {4, 1, "fourth"}});
    default:
      return store.save_snapshot({2, 3, 1, "conf", "state"}, 2);
  }
}

// Opens the store and describes what it holds; "aside" if the file was set aside.
std::string reopen() {
  std::string aside;
  try {
    const auto store = SqliteStore::open(folder, 5, &aside);
    return aside.empty() ? describe(store->loaded_state()) : "aside";
  } catch (const SqliteStoreError& e) {
    return std::string("refused: ") + e.what();
  }
}

}  // namespace

int main() {
  char made[] = "/tmp/cairnhub-kept-XXXXXX";
  folder = mkdtemp(made);
  std::map<int, std::string> state_after;  // by step; -1: a new store
  state_after[-1] = [] {
    SqliteStore::open(folder, 5, nullptr);
    return reopen();
  }();
  for (int n = 0; n < kSteps; ++n) {
    {
      const auto store = SqliteStore::open(folder, 9, nullptr);
      if (!run_step(*store, n)) {
        std::printf("step %d fails\n", n);
        return 1;
      }
    }
    state_after[n] = reopen();
  }
  const std::string whole = read_all(file());
  std::printf("six steps, a new opening after each: %.60s\n", state_after[kSteps - 1].c_str());

  int same = 0;
  int aside = 0;
  int wrong = 0;
  const auto count_result = [&](const std::string& got) {
    if (got == state_after[kSteps - 1])
      ++same;
    else if (got == "aside" || got.rfind("refused", 0) == 0)
      ++aside;
    else if (++wrong <= 3)
      std::printf("  WRONG: %.100s\n", got.c_str());
  };
  for (std::size_t i = 0; i < whole.size();
       i += whole[i] == 0 ? 7 : 1) {  // zero bytes are mostly empty pages
    std::string bad = whole;
    bad[i] = static_cast<char>(bad[i] ^ 0x10);
    clear_folder();
    write_all(file(), bad);
    count_result(reopen());
  }
  std::printf("each byte turned: read as it was %s, set aside %s, read otherwise %d\n",
              same > 0 ? "some" : "none", aside > 0 ? "some" : "none", wrong);
  same = 0;
  aside = 0;
  wrong = 0;
  for (std::size_t n = 0; n < whole.size(); n += 101) {
    clear_folder();
    write_all(file(), whole.substr(0, n));
    const std::string got = reopen();
    // SQLite takes an empty file for a new database.
    if (n == 0 && got == state_after[-1])
      ++same;
    else
      count_result(got);
  }
  std::printf("cut off after each 101st byte: set aside %s, read otherwise %d\n",
              aside > 0 ? "all but a new one" : "none", wrong);

  // The process is killed, or the disk is full, at one byte of a write: all completed steps must be kept, and
  // the step in progress must be kept whole or not at all.
  for (const bool is_killed : {true, false}) {
    int kept = 0;
    int lost = 0;
    for (rlim_t max_bytes = 0; max_bytes < whole.size() + 9000; max_bytes += 509) {
      clear_folder();
      { SqliteStore::open(folder, 5, nullptr); }
      int pipe_ends[2];
      if (pipe(pipe_ends) != 0) return 1;
      const pid_t pid = fork();
      if (pid == 0) {
        std::signal(SIGXFSZ, is_killed ? SIG_DFL : SIG_IGN);
        try {
          const auto store = SqliteStore::open(folder, 5, nullptr);
          const rlimit file_size{max_bytes, RLIM_INFINITY};
          const rlimit no_core{0, 0};
          setrlimit(RLIMIT_CORE, &no_core);
          setrlimit(RLIMIT_FSIZE, &file_size);
          for (int n = 0; n < kSteps; ++n) {
            if (!run_step(*store, n)) break;
            const char done = static_cast<char>(n);
            if (write(pipe_ends[1], &done, 1) != 1) break;
          }
        } catch (const SqliteStoreError&) {
        }
        _exit(0);
      }
      close(pipe_ends[1]);
      int done = -1;
      for (char c; read(pipe_ends[0], &c, 1) == 1;) done = c;
      close(pipe_ends[0]);
      waitpid(pid, nullptr, 0);
      const std::string got = reopen();
      if (got == state_after[done] || (done + 1 < kSteps && got == state_after[done + 1]))
        ++kept;
      else if (++lost <= 3)
        std::printf("  after step %d: %.100s\n", done, got.c_str());
    }
    std::printf(
        "%s at a byte of a write: as after the last step done or the one under way: %s, otherwise %d\n",
        is_killed ? "killed" : "no room", kept > 20 ? "always" : "HARDLY", lost);
  }
  clear_folder();
  std::string set_aside;
  std::printf("a folder that is not there: ");
  try {
    SqliteStore::open(folder + "/none", 1, &set_aside);
  } catch (const SqliteStoreError& e) {
    std::printf("refused%s\n",
                std::string(e.what()).find("no such folder") != std::string::npos ? ", it says so" : "");
  }
  fs::remove_all(folder);
}

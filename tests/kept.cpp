// A voter's store under every fault: each byte of it turned, cut off after each byte, the process killed at
// each byte of a write, the disk full at each byte. What is read afterwards is what was written, or the store
// is set aside.
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
void empty() {
  for (const auto& f : fs::directory_iterator(folder)) fs::remove_all(f);
}

// All that a store says, in one line.
std::string told(const PersistedState& s) {
  std::string out = std::to_string(s.voter_id) + " term " + std::to_string(s.term) + " vote " +
                    std::to_string(s.vote) + " from " + std::to_string(s.first_index);
  for (const LogEntry& e : s.entries) out += " " + std::to_string(e.term) + ":" + e.data;
  if (s.snapshot) out += " snapshot " + std::to_string(s.snapshot->index) + s.snapshot->data;
  return out;
}

// The steps of a voter's life; after each, what a store then holds.
constexpr int kSteps = 6;
bool step(DurableStore& s, int n) {
  switch (n) {
    case 0:
      return s.set_term(3);
    case 1:
      return s.set_vote(77);
    case 2:
      return s.append(1, {{3, 1, "one"}, {3, 1, std::string(3000, 'x')}, {3, 1, "three"}});
    case 3:
      return s.truncate(3);
    case 4:
      return s.append(3, {{4, 1, "third"}, {4, 1, "fourth"}});
    default:
      return s.save_snapshot({2, 3, 1, "conf", "state"}, 2);
  }
}

// What a new opening finds; "aside": it was set aside.
std::string found() {
  std::string aside;
  try {
    const auto s = SqliteStore::open(folder, 5, &aside);
    return aside.empty() ? told(s->loaded_state()) : "aside";
  } catch (const SqliteStoreError& e) {
    return std::string("refused: ") + e.what();
  }
}

}  // namespace

int main() {
  char made[] = "/tmp/cairnhub-kept-XXXXXX";
  folder = mkdtemp(made);
  std::map<int, std::string> after;
  after[-1] = [] {
    SqliteStore::open(folder, 5, nullptr);
    return found();
  }();
  for (int n = 0; n < kSteps; ++n) {
    {
      const auto s = SqliteStore::open(folder, 9, nullptr);
      if (!step(*s, n)) return std::printf("step %d fails\n", n), 1;
    }
    after[n] = found();
  }
  const std::string whole = read_all(file());
  std::printf("six steps, a new opening after each: %.60s\n", after[kSteps - 1].c_str());

  int same = 0, aside = 0, wrong = 0;
  const auto judge = [&](const std::string& got) {
    if (got == after[kSteps - 1])
      ++same;
    else if (got == "aside" || got.rfind("refused", 0) == 0)
      ++aside;
    else if (++wrong <= 3)
      std::printf("  WRONG: %.100s\n", got.c_str());
  };
  for (std::size_t i = 0; i < whole.size(); i += whole[i] == 0 ? 7 : 1) {  // most of it is empty pages
    std::string bad = whole;
    bad[i] = static_cast<char>(bad[i] ^ 0x10);
    empty();
    write_all(file(), bad);
    judge(found());
  }
  std::printf("each byte turned: read as it was %s, set aside %s, read otherwise %d\n",
              same > 0 ? "some" : "none", aside > 0 ? "some" : "none", wrong);
  same = aside = wrong = 0;
  for (std::size_t n = 0; n < whole.size(); n += 101) {
    empty();
    write_all(file(), whole.substr(0, n));
    const std::string got = found();
    // A file of no bytes is a new store.
    if (n == 0 && got == after[-1])
      ++same;
    else
      judge(got);
  }
  std::printf("cut off after each 101st byte: set aside %s, read otherwise %d\n",
              aside > 0 ? "all but a new one" : "none", wrong);

  // Killed, or out of room, at a byte of a write: the steps before count, the one under way did or did not.
  for (const bool killed : {true, false}) {
    int between = 0, lost = 0;
    for (rlim_t room = 0; room < whole.size() + 9000; room += 509) {
      empty();
      { SqliteStore::open(folder, 5, nullptr); }
      int report[2];
      if (pipe(report) != 0) return 1;
      const pid_t pid = fork();
      if (pid == 0) {
        std::signal(SIGXFSZ, killed ? SIG_DFL : SIG_IGN);
        try {
          const auto s = SqliteStore::open(folder, 5, nullptr);
          const rlimit most{room, RLIM_INFINITY}, no_core{0, 0};
          setrlimit(RLIMIT_CORE, &no_core);
          setrlimit(RLIMIT_FSIZE, &most);
          for (int n = 0; n < kSteps; ++n) {
            if (!step(*s, n)) break;
            const char done = static_cast<char>(n);
            if (write(report[1], &done, 1) != 1) break;
          }
        } catch (const SqliteStoreError&) {
        }
        _exit(0);
      }
      close(report[1]);
      int done = -1;
      for (char c; read(report[0], &c, 1) == 1;) done = c;
      close(report[0]);
      waitpid(pid, nullptr, 0);
      const std::string got = found();
      if (got == after[done] || (done + 1 < kSteps && got == after[done + 1]))
        ++between;
      else if (++lost <= 3)
        std::printf("  after step %d: %.100s\n", done, got.c_str());
    }
    std::printf(
        "%s at a byte of a write: as after the last step done or the one under way: %s, otherwise %d\n",
        killed ? "killed" : "no room", between > 20 ? "always" : "HARDLY", lost);
  }
  empty();
  std::string name;
  std::printf("a folder that is not there: ");
  try {
    SqliteStore::open(folder + "/none", 1, &name);
  } catch (const SqliteStoreError& e) {
    std::printf("refused%s\n",
                std::string(e.what()).find("no such folder") != std::string::npos ? ", it says so" : "");
  }
  fs::remove_all(folder);
}

// Data that an earlier program wrote: what it holds is read as it was written, leads to the same state, and
// can be gone on with.
//
//   stored_data FIXTURES                 the test: FIXTURES/store_v1 holds the stores and expected.txt
//   stored_data FIXTURES generate FOLDER how they were made: writes the stores and expected.txt into FOLDER
#include <gtest/gtest.h>
#include <stdlib.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <string>

#include "stored/content.h"
#include "stored/dump.h"
#include "stored/stores.h"

using namespace cairnhub;
using namespace cairnhub::stored;
namespace fs = std::filesystem;

namespace {

constexpr unsigned kSnapshotSoon = 8;  // entries
const char* const kLogAlone = "log_alone";
const char* const kSnapshotAndTail = "snapshot_and_tail";
const char* const kSectionMark = "=== ";

fs::path fixture;

// A folder that is gone afterwards, with a copy of one of the fixture's stores.
class TemporaryCopy {
 public:
  explicit TemporaryCopy(const fs::path& original) {
    std::string name = (fs::temp_directory_path() / "cairnhub-stored-XXXXXX").string();
    if (!mkdtemp(name.data())) {
      throw std::runtime_error("no temporary folder");
    }
    folder_ = name;
    for (const auto& file : fs::directory_iterator(original)) {
      const fs::path copy = folder_ / file.path().filename();
      fs::copy_file(file.path(), copy);
      fs::permissions(copy, fs::perms::owner_write, fs::perm_options::add);
    }
  }
  ~TemporaryCopy() { fs::remove_all(folder_); }
  TemporaryCopy(const TemporaryCopy&) = delete;
  TemporaryCopy& operator=(const TemporaryCopy&) = delete;
  std::string path() const { return folder_.string(); }

 private:
  fs::path folder_;
};

using Sections = std::map<std::string, std::string>;

Sections expected_sections() {
  std::ifstream in(fixture / "expected.txt");
  Sections sections;
  std::string line;
  std::string name;
  while (std::getline(in, line)) {
    if (line.rfind(kSectionMark, 0) == 0) {
      name = line.substr(std::string(kSectionMark).size());
    } else {
      sections[name] += line + "\n";
    }
  }
  return sections;
}

// Equal to the letter; says the first line that is not.
::testing::AssertionResult as_expected(const std::string& section, const std::string& found) {
  const Sections sections = expected_sections();
  const auto expected = sections.find(section);
  if (expected == sections.end()) {
    return ::testing::AssertionFailure() << "nothing is expected of \"" << section << "\"";
  }
  std::istringstream wanted(expected->second);
  std::istringstream got(found);
  std::string wanted_line;
  std::string got_line;
  for (int number = 1; std::getline(wanted, wanted_line); ++number) {
    if (!std::getline(got, got_line) || got_line != wanted_line) {
      return ::testing::AssertionFailure() << section << ", line " << number
                                           << "\n  expected: " << wanted_line << "\n  found:    " << got_line;
    }
  }
  if (std::getline(got, got_line)) {
    return ::testing::AssertionFailure() << section << ": more than expected: " << got_line;
  }
  return ::testing::AssertionSuccess();
}

std::string text_of_numbers(const Numbers& numbers) {
  std::string text = "entries became";
  for (const std::uint64_t number : numbers) {
    text += " " + std::to_string(number);
  }
  return text + "\n";
}

std::string stored_text(const fs::path& folder) {
  const TemporaryCopy copy(folder);
  return dump_store(*open_store(copy.path()));
}

std::string replayed_text(const fs::path& folder) {
  const TemporaryCopy copy(folder);
  Numbers numbers;
  const shared_config::VersionHistory versions = replay(*open_store(copy.path()), &numbers);
  return text_of_numbers(numbers) + dump_state(versions);
}

std::string appended_log_text(const fs::path& folder) {
  const TemporaryCopy copy(folder);
  append_to_log_alone(copy.path());
  return dump_store(*open_store(copy.path()));
}

// The engine goes on, closes, opens again with a snapshot due; what is stored then.
std::string appended_engine_text(const fs::path& folder) {
  const TemporaryCopy copy(folder);
  const EngineRun run = run_engine(copy.path(), entries_to_append(), 0);
  const EngineRun again = run_engine(copy.path(), {}, kSnapshotSoon);
  EXPECT_FALSE(run.is_broken);
  EXPECT_FALSE(again.is_broken);
  EXPECT_EQ(run.state, again.state);
  return text_of_numbers(run.numbers) + dump_store(*open_store(copy.path()));
}

Sections found_sections(const fs::path& from) {
  return {{"log alone: stored", stored_text(from / kLogAlone)},
          {"log alone: replayed", replayed_text(from / kLogAlone)},
          {"log alone: appended to", appended_log_text(from / kLogAlone)},
          {"snapshot and tail: stored", stored_text(from / kSnapshotAndTail)},
          {"snapshot and tail: appended to", appended_engine_text(from / kSnapshotAndTail)}};
}

void generate(const fs::path& into) {
  fs::create_directories(into / kLogAlone);
  fs::create_directories(into / kSnapshotAndTail);
  write_log_alone(into / kLogAlone);
  write_snapshot_and_tail(into / kSnapshotAndTail);
  std::ofstream out(into / "expected.txt");
  for (const auto& [name, text] : found_sections(into)) {
    out << kSectionMark << name << "\n" << text;
  }
}

TEST(StoredDataOpens, LogAloneIsReadAsWritten) {
  EXPECT_TRUE(as_expected("log alone: stored", stored_text(fixture / kLogAlone)));
}

TEST(StoredDataOpens, LogAloneLeadsToTheSameState) {
  EXPECT_TRUE(as_expected("log alone: replayed", replayed_text(fixture / kLogAlone)));
}

TEST(StoredDataOpens, LogAloneIsGoneOnWith) {
  EXPECT_TRUE(as_expected("log alone: appended to", appended_log_text(fixture / kLogAlone)));
}

TEST(StoredDataOpens, SnapshotAndTailAreReadAsWritten) {
  EXPECT_TRUE(as_expected("snapshot and tail: stored", stored_text(fixture / kSnapshotAndTail)));
}

// Entry by entry or by a snapshot and what follows it: the same state, in the engine too.
TEST(StoredDataOpens, SnapshotAndTailLeadToTheSameStateAsTheLog) {
  const TemporaryCopy log(fixture / kLogAlone);
  const TemporaryCopy snapshot(fixture / kSnapshotAndTail);
  const std::string by_log = dump_state(replay(*open_store(log.path())));
  EXPECT_EQ(by_log, dump_state(replay(*open_store(snapshot.path()))));
  EXPECT_EQ(by_log, run_engine(snapshot.path(), {}, 0).state);
}

TEST(StoredDataOpens, EngineGoesOnWithSnapshotAndTail) {
  EXPECT_TRUE(
      as_expected("snapshot and tail: appended to", appended_engine_text(fixture / kSnapshotAndTail)));
}

}  // namespace

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  if (argc == 4 && std::string(argv[2]) == "generate") {
    generate(argv[3]);
    return 0;
  }
  if (argc != 2) {
    std::fprintf(stderr, "stored_data FIXTURES [generate FOLDER]\n");
    return 2;
  }
  fixture = fs::path(argv[1]) / "store_v1";
  return RUN_ALL_TESTS();
}

// Holds the records of several brokers against each other. Knows nothing of how they were made.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cairnhub::cluster {

struct Record {
  std::int64_t t = 0;  // CLOCK_MONOTONIC, ns
  std::string who, what;
  std::map<std::string, std::string> text;
  std::map<std::string, std::uint64_t> number;
  std::uint64_t get(const std::string& key) const {
    const auto it = number.find(key);
    return it == number.end() ? 0 : it->second;
  }
  std::string say(const std::string& key) const {
    const auto it = text.find(key);
    return it == text.end() ? "" : it->second;
  }
};

// False where the line is no whole record (a killed process leaves such a one last).
bool read_record(const std::string& line, Record& into);

struct Arrival {  // of a part at a host
  std::int64_t t;
  std::string broker, node;
};

struct Audit {
  std::int64_t longest_contradiction = 0;  // ns that any two acted on versions without one in common
  int out_of_order = 0;     // entries applied not in the order of the log, or twice in one life
  int unequal = 0;          // one version number, two proposals
  int lost = 0;             // accepted, as its proposer was told, and in no later book
  int lists_back = 0;       // an older list taken after a newer one
  int past_grace = 0;       // parts that came to a node later than the grace after its broker knew
  std::int64_t latest = 0;  // ns after that knowledge, of the latest such part
  int at_work = 0;          // parts that came to a node while its machine was handed over for work
  int works_done = 0;       // machines that were handed over, and came back
  int below_least = 0;      // shards left with fewer holders than stated as a work began, emergencies apart
  std::int64_t slowest_news = 0;  // ns from the first broker that knew of a drain to the last
};

struct Known {  // outside the records
  std::vector<Arrival> arrivals;
  std::map<std::uint64_t, std::string> accepted;  // version: proposal, as proposers were told
  std::int64_t grace = 250'000'000;
  // Shard s is held by the nodes s-S to s-(S + width - 1), modulo cells; 0: not looked at.
  int cells = 0, width = 0, holders_least = 0;
};

Audit audit(const std::vector<Record>& records, const Known& known);

}  // namespace cairnhub::cluster

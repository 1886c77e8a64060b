// Operators' options, as read and checked: plain values, no type of the library that reads them. Schema and
// defaults: options.proto; the form is protobuf text format.
#pragma once
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "phases/plan.h"
#include "settings/settings.h"

namespace cairnhub::options {

struct PhasedOpType {
  std::string name;
  phases::Terms terms;  // need, least and budgets come from the platform's settings
  int line = 0;
};

struct Index {
  std::string name, op_type;
  int first = 0, blocks = 1;
  Time timeout = 0;  // 0: the op type's
  int line = 0;
};

struct Search {
  std::vector<Index> indices;
  std::string flavor;
  std::size_t answer_most = 1 << 20, window_most = 10000, items_most = 1000;
};

struct Peer {
  std::string name, address;
};

struct Accord {
  Time stated = 2 * kSecond, replace_after = 30 * kSecond, start_wait = 4 * kSecond;
  double drift = 0.01;
  std::vector<std::string> voters;
  std::string folder, ground_file;
};

struct Fleet {
  std::string name, listen, advertise, key_file, operators, records;
  std::vector<Peer> peers;
  Time probe = kSecond / 2, answer_within = kSecond / 5;
  bool share_lists = true;
  std::optional<Accord> accord;
  int line = 0;
};

struct Options {
  std::string file;
  std::vector<PhasedOpType> two_phase;
  std::optional<Search> search;
  std::optional<Fleet> fleet;
};

// One line: the file, where known the line, the field, and what is allowed.
struct OptionError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

Options read(const std::string& file);  // throws OptionError
Options parse(const std::string& text, const std::string& file);

// Against the settings they are to stand beside: the op types, with their terms completed, by number. Throws
// OptionError.
struct Phased {
  int op_type;
  OpType op;
  phases::Terms terms;
};
std::vector<Phased> resolve(const Options& options, const settings::Settings& settings);

struct ResolvedIndex {
  Index index;
  int op_type;
  OpType op;
};
std::vector<ResolvedIndex> resolve_indices(const Options& options, const settings::Settings& settings);

// Refuses a fleet where the settings forbid brokers to talk to each other. Throws OptionError.
void check_fleet(const Options& options, const settings::Settings& settings);

}  // namespace cairnhub::options

// Operators' options, as read and checked: plain values, no type of the library that reads them. Schema and
// defaults: options.proto; the form is protobuf text format.
#pragma once
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "settings/settings.h"
#include "two_phase/query_plan.h"

namespace cairnhub::options {

struct PhasedOpType {
  std::string name;
  two_phase::PlanOptions terms;  // need, least and budgets come from the platform's settings
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

struct Zone {
  std::string name, region;
  double host_parts_a_second = 0;
};

struct Zones {
  std::string home;
  std::vector<Zone> zones;
  int ground_share = 30, near_step = 8;
  double headroom = 0.1, look_around = 0.01;
  Time confirm = kSecond, dwell = 10 * kSecond, step = 2 * kSecond, region_round_trip = 0;
  Time region_confirm = kSecond, region_dwell = 20 * kSecond, crossing_saved = 2 * kSecond;
  std::vector<std::string> stay_in_region;
  std::vector<std::pair<std::string, std::int64_t>> crossing;  // by op type, bytes a second
  int line = 0;
};

struct Upkeep {
  int holders_least = 1, at_once = 1, a_rack = 1, a_zone = 1, a_region = 1;
  double zone_keep = 0.5, headroom = 0.1;
  Time lost_after = 3600 * kSecond, around = 60 * kSecond, notice = kSecond, look = kSecond / 10;
  bool stop_on_loss = true;
};

struct Fleet {
  std::string name, listen, advertise, key_file, operators, records;
  std::vector<Peer> peers;
  Time probe = kSecond / 2, answer_within = kSecond / 5;
  bool share_lists = true;
  std::optional<Accord> accord;
  std::optional<Zones> zones;
  std::optional<Upkeep> upkeep;
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
  RequestClass op;
  two_phase::PlanOptions terms;
};
std::vector<Phased> resolve(const Options& options, const settings::Settings& settings);

struct ResolvedIndex {
  Index index;
  int op_type;
  RequestClass op;
};
std::vector<ResolvedIndex> resolve_indices(const Options& options, const settings::Settings& settings);

// Refuses a fleet where the settings forbid brokers to talk to each other, and zones that name op types the
// settings don't have. Throws OptionError.
void check_fleet(const Options& options, const settings::Settings& settings);

}  // namespace cairnhub::options

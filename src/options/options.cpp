#include "options/options.h"

#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/text_format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <set>

#include "base/first_error.h"
#include "options.pb.h"

namespace cairnhub::options {

namespace {

using google::protobuf::TextFormat;

// One message with where its fields stand.
struct Checked {
  const std::string& file;
  const google::protobuf::Message& message;
  TextFormat::ParseInfoTree* tree;
  int line;  // of the message itself

  int line_of(const char* field) const {
    const auto* d = message.GetDescriptor()->FindFieldByName(field);
    // Danger: the library ends the reading where a field that may stand often is asked for without an index.
    if (d->is_repeated() && message.GetReflection()->FieldSize(message, d) == 0) return line;
    const int at = tree->GetLocation(d, d->is_repeated() ? 0 : -1).line;
    return at < 0 ? line : at + 1;
  }
  [[noreturn]] void complain(const char* field, const std::string& allowed) const {
    throw OptionError(file + ":" + std::to_string(line_of(field)) + ": " + field + " " + allowed);
  }
  template <class T>
  T within(const char* field, T value, T least, T most) const {
    char allowed[80];
    if (!(value >= least && value <= most)) {
      std::snprintf(allowed, sizeof allowed, "is %g; allowed is %g to %g", static_cast<double>(value),
                    static_cast<double>(least), static_cast<double>(most));
      complain(field, allowed);
    }
    return value;
  }
};

Time ms(std::uint32_t n) { return Time{n} * 1'000'000; }

PhasedOpType phased(const Checked& at, const schema::PhasedOpType& m) {
  PhasedOpType out;
  out.line = at.line;
  out.name = m.name();
  if (out.name.empty()) at.complain("name", "is missing; allowed is the name of an op type");
  two_phase::PlanOptions& t = out.terms;
  t.initial_match_share = at.within("match_share", m.match_share(), 0.05, 0.95);
  t.initial_min_fetch_time = ms(at.within("shortest_fetch_ms", m.shortest_fetch_ms(), 1U, 60000U));
  t.reserved_time = ms(at.within("spare_ms", m.spare_ms(), 0U, 10000U));
  t.max_rematches_per_block = static_cast<int>(at.within("rematches", m.rematches(), 0U, 10U));
  t.rematch_share = at.within("rematch_share", m.rematch_share(), 0.0, 1.0);
  t.max_page_size = at.within("page_most", m.page_most(), 1U, 100000U);
  t.max_fetch_size = at.within("fetch_most", m.fetch_most(), 1U, 10000U);
  t.max_stalls = at.within("stalls_most", m.stalls_most(), 1U, 1000000U);
  t.learns_time_split = m.learn_split(), t.prunes_by_score = m.prune_by_score();
  return out;
}

// Letters that can't be taken for another part of a path, and no underscore first.
bool index_name(const std::string& n) {
  if (n.empty() || n.size() > 128 || n[0] == '_' || n[0] == '-') return false;
  for (const char c : n)
    if (!((c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.')) return false;
  return true;
}

Search search(const schema::Search& m, TextFormat::ParseInfoTree& tree, const schema::Options& whole,
              const std::string& file) {
  Search out;
  const auto* outer = whole.GetDescriptor()->FindFieldByName("search");
  auto* in = tree.GetTreeForNested(outer, -1);
  const Checked self{file, m, in, tree.GetLocation(outer, -1).line + 1};
  out.flavor = m.flavor();
  out.answer_most = std::size_t{self.within("answer_most_kb", m.answer_most_kb(), 1U, 65536U)} << 10;
  out.window_most = self.within("window_most", m.window_most(), 1U, 1000000U);
  out.items_most = self.within("items_most", m.items_most(), 1U, 100000U);
  const auto* inner = m.GetDescriptor()->FindFieldByName("index");
  std::set<std::string> names;
  for (int i = 0; i < m.index_size(); ++i) {
    const auto& x = m.index(i);
    const Checked at{file, x, in->GetTreeForNested(inner, i), in->GetLocation(inner, i).line + 1};
    Index one;
    one.line = at.line;
    one.name = x.name(), one.op_type = x.op_type();
    if (!index_name(one.name))
      at.complain("name",
                  "is '" + one.name +
                      "'; allowed are small letters, digits, '-', '_' and '.', the first a letter or digit");
    if (!names.insert(one.name).second) at.complain("name", "stands twice; allowed is each index once");
    one.first = static_cast<int>(at.within("first_block", x.first_block(), 0U, 65535U));
    one.blocks = static_cast<int>(at.within("blocks", x.blocks(), 1U, 65536U));
    one.timeout = x.has_timeout_ms() ? ms(at.within("timeout_ms", x.timeout_ms(), 1U, 600000U)) : 0;
    out.indices.push_back(std::move(one));
  }
  return out;
}

bool broker_name(const std::string& n) {
  if (n.empty() || n.size() > 64) return false;
  for (const char c : n)
    if (!((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
          c == '_' || c == '.'))
      return false;
  return true;
}
bool address_with_port(const std::string& a) {
  const auto colon = a.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == a.size() || a.size() > 64) return false;
  for (std::size_t i = colon + 1; i < a.size(); ++i)
    if (a[i] < '0' || a[i] > '9') return false;
  return true;
}
constexpr const char* kName = "is missing or no name; allowed are up to 64 letters, digits and -_.";
constexpr const char* kAddress = "is missing or no address; allowed is one with a port";

Accord accord(const Checked& at, const schema::Accord& m) {
  Accord out;
  out.stated = ms(at.within("stated_time_ms", m.stated_time_ms(), 100U, 600000U));
  out.drift = at.within("drift", m.drift(), 0.0, 0.2);
  out.replace_after = ms(at.within("replace_voter_after_ms", m.replace_voter_after_ms(), 1000U, 86400000U));
  out.start_wait =
      m.has_start_wait_ms() ? ms(at.within("start_wait_ms", m.start_wait_ms(), 0U, 600000U)) : 2 * out.stated;
  if (m.voter_size() < 1 || m.voter_size() > 7 || m.voter_size() % 2 == 0)
    at.complain("voter", "names " + std::to_string(m.voter_size()) + "; allowed are 1, 3, 5 or 7");
  std::set<std::string> names;
  for (const auto& v : m.voter()) {
    if (!broker_name(v)) at.complain("voter", kName);
    if (!names.insert(v).second) at.complain("voter", "\"" + v + "\" stands twice");
    out.voters.push_back(v);
  }
  out.folder = m.folder(), out.ground_file = m.ground_file();
  return out;
}

Zones zones(const Checked& at, const schema::Zones& m) {
  Zones out;
  out.line = at.line;
  out.home = m.home();
  const auto* field = m.GetDescriptor()->FindFieldByName("zone");
  std::set<std::string> names;
  for (int i = 0; i < m.zone_size(); ++i) {
    const auto& z = m.zone(i);
    const Checked here{at.file, z, at.tree->GetTreeForNested(field, i),
                       at.tree->GetLocation(field, i).line + 1};
    if (!broker_name(z.name())) here.complain("name", kName);
    if (z.has_region() && !broker_name(z.region())) here.complain("region", kName);
    if (!names.insert(z.name()).second) here.complain("name", "stands twice");
    if (z.has_host_parts_a_second()) here.within("host_parts_a_second", z.host_parts_a_second(), 0.1, 1e7);
    out.zones.push_back({z.name(), z.region(), z.host_parts_a_second()});
  }
  if (m.zone_size() < 2 || m.zone_size() > 64)
    at.complain("zone", "stands " + std::to_string(m.zone_size()) + " times; allowed are 2 to 64");
  if (!names.count(out.home))
    at.complain("home", "is \"" + out.home + "\"; allowed is one of the zones stated");
  out.ground_share = static_cast<int>(at.within("ground_share", m.ground_share(), 0U, 200U));
  out.headroom = at.within("headroom", m.headroom(), 0.0, 0.9);
  out.near_step = static_cast<int>(at.within("near_step", m.near_step(), 0U, 1000U));
  out.look_around = at.within("look_around", m.look_around(), 0.0, 0.1);
  out.confirm = ms(at.within("confirm_ms", m.confirm_ms(), 100U, 60000U));
  out.dwell = ms(at.within("dwell_ms", m.dwell_ms(), 500U, 3600000U));
  out.step = ms(at.within("step_ms", m.step_ms(), 100U, 600000U));
  out.region_round_trip = ms(at.within("region_round_trip_ms", m.region_round_trip_ms(), 0U, 60000U));
  out.stay_in_region = {m.stay_in_region().begin(), m.stay_in_region().end()};
  out.region_confirm = m.has_region_confirm_ms()
                           ? ms(at.within("region_confirm_ms", m.region_confirm_ms(), 100U, 600000U))
                           : out.confirm;
  out.region_dwell = m.has_region_dwell_ms()
                         ? ms(at.within("region_dwell_ms", m.region_dwell_ms(), 500U, 3600000U))
                         : 2 * out.dwell;
  out.crossing_saved = ms(at.within("crossing_saved_ms", m.crossing_saved_ms(), 100U, 600000U));
  std::set<std::string> budgets;
  for (const auto& c : m.crossing()) {
    if (!c.has_bytes_a_second()) at.complain("crossing", "states no bytes_a_second");
    if (!budgets.insert(c.op_type()).second) at.complain("crossing", "\"" + c.op_type() + "\" stands twice");
    out.crossing.emplace_back(c.op_type(), c.bytes_a_second());
  }
  return out;
}

Upkeep upkeep(const Checked& at, const schema::Upkeep& m) {
  Upkeep out;
  const auto count = [&](const char* field, std::uint32_t n, std::uint32_t least) {
    return static_cast<int>(at.within(field, n, least, 1000U));
  };
  out.holders_least = count("holders_least", m.holders_least(), 0);
  out.at_once = count("at_once", m.at_once(), 1), out.a_rack = count("a_rack", m.a_rack(), 1);
  out.a_zone = count("a_zone", m.a_zone(), 1), out.a_region = count("a_region", m.a_region(), 1);
  out.zone_keep = at.within("zone_keep", m.zone_keep(), 0.0, 1.0);
  out.headroom = at.within("headroom", m.headroom(), 0.0, 0.9);
  out.lost_after = ms(at.within("lost_after_ms", m.lost_after_ms(), 1000U, 604800000U));
  out.around = ms(at.within("around_ms", m.around_ms(), 0U, 86400000U));
  out.notice = ms(at.within("notice_ms", m.notice_ms(), 0U, 600000U));
  out.look = ms(at.within("look_ms", m.look_ms(), 10U, 10000U));
  out.stop_on_loss = m.stop_on_loss();
  return out;
}

Fleet fleet(const schema::Fleet& m, TextFormat::ParseInfoTree& tree, const schema::Options& outer,
            const std::string& file) {
  const auto* field = outer.GetDescriptor()->FindFieldByName("fleet");
  auto* in = tree.GetTreeForNested(field, -1);
  const Checked at{file, m, in, tree.GetLocation(field, -1).line + 1};
  Fleet out;
  out.line = at.line;
  out.name = m.name(), out.listen = m.listen(), out.key_file = m.key_file();
  if (!broker_name(out.name)) at.complain("name", kName);
  if (!address_with_port(out.listen)) at.complain("listen", kAddress);
  out.advertise = m.has_advertise() ? m.advertise() : out.listen;
  if (!address_with_port(out.advertise)) at.complain("advertise", kAddress);
  if (out.key_file.empty()) at.complain("key_file", "is missing; allowed is the name of a file");
  if (m.has_operators() && !address_with_port(m.operators())) at.complain("operators", kAddress);
  out.operators = m.operators(), out.records = m.records();
  out.probe = ms(at.within("probe_ms", m.probe_ms(), 20U, 60000U));
  out.answer_within = ms(at.within("answer_within_ms", m.answer_within_ms(), 5U, m.probe_ms()));
  out.share_lists = m.share_lists();
  std::set<std::string> names;
  const auto* peers = m.GetDescriptor()->FindFieldByName("peer");
  for (int i = 0; i < m.peer_size(); ++i) {
    const auto& p = m.peer(i);
    const Checked here{file, p, in->GetTreeForNested(peers, i), in->GetLocation(peers, i).line + 1};
    if (!broker_name(p.name())) here.complain("name", kName);
    if (!names.insert(p.name()).second) here.complain("name", "stands twice");
    if (!address_with_port(p.address())) here.complain("address", kAddress);
    out.peers.push_back({p.name(), p.address()});
  }
  if (m.has_accord()) {
    const auto* f = m.GetDescriptor()->FindFieldByName("accord");
    const Checked here{file, m.accord(), in->GetTreeForNested(f, -1), in->GetLocation(f, -1).line + 1};
    out.accord = accord(here, m.accord());
    for (const auto& v : out.accord->voters)
      if (v != out.name && !names.count(v))
        here.complain("voter", "\"" + v + "\" is neither this broker nor a stated peer");
  }
  if (m.has_zones()) {
    const auto* f = m.GetDescriptor()->FindFieldByName("zones");
    const Checked here{file, m.zones(), in->GetTreeForNested(f, -1), in->GetLocation(f, -1).line + 1};
    out.zones = zones(here, m.zones());
  }
  if (m.has_upkeep()) {
    const auto* f = m.GetDescriptor()->FindFieldByName("upkeep");
    const Checked here{file, m.upkeep(), in->GetTreeForNested(f, -1), in->GetLocation(f, -1).line + 1};
    if (!m.has_accord())
      at.complain("upkeep", "is stated, but no accord; allowed is upkeep beside an accord");
    out.upkeep = upkeep(here, m.upkeep());
  }
  return out;
}

}  // namespace

void check_fleet(const Options& options, const settings::Settings& settings) {
  if (options.fleet && !settings.flag("ceilings.peers", true))
    throw OptionError(
        options.file + ":" + std::to_string(options.fleet->line) +
        ": fleet is stated, but the settings' ceilings.peers forbids brokers to talk to each other");
  if (!options.fleet || !options.fleet->zones) return;
  const auto all = settings::op_types(settings);
  const auto known = [&](const char* field, const std::string& name) {
    if (std::none_of(all.begin(), all.end(), [&](const auto& op) { return op.name == name; }))
      throw OptionError(options.file + ":" + std::to_string(options.fleet->zones->line) + ": " + field +
                        " is '" + name + "'; allowed is an op type of the settings");
  };
  for (const auto& name : options.fleet->zones->stay_in_region) known("stay_in_region", name);
  for (const auto& [name, ignored] : options.fleet->zones->crossing) known("crossing", name);
}

Options read(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw OptionError(file + ": can't be read");
  return parse({std::istreambuf_iterator<char>(in), {}}, file);
}

Options parse(const std::string& text, const std::string& file) {
  schema::Options message;
  TextFormat::Parser parser;
  TextFormat::ParseInfoTree tree;
  FirstError error;
  parser.RecordErrorsTo(&error);
  parser.WriteLocationsTo(&tree);
  if (!parser.ParseFromString(text, &message))
    throw OptionError(file + ":" + (error.text.empty() ? " can't be used" : error.text));
  Options out;
  out.file = file;
  if (message.has_two_phase()) {
    const auto* outer = message.GetDescriptor()->FindFieldByName("two_phase");
    const auto* inner = message.two_phase().GetDescriptor()->FindFieldByName("op_type");
    auto* in = tree.GetTreeForNested(outer, -1);
    std::set<std::string> names;
    for (int i = 0; i < message.two_phase().op_type_size(); ++i) {
      const auto& m = message.two_phase().op_type(i);
      const Checked at{out.file, m, in->GetTreeForNested(inner, i), in->GetLocation(inner, i).line + 1};
      out.two_phase.push_back(phased(at, m));
      if (!names.insert(m.name()).second) at.complain("name", "stands twice; allowed is each op type once");
    }
  }
  if (message.has_fleet()) out.fleet = fleet(message.fleet(), tree, message, out.file);
  if (message.has_search()) out.search = search(message.search(), tree, message, out.file);
  return out;
}

std::vector<ResolvedIndex> resolve_indices(const Options& options, const settings::Settings& settings) {
  std::vector<ResolvedIndex> out;
  if (!options.search) return out;
  const auto all = settings::op_types(settings);
  const int shards = settings.whole("family-info.ranges");
  for (const Index& x : options.search->indices) {
    const auto complain = [&](const std::string& what) {
      throw OptionError(options.file + ":" + std::to_string(x.line) + ": " + what);
    };
    std::size_t i = 0;
    while (i < all.size() && all[i].name != x.op_type) ++i;
    if (i == all.size()) complain("op_type is '" + x.op_type + "'; allowed is an op type of the settings");
    if (all[i].op.idempotency != Idempotency::kIdempotent)
      complain("op_type is '" + x.op_type +
               "', which is not retriable; allowed is one that may be asked again");
    if (x.first + x.blocks > shards)
      complain("first_block and blocks reach past shard " + std::to_string(shards - 1) +
               ", the last of the settings");
    out.push_back({x, static_cast<int>(i), all[i].op});
    if (out.back().index.timeout == 0) out.back().index.timeout = all[i].op.request_timeout;
  }
  return out;
}

std::vector<Phased> resolve(const Options& options, const settings::Settings& settings) {
  const auto all = settings::op_types(settings);
  const Time longest_wait =
      settings.flag("ceilings.retry-after", false) ? settings.span("ceilings.max-retry-after", 0) : 0;
  std::vector<Phased> out;
  for (const PhasedOpType& p : options.two_phase) {
    const auto complain = [&](const std::string& what) {
      throw OptionError(options.file + ":" + std::to_string(p.line) + ": name " + what);
    };
    std::size_t i = 0;
    while (i < all.size() && all[i].name != p.name) ++i;
    if (i == all.size()) complain("is '" + p.name + "'; allowed is an op type of the settings");
    const RequestClass& op = all[i].op;
    if (op.idempotency != Idempotency::kIdempotent)
      complain("is '" + p.name + "', which is not retriable; allowed is an op type that may be asked again");
    Phased& mine = out.emplace_back(Phased{static_cast<int>(i), op, p.terms});
    two_phase::PlanOptions& t = mine.terms;
    t.required_share = op.required_share, t.min_response_share = op.min_response_share;
    t.allows_partial_response = op.min_response_share < op.required_share && op.partial_value_share > 0;
    t.latency_objective = op.latency_objective, t.has_late_value = op.late_value_share > 0;
    t.retry_after = longest_wait;
  }
  return out;
}

}  // namespace cairnhub::options

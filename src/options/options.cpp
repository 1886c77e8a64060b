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

TwoPhaseClass read_two_phase_class(const Checked& at, const schema::PhasedOpType& m) {
  TwoPhaseClass out;
  out.line = at.line;
  out.name = m.name();
  if (out.name.empty()) at.complain("name", "is missing; allowed is the name of an op type");
  two_phase::Terms& t = out.terms;
  t.match_share = at.within("match_share", m.match_share(), 0.05, 0.95);
  t.shortest_fetch = ms(at.within("shortest_fetch_ms", m.shortest_fetch_ms(), 1U, 60000U));
  t.spare = ms(at.within("spare_ms", m.spare_ms(), 0U, 10000U));
  t.rematches = static_cast<int>(at.within("rematches", m.rematches(), 0U, 10U));
  t.rematch_share = at.within("rematch_share", m.rematch_share(), 0.0, 1.0);
  t.page_most = at.within("page_most", m.page_most(), 1U, 100000U);
  t.fetch_most = at.within("fetch_most", m.fetch_most(), 1U, 10000U);
  t.stalls_most = at.within("stalls_most", m.stalls_most(), 1U, 1000000U);
  t.learns = m.learn_split(), t.prunes_by_score = m.prune_by_score();
  return out;
}

// Letters that can't be taken for another part of a path, and no underscore first.
bool is_index_name(const std::string& n) {
  if (n.empty() || n.size() > 128 || n[0] == '_' || n[0] == '-') return false;
  for (const char c : n)
    if (!((c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.')) return false;
  return true;
}

SearchOptions read_search(const schema::Search& m, TextFormat::ParseInfoTree& tree,
                          const schema::Options& whole, const std::string& file) {
  SearchOptions out;
  const auto* outer = whole.GetDescriptor()->FindFieldByName("search");
  auto* in = tree.GetTreeForNested(outer, -1);
  const Checked self{file, m, in, tree.GetLocation(outer, -1).line + 1};
  out.flavor = m.flavor();
  out.max_response_bytes = std::size_t{self.within("answer_most_kb", m.answer_most_kb(), 1U, 65536U)} << 10;
  out.max_window = self.within("window_most", m.window_most(), 1U, 1000000U);
  out.max_items = self.within("items_most", m.items_most(), 1U, 100000U);
  const auto* inner = m.GetDescriptor()->FindFieldByName("index");
  std::set<std::string> names;
  for (int i = 0; i < m.index_size(); ++i) {
    const auto& x = m.index(i);
    const Checked at{file, x, in->GetTreeForNested(inner, i), in->GetLocation(inner, i).line + 1};
    SearchIndex one;
    one.line = at.line;
    one.name = x.name(), one.request_class = x.op_type();
    if (!is_index_name(one.name))
      at.complain("name",
                  "is '" + one.name +
                      "'; allowed are small letters, digits, '-', '_' and '.', the first a letter or digit");
    if (!names.insert(one.name).second) at.complain("name", "stands twice; allowed is each index once");
    one.first_shard = static_cast<int>(at.within("first_block", x.first_block(), 0U, 65535U));
    one.shard_count = static_cast<int>(at.within("blocks", x.blocks(), 1U, 65536U));
    one.timeout = x.has_timeout_ms() ? ms(at.within("timeout_ms", x.timeout_ms(), 1U, 600000U)) : 0;
    out.indices.push_back(std::move(one));
  }
  return out;
}

bool is_broker_name(const std::string& n) {
  if (n.empty() || n.size() > 64) return false;
  for (const char c : n)
    if (!((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
          c == '_' || c == '.'))
      return false;
  return true;
}
bool is_address_with_port(const std::string& a) {
  const auto colon = a.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == a.size() || a.size() > 64) return false;
  for (std::size_t i = colon + 1; i < a.size(); ++i)
    if (a[i] < '0' || a[i] > '9') return false;
  return true;
}
constexpr const char* kName = "is missing or no name; allowed are up to 64 letters, digits and -_.";
constexpr const char* kAddress = "is missing or no address; allowed is one with a port";

SharedConfigOptions read_shared_config(const Checked& at, const schema::Accord& m) {
  SharedConfigOptions out;
  out.max_divergence_time = ms(at.within("stated_time_ms", m.stated_time_ms(), 100U, 600000U));
  out.max_clock_drift = at.within("drift", m.drift(), 0.0, 0.2);
  out.voter_replacement_delay =
      ms(at.within("replace_voter_after_ms", m.replace_voter_after_ms(), 1000U, 86400000U));
  out.max_start_wait = m.has_start_wait_ms() ? ms(at.within("start_wait_ms", m.start_wait_ms(), 0U, 600000U))
                                             : 2 * out.max_divergence_time;
  if (m.voter_size() < 1 || m.voter_size() > 7 || m.voter_size() % 2 == 0)
    at.complain("voter", "names " + std::to_string(m.voter_size()) + "; allowed are 1, 3, 5 or 7");
  std::set<std::string> names;
  for (const auto& v : m.voter()) {
    if (!is_broker_name(v)) at.complain("voter", kName);
    if (!names.insert(v).second) at.complain("voter", "\"" + v + "\" stands twice");
    out.voters.push_back(v);
  }
  out.store_folder = m.folder(), out.baseline_path = m.ground_file();
  return out;
}

ZoneFailoverOptions read_zone_failover(const Checked& at, const schema::Zones& m) {
  ZoneFailoverOptions out;
  out.line = at.line;
  out.home_zone = m.home();
  const auto* field = m.GetDescriptor()->FindFieldByName("zone");
  std::set<std::string> names;
  for (int i = 0; i < m.zone_size(); ++i) {
    const auto& z = m.zone(i);
    const Checked here{at.file, z, at.tree->GetTreeForNested(field, i),
                       at.tree->GetLocation(field, i).line + 1};
    if (!is_broker_name(z.name())) here.complain("name", kName);
    if (z.has_region() && !is_broker_name(z.region())) here.complain("region", kName);
    if (!names.insert(z.name()).second) here.complain("name", "stands twice");
    if (z.has_host_parts_a_second()) here.within("host_parts_a_second", z.host_parts_a_second(), 0.1, 1e7);
    out.zones.push_back({z.name(), z.region(), z.host_parts_a_second()});
  }
  if (m.zone_size() < 2 || m.zone_size() > 64)
    at.complain("zone", "stands " + std::to_string(m.zone_size()) + " times; allowed are 2 to 64");
  if (!names.count(out.home_zone))
    at.complain("home", "is \"" + out.home_zone + "\"; allowed is one of the zones stated");
  out.min_share_thousandths = static_cast<int>(at.within("ground_share", m.ground_share(), 0U, 200U));
  out.headroom_share = at.within("headroom", m.headroom(), 0.0, 0.9);
  out.local_queue_advantage = static_cast<int>(at.within("near_step", m.near_step(), 0U, 1000U));
  out.exploration_share = at.within("look_around", m.look_around(), 0.0, 0.1);
  out.confirmation_time = ms(at.within("confirm_ms", m.confirm_ms(), 100U, 60000U));
  out.min_dwell = ms(at.within("dwell_ms", m.dwell_ms(), 500U, 3600000U));
  out.step_interval = ms(at.within("step_ms", m.step_ms(), 100U, 600000U));
  out.region_round_trip_time = ms(at.within("region_round_trip_ms", m.region_round_trip_ms(), 0U, 60000U));
  out.region_bound_classes = {m.stay_in_region().begin(), m.stay_in_region().end()};
  out.region_confirmation_time =
      m.has_region_confirm_ms() ? ms(at.within("region_confirm_ms", m.region_confirm_ms(), 100U, 600000U))
                                : out.confirmation_time;
  out.min_region_dwell = m.has_region_dwell_ms()
                             ? ms(at.within("region_dwell_ms", m.region_dwell_ms(), 500U, 3600000U))
                             : 2 * out.min_dwell;
  out.max_saved_budget_time = ms(at.within("crossing_saved_ms", m.crossing_saved_ms(), 100U, 600000U));
  std::set<std::string> budgets;
  for (const auto& c : m.crossing()) {
    if (!c.has_bytes_a_second()) at.complain("crossing", "states no bytes_a_second");
    if (!budgets.insert(c.op_type()).second) at.complain("crossing", "\"" + c.op_type() + "\" stands twice");
    out.cross_zone_bytes_per_second.emplace_back(c.op_type(), c.bytes_a_second());
  }
  return out;
}

MaintenanceOptions read_maintenance(const Checked& at, const schema::Upkeep& m) {
  MaintenanceOptions out;
  const auto count = [&](const char* field, std::uint32_t n, std::uint32_t least) {
    return static_cast<int>(at.within(field, n, least, 1000U));
  };
  out.min_warm_replicas = count("holders_least", m.holders_least(), 0);
  out.max_machines = count("at_once", m.at_once(), 1),
  out.max_machines_per_rack = count("a_rack", m.a_rack(), 1);
  out.max_machines_per_zone = count("a_zone", m.a_zone(), 1),
  out.max_machines_per_region = count("a_region", m.a_region(), 1);
  out.min_in_service_zone_share = at.within("zone_keep", m.zone_keep(), 0.0, 1.0);
  out.headroom_share = at.within("headroom", m.headroom(), 0.0, 0.9);
  out.lost_machine_timeout = ms(at.within("lost_after_ms", m.lost_after_ms(), 1000U, 604800000U));
  out.transition_time = ms(at.within("around_ms", m.around_ms(), 0U, 86400000U));
  out.leave_notice = ms(at.within("notice_ms", m.notice_ms(), 0U, 600000U));
  out.check_interval = ms(at.within("look_ms", m.look_ms(), 10U, 10000U));
  out.stops_on_loss = m.stop_on_loss();
  return out;
}

ClusterOptions read_cluster(const schema::Fleet& m, TextFormat::ParseInfoTree& tree,
                            const schema::Options& outer, const std::string& file) {
  const auto* field = outer.GetDescriptor()->FindFieldByName("fleet");
  auto* in = tree.GetTreeForNested(field, -1);
  const Checked at{file, m, in, tree.GetLocation(field, -1).line + 1};
  ClusterOptions out;
  out.line = at.line;
  out.name = m.name(), out.listen_address = m.listen(), out.key_path = m.key_file();
  if (!is_broker_name(out.name)) at.complain("name", kName);
  if (!is_address_with_port(out.listen_address)) at.complain("listen", kAddress);
  out.advertised_address = m.has_advertise() ? m.advertise() : out.listen_address;
  if (!is_address_with_port(out.advertised_address)) at.complain("advertise", kAddress);
  if (out.key_path.empty()) at.complain("key_file", "is missing; allowed is the name of a file");
  if (m.has_operators() && !is_address_with_port(m.operators())) at.complain("operators", kAddress);
  out.admin_address = m.operators(), out.event_log_path = m.records();
  out.probe_interval = ms(at.within("probe_ms", m.probe_ms(), 20U, 60000U));
  out.probe_timeout = ms(at.within("answer_within_ms", m.answer_within_ms(), 5U, m.probe_ms()));
  out.shares_endpoint_lists = m.share_lists();
  std::set<std::string> names;
  const auto* peers = m.GetDescriptor()->FindFieldByName("peer");
  for (int i = 0; i < m.peer_size(); ++i) {
    const auto& p = m.peer(i);
    const Checked here{file, p, in->GetTreeForNested(peers, i), in->GetLocation(peers, i).line + 1};
    if (!is_broker_name(p.name())) here.complain("name", kName);
    if (!names.insert(p.name()).second) here.complain("name", "stands twice");
    if (!is_address_with_port(p.address())) here.complain("address", kAddress);
    out.peers.push_back({p.name(), p.address()});
  }
  if (m.has_accord()) {
    const auto* f = m.GetDescriptor()->FindFieldByName("accord");
    const Checked here{file, m.accord(), in->GetTreeForNested(f, -1), in->GetLocation(f, -1).line + 1};
    out.shared_config = read_shared_config(here, m.accord());
    for (const auto& v : out.shared_config->voters)
      if (v != out.name && !names.count(v))
        here.complain("voter", "\"" + v + "\" is neither this broker nor a stated peer");
  }
  if (m.has_zones()) {
    const auto* f = m.GetDescriptor()->FindFieldByName("zones");
    const Checked here{file, m.zones(), in->GetTreeForNested(f, -1), in->GetLocation(f, -1).line + 1};
    out.zone_failover = read_zone_failover(here, m.zones());
  }
  if (m.has_upkeep()) {
    const auto* f = m.GetDescriptor()->FindFieldByName("upkeep");
    const Checked here{file, m.upkeep(), in->GetTreeForNested(f, -1), in->GetLocation(f, -1).line + 1};
    if (!m.has_accord())
      at.complain("upkeep", "is stated, but no accord; allowed is upkeep beside an accord");
    out.maintenance = read_maintenance(here, m.upkeep());
  }
  return out;
}

}  // namespace

void check_cluster(const Options& options, const settings::Settings& settings) {
  if (options.cluster && !settings.flag("ceilings.peers", true))
    throw OptionError(
        options.file + ":" + std::to_string(options.cluster->line) +
        ": fleet is stated, but the settings' ceilings.peers forbids brokers to talk to each other");
  if (!options.cluster || !options.cluster->zone_failover) return;
  const auto all = settings::request_classes(settings);
  const auto known = [&](const char* field, const std::string& name) {
    if (std::none_of(all.begin(), all.end(), [&](const auto& op) { return op.name == name; }))
      throw OptionError(options.file + ":" + std::to_string(options.cluster->zone_failover->line) + ": " +
                        field + " is '" + name + "'; allowed is an op type of the settings");
  };
  for (const auto& name : options.cluster->zone_failover->region_bound_classes) known("stay_in_region", name);
  for (const auto& [name, ignored] : options.cluster->zone_failover->cross_zone_bytes_per_second)
    known("crossing", name);
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
      out.two_phase_classes.push_back(read_two_phase_class(at, m));
      if (!names.insert(m.name()).second) at.complain("name", "stands twice; allowed is each op type once");
    }
  }
  if (message.has_fleet()) out.cluster = read_cluster(message.fleet(), tree, message, out.file);
  if (message.has_search()) out.search = read_search(message.search(), tree, message, out.file);
  return out;
}

std::vector<ResolvedSearchIndex> resolve_search_indices(const Options& options,
                                                        const settings::Settings& settings) {
  std::vector<ResolvedSearchIndex> out;
  if (!options.search) return out;
  const auto all = settings::request_classes(settings);
  const int shards = settings.integer("family-info.ranges");
  for (const SearchIndex& x : options.search->indices) {
    const auto complain = [&](const std::string& what) {
      throw OptionError(options.file + ":" + std::to_string(x.line) + ": " + what);
    };
    std::size_t i = 0;
    while (i < all.size() && all[i].name != x.request_class) ++i;
    if (i == all.size())
      complain("op_type is '" + x.request_class + "'; allowed is an op type of the settings");
    if (all[i].properties.idempotency != Idempotency::kIdempotent)
      complain("op_type is '" + x.request_class +
               "', which is not retriable; allowed is one that may be asked again");
    if (x.first_shard + x.shard_count > shards)
      complain("first_block and blocks reach past shard " + std::to_string(shards - 1) +
               ", the last of the settings");
    out.push_back({x, static_cast<int>(i), all[i].properties});
    if (out.back().index.timeout == 0) out.back().index.timeout = all[i].properties.request_timeout;
  }
  return out;
}

std::vector<ResolvedTwoPhaseClass> resolve_two_phase_classes(const Options& options,
                                                             const settings::Settings& settings) {
  const auto all = settings::request_classes(settings);
  const Time longest_wait =
      settings.flag("ceilings.retry-after", false) ? settings.duration("ceilings.max-retry-after", 0) : 0;
  std::vector<ResolvedTwoPhaseClass> out;
  for (const TwoPhaseClass& p : options.two_phase_classes) {
    const auto complain = [&](const std::string& what) {
      throw OptionError(options.file + ":" + std::to_string(p.line) + ": name " + what);
    };
    std::size_t i = 0;
    while (i < all.size() && all[i].name != p.name) ++i;
    if (i == all.size()) complain("is '" + p.name + "'; allowed is an op type of the settings");
    const RequestClass& op = all[i].properties;
    if (op.idempotency != Idempotency::kIdempotent)
      complain("is '" + p.name + "', which is not retriable; allowed is an op type that may be asked again");
    ResolvedTwoPhaseClass& mine = out.emplace_back(ResolvedTwoPhaseClass{static_cast<int>(i), op, p.terms});
    two_phase::Terms& t = mine.terms;
    t.need = op.required_share, t.least = op.min_response_share;
    t.partial = op.min_response_share < op.required_share && op.partial_value_share > 0;
    t.latency_budget = op.latency_objective, t.late_earns = op.late_value_share > 0;
    t.come_back = longest_wait;
  }
  return out;
}

}  // namespace cairnhub::options

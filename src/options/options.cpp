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

// A protobuf message with the lines of its fields, for checks and error messages.
struct MessageReader {
  const std::string& file;
  const google::protobuf::Message& message;
  TextFormat::ParseInfoTree* tree;
  int line;  // where the message begins

  int line_of(const char* field) const {
    const auto* descriptor = message.GetDescriptor()->FindFieldByName(field);
    // Protobuf aborts the process when the location of a repeated field is asked for without an index.
    if (descriptor->is_repeated() && message.GetReflection()->FieldSize(message, descriptor) == 0)
      return line;
    const int zero_based_line = tree->GetLocation(descriptor, descriptor->is_repeated() ? 0 : -1).line;
    return zero_based_line < 0 ? line : zero_based_line + 1;
  }
  [[noreturn]] void fail(const char* field, const std::string& problem) const {
    throw OptionError(file + ":" + std::to_string(line_of(field)) + ": " + field + " " + problem);
  }
  // Returns the value, or throws where it is outside [min, max]. NaN is outside.
  template <class T>
  T checked(const char* field, T value, T min, T max) const {
    char problem[80];
    if (!(value >= min && value <= max)) {
      std::snprintf(problem, sizeof problem, "is %g; allowed is %g to %g", static_cast<double>(value),
                    static_cast<double>(min), static_cast<double>(max));
      fail(field, problem);
    }
    return value;
  }
};

Time from_ms(std::uint32_t milliseconds) { return Time{milliseconds} * 1'000'000; }

TwoPhaseClass read_two_phase_class(const MessageReader& reader, const schema::PhasedOpType& message) {
  TwoPhaseClass options;
  options.line = reader.line;
  options.name = message.name();
  if (options.name.empty()) reader.fail("name", "is missing; allowed is the name of an op type");
  two_phase::PlanOptions& terms = options.terms;
  terms.initial_match_share = reader.checked("match_share", message.match_share(), 0.05, 0.95);
  terms.initial_min_fetch_time =
      from_ms(reader.checked("shortest_fetch_ms", message.shortest_fetch_ms(), 1U, 60000U));
  terms.reserved_time = from_ms(reader.checked("spare_ms", message.spare_ms(), 0U, 10000U));
  terms.max_rematches_per_block = static_cast<int>(reader.checked("rematches", message.rematches(), 0U, 10U));
  terms.rematch_share = reader.checked("rematch_share", message.rematch_share(), 0.0, 1.0);
  terms.max_page_size = reader.checked("page_most", message.page_most(), 1U, 100000U);
  terms.max_fetch_size = reader.checked("fetch_most", message.fetch_most(), 1U, 10000U);
  terms.max_stalls = reader.checked("stalls_most", message.stalls_most(), 1U, 1000000U);
  terms.learns_time_split = message.learn_split();
  terms.prunes_by_score = message.prune_by_score();
  return options;
}

// Index names stand in request paths, where names that begin with an underscore are reserved for the API.
bool is_index_name(const std::string& name) {
  if (name.empty() || name.size() > 128 || name[0] == '_' || name[0] == '-') return false;
  for (const char c : name)
    if (!((c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.')) return false;
  return true;
}

SearchOptions read_search(const schema::Search& search, TextFormat::ParseInfoTree& tree,
                          const schema::Options& outer, const std::string& file) {
  SearchOptions options;
  const auto* search_field = outer.GetDescriptor()->FindFieldByName("search");
  auto* search_tree = tree.GetTreeForNested(search_field, -1);
  const MessageReader reader{file, search, search_tree, tree.GetLocation(search_field, -1).line + 1};
  options.flavor = search.flavor();
  options.max_response_bytes =
      std::size_t{reader.checked("answer_most_kb", search.answer_most_kb(), 1U, 65536U)} << 10;
  options.max_window = reader.checked("window_most", search.window_most(), 1U, 1000000U);
  options.max_items = reader.checked("items_most", search.items_most(), 1U, 100000U);
  const auto* index_field = search.GetDescriptor()->FindFieldByName("index");
  std::set<std::string> names;
  for (int i = 0; i < search.index_size(); ++i) {
    const auto& message = search.index(i);
    const MessageReader index_reader{file, message, search_tree->GetTreeForNested(index_field, i),
                                     search_tree->GetLocation(index_field, i).line + 1};
    SearchIndex index;
    index.line = index_reader.line;
    index.name = message.name();
    index.request_class = message.op_type();
    if (!is_index_name(index.name))
      index_reader.fail(
          "name", "is '" + index.name +
                      "'; allowed are small letters, digits, '-', '_' and '.', the first a letter or digit");
    if (!names.insert(index.name).second)
      index_reader.fail("name", "stands twice; allowed is each index once");
    index.first_shard =
        static_cast<int>(index_reader.checked("first_block", message.first_block(), 0U, 65535U));
    index.shard_count = static_cast<int>(index_reader.checked("blocks", message.blocks(), 1U, 65536U));
    index.timeout = message.has_timeout_ms()
                        ? from_ms(index_reader.checked("timeout_ms", message.timeout_ms(), 1U, 600000U))
                        : 0;
    options.indices.push_back(std::move(index));
  }
  return options;
}

bool is_broker_name(const std::string& name) {
  if (name.empty() || name.size() > 64) return false;
  for (const char c : name)
    if (!((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
          c == '_' || c == '.'))
      return false;
  return true;
}
bool is_address_with_port(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == address.size() || address.size() > 64)
    return false;
  for (std::size_t i = colon + 1; i < address.size(); ++i)
    if (address[i] < '0' || address[i] > '9') return false;
  return true;
}
std::string name_problem(const std::string& name) {
  return "is \"" + name + "\"; allowed are 1 to 64 letters, digits, '-', '_' and '.'";
}
std::string address_problem(const std::string& address) {
  return "is \"" + address + "\"; allowed is HOST:PORT with at most 64 characters";
}

SharedConfigOptions read_shared_config(const MessageReader& reader, const schema::Accord& message) {
  SharedConfigOptions options;
  options.max_divergence_time =
      from_ms(reader.checked("stated_time_ms", message.stated_time_ms(), 100U, 600000U));
  options.max_clock_drift = reader.checked("drift", message.drift(), 0.0, 0.2);
  options.voter_replacement_delay =
      from_ms(reader.checked("replace_voter_after_ms", message.replace_voter_after_ms(), 1000U, 86400000U));
  options.max_start_wait =
      message.has_start_wait_ms()
          ? from_ms(reader.checked("start_wait_ms", message.start_wait_ms(), 0U, 600000U))
          : 2 * options.max_divergence_time;
  if (message.voter_size() < 1 || message.voter_size() > 7 || message.voter_size() % 2 == 0)
    reader.fail("voter", "names " + std::to_string(message.voter_size()) + "; allowed are 1, 3, 5 or 7");
  std::set<std::string> names;
  for (const auto& voter : message.voter()) {
    if (!is_broker_name(voter)) reader.fail("voter", name_problem(voter));
    if (!names.insert(voter).second) reader.fail("voter", "\"" + voter + "\" stands twice");
    options.voters.push_back(voter);
  }
  options.store_folder = message.folder();
  options.baseline_path = message.ground_file();
  return options;
}

ZoneFailoverOptions read_zone_failover(const MessageReader& reader, const schema::Zones& message) {
  ZoneFailoverOptions options;
  options.line = reader.line;
  options.home_zone = message.home();
  const auto* field = message.GetDescriptor()->FindFieldByName("zone");
  std::set<std::string> names;
  for (int i = 0; i < message.zone_size(); ++i) {
    const auto& zone = message.zone(i);
    const MessageReader nested_reader{reader.file, zone, reader.tree->GetTreeForNested(field, i),
                                      reader.tree->GetLocation(field, i).line + 1};
    if (!is_broker_name(zone.name())) nested_reader.fail("name", name_problem(zone.name()));
    if (zone.has_region() && !is_broker_name(zone.region()))
      nested_reader.fail("region", name_problem(zone.region()));
    if (!names.insert(zone.name()).second) nested_reader.fail("name", "stands twice");
    if (zone.has_host_parts_a_second())
      nested_reader.checked("host_parts_a_second", zone.host_parts_a_second(), 0.1, 1e7);
    options.zones.push_back({zone.name(), zone.region(), zone.host_parts_a_second()});
  }
  if (message.zone_size() < 2 || message.zone_size() > 64)
    reader.fail("zone", "stands " + std::to_string(message.zone_size()) + " times; allowed are 2 to 64");
  if (!names.count(options.home_zone))
    reader.fail("home", "is \"" + options.home_zone + "\"; allowed is one of the zones stated");
  options.min_share_thousandths =
      static_cast<int>(reader.checked("ground_share", message.ground_share(), 0U, 200U));
  options.headroom_share = reader.checked("headroom", message.headroom(), 0.0, 0.9);
  options.local_queue_advantage =
      static_cast<int>(reader.checked("near_step", message.near_step(), 0U, 1000U));
  options.exploration_share = reader.checked("look_around", message.look_around(), 0.0, 0.1);
  options.confirmation_time = from_ms(reader.checked("confirm_ms", message.confirm_ms(), 100U, 60000U));
  options.min_dwell = from_ms(reader.checked("dwell_ms", message.dwell_ms(), 500U, 3600000U));
  options.step_interval = from_ms(reader.checked("step_ms", message.step_ms(), 100U, 600000U));
  options.region_round_trip_time =
      from_ms(reader.checked("region_round_trip_ms", message.region_round_trip_ms(), 0U, 60000U));
  options.region_bound_classes = {message.stay_in_region().begin(), message.stay_in_region().end()};
  options.region_confirmation_time =
      message.has_region_confirm_ms()
          ? from_ms(reader.checked("region_confirm_ms", message.region_confirm_ms(), 100U, 600000U))
          : options.confirmation_time;
  options.min_region_dwell =
      message.has_region_dwell_ms()
          ? from_ms(reader.checked("region_dwell_ms", message.region_dwell_ms(), 500U, 3600000U))
          : 2 * options.min_dwell;
  options.max_saved_budget_time =
      from_ms(reader.checked("crossing_saved_ms", message.crossing_saved_ms(), 100U, 600000U));
  std::set<std::string> budgets;
  for (const auto& crossing : message.crossing()) {
    if (!crossing.has_bytes_a_second())
      reader.fail("crossing", "\"" + crossing.op_type() + "\" has no bytes_a_second");
    if (!budgets.insert(crossing.op_type()).second)
      reader.fail("crossing", "\"" + crossing.op_type() + "\" stands twice");
    options.cross_zone_bytes_per_second.emplace_back(crossing.op_type(), crossing.bytes_a_second());
  }
  return options;
}

MaintenanceOptions read_maintenance(const MessageReader& reader, const schema::Upkeep& message) {
  MaintenanceOptions options;
  const auto count = [&](const char* field, std::uint32_t value, std::uint32_t min) {
    return static_cast<int>(reader.checked(field, value, min, 1000U));
  };
  options.min_warm_replicas = count("holders_least", message.holders_least(), 0);
  options.max_machines = count("at_once", message.at_once(), 1);
  options.max_machines_per_rack = count("a_rack", message.a_rack(), 1);
  options.max_machines_per_zone = count("a_zone", message.a_zone(), 1);
  options.max_machines_per_region = count("a_region", message.a_region(), 1);
  options.min_in_service_zone_share = reader.checked("zone_keep", message.zone_keep(), 0.0, 1.0);
  options.headroom_share = reader.checked("headroom", message.headroom(), 0.0, 0.9);
  options.lost_machine_timeout =
      from_ms(reader.checked("lost_after_ms", message.lost_after_ms(), 1000U, 604800000U));
  options.transition_time = from_ms(reader.checked("around_ms", message.around_ms(), 0U, 86400000U));
  options.leave_notice = from_ms(reader.checked("notice_ms", message.notice_ms(), 0U, 600000U));
  options.check_interval = from_ms(reader.checked("look_ms", message.look_ms(), 10U, 10000U));
  options.stops_on_loss = message.stop_on_loss();
  return options;
}

ClusterOptions read_cluster(const schema::Fleet& message, TextFormat::ParseInfoTree& tree,
                            const schema::Options& outer, const std::string& file) {
  const auto* field = outer.GetDescriptor()->FindFieldByName("fleet");
  auto* cluster_tree = tree.GetTreeForNested(field, -1);
  const MessageReader reader{file, message, cluster_tree, tree.GetLocation(field, -1).line + 1};
  ClusterOptions options;
  options.line = reader.line;
  options.name = message.name();
  options.listen_address = message.listen();
  options.key_path = message.key_file();
  if (!is_broker_name(options.name)) reader.fail("name", name_problem(options.name));
  if (!is_address_with_port(options.listen_address))
    reader.fail("listen", address_problem(options.listen_address));
  options.advertised_address = message.has_advertise() ? message.advertise() : options.listen_address;
  if (!is_address_with_port(options.advertised_address))
    reader.fail("advertise", address_problem(options.advertised_address));
  if (options.key_path.empty()) reader.fail("key_file", "is missing; allowed is the name of a file");
  if (message.has_operators() && !is_address_with_port(message.operators()))
    reader.fail("operators", address_problem(message.operators()));
  options.admin_address = message.operators();
  options.event_log_path = message.records();
  options.probe_interval = from_ms(reader.checked("probe_ms", message.probe_ms(), 20U, 60000U));
  options.probe_timeout =
      from_ms(reader.checked("answer_within_ms", message.answer_within_ms(), 5U, message.probe_ms()));
  options.shares_endpoint_lists = message.share_lists();
  std::set<std::string> names;
  const auto* peers = message.GetDescriptor()->FindFieldByName("peer");
  for (int i = 0; i < message.peer_size(); ++i) {
    const auto& peer = message.peer(i);
    const MessageReader nested_reader{file, peer, cluster_tree->GetTreeForNested(peers, i),
                                      cluster_tree->GetLocation(peers, i).line + 1};
    if (!is_broker_name(peer.name())) nested_reader.fail("name", name_problem(peer.name()));
    if (!names.insert(peer.name()).second) nested_reader.fail("name", "stands twice");
    if (!is_address_with_port(peer.address())) nested_reader.fail("address", address_problem(peer.address()));
    options.peers.push_back({peer.name(), peer.address()});
  }
  if (message.has_accord()) {
    const auto* nested = message.GetDescriptor()->FindFieldByName("accord");
    const MessageReader nested_reader{file, message.accord(), cluster_tree->GetTreeForNested(nested, -1),
                                      cluster_tree->GetLocation(nested, -1).line + 1};
    options.shared_config = read_shared_config(nested_reader, message.accord());
    for (const auto& voter : options.shared_config->voters)
      if (voter != options.name && !names.count(voter))
        nested_reader.fail("voter", "\"" + voter + "\" is neither this broker nor one of its peers");
  }
  if (message.has_zones()) {
    const auto* nested = message.GetDescriptor()->FindFieldByName("zones");
    const MessageReader nested_reader{file, message.zones(), cluster_tree->GetTreeForNested(nested, -1),
                                      cluster_tree->GetLocation(nested, -1).line + 1};
    options.zone_failover = read_zone_failover(nested_reader, message.zones());
  }
  if (message.has_upkeep()) {
    const auto* nested = message.GetDescriptor()->FindFieldByName("upkeep");
    const MessageReader nested_reader{file, message.upkeep(), cluster_tree->GetTreeForNested(nested, -1),
                                      cluster_tree->GetLocation(nested, -1).line + 1};
    if (!message.has_accord()) reader.fail("upkeep", "requires accord, which is absent");
    options.maintenance = read_maintenance(nested_reader, message.upkeep());
  }
  return options;
}

}  // namespace

void check_cluster(const Options& options, const settings::Settings& settings) {
  if (options.cluster && !settings.flag("ceilings.peers", true))
    throw OptionError(options.file + ":" + std::to_string(options.cluster->line) +
                      ": fleet is given, but the setting ceilings.peers is false and forbids brokers to talk "
                      "to each other");
  if (!options.cluster || !options.cluster->zone_failover) return;
  const auto classes = settings::request_classes(settings);
  const auto check_class = [&](const char* field, const std::string& name) {
    if (std::none_of(classes.begin(), classes.end(), [&](const auto& known) { return known.name == name; }))
      throw OptionError(options.file + ":" + std::to_string(options.cluster->zone_failover->line) + ": " +
                        field + " is '" + name + "'; allowed is an op type of the settings");
  };
  for (const auto& name : options.cluster->zone_failover->region_bound_classes)
    check_class("stay_in_region", name);
  for (const auto& [name, ignored] : options.cluster->zone_failover->cross_zone_bytes_per_second)
    check_class("crossing", name);
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
    throw OptionError(file + ":" + (error.text.empty() ? " is not valid protobuf text" : error.text));
  Options options;
  options.file = file;
  if (message.has_two_phase()) {
    const auto* two_phase_field = message.GetDescriptor()->FindFieldByName("two_phase");
    const auto* class_field = message.two_phase().GetDescriptor()->FindFieldByName("op_type");
    auto* two_phase_tree = tree.GetTreeForNested(two_phase_field, -1);
    std::set<std::string> names;
    for (int i = 0; i < message.two_phase().op_type_size(); ++i) {
      const auto& request_class = message.two_phase().op_type(i);
      const MessageReader reader{options.file, request_class,
                                 two_phase_tree->GetTreeForNested(class_field, i),
                                 two_phase_tree->GetLocation(class_field, i).line + 1};
      options.two_phase_classes.push_back(read_two_phase_class(reader, request_class));
      if (!names.insert(request_class.name()).second)
        reader.fail("name", "stands twice; allowed is each op type once");
    }
  }
  if (message.has_fleet()) options.cluster = read_cluster(message.fleet(), tree, message, options.file);
  if (message.has_search()) options.search = read_search(message.search(), tree, message, options.file);
  return options;
}

std::vector<ResolvedSearchIndex> resolve_search_indices(const Options& options,
                                                        const settings::Settings& settings) {
  std::vector<ResolvedSearchIndex> resolved;
  if (!options.search) return resolved;
  const auto classes = settings::request_classes(settings);
  const int shard_count = settings.integer("family-info.ranges");
  for (const SearchIndex& index : options.search->indices) {
    const auto fail = [&](const std::string& problem) {
      throw OptionError(options.file + ":" + std::to_string(index.line) + ": " + problem);
    };
    std::size_t i = 0;
    while (i < classes.size() && classes[i].name != index.request_class) ++i;
    if (i == classes.size())
      fail("op_type is '" + index.request_class + "'; allowed is an op type of the settings");
    if (classes[i].properties.idempotency != Idempotency::kIdempotent)
      fail("op_type is '" + index.request_class +
           "', which is not retriable; allowed is one that may be asked again");
    if (index.first_shard + index.shard_count > shard_count)
      fail("first_block " + std::to_string(index.first_shard) + " and blocks " +
           std::to_string(index.shard_count) + " reach past shard " + std::to_string(shard_count - 1) +
           ", the last of the settings");
    resolved.push_back({index, static_cast<int>(i), classes[i].properties});
    if (resolved.back().index.timeout == 0)
      resolved.back().index.timeout = classes[i].properties.request_timeout;
  }
  return resolved;
}

std::vector<ResolvedTwoPhaseClass> resolve_two_phase_classes(const Options& options,
                                                             const settings::Settings& settings) {
  const auto classes = settings::request_classes(settings);
  const Time max_retry_after =
      settings.flag("ceilings.retry-after", false) ? settings.duration("ceilings.max-retry-after", 0) : 0;
  std::vector<ResolvedTwoPhaseClass> resolved;
  for (const TwoPhaseClass& two_phase_class : options.two_phase_classes) {
    const auto fail = [&](const std::string& problem) {
      throw OptionError(options.file + ":" + std::to_string(two_phase_class.line) + ": name " + problem);
    };
    std::size_t i = 0;
    while (i < classes.size() && classes[i].name != two_phase_class.name) ++i;
    if (i == classes.size()) fail("is '" + two_phase_class.name + "'; allowed is an op type of the settings");
    const RequestClass& properties = classes[i].properties;
    if (properties.idempotency != Idempotency::kIdempotent)
      fail("is '" + two_phase_class.name +
           "', which is not retriable; allowed is an op type that may be asked again");
    ResolvedTwoPhaseClass& added =
        resolved.emplace_back(ResolvedTwoPhaseClass{static_cast<int>(i), properties, two_phase_class.terms});
    two_phase::PlanOptions& terms = added.terms;
    terms.required_share = properties.required_share;
    terms.min_response_share = properties.min_response_share;
    terms.allows_partial_response =
        properties.min_response_share < properties.required_share && properties.partial_value_share > 0;
    terms.latency_objective = properties.latency_objective;
    terms.has_late_value = properties.late_value_share > 0;
    terms.retry_after = max_retry_after;
  }
  return resolved;
}

}  // namespace cairnhub::options

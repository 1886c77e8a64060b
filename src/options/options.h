// The operator's options of one broker, read from protobuf text and checked. The structs hold plain values,
// so that their users don't depend on protobuf. options.proto holds the schema and the defaults.
#pragma once
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "settings/settings.h"
#include "two_phase/query_plan.h"

namespace cairnhub::options {

// A request class that clients may query in two phases.
struct TwoPhaseClass {
  std::string name;
  // The required share, the minimum response share and the latency budget come from the platform's settings:
  // resolve_two_phase_classes() fills them in.
  two_phase::PlanOptions terms;
  int line = 0;
};

// An index of the query API: a range of shards, and the request class that searches of it belong to.
struct SearchIndex {
  std::string name;
  std::string request_class;
  int first_shard = 0;
  int shard_count = 1;
  Time timeout = 0;  // 0: the request class's timeout
  int line = 0;
};

// The OpenSearch-style query API.
struct SearchOptions {
  std::vector<SearchIndex> indices;
  std::string flavor;  // endpoints listed with this flavor speak the API over HTTP
  std::size_t max_response_bytes = 1 << 20;
  std::size_t max_window = 10000;  // from + size
  std::size_t max_items = 1000;    // searches in one _msearch, documents in one _mget
};

// Another broker of the cluster that is known from the start.
struct PeerOptions {
  std::string name;
  std::string address;
};

// The configuration that the brokers of a cluster agree on.
struct SharedConfigOptions {
  // The longest time for which two brokers may act on contradicting versions.
  Time max_divergence_time = 2 * kSecond;
  Time voter_replacement_delay = 30 * kSecond;
  Time max_start_wait = 4 * kSecond;  // a starting broker waits so long for its first answer
  double max_clock_drift = 0.01;      // share of a clock's rate
  std::vector<std::string> voters;
  std::string store_folder;   // empty: the broker doesn't vote
  std::string baseline_path;  // file with the rules that hold before any version is known; empty: none
};

struct ZoneOptions {
  std::string name;
  std::string region;
  double endpoint_capacity_per_second = 0;  // shard requests; 0: not configured
};

// The zones that brokers and endpoints stand in, and how traffic moves between them.
struct ZoneFailoverOptions {
  std::string home_zone;
  std::vector<ZoneOptions> zones;
  int min_share_thousandths = 30;  // of the traffic, that each other zone may get without agreement
  int local_queue_advantage = 8;   // batches by which a local endpoint's queue may be longer
  double headroom_share = 0.1;
  double exploration_share = 0.01;
  Time confirmation_time = kSecond;
  Time min_dwell = 10 * kSecond;
  Time step_interval = 2 * kSecond;
  Time region_round_trip_time = 0;  // 0: not configured
  Time region_confirmation_time = kSecond;
  Time min_region_dwell = 20 * kSecond;
  Time max_saved_budget_time = 2 * kSecond;  // an unspent budget is kept for so long
  std::vector<std::string> region_bound_classes;
  std::vector<std::pair<std::string, std::int64_t>> cross_zone_bytes_per_second;  // by request class
  int line = 0;
};

// The limits on taking machines out of service for maintenance.
struct MaintenanceOptions {
  int min_warm_replicas = 1;  // per shard
  int max_machines = 1;
  int max_machines_per_rack = 1;
  int max_machines_per_zone = 1;
  int max_machines_per_region = 1;
  double min_in_service_zone_share = 0.5;
  double headroom_share = 0.1;
  Time lost_machine_timeout = 3600 * kSecond;  // after the planned end of its maintenance
  Time transition_time = 60 * kSecond;         // planned for draining and warming up
  Time leave_notice = kSecond;                 // from a broker's health check failing to its leaving
  Time check_interval = kSecond / 10;
  bool stops_on_loss = true;
};

// The cluster of brokers that this broker belongs to.
struct ClusterOptions {
  std::string name;
  std::string listen_address;
  std::string advertised_address;
  std::string key_path;
  std::string admin_address;   // empty: no admin API
  std::string event_log_path;  // empty: no event log
  std::vector<PeerOptions> peers;
  Time probe_interval = kSecond / 2;
  Time probe_timeout = kSecond / 5;
  bool shares_endpoint_lists = true;
  std::optional<SharedConfigOptions> shared_config;
  std::optional<ZoneFailoverOptions> zone_failover;
  std::optional<MaintenanceOptions> maintenance;
  int line = 0;
};

struct Options {
  std::string file;
  std::vector<TwoPhaseClass> two_phase_classes;
  std::optional<SearchOptions> search;
  std::optional<ClusterOptions> cluster;
};

// The message is one line with the file, the line where it is known, the option and the allowed values.
struct OptionError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Reads and checks an options file.
// @throws OptionError
Options read(const std::string& file);

// Parses and checks protobuf text.
// @param file the name of the file, for error messages
// @throws OptionError
Options parse(const std::string& text, const std::string& file);

// A TwoPhaseClass with its terms completed from the settings.
struct ResolvedTwoPhaseClass {
  int class_index;
  RequestClass properties;
  two_phase::PlanOptions terms;
};
// Finds the two-phase classes among the request classes of the settings.
// @throws OptionError for a class that is unknown or not retriable
std::vector<ResolvedTwoPhaseClass> resolve_two_phase_classes(const Options& options,
                                                             const settings::Settings& settings);

// A SearchIndex with its request class and its timeout filled in.
struct ResolvedSearchIndex {
  SearchIndex index;
  int class_index;
  RequestClass properties;
};
// Finds the request class of every index, and checks that the settings have its shards.
// @throws OptionError for a class that is unknown or not retriable, and for shards past the last one
std::vector<ResolvedSearchIndex> resolve_search_indices(const Options& options,
                                                        const settings::Settings& settings);

// Checks that the settings allow brokers to talk to each other, and have the request classes that the zone
// failover options name. Options without a cluster pass.
// @throws OptionError
void check_cluster(const Options& options, const settings::Settings& settings);

}  // namespace cairnhub::options

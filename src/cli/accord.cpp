#include "cli/accord.h"

#include <sodium.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "cli/operator.h"
#include "options/options.h"
#include "shared_config/raft_node.h"
#include "shared_config/rule_set.h"
#include "shared_config/sqlite_store.h"

namespace cairnhub::cli {

namespace {

// @return the text with four spaces in front of each line
std::string indented(const std::string& text) {
  std::string indented_text;
  for (std::size_t start = 0; start < text.size();) {
    const auto end = std::min(text.find('\n', start), text.size());
    indented_text += "    " + text.substr(start, end - start) + "\n";
    start = end + 1;
  }
  return indented_text;
}

// @return the strings of a JSON array, with commas between them
std::string joined(const json& list) {
  std::string names;
  for (const auto& name : list) names += (names.empty() ? "" : ", ") + name.get<std::string>();
  return names;
}

int show_peers(const ClientOptions& options) {
  int status = kSuccess;
  const auto response = fetch(options, "/peers", status);
  if (!response) return status;
  if (options.prints_json) {
    std::printf("%s\n", response->dump(2).c_str());
    return kSuccess;
  }
  std::printf("%s: %llu others alive, local health %lld\n", (*response)["name"].get<std::string>().c_str(),
              (*response)["alive"].get<unsigned long long>(), (*response)["local_health"].get<long long>());
  for (const auto& peer : (*response)["peers"]) {
    std::printf("  %-20s %-8s %s%s\n", peer["name"].get<std::string>().c_str(),
                peer["health"].get<std::string>().c_str(), peer["address"].get<std::string>().c_str(),
                peer["stated"].get<bool>() ? " (stated)" : "");
  }
  const auto& lists = (*response)["lists"];
  std::printf("list: revision %llu%s, withholding %llu by hearsay\n", lists["own"].get<unsigned long long>(),
              lists["behind"].get<bool>()
                  ? (", BEHIND " + std::to_string(lists["newest"].get<unsigned long long>())).c_str()
                  : "",
              lists["withholding"].get<unsigned long long>());
  return kSuccess;
}

int show_status(const ClientOptions& options) {
  int status = kSuccess;
  const auto response = fetch(options, "/accord/status", status);
  if (!response) return status;
  if (options.prints_json) {
    std::printf("%s\n", response->dump(2).c_str());
    return kSuccess;
  }
  const auto& active = (*response)["acts_on"];
  if (active.is_object()) {
    const auto low = active["low"].get<unsigned long long>();
    const auto high = active["high"].get<unsigned long long>();
    if (low == high) {
      std::printf("%s acts on version %llu", (*response)["name"].get<std::string>().c_str(), low);
    } else {
      std::printf("%s acts on what versions %llu to %llu have in common",
                  (*response)["name"].get<std::string>().c_str(), low, high);
    }
    std::printf(", its lease runs %.0f ms on\n", (*response)["lease_left_ms"].get<double>());
  } else {
    std::printf("%s has NO LEASE and acts on the common ground, %llu\n",
                (*response)["name"].get<std::string>().c_str(),
                (*response)["ground"].get<unsigned long long>());
  }
  const std::string leader = (*response)["leader"].get<std::string>();
  std::printf("leader: %s%s\n", leader.empty() ? "not known" : leader.c_str(),
              (*response)["leads"].get<bool>() ? " (this one)" : "");
  if ((*response)["store_failed"].get<bool>()) std::printf("its store FAILED: it votes no more\n");
  std::string voters;
  for (const auto& voter : (*response)["voters"]) {
    voters += (voters.empty() ? "" : ", ") + voter["name"].get<std::string>() +
              (voter["votes"].get<bool>() ? "" : " (not yet)");
  }
  if (!voters.empty())
    std::printf("voters: %s; term %llu\n", voters.c_str(), (*response)["term"].get<unsigned long long>());
  const std::string delaying_version = joined((*response)["force_waits_for"]);
  const std::string delaying_baseline = joined((*response)["ground_waits_for"]);
  if (!delaying_version.empty()) std::printf("a newer version waits for: %s\n", delaying_version.c_str());
  if (!delaying_baseline.empty()) std::printf("a new ground waits for: %s\n", delaying_baseline.c_str());
  std::printf("rules %s:\n%s", (*response)["hash"].get<std::string>().c_str(),
              indented((*response)["rules"].get<std::string>()).c_str());
  return kSuccess;
}

int show_history(const ClientOptions& options) {
  int status = kSuccess;
  const auto response = fetch(options, "/accord/history", status);
  if (!response) return status;
  if (options.prints_json) {
    std::printf("%s\n", response->dump(2).c_str());
    return kSuccess;
  }
  const auto print_version = [](const char* label, const json& version) {
    std::printf("%s %llu %s %s: %s\n", label, version["number"].get<unsigned long long>(),
                version["hash"].get<std::string>().c_str(), version["who"].get<std::string>().c_str(),
                version["why"].get<std::string>().c_str());
  };
  for (const auto& version : (*response)["versions"]) print_version("version", version);
  print_version("ground", (*response)["ground"]);
  if (response->contains("ground_next")) print_version("next ground", (*response)["ground_next"]);
  return kSuccess;
}

// @param history the response of /accord/history
// @return the rules of one version, as text; nothing if the broker doesn't know the version
std::optional<std::string> rules_of_version(const json& history, std::uint64_t number) {
  for (const auto& version : history["versions"]) {
    if (version["number"].get<std::uint64_t>() == number) return version["rules"].get<std::string>();
  }
  return std::nullopt;
}

// Splits rules in protobuf text into their top-level fields, each on one line, so that the rules of one op
// type stay together in a diff.
std::set<std::string> top_level_fields(const std::string& text) {
  std::set<std::string> fields;
  std::string field;
  int depth = 0;
  for (std::size_t start = 0; start < text.size();) {
    const auto end = std::min(text.find('\n', start), text.size());
    const std::string line = text.substr(start, end - start);
    start = end + 1;
    const auto first = line.find_first_not_of(' ');
    if (first == std::string::npos) continue;
    field += (field.empty() ? "" : " ") + line.substr(first);
    if (line.back() == '{') ++depth;
    if (line.back() == '}') --depth;
    if (depth == 0) fields.insert(std::exchange(field, {}));
  }
  return fields;
}

int diff(const ClientOptions& options) {
  int status = kSuccess;
  const auto response = fetch(options, "/accord/history", status);
  if (!response) return status;
  const auto old_rules = rules_of_version(*response, options.number);
  const auto new_rules = rules_of_version(*response, options.other_version);
  if (!old_rules || !new_rules) {
    return report_error(kFailure, "version " +
                                      std::to_string(old_rules ? options.other_version : options.number) +
                                      " is not known there");
  }
  const auto old_fields = top_level_fields(*old_rules);
  const auto new_fields = top_level_fields(*new_rules);
  json changes{{"removed", json::array()}, {"added", json::array()}};
  for (const auto& field : old_fields) {
    if (!new_fields.count(field)) changes["removed"].push_back(field);
  }
  for (const auto& field : new_fields) {
    if (!old_fields.count(field)) changes["added"].push_back(field);
  }
  if (options.prints_json) {
    std::printf("%s\n", changes.dump(2).c_str());
    return kSuccess;
  }
  for (const auto& field : changes["removed"]) std::printf("- %s\n", field.get<std::string>().c_str());
  for (const auto& field : changes["added"]) std::printf("+ %s\n", field.get<std::string>().c_str());
  return kSuccess;
}

// Proposes rules as the next version or the next baseline.
// @param undo_of the version whose rules are proposed again, based on the newest version; 0: read the rules
//   from the file
int propose_rules(ClientOptions options, bool is_baseline, std::uint64_t undo_of) {
  int status = kSuccess;
  const auto history = fetch(options, "/accord/history", status);
  if (!history) return status;
  std::string text;
  if (undo_of) {
    const auto rules = rules_of_version(*history, undo_of);
    if (!rules) return report_error(kFailure, "version " + std::to_string(undo_of) + " is not known there");
    shared_config::RuleSet undone = shared_config::parse_accepted_rule_set(*rules, "version");
    undone.endpoints_in_maintenance.clear();  // an operator's proposal leaves them as they are
    text = shared_config::proposal_text(undone);
    if (options.why.empty()) options.why = "back to version " + std::to_string(undo_of);
  } else {
    std::ifstream file(options.rules_path, std::ios::binary);
    if (!file) return report_error(kFailure, options.rules_path + ": can't be read");
    text.assign(std::istreambuf_iterator<char>(file), {});
    shared_config::parse_rule_set(text, options.rules_path);  // throws with the line of an error
  }
  std::uint64_t base = options.base_version;
  if (!base) {
    base = is_baseline ? (*history)["ground"]["number"].get<std::uint64_t>()
                       : history->at("versions").back()["number"].get<std::uint64_t>();
  }
  return submit_proposal(options, {{"kind", is_baseline ? "ground" : "version"},
                                   {"rules", text},
                                   {"base", base},
                                   {"who", options.who},
                                   {"why", options.why},
                                   {"id", options.id.empty() ? random_proposal_id() : options.id}});
}

// Opens the store in the folder that the options state. The broker must be stopped.
// @param voter_id the voter id for a store that is created here
// @throws std::runtime_error if the options state no folder
std::unique_ptr<shared_config::SqliteStore> open_store(const options::Options& broker_options,
                                                       std::uint64_t voter_id) {
  if (!broker_options.cluster || !broker_options.cluster->shared_config ||
      broker_options.cluster->shared_config->store_folder.empty())
    throw std::runtime_error(broker_options.file + ": states no accord with a folder");
  std::string damaged_path;
  auto store = shared_config::SqliteStore::open(broker_options.cluster->shared_config->store_folder, voter_id,
                                                &damaged_path);
  if (!damaged_path.empty())
    std::fprintf(stderr, "cairnhub: the store was damaged and is set aside as %s\n", damaged_path.c_str());
  return store;
}

// Creates the store of one of the first voters.
int init(const ClientOptions& options) {
  const auto broker_options = options::read(options.options_path);
  if (!broker_options.cluster || !broker_options.cluster->shared_config)
    throw std::runtime_error(broker_options.file + ": states no accord");
  const auto& voters = broker_options.cluster->shared_config->voters;
  if (std::find(voters.begin(), voters.end(), broker_options.cluster->name) == voters.end())
    return report_error(kFailure, broker_options.cluster->name + " is not among the voters stated");
  if (shared_config::SqliteStore::exists(broker_options.cluster->shared_config->store_folder)) {
    return report_error(kFailure, broker_options.cluster->shared_config->store_folder +
                                      " holds a store already; nothing is changed");
  }
  const auto store =
      open_store(broker_options, shared_config::initial_voter_id(broker_options.cluster->name));
  std::vector<shared_config::RaftMember> first_voters;
  for (const auto& voter : voters)
    first_voters.push_back({shared_config::initial_voter_id(voter), voter, true});
  if (!shared_config::RaftNode::bootstrap(*store, first_voters))
    return report_error(kFailure, "the store can't be written");
  std::printf("%s is a voter of %zu; init the others with the same voters, once each, then start them\n",
              broker_options.cluster->name.c_str(), voters.size());
  return kSuccess;
}

// Makes the voter whose store is in the folder the only voter, after a majority of voters is lost
// permanently.
int recover(const ClientOptions& options) {
  if (!options.confirms_majority_lost) {
    return report_error(
        kInvalidArguments,
        "recover makes this store's log the only truth: what other voters alone held is lost, and it "
        "must be run at one voter only, with all others stopped for good; add --a-majority-is-lost");
  }
  const auto broker_options = options::read(options.options_path);
  const auto store = open_store(broker_options, 1);
  if (store->loaded_state().term == 0) return report_error(kFailure, "this store holds no log");
  if (!shared_config::RaftNode::force_voters(
          *store, {{store->loaded_state().voter_id, broker_options.cluster->name, true}}))
    return report_error(kFailure, "the store can't be written");
  std::printf("%s is the only voter now; the others begin with empty folders and are taken in one by one\n",
              broker_options.cluster->name.c_str());
  return kSuccess;
}

}  // namespace

void add_accord(CLI::App& app, int& status) {
  auto options = std::make_shared<ClientOptions>();
  auto* peers = app.add_subcommand("peers", "show the other brokers, as one broker sees them");
  add_connection_options(peers, options);
  set_action(peers, status, [options] { return show_peers(*options); });

  auto* accord = app.add_subcommand("accord", "show and change the rules that all brokers share");
  accord->require_subcommand(1);
  accord->footer(
      "Exit status: 0 success; 1 failure, or the proposal was rejected; 2 invalid arguments; 3 no response "
      "from the broker; "
      "4 not known whether the proposal was accepted.");
  auto* status_command = accord->add_subcommand(
      "status", "show the rules in effect at a broker, and the brokers that delay newer ones");
  add_connection_options(status_command, options);
  set_action(status_command, status, [options] { return show_status(*options); });
  auto* history_command = accord->add_subcommand("history", "list the versions, oldest first");
  add_connection_options(history_command, options);
  set_action(history_command, status, [options] { return show_history(*options); });
  auto* diff_command = accord->add_subcommand("diff", "show the differences between two versions");
  add_connection_options(diff_command, options);
  diff_command->add_option("A", options->number, "the old version")->required();
  diff_command->add_option("B", options->other_version, "the new version")->required();
  set_action(diff_command, status, [options] { return diff(*options); });
  auto* propose_command = accord->add_subcommand(
      "propose", "propose the rules in a file as the next version, or as the next common ground");
  add_connection_options(propose_command, options);
  add_proposal_options(propose_command, options, true);
  propose_command->add_option("FILE", options->rules_path, "the rules (protobuf text)")->required();
  propose_command->add_option(
      "--base", options->base_version,
      "the version, or ground, that the proposal follows; without it, the newest that the broker knows");
  propose_command->add_flag("--ground", options->proposes_baseline,
                            "propose the next common ground: the rules for a broker without a lease");
  set_action(propose_command, status,
             [options] { return propose_rules(*options, options->proposes_baseline, 0); });
  auto* undo_command = accord->add_subcommand("undo", "propose the rules of an earlier version again");
  add_connection_options(undo_command, options);
  add_proposal_options(undo_command, options, false);
  undo_command->add_option("VERSION", options->number, "the version whose rules to propose again")
      ->required();
  set_action(undo_command, status, [options] { return propose_rules(*options, false, options->number); });
  auto* strike_command = accord->add_subcommand(
      "strike", "remove a broker that never comes back, so that no new ground waits for it");
  add_connection_options(strike_command, options);
  add_proposal_options(strike_command, options, true);
  strike_command->add_option("NAME", options->target_name, "the name of the broker")->required();
  set_action(strike_command, status, [options] {
    return submit_proposal(*options, {{"kind", "strike"},
                                      {"name", options->target_name},
                                      {"who", options->who},
                                      {"why", options->why},
                                      {"id", options->id.empty() ? random_proposal_id() : options->id}});
  });
  auto* init_command = accord->add_subcommand(
      "init", "create the store of a stopped broker as one of the first voters; once for each");
  init_command->add_option("--options", options->options_path, "the options file of the broker")
      ->envname("CAIRNHUB_OPTIONS")
      ->required();
  set_action(init_command, status, [options] { return init(*options); });
  auto* recover_command = accord->add_subcommand(
      "recover", "after a majority of voters is lost for good: continue from this broker's store alone");
  recover_command->add_option("--options", options->options_path, "the options file of the broker")
      ->envname("CAIRNHUB_OPTIONS")
      ->required();
  recover_command->add_flag("--a-majority-is-lost", options->confirms_majority_lost,
                            "confirm that a majority of voters is lost for good");
  set_action(recover_command, status, [options] { return recover(*options); });
}

}  // namespace cairnhub::cli

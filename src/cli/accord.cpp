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

std::string indented(const std::string& text) {
  std::string out;
  for (std::size_t at = 0; at < text.size();) {
    const auto end = std::min(text.find('\n', at), text.size());
    out += "    " + text.substr(at, end - at) + "\n";
    at = end + 1;
  }
  return out;
}

std::string joined(const json& list) {
  std::string out;
  for (const auto& x : list) out += (out.empty() ? "" : ", ") + x.get<std::string>();
  return out;
}

int show_peers(const Said& s) {
  int status = kDone;
  const auto j = fetch(s, "/peers", status);
  if (!j) return status;
  if (s.as_json) return std::printf("%s\n", j->dump(2).c_str()), kDone;
  std::printf("%s: %llu others alive, local health %lld\n", (*j)["name"].get<std::string>().c_str(),
              (*j)["alive"].get<unsigned long long>(), (*j)["local_health"].get<long long>());
  for (const auto& p : (*j)["peers"])
    std::printf("  %-20s %-8s %s%s\n", p["name"].get<std::string>().c_str(),
                p["health"].get<std::string>().c_str(), p["address"].get<std::string>().c_str(),
                p["stated"].get<bool>() ? " (stated)" : "");
  const auto& l = (*j)["lists"];
  std::printf("list: revision %llu%s, withholding %llu by hearsay\n", l["own"].get<unsigned long long>(),
              l["behind"].get<bool>()
                  ? (", BEHIND " + std::to_string(l["newest"].get<unsigned long long>())).c_str()
                  : "",
              l["withholding"].get<unsigned long long>());
  return kDone;
}

int show_status(const Said& s) {
  int status = kDone;
  const auto j = fetch(s, "/accord/status", status);
  if (!j) return status;
  if (s.as_json) return std::printf("%s\n", j->dump(2).c_str()), kDone;
  const auto& on = (*j)["acts_on"];
  if (on.is_object()) {
    const auto low = on["low"].get<unsigned long long>(), high = on["high"].get<unsigned long long>();
    if (low == high)
      std::printf("%s acts on version %llu", (*j)["name"].get<std::string>().c_str(), low);
    else
      std::printf("%s acts on what versions %llu to %llu have in common",
                  (*j)["name"].get<std::string>().c_str(), low, high);
    std::printf(", its lease runs %.0f ms on\n", (*j)["lease_left_ms"].get<double>());
  } else {
    std::printf("%s has NO LEASE and acts on the common ground, %llu\n",
                (*j)["name"].get<std::string>().c_str(), (*j)["ground"].get<unsigned long long>());
  }
  const std::string leader = (*j)["leader"].get<std::string>();
  std::printf("leader: %s%s\n", leader.empty() ? "not known" : leader.c_str(),
              (*j)["leads"].get<bool>() ? " (this one)" : "");
  if ((*j)["store_failed"].get<bool>()) std::printf("its store FAILED: it votes no more\n");
  std::string voters;
  for (const auto& v : (*j)["voters"])
    voters += (voters.empty() ? "" : ", ") + v["name"].get<std::string>() +
              (v["votes"].get<bool>() ? "" : " (not yet)");
  if (!voters.empty())
    std::printf("voters: %s; term %llu\n", voters.c_str(), (*j)["term"].get<unsigned long long>());
  const std::string force = joined((*j)["force_waits_for"]), ground = joined((*j)["ground_waits_for"]);
  if (!force.empty()) std::printf("a newer version waits for: %s\n", force.c_str());
  if (!ground.empty()) std::printf("a new ground waits for: %s\n", ground.c_str());
  std::printf("rules %s:\n%s", (*j)["hash"].get<std::string>().c_str(),
              indented((*j)["rules"].get<std::string>()).c_str());
  return kDone;
}

int show_history(const Said& s) {
  int status = kDone;
  const auto j = fetch(s, "/accord/history", status);
  if (!j) return status;
  if (s.as_json) return std::printf("%s\n", j->dump(2).c_str()), kDone;
  const auto line = [](const char* what, const json& v) {
    std::printf("%s %llu %s %s: %s\n", what, v["number"].get<unsigned long long>(),
                v["hash"].get<std::string>().c_str(), v["who"].get<std::string>().c_str(),
                v["why"].get<std::string>().c_str());
  };
  for (const auto& v : (*j)["versions"]) line("version", v);
  line("ground", (*j)["ground"]);
  if (j->contains("ground_next")) line("next ground", (*j)["ground_next"]);
  return kDone;
}

std::optional<std::string> rules_of(const json& history, std::uint64_t number) {
  for (const auto& v : history["versions"])
    if (v["number"].get<std::uint64_t>() == number) return v["rules"].get<std::string>();
  return std::nullopt;
}

std::set<std::string> lines(const std::string& text) {
  std::set<std::string> all;
  // By field rather than by line, so that one op type's rules stay together.
  std::string field;
  int depth = 0;
  for (std::size_t at = 0; at < text.size();) {
    const auto end = std::min(text.find('\n', at), text.size());
    const std::string line = text.substr(at, end - at);
    at = end + 1;
    const auto first = line.find_first_not_of(' ');
    if (first == std::string::npos) continue;
    field += (field.empty() ? "" : " ") + line.substr(first);
    if (line.back() == '{') ++depth;
    if (line.back() == '}') --depth;
    if (depth == 0) all.insert(std::exchange(field, {}));
  }
  return all;
}

int diff(const Said& s) {
  int status = kDone;
  const auto j = fetch(s, "/accord/history", status);
  if (!j) return status;
  const auto a = rules_of(*j, s.number), b = rules_of(*j, s.other);
  if (!a || !b)
    return complain(kRefused, "version " + std::to_string(a ? s.other : s.number) + " is not known there");
  const auto left = lines(*a), right = lines(*b);
  json out{{"removed", json::array()}, {"added", json::array()}};
  for (const auto& l : left)
    if (!right.count(l)) out["removed"].push_back(l);
  for (const auto& l : right)
    if (!left.count(l)) out["added"].push_back(l);
  if (s.as_json) return std::printf("%s\n", out.dump(2).c_str()), kDone;
  for (const auto& l : out["removed"]) std::printf("- %s\n", l.get<std::string>().c_str());
  for (const auto& l : out["added"]) std::printf("+ %s\n", l.get<std::string>().c_str());
  return kDone;
}

// `undo_of`: not 0: the rules of that version are proposed anew, on top of the newest.
int propose_rules(Said s, bool ground, std::uint64_t undo_of) {
  int status = kDone;
  const auto history = fetch(s, "/accord/history", status);
  if (!history) return status;
  std::string text;
  if (undo_of) {
    const auto rules = rules_of(*history, undo_of);
    if (!rules) return complain(kRefused, "version " + std::to_string(undo_of) + " is not known there");
    text = *rules;
    if (s.why.empty()) s.why = "back to version " + std::to_string(undo_of);
  } else {
    std::ifstream in(s.file, std::ios::binary);
    if (!in) return complain(kRefused, s.file + ": can't be read");
    text.assign(std::istreambuf_iterator<char>(in), {});
    shared_config::parse_rules(text, s.file);  // its faults are told with their place
  }
  std::uint64_t base = s.base;
  if (!base)
    base = ground ? (*history)["ground"]["number"].get<std::uint64_t>()
                  : history->at("versions").back()["number"].get<std::uint64_t>();
  return propose(s, {{"kind", ground ? "ground" : "version"},
                     {"rules", text},
                     {"base", base},
                     {"who", s.who},
                     {"why", s.why},
                     {"id", s.id.empty() ? fresh_id() : s.id}});
}

// The fleet's options with the folder to work on, the broker being stopped.
std::unique_ptr<shared_config::SqliteStore> folder_of(const options::Options& o, std::uint64_t id) {
  if (!o.fleet || !o.fleet->accord || o.fleet->accord->folder.empty())
    throw std::runtime_error(o.file + ": states no accord with a folder");
  std::string aside;
  auto store = shared_config::SqliteStore::open(o.fleet->accord->folder, id, &aside);
  if (!aside.empty())
    std::fprintf(stderr, "cairnhub: the store was damaged and is set aside as %s\n", aside.c_str());
  return store;
}

int init(const Said& s) {
  const auto o = options::read(s.options);
  if (!o.fleet || !o.fleet->accord) throw std::runtime_error(o.file + ": states no accord");
  const auto& voters = o.fleet->accord->voters;
  if (std::find(voters.begin(), voters.end(), o.fleet->name) == voters.end())
    return complain(kRefused, o.fleet->name + " is not among the voters stated");
  if (shared_config::SqliteStore::exists(o.fleet->accord->folder))
    return complain(kRefused, o.fleet->accord->folder + " holds a store already; nothing is changed");
  const auto store = folder_of(o, shared_config::initial_voter_id(o.fleet->name));
  std::vector<shared_config::RaftMember> first;
  for (const auto& v : voters) first.push_back({shared_config::initial_voter_id(v), v, true});
  if (!shared_config::RaftNode::bootstrap(*store, first))
    return complain(kRefused, "the store can't be written");
  std::printf("%s is a voter of %zu; init the others with the same voters, once each, then start them\n",
              o.fleet->name.c_str(), voters.size());
  return kDone;
}

int recover(const Said& s) {
  if (!s.sure)
    return complain(
        kUsage,
        "recover makes this store's log the only truth: what other voters alone held is lost, and it "
        "must be run at one voter only, with all others stopped for good; add --a-majority-is-lost");
  const auto o = options::read(s.options);
  const auto store = folder_of(o, 1);
  if (store->loaded_state().term == 0) return complain(kRefused, "this store holds no log");
  if (!shared_config::RaftNode::force_voters(*store, {{store->loaded_state().voter_id, o.fleet->name, true}}))
    return complain(kRefused, "the store can't be written");
  std::printf("%s is the only voter now; the others begin with empty folders and are taken in one by one\n",
              o.fleet->name.c_str());
  return kDone;
}

}  // namespace

void add_accord(CLI::App& app, int& status) {
  auto said = std::make_shared<Said>();
  auto* peers = app.add_subcommand("peers", "who the other brokers are, as one of them knows");
  where(peers, said);
  run(peers, status, [said] { return show_peers(*said); });

  auto* accord = app.add_subcommand("accord", "what brokers agree on");
  accord->require_subcommand(1);
  accord->footer(
      "Exit status: 0 done, 1 refused or wrong, 2 unusable arguments, 3 no answer, 4 not known whether it "
      "was taken.");
  auto* st = accord->add_subcommand("status", "what a broker acts on, and what is being waited for");
  where(st, said);
  run(st, status, [said] { return show_status(*said); });
  auto* hist = accord->add_subcommand("history", "the versions, oldest first");
  where(hist, said);
  run(hist, status, [said] { return show_history(*said); });
  auto* d = accord->add_subcommand("diff", "what two versions differ in");
  where(d, said);
  d->add_option("A", said->number, "a version")->required();
  d->add_option("B", said->other, "another")->required();
  run(d, status, [said] { return diff(*said); });
  auto* p =
      accord->add_subcommand("propose", "make a file of rules the next version, or the next common ground");
  where(p, said);
  by(p, said, true);
  p->add_option("FILE", said->file, "rules in protobuf text")->required();
  p->add_option("--base", said->base, "the version (or ground) it follows; absent: the newest known there");
  p->add_flag("--ground", said->ground, "it is a ground");
  run(p, status, [said] { return propose_rules(*said, said->ground, 0); });
  auto* u = accord->add_subcommand("undo", "propose the rules of an earlier version anew");
  where(u, said);
  by(u, said, false);
  u->add_option("VERSION", said->number, "whose rules come back")->required();
  run(u, status, [said] { return propose_rules(*said, false, said->number); });
  auto* k =
      accord->add_subcommand("strike", "a broker that never comes back: no ground waits for it any more");
  where(k, said);
  by(k, said, true);
  k->add_option("NAME", said->name, "of the broker")->required();
  run(k, status, [said] {
    return propose(*said, {{"kind", "strike"},
                           {"name", said->name},
                           {"who", said->who},
                           {"why", said->why},
                           {"id", said->id.empty() ? fresh_id() : said->id}});
  });
  auto* i =
      accord->add_subcommand("init", "make a stopped broker's folder one of the first voters'; once each");
  i->add_option("--options", said->options, "its options")->envname("CAIRNHUB_OPTIONS")->required();
  run(i, status, [said] { return init(*said); });
  auto* r = accord->add_subcommand("recover",
                                   "a majority of voters is gone for good: go on from this folder alone");
  r->add_option("--options", said->options, "its options")->envname("CAIRNHUB_OPTIONS")->required();
  r->add_flag("--a-majority-is-lost", said->sure, "say so");
  run(r, status, [said] { return recover(*said); });
}

}  // namespace cairnhub::cli

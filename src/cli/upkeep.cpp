#include "cli/upkeep.h"

#include <time.h>

#include <CLI/CLI.hpp>
#include <cmath>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "cli/operator.h"

namespace cairnhub::cli {

namespace {

std::string text(const json& j) { return j.get<std::string>(); }

// What a request says beside who asks and why.
struct Asked {
  Said said;
  std::vector<std::string> nodes, brokers;
  std::string rack, zone, region, length, earliest, latest;
  int priority = 0;
  bool emergency = false, accept = false;
};

// "90s", "20m", "2h", "1d"; seconds where nothing stands behind the number.
bool span(const std::string& said, long long& ms) {
  std::size_t used = 0;
  double n = 0;
  try {
    n = std::stod(said, &used);
  } catch (const std::exception&) {
    return false;
  }
  const std::string unit = said.substr(used);
  const double each = unit.empty() || unit == "s" ? 1000
                      : unit == "ms"              ? 1
                      : unit == "m"               ? 60000
                      : unit == "h"               ? 3600000
                      : unit == "d"               ? 86400000
                                                  : 0;
  if (each == 0 || !(n >= 0) || n * each > 2.6784e9) return false;
  ms = std::llround(n * each);
  return true;
}

std::string when(long long ms) {
  const time_t t = static_cast<time_t>(ms / 1000);
  tm parts{};
  char out[32];
  gmtime_r(&t, &parts);
  strftime(out, sizeof out, "%m-%d %H:%M:%S", &parts);
  return out;
}

std::optional<json> works(const Said& s, int& status) {
  auto j = fetch(s, "/upkeep", status);
  if (!j) return j;
  if (!(*j)["leads"].get<bool>()) {
    const std::string leader = text((*j)["leader"]);
    status = complain(
        kRefused, "the works stand at the leader" + (leader.empty() ? "" : ", " + leader) + ": ask there");
    return std::nullopt;
  }
  return j;
}

std::string joined(const json& list) {
  std::string out;
  for (const auto& x : list) out += (out.empty() ? "" : " ") + (x.is_string() ? text(x) : x.dump());
  return out;
}

int show_status(const Said& s) {
  int status = kDone;
  const auto j = works(s, status);
  if (!j) return status;
  if (s.as_json) return std::printf("%s\n", j->dump(2).c_str()), kDone;
  if ((*j)["held"].get<bool>()) std::printf("ALL WORKS ARE HELD\n");
  for (const auto& w : (*j)["works"])
    std::printf("%4llu %-16s %-10s %s%s%s\n", w["number"].get<unsigned long long>(),
                text(w["machine"]).c_str(), text(w["step"]).c_str(), w["held"].get<bool>() ? "HELD; " : "",
                text(w["last"]).c_str(),
                text(w["waits"]).empty() ? "" : ("; waits: " + text(w["waits"])).c_str());
  if ((*j)["works"].empty()) std::printf("no works\n");
  return kDone;
}

int show_plan(const Said& s) {
  int status = kDone;
  const auto j = works(s, status);
  if (!j) return status;
  if (s.as_json) return std::printf("%s\n", (*j)["plan"].dump(2).c_str()), kDone;
  for (const auto& p : (*j)["plan"])
    std::printf(
        "%s  %4llu %-16s for %lld s%s\n",
        p["start_ms"].get<long long>() ? when(p["start_ms"].get<long long>()).c_str() : "later         ",
        p["work"].get<unsigned long long>(), text(p["machine"]).c_str(),
        p["length_ms"].get<long long>() / 1000, p["in_time"].get<bool>() ? "" : "  TOO LATE");
  if ((*j)["plan"].empty()) std::printf("nothing waits\n");
  return kDone;
}

int explain(const Said& s) {
  int status = kDone;
  const auto j = works(s, status);
  if (!j) return status;
  for (const auto& w : (*j)["works"]) {
    if (w["number"].get<std::uint64_t>() != s.number) continue;
    if (s.as_json) return std::printf("%s\n", w.dump(2).c_str()), kDone;
    std::printf("work %llu on %s is %s since %s: %s\n", static_cast<unsigned long long>(s.number),
                text(w["machine"]).c_str(), text(w["step"]).c_str(),
                when(w["since_ms"].get<long long>()).c_str(), text(w["last"]).c_str());
    std::printf("  asked for by %s: %s\n", text(w["who"]).c_str(), text(w["why"]).c_str());
    std::printf("  nodes: %s; brokers: %s; zone %s, region %s, rack %s\n", joined(w["nodes"]).c_str(),
                joined(w["brokers"]).c_str(), text(w["zone"]).c_str(), text(w["region"]).c_str(),
                text(w["rack"]).c_str());
    if (!text(w["waits"]).empty()) std::printf("  waits: %s\n", text(w["waits"]).c_str());
    if (!w["endangers"].empty())
      std::printf("  shards with fewer warm holders than stated while it is out: %s\n",
                  joined(w["endangers"]).c_str());
    return kDone;
  }
  return complain(kRefused, "no such work: " + std::to_string(s.number));
}

int request(const Asked& a) {
  const auto now = static_cast<long long>(time(nullptr)) * 1000;
  long long length = 0, earliest = 0, latest = 0;
  if (!span(a.length, length) || length == 0)
    return complain(kUsage, "--for is '" + a.length + "'; allowed is a span as 90s, 20m or 2h");
  if (!a.earliest.empty() && !span(a.earliest, earliest))
    return complain(kUsage, "--earliest is '" + a.earliest + "'; allowed is a span from now, as 2h");
  if (!a.latest.empty() && !span(a.latest, latest))
    return complain(kUsage, "--latest is '" + a.latest + "'; allowed is a span from now, as 8h");
  if (a.emergency && !a.accept) {
    // What it would cost is said first.
    int status = kDone;
    const auto j = works(a.said, status);
    if (!j) return status;
    std::string lose;
    const auto& facts = (*j)["facts"];
    const int cells = facts["cells"].get<int>(), width = facts["width"].get<int>();
    for (int s = 0; s < cells; ++s) {
      int left = 0;
      bool its = false;
      for (const auto& n : facts["nodes"]) {
        if ((n["cell"].get<int>() - s + cells) % cells >= width) continue;
        const bool on_it = std::count(a.nodes.begin(), a.nodes.end(), text(n["name"])) > 0;
        its = its || on_it;
        left += !on_it && !n["out"].get<bool>() && n["ready"].get<bool>() && n["warm"].get<bool>();
      }
      if (its && left < facts["holders_least"].get<int>())
        lose += (lose.empty() ? "" : ", ") + std::to_string(s) + " (keeps " + std::to_string(left) + ")";
    }
    return complain(kRefused, "an emergency asks nobody. Shards left with fewer warm holders than stated: " +
                                  (lose.empty() ? "none" : lose) + ". Add --accept-loss to go on");
  }
  json r{{"machine", a.said.name}, {"nodes", a.nodes},       {"brokers", a.brokers},
         {"rack", a.rack},         {"zone", a.zone},         {"region", a.region},
         {"length_ms", length},    {"priority", a.priority}, {"emergency", a.emergency}};
  if (!a.earliest.empty()) r["earliest_ms"] = now + earliest;
  if (!a.latest.empty()) r["latest_ms"] = now + latest;
  return propose(a.said, {{"kind", "work"},
                          {"request", r},
                          {"who", a.said.who},
                          {"why", a.said.why},
                          {"id", a.said.id.empty() ? fresh_id() : a.said.id}});
}

int say(const Said& s, const char* what) {
  return propose(s, {{"kind", "work"},
                     {what, s.number},
                     {"who", s.who},
                     {"why", s.why},
                     {"id", s.id.empty() ? fresh_id() : s.id}});
}

}  // namespace

void add_upkeep(CLI::App& app, int& status) {
  auto* upkeep = app.add_subcommand("upkeep", "machines that are taken out for work, one after the other");
  upkeep->require_subcommand(1);
  auto said = std::make_shared<Said>();
  auto asked = std::make_shared<Asked>();
  auto asked_said = std::shared_ptr<Said>(asked, &asked->said);
  auto* r = upkeep->add_subcommand("request", "ask for a machine; it is queued, or refused with the reason");
  where(r, asked_said);
  by(r, asked_said, true);
  r->add_option("MACHINE", asked->said.name)->required();
  r->add_option("--node", asked->nodes, "a node on it, as the list names it; may be said again")
      ->type_name("NODE");
  r->add_option("--broker", asked->brokers, "a broker on it; may be said again")->type_name("BROKER");
  r->add_option("--rack", asked->rack)->type_name("NAME");
  r->add_option("--zone", asked->zone, "where its first node does not tell")->type_name("NAME");
  r->add_option("--region", asked->region, "likewise")->type_name("NAME");
  r->add_option("--for", asked->length, "how long the work takes")->required()->type_name("SPAN");
  r->add_option("--earliest", asked->earliest, "from now")->type_name("SPAN");
  r->add_option("--latest", asked->latest, "to be back in service, from now")->type_name("SPAN");
  r->add_option("--priority", asked->priority, "more goes first");
  r->add_flag("--emergency", asked->emergency, "out now, whatever it endangers");
  r->add_flag("--accept-loss", asked->accept, "say so");
  run(r, status, [asked] { return request(*asked); });

  auto* st = upkeep->add_subcommand("status", "all works, and what each waits for");
  where(st, said);
  run(st, status, [said] { return show_status(*said); });
  auto* pl = upkeep->add_subcommand("plan", "when each is to begin, as things stand");
  where(pl, said);
  run(pl, status, [said] { return show_plan(*said); });
  auto* ex = upkeep->add_subcommand("explain", "one work: where it is, what it waits for, what it endangers");
  where(ex, said);
  ex->add_option("WORK", said->number)->required();
  run(ex, status, [said] { return explain(*said); });
  struct Verb {
    const char *name, *what;
    bool all;
  };
  for (const Verb& v :
       {Verb{"hold", "begin no step out of this work, or of any", true}, Verb{"resume", "end that", true},
        Verb{"cancel", "give it up; a machine that drains is called back", false},
        Verb{"done", "the machine is back from its work", false}}) {
    auto* c = upkeep->add_subcommand(v.name, v.what);
    where(c, said);
    by(c, said, true);
    auto* n = c->add_option("WORK", said->number, v.all ? "absent: all" : "");
    if (!v.all) n->required();
    run(c, status, [said, name = v.name] { return say(*said, name); });
  }
}

}  // namespace cairnhub::cli

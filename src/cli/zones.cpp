#include "cli/zones.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <memory>

#include "cli/operator.h"

namespace cairnhub::cli {

namespace {

std::string text(const json& j) { return j.get<std::string>(); }
double percent(const json& thousandths) { return thousandths.get<double>() / 10; }

int show_status(const Said& s) {
  int status = kDone;
  const auto j = fetch(s, "/zones", status);
  if (!j) return status;
  if (s.as_json) return std::printf("%s\n", j->dump(2).c_str()), kDone;
  const auto version = (*j)["version"].get<unsigned long long>();
  std::printf("%s stands in %s", text((*j)["name"]).c_str(), text((*j)["home"]).c_str());
  if (version)
    std::printf(" and acts on version %llu: %s\n", version, text((*j)["why"]).c_str());
  else
    std::printf(" and has NO LEASE: it stays near, within the common ground\n");
  for (const auto& [zone, share] : (*j)["acts_on"].items())
    std::printf("  %s %-16s %5.1f%% of its parts\n", zone == text((*j)["home"]) ? "at home in" : "at most to",
                zone.c_str(), percent(share));
  for (const auto& [zone, one] : (*j)["states"].items())
    std::printf("zone %-16s %-11s %5.1f%% of its own stays\n", zone.c_str(), text(one["state"]).c_str(),
                percent(one["share"]));
  for (const auto& z : (*j)["shares"])
    std::printf("  %s to %s: at most %.1f%%\n", text(z["from"]).c_str(), text(z["to"]).c_str(),
                percent(z["most"]));
  std::printf("  between any others: at most %.1f%%\n", percent((*j)["otherwise"]));
  if (!(*j)["leads"].get<bool>())
    std::printf("the evidence stands at the leader%s%s\n", text((*j)["leader"]).empty() ? "" : ", ",
                text((*j)["leader"]).c_str());
  else
    std::printf("next: %s\n", text((*j)["next"]).c_str());
  return kDone;
}

// Which evidence, which version, which rule.
int explain(const Said& s) {
  int status = kDone;
  const auto j = fetch(s, "/zones", status);
  if (!j) return status;
  if (!(*j)["leads"].get<bool>())
    return complain(kRefused, "the evidence stands at the leader, " + text((*j)["leader"]) + ": ask there");
  for (const auto& z : (*j)["seen"]) {
    if (text(z["zone"]) != s.name) continue;
    if (s.as_json) return std::printf("%s\n", z.dump(2).c_str()), kDone;
    std::printf("%s is %s, %.1f%% of its own stays; it looks %s: %s\n", s.name.c_str(),
                text(z["state"]).c_str(), percent(z["share"]), text(z["looks"]).c_str(),
                text(z["why"]).c_str());
    std::printf("  %d hosts bear %.0f parts a second; %.0f come; its %d brokers' clients ask for %.0f\n",
                z["hosts"].get<int>(), z["capacity"].get<double>(), z["load"].get<double>(),
                z["brokers"].get<int>(), z["wanted"].get<double>());
    for (const auto& c : (*j)["cut"])
      if (text(c["to"]) == s.name || text(c["from"]) == s.name)
        std::printf("  the link from %s to %s is cut\n", text(c["from"]).c_str(), text(c["to"]).c_str());
    const auto& orders = (*j)["orders"];
    if (orders.contains(s.name))
      std::printf("  ordered: %s, by %s: %s\n", text(orders[s.name]["what"]).c_str(),
                  text(orders[s.name]["who"]).c_str(), text(orders[s.name]["why"]).c_str());
    for (const auto& b : (*j)["outvoted"])
      std::printf("  outvoted: %s finds all zones bad that others find good\n", text(b).c_str());
    std::printf("  version %llu: %s\n", (*j)["version"].get<unsigned long long>(), text((*j)["why"]).c_str());
    return kDone;
  }
  return complain(kRefused, "no such zone: " + s.name);
}

int show_crossing(const Said& s) {
  int status = kDone;
  const auto j = fetch(s, "/zones/crossing", status);
  if (!j) return status;
  if (s.as_json) return std::printf("%s\n", j->dump(2).c_str()), kDone;
  std::printf("%s in %s, since it started:\n", text((*j)["name"]).c_str(), text((*j)["home"]).c_str());
  std::printf("%-16s %-16s %12s %14s %14s %16s\n", "zone", "op type", "parts", "bytes out", "bytes in",
              "over the budget");
  for (const auto& t : (*j)["table"])
    std::printf("%-16s %-16s %12llu %14lld %14lld %16lld\n", text(t["zone"]).c_str(),
                text(t["op_type"]).empty() ? "(over)" : text(t["op_type"]).c_str(),
                t["parts"].get<unsigned long long>(), t["out"].get<long long>(), t["in"].get<long long>(),
                t["bytes_over_budget"].get<long long>());
  for (const auto& b : (*j)["budgets"])
    std::printf("budget of %s: %.0f bytes a second, %lld left%s\n", text(b["op_type"]).c_str(),
                b["bytes_a_second"].get<double>(), b["left"].get<long long>(),
                b["spent"].get<bool>() ? "; SPENT: only shards with no near holder left cross" : "");
  return kDone;
}

int order(const Said& s, const char* what) {
  int status = kDone;
  const auto j = fetch(s, "/zones", status);
  if (!j) return status;
  bool known = text((*j)["home"]) == s.name || (*j)["states"].contains(s.name);
  for (const auto& [zone, share] : (*j)["acts_on"].items()) known = known || zone == s.name;
  if (!known) return complain(kRefused, "no such zone: " + s.name);
  return propose(s, {{"kind", "order"},
                     {"name", s.name},
                     {"rules", what},
                     {"who", s.who},
                     {"why", s.why},
                     {"id", s.id.empty() ? fresh_id() : s.id}});
}

}  // namespace

void add_zones(CLI::App& app, int& status) {
  auto said = std::make_shared<Said>();
  auto* zones = app.add_subcommand("zones", "where traffic goes between zones, why, and orders to move it");
  zones->require_subcommand(1);
  auto* st = zones->add_subcommand("status", "what a broker acts on, and the state of each zone");
  where(st, said);
  run(st, status, [said] { return show_status(*said); });
  auto* cr = zones->add_subcommand("crossing", "parts and bytes between a broker and each zone, and budgets");
  where(cr, said);
  run(cr, status, [said] { return show_crossing(*said); });
  auto* ex = zones->add_subcommand("explain", "why a zone is in its state: the evidence, at the leader");
  where(ex, said);
  ex->add_option("ZONE", said->name)->required();
  run(ex, status, [said] { return explain(*said); });
  struct Verb {
    const char *name, *what, *text;
  };
  for (const Verb& v : {Verb{"evacuate", "take a zone's traffic elsewhere, step by step", "evacuate"},
                        Verb{"hold", "leave a zone as it stands, whatever is seen of it", "hold"},
                        Verb{"release", "end what was ordered of a zone", ""}}) {
    auto* c = zones->add_subcommand(v.name, v.what);
    where(c, said);
    by(c, said, true);
    c->add_option("ZONE", said->name)->required();
    run(c, status, [said, what = v.text] { return order(*said, what); });
  }
}

}  // namespace cairnhub::cli

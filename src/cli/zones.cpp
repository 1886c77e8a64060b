#include "cli/zones.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <memory>

#include "cli/operator.h"

namespace cairnhub::cli {

namespace {

std::string text(const json& j) { return j.get<std::string>(); }

// Converts a share from thousandths, the unit of the admin API.
double percent(const json& thousandths) { return thousandths.get<double>() / 10; }

int show_status(const ClientOptions& options) {
  int status = kSuccess;
  const auto response = fetch(options, "/zones", status);
  if (!response) return status;
  if (options.prints_json) {
    std::printf("%s\n", response->dump(2).c_str());
    return kSuccess;
  }
  const auto version = (*response)["version"].get<unsigned long long>();
  std::printf("%s stands in %s", text((*response)["name"]).c_str(), text((*response)["home"]).c_str());
  if (version) {
    std::printf(" and acts on version %llu: %s\n", version, text((*response)["why"]).c_str());
  } else {
    std::printf(" and has NO LEASE: it stays near, within the common ground\n");
  }
  for (const auto& [zone, share] : (*response)["acts_on"].items()) {
    std::printf("  %s %-16s %5.1f%% of its parts\n",
                zone == text((*response)["home"]) ? "at home in" : "at most to", zone.c_str(),
                percent(share));
  }
  for (const auto& [zone, state] : (*response)["states"].items()) {
    std::printf("zone %-16s %-11s %5.1f%% of its own stays\n", zone.c_str(), text(state["state"]).c_str(),
                percent(state["share"]));
  }
  for (const auto& limit : (*response)["shares"]) {
    std::printf("  %s to %s: at most %.1f%%\n", text(limit["from"]).c_str(), text(limit["to"]).c_str(),
                percent(limit["most"]));
  }
  std::printf("  between any others: at most %.1f%%\n", percent((*response)["otherwise"]));
  if (!(*response)["leads"].get<bool>()) {
    std::printf("the evidence stands at the leader%s%s\n", text((*response)["leader"]).empty() ? "" : ", ",
                text((*response)["leader"]).c_str());
  } else {
    std::printf("next: %s\n", text((*response)["next"]).c_str());
  }
  return kSuccess;
}

// Prints the leader's observations of one zone, the order for it if there is one, and the version in effect.
int explain(const ClientOptions& options) {
  int status = kSuccess;
  const auto response = fetch(options, "/zones", status);
  if (!response) return status;
  if (!(*response)["leads"].get<bool>()) {
    return report_error(kFailure,
                        "the evidence stands at the leader, " + text((*response)["leader"]) + ": ask there");
  }
  for (const auto& observed : (*response)["seen"]) {
    if (text(observed["zone"]) != options.target_name) continue;
    if (options.prints_json) {
      std::printf("%s\n", observed.dump(2).c_str());
      return kSuccess;
    }
    std::printf("%s is %s, %.1f%% of its own stays; it looks %s: %s\n", options.target_name.c_str(),
                text(observed["state"]).c_str(), percent(observed["share"]), text(observed["looks"]).c_str(),
                text(observed["why"]).c_str());
    std::printf("  %d hosts bear %.0f parts a second; %.0f come; its %d brokers' clients ask for %.0f\n",
                observed["hosts"].get<int>(), observed["capacity"].get<double>(),
                observed["load"].get<double>(), observed["brokers"].get<int>(),
                observed["wanted"].get<double>());
    for (const auto& link : (*response)["cut"]) {
      if (text(link["to"]) == options.target_name || text(link["from"]) == options.target_name) {
        std::printf("  the link from %s to %s is cut\n", text(link["from"]).c_str(),
                    text(link["to"]).c_str());
      }
    }
    const auto& orders = (*response)["orders"];
    if (orders.contains(options.target_name)) {
      std::printf("  ordered: %s, by %s: %s\n", text(orders[options.target_name]["what"]).c_str(),
                  text(orders[options.target_name]["who"]).c_str(),
                  text(orders[options.target_name]["why"]).c_str());
    }
    for (const auto& broker : (*response)["outvoted"])
      std::printf("  outvoted: %s finds all zones bad that others find good\n", text(broker).c_str());
    std::printf("  version %llu: %s\n", (*response)["version"].get<unsigned long long>(),
                text((*response)["why"]).c_str());
    return kSuccess;
  }
  return report_error(kFailure, "no such zone: " + options.target_name);
}

int show_crossing(const ClientOptions& options) {
  int status = kSuccess;
  const auto response = fetch(options, "/zones/crossing", status);
  if (!response) return status;
  if (options.prints_json) {
    std::printf("%s\n", response->dump(2).c_str());
    return kSuccess;
  }
  std::printf("%s in %s, since it started:\n", text((*response)["name"]).c_str(),
              text((*response)["home"]).c_str());
  std::printf("%-16s %-16s %12s %14s %14s %16s\n", "zone", "op type", "parts", "bytes out", "bytes in",
              "over the budget");
  for (const auto& row : (*response)["table"]) {
    std::printf("%-16s %-16s %12llu %14lld %14lld %16lld\n", text(row["zone"]).c_str(),
                text(row["op_type"]).empty() ? "(over)" : text(row["op_type"]).c_str(),
                row["parts"].get<unsigned long long>(), row["out"].get<long long>(),
                row["in"].get<long long>(), row["bytes_over_budget"].get<long long>());
  }
  for (const auto& budget : (*response)["budgets"]) {
    std::printf("budget of %s: %.0f bytes a second, %lld left%s\n", text(budget["op_type"]).c_str(),
                budget["bytes_a_second"].get<double>(), budget["left"].get<long long>(),
                budget["spent"].get<bool>() ? "; SPENT: only shards with no near holder left cross" : "");
  }
  return kSuccess;
}

// Proposes an order for one zone.
// @param action the order's action; an empty action ends the zone's order
int propose_zone_order(const ClientOptions& options, const char* action) {
  int status = kSuccess;
  const auto response = fetch(options, "/zones", status);
  if (!response) return status;
  bool is_known =
      text((*response)["home"]) == options.target_name || (*response)["states"].contains(options.target_name);
  for (const auto& [zone, share] : (*response)["acts_on"].items())
    is_known = is_known || zone == options.target_name;
  if (!is_known) return report_error(kFailure, "no such zone: " + options.target_name);
  return submit_proposal(options, {{"kind", "order"},
                                   {"name", options.target_name},
                                   {"rules", action},
                                   {"who", options.who},
                                   {"why", options.why},
                                   {"id", options.id.empty() ? random_proposal_id() : options.id}});
}

}  // namespace

void add_zones(CLI::App& app, int& status) {
  auto options = std::make_shared<ClientOptions>();
  auto* zones =
      app.add_subcommand("zones", "show where traffic between zones goes and why, and order to move it");
  zones->require_subcommand(1);
  auto* status_command =
      zones->add_subcommand("status", "show the shares in effect at a broker, and the state of each zone");
  add_connection_options(status_command, options);
  set_action(status_command, status, [options] { return show_status(*options); });
  auto* crossing_command = zones->add_subcommand(
      "crossing", "show shard requests and bytes between a broker and each zone, and the budgets");
  add_connection_options(crossing_command, options);
  set_action(crossing_command, status, [options] { return show_crossing(*options); });
  auto* explain_command =
      zones->add_subcommand("explain", "show why a zone is in its state; the leader alone knows");
  add_connection_options(explain_command, options);
  explain_command->add_option("ZONE", options->target_name, "the name of the zone")->required();
  set_action(explain_command, status, [options] { return explain(*options); });
  struct OrderCommand {
    const char* name;
    const char* description;
    const char* action;
  };
  for (const OrderCommand& order :
       {OrderCommand{"evacuate", "move the traffic of a zone to others, step by step", "evacuate"},
        OrderCommand{"hold", "keep a zone in its state, whatever is observed of it", "hold"},
        OrderCommand{"release", "end the order for a zone", ""}}) {
    auto* command = zones->add_subcommand(order.name, order.description);
    add_connection_options(command, options);
    add_proposal_options(command, options, true);
    command->add_option("ZONE", options->target_name, "the name of the zone")->required();
    set_action(command, status,
               [options, action = order.action] { return propose_zone_order(*options, action); });
  }
}

}  // namespace cairnhub::cli

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

constexpr double kMaxDurationMs = 31.0 * 86400000;

// Values of the options of `upkeep request`. Durations are the text that the user wrote.
struct JobRequest {
  ClientOptions client;
  std::vector<std::string> endpoints;
  std::vector<std::string> brokers;
  std::string rack;
  std::string zone;
  std::string region;
  std::string duration;
  std::string earliest;
  std::string latest;
  int priority = 0;
  bool is_emergency = false;
  bool accepts_loss = false;
};

// Parses a duration, such as "90s", "20m", "2h" or "1d"; a number without a unit is in seconds.
// @return false if `duration` can't be parsed or is longer than 31 days; `ms` is then unchanged
bool parse_duration(const std::string& duration, long long& ms) {
  std::size_t number_length = 0;
  double number = 0;
  try {
    number = std::stod(duration, &number_length);
  } catch (const std::exception&) {
    return false;
  }
  const std::string unit = duration.substr(number_length);
  const double unit_ms = unit.empty() || unit == "s" ? 1000
                         : unit == "ms"              ? 1
                         : unit == "m"               ? 60000
                         : unit == "h"               ? 3600000
                         : unit == "d"               ? 86400000
                                                     : 0;
  if (unit_ms == 0 || !(number >= 0) || number * unit_ms > kMaxDurationMs) return false;
  ms = std::llround(number * unit_ms);
  return true;
}

// @param ms milliseconds since the Unix epoch
// @return month, day and time of day in UTC
std::string utc_time(long long ms) {
  const time_t seconds = static_cast<time_t>(ms / 1000);
  tm fields{};
  char buffer[32];
  gmtime_r(&seconds, &fields);
  strftime(buffer, sizeof buffer, "%m-%d %H:%M:%S", &fields);
  return buffer;
}

// Fetches the maintenance jobs. Fails at a broker that isn't the leader, because only the leader's response
// has the reasons why jobs wait and their planned starts.
// @param status as in `fetch`
std::optional<json> fetch_jobs(const ClientOptions& options, int& status) {
  auto response = fetch(options, "/upkeep", status);
  if (!response) return response;
  if (!(*response)["leads"].get<bool>()) {
    const std::string leader = text((*response)["leader"]);
    status = report_error(
        kFailure, "the works stand at the leader" + (leader.empty() ? "" : ", " + leader) + ": ask there");
    return std::nullopt;
  }
  return response;
}

// @return the elements of a JSON array, with spaces between them
std::string joined(const json& list) {
  std::string joined_elements;
  for (const auto& element : list) {
    joined_elements +=
        (joined_elements.empty() ? "" : " ") + (element.is_string() ? text(element) : element.dump());
  }
  return joined_elements;
}

int show_status(const ClientOptions& options) {
  int status = kSuccess;
  const auto response = fetch_jobs(options, status);
  if (!response) return status;
  if (options.prints_json) {
    std::printf("%s\n", response->dump(2).c_str());
    return kSuccess;
  }
  if ((*response)["held"].get<bool>()) std::printf("ALL WORKS ARE HELD\n");
  for (const auto& job : (*response)["works"]) {
    std::printf("%4llu %-16s %-10s %s%s%s\n", job["number"].get<unsigned long long>(),
                text(job["machine"]).c_str(), text(job["step"]).c_str(),
                job["held"].get<bool>() ? "HELD; " : "", text(job["last"]).c_str(),
                text(job["waits"]).empty() ? "" : ("; waits: " + text(job["waits"])).c_str());
  }
  if ((*response)["works"].empty()) std::printf("no works\n");
  return kSuccess;
}

int show_plan(const ClientOptions& options) {
  int status = kSuccess;
  const auto response = fetch_jobs(options, status);
  if (!response) return status;
  if (options.prints_json) {
    std::printf("%s\n", (*response)["plan"].dump(2).c_str());
    return kSuccess;
  }
  for (const auto& planned : (*response)["plan"]) {
    std::printf("%s  %4llu %-16s for %lld s%s\n",
                planned["start_ms"].get<long long>() ? utc_time(planned["start_ms"].get<long long>()).c_str()
                                                     : "later         ",
                planned["work"].get<unsigned long long>(), text(planned["machine"]).c_str(),
                planned["length_ms"].get<long long>() / 1000,
                planned["in_time"].get<bool>() ? "" : "  TOO LATE");
  }
  if ((*response)["plan"].empty()) std::printf("nothing waits\n");
  return kSuccess;
}

int explain(const ClientOptions& options) {
  int status = kSuccess;
  const auto response = fetch_jobs(options, status);
  if (!response) return status;
  for (const auto& job : (*response)["works"]) {
    if (job["number"].get<std::uint64_t>() != options.number) continue;
    if (options.prints_json) {
      std::printf("%s\n", job.dump(2).c_str());
      return kSuccess;
    }
    std::printf("work %llu on %s is %s since %s: %s\n", static_cast<unsigned long long>(options.number),
                text(job["machine"]).c_str(), text(job["step"]).c_str(),
                utc_time(job["since_ms"].get<long long>()).c_str(), text(job["last"]).c_str());
    std::printf("  asked for by %s: %s\n", text(job["who"]).c_str(), text(job["why"]).c_str());
    std::printf("  nodes: %s; brokers: %s; zone %s, region %s, rack %s\n", joined(job["nodes"]).c_str(),
                joined(job["brokers"]).c_str(), text(job["zone"]).c_str(), text(job["region"]).c_str(),
                text(job["rack"]).c_str());
    if (!text(job["waits"]).empty()) std::printf("  waits: %s\n", text(job["waits"]).c_str());
    if (!job["endangers"].empty()) {
      std::printf("  shards with fewer warm holders than stated while it is out: %s\n",
                  joined(job["endangers"]).c_str());
    }
    return kSuccess;
  }
  return report_error(kFailure, "no such work: " + std::to_string(options.number));
}

// Proposes a maintenance job on one machine.
int request_job(const JobRequest& request) {
  const auto now_ms = static_cast<long long>(time(nullptr)) * 1000;
  long long duration_ms = 0;
  long long earliest_ms = 0;  // counted from now
  long long latest_ms = 0;    // counted from now
  if (!parse_duration(request.duration, duration_ms) || duration_ms == 0) {
    return report_error(kInvalidArguments,
                        "--for is '" + request.duration + "'; allowed is a span as 90s, 20m or 2h");
  }
  if (!request.earliest.empty() && !parse_duration(request.earliest, earliest_ms)) {
    return report_error(kInvalidArguments,
                        "--earliest is '" + request.earliest + "'; allowed is a span from now, as 2h");
  }
  if (!request.latest.empty() && !parse_duration(request.latest, latest_ms)) {
    return report_error(kInvalidArguments,
                        "--latest is '" + request.latest + "'; allowed is a span from now, as 8h");
  }
  if (request.is_emergency && !request.accepts_loss) {
    // An emergency job isn't scheduled around others, so the operator must first see and accept the shards
    // that it leaves with too few warm replicas.
    int status = kSuccess;
    const auto response = fetch_jobs(request.client, status);
    if (!response) return status;
    std::string endangered_shards;
    const auto& facts = (*response)["facts"];
    const int ring_positions = facts["cells"].get<int>();
    const int replicas = facts["width"].get<int>();
    for (int shard = 0; shard < ring_positions; ++shard) {
      int remaining_replicas = 0;
      bool is_affected = false;
      for (const auto& endpoint : facts["nodes"]) {
        if ((endpoint["cell"].get<int>() - shard + ring_positions) % ring_positions >= replicas) continue;
        const bool is_on_machine =
            std::count(request.endpoints.begin(), request.endpoints.end(), text(endpoint["name"])) > 0;
        is_affected = is_affected || is_on_machine;
        remaining_replicas += !is_on_machine && !endpoint["out"].get<bool>() &&
                              endpoint["ready"].get<bool>() && endpoint["warm"].get<bool>();
      }
      if (is_affected && remaining_replicas < facts["holders_least"].get<int>()) {
        endangered_shards += (endangered_shards.empty() ? "" : ", ") + std::to_string(shard) + " (keeps " +
                             std::to_string(remaining_replicas) + ")";
      }
    }
    return report_error(kFailure,
                        "an emergency asks nobody. Shards left with fewer warm holders than stated: " +
                            (endangered_shards.empty() ? "none" : endangered_shards) +
                            ". Add --accept-loss to go on");
  }
  json job{{"machine", request.client.target_name},
           {"nodes", request.endpoints},
           {"brokers", request.brokers},
           {"rack", request.rack},
           {"zone", request.zone},
           {"region", request.region},
           {"length_ms", duration_ms},
           {"priority", request.priority},
           {"emergency", request.is_emergency}};
  if (!request.earliest.empty()) job["earliest_ms"] = now_ms + earliest_ms;
  if (!request.latest.empty()) job["latest_ms"] = now_ms + latest_ms;
  return submit_proposal(request.client,
                         {{"kind", "work"},
                          {"request", job},
                          {"who", request.client.who},
                          {"why", request.client.why},
                          {"id", request.client.id.empty() ? random_proposal_id() : request.client.id}});
}

// Proposes to hold, resume, cancel or finish a maintenance job.
// @param action the action, which is also the key under which the proposal holds the job's number
int propose_job_action(const ClientOptions& options, const char* action) {
  return submit_proposal(options, {{"kind", "work"},
                                   {action, options.number},
                                   {"who", options.who},
                                   {"why", options.why},
                                   {"id", options.id.empty() ? random_proposal_id() : options.id}});
}

}  // namespace

void add_upkeep(CLI::App& app, int& status) {
  auto* upkeep = app.add_subcommand(
      "upkeep", "maintenance jobs, for which machines are taken out of service one after the other");
  upkeep->require_subcommand(1);
  auto options = std::make_shared<ClientOptions>();
  auto request = std::make_shared<JobRequest>();
  auto request_client = std::shared_ptr<ClientOptions>(request, &request->client);
  auto* request_command = upkeep->add_subcommand(
      "request", "request a job on a machine; it is queued, or refused with the reason");
  add_connection_options(request_command, request_client);
  add_proposal_options(request_command, request_client, true);
  request_command->add_option("MACHINE", request->client.target_name, "the name of the machine")->required();
  request_command
      ->add_option("--node", request->endpoints,
                   "an endpoint on the machine, as named in the endpoint list; may be repeated")
      ->type_name("NODE");
  request_command->add_option("--broker", request->brokers, "a broker on the machine; may be repeated")
      ->type_name("BROKER");
  request_command->add_option("--rack", request->rack, "the rack of the machine")->type_name("NAME");
  request_command
      ->add_option("--zone", request->zone, "the zone of the machine, unless its first endpoint states one")
      ->type_name("NAME");
  request_command
      ->add_option("--region", request->region,
                   "the region of the machine, unless its first endpoint states one")
      ->type_name("NAME");
  request_command->add_option("--for", request->duration, "how long the job takes, such as 90s, 20m or 2h")
      ->required()
      ->type_name("SPAN");
  request_command->add_option("--earliest", request->earliest, "the earliest start, from now")
      ->type_name("SPAN");
  request_command
      ->add_option("--latest", request->latest, "when the machine must be back in service, from now")
      ->type_name("SPAN");
  request_command->add_option("--priority", request->priority, "jobs with a higher number go first");
  request_command->add_flag("--emergency", request->is_emergency,
                            "take the machine out at once, whatever shards it leaves with too few replicas");
  request_command->add_flag("--accept-loss", request->accepts_loss,
                            "confirm an emergency that leaves shards with too few replicas");
  set_action(request_command, status, [request] { return request_job(*request); });

  auto* status_command = upkeep->add_subcommand("status", "list all jobs and what each waits for");
  add_connection_options(status_command, options);
  set_action(status_command, status, [options] { return show_status(*options); });
  auto* plan_command = upkeep->add_subcommand("plan", "show when each job is planned to start");
  add_connection_options(plan_command, options);
  set_action(plan_command, status, [options] { return show_plan(*options); });
  auto* explain_command = upkeep->add_subcommand(
      "explain", "show one job: its state, what it waits for and which shards it endangers");
  add_connection_options(explain_command, options);
  explain_command->add_option("WORK", options->number, "the number of the job")->required();
  set_action(explain_command, status, [options] { return explain(*options); });
  struct JobAction {
    const char* name;
    const char* description;
    bool may_omit_job;
  };
  for (const JobAction& action :
       {JobAction{"hold", "hold one job, or all: no machine is taken further out of service", true},
        JobAction{"resume", "end a hold", true},
        JobAction{"cancel", "cancel a job; a machine that is draining returns to service", false},
        JobAction{"done", "report that the work on the machine is finished", false}}) {
    auto* command = upkeep->add_subcommand(action.name, action.description);
    add_connection_options(command, options);
    add_proposal_options(command, options, true);
    auto* job = command->add_option(
        "WORK", options->number,
        action.may_omit_job ? "the number of the job; without it, all jobs" : "the number of the job");
    if (!action.may_omit_job) job->required();
    set_action(command, status, [options, name = action.name] { return propose_job_action(*options, name); });
  }
}

}  // namespace cairnhub::cli

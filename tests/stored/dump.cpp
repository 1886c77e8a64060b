#include "stored/dump.h"

#include <cstdio>
#include <limits>
#include <sstream>
#include <string_view>

#include "maintenance/job_queue.h"
#include "shared_config.pb.h"

namespace cairnhub::stored {

namespace {

using maintenance::kMillisecond;
using shared_config::ConfigEntry;

constexpr unsigned short kCommand = 1;  // entry types of the consensus library
constexpr unsigned short kBarrier = 2;

std::string hex(std::string_view bytes) {
  std::string out;
  for (const char c : bytes) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned>(static_cast<unsigned char>(c)));
    out += digits;
  }
  return out;
}

std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '\n') {
      out += "\\n";
    } else if (c == '"' || c == '\\') {
      out += std::string("\\") + c;
    } else if (c < ' ' || c > '~') {
      out += "\\x" + hex({&c, 1});
    } else {
      out += c;
    }
  }
  return out + "\"";
}

// Each field on a line of its own under the title above it.
class Lines {
 public:
  Lines() { out_.precision(std::numeric_limits<double>::max_digits10); }
  Lines& title(const std::string& text) {
    out_ << text << '\n';
    return *this;
  }
  Lines& text(const char* label, std::string_view value) {
    out_ << "  " << label << ' ' << quoted(value) << '\n';
    return *this;
  }
  template <class Number>
  Lines& number(const char* label, Number value) {
    out_ << "  " << label << ' ' << +value << '\n';
    return *this;
  }
  Lines& time(const char* label, Time value) {
    out_ << "  " << label << ' ' << (value == kNever ? "never" : std::to_string(value / kMillisecond) + " ms")
         << '\n';
    return *this;
  }
  template <class Names>
  Lines& list(const char* label, const Names& names) {
    out_ << "  " << label;
    for (const auto& name : names) {
      out_ << ' ' << name;
    }
    out_ << '\n';
    return *this;
  }
  Lines& raw(const std::string& text) {
    out_ << text;
    return *this;
  }
  std::string str() const { return out_.str(); }

 private:
  std::ostringstream out_;
};

const char* kind_label(ConfigEntry::Kind kind) {
  constexpr const char* kLabels[] = {"?",
                                     "rules",
                                     "baseline",
                                     "rules in force",
                                     "baseline settled",
                                     "broker on the roster",
                                     "broker off the roster",
                                     "zone shares",
                                     "zone order",
                                     "nodes at work",
                                     "nodes at work in the baseline",
                                     "maintenance"};
  const auto at = static_cast<std::size_t>(kind);
  return at < std::size(kLabels) ? kLabels[at] : "?";
}

std::string dump_request(const maintenance::JobRequest& request) {
  Lines out;
  out.text("machine", request.machine).list("nodes", request.endpoints).list("brokers", request.brokers);
  out.list("cells", request.ring_positions);
  out.text("rack", request.rack).text("zone", request.zone).text("region", request.region);
  out.time("earliest", request.earliest_start)
      .time("latest", request.latest_end)
      .time("length", request.duration);
  out.number("priority", request.priority).number("emergency", request.is_emergency);
  return out.str();
}

std::string dump_facts(const maintenance::FleetStatus& facts) {
  Lines out;
  out.number("revision", facts.revision)
      .number("cells", facts.ring_size)
      .number("width", facts.replicas_per_shard);
  const maintenance::MaintenanceLimits& terms = facts.limits;
  out.list("most out at once; of a rack, zone, region; fewest replicas",
           std::vector<int>{terms.max_machines, terms.max_machines_per_rack, terms.max_machines_per_zone,
                            terms.max_machines_per_region, terms.min_warm_replicas});
  out.number("share of a zone that stays", terms.min_zone_share_in_service)
      .number("headroom", terms.min_headroom_share);
  out.time("lost after", terms.lost_after).time("planned around", terms.transition_time);
  out.number("stops on loss", terms.holds_queue_on_loss);
  for (const auto& [name, node] : facts.endpoints) {
    out.list("node",
             std::vector<std::string>{name, std::to_string(node.ring_position), quoted(node.zone),
                                      node.is_ready ? "ready" : "unready", node.is_warm ? "warm" : "cold"});
  }
  for (const auto& [name, zone] : facts.zones) {
    out.text("zone", name).text(" region", zone.region).number(" near", zone.serves_locally);
    out.number(" load", zone.load_per_second).number(" capacity", zone.capacity_per_second);
  }
  out.list("voters", facts.voters);
  return out.str();
}

std::string dump_operation(const std::string& text) {
  const auto op = maintenance::decode_operation(text);
  if (!op) {
    return "  UNREADABLE\n";
  }
  Lines out;
  out.time("at", op->stated_at);
  if (op->request) {
    out.raw(dump_request(*op->request));
  }
  if (op->fleet_status) {
    out.raw(dump_facts(*op->fleet_status));
  }
  if (op->transition) {
    out.number("of job", op->transition->job);
    out.text("from", maintenance::job_state_name(op->transition->from))
        .text("to", maintenance::job_state_name(op->transition->to));
  }
  const std::pair<const char*, std::optional<std::uint64_t>> said[] = {
      {"hold", op->hold}, {"resume", op->resume}, {"cancel", op->cancel}, {"done", op->done}};
  for (const auto& [label, job] : said) {
    if (job) {
      out.number(label, *job);
    }
  }
  return out.str();
}

std::string dump_entry(const std::string& bytes) {
  const auto entry = shared_config::decode_entry(bytes);
  if (!entry) {
    return "  UNREADABLE\n";
  }
  Lines out;
  out.text("kind", kind_label(entry->kind));
  out.text("id", entry->id).text("text", entry->text).text("who", entry->who).text("why", entry->why);
  out.text("name", entry->name).text("note", entry->note);
  out.number("base", entry->base).number("number", entry->number);
  if (entry->kind == ConfigEntry::Kind::kStateMachine) {
    out.raw(dump_operation(entry->text));
  }
  return out.str();
}

std::string dump_logged(const shared_config::LogEntry& entry) {
  if (entry.type == kCommand) {
    return dump_entry(entry.data);
  }
  // The library never sets a barrier's bytes: they are whatever stood in memory.
  const std::string bytes =
      entry.type == kBarrier ? "any " + std::to_string(entry.data.size()) : hex(entry.data);
  return "  bytes " + bytes + "\n";
}

std::string dump_request_class(const std::string& name, const shared_config::RequestClassRule& rule) {
  Lines out;
  out.text("request class", name).number(" served", rule.is_served).time(" longest", rule.max_duration);
  out.number(" most held", rule.max_in_progress).time(" latency objective", rule.max_latency_budget);
  out.number(" least share", rule.min_share)
      .number(" bytes between zones", rule.max_cross_zone_bytes_per_second);
  return out.str();
}

// The rules that a text says, and that they lead to that text again.
std::string dump_rules(const std::string& text) {
  const shared_config::RuleSet rules = shared_config::parse_rule_set(text, "stored");
  Lines out;
  out.text("hash of the text", shared_config::content_hash(text));
  out.number("written the same again", shared_config::canonical_text(rules) == text);
  for (const auto& [name, rule] : rules.request_classes) {
    out.raw(dump_request_class(name, rule));
  }
  out.number("most sends", rules.max_attempts).number("second copies", rules.allows_hedging);
  out.list("not in two phases", rules.two_phase_disabled).list("indices off", rules.disabled_indices);
  out.list("withheld", rules.withheld_endpoints).list("at work", rules.endpoints_in_maintenance);
  out.number("least list revision", rules.min_list_revision)
      .number("other zones", rules.zone_shares.default_thousandths);
  for (const auto& [pair, most] : rules.zone_shares.thousandths_by_pair) {
    out.list("share", std::vector<std::string>{pair.first, pair.second, std::to_string(most)});
  }
  return out.str();
}

std::string dump_version(const std::string& title, const accord::wire::Version& version) {
  Lines out;
  out.title(title).number("number", version.number());
  out.text("text", version.rules()).text("hash", version.hash());
  out.text("who", version.who()).text("why", version.why()).text("id", version.id());
  out.text("note", version.note());
  return out.str() + dump_rules(version.rules());
}

std::string dump_jobs(const std::string& bytes) {
  const auto board = maintenance::JobQueue().restore(bytes);
  const auto* jobs = dynamic_cast<const maintenance::JobQueue*>(board.get());
  if (!jobs) {
    return "jobs UNREADABLE\n";
  }
  Lines out;
  out.title("jobs").number("held", jobs->is_held()).time("facts as of", jobs->fleet_status_at());
  out.raw(dump_facts(jobs->fleet_status())).list("nodes out", jobs->endpoints_out());
  out.list("nodes withheld beforehand", jobs->baseline_exclusions());
  for (const auto& [number, job] : jobs->jobs()) {
    out.title("job " + std::to_string(number)).number("number", job.number);
    out.text("step", maintenance::job_state_name(job.state))
        .time("since", job.state_since)
        .number("held", job.is_held);
    out.text("who", job.requested_by).text("why", job.reason).text("last", job.state_reason);
    out.raw(dump_request(job.request));
  }
  return out.str();
}

std::string dump_numbers(const accord::wire::State& state) {
  Lines out;
  out.title("state").number("in force", state.in_force());
  out.number("zone shares from", state.zones_from()).number("nodes at work from", state.works_from());
  out.number("settings from", state.settings_from());
  out.number("baseline's nodes at work from", state.ground_works_from());
  out.number("baseline's settings from", state.ground_settings_from());
  out.list("roster", state.roster());
  for (const auto& order : state.order()) {
    out.text("order of zone", order.zone()).text(" what", order.what());
    out.text(" who", order.who()).text(" why", order.why());
  }
  for (int at = 0; at < state.seen_size(); ++at) {
    out.text("proposal", state.seen(at));
    out.number(" became", at < state.seen_number_size() ? state.seen_number(at) : 0);
  }
  return out.str();
}

std::string dump_snapshot_state(const std::string& bytes) {
  accord::wire::State state;
  if (!state.ParseFromString(bytes)) {
    return "state UNREADABLE\n";
  }
  std::string out = dump_numbers(state);
  for (const auto& version : state.version()) {
    out += dump_version("version", version);
  }
  out += dump_version("baseline", state.ground());
  if (state.has_ground_next()) {
    out += dump_version("next baseline", state.ground_next());
  }
  return out + dump_jobs(state.board());
}

std::string dump_snapshot(const shared_config::Snapshot& snapshot) {
  Lines out;
  out.title("snapshot").number("index", snapshot.index).number("term", snapshot.term);
  out.number("configuration index", snapshot.configuration_index);
  accord::wire::Voters voters;
  if (!voters.ParseFromString(snapshot.configuration)) {
    out.title("voters UNREADABLE");
  }
  for (const auto& voter : voters.voter()) {
    out.number("voter", voter.id()).text(" name", voter.name()).number(" role", voter.role());
  }
  return out.str() + dump_snapshot_state(snapshot.data);
}

}  // namespace

std::string dump_store(const shared_config::Kept& store) {
  const shared_config::Stored& held = store.loaded();
  Lines out;
  out.title("store").number("voter id", held.voter_id).number("term", held.term).number("vote", held.vote);
  std::string baseline;
  std::uint64_t baseline_number = 0;
  if (store.ground(baseline, baseline_number)) {
    out.number("own baseline", baseline_number).text("text", baseline).raw(dump_rules(baseline));
  }
  std::uint64_t index = held.first;
  for (const shared_config::LogEntry& entry : held.entries) {
    out.title("entry " + std::to_string(index)).number("term", entry.term).number("type", entry.type);
    out.raw(dump_logged(entry));
    ++index;
  }
  return out.str() + (held.snapshot ? dump_snapshot(*held.snapshot) : "no snapshot\n");
}

std::string dump_state(const shared_config::VersionHistory& versions) {
  Lines out;
  out.title("state machine").number("newest", versions.newest()).number("in force", versions.in_force());
  const std::string bytes = versions.snapshot();
  out.raw(dump_snapshot_state(bytes));
  out.title("as bytes").number("count", bytes.size()).text("hash", shared_config::content_hash(bytes));
  return out.str();
}

}  // namespace cairnhub::stored

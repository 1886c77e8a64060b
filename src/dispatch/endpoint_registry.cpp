#include "dispatch/endpoint_registry.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace cairnhub::dispatch {

namespace {

// Maximum of JSON values in one list. An entry has about ten, and the largest deployments have a tenth of
// this.
constexpr std::size_t kMaxValues = 200000;
constexpr std::uint64_t kMaxRingPosition = 65535;
constexpr double kMaxUpSinceMs = 9e12;  // fits Time in nanoseconds

// Counts the values of a JSON text without storing them, and stops past the limit.
class ValueCounter : public nlohmann::json_sax<nlohmann::json> {
 public:
  explicit ValueCounter(std::size_t max_values) : max_values_(max_values) {}
  bool null() override { return count_value(); }
  bool boolean(bool) override { return count_value(); }
  bool number_integer(number_integer_t) override { return count_value(); }
  bool number_unsigned(number_unsigned_t) override { return count_value(); }
  bool number_float(number_float_t, const string_t&) override { return count_value(); }
  bool string(string_t&) override { return count_value(); }
  bool binary(binary_t&) override { return count_value(); }
  bool start_object(std::size_t) override { return count_value(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return true; }
  bool start_array(std::size_t) override { return count_value(); }
  bool end_array() override { return true; }
  bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) override {
    return false;
  }
  bool is_over_limit() const { return count_ > max_values_; }

 private:
  bool count_value() { return ++count_ <= max_values_; }
  std::size_t max_values_;
  std::size_t count_ = 0;
};

// A malformed list of little more than brackets takes many times its length in memory once it is parsed, and
// the process would be killed for exceeding its memory limit. A value takes at least one byte of text, so
// that ordinary lists, which have fewer bytes than the limit has values, are parsed only once.
bool has_too_many_values(std::string_view text, std::size_t max_values) {
  if (text.size() <= max_values) return false;
  ValueCounter counter(max_values);
  nlohmann::json::sax_parse(text, &counter);
  return counter.is_over_limit();
}

}  // namespace

const char* EndpointRegistry::apply_list(std::string_view text, std::uint64_t min_revision) {
  if (has_too_many_values(text, kMaxValues)) return "the list has more than 200000 JSON values";
  if (has_too_many_values(text, max_values_)) return "the list has more JSON values than the memory allows";
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) return "the list is not a JSON object";
  const auto revision = json.find("revision");
  const auto members = json.find("members");
  const auto complete = json.find("complete");
  if (revision == json.end() || !revision->is_number_unsigned()) {
    return "revision is missing or not a whole number from 0 up";
  }
  if (members == json.end() || !members->is_array()) return "members is missing or not an array";
  if (complete != json.end() && !complete->is_boolean()) return "complete is neither true nor false";
  const bool is_complete = complete == json.end() || complete->get<bool>();

  std::vector<Entry> entries;
  for (const auto& member : *members) {
    if (!member.is_object()) return "a member is not an object";
    const auto id = member.find("id");
    const auto address = member.find("host_port");
    const auto phase = member.find("phase");
    const auto cell = member.find("cell");
    const auto up_since = member.find("up_since_ms");
    if (id == member.end() || !id->is_string()) return "a member's id is missing or not a string";
    if (phase == member.end() || !phase->is_string()) return "a member's phase is missing or not a string";
    Entry& entry = entries.emplace_back();
    entry.id = id->get<std::string>();
    const std::string state = phase->get<std::string>();
    if (state == "in_service") {
      entry.state = EndpointState::kReady;
    } else if (state == "terminating") {
      entry.state = EndpointState::kDraining;
    } else if (state == "terminated") {
      entry.state = EndpointState::kRemoved;
    } else {
      return "a member's phase is not in_service, terminating or terminated";
    }
    if (address == member.end() || !address->is_string() ||
        !parse_address(address->get<std::string>(), entry.address)) {
      return "a member's host_port is missing or not an address";
    }
    if (cell == member.end() || !cell->is_number_unsigned() ||
        cell->get<std::uint64_t>() > kMaxRingPosition) {
      return "a member's cell is missing or not a whole number from 0 to 65535";
    }
    entry.ring_position = cell->get<int>();
    if (const auto flavor = member.find("flavor"); flavor != member.end() && flavor->is_string()) {
      entry.flavor = flavor->get<std::string>();
    }
    if (const auto locality = member.find("locality"); locality != member.end() && locality->is_string()) {
      entry.locality = locality->get<std::string>();
    }
    const double up_since_ms = up_since != member.end() && up_since->is_number() ? up_since->get<double>()
                               : up_since == member.end()                        ? 0
                                                                                 : -1;
    if (!(up_since_ms >= 0 && up_since_ms < kMaxUpSinceMs)) {
      return "a member's up_since_ms is not a time in milliseconds";
    }
    entry.started_at = static_cast<Time>(std::llround(up_since_ms * 1e6));
  }

  const auto new_revision = revision->get<std::uint64_t>();
  if (new_revision < min_revision) return "the list is older than one that came before it";
  // An agent that lags, or was started with an older state, would put a drained endpoint back into use.
  if (cluster_ && ((has_list_ && new_revision < revision_) || new_revision < cluster_->min_list_revision())) {
    return "the list is older than the one in use here or in the cluster";
  }
  has_list_ = true;
  revision_ = new_revision;
  if (cluster_) {
    cluster_->list_begins(new_revision, is_complete);
    for (const auto& entry : entries) {
      cluster_->list_endpoint(entry.id, entry.started_at, entry.state, entry.locality, entry.ring_position);
    }
    cluster_->list_ends();
  }
  ++list_count_;
  policy_.list_begins(now(), is_complete);
  for (const auto& entry : entries) {
    Endpoint& endpoint = endpoints_[entry.id];
    if (endpoint.id == 0) endpoint.id = ++last_id_;
    endpoint.entry = entry;
    endpoint.last_list = list_count_;
    endpoint.is_withheld = cluster_ && cluster_->is_withheld(entry.id, entry.started_at);
    report(endpoint);
  }
  policy_.list_ends();
  if (is_complete) {
    for (auto& [name, endpoint] : endpoints_) {
      if (endpoint.last_list != list_count_) {
        endpoint.entry.state = EndpointState::kRemoved;
        updated_(endpoint.id, endpoint.entry);
      }
    }
  }
  // Once a list is as new as the list that an endpoint was withheld for, the endpoint is released, even if
  // the list doesn't name it.
  if (cluster_) update_withheld();
  return nullptr;
}

// Reports the endpoint to the policy and the listener. A ready endpoint that is withheld is reported as
// draining.
void EndpointRegistry::report(Endpoint& endpoint) {
  Entry entry = endpoint.entry;
  if (endpoint.is_withheld && entry.state == EndpointState::kReady) entry.state = EndpointState::kDraining;
  const int zone = cluster_ ? cluster_->zone_of(entry.locality) : 0;
  if (zone != 0) {
    zones_[endpoint.id] = zone;
  } else {
    zones_.erase(endpoint.id);
  }
  // An endpoint without a known zone counts as local. Its zone number is the one after the last zone, so that
  // its results aren't counted for this broker's zone.
  const bool is_zone_known = cluster_ && zone < static_cast<int>(cluster_->zones().size());
  policy_.list_endpoint(endpoint.id, entry.state, entry.started_at, entry.ring_position,
                        is_zone_known ? zone : 0);
  updated_(endpoint.id, entry);
}

void EndpointRegistry::update_withheld() {
  bool has_begun = false;
  for (auto& [name, endpoint] : endpoints_) {
    const bool is_withheld = endpoint.entry.state == EndpointState::kReady &&
                             cluster_->is_withheld(name, endpoint.entry.started_at);
    if (endpoint.entry.state != EndpointState::kReady || is_withheld == endpoint.is_withheld) continue;
    if (!std::exchange(has_begun, true)) policy_.list_begins(now(), false);
    endpoint.is_withheld = is_withheld;
    report(endpoint);
  }
}

std::string EndpointRegistry::name_of(EndpointId id) const {
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.id == id) return name;
  }
  return "";
}

EndpointId EndpointRegistry::id_of(const std::string& name) const {
  const auto it = endpoints_.find(name);
  return it == endpoints_.end() ? 0 : it->second.id;
}

std::vector<std::string> EndpointRegistry::ready_at(int ring_position) const {
  std::vector<std::string> names;
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.entry.ring_position == ring_position && endpoint.entry.state == EndpointState::kReady) {
      names.push_back(name);
    }
  }
  return names;
}

int EndpointRegistry::ready_count() const {
  int count = 0;
  for (const auto& [name, endpoint] : endpoints_) {
    count += endpoint.entry.state == EndpointState::kReady;
  }
  return count;
}

int EndpointRegistry::zone_of(EndpointId id) const {
  const auto it = zones_.find(id);
  return it == zones_.end() ? 0 : it->second;
}

void EndpointRegistry::forget(EndpointId id) {
  zones_.erase(id);
  std::erase_if(endpoints_, [&](const auto& named) { return named.second.id == id; });
}

}  // namespace cairnhub::dispatch

#include "dispatch/endpoint_registry.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace cairnhub::dispatch {

namespace {

// Values of one list, of ten or so to an entry: ten times what the largest deployments have.
constexpr int kMostValues = 200000;

// Counts the values of a JSON text without keeping any, and stops past the most.
class ValueCounter : public nlohmann::json_sax<nlohmann::json> {
 public:
  bool null() override { return counted(); }
  bool boolean(bool) override { return counted(); }
  bool number_integer(number_integer_t) override { return counted(); }
  bool number_unsigned(number_unsigned_t) override { return counted(); }
  bool number_float(number_float_t, const string_t&) override { return counted(); }
  bool string(string_t&) override { return counted(); }
  bool binary(binary_t&) override { return counted(); }
  bool start_object(std::size_t) override { return counted(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return true; }
  bool start_array(std::size_t) override { return counted(); }
  bool end_array() override { return true; }
  bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) override {
    return false;
  }
  bool too_many() const { return count_ > kMostValues; }

 private:
  bool counted() { return ++count_ <= kMostValues; }
  int count_ = 0;
};

// Danger: a spoilt list of little more than brackets takes many times its length in memory once it is read,
// and the process is killed for it. A value takes a byte at least, so that an ordinary list is read once.
bool too_many_values(std::string_view text) {
  if (text.size() <= kMostValues) return false;
  ValueCounter counter;
  nlohmann::json::sax_parse(text, &counter);
  return counter.too_many();
}

}  // namespace

const char* EndpointRegistry::apply_list(std::string_view text) {
  if (too_many_values(text)) return "more values than any list has";
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) return "not a JSON object";
  const auto revision = json.find("revision"), entries = json.find("members"),
             complete = json.find("complete");
  if (revision == json.end() || !revision->is_number_unsigned()) return "no revision";
  if (entries == json.end() || !entries->is_array()) return "no members";
  if (complete != json.end() && !complete->is_boolean()) return "complete is neither true nor false";
  const bool whole = complete == json.end() || complete->get<bool>();

  std::vector<Entry> read;
  for (const auto& e : *entries) {
    if (!e.is_object()) return "a member is not an object";
    const auto id = e.find("id"), at = e.find("host_port"), phase = e.find("phase"), cell = e.find("cell"),
               up = e.find("up_since_ms");
    if (id == e.end() || !id->is_string()) return "a member has no id";
    if (phase == e.end() || !phase->is_string()) return "a member has no phase";
    Entry& entry = read.emplace_back();
    entry.id = id->get<std::string>();
    const std::string state = phase->get<std::string>();
    if (state == "in_service") {
      entry.state = EndpointState::kReady;
    } else if (state == "terminating") {
      entry.state = EndpointState::kDraining;
    } else if (state == "terminated") {
      entry.state = EndpointState::kRemoved;
    } else {
      return "a member's phase is unknown";
    }
    if (at == e.end() || !at->is_string() || !parse_address(at->get<std::string>(), entry.address))
      return "a member has no address";
    if (cell == e.end() || !cell->is_number_unsigned() || cell->get<std::uint64_t>() > 65535)
      return "a member has no cell";
    entry.ring_position = cell->get<int>();
    if (const auto f = e.find("flavor"); f != e.end() && f->is_string()) entry.flavor = f->get<std::string>();
    if (const auto l = e.find("locality"); l != e.end() && l->is_string())
      entry.locality = l->get<std::string>();
    const double ms = up != e.end() && up->is_number() ? up->get<double>() : up == e.end() ? 0 : -1;
    if (!(ms >= 0 && ms < 9e12)) return "a member's start is not a time";
    entry.started_at = static_cast<Time>(std::llround(ms * 1e6));
  }

  const auto at = revision->get<std::uint64_t>();
  // Danger: an agent that lags, or was started with an older state, would take a drained node back into use.
  if (common_ && ((held_ && at < revision_) || at < common_->min_list_revision()))
    return "older than what is acted on already";
  held_ = true;
  revision_ = at;
  if (common_) {
    common_->list_begins(at, whole);
    for (const auto& e : read)
      common_->list_endpoint(e.id, e.started_at, e.state, e.locality, e.ring_position);
    common_->list_ends();
  }
  ++lists_;
  policy_.list_begins(now(), whole);
  for (const auto& e : read) {
    Known& k = known_[e.id];
    if (k.id == 0) k.id = ++last_id_;
    k.entry = e;
    k.named_in = lists_;
    k.withheld = common_ && common_->is_withheld(e.id, e.started_at);
    tell(k);
  }
  policy_.list_ends();
  if (whole)
    for (auto& [name, k] : known_)
      if (k.named_in != lists_) k.entry.state = EndpointState::kRemoved, tell_(k.id, k.entry);
  // A list that is as new as what was heard ends what was withheld for it, of nodes that it does not name
  // too.
  if (common_) update_withheld();
  return nullptr;
}

void EndpointRegistry::tell(Known& k) {
  Entry told = k.entry;
  if (k.withheld && told.state == EndpointState::kReady) told.state = EndpointState::kDraining;
  const int zone = common_ ? common_->zone_of(told.locality) : 0;
  if (zone != 0)
    zones_[k.id] = zone;
  else
    zones_.erase(k.id);
  // A node of no known zone is as near as any; what comes of it tells nothing of the own one.
  const bool known = common_ && zone < static_cast<int>(common_->zones().size());
  policy_.list_endpoint(k.id, told.state, told.started_at, told.ring_position, known ? zone : 0);
  tell_(k.id, told);
}

void EndpointRegistry::update_withheld() {
  bool begun = false;
  for (auto& [name, k] : known_) {
    const bool withheld =
        k.entry.state == EndpointState::kReady && common_->is_withheld(name, k.entry.started_at);
    if (k.entry.state != EndpointState::kReady || withheld == k.withheld) continue;
    if (!std::exchange(begun, true)) policy_.list_begins(now(), false);
    k.withheld = withheld;
    tell(k);
  }
}

std::string EndpointRegistry::name_of(EndpointId id) const {
  for (const auto& [name, k] : known_)
    if (k.id == id) return name;
  return "";
}

EndpointId EndpointRegistry::id_of(const std::string& name) const {
  const auto it = known_.find(name);
  return it == known_.end() ? 0 : it->second.id;
}

std::vector<std::string> EndpointRegistry::ready_at(int cell) const {
  std::vector<std::string> all;
  for (const auto& [name, k] : known_)
    if (k.entry.ring_position == cell && k.entry.state == EndpointState::kReady) all.push_back(name);
  return all;
}

int EndpointRegistry::ready_count() const {
  int n = 0;
  for (const auto& [name, k] : known_) n += k.entry.state == EndpointState::kReady;
  return n;
}

int EndpointRegistry::zone_of(EndpointId id) const {
  const auto it = zones_.find(id);
  return it == zones_.end() ? 0 : it->second;
}

void EndpointRegistry::forget(EndpointId id) {
  zones_.erase(id);
  std::erase_if(known_, [&](const auto& known) { return known.second.id == id; });
}

}  // namespace cairnhub::dispatch

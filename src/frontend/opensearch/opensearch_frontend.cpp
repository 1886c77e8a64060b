#include "frontend/opensearch/opensearch_frontend.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "frontend/platform/response_writer.h"

namespace cairnhub::frontend::opensearch {

namespace os = cairnhub::opensearch;
using os::json;

namespace {

std::string text(const json& v) { return v.dump(-1, ' ', false, json::error_handler_t::replace); }

std::string decoded(std::string_view in) {
  std::string out;
  for (std::size_t i = 0; i < in.size(); ++i) {
    const auto digit = [&](std::size_t at) {
      const char c = at < in.size() ? in[at] : 'x';
      return c >= '0' && c <= '9'   ? c - '0'
             : c >= 'a' && c <= 'f' ? c - 'a' + 10
             : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                    : -1;
    };
    if (in[i] == '%' && digit(i + 1) >= 0 && digit(i + 2) >= 0)
      out += static_cast<char>(16 * digit(i + 1) + digit(i + 2)), i += 2;
    else
      out += in[i] == '+' ? ' ' : in[i];
  }
  return out;
}
std::vector<std::pair<std::string, std::string>> parameters(std::string_view query) {
  std::vector<std::pair<std::string, std::string>> all;
  while (!query.empty()) {
    const auto end = std::min(query.find('&'), query.size());
    const std::string_view one = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    if (one.empty()) continue;
    const auto eq = std::min(one.find('='), one.size());
    all.emplace_back(decoded(one.substr(0, eq)), decoded(one.substr(std::min(eq + 1, one.size()))));
  }
  return all;
}
// `/a/_search` is a and _search.
std::pair<std::string, std::string> split(std::string_view path) {
  const auto verb = path.find("/_");
  if (verb == std::string_view::npos) return {"", ""};
  const std::string_view before = path.substr(0, verb);
  constexpr std::string_view kCat = "/_cat/shards/";
  if (path.rfind(kCat, 0) == 0) return {decoded(path.substr(kCat.size())), "_cat/shards"};
  return {decoded(before.substr(before.empty() ? 0 : 1)), std::string(path.substr(verb + 1))};
}
bool known_verb(const std::string& verb) {
  static const char* verbs[] = {"_search", "_msearch", "_mget", "_count", "_cluster/health", "_cat/shards"};
  return std::any_of(std::begin(verbs), std::end(verbs), [&](const char* v) { return verb == v; });
}
os::Fault no_index(const std::string& name) {
  return {404, "index_not_found_exception", "no such index [" + name.substr(0, 80) + "]"};
}

}  // namespace

// A request of the API, of one search or many: answered once, when all of them have ended.
struct Front::Job {
  std::unique_ptr<dispatch::Responder> reply;
  std::vector<os::Outcome> outcomes;
  std::vector<RequestId> open;  // by slot; 0 once ended
  std::vector<Time> come_back;
  std::size_t left = 0;
  Time began = now();
  bool gone = false;
  // Of the API's ways to say it: how the outcomes become one body.
  std::function<os::Outcome(Job&)> form;
  std::vector<std::vector<std::string>> hits;  // for _mget: raw hits of each slot
  std::vector<bool> whole;
  bool keeps_hits = false;

  void end(Slot slot, os::Outcome outcome, Time advice = 0) {
    outcomes[slot] = std::move(outcome), open[slot] = 0, come_back[slot] = advice;
    if (--left == 0 && !gone) answer();
  }
  void answer() {
    const os::Outcome all = form(*this);
    const Time advice = outcomes.size() == 1 ? come_back[0] : 0;
    reply->respond(all.status, frontend::platform::come_back_text(advice), all.body, "application/json");
  }
};

// The client of one search's multiget.
class Front::Ask : public dispatch::RequestCallbacks {
 public:
  Ask(Front& home, std::shared_ptr<Job> job, Slot slot, const Index& index, os::Search search, bool counts)
      : home_(home),
        job_(std::move(job)),
        slot_(slot),
        index_(index),
        search_(std::move(search)),
        counts_(counts) {}
  ~Ask() override { home_.book_.adjust_memory(held_, 0); }

  ValueUse on_value(const dispatch::ShardRequest& part, std::string_view value) override {
    auto answer = std::make_unique<os::BlockAnswer>();
    const char* wrong = os::read_answer(value, search_, index_.name, part.shard - index_.first, *answer);
    if (wrong) {
      log("search", "%s: %s", part.name.c_str(), wrong);
      unusable_[part.shard] = wrong;
      return ValueUse::kInvalid;
    }
    const std::size_t before = held_;
    held_ += 2 * value.size();
    home_.book_.adjust_memory(before, held_);
    answers_[part.shard] = std::move(answer);
    return ValueUse::kTaken;
  }
  void on_response(const dispatch::Request& q, bool whole) override {
    const os::Shards shards = standing(q, whole);
    std::vector<os::Part> parts;
    for (const auto& [block, a] : answers_) parts.push_back({block, a.get()});
    const bool all_in = answers_.size() == q.shard_requests.size();
    auto merged = os::merge(search_, parts, all_in);
    if (const auto* f = std::get_if<os::Fault>(&merged)) return job_->end(slot_, os::fault(*f));
    const auto& m = std::get<os::Merged>(merged);
    job_->whole[slot_] = whole && all_in;
    if (job_->keeps_hits)
      for (const auto& place : m.page) job_->hits[slot_].emplace_back(place.hit->raw);
    const std::int64_t took = (now() - job_->began) / 1'000'000;
    job_->end(slot_, counts_ ? os::count_answer(m, shards, whole)
                             : os::search_answer(search_, m, shards, whole, took));
  }
  void on_rejected(const dispatch::Request& q, Time come_back) override {
    const bool sent = std::any_of(q.shard_requests.begin(), q.shard_requests.end(),
                                  [](auto& p) { return !p->attempts.empty(); });
    job_->end(slot_, sent ? os::failed(standing(q, false)) : os::pushed_back(), come_back);
  }
  void on_failed(const dispatch::Request& q) override { job_->end(slot_, os::failed(standing(q, false))); }

 private:
  // What became of each block, from its last send.
  os::Shards standing(const dispatch::Request& q, bool whole) const {
    os::Shards s;
    s.total = static_cast<int>(q.shard_requests.size());
    for (const auto& p : q.shard_requests) {
      if (answers_.count(p->shard)) continue;
      if (whole) {
        ++s.skipped;  // enough others are in
        continue;
      }
      os::Failure f;
      f.index = index_.name, f.block = p->shard - index_.first;
      if (!p->attempts.empty()) {
        const dispatch::Attempt& last = *p->attempts.back();
        f.node = home_.around_.node_name(last.endpoint);
        f.how = how(last);
        const auto why = unusable_.find(p->shard);
        if (f.how == os::Failure::How::error && why != unusable_.end())
          f.how = os::Failure::How::unusable, f.detail = why->second;
      }
      s.failures.push_back(std::move(f));
    }
    return s;
  }
  static os::Failure::How how(const dispatch::Attempt& e) {
    if (!e.has_ended) return os::Failure::How::timed_out;
    switch (e.outcome) {
      case AttemptOutcome::kQueueFull:
        return os::Failure::How::rejected;
      case AttemptOutcome::kConnectFailed:
      case AttemptOutcome::kNotSent:
        return os::Failure::How::not_connected;
      case AttemptOutcome::kReset:
        return os::Failure::How::broken;
      case AttemptOutcome::kTimedOut:
      case AttemptOutcome::kCancelled:
        return os::Failure::How::timed_out;
      case AttemptOutcome::kOk:
      case AttemptOutcome::kError:
        break;
    }
    return os::Failure::How::error;
  }

  Front& home_;
  std::shared_ptr<Job> job_;
  Slot slot_;
  const Index& index_;
  const os::Search search_;
  std::map<int, std::unique_ptr<os::BlockAnswer>> answers_;  // by shard
  std::map<int, const char*> unusable_;
  std::size_t held_ = 0;
  bool counts_;
};

Front::Front(std::vector<Index> indices, const os::Limits& limits, dispatch::InFlightRequests& book,
             dispatch::RequestDispatcher& route, const Surroundings& around)
    : indices_(std::move(indices)), limits_(limits), book_(book), route_(route), around_(around) {}

bool Front::takes(std::string_view path) const { return known_verb(split(path).second); }

const Index* Front::find(const std::string& name) const {
  for (const Index& i : indices_) {
    if (!route_.serves_index(i.name)) continue;  // taken out by rules that brokers hold in common
    if (i.name == name || ((name.empty() || name == "_all" || name == "*") && indices_.size() == 1))
      return &i;
  }
  return nullptr;
}

std::function<void()> Front::take(const frontend::platform::Asked& asked,
                                  std::unique_ptr<dispatch::Responder> reply) {
  const auto [index, verb] = split(asked.path);
  const auto says = [&](const os::Outcome& o) {
    reply->respond(o.status, "", o.body, "application/json");
    return nullptr;
  };
  if (verb == "_cluster/health") return says(health());
  if (verb == "_cat/shards") return reply->respond(200, "", cat_shards(index), "text/plain"), nullptr;
  if (asked.method != "POST")
    return says(os::fault({405, "illegal_argument_exception", "only POST here: a GET has no body"}));
  if (book_.is_full()) return says(os::pushed_back());
  if (verb == "_msearch") return msearch(asked, index, std::move(reply));
  if (verb == "_mget") return mget(asked, index, std::move(reply));
  return search(asked, index, verb == "_count", std::move(reply));
}

std::function<void()> Front::leaves(const std::shared_ptr<Job>& job) {
  if (job->left == 0) return nullptr;
  return [this, job] {
    job->gone = true;
    for (RequestId& id : job->open)
      if (id) route_.abandon_request(std::exchange(id, 0));
  };
}

void Front::begin(const std::shared_ptr<Job>& job, Slot slot, const Index& index, const os::Search& search,
                  const std::string& body, bool counts) {
  // Danger: a thousand searches in one request. Each counts by itself.
  if (book_.is_full()) return job->end(slot, os::pushed_back());
  auto q = std::make_unique<dispatch::Request>();
  do q->name = "os" + std::to_string(++asked_);
  while (book_.contains(q->name));
  q->request_class = index.op_type;
  q->body = body;
  q->time_left = search.timeout ? std::min(*search.timeout, index.timeout) : index.timeout;
  q->max_value_bytes = SIZE_MAX;  // what is kept of them is counted as it comes
  for (int b = 0; b < index.blocks; ++b) {
    auto p = std::make_unique<dispatch::ShardRequest>();
    p->shard = index.first + b, p->weight = 1.0 / index.blocks;
    p->name = q->name + "." + std::to_string(p->shard);
    p->http_target = "/" + index.name + "/_search?preference=_shards:" + std::to_string(b);
    q->shard_requests.push_back(std::move(p));
  }
  q->callbacks = std::make_unique<Ask>(*this, job, slot, index, search, counts);
  job->open[slot] = book_.next_id();
  route_.start_request(std::move(q));
}

std::shared_ptr<Front::Job> Front::job(std::unique_ptr<dispatch::Responder> reply, std::size_t slots,
                                       std::function<os::Outcome(Job&)> form) {
  auto job = std::make_shared<Job>();
  job->reply = std::move(reply), job->form = std::move(form);
  job->outcomes.resize(slots), job->open.resize(slots), job->come_back.resize(slots);
  job->whole.resize(slots), job->hits.resize(slots);
  job->left = slots;
  return job;
}

std::function<void()> Front::search(const frontend::platform::Asked& asked, const std::string& name,
                                    bool counts, std::unique_ptr<dispatch::Responder> reply) {
  const auto refuse = [&](const os::Fault& f) {
    reply->respond(f.status, "", os::error_body(f), "application/json");
    return nullptr;
  };
  const Index* index = find(name);
  if (!index) return refuse(no_index(name));
  auto read = os::read_search(asked.body, limits_);
  if (const auto* f = std::get_if<os::Fault>(&read)) return refuse(*f);
  os::Search s = std::move(std::get<os::Search>(read));
  for (const auto& [key, value] : parameters(asked.parameters))
    if (const auto f = os::read_parameter(key, value, s, limits_)) return refuse(*f);
  if (counts) {
    if (!s.sort.empty() || !s.aggregations.empty() || !s.search_after.is_null() || s.from > 0 || s.size != 10)
      return refuse({400, "parsing_exception", "a count takes a query alone"});
    s.size = 0, s.counts = s.counts_all = true;
  }
  const auto j = job(std::move(reply), 1, [](Job& j) { return std::move(j.outcomes[0]); });
  begin(j, 0, *index, s, os::block_request(s), counts);
  return leaves(j);
}

std::function<void()> Front::msearch(const frontend::platform::Asked& asked, const std::string& name,
                                     std::unique_ptr<dispatch::Responder> reply) {
  auto read = os::read_msearch(asked.body, name, limits_);
  if (const auto* f = std::get_if<os::Fault>(&read))
    return reply->respond(f->status, "", os::error_body(*f), "application/json"), nullptr;
  const auto& items = std::get<std::vector<os::Item>>(read);
  const auto j = job(std::move(reply), items.size(), [](Job& j) {
    std::string body = "{\"took\":" + std::to_string((now() - j.began) / 1'000'000) + ",\"responses\":[";
    for (std::size_t i = 0; i < j.outcomes.size(); ++i) {
      std::string& one = j.outcomes[i].body;
      if (i) body += ',';
      // Each says its own status, as the API has it.
      if (j.outcomes[i].status == 200) one.pop_back(), one += ",\"status\":200}";
      body += one;
    }
    return os::Outcome{200, body + "]}"};
  });
  // One that ends at once must not make the last of those not yet begun: all are counted first.
  for (Slot i = 0; i < items.size(); ++i) {
    const auto* s = std::get_if<os::Search>(&items[i].search);
    const Index* index = find(items[i].index);
    if (!s)
      j->end(i, os::fault(std::get<os::Fault>(items[i].search)));
    else if (!index)
      j->end(i, os::fault(no_index(items[i].index)));
    else
      begin(j, i, *index, *s, os::block_request(*s), false);
  }
  return leaves(j);
}

// Where a document stands isn't known, so every block is asked; found nowhere means so only if all of them
// answered.
std::function<void()> Front::mget(const frontend::platform::Asked& asked, const std::string& name,
                                  std::unique_ptr<dispatch::Responder> reply) {
  auto read = os::read_mget(asked.body, name, limits_);
  if (const auto* f = std::get_if<os::Fault>(&read))
    return reply->respond(f->status, "", os::error_body(*f), "application/json"), nullptr;
  const auto gets = std::get<std::vector<os::Get>>(read);
  std::map<std::string, std::vector<std::string>> by_index;
  for (const os::Get& g : gets) {
    auto& ids = by_index[g.index];
    if (std::find(ids.begin(), ids.end(), g.id) == ids.end()) ids.push_back(g.id);
  }
  std::vector<std::string> names;
  for (const auto& [index, ids] : by_index) names.push_back(index);
  const auto j = job(std::move(reply), names.size(), [gets, names](Job& j) {
    std::map<std::pair<std::string, std::string>, json> found;
    for (std::size_t i = 0; i < names.size(); ++i)
      for (const std::string& raw : j.hits[i]) {
        json hit = json::parse(raw);
        const std::string id = hit["_id"];
        found[{names[i], id}] = std::move(hit);
      }
    json docs = json::array();
    for (const os::Get& g : gets) {
      const auto slot =
          static_cast<std::size_t>(std::find(names.begin(), names.end(), g.index) - names.begin());
      json doc{{"_index", g.index}, {"_id", g.id}};
      if (const auto hit = found.find({g.index, g.id}); hit != found.end()) {
        doc["found"] = true;
        if (hit->second.contains("_source")) doc["_source"] = hit->second["_source"];
      } else if (j.whole[slot]) {
        doc["found"] = false;
      } else {
        const json error = json::parse(j.outcomes[slot].body, nullptr, false);
        doc["error"] = error.contains("error")
                           ? error["error"]
                           : json{{"type", "no_shard_available_action_exception"},
                                  {"reason", "not every block answered, so that it may be there or not"}};
      }
      docs.push_back(std::move(doc));
    }
    return os::Outcome{200, text({{"docs", docs}})};
  });
  j->keeps_hits = true;
  for (Slot i = 0; i < names.size(); ++i) {
    const auto& ids = by_index[names[i]];
    const Index* index = find(names[i]);
    if (!index) {
      j->end(i, os::fault(no_index(names[i])));
      continue;
    }
    os::Search s;
    s.query = {{"ids", {{"values", ids}}}};
    s.size = ids.size();
    begin(j, i, *index, s, os::block_request(s), false);
  }
  return leaves(j);
}

os::Outcome Front::health() const {
  int held = 0, blocks = 0;
  bool all = true, full = true;
  for (const Index& i : indices_)
    for (int b = 0; b < i.blocks; ++b) {
      const std::size_t n = around_.holders(i.first + b).size();
      ++blocks, held += n > 0;
      all = all && n > 0, full = full && n > 1;
    }
  const double percent = blocks ? 100.0 * held / blocks : 100.0;
  return {200, text({{"cluster_name", "cairnhub"},
                     {"status", !all   ? "red"
                                : full ? "green"
                                       : "yellow"},
                     {"timed_out", false},
                     {"number_of_nodes", around_.nodes()},
                     {"number_of_data_nodes", around_.nodes()},
                     {"active_primary_shards", held},
                     {"unassigned_shards", blocks - held},
                     {"active_shards_percent_as_number", percent}})};
}

std::string Front::cat_shards(const std::string& name) const {
  std::string out;
  for (const Index& i : indices_) {
    if (!name.empty() && name != i.name) continue;
    for (int b = 0; b < i.blocks; ++b) {
      const auto holders = around_.holders(i.first + b);
      const std::string head = i.name + " " + std::to_string(b) + " ";
      for (const std::string& h : holders) out += head + "STARTED " + h + "\n";
      if (holders.empty()) out += head + "UNASSIGNED -\n";
    }
  }
  return out;
}

}  // namespace cairnhub::frontend::opensearch

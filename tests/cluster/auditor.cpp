#include "cluster/auditor.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace cairnhub::cluster {

bool read_record(const std::string& line, Record& into) {
  const auto j = nlohmann::json::parse(line, nullptr, false);
  if (!j.is_object() || !j.contains("t") || !j.contains("who") || !j.contains("what")) return false;
  into = {};
  for (const auto& [key, v] : j.items()) {
    if (key == "t")
      into.t = v.get<std::int64_t>();
    else if (key == "who")
      into.who = v.get<std::string>();
    else if (key == "what")
      into.what = v.get<std::string>();
    else if (v.is_string())
      into.text[key] = v.get<std::string>();
    else if (v.is_number_unsigned())
      into.number[key] = v.get<std::uint64_t>();
    else if (v.is_boolean())
      into.number[key] = v.get<bool>() ? 1 : 0;
  }
  return true;
}

namespace {

struct Span {
  std::int64_t from, until;
  std::uint64_t low, high;
};

std::int64_t longest_contradiction(const std::vector<Record>& records) {
  std::map<std::string, std::vector<Span>> spans;
  for (const Record& r : records) {
    auto& mine = spans[r.who];
    const bool ends = r.what == "lease" || r.what == "ground" || r.what == "leaves" || r.what == "starts";
    if (ends && !mine.empty()) mine.back().until = std::min(mine.back().until, r.t);
    if (r.what == "lease")
      mine.push_back({r.t, static_cast<std::int64_t>(r.get("until")), r.get("low"), r.get("high")});
  }
  struct Edge {
    std::int64_t t;
    bool begins;
    const Span* span;
  };
  std::vector<Edge> edges;
  for (const auto& [who, mine] : spans)
    for (const Span& s : mine)
      if (s.until > s.from) edges.push_back({s.from, true, &s}), edges.push_back({s.until, false, &s});
  std::sort(edges.begin(), edges.end(),
            [](const Edge& a, const Edge& b) { return a.t != b.t ? a.t < b.t : a.begins < b.begins; });
  std::multiset<std::uint64_t> lows, highs;
  std::int64_t since = -1, longest = 0;
  for (const Edge& e : edges) {
    if (e.begins) {
      lows.insert(e.span->low), highs.insert(e.span->high);
    } else {
      lows.erase(lows.find(e.span->low)), highs.erase(highs.find(e.span->high));
    }
    const bool bad = !lows.empty() && *lows.rbegin() > *highs.begin();
    if (since >= 0) longest = std::max(longest, e.t - since);
    if (bad && since < 0) since = e.t;
    if (!bad) since = -1;
  }
  return longest;
}

}  // namespace

Audit audit(const std::vector<Record>& unordered, const Known& known) {
  std::vector<Record> records = unordered;
  std::stable_sort(records.begin(), records.end(),
                   [](const Record& a, const Record& b) { return a.t < b.t; });
  Audit out;
  out.longest_contradiction = longest_contradiction(records);

  std::map<std::string, std::uint64_t> index, revision;
  std::map<std::uint64_t, std::string> made;
  std::set<std::string> struck;
  // From when until when a broker knew that a node takes nothing new: until its own list says otherwise, or
  // it dies.
  struct Knew {
    std::int64_t from, until;
  };
  std::map<std::string, std::map<std::string, std::vector<Knew>>> knew;
  const auto ends = [](std::vector<Knew>& spans, std::int64_t t) {
    if (!spans.empty()) spans.back().until = std::min(spans.back().until, t);
  };
  struct News {
    std::int64_t first, last;
  };
  std::map<std::string, News> news;
  for (const Record& r : records) {
    if (r.what == "starts") {
      index.erase(r.who), revision.erase(r.who);
      for (auto& [node, spans] : knew[r.who]) ends(spans, r.t);
    }
    if (r.what == "applied") {
      if (index.count(r.who) && r.get("index") <= index[r.who]) ++out.out_of_order;
      index[r.who] = r.get("index");
      if (r.get("kind") == 1 && r.get("number") != 0) {
        const auto [it, fresh] = made.try_emplace(r.get("number"), r.say("id"));
        if (!fresh && it->second != r.say("id")) ++out.unequal;
      }
    }
    if (r.what == "list") {
      if (revision.count(r.who) && r.get("revision") < revision[r.who]) ++out.lists_back;
      revision[r.who] = r.get("revision");
    }
    if (r.what == "told" || r.what == "heard") {
      const std::string node = r.say("node");
      auto& spans = knew[r.who][node];
      const bool first_here = spans.empty();
      if (first_here || spans.back().until <= r.t) spans.push_back({r.t, INT64_MAX});
      const auto [it, fresh] = news.try_emplace(node, News{r.t, r.t});
      if (!fresh && first_here) it->second.last = r.t;
    }
    if (r.what == "ready") ends(knew[r.who][r.say("node")], r.t);
  }
  for (const auto& [node, n] : news) out.slowest_news = std::max(out.slowest_news, n.last - n.first);
  for (const Arrival& a : known.arrivals) {
    const auto broker = knew.find(a.broker);
    if (broker == knew.end()) continue;
    for (const Knew& k : broker->second[a.node]) {
      if (a.t <= k.from + known.grace || a.t >= k.until) continue;
      ++out.past_grace;
      out.latest = std::max(out.latest, a.t - k.from);
    }
  }
  // Each step of a work counts from the first broker that recorded it: the leader commits it, and others
  // learn.
  struct Handed {
    std::int64_t from = INT64_MAX, until = INT64_MAX;
    std::string nodes;
  };
  std::map<std::uint64_t, Handed> handed;
  std::set<std::uint64_t> done;
  for (const Record& r : records) {
    if (r.what != "work") continue;
    Handed& h = handed[r.get("work")];
    if (r.say("step") == "at work") h.from = std::min(h.from, r.t), h.nodes = r.say("nodes");
    if (r.say("step") == "returning") h.until = std::min(h.until, r.t);
    if (r.say("step") == "in service") done.insert(r.get("work"));
  }
  out.works_done = static_cast<int>(done.size());
  // Nodes that works have out, from the first broker that recorded a step on.
  if (known.holders_least > 0) {
    std::map<int, int> out_of_cell;
    const auto cells_of = [](const Record& r) {
      std::vector<int> cells;
      std::istringstream words(r.say("nodes"));
      for (std::string word; words >> word;)
        if (word.rfind("s-", 0) == 0) cells.push_back(std::stoi(word.substr(2)));
      return cells;
    };
    std::map<std::uint64_t, std::uint64_t> index_of;
    std::set<std::uint64_t> out_now;
    for (const Record& r : records) {
      if (r.what != "work") continue;
      const std::uint64_t n = r.get("work");
      // Each voter tells the same steps in the same order; a later one's telling of an earlier step is no
      // news.
      if (r.get("index") <= index_of[n]) continue;
      index_of[n] = r.get("index");
      const std::string step = r.say("step");
      const bool takes_out = step != "queued" && step != "in service" && step != "cancelled";
      if (takes_out && out_now.insert(n).second) {
        for (const int c : cells_of(r)) ++out_of_cell[c];
        if (r.say("why") == "emergency") continue;
        for (const int c : cells_of(r))
          for (int s = c - known.width + 1; s <= c; ++s) {
            int left = 0;
            for (int k = 0; k < known.width; ++k)
              left += out_of_cell[((s + k) % known.cells + known.cells) % known.cells] == 0;
            out.below_least += left < known.holders_least;
          }
      } else if (!takes_out && out_now.erase(n)) {
        for (const int c : cells_of(r)) --out_of_cell[c];
      }
    }
  }
  for (const auto& [work, h] : handed)
    for (const Arrival& a : known.arrivals)
      if (a.t > h.from && a.t < h.until &&
          (" " + h.nodes + " ").find(" " + a.node + " ") != std::string::npos)
        ++out.at_work;
  for (const auto& [number, id] : known.accepted) {
    const auto it = made.find(number);
    if (it == made.end() || it->second != id) ++out.lost;
  }
  return out;
}

}  // namespace cairnhub::cluster

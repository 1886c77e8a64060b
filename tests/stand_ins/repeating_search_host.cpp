#include "stand_ins/repeating_search_host.h"

#include <nlohmann/json.hpp>

#include "stand_ins/http_peer.h"

namespace cairnhub::stand_ins {

namespace {

using json = nlohmann::ordered_json;

// The ids of the documents that the search finds in the block.
std::vector<std::string> ids_of(int block, const std::string& search) {
  const json parsed = json::parse(search);
  const std::string block_part = "-" + std::to_string(block) + "-";
  std::vector<std::string> ids;
  if (parsed["query"].contains("ids")) {
    for (const json& id : parsed["query"]["ids"]["values"]) {
      if (id.get<std::string>().find(block_part) != std::string::npos) ids.push_back(id);
    }
    return ids;
  }
  const std::string market = search.find("north") != std::string::npos ? "north" : "south";
  for (int i = 0; i < RepeatingSearchHost::documents_of(market); ++i) {
    ids.push_back(market + block_part + std::to_string(i));
  }
  return ids;
}

std::string answer(int block, const std::string& search) {
  const std::string shard = "[register][" + std::to_string(block) + "]";
  const std::vector<std::string> ids = ids_of(block, search);
  const std::size_t size = json::parse(search).value("size", std::size_t{10});
  json hits = json::array();
  for (std::size_t i = 0; i < std::min(size, ids.size()); ++i) {
    hits.push_back({{"_index", "register"}, {"_id", ids[i]}, {"_score", 1.0}, {"_shard", shard}});
  }
  const json all = {
      {"took", 1},
      {"timed_out", false},
      {"_shard", shard},
      {"_shards", {{"total", 1}, {"successful", 1}, {"skipped", 0}, {"failed", 0}}},
      {"hits", {{"total", {{"value", ids.size()}, {"relation", "eq"}}}, {"max_score", 1.0}, {"hits", hits}}}};
  return all.dump();
}

}  // namespace

RepeatingSearchHost::RepeatingSearchHost(int number, Repeat repeat, bool returns_ids)
    : repeat_(repeat), returns_ids_(returns_ids), threads_(number, [this](Peer& peer) { serve(peer); }) {}

int RepeatingSearchHost::copies() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return copies_;
}

void RepeatingSearchHost::serve(Peer& peer) {
  std::string head, body, last;
  while (read_http_request(peer, head, body)) {
    const std::string response = response_to(head, body);
    std::string bytes = response;
    if (repeat_ == Repeat::kWithTheResponse) bytes = response + response;
    if (repeat_ == Repeat::kBeforeTheNextResponse) bytes = last + response;
    last = response;
    if (bytes.size() > response.size()) {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++copies_;
    }
    if (!send_all(peer.fd, bytes)) break;
  }
}

std::string RepeatingSearchHost::response_to(const std::string& head, const std::string& body) const {
  const std::string shards_parameter = "_shards:";
  const int block = std::atoi(head.c_str() + head.find(shards_parameter) + shards_parameter.size());
  const std::string text = answer(block, body);
  const std::string id = header_field(head, "X-Opaque-Id");
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
         (returns_ids_ ? "X-Opaque-Id: " + id + "\r\n" : std::string()) +
         "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

}  // namespace cairnhub::stand_ins

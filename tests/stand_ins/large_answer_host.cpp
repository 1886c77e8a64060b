#include "stand_ins/large_answer_host.h"

#include <nlohmann/json.hpp>

#include "stand_ins/http_peer.h"

namespace cairnhub::stand_ins {

namespace {

using json = nlohmann::ordered_json;

constexpr int kDocuments = 10;  // as many as a search asks for by default

std::vector<std::string> ids_of(int block, const std::string& search) {
  const std::string prefix = "s" + std::to_string(block) + "-";
  const json parsed = json::parse(search, nullptr, false);
  std::vector<std::string> ids;
  if (parsed.is_object() && parsed.contains("query") && parsed["query"].contains("ids")) {
    for (const json& id : parsed["query"]["ids"]["values"]) {
      if (id.get<std::string>().rfind(prefix, 0) == 0) ids.push_back(id);
    }
    return ids;
  }
  for (int i = 0; i < kDocuments; ++i) ids.push_back(prefix + std::to_string(i));
  return ids;
}

}  // namespace

LargeAnswerHost::LargeAnswerHost(int number, std::size_t document_bytes)
    : filler_(document_bytes, 'x'), threads_(number, [this](Peer& peer) { serve(peer); }) {}

LargeAnswerHost::~LargeAnswerHost() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_ending_ = true;
  }
  changed_.notify_all();
}

void LargeAnswerHost::serve(Peer& peer) {
  std::string head, body;
  const std::string kShard = "_shards:";
  while (read_http_request(peer, head, body)) {
    const int block = std::atoi(head.c_str() + head.find(kShard) + kShard.size());
    const std::string text = answer(block, body);
    if (!await_turn() ||
        !send_all(peer.fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                               std::to_string(text.size()) + "\r\n\r\n" + text)) {
      break;
    }
  }
}

bool LargeAnswerHost::await_turn() {
  std::unique_lock<std::mutex> lock(mutex_);
  const int number = ++asked_;
  const auto is_held = [&] {
    return (held_from_ != 0 && number >= held_from_) || (held_only_ != 0 && number == held_only_);
  };
  changed_.wait(lock, [&] { return is_ending_ || !is_held(); });
  return !is_ending_;
}

void LargeAnswerHost::hold_from(int count) {
  const std::lock_guard<std::mutex> lock(mutex_);
  held_from_ = count;
}
void LargeAnswerHost::hold_only(int number) {
  const std::lock_guard<std::mutex> lock(mutex_);
  held_only_ = number;
}
void LargeAnswerHost::release() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    held_from_ = 0;
    held_only_ = 0;
  }
  changed_.notify_all();
}
int LargeAnswerHost::asked() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return asked_;
}

std::string LargeAnswerHost::answer(int block, const std::string& search) const {
  const std::string shard = "[register][" + std::to_string(block) + "]";
  const std::vector<std::string> ids = ids_of(block, search);
  std::string hits;
  for (const std::string& id : ids) {
    if (!hits.empty()) hits += ",";
    hits += R"({"_index":"register","_id":")" + id + R"(","_score":1.0,"_shard":")" + shard +
            R"(","_source":{"text":")" + filler_ + R"("}})";
  }
  return R"({"took":1,"timed_out":false,"_shard":")" + shard +
         R"(","_shards":{"total":1,"successful":1,"skipped":0,"failed":0},"hits":{"total":{"value":)" +
         std::to_string(ids.size()) + R"(,"relation":"eq"},"max_score":1.0,"hits":[)" + hits + "]}}";
}

}  // namespace cairnhub::stand_ins

#include "frontend/platform/request_parser.h"

#include <charconv>
#include <cmath>
#include <cstring>
#include <nlohmann/json.hpp>
#include <set>

#include "frontend/platform/response_writer.h"

namespace cairnhub::frontend::platform {

namespace {

constexpr std::size_t kLongestName = 128;
// The parts' shares may miss 1 by so much, all together.
constexpr double kRounding = 0.001;
constexpr const char* kNoSuchOpType = "no such op type";
constexpr const char* kTimeIsUp = "its time was up before it was read; trying again is harmless";

bool number(const char* text, double& into) {
  const char* end = text + std::strlen(text);
  const auto [at, error] = std::from_chars(text, end, into);
  return error == std::errc{} && at == end && std::isfinite(into);
}

bool plain_name(std::string_view name) {
  if (name.empty() || name.size() > kLongestName) return false;
  for (const char c : name)
    if (c <= ' ' || c > '~') return false;
  return true;
}

}  // namespace

Admit::Admit(const settings::Settings& s, dispatch::InFlightRequests& book,
             dispatch::RequestDispatcher& route)
    : shards_(s.whole("family-info.ranges")), book_(book), route_(route) {
  for (int i = 0; i < s.whole("classes.count"); ++i) {
    const std::string at = "classes." + std::to_string(i) + ".";
    op_types_[s.text(at + "name", "")] = {i, s.span(at + "deadline")};
  }
}

RequestId Admit::take(const Asked& asked, std::unique_ptr<dispatch::Responder> reply) {
  auto query = std::make_unique<dispatch::Request>();
  if (const char* wrong = read(asked, *query)) {
    reply->respond(status_of(wrong), "", std::string(wrong) + "\n");
    return 0;
  }
  if (full()) {
    reply->respond(503, "", "too many in hand\n");
    return 0;
  }
  query->callbacks = client(std::move(reply));
  const RequestId id = book_.next_id();
  route_.start_request(std::move(query));
  return id;
}

int Admit::status_of(const char* wrong) {
  if (wrong == kNoSuchOpType) return 404;
  return wrong == kTimeIsUp ? 503 : 400;
}

const char* Admit::read(const Asked& asked, dispatch::Request& q) const {
  if (const char* wrong = read_head(asked, q)) return wrong;
  const auto json = nlohmann::json::parse(asked.body, nullptr, false);
  if (!json.is_object()) return "the body is not a JSON object";
  const auto text = json.find("body");
  if (text == json.end() || !text->is_string()) return "body is missing or not text";
  q.body = text->get<std::string>();
  return read_parts(json, q);
}

const char* Admit::read_head(const Asked& asked, dispatch::Request& q) const {
  const auto op = op_types_.find(std::string(asked.op_type));
  if (op == op_types_.end()) return kNoSuchOpType;
  if (!asked.op_type_said || asked.op_type != asked.op_type_said)
    return "X-Lane is missing or not that of the path";
  if (!asked.name || !plain_name(asked.name)) return "X-Txn is missing or not a plain word";
  if (book_.contains(asked.name)) return "X-Txn is that of a request in hand";
  double left = 0;
  if (!asked.time_left || !number(asked.time_left, left) || left <= 0)
    return "X-Remaining is missing or not a time";
  q.name = asked.name;
  q.request_class = op->second.index;
  q.time_left = static_cast<Time>(std::min(left, seconds(op->second.route_timeout)) * kSecond);
  // Danger: a request that waited behind another one would be taken for longer than its client waits, and
  // servers be told a time that is not left.
  q.time_left = std::min(q.time_left, route_.limits(q.request_class).max_time) - asked.waited;
  if (q.time_left <= 0) return kTimeIsUp;
  q.is_client_retry = asked.retry && std::strcmp(asked.retry, "1") == 0;
  return nullptr;
}

const char* Admit::read_parts(const nlohmann::json& body, dispatch::Request& q) const {
  const auto parts = body.find("buckets");
  if (parts == body.end() || !parts->is_array() || parts->empty())
    return "buckets is missing or not a list of parts";
  std::set<int> named;
  double sum = 0;
  for (const auto& p : *parts) {
    if (!p.is_object()) return "a part is not an object";
    const auto shard = p.find("bucket"), weight = p.find("part");
    if (shard == p.end() || !shard->is_number_unsigned() ||
        shard->get<std::uint64_t>() >= static_cast<std::uint64_t>(shards_))
      return "a part names no shard that exists";
    if (weight == p.end() || !weight->is_number() || !std::isfinite(weight->get<double>()) ||
        weight->get<double>() <= 0 || weight->get<double>() > 1 + kRounding)
      return "a part's share is not a number above 0, up to 1";
    sum += weight->get<double>();
    if (!named.insert(shard->get<int>()).second) return "a shard is named twice";
    auto part = std::make_unique<dispatch::ShardRequest>();
    part->shard = shard->get<int>(), part->weight = weight->get<double>();
    part->name = q.name + "." + std::to_string(part->shard);
    q.shard_requests.push_back(std::move(part));
  }
  if (std::abs(sum - 1) > kRounding) return "the parts' shares don't add up to 1";
  return nullptr;
}

}  // namespace cairnhub::frontend::platform

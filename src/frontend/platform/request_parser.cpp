#include "frontend/platform/request_parser.h"

#include <charconv>
#include <cmath>
#include <cstring>
#include <nlohmann/json.hpp>
#include <set>

#include "frontend/platform/response_writer.h"

namespace cairnhub::frontend::platform {

namespace {

constexpr std::size_t kMaxNameLength = 128;
// Largest permitted difference between the sum of the weights and 1.
constexpr double kWeightTolerance = 0.001;
// status_of() compares these two by address.
constexpr const char* kUnknownClass = "no such op type";
constexpr const char* kTimeIsUp = "its time was up before it was read; trying again is harmless";

bool parse_number(const char* text, double& number) {
  const char* end = text + std::strlen(text);
  const auto [parsed_end, error] = std::from_chars(text, end, number);
  return error == std::errc{} && parsed_end == end && std::isfinite(number);
}

bool is_valid_name(std::string_view name) {
  if (name.empty() || name.size() > kMaxNameLength) return false;
  for (const char c : name) {
    if (c <= ' ' || c > '~') return false;
  }
  return true;
}

}  // namespace

RequestParser::RequestParser(const settings::Settings& settings, dispatch::InFlightRequests& requests,
                             dispatch::RequestDispatcher& dispatcher)
    : shard_count_(settings.integer("family-info.ranges")), requests_(requests), dispatcher_(dispatcher) {
  for (int i = 0; i < settings.integer("classes.count"); ++i) {
    const std::string prefix = "classes." + std::to_string(i) + ".";
    classes_[settings.text(prefix + "name", "")] = {i, settings.duration(prefix + "deadline")};
  }
}

RequestId RequestParser::start_request(const ClientRequest& client_request,
                                       std::unique_ptr<dispatch::Responder> responder) {
  auto request = std::make_unique<dispatch::Request>();
  if (const char* error = parse(client_request, *request)) {
    responder->respond(status_of(error), "", std::string(error) + "\n");
    return 0;
  }
  if (is_full()) {
    responder->respond(503, retry_after_text(dispatcher_.rejection_retry_after()), "too many in hand\n");
    return 0;
  }
  request->callbacks = make_request_callbacks(std::move(responder));
  const RequestId id = requests_.next_id();
  dispatcher_.start_request(std::move(request));
  return id;
}

int RequestParser::status_of(const char* error) {
  if (error == kUnknownClass) return 404;
  return error == kTimeIsUp ? 503 : 400;
}

const char* RequestParser::parse(const ClientRequest& client_request, dispatch::Request& request) const {
  if (const char* error = parse_head(client_request, request)) return error;
  const auto json = nlohmann::json::parse(client_request.body, nullptr, false);
  if (!json.is_object()) return "the body is not a JSON object";
  const auto body = json.find("body");
  if (body == json.end() || !body->is_string()) return "body is missing or not text";
  request.body = body->get<std::string>();
  return parse_shard_requests(json, request);
}

const char* RequestParser::parse_head(const ClientRequest& client_request, dispatch::Request& request) const {
  const auto entry = classes_.find(std::string(client_request.class_name));
  if (entry == classes_.end()) return kUnknownClass;
  if (!client_request.class_header || client_request.class_name != client_request.class_header) {
    return "X-Lane is missing or not that of the path";
  }
  if (!client_request.name || !is_valid_name(client_request.name)) {
    return "X-Txn is missing or not a plain word";
  }
  if (requests_.contains(client_request.name)) return "X-Txn is that of a request in hand";
  double seconds_left = 0;
  if (!client_request.time_left || !parse_number(client_request.time_left, seconds_left) ||
      seconds_left <= 0) {
    return "X-Remaining is missing or not a time";
  }
  request.name = client_request.name;
  request.request_class = entry->second.index;
  request.time_left = static_cast<Time>(std::min(seconds_left, seconds(entry->second.max_time)) * kSecond);
  // The time that the request has waited is subtracted. Otherwise the broker would handle the request for
  // longer than its client waits, and attempts would state more time to endpoints than is left.
  request.time_left =
      std::min(request.time_left, dispatcher_.limits(request.request_class).max_time) - client_request.waited;
  if (request.time_left <= 0) return kTimeIsUp;
  request.is_client_retry = client_request.client_retry && std::strcmp(client_request.client_retry, "1") == 0;
  return nullptr;
}

const char* RequestParser::parse_shard_requests(const nlohmann::json& body,
                                                dispatch::Request& request) const {
  const auto list = body.find("buckets");
  if (list == body.end() || !list->is_array() || list->empty()) {
    return "buckets is missing or not a list of parts";
  }
  std::set<int> shards;
  double weight_sum = 0;
  for (const auto& item : *list) {
    if (!item.is_object()) return "a part is not an object";
    const auto shard = item.find("bucket");
    const auto weight = item.find("part");
    if (shard == item.end() || !shard->is_number_unsigned() ||
        shard->get<std::uint64_t>() >= static_cast<std::uint64_t>(shard_count_)) {
      return "a part names no shard that exists";
    }
    if (weight == item.end() || !weight->is_number() || !std::isfinite(weight->get<double>()) ||
        weight->get<double>() <= 0 || weight->get<double>() > 1 + kWeightTolerance) {
      return "a part's share is not a number above 0, up to 1";
    }
    weight_sum += weight->get<double>();
    if (!shards.insert(shard->get<int>()).second) return "a shard is named twice";
    auto shard_request = std::make_unique<dispatch::ShardRequest>();
    shard_request->shard = shard->get<int>();
    shard_request->weight = weight->get<double>();
    shard_request->name = request.name + "." + std::to_string(shard_request->shard);
    request.shard_requests.push_back(std::move(shard_request));
  }
  if (std::abs(weight_sum - 1) > kWeightTolerance) return "the parts' shares don't add up to 1";
  return nullptr;
}

}  // namespace cairnhub::frontend::platform

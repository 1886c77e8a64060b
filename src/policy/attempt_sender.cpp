#include "policy/attempt_sender.h"

#include <memory>
#include <utility>

namespace cairnhub {

PolicyAction AttemptSender::send(ShardRequest& shard_request, Endpoint& endpoint, Time now, bool is_extra) {
  auto attempt = std::make_unique<Attempt>();
  attempt->shard_request = &shard_request;
  attempt->endpoint = &endpoint;
  attempt->sent_at = now;
  attempt->index = static_cast<int>(shard_request.attempts.size());
  attempt->queue_length_before = queue_length(endpoint);
  attempt->expected_latency = static_cast<Time>(latencies_.expected_latency_s(endpoint, now) * kSecond);
  if (shard_request.attempts.empty()) {
    retries_.record_first_attempt();
  } else {
    retries_.record_further_attempt(now);
    locality_.record_demand(1);
  }
  if (is_extra) retries_.spend_extra_attempt_token();
  const Time max_start_delay = guard_.max_start_delay(shard_request, now);
  const Request& request = *shard_request.request;
  if (endpoint.is_ejected) outliers_.record_probe(endpoint, *request.request_class, now);
  slow_start_.record_attempt(endpoint, now);
  locality_.record_attempt(endpoint);
  attempt->batch = batches_.join(endpoint);
  endpoint.attempts.push_back(attempt.get());
  shard_request.attempts.push_back(std::move(attempt));
  return {.kind = PolicyAction::Kind::kSendAttempt,
          .request = shard_request.id,
          .endpoint = endpoint.id,
          .duration = deadlines_.useful_until(request) - now,
          .max_start_delay = max_start_delay};
}

}  // namespace cairnhub

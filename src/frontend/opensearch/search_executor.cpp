#include "frontend/opensearch/search_executor.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/clock.h"
#include "base/log.h"

namespace cairnhub::frontend::opensearch {

namespace os = cairnhub::opensearch;

namespace {

os::ShardFailure::Kind failure_kind(const dispatch::Attempt& attempt) {
  if (!attempt.has_ended) return os::ShardFailure::Kind::kTimedOut;
  if (attempt.lacked_memory) return os::ShardFailure::Kind::kNoMemory;
  switch (attempt.outcome) {
    case AttemptOutcome::kQueueFull:
      return os::ShardFailure::Kind::kRejected;
    case AttemptOutcome::kConnectFailed:
    case AttemptOutcome::kNotSent:
      return os::ShardFailure::Kind::kNotConnected;
    case AttemptOutcome::kReset:
      return os::ShardFailure::Kind::kDisconnected;
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kCancelled:
      return os::ShardFailure::Kind::kTimedOut;
    case AttemptOutcome::kOk:
    case AttemptOutcome::kError:
      break;
  }
  return os::ShardFailure::Kind::kError;
}

bool has_attempts(const dispatch::Request& request) {
  return std::any_of(request.shard_requests.begin(), request.shard_requests.end(),
                     [](const auto& shard_request) { return !shard_request->attempts.empty(); });
}

}  // namespace

SearchJob::SearchJob(const IndexDefinition& searched, os::Search parsed, Result wanted)
    : index(&searched),
      search(std::move(parsed)),
      shard_body(os::shard_search_body(search)),
      result(wanted),
      time_limit(search.timeout ? std::min(*search.timeout, searched.max_time) : searched.max_time) {
  search.query = nullptr;
}

std::size_t SearchJob::memory_bytes() const {
  std::size_t bytes = sizeof(SearchJob) + shard_body.capacity() + os::memory_bytes(search.search_after) +
                      os::memory_bytes(search.source);
  for (const os::SortKey& key : search.sort) bytes += sizeof key + key.field.capacity();
  for (const os::Aggregation& aggregation : search.aggregations) {
    bytes += sizeof aggregation + aggregation.name.capacity() + aggregation.field.capacity();
  }
  return bytes;
}

std::size_t SearchOutcome::memory_bytes() const {
  std::size_t bytes = sizeof(SearchOutcome) + response.body.capacity() + hits.capacity() * sizeof(FoundHit);
  for (const FoundHit& hit : hits) bytes += hit.id.capacity() + hit.raw.capacity();
  return bytes;
}

// Merges the values that one search's request returns, and hands over the outcome.
class SearchExecutor::Callbacks : public dispatch::RequestCallbacks {
 public:
  Callbacks(const SearchExecutor& executor, SearchJob job, Time began_at, std::size_t reserved_bytes,
            Done done)
      : executor_(executor),
        job_(std::move(job)),
        began_at_(began_at),
        done_(std::move(done)),
        job_memory_(executor.memory(), dispatch::MemoryUse::kRequests, job_.memory_bytes()),
        reserved_bytes_(reserved_bytes),
        answer_memory_(executor.memory(), dispatch::MemoryUse::kAnswers, reserved_bytes) {}

  ValueUse on_value(const dispatch::ShardRequest& shard_request, std::string_view value) override {
    auto answer = std::make_unique<os::ShardAnswer>();
    const char* error = os::parse_shard_answer(value, job_.search, job_.index->name,
                                               shard_request.shard - job_.index->first_shard, *answer);
    if (error) {
      log("search", "%s: invalid response: %s", shard_request.name.c_str(), error);
      value_errors_[shard_request.shard] = error;
      return ValueUse::kInvalid;
    }
    // Room for the response, which is built while the answers are still held.
    const std::size_t bytes = answer->memory_bytes() + value.size();
    const std::size_t reserved = std::max(reserved_bytes_, answer_bytes_ + bytes);
    const dispatch::ClientMemory& memory = *executor_.memory();
    if (!memory.limiter().admits_value(memory.held_bytes(), reserved - answer_memory_.bytes())) {
      return ValueUse::kNoMemory;
    }
    answer_bytes_ += bytes;
    answer_memory_.resize(reserved);
    answers_[shard_request.shard] = std::move(answer);
    return ValueUse::kTaken;
  }
  void on_response(const dispatch::Request& request, bool is_complete) override {
    const os::ShardSummary shards = shard_summary(request, is_complete);
    std::vector<os::MergeInput> parts;
    for (const auto& [shard, answer] : answers_) parts.push_back({shard, answer.get()});
    const bool has_all_answers = answers_.size() == request.shard_requests.size();
    auto result = os::merge(job_.search, parts, has_all_answers);
    if (const auto* error = std::get_if<os::ApiError>(&result)) return end(os::error_response(*error));
    const auto& merged = std::get<os::MergedResult>(result);
    SearchOutcome outcome;
    outcome.is_complete = is_complete && has_all_answers;
    switch (job_.result) {
      case SearchJob::Result::kSearch: {
        const std::int64_t took_ms = (now() - began_at_) / 1'000'000;
        outcome.response = os::search_response(job_.search, merged, shards, is_complete, took_ms);
        break;
      }
      case SearchJob::Result::kCount:
        outcome.response = os::count_response(merged, shards, is_complete);
        break;
      case SearchJob::Result::kHits:
        outcome.hits.reserve(merged.page.size());
        for (const auto& place : merged.page) {
          outcome.hits.push_back({place.hit->id, std::string(place.hit->raw)});
        }
        break;
    }
    end(std::move(outcome));
  }
  void on_rejected(const dispatch::Request& request, Time retry_after) override {
    SearchOutcome outcome;
    outcome.retry_after = retry_after;
    outcome.response = has_attempts(request) ? os::all_shards_failed_response(shard_summary(request, false))
                                             : os::too_many_requests_response();
    end(std::move(outcome));
  }
  void on_failed(const dispatch::Request& request) override {
    end(os::all_shards_failed_response(shard_summary(request, false)));
  }

 private:
  void end(os::ApiResponse response) {
    SearchOutcome outcome;
    outcome.response = std::move(response);
    end(std::move(outcome));
  }
  void end(SearchOutcome outcome) {
    outcome.peak_bytes = answer_bytes_;
    answers_.clear();
    answer_memory_.resize(0);
    done_(std::move(outcome));
  }
  // Returns the result of each shard, which is the result of the shard's last attempt.
  os::ShardSummary shard_summary(const dispatch::Request& request, bool is_complete) const {
    os::ShardSummary summary;
    summary.total = static_cast<int>(request.shard_requests.size());
    for (const auto& shard_request : request.shard_requests) {
      if (answers_.count(shard_request->shard)) continue;
      if (is_complete) {
        ++summary.skipped;  // the required share was reached without this shard
      } else {
        summary.failures.push_back(shard_failure(*shard_request));
      }
    }
    return summary;
  }
  os::ShardFailure shard_failure(const dispatch::ShardRequest& shard_request) const {
    os::ShardFailure failure;
    failure.index = job_.index->name;
    failure.shard = shard_request.shard - job_.index->first_shard;
    if (shard_request.attempts.empty()) return failure;
    const dispatch::Attempt& last = *shard_request.attempts.back();
    failure.node = executor_.endpoints().endpoint_name(last.endpoint);
    failure.kind = failure_kind(last);
    const auto error = value_errors_.find(shard_request.shard);
    if (failure.kind == os::ShardFailure::Kind::kError && error != value_errors_.end()) {
      failure.kind = os::ShardFailure::Kind::kInvalidAnswer;
      failure.detail = error->second;
    }
    return failure;
  }

  const SearchExecutor& executor_;
  const SearchJob job_;
  const Time began_at_;
  const Done done_;
  std::map<int, std::unique_ptr<os::ShardAnswer>> answers_;  // by shard
  std::map<int, const char*> value_errors_;                  // by shard
  dispatch::MemoryReservation job_memory_;
  const std::size_t reserved_bytes_;
  std::size_t answer_bytes_ = 0;  // of the answers, and of the response that will be made of them
  dispatch::MemoryReservation answer_memory_;
};

void SearchExecutor::start(SearchJob job, Time began_at, std::size_t reserved_bytes, RequestId& id,
                           Done done) {
  auto request = std::make_unique<dispatch::Request>();
  do {
    request->name = "os" + std::to_string(++last_search_number_);
  } while (requests_.contains(request->name));
  const IndexDefinition& index = *job.index;
  request->request_class = index.request_class;
  request->body = std::exchange(job.shard_body, {});
  request->time_left = job.time_limit - (now() - began_at);
  request->max_value_bytes = SIZE_MAX;  // on_value() reserves the memory of the answers
  for (int i = 0; i < index.shard_count; ++i) {
    auto shard_request = std::make_unique<dispatch::ShardRequest>();
    shard_request->shard = index.first_shard + i;
    shard_request->weight = 1.0 / index.shard_count;
    shard_request->name = request->name + "." + std::to_string(shard_request->shard);
    shard_request->http_target = "/" + index.name + "/_search?preference=_shards:" + std::to_string(i);
    request->shard_requests.push_back(std::move(shard_request));
  }
  request->callbacks =
      std::make_unique<Callbacks>(*this, std::move(job), began_at, reserved_bytes, std::move(done));
  id = requests_.next_id();
  dispatcher_.start_request(std::move(request));
}

SearchOutcome SearchExecutor::rejected_outcome() const {
  SearchOutcome outcome;
  outcome.response = os::too_many_requests_response();
  outcome.retry_after = dispatcher_.rejection_retry_after();
  return outcome;
}

}  // namespace cairnhub::frontend::opensearch

#include "frontend/opensearch/multi_search.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"

namespace cairnhub::frontend::opensearch {

namespace os = cairnhub::opensearch;

namespace {

std::size_t memory_of(const MultiSearchItem& item) {
  const auto* job = std::get_if<SearchJob>(&item.job);
  return job ? sizeof item + job->memory_bytes() : sizeof item;
}

// Makes the body of an outcome an item of the response. In the API each item states its own status; error
// bodies already hold it.
void add_status(os::ApiResponse& response) {
  if (response.status != 200) return;
  response.body.pop_back();
  response.body += ",\"status\":200}";
}

}  // namespace

MultiSearch::MultiSearch(SearchExecutor& executor, ResumeQueue& queue,
                         std::unique_ptr<dispatch::Responder> responder, std::vector<MultiSearchItem> items)
    : executor_(executor),
      queue_(queue),
      responder_(std::move(responder)),
      began_at_(now()),
      waiting_memory_(executor.memory(), dispatch::MemoryUse::kRequests) {
  for (MultiSearchItem& item : items) {
    waiting_memory_.add(memory_of(item));
    waiting_.push_back(std::move(item));
  }
}

void MultiSearch::start() {
  start_searches();
  responder_->respond_in_pieces(200, "application/json", *this);
}

void MultiSearch::abandon() {
  is_abandoned_ = true;
  waiting_.clear();
  waiting_memory_.resize(0);
  for (const auto& slot : std::exchange(in_hand_, {})) {
    if (slot->request_id) executor_.abandon(std::exchange(slot->request_id, 0));
  }
}

void MultiSearch::resume() {
  if (is_abandoned_) return;
  start_searches();
  responder_->resume();
}

void MultiSearch::start_searches() {
  if (std::exchange(is_starting_, true)) return;  // a search has ended while it was started
  while (!waiting_.empty() && start_next()) continue;
  is_starting_ = false;
  if (!waiting_.empty()) queue_.wait(shared_from_this());
}

bool MultiSearch::start_next() {
  MultiSearchItem& item = waiting_.front();
  const auto* job = std::get_if<SearchJob>(&item.job);
  const bool has_time = job && now() - began_at_ < job->time_limit;
  if (has_time && !item.admission->may_start(executor_.memory()->held_bytes(), !in_hand_.empty())) {
    return false;
  }
  waiting_memory_.resize(waiting_memory_.bytes() - memory_of(item));
  MultiSearchItem started = std::move(item);
  waiting_.pop_front();
  in_hand_.push_back(std::make_unique<Slot>());
  Slot& slot = *in_hand_.back();
  if (has_time) {
    start_search(started, slot);
  } else if (job) {
    end_search(slot, executor_.rejected_outcome().response);
  } else {
    end_search(slot, os::error_response(std::get<os::ApiError>(started.job)));
  }
  return true;
}

void MultiSearch::start_search(MultiSearchItem& item, Slot& slot) {
  SearchAdmission& admission = *item.admission;
  executor_.start(std::move(std::get<SearchJob>(item.job)), began_at_, admission.reserved_bytes(),
                  slot.request_id, [self = shared_from_this(), &slot, &admission](SearchOutcome outcome) {
                    if (outcome.peak_bytes > 0) admission.record_search(outcome.peak_bytes);
                    self->end_search(slot, std::move(outcome.response));
                    // The next search starts once this one's request has been closed.
                    self->queue_.resume_soon(self);
                  });
}

void MultiSearch::end_search(Slot& slot, os::ApiResponse response) {
  slot.request_id = 0;
  slot.has_ended = true;
  slot.response = std::move(response);
  add_status(slot.response);
  slot.memory = dispatch::MemoryReservation(executor_.memory(), dispatch::MemoryUse::kResponses,
                                            slot.response.body.capacity());
}

MultiSearch::State MultiSearch::next_piece(std::string& piece) {
  if (std::exchange(progress_, std::max(progress_, Progress::kItems)) == Progress::kHead) {
    piece = "{\"responses\":[";
    return State::kPiece;
  }
  if (progress_ == Progress::kComplete) return State::kComplete;
  if (in_hand_.empty() && waiting_.empty()) {
    progress_ = Progress::kComplete;
    piece = "],\"took\":" + std::to_string((now() - began_at_) / 1'000'000) + "}";
    return State::kPiece;
  }
  if (in_hand_.empty() || !in_hand_.front()->has_ended) return State::kWaiting;
  piece = std::move(in_hand_.front()->response.body);
  in_hand_.pop_front();
  if (!in_hand_.empty() || !waiting_.empty()) piece += ',';
  return State::kPiece;
}

}  // namespace cairnhub::frontend::opensearch

#include "frontend/opensearch/resume_queue.h"

#include <utility>

namespace cairnhub::frontend::opensearch {

namespace {

constexpr Time kWaitInterval = 20 * kSecond / 1000;

}  // namespace

ResumeQueue::ResumeQueue(event_base* base) : timer_(base, [this] { resume_all(); }) {}

// Starts the timer only once for a turn: a timer restarted in the turn in which it is due isn't called in
// that turn.
void ResumeQueue::resume_soon(const std::shared_ptr<Resumable>& request) {
  enqueue(request);
  if (!std::exchange(is_due_, true)) timer_.start(0);
}

void ResumeQueue::wait(const std::shared_ptr<Resumable>& request) {
  enqueue(request);
  if (!timer_.pending()) timer_.start(kWaitInterval);
}

void ResumeQueue::resume_all() {
  is_due_ = false;
  for (const auto& waiting : std::exchange(waiting_, {})) {
    const auto request = waiting.lock();
    if (!request) continue;
    request->is_queued_ = false;
    request->resume();
  }
}

void ResumeQueue::enqueue(const std::shared_ptr<Resumable>& request) {
  if (!std::exchange(request->is_queued_, true)) waiting_.push_back(request);
}

}  // namespace cairnhub::frontend::opensearch

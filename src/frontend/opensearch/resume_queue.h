// Requests that wait for memory: resumes them when some may have become free, and at short intervals.
#pragma once
#include <memory>
#include <vector>

#include "base/timer.h"

namespace cairnhub::frontend::opensearch {

// A request that can wait in the queue.
class Resumable {
 public:
  virtual ~Resumable() = default;
  // Called in a turn of its own, with the request taken from the queue.
  virtual void resume() = 0;

 private:
  friend class ResumeQueue;
  bool is_queued_ = false;
};

class ResumeQueue {
 public:
  explicit ResumeQueue(event_base* base);
  // Resumes the request, and all that wait, in the next turn of the event loop.
  void resume_soon(const std::shared_ptr<Resumable>& request);
  // Resumes the request at the latest after a short interval.
  void wait(const std::shared_ptr<Resumable>& request);

 private:
  void enqueue(const std::shared_ptr<Resumable>& request);
  void resume_all();

  std::vector<std::weak_ptr<Resumable>> waiting_;  // in order of arrival
  bool is_due_ = false;                            // the timer has been started for the next turn
  Timer timer_;
};

}  // namespace cairnhub::frontend::opensearch

// A one-shot timer on the event loop; stops with its owner.
#pragma once
#include <event2/event.h>

#include <algorithm>
#include <functional>

#include "base/log.h"
#include "base/time.h"

namespace cairnhub {

class Timer {
 public:
  Timer(event_base* base, std::function<void()> due) : due_(std::move(due)) {
    event_ = evtimer_new(
        base,
        [](evutil_socket_t, short, void* self) {
          const auto due = static_cast<Timer*>(self)->due_;  // a copy: the timer may go with what it ends
          guarded("timer", due);
        },
        this);
  }
  ~Timer() { event_free(event_); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void start(Time span) {
    const Time us = (std::max<Time>(span, 0) + 999) / 1000;
    const timeval tv{static_cast<time_t>(us / 1'000'000), static_cast<suseconds_t>(us % 1'000'000)};
    event_add(event_, &tv);
  }
  void stop() { event_del(event_); }
  bool pending() const { return event_pending(event_, EV_TIMEOUT, nullptr) != 0; }

 private:
  std::function<void()> due_;
  event* event_;
};

}  // namespace cairnhub

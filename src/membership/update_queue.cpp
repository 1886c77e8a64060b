#include "membership/update_queue.h"

namespace cairnhub::membership {

void UpdateQueue::enqueue(const std::string& member) {
  remove(member);
  entries_.insert({0, member});
  times_sent_[member] = 0;
}

void UpdateQueue::remove(const std::string& member) {
  const auto it = times_sent_.find(member);
  if (it == times_sent_.end()) return;
  entries_.erase({it->second, member});
  times_sent_.erase(it);
}

void UpdateQueue::record_sent(const std::string& member, int max_times_sent) {
  const int times_sent = times_sent_.at(member) + 1;
  remove(member);
  if (times_sent >= max_times_sent) return;
  entries_.insert({times_sent, member});
  times_sent_[member] = times_sent;
}

}  // namespace cairnhub::membership

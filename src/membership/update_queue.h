// Updates still to be piggybacked.
#pragma once
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace cairnhub::membership {

// Names the members whose update is still to be sent, the least often sent first, so that news goes before
// what most have heard. The update itself is looked up when it is sent: only the newest of a member is worth
// sending.
class UpdateQueue {
 public:
  struct Entry {
    int times_sent;
    std::string member;
    bool operator<(const Entry& other) const {
      return std::tie(times_sent, member) < std::tie(other.times_sent, other.member);
    }
  };

  // Queues a member's update as never sent, also where an older one is queued.
  void enqueue(const std::string& member);
  void remove(const std::string& member);

  // Counts one sending of a queued update and removes it at `max_times_sent`.
  void record_sent(const std::string& member, int max_times_sent);

  // @return in the order of sending. Changed by every other method.
  const std::set<Entry>& entries() const { return entries_; }

 private:
  std::set<Entry> entries_;
  std::map<std::string, int> times_sent_;  // of those in entries_
};

}  // namespace cairnhub::membership

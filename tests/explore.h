// All states that events lead to from a first one, each looked at once. A state is known by its key: what its
// further ways depend on.
#pragma once
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace cairnhub {

struct Explored {
  std::size_t states = 0;
  std::uint64_t ways = 0;
  std::string broken;  // key of the first state that is not good; empty: none
};

// `after`: all states that one event leads to. `near_first`: a fault is found by a shortest way, for more
// memory. `look` is told each state as its ways are followed.
template <class State, class After, class Look>
Explored explore(const State& first, bool near_first, After after, Look look) {
  Explored found;
  std::unordered_set<std::string> seen{first.key()};
  std::deque<State> todo{first};
  while (!todo.empty()) {
    const State s = std::move(near_first ? todo.front() : todo.back());
    near_first ? todo.pop_front() : todo.pop_back();
    look(s);
    for (State& n : after(s)) {
      ++found.ways;
      std::string key = n.key();
      if (!n.good()) {
        found.broken = std::move(key);
        return found;
      }
      if (seen.insert(std::move(key)).second) todo.push_back(std::move(n));
    }
  }
  found.states = seen.size();
  return found;
}

}  // namespace cairnhub

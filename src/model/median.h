// The median of a changing set of figures, kept up to date at each change.
#pragma once
#include <iterator>
#include <set>

namespace cairnhub {

class Median {
 public:
  void add(double x) {
    (!high_.empty() && x >= *high_.begin() ? high_ : low_).insert(x);
    balance();
  }
  void remove(double x) {  // one that was added
    auto& half = !high_.empty() && x >= *high_.begin() ? high_ : low_;
    half.erase(half.find(x));
    balance();
  }
  double get() const { return high_.empty() ? 0 : *high_.begin(); }  // the upper one of two; 0 of none

 private:
  void balance() {  // as many low as high, or one fewer
    while (low_.size() > high_.size()) high_.insert(low_.extract(std::prev(low_.end())));
    while (high_.size() > low_.size() + 1) low_.insert(high_.extract(high_.begin()));
  }
  std::multiset<double> low_, high_;
};

}  // namespace cairnhub

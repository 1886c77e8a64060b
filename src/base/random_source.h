// A source of random numbers: the same seed gives the same run.
#pragma once
#include <cstdint>
#include <random>

namespace cairnhub {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) {
    std::seed_seq words{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32)};
    rng_.seed(words);
  }
  std::size_t below(std::size_t n) { return rng_() % n; }
  double unit() { return rng_() / 4294967296.0; }

 private:
  std::mt19937 rng_;
};

using Chance = RandomSource;  // until its last users have been renamed

}  // namespace cairnhub

#include "opensearch/sketch.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace cairnhub::opensearch {

void DistinctCountSketch::add(std::string_view value) {
  const std::uint64_t hash = XXH64(value.data(), value.size(), 0);
  // The set bit below the remaining hash bits bounds the number of leading zeros.
  const std::uint64_t rest = (hash << kIndexBits) | (std::uint64_t{1} << (kIndexBits - 1));
  auto& rank = registers_[hash >> (64 - kIndexBits)];
  rank = std::max(rank, static_cast<std::uint8_t>(std::countl_zero(rest) + 1));
}

void DistinctCountSketch::merge(const DistinctCountSketch& other) {
  for (std::size_t i = 0; i < kRegisterCount; ++i) {
    registers_[i] = std::max(registers_[i], other.registers_[i]);
  }
}

double DistinctCountSketch::estimate() const {
  constexpr double m = kRegisterCount;
  double sum = 0;
  int zeros = 0;
  for (const auto rank : registers_) {
    sum += std::ldexp(1.0, -rank);
    zeros += rank == 0;
  }
  const double raw = 0.7213 / (1 + 1.079 / m) * m * m / sum;
  return raw <= 2.5 * m && zeros > 0 ? m * std::log(m / zeros) : raw;
}

std::string DistinctCountSketch::to_hex() const {
  static const char digits[] = "0123456789abcdef";
  std::string hex;
  for (const auto rank : registers_) {
    hex += digits[rank >> 4];
    hex += digits[rank & 15];
  }
  return hex;
}

bool DistinctCountSketch::parse_hex(std::string_view text, DistinctCountSketch& into) {
  if (text.size() != 2 * kRegisterCount) return false;
  const auto digit_value = [](char c) {
    return c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
  };
  for (std::size_t i = 0; i < kRegisterCount; ++i) {
    const int high = digit_value(text[2 * i]);
    const int low = digit_value(text[2 * i + 1]);
    if (high < 0 || low < 0 || 16 * high + low > 64 - kIndexBits + 1) return false;
    into.registers_[i] = static_cast<std::uint8_t>(16 * high + low);
  }
  return true;
}

}  // namespace cairnhub::opensearch

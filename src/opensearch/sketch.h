// How many distinct values there are, from sketches that merge: HyperLogLog (Flajolet, Fusy, Gandouet and
// Meunier, AofA 2007) with linear counting for few. 2,048 registers: a standard error of 1.04 /
// sqrt(2048), 2.3%. Values are hashed by XXH64, from a library. No I/O.
#pragma once
#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace cairnhub::opensearch {

class Distinct {
 public:
  static constexpr int kBits = 11;
  static constexpr std::size_t kRegisters = std::size_t{1} << kBits;
  static constexpr double kStandardError = 0.023;

  void add(std::string_view value);
  void merge(const Distinct& other);
  double estimate() const;
  std::string text() const;  // a hex pair a register
  static bool read(std::string_view text, Distinct& into);

 private:
  std::array<std::uint8_t, kRegisters> registers_{};
};

}  // namespace cairnhub::opensearch

// Seeded random numbers.
#ifndef DAISYWIND_COMMON_RANDOM_H_
#define DAISYWIND_COMMON_RANDOM_H_

#include <cstdint>
#include <random>

namespace daisywind {

// A deterministic generator: the seed determines the whole sequence.
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : engine_(seed) {}

  // Uniform over all 64-bit values.
  auto Next() -> std::uint64_t { return engine_(); }

  // Uniform in [0, bound). The bound must not be zero.
  auto UniformBelow(std::uint64_t bound) -> std::uint64_t;

  // Uniform in [0, 1).
  auto UniformDouble() -> double;

  // Exponentially distributed with the given mean, in the unit of the mean.
  auto Exponential(double mean) -> double;

  // The underlying engine, for use with the distributions of <random>.
  auto engine() -> std::mt19937_64& { return engine_; }

 private:
  std::mt19937_64 engine_;
};

// A non-deterministic seed from the operating system, for production use.
auto SystemSeed() -> std::uint64_t;

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_RANDOM_H_

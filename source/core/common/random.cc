#include "common/random.h"

#include <cmath>

namespace daisywind {

auto random_source::UniformBelow(std::uint64_t bound) -> std::uint64_t {
  return engine_() % bound;
}

auto random_source::UniformDouble() -> double {
  constexpr auto kMantissaBits = 53;
  constexpr auto kWordBits = 64;
  return std::ldexp(
      static_cast<double>(engine_() >> (kWordBits - kMantissaBits)),
      -kMantissaBits);
}

auto random_source::Exponential(double mean) -> double {
  return -mean * std::log1p(-UniformDouble());
}

auto SystemSeed() -> std::uint64_t {
  constexpr auto kHalfBits = 32U;
  auto device = std::random_device{};
  return (std::uint64_t{device()} << kHalfBits) ^ device();
}

}  // namespace daisywind

// Random numbers that are the same for a seed with every compiler. The standard library's distributions are
// implementation-defined and therefore not used.
#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace umberhoist::rehearsal {

class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  uint64_t bits() { return engine_(); }
  double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }  // [0, 1)
  double between(double low, double high) { return low + (high - low) * unit(); }
  size_t below(size_t count) { return static_cast<size_t>(unit() * static_cast<double>(count)); }
  bool chance(double share) { return unit() < share; }
  double exponential(double mean) { return -mean * std::log(1 - unit()); }
  // Log-normal distribution with the given mean and coefficient of variation.
  double lognormal(double mean, double cv) {
    const double variance = std::log(1 + cv * cv);
    const double normal = std::sqrt(-2 * std::log(1 - unit())) * std::cos(2 * M_PI * unit());
    return std::exp(std::log(mean) - variance / 2 + std::sqrt(variance) * normal);
  }
  // Returns an independent generator for one purpose. Draws added elsewhere do not change its sequence.
  Random fork(uint64_t purpose) { return Random(engine_() ^ (purpose * 0x9e3779b97f4a7c15)); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace umberhoist::rehearsal

#include "admission/room.h"

#include <algorithm>
#include <cmath>

namespace umberhoist::admission {
namespace {

constexpr double kMemory = 2e6;  // microseconds

}  // namespace

double CapacityForecast::faded(double rate, Time now) const {
  return rate * std::exp(-static_cast<double>(std::max<Time>(0, now - at_)) / kMemory);
}

void CapacityForecast::record_release(Time now, size_t bytes) {
  bytes_ = faded(bytes_, now) + static_cast<double>(bytes) * 1e6 / kMemory;
  places_ = faded(places_, now) + 1e6 / kMemory;
  at_ = std::max(at_, now);
}

Time CapacityForecast::time_until_available(Time now, size_t bytes, Time first_end) const {
  const double by_bytes = static_cast<double>(bytes) / std::max(1e-9, faded(bytes_, now));
  const double by_places = 1 / std::max(1e-9, faded(places_, now));
  const double seconds = std::max(by_bytes, by_places);
  const double until_end = static_cast<double>(std::max<Time>(0, first_end - now)) / 1e6;
  return std::clamp(static_cast<Time>(std::min({seconds, until_end, 1e6}) * 1e6), least_, most_);
}

}  // namespace umberhoist::admission

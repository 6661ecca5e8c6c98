#include "admission/room.h"

#include <algorithm>
#include <cmath>

namespace umberhoist::admission {
namespace {

constexpr double kDecayTimeUs = 2e6;

}  // namespace

double CapacityForecast::decayed(double rate, Time now) const {
  return rate * std::exp(-static_cast<double>(std::max<Time>(0, now - updated_at_)) / kDecayTimeUs);
}

void CapacityForecast::record_release(Time now, size_t bytes) {
  bytes_per_second_ = decayed(bytes_per_second_, now) + static_cast<double>(bytes) * 1e6 / kDecayTimeUs;
  messages_per_second_ = decayed(messages_per_second_, now) + 1e6 / kDecayTimeUs;
  updated_at_ = std::max(updated_at_, now);
}

Time CapacityForecast::time_until_available(Time now, size_t bytes, Time first_end) const {
  const double by_bytes = static_cast<double>(bytes) / std::max(1e-9, decayed(bytes_per_second_, now));
  const double by_count = 1 / std::max(1e-9, decayed(messages_per_second_, now));
  const double seconds = std::max(by_bytes, by_count);
  const double until_end = static_cast<double>(std::max<Time>(0, first_end - now)) / 1e6;
  return std::clamp(static_cast<Time>(std::min({seconds, until_end, 1e6}) * 1e6), min_wait_, max_wait_);
}

}  // namespace umberhoist::admission

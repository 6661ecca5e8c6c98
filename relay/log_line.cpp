#include "log_line.h"

#include <chrono>
#include <cstdio>

namespace umberhoist {
namespace {

// The number with zeros ahead of it, `width` digits at least.
std::string padded(int64_t number, size_t width) {
  const std::string digits = std::to_string(number);
  return digits.size() < width ? std::string(width - digits.size(), '0') + digits : digits;
}

}  // namespace

std::string time_of_day(int64_t unix_us) {
  using namespace std::chrono;
  const hh_mm_ss<milliseconds> time(floor<milliseconds>(microseconds(unix_us)) % days(1));
  return padded(time.hours().count(), 2) + ":" + padded(time.minutes().count(), 2) + ":" +
         padded(time.seconds().count(), 2) + "." + padded(time.subseconds().count(), 3);
}

void write_timed_line(const std::string& line) {
  using namespace std::chrono;
  const auto now = duration_cast<microseconds>(system_clock::now().time_since_epoch());
  std::fprintf(stderr, "%s %s\n", time_of_day(now.count()).c_str(), line.c_str());
}

}  // namespace umberhoist

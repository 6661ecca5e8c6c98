// Lines of the log that tell what became of a destination or a message, each with the time.
#pragma once

#include <cstdint>
#include <string>

namespace umberhoist {

// "HH:MM:SS.mmm", UTC, of a time in microseconds since the Unix epoch.
std::string time_of_day(int64_t unix_us);

// Writes the line to standard error, behind the present time of day.
void write_timed_line(const std::string& line);

}  // namespace umberhoist

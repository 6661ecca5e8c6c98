// Parts of a host's reply that are read by themselves.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "message.h"

namespace firspool::relay {

inline constexpr std::string_view kHttpVersion = "HTTP/1.";

// Whether the reply begins with a status line with 200, even if the rest is malformed.
bool has_status_200(std::string_view head);

// The value of a Retry-After field. One that is no number counts as 0.
Time parse_retry_after(std::string_view text);

// The longest Retry-After of the replies with 429 that `bytes` begin with; 0: none.
Time longest_retry_after(std::string_view bytes);

// Values of `fields` in a load report, NaN for those that it lacks. Empty if any field is malformed.
std::vector<float> parse_report(std::string_view text, const std::vector<std::string>& fields);

}  // namespace firspool::relay

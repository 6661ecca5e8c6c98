#include "reply_fields.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>

namespace firspool::relay {
namespace {

namespace http = boost::beast::http;

constexpr double kMaxReportedValue = 1e9;
constexpr double kMaxRetryAfterSeconds = 24 * 3600;

std::optional<double> parse_decimal(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value) || value < 0)
    return {};
  return value;
}

}  // namespace

bool has_status_200(std::string_view head) {
  constexpr std::string_view kOk = " 200";
  const size_t code = kHttpVersion.size() + 1;
  return head.starts_with(kHttpVersion) && head.size() > code + kOk.size() &&
         head.substr(code, kOk.size()) == kOk &&
         std::string_view(" \r\n").find(head[code + kOk.size()]) != std::string_view::npos;
}

// It applies to messages yet to come as well, so it is not limited by
// the lifetime of present ones; the limit only guards against overflow.
Time parse_retry_after(std::string_view text) {
  return static_cast<Time>(std::ceil(std::min(parse_decimal(text).value_or(0), kMaxRetryAfterSeconds) * 1e6));
}

Time longest_retry_after(std::string_view bytes) {
  Time longest = 0;
  while (!bytes.empty()) {
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    const size_t consumed = parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    if (parser.is_header_done() && parser.get().result_int() == 429) {
      const auto field = parser.get()[http::field::retry_after];
      longest = std::max(longest, parse_retry_after({field.data(), field.size()}));
    }
    if (error || !parser.is_done() || consumed == 0) break;
    bytes.remove_prefix(consumed);
  }
  return longest;
}

// A report with any malformed field is dropped as a whole: an unreadable field would be taken for a limit or
// load of zero.
std::vector<float> parse_report(std::string_view text, const std::vector<std::string>& fields) {
  if (fields.empty() || text.empty()) return {};
  std::vector<float> out(fields.size(), std::numeric_limits<float>::quiet_NaN());  // not reported
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    const size_t equals = item.find('=');
    if (equals == std::string_view::npos) return {};
    const auto field = std::find(fields.begin(), fields.end(), item.substr(0, equals));
    if (field == fields.end()) continue;
    const auto value = parse_decimal(item.substr(equals + 1));
    if (!value || *value > kMaxReportedValue) return {};
    out[static_cast<size_t>(field - fields.begin())] = static_cast<float>(*value);
  }
  return out;
}

}  // namespace firspool::relay

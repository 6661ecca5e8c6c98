#include "upstream_log.h"

#include <numeric>
#include <span>
#include <string_view>

namespace firspool::relay {
namespace {

constexpr Time kSecond = 1'000'000;

constexpr std::array<std::string_view, kConnectReasonCount> kConnectReasons = {
    "no idle one", "host under suspicion", "refusal has to be certain", "idle one had surplus bytes or ended",
    "probe"};
constexpr std::array<std::string_view, kDoubtReasonCount> kDoubtReasons = {
    "surplus bytes of the host", "a later call failed", "the connection ended", "the message's time is up",
    "the relay ends"};

std::string with_reasons(std::span<const uint64_t> counts, std::span<const std::string_view> reasons) {
  std::string out = std::to_string(std::accumulate(counts.begin(), counts.end(), uint64_t{0}));
  std::string list;
  for (size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] == 0) continue;
    list += (list.empty() ? "" : ", ") + std::string(reasons[i]) + " " + std::to_string(counts[i]);
  }
  return list.empty() ? out : out + " (" + list + ")";
}

}  // namespace

void UpstreamLog::on_connect(ConnectReason reason) {
  ++counters_.new_connections[static_cast<size_t>(reason)];
}

void UpstreamLog::on_surplus(Time now, const std::string& host, uint64_t connection, int requests,
                             size_t bytes) {
  ++counters_.surplus_replies;
  write_limited(now, "host " + host + ": " + std::to_string(bytes) + " bytes that answer no request, after " +
                         std::to_string(requests) + " requests on connection " + std::to_string(connection) +
                         "; its connections carry one request each for a while");
}

void UpstreamLog::on_call_given_up(Time now, const std::string& message, int status, uint64_t connection,
                                   int request) {
  ++counters_.calls_given_up;
  write_limited(now, "message " + message + ": given up and may have run, as status " +
                         std::to_string(status) + " on connection " + std::to_string(connection) +
                         ", request " + std::to_string(request) + ", may answer an earlier call");
}

void UpstreamLog::on_doubtful(Time now, const std::vector<std::string>& messages, DoubtReason reason) {
  const size_t index = static_cast<size_t>(reason);
  counters_.doubtful_replies[index] += messages.size();
  for (const std::string& message : messages) {
    write_limited(now, "message " + message +
                           ": delivery not proved, notice of failure: " + std::string(kDoubtReasons[index]));
  }
}

void UpstreamLog::write_limited(Time now, const std::string& line) {
  if (now - second_started_ >= kSecond) {
    second_started_ = now;
    lines_this_second_ = 0;
    if (lines_left_out_ > 0) write_line_("hosts: " + std::to_string(lines_left_out_) + " lines left out");
    lines_left_out_ = 0;
  }
  if (lines_this_second_ >= kMaxLinesPerSecond) {
    ++lines_left_out_;
    return;
  }
  ++lines_this_second_;
  write_line_(line);
}

void UpstreamLog::write_summary() {
  if (counters_ == summarized_) return;
  summarized_ = counters_;
  write_line_("hosts: connections made " + with_reasons(counters_.new_connections, kConnectReasons) +
              "; used again " + std::to_string(counters_.reused_connections) + "; surplus bytes " +
              std::to_string(counters_.surplus_replies) + " times; calls given up " +
              std::to_string(counters_.calls_given_up));
  write_line_("deliveries on used connections: " + std::to_string(counters_.unverified_replies) +
              "; confirmed " + std::to_string(counters_.confirmed_replies) + "; ended by a notice " +
              with_reasons(counters_.doubtful_replies, kDoubtReasons));
}

void UpstreamLog::write_summary_if_due(Time now) {
  if (summary_at_ != 0 && now - summary_at_ < kSummaryInterval) return;
  if (summary_at_ != 0) write_summary();
  summary_at_ = now;
}

}  // namespace firspool::relay

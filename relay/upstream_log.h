// Log lines and counters of calls to hosts: why connections are made, calls given up and deliveries doubted.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "message.h"

namespace firspool::relay {

enum class ConnectReason {
  kNoIdleConnection,
  kHostUnderSuspicion,       // it sent surplus bytes lately
  kCertainRefusal,           // the message needs a connection on which a refusal is certain
  kSurplusOnIdleConnection,  // or the end of the idle connection, found as the request was to be written
  kProbe
};
constexpr size_t kConnectReasonCount = 5;

// Why it is unknown whether a message was delivered.
enum class DoubtReason { kSurplusBytes, kCallFailed, kConnectionEnded, kMessageTimeUp, kRelayEnds };
constexpr size_t kDoubtReasonCount = 5;

class UpstreamLog {
 public:
  struct Counters {
    std::array<uint64_t, kConnectReasonCount> new_connections{};  // by ConnectReason
    uint64_t reused_connections = 0;  // times that an idle connection was used again
    uint64_t surplus_replies = 0;     // times that bytes came that answer no request
    uint64_t calls_given_up = 0;      // by a reply on a used connection that did not deliver their message
    uint64_t unverified_replies = 0;  // that ended a message; confirmed or in doubt later
    uint64_t confirmed_replies = 0;
    std::array<uint64_t, kDoubtReasonCount> doubtful_replies{};  // by DoubtReason
    bool operator==(const Counters&) const = default;
  };
  // Lines beyond this number in a second are left out and counted.
  static constexpr int kMaxLinesPerSecond = 10;
  static constexpr Time kSummaryInterval = 60'000'000;

  // `write_line` gets each line, without its line break.
  explicit UpstreamLog(std::function<void(const std::string&)> write_line)
      : write_line_(std::move(write_line)) {}

  void on_connect(ConnectReason reason);
  void on_reuse() { ++counters_.reused_connections; }
  // `host`: address and port. `requests`: carried by the connection so far.
  void on_surplus(Time now, const std::string& host, uint64_t connection, int requests, size_t bytes);
  // The message may have run, although its reply is no delivery.
  void on_call_given_up(Time now, const std::string& message, int status, uint64_t connection, int request);
  void on_unverified_delivery() { ++counters_.unverified_replies; }
  void on_confirmed(size_t messages) { counters_.confirmed_replies += messages; }
  void on_doubtful(Time now, const std::vector<std::string>& messages, DoubtReason reason);
  // Writes the counters if they changed since they were last written.
  void write_summary();
  // The same, at most once in kSummaryInterval.
  void write_summary_if_due(Time now);

  const Counters& counters() const { return counters_; }

 private:
  void write_limited(Time now, const std::string& line);

  std::function<void(const std::string&)> write_line_;
  Counters counters_;
  Counters summarized_;
  Time summary_at_ = 0;
  Time second_started_ = 0;  // of the limit
  int lines_this_second_ = 0;
  uint64_t lines_left_out_ = 0;
};

}  // namespace firspool::relay

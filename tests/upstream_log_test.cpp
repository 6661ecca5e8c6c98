// Log lines and counters of calls to hosts.
#include "upstream_log.h"

#include <gtest/gtest.h>

namespace firspool::relay {
namespace {

constexpr Time kSecond = 1'000'000;
using Lines = std::vector<std::string>;

class UpstreamLogTest : public ::testing::Test {
 protected:
  Lines lines_;
  UpstreamLog log_{[this](const std::string& line) { lines_.push_back(line); }};
};

TEST_F(UpstreamLogTest, NamesMessageConnectionAndReason) {
  log_.on_call_given_up(kSecond, "9b1f03aa5c7e2d41", 503, 12, 3);
  log_.on_doubtful(kSecond, {"a1"}, DoubtReason::kMessageTimeUp);
  log_.on_surplus(kSecond, "127.0.0.1:80", 12, 3, 14);
  EXPECT_EQ(lines_, (Lines{"message 9b1f03aa5c7e2d41: given up and may have run, as status 503 on connection "
                           "12, request 3, may answer an earlier call",
                           "message a1: delivery not proved, notice of failure: the message's time is up",
                           "host 127.0.0.1:80: 14 bytes that answer no request, after 3 requests on "
                           "connection 12; its connections carry one request each for a while"}));
}

TEST_F(UpstreamLogTest, SumsUpByReasonOnceForEachChange) {
  log_.write_summary();
  EXPECT_TRUE(lines_.empty());
  log_.on_connect(ConnectReason::kNoIdleConnection);
  log_.on_connect(ConnectReason::kProbe);
  log_.on_reuse();
  log_.on_unverified_delivery();
  log_.on_unverified_delivery();
  log_.on_confirmed(1);
  log_.on_doubtful(0, {"a1"}, DoubtReason::kConnectionEnded);
  lines_.clear();
  log_.write_summary();
  log_.write_summary();
  EXPECT_EQ(
      lines_,
      (Lines{
          "hosts: connections made 2 (no idle one 1, probe 1); used again 1; surplus bytes 0 times; "
          "calls given up 0",
          "deliveries on used connections: 2; confirmed 1; ended by a notice 1 (the connection ended 1)"}));
}

TEST_F(UpstreamLogTest, WritesTheSummaryOnceAMinute) {
  log_.write_summary_if_due(kSecond);
  log_.on_reuse();
  log_.write_summary_if_due(kSecond + UpstreamLog::kSummaryInterval - 1);
  EXPECT_TRUE(lines_.empty());
  log_.write_summary_if_due(kSecond + UpstreamLog::kSummaryInterval);
  EXPECT_EQ(lines_.size(), 2u);
}

TEST_F(UpstreamLogTest, LeavesOutAndCountsLinesBeyondTheLimit) {
  const Lines messages(UpstreamLog::kMaxLinesPerSecond + 5, "a1");
  log_.on_doubtful(kSecond, messages, DoubtReason::kSurplusBytes);
  EXPECT_EQ(lines_.size(), static_cast<size_t>(UpstreamLog::kMaxLinesPerSecond));
  lines_.clear();
  log_.on_doubtful(2 * kSecond, {"a1"}, DoubtReason::kSurplusBytes);
  ASSERT_EQ(lines_.size(), 2u);
  EXPECT_EQ(lines_[0], "hosts: 5 lines left out");
}

}  // namespace
}  // namespace firspool::relay

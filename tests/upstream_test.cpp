// Outcomes of calls, against a host that the test plays.
#include "upstream.h"

#include <functional>

#include "peers.h"

namespace firspool::relay {
namespace {

using testing::Host;

class UpstreamTest : public ::testing::Test {
 protected:
  // Makes one call and runs the loop to its end; the host's part runs beside it.
  AttemptEnded call(const std::function<void(Host&)>& part, Time timeout = 20'000'000) {
    std::thread host([&] { part(host_); });
    AttemptEnded out = call_to(host_.port(), timeout);
    host.join();
    return out;
  }

  AttemptEnded call_to(uint16_t port, Time timeout) {
    Call next;
    next.id = ++last_;
    next.endpoint = {1, 0};
    next.address = {boost::asio::ip::address_v4::loopback(), port};
    next.call_id = "9b1f03aa5c7e2d41";
    next.body = "body";
    next.timeout = timeout;
    ended_.reset();
    upstream_.call(next);
    io_.restart();
    while (!ended_) io_.run_one();
    return *ended_;
  }

  static std::function<void(Host&)> answering(const std::string& status, const std::string& headers = "") {
    return [=](Host& host) {
      host.next();
      host.answer(status, headers);
    };
  }

  boost::asio::io_context io_;
  bool may_start_ = true;
  bool began_ = false;
  std::optional<AttemptEnded> ended_;
  uint64_t last_ = 0;
  Host host_;
  Upstream upstream_{io_,
                     {1'000'000, 10'000'000, 16},
                     {"x0", "x1"},
                     [this](const Call&) { return may_start_; },
                     [this](const AttemptEnded& end, bool began) {
                       ended_ = end;
                       began_ = began;
                     },
                     [](const ProbeEnded&) {}};
};

TEST_F(UpstreamTest, ReadsEachAnswer) {
  const AttemptEnded ok = call(answering("200", "X-Load-Report: x0=0.5,x1=25\r\n"));
  EXPECT_EQ(ok.outcome, Outcome::kOk);
  EXPECT_TRUE(ok.final);
  EXPECT_EQ(ok.report, (std::vector<float>{0.5, 25}));
  EXPECT_EQ(call(answering("500")).outcome, Outcome::kError);
  const AttemptEnded told = call(answering("429", "Retry-After: 1.25\r\n"));
  EXPECT_EQ(told.outcome, Outcome::kFull);
  EXPECT_EQ(told.wait, 1'250'000);
  EXPECT_EQ(call(answering("503")).outcome, Outcome::kFull);
  EXPECT_EQ(call(answering("503", "X-Egress-Full: 1\r\n")).outcome, Outcome::kMoot);
  EXPECT_FALSE(call(answering("504")).final);
  const AttemptEnded over = call(answering("410"));
  EXPECT_EQ(over.outcome, Outcome::kMoot);
  EXPECT_TRUE(over.final);
  EXPECT_EQ(host_.connections(), 1);  // all on one connection
}

TEST_F(UpstreamTest, ABrokenConnectionAfterTheLastByteIsAReset) {
  EXPECT_EQ(call([](Host& host) {
              host.next();
              host.reset();
            }).outcome,
            Outcome::kReset);
}

TEST_F(UpstreamTest, SilenceTimesOutAndEndsTheConnection) {
  EXPECT_EQ(call([](Host& host) { host.next(); }, 200'000).outcome, Outcome::kTimeout);
  EXPECT_EQ(call(answering("200")).outcome, Outcome::kOk);
  EXPECT_EQ(host_.connections(), 2);
}

TEST_F(UpstreamTest, ARefusedConnectionNeverRan) {
  testing::Socket gone = testing::Socket::listen();
  const uint16_t port = gone.port();
  gone.close();
  EXPECT_EQ(call_to(port, 1'000'000).outcome, Outcome::kConnectFailed);
  EXPECT_FALSE(began_);
}

// The host drained, or its destination told another call to wait, while this one's connection came up.
TEST_F(UpstreamTest, LooksOnceMoreBeforeTheFirstByte) {
  may_start_ = false;
  EXPECT_EQ(call_to(host_.port(), 1'000'000).outcome, Outcome::kMoot);
  EXPECT_FALSE(began_);
  may_start_ = true;
  EXPECT_EQ(call(answering("200")).outcome, Outcome::kOk);
  EXPECT_EQ(host_.connections(), 1);  // the connection stayed, and no byte was written to it before
}

// A call on a connection that the host has closed would end as a reset, and may have run.
TEST_F(UpstreamTest, DoesNotUseAConnectionThatTheHostClosed) {
  EXPECT_EQ(call([](Host& host) {
              host.next();
              host.answer("200");
              host.drop();
            }).outcome,
            Outcome::kOk);
  EXPECT_EQ(call(answering("200")).outcome, Outcome::kOk);
  EXPECT_EQ(host_.connections(), 2);
}

}  // namespace
}  // namespace firspool::relay

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
  Upstream upstream_{
      io_,
      {1'000'000, 10'000'000, 16, 60'000'000},
      {"x0", "x1"},
      [this](const Call&) { return may_start_ ? Upstream::Start::kYes : Upstream::Start::kNo; },
      [this](const AttemptEnded& end, bool began) {
        ended_ = end;
        began_ = began;
      },
      [](const ProbeEnded&) {}};
};

// A full table of connections: turned away and hung up on, on a new connection. On one that was in use it is
// the host that leaves, and where the connection stays it is over a limit.
TEST_F(UpstreamTest, TellsAFullTableFromALimit) {
  const auto hang_up = [](Host& host) {
    host.next();
    host.answer("503", "Connection: close\r\n");
    host.drop();
  };
  const AttemptEnded crowded = call(hang_up);
  EXPECT_EQ(crowded.outcome, Outcome::kFull);
  EXPECT_TRUE(crowded.crowded);
  EXPECT_FALSE(call(answering("503")).crowded);  // on a new one that stays
  EXPECT_FALSE(call(hang_up).crowded);           // on that
  EXPECT_EQ(host_.connections(), 2);
}

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

// An answer that can never be whole tells only that the call may have run, whatever status it shows: taken
// for a refusal it would let an unsafe message go twice. The host leaves the connection open, so it is
// settled long before the time-out, and the connection is not used again.
TEST_F(UpstreamTest, ASpoiltAnswerMayHaveRun) {
  int made = 0;
  for (const std::string& bytes :
       {std::string("\x01\x02noise with no end"), std::string("HTTP/1.1 2x0 what\r\n\r\n"),
        std::string("HTTP/1.1 503 x\r\nContent-Le"),
        std::string("HTTP/1.1 429 x\r\nRetry-After: 1\r\nContent-Length: 9\r\n\r\nhi"),
        std::string("HTTP/1.1 504 x\r\nContent-Length: -4\r\n\r\n"), std::string("HTTP/1.1 410 gone"),
        "HTTP/1.1 500 x\r\nX: " + std::string(30'000, 'x'),
        "HTTP/1.1 503 x\r\nContent-Length: 3000000000\r\n\r\n" + std::string(1000, 'x')}) {
    const AttemptEnded end = call([&](Host& host) {
      host.next();
      host.raw(bytes);
      EXPECT_TRUE(host.left());
    });
    EXPECT_EQ(end.outcome, Outcome::kSpoilt) << bytes.substr(0, 60);
    EXPECT_FALSE(end.final);
    EXPECT_EQ(host_.connections(), ++made);
  }
}

TEST_F(UpstreamTest, AFirstLineWith200IsTrueWhateverFollows) {
  for (const std::string& bytes :
       {std::string("HTTP/1.1 200 OK\r\n\x01\x02noise"), std::string("HTTP/1.1 200 OK\r\nContent-Le"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"),
        "HTTP/1.1 200 OK\r\nX: " + std::string(30'000, 'x'),
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + std::string(1000, 'x')}) {
    const AttemptEnded end = call([&](Host& host) {
      host.next();
      host.raw(bytes);
      EXPECT_TRUE(host.left());
    });
    EXPECT_EQ(end.outcome, Outcome::kOk) << bytes.substr(0, 60);
    EXPECT_TRUE(end.final);
  }
}

TEST_F(UpstreamTest, SkipsAnswersAheadOfTheAnswer) {
  const AttemptEnded end = call([](Host& host) {
    host.next();
    host.raw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX-Y: z\r\n\r\n");
    host.answer("503");
  });
  EXPECT_EQ(end.outcome, Outcome::kFull);
  EXPECT_EQ(call(answering("200")).outcome, Outcome::kOk);
  EXPECT_EQ(host_.connections(), 1);
}

// The second copy would be taken for the next call's answer.
TEST_F(UpstreamTest, DoesNotUseAConnectionAgainThatBroughtMoreThanItsAnswer) {
  const std::string copy = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
  for (const std::string& bytes : {copy + copy, copy + "noise"}) {
    const int before = host_.connections();
    EXPECT_EQ(call([&](Host& host) {
                host.next();
                host.raw(bytes);
              }).outcome,
              Outcome::kOk);
    EXPECT_EQ(call(answering("500")).outcome, Outcome::kError);
    EXPECT_EQ(host_.connections(), before + 2);
    EXPECT_EQ(call(answering("200", "Connection: close\r\n")).outcome, Outcome::kOk);
  }
}

// A field read as zero would pass for a limit or a load of zero.
TEST_F(UpstreamTest, DropsAReportThatItCannotRead) {
  for (const std::string report : {"x0=0.5,x1=?", "x0=nan,x1=25", "x0=-1,x1=25", "x0", "x0=0.5 x1=25"}) {
    EXPECT_TRUE(call(answering("200", "X-Load-Report: " + report + "\r\n")).report.empty()) << report;
  }
  EXPECT_EQ(call(answering("200", "X-Load-Report: x0=0.5,x9=a,x1=2\r\n")).report,
            (std::vector<float>{0.5, 2}));
}

TEST_F(UpstreamTest, HeedsNoWaitThatIsNoNumber) {
  for (const std::string wait : {"nan", "-5", "soon", "1.5x", "inf"}) {
    const AttemptEnded end = call(answering("429", "Retry-After: " + wait + "\r\n"));
    EXPECT_EQ(end.outcome, Outcome::kFull);
    EXPECT_EQ(end.wait, 0) << wait;
  }
  EXPECT_EQ(call(answering("429", "Retry-After: 1e30\r\n")).wait, 60'000'000);
}

}  // namespace
}  // namespace firspool::relay

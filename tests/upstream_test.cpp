// Outcomes of calls to a host that the test plays.
#include "upstream.h"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <functional>
#include <future>
#include <limits>

#include "peers.h"

namespace firspool::relay {
namespace {

using testing::FakeHost;
using testing::kDeadlineMs;
using testing::Socket;

class UpstreamTest : public ::testing::Test {
 protected:
  // Makes one call and runs the event loop until it ends; `host_part` runs in a thread beside it.
  AttemptEnded call(const std::function<void(FakeHost&)>& host_part, Time timeout = 20'000'000) {
    std::thread host([&] { host_part(host_); });
    AttemptEnded out = call_to(host_.port(), timeout);
    host.join();
    return out;
  }

  Call next_call(uint16_t port, Time timeout = 20'000'000) {
    Call next;
    next.id = ++last_;
    next.endpoint = {1, 0};
    next.address = {boost::asio::ip::address_v4::loopback(), port};
    next.call_id = "9b1f03aa5c7e2d41";
    next.body = std::make_shared<const std::string>(body_);
    next.timeout = timeout;
    next.may_repeat = may_repeat_;
    next.message_due = message_due_;
    return next;
  }

  AttemptEnded call_to(uint16_t port, Time timeout) {
    attempt_.reset();
    upstream_.call(next_call(port, timeout));
    io_.restart();
    const Time from = steady_now();
    while (!attempt_ && steady_now() - from < kDeadlineMs * Time{1000}) io_.run_one();
    if (!attempt_) ADD_FAILURE() << "the call has no end";
    return attempt_.value_or(AttemptEnded{});
  }

  static std::function<void(FakeHost&)> replying(const std::string& status, const std::string& headers = "") {
    return [=](FakeHost& host) {
      host.next_request();
      host.respond(status, headers);
    };
  }

  void run_until(const std::function<bool()>& done) {
    const Time from = steady_now();
    while (!done() && steady_now() - from < kDeadlineMs * Time{1000}) io_.run_one();
    EXPECT_TRUE(done());
  }

  // A call of a relay whose event loop is blocked for a while: all that happens meanwhile is handled in one
  // turn.
  AttemptEnded call_with_delayed_loop(const std::function<void(FakeHost&)>& host_part, Time connect_timeout) {
    boost::asio::io_context io;
    std::optional<AttemptEnded> end;
    Upstream upstream(
        io, {connect_timeout, 10'000'000, 16}, {}, [](const Call&) { return Upstream::StartDecision::kYes; },
        [](const Endpoint&) { return true; }, [&](const AttemptEnded& out, bool) { end = out; },
        [](const ProbeEnded&) {});
    upstream.call(next_call(host_.port()));  // the kernel connects at once
    const Time until = steady_now() + connect_timeout + 5000;
    while (steady_now() < until) continue;
    std::thread host([&] { host_part(host_); });
    while (!end) io.run_one();
    host.join();
    return *end;
  }

  boost::asio::io_context io_;
  std::string body_ = "body";
  bool may_start_ = true;
  bool may_repeat_ = true;
  Time message_due_ = std::numeric_limits<Time>::max();
  std::function<void()> at_start_ = [] {};
  bool started_ = false;
  std::optional<AttemptEnded> attempt_;
  std::optional<ProbeEnded> probe_;
  std::vector<std::string> confirmed_, doubtful_;
  Time surplus_retry_after_ = 0;
  uint64_t last_ = 0;
  FakeHost host_;
  Upstream upstream_{io_,
                     {1'000'000, 10'000'000, 16},
                     {"x0", "x1"},
                     [this](const Call&) {
                       at_start_();
                       return may_start_ ? Upstream::StartDecision::kYes : Upstream::StartDecision::kNo;
                     },
                     [this](const Endpoint&) { return may_start_; },
                     [this](const AttemptEnded& end, bool started) {
                       attempt_ = end;
                       started_ = started;
                     },
                     [this](const ProbeEnded& end) { probe_ = end; },
                     {[this](const std::string& id) { confirmed_.push_back(id); },
                      [this](const std::string& id) { doubtful_.push_back(id); },
                      [this](const Endpoint&, Time retry_after) { surplus_retry_after_ = retry_after; }}};
};

// A host at its connection limit refuses a call on a new connection and closes it. On a reused connection the
// close means that the host is going away, and a connection that stays open means a rate limit.
TEST_F(UpstreamTest, TellsAFullTableFromALimit) {
  const auto refuse_and_close = [](FakeHost& host) {
    host.next_request();
    host.respond("503", "Connection: close\r\n");
    host.close();
  };
  const AttemptEnded limit_reached = call(refuse_and_close);
  EXPECT_EQ(limit_reached.outcome, Outcome::kRefused);
  EXPECT_TRUE(limit_reached.connection_limit_reached);
  EXPECT_FALSE(call(replying("503")).connection_limit_reached);   // on a new connection that stays open
  EXPECT_FALSE(call(refuse_and_close).connection_limit_reached);  // on the same connection
  EXPECT_EQ(host_.connections(), 2);
}

TEST_F(UpstreamTest, ReadsEachAnswer) {
  const AttemptEnded ok = call(replying("200", "X-Load-Report: x0=0.5,x1=25\r\n"));
  EXPECT_EQ(ok.outcome, Outcome::kOk);
  EXPECT_TRUE(ok.final);
  EXPECT_EQ(ok.report, (std::vector<float>{0.5, 25}));
  EXPECT_EQ(call(replying("500")).outcome, Outcome::kError);
  const AttemptEnded refused = call(replying("429", "Retry-After: 1.25\r\n"));
  EXPECT_EQ(refused.outcome, Outcome::kRefused);
  EXPECT_EQ(refused.retry_after, 1'250'000);
  EXPECT_EQ(call(replying("503")).outcome, Outcome::kRefused);
  EXPECT_EQ(call(replying("503", "X-Egress-Full: 1\r\n")).outcome, Outcome::kNotStarted);
  EXPECT_FALSE(call(replying("504")).final);
  const AttemptEnded over = call(replying("410"));
  EXPECT_EQ(over.outcome, Outcome::kNotStarted);
  EXPECT_TRUE(over.final);
  // The second reply on a connection that does not deliver its message ends it: 429, and 503 without a place.
  EXPECT_EQ(host_.connections(), 3);
}

TEST_F(UpstreamTest, ABrokenConnectionAfterTheLastByteIsAReset) {
  EXPECT_EQ(call([](FakeHost& host) {
              host.next_request();
              host.reset();
            }).outcome,
            Outcome::kReset);
}

TEST_F(UpstreamTest, SilenceTimesOutAndEndsTheConnection) {
  EXPECT_EQ(call([](FakeHost& host) { host.next_request(); }, 200'000).outcome, Outcome::kTimeout);
  EXPECT_EQ(call(replying("200")).outcome, Outcome::kOk);
  EXPECT_EQ(host_.connections(), 2);
}

TEST_F(UpstreamTest, ARefusedConnectionNeverRan) {
  testing::Socket listener = testing::Socket::listen();
  const uint16_t port = listener.port();
  listener.close();
  EXPECT_EQ(call_to(port, 1'000'000).outcome, Outcome::kConnectFailed);
  EXPECT_FALSE(started_);
}

// A relay short of CPU time finds in one turn that the connection is established and that its time-out has
// expired. The request is sent, so its outcome counts: "could not connect" would let an unsafe message be
// sent twice.
TEST_F(UpstreamTest, AConnectionThatComesUpInTheTurnInWhichItsTimeEndsIsUsed) {
  EXPECT_EQ(call_with_delayed_loop(replying("200"), 20'000).outcome, Outcome::kOk);
  EXPECT_EQ(call_with_delayed_loop(
                [](FakeHost& host) {
                  host.next_request();
                  host.reset();
                },
                20'000)
                .outcome,
            Outcome::kReset);
}

// Cancelled after the last byte was written but before the write handler ran: the call may have been
// executed.
TEST_F(UpstreamTest, ACallThatIsCancelledAsItIsWrittenMayHaveRun) {
  at_start_ = [this] { boost::asio::post(io_, [this] { upstream_.cancel(last_, 0); }); };
  const AttemptEnded end = call([](FakeHost& host) {
    host.next_request();  // the request arrived completely
    EXPECT_TRUE(host.closed_by_peer());
  });
  EXPECT_EQ(end.outcome, Outcome::kCancelled);
}

TEST_F(UpstreamTest, ACallThatIsCancelledWhileItsAnswerIsHalfReadMayHaveRun) {
  const AttemptEnded end = call([this](FakeHost& host) {
    host.next_request();
    host.send_raw("HTTP/1.1 503 x\r\nConte");
    boost::asio::post(io_, [this] { upstream_.cancel(last_, 0); });
    EXPECT_TRUE(host.closed_by_peer());
  });
  EXPECT_TRUE(end.outcome == Outcome::kMalformed || end.outcome == Outcome::kCancelled);
}

// A long silence, then the end of the connection: it is unknown whether the call was executed.
TEST_F(UpstreamTest, AResetTwoSecondsAfterTheLastByteMayHaveRun) {
  std::promise<void> later;
  boost::asio::steady_timer timer(io_, std::chrono::seconds(2));
  timer.async_wait([&](const boost::system::error_code&) { later.set_value(); });
  const AttemptEnded end = call([&](FakeHost& host) {
    host.next_request();
    later.get_future().wait();
    host.reset();
  });
  EXPECT_EQ(end.outcome, Outcome::kReset);
  EXPECT_GE(end.duration, 1'900'000);
  EXPECT_EQ(call(replying("200")).outcome, Outcome::kOk);
  EXPECT_EQ(host_.connections(), 2);
}

// A host may refuse a call after reading only its header. If replies were read only after the last byte of
// the request, the Retry-After would be missed and the next call sent too early.
TEST_F(UpstreamTest, AnAnswerThatComesBeforeTheRequestIsWhollyWrittenCounts) {
  host_.limit_receive_buffer();
  body_.assign(16 * 1024 * 1024, 'x');  // more than the kernel buffers for a connection
  const AttemptEnded refused = call([](FakeHost& host) {
    host.read_head();
    host.respond("429", "Retry-After: 1.5\r\n");
    EXPECT_TRUE(host.drained_until_closed());
  });
  EXPECT_EQ(refused.outcome, Outcome::kRefused);
  EXPECT_EQ(refused.retry_after, 1'500'000);
  EXPECT_TRUE(started_);
  const AttemptEnded limit_reached = call([](FakeHost& host) {
    host.read_head();
    host.respond("503", "Connection: close\r\n");
    host.close();  // with unread input, so that a reset follows the reply
  });
  EXPECT_EQ(limit_reached.outcome, Outcome::kRefused);
  EXPECT_TRUE(limit_reached.connection_limit_reached);
  const AttemptEnded delivered = call([](FakeHost& host) {
    host.read_head();
    host.respond("200");
    EXPECT_TRUE(host.drained_until_closed());
  });
  EXPECT_EQ(delivered.outcome, Outcome::kOk);
  EXPECT_EQ(host_.connections(), 3) << "the rest of a request must not precede the next one on a connection";
}

// A request that was not written completely was not executed, however its connection ends.
TEST_F(UpstreamTest, ACallThatBreaksOffBeforeItsLastByteNeverRan) {
  host_.limit_receive_buffer();
  body_.assign(16 * 1024 * 1024, 'x');
  const auto outcome = [this](const std::function<void(FakeHost&)>& end, Time timeout = 20'000'000) {
    return call(
               [&](FakeHost& host) {
                 host.read_head();
                 end(host);
               },
               timeout)
        .outcome;
  };
  EXPECT_EQ(outcome([](FakeHost& host) { host.reset(); }), Outcome::kConnectFailed);
  EXPECT_EQ(outcome([](FakeHost& host) { host.half_close(); }), Outcome::kConnectFailed);
  EXPECT_EQ(outcome([this](FakeHost&) { boost::asio::post(io_, [this] { upstream_.cancel(last_, 0); }); }),
            Outcome::kConnectFailed);
  EXPECT_EQ(outcome([](FakeHost&) {}, 200'000), Outcome::kConnectFailed);
  EXPECT_TRUE(started_);
}

// Cancelled when a part of the request is written but not reported yet, while the host reads no more.
TEST_F(UpstreamTest, ACallThatIsCancelledBetweenTwoPartsOfItsRequestEnds) {
  host_.limit_receive_buffer();
  body_.assign(16 * 1024 * 1024, 'x');
  at_start_ = [this] { boost::asio::post(io_, [this] { upstream_.cancel(last_, 0); }); };
  EXPECT_EQ(call([](FakeHost& host) { host.read_head(); }).outcome, Outcome::kConnectFailed);
  EXPECT_TRUE(started_);
}

// A listener with a full backlog: the next connection is established only after the backlog is emptied, when
// the kernel retries after a second.
class FullBacklog {
 public:
  FullBacklog() {
    if (::listen(listener.fd(), 0) != 0) throw std::runtime_error("the queue stays as it was");
    first_ = testing::Socket::connect(listener.port());
  }
  testing::Socket listener = testing::Socket::listen();

 private:
  testing::Socket first_;
};

TEST_F(UpstreamTest, AConnectionThatComesUpLateIsUsed) {
  FullBacklog queue;
  boost::asio::io_context io;
  std::optional<AttemptEnded> end;
  Upstream upstream(
      io, {10'000'000, 10'000'000, 16}, {}, [](const Call&) { return Upstream::StartDecision::kYes; },
      [](const Endpoint&) { return true; }, [&](const AttemptEnded& out, bool) { end = out; },
      [](const ProbeEnded&) {});
  upstream.call(next_call(queue.listener.port()));
  while (io.poll() > 0) continue;
  std::thread host([&] {
    const testing::Socket other = queue.listener.accept();
    testing::Socket connection = queue.listener.accept();
    EXPECT_TRUE(testing::read_request(connection).has_value());
    EXPECT_TRUE(connection.send("HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n"));
  });
  while (!end) io.run_one();
  host.join();
  EXPECT_EQ(end->outcome, Outcome::kOk);
  EXPECT_GE(end->duration, 500'000) << "the connection was established at once";
}

// Nothing is ever written, even if the connection is established after all.
TEST_F(UpstreamTest, ACallThatIsCancelledWhileItConnectsNeverRan) {
  FullBacklog queue;
  boost::asio::post(io_, [this] { boost::asio::post(io_, [this] { upstream_.cancel(last_, 0); }); });
  EXPECT_EQ(call_to(queue.listener.port(), 20'000'000).outcome, Outcome::kConnectFailed);
  EXPECT_FALSE(started_);
  EXPECT_LT(attempt_->duration, 900'000) << "it was ended by the connect time-out";
}

// A call that waits for the sync of its record has written nothing; cancelled then, it must not be sent
// later.
TEST_F(UpstreamTest, ACallThatIsCancelledWhileItsRecordIsSyncedNeverRan) {
  const testing::Socket listener = testing::Socket::listen();
  boost::asio::io_context io;
  std::optional<AttemptEnded> end;
  bool started = true;
  int start_requests = 0;
  Upstream upstream(
      io, {1'000'000, 10'000'000, 16}, {},
      [&](const Call&) {
        ++start_requests;
        return Upstream::StartDecision::kLater;
      },
      [](const Endpoint&) { return true; },
      [&](const AttemptEnded& out, bool has_started) {
        end = out;
        started = has_started;
      },
      [](const ProbeEnded&) {});
  upstream.call(next_call(listener.port()));
  while (start_requests == 0) io.run_one();
  upstream.cancel(last_, 0);
  ASSERT_TRUE(end);
  EXPECT_EQ(end->outcome, Outcome::kConnectFailed);
  EXPECT_FALSE(started);
  upstream.retry_deferred();
  io.poll();
  EXPECT_EQ(start_requests, 1);
  testing::Socket connection = listener.accept();
  EXPECT_TRUE(connection.closed_by_peer()) << "bytes were written";
}

// The host started to drain, or another call received a Retry-After, while the connection was established.
TEST_F(UpstreamTest, LooksOnceMoreBeforeTheFirstByte) {
  may_start_ = false;
  EXPECT_EQ(call_to(host_.port(), 1'000'000).outcome, Outcome::kNotStarted);
  EXPECT_FALSE(started_);
  may_start_ = true;
  EXPECT_EQ(call(replying("200")).outcome, Outcome::kOk);
  EXPECT_EQ(host_.connections(), 1);  // the connection was kept, and no byte was written to it before
}

// A probe counts as a call: the host may start to drain or send a Retry-After while its connection is
// established.
TEST_F(UpstreamTest, AProbeLooksOnceMoreBeforeItsFirstByteToo) {
  const auto probe = [this] {
    probe_.reset();
    upstream_.probe({1, 0}, {boost::asio::ip::address_v4::loopback(), host_.port()});
    while (!probe_) io_.run_one();
    return probe_->ok;
  };
  may_start_ = false;
  EXPECT_FALSE(probe());
  may_start_ = true;
  EXPECT_EQ(call(replying("200")).outcome, Outcome::kOk);  // on the same connection, with nothing before it
  std::thread host([this] {
    EXPECT_EQ(host_.next_request().request_line, "GET /-/healthy HTTP/1.1");
    host_.respond("200");
  });
  EXPECT_TRUE(probe());
  host.join();
  EXPECT_EQ(host_.connections(), 2);  // on a new connection, so that the reply is certain
}

// A call on a connection that the host has closed would end with a reset and count as possibly executed.
TEST_F(UpstreamTest, DoesNotUseAConnectionThatTheHostClosed) {
  EXPECT_EQ(call([](FakeHost& host) {
              host.next_request();
              host.respond("200");
              host.close();
            }).outcome,
            Outcome::kOk);
  EXPECT_EQ(call(replying("200")).outcome, Outcome::kOk);
  EXPECT_EQ(host_.connections(), 2);
}

// A malformed reply says only that the call may have been executed, whatever its status: taken for a refusal
// it would let an unsafe message be sent twice. The host keeps the connection open here; the call must still
// end long before its time-out, and the connection must not be reused.
TEST_F(UpstreamTest, ASpoiltAnswerMayHaveRun) {
  int connections = 0;
  for (const std::string& bytes :
       {std::string("\x01\x02noise with no end"), std::string("HTTP/1.1 2x0 what\r\n\r\n"),
        std::string("HTTP/1.1 503 x\r\nContent-Le"),
        std::string("HTTP/1.1 429 x\r\nRetry-After: 1\r\nContent-Length: 9\r\n\r\nhi"),
        std::string("HTTP/1.1 504 x\r\nContent-Length: -4\r\n\r\n"), std::string("HTTP/1.1 410 gone"),
        "HTTP/1.1 500 x\r\nX: " + std::string(30'000, 'x'),
        "HTTP/1.1 503 x\r\nContent-Length: 3000000000\r\n\r\n" + std::string(1000, 'x')}) {
    const AttemptEnded end = call([&](FakeHost& host) {
      host.next_request();
      host.send_raw(bytes);
      EXPECT_TRUE(host.closed_by_peer());
    });
    EXPECT_EQ(end.outcome, Outcome::kMalformed) << bytes.substr(0, 60);
    EXPECT_FALSE(end.final);
    EXPECT_EQ(host_.connections(), ++connections);
  }
}

// Replies truncated after each byte: none is taken for a refusal, and a complete status line with 200 counts
// as delivered.
TEST_F(UpstreamTest, AnAnswerThatBreaksOffAfterAnyByteMayHaveRun) {
  for (const std::string status : {"429 x", "503 x", "200 x"}) {
    const std::string reply = "HTTP/1.1 " + status + "\r\nRetry-After: 1.5\r\nContent-Length: 4\r\n\r\nbody";
    const size_t head = reply.find("body");
    for (size_t cut = 0; cut < reply.size(); ++cut) {
      const AttemptEnded end = call([&](FakeHost& host) {
        host.next_request();
        if (cut > 0) host.send_raw(reply.substr(0, cut));
        host.close();
      });
      const bool delivered = status.starts_with("200") && cut > std::string("HTTP/1.1 200").size();
      EXPECT_EQ(end.outcome, cut == 0    ? Outcome::kReset
                             : delivered ? Outcome::kOk
                                         : Outcome::kMalformed)
          << cut;
      EXPECT_EQ(end.final, delivered) << cut;
      // A Retry-After in a complete header counts, whatever became of the rest.
      EXPECT_EQ(end.retry_after, status.starts_with("429") && cut >= head ? 1'500'000 : 0) << cut;
    }
  }
}

TEST_F(UpstreamTest, AnAnswerThatComesAByteAtATimeIsRead) {
  const AttemptEnded end = call([](FakeHost& host) {
    host.next_request();
    for (const char byte : std::string("HTTP/1.1 503 x\r\nContent-Length: 2\r\n\r\nhi")) {
      host.send_raw(std::string(1, byte));
    }
  });
  EXPECT_EQ(end.outcome, Outcome::kRefused);
}

// Half a status line arrives on an idle connection just as the next call is written: the reply cannot be
// parsed, and the call may have been executed.
TEST_F(UpstreamTest, HalfALineAheadOfTheNextAnswerMayHaveRun) {
  EXPECT_EQ(call(replying("200")).outcome, Outcome::kOk);
  const AttemptEnded end = call([](FakeHost& host) {
    host.next_request();
    host.send_raw("HTTP/1.1 2");
    host.respond("503");
    EXPECT_TRUE(host.closed_by_peer());
  });
  EXPECT_EQ(end.outcome, Outcome::kMalformed);
  EXPECT_EQ(host_.connections(), 1);
}

TEST_F(UpstreamTest, AFirstLineWith200IsTrueWhateverFollows) {
  for (const std::string& bytes :
       {std::string("HTTP/1.1 200 OK\r\n\x01\x02noise"), std::string("HTTP/1.1 200 OK\r\nContent-Le"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"),
        "HTTP/1.1 200 OK\r\nX: " + std::string(30'000, 'x'),
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + std::string(1000, 'x')}) {
    const AttemptEnded end = call([&](FakeHost& host) {
      host.next_request();
      host.send_raw(bytes);
      EXPECT_TRUE(host.closed_by_peer());
    });
    EXPECT_EQ(end.outcome, Outcome::kOk) << bytes.substr(0, 60);
    EXPECT_TRUE(end.final);
  }
}

TEST_F(UpstreamTest, SkipsAnswersAheadOfTheAnswer) {
  const AttemptEnded end = call([](FakeHost& host) {
    host.next_request();
    host.send_raw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX-Y: z\r\n\r\n");
    host.respond("503");
  });
  EXPECT_EQ(end.outcome, Outcome::kRefused);
  EXPECT_EQ(call(replying("200")).outcome, Outcome::kOk);
  EXPECT_EQ(host_.connections(), 1);
}

// The second copy would be taken for the reply to the next call.
TEST_F(UpstreamTest, DoesNotUseAConnectionAgainThatBroughtMoreThanItsAnswer) {
  const std::string copy = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
  for (const std::string& bytes : {copy + copy, copy + "noise"}) {
    const int before = host_.connections();
    EXPECT_EQ(call([&](FakeHost& host) {
                host.next_request();
                host.send_raw(bytes);
              }).outcome,
              Outcome::kOk);
    EXPECT_EQ(call(replying("500")).outcome, Outcome::kError);
    EXPECT_EQ(host_.connections(), before + 2);
    EXPECT_EQ(call(replying("200", "Connection: close\r\n")).outcome, Outcome::kOk);
  }
}

// ---- Bytes that pass for the reply to a request ----

TEST_F(UpstreamTest, AReplyOnAUsedConnectionIsInDoubtIfAnotherFollows) {
  EXPECT_FALSE(call(replying("200")).reply_unverified);
  const AttemptEnded end = call(replying("200"), 1'500'000);
  EXPECT_TRUE(end.final);
  EXPECT_TRUE(end.reply_unverified);
  host_.respond("503");
  run_until([this] { return !doubtful_.empty(); });
  EXPECT_EQ(doubtful_.size(), 1u);
  EXPECT_TRUE(confirmed_.empty());
}

TEST_F(UpstreamTest, AReplyOnAUsedConnectionIsConfirmedByALaterOneAndSilenceAroundIt) {
  call(replying("200"));
  EXPECT_TRUE(call(replying("200"), 500'000).reply_unverified);
  Time from = steady_now();
  run_until([&] { return steady_now() - from > 1'300'000; });
  EXPECT_TRUE(confirmed_.empty());
  EXPECT_TRUE(call(replying("200"), 500'000).reply_unverified);
  run_until([this] { return !confirmed_.empty(); });
  EXPECT_EQ(confirmed_.size(), 1u);
  EXPECT_TRUE(doubtful_.empty());
  EXPECT_EQ(host_.connections(), 1);
}

TEST_F(UpstreamTest, AReplyThatNothingConfirmsIsInDoubtBeforeItsMessagesTimeIsUp) {
  call(replying("200"));
  message_due_ = steady_now() + 2'000'000;
  EXPECT_TRUE(call(replying("200"), 500'000).reply_unverified);
  run_until([this] { return !doubtful_.empty(); });
  EXPECT_LT(steady_now(), message_due_);
  EXPECT_TRUE(confirmed_.empty());
}

TEST_F(UpstreamTest, AConnectionThatEndsEarlyLeavesItsReplyInDoubt) {
  call(replying("200"));
  EXPECT_TRUE(call(replying("200")).reply_unverified);
  host_.close();
  run_until([this] { return !doubtful_.empty(); });
}

TEST_F(UpstreamTest, ARefusalThatMayBeACopyEndsTheCall) {
  EXPECT_FALSE(call(replying("503")).reply_unverified);
  const AttemptEnded end = call([](FakeHost& host) {
    host.next_request();
    host.respond("503");
    EXPECT_TRUE(host.closed_by_peer());
  });
  EXPECT_EQ(end.outcome, Outcome::kRefused);
  EXPECT_TRUE(end.reply_unverified);
  EXPECT_EQ(host_.connections(), 1);
}

TEST_F(UpstreamTest, AMessageThatMayNotBeRepeatedIsSentOnlyWhereARefusalIsCertain) {
  call(replying("200"));
  may_repeat_ = false;
  EXPECT_EQ(call(replying("200"), 500'000).outcome, Outcome::kOk);  // after a delivery that is certain
  EXPECT_EQ(host_.connections(), 1);
  EXPECT_FALSE(call(replying("503")).reply_unverified);  // after one that is not
  EXPECT_EQ(host_.connections(), 2);
  EXPECT_FALSE(call(replying("503")).reply_unverified);  // after a refusal
  EXPECT_EQ(host_.connections(), 3);
}

// A host that hangs on the second call is silent as well, and its refusal of that call is read by the next.
TEST_F(UpstreamTest, ARefusalAfterASecondReplyFreesNoMessageHoweverLongTheConnectionWasQuiet) {
  EXPECT_FALSE(call(replying("200")).reply_unverified);
  EXPECT_TRUE(call(replying("200"), 500'000).reply_unverified);
  const Time from = steady_now();
  run_until([&] { return steady_now() - from > 1'300'000; });
  EXPECT_TRUE(call(replying("503")).reply_unverified);
  EXPECT_EQ(host_.connections(), 1);
}

TEST_F(UpstreamTest, AMessageThatMayNotBeRepeatedIsNotSentWhereTwoCallsWereHoweverLongItWasQuiet) {
  call(replying("200"));
  call(replying("200"), 500'000);
  const Time from = steady_now();
  run_until([&] { return steady_now() - from > 1'300'000; });
  may_repeat_ = false;
  EXPECT_FALSE(call(replying("503")).reply_unverified);
  EXPECT_EQ(host_.connections(), 2);
}

TEST_F(UpstreamTest, SurplusOfEachKindEndsTheUseOfAnIdleConnection) {
  const std::vector<std::string> kinds = {"HTTP/1.1 408 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
                                          "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 O",
                                          "more of the body than its Content-Length says"};
  for (const std::string& bytes : kinds) {
    FakeHost host;
    boost::asio::io_context io;
    std::optional<AttemptEnded> end;
    Upstream upstream(
        io, {1'000'000, 10'000'000, 16}, {}, [](const Call&) { return Upstream::StartDecision::kYes; },
        [](const Endpoint&) { return true; }, [&](const AttemptEnded& out, bool) { end = out; },
        [](const ProbeEnded&) {});
    for (int i = 1; i <= 2; ++i) {
      end.reset();
      upstream.call(next_call(host.port()));
      std::thread answering([&] {
        host.next_request();
        host.respond("200");
      });
      while (!end) io.run_one();
      answering.join();
      EXPECT_EQ(end->outcome, Outcome::kOk) << bytes;
      EXPECT_FALSE(end->reply_unverified) << bytes;
      host.send_raw(bytes);
      while (upstream.counters().surplus_replies < static_cast<uint64_t>(i)) {
        if (i == 2) break;  // the host is under suspicion: its second connection was closed after the reply
        io.run_one();
      }
    }
    EXPECT_EQ(host.connections(), 2) << bytes;
  }
}

TEST_F(UpstreamTest, BlankLinesAfterAReplyAreNoSurplus) {
  call([](FakeHost& host) {
    host.next_request();
    host.send_raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi\r\n\r\n");
  });
  EXPECT_EQ(call(replying("200")).outcome, Outcome::kOk);
  EXPECT_EQ(host_.connections(), 1);
  EXPECT_EQ(upstream_.counters().surplus_replies, 0u);
}

TEST_F(UpstreamTest, ASurplusReplyThatSaysToWaitIsReported) {
  call(replying("200"));
  host_.respond("429", "Retry-After: 2.5\r\n");
  run_until([this] { return surplus_retry_after_ != 0; });
  EXPECT_EQ(surplus_retry_after_, 2'500'000);
}

TEST_F(UpstreamTest, AReplyAheadOfTheFirstRequestAnswersNothing) {
  for (const auto& [status, outcome] : std::vector<std::pair<std::string, Outcome>>{
           {"408", Outcome::kConnectFailed}, {"200", Outcome::kConnectFailed}, {"503", Outcome::kRefused}}) {
    Socket listener = Socket::listen();
    Socket connection;
    at_start_ = [&] {  // between the connection's start and the request's first byte
      connection = listener.accept();
      connection.send("HTTP/1.1 " + status + " x\r\nContent-Length: 0\r\n\r\n");
    };
    const AttemptEnded end = call_to(listener.port(), 20'000'000);
    EXPECT_EQ(end.outcome, outcome) << status;
    EXPECT_FALSE(end.final) << status;
    EXPECT_FALSE(started_) << status;
    EXPECT_TRUE(connection.closed_by_peer()) << status;
  }
}

// A field read as zero would be taken for a limit or a load of zero.
TEST_F(UpstreamTest, DropsAReportThatItCannotRead) {
  for (const std::string report : {"x0=0.5,x1=?", "x0=nan,x1=25", "x0=-1,x1=25", "x0", "x0=0.5 x1=25"}) {
    EXPECT_TRUE(call(replying("200", "X-Load-Report: " + report + "\r\n")).report.empty()) << report;
  }
  EXPECT_EQ(call(replying("200", "X-Load-Report: x0=0.5,x9=a,x1=2\r\n")).report,
            (std::vector<float>{0.5, 2}));
}

TEST_F(UpstreamTest, HeedsNoWaitThatIsNoNumber) {
  for (const std::string wait : {"nan", "-5", "soon", "1.5x", "inf"}) {
    const AttemptEnded end = call(replying("429", "Retry-After: " + wait + "\r\n"));
    EXPECT_EQ(end.outcome, Outcome::kRefused);
    EXPECT_EQ(end.retry_after, 0) << wait;
  }
  EXPECT_EQ(call(replying("429", "Retry-After: 1e30\r\n")).retry_after, 24 * Time{3600'000'000});
}

// A Retry-After used to be limited to the longest lifetime of a message: where messages live for 5 s, one
// of 10.8 s ended after 5 s, and later messages were sent too early.
TEST_F(UpstreamTest, AWaitIsNotCutShort) {
  EXPECT_EQ(call(replying("429", "Retry-After: 10.8\r\n")).retry_after, 10'800'000);
  EXPECT_EQ(call(replying("429", "Retry-After: 3600.5\r\n")).retry_after, 3600'500'000);
}

}  // namespace
}  // namespace firspool::relay

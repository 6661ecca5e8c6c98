// The stand-ins on real sockets: what a silent, a refusing, a replaced and a draining machine looks like to a
// caller.
#include <gtest/gtest.h>
#include <stdlib.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "standins/agent.h"
#include "standins/endpoints.h"
#include "standins/front.h"
#include "standins/process.h"

namespace umberhoist::standins {
namespace {

using Error = boost::system::error_code;

struct Seen : Observer {
  std::vector<Call> calls;
  std::vector<std::pair<CallEnd, Time>> ends;
  std::vector<std::string> clients;
  std::vector<std::pair<uint64_t, bool>> notices;
  std::vector<std::pair<int, HostState>> tellings;
  int ran_count = 0;

  void on_call(Time, const Call& call) override { calls.push_back(call); }
  void on_executed(Time, uint64_t, bool) override { ++ran_count; }
  void on_call_ended(Time, uint64_t, CallEnd end, Time wait) override { ends.emplace_back(end, wait); }
  void on_submitted(Time, const Submission&, uint64_t) override { clients.push_back("handed"); }
  void on_connect_failed(Time, const Submission&) override { clients.push_back("not reached"); }
  void on_accepted(Time, uint64_t) override { clients.push_back("taken"); }
  void on_refused(Time, uint64_t, Time after) override {
    clients.push_back("busy " + std::to_string(after / 1000));
  }
  void on_failed(Time, uint64_t, const std::string&) override { clients.push_back("failed"); }
  void on_no_reply(Time, uint64_t, NoReplyReason how) override {
    clients.push_back(how == NoReplyReason::kTimeout            ? "gave up"
                      : how == NoReplyReason::kConnectionClosed ? "closed"
                                                                : "died");
  }
  void on_notice(Time, int, uint64_t id, bool returned, Time) override { notices.emplace_back(id, returned); }
  void on_relay_notified(Time, int, int endpoint, HostState phase) override {
    tellings.emplace_back(endpoint, phase);
  }
};

struct World {
  boost::asio::io_context io;
  Seen seen;
  std::optional<int> gate;
  Endpoints endpoints{io, limits(), seen, [] { return 0.5; }, [this](uint64_t) { return gate; }};

  static Endpoints::Options limits() {
    Endpoints::Options out;
    out.idle_timeout = 300 * kMillisecond;
    return out;
  }
  World() {
    PartnerSettings s;
    s.mean_service_time = 5 * kMillisecond;
    s.cv = 0;
    endpoints.add_partner(7, s);
    endpoints.open({1, 7, 0});
  }

  // Runs the loop until it holds; false if it does not within a time that only a failure reaches.
  template <class Holds>
  bool until(Holds holds) {
    const Time deadline = steady_now() + 20 * kSecond;
    while (!holds()) {
      if (steady_now() > deadline) return false;
      io.restart();
      io.run_one_for(std::chrono::milliseconds(10));
    }
    return true;
  }
  void pass(Time time) {
    io.restart();
    io.run_for(std::chrono::microseconds(time));
  }
};

// A caller on a socket of its own, driven by the same loop.
struct Caller {
  explicit Caller(World& w, int endpoint = 1) : world(w), socket(w.io) {
    socket.async_connect({boost::asio::ip::address_v4::loopback(), w.endpoints.port(endpoint, 0)},
                         [this](const Error& error) {
                           state = error ? "refused" : "up";
                           if (!error) read();
                         });
  }
  void read() {
    socket.async_read_some(boost::asio::buffer(bytes), [this](const Error& error, size_t count) {
      text.append(bytes, count);
      if (error) {
        state = error == boost::asio::error::eof ? "ended" : "reset";
      } else {
        read();
      }
    });
  }
  void call(uint64_t id = 5, const std::string& body = "body") {
    boost::asio::write(socket, boost::asio::buffer("POST /events HTTP/1.1\r\nX-Call-Id: " + hex(id) +
                                                   "\r\nContent-Length: " + std::to_string(body.size()) +
                                                   "\r\n\r\n" + body));
  }
  bool up() {
    return world.until([this] { return state != ""; }) && state == "up";
  }

  World& world;
  tcp::socket socket;
  char bytes[4096];
  std::string state;
  std::string text;
};

TEST(Standins, ACallIsSeenRunsAndIsAnswered) {
  World w;
  Caller c(w);
  ASSERT_TRUE(c.up());
  c.call(5, "some body");
  ASSERT_TRUE(w.until([&] { return !w.seen.ends.empty(); }));
  EXPECT_EQ(w.seen.calls.at(0).id, 5u);
  EXPECT_EQ(w.seen.calls.at(0).body, hash_bytes("some body"));
  EXPECT_EQ(w.seen.ends.at(0).first, CallEnd::kDelivered);
  EXPECT_EQ(w.seen.ran_count, 1);
  ASSERT_TRUE(w.until([&] { return c.text.starts_with("HTTP/1.1 200"); }));
}

// 20 s of silence with no reset, in the small.
TEST(Standins, ASilentMachineAnswersNothingResetsNothingAndLetsNoneIn) {
  World w;
  Caller before(w);
  ASSERT_TRUE(before.up());
  w.endpoints.begin_fault(7, Fault::kSilent, steady_now() + kSecond, 0, false);
  before.call();
  Caller during(w);
  w.pass(600 * kMillisecond);
  EXPECT_EQ(before.text, "");
  EXPECT_EQ(before.state, "up");
  EXPECT_EQ(during.state, "");  // its connection never comes up
  EXPECT_EQ(w.seen.calls.size(), 1u);
  EXPECT_EQ(w.seen.ran_count, 0);
  w.endpoints.end_fault(7);
  ASSERT_TRUE(w.until([&] { return before.state == "reset"; }));  // it is back, and knows nothing of it
  Caller after(w);
  ASSERT_TRUE(after.up());
  after.call(6);
  ASSERT_TRUE(w.until([&] { return after.text.starts_with("HTTP/1.1 200"); }));
}

TEST(Standins, ARefusingMachineKeepsItsPort) {
  World w;
  const uint16_t port = w.endpoints.port(1, 0);
  Caller before(w);
  ASSERT_TRUE(before.up());
  w.endpoints.begin_fault(7, Fault::kConnectionRefused, steady_now() + kSecond, 0, false);
  Caller during(w);
  ASSERT_TRUE(w.until([&] { return during.state != "" && before.state != "up"; }));
  EXPECT_EQ(during.state, "refused");
  EXPECT_EQ(before.state, "reset");
  w.endpoints.end_fault(7);
  EXPECT_EQ(w.endpoints.port(1, 0), port);
  Caller after(w);
  EXPECT_TRUE(after.up());
}

TEST(Standins, AHungMachineTakesCallsAndAnswersNone) {
  World w;
  w.endpoints.begin_fault(7, Fault::kHang, steady_now() + kSecond, 0, false);
  Caller c(w);
  ASSERT_TRUE(c.up());
  c.call();
  ASSERT_TRUE(w.until([&] { return w.seen.calls.size() == 1; }));
  w.pass(100 * kMillisecond);
  EXPECT_EQ(c.text, "");
  c.socket.close();
  ASSERT_TRUE(w.until([&] { return !w.seen.ends.empty(); }));
  EXPECT_EQ(w.seen.ends.at(0).first, CallEnd::kAbandoned);
}

TEST(Standins, ANewcomerMayComeUpAtTheAddressOfOneThatHasGone) {
  World w;
  const uint16_t port = w.endpoints.port(1, 0);
  Caller before(w);
  ASSERT_TRUE(before.up());
  w.endpoints.drain(1);
  before.call();
  ASSERT_TRUE(w.until([&] { return before.text.starts_with("HTTP/1.1 503"); }));
  w.endpoints.close(1);
  ASSERT_TRUE(w.until([&] { return before.state != "up"; }));
  w.endpoints.open({2, 7, 0}, 1);
  EXPECT_EQ(w.endpoints.port(2, 0), port);
  Caller after(w, 2);
  ASSERT_TRUE(after.up());
  after.call(6);
  ASSERT_TRUE(w.until([&] { return w.seen.calls.size() == 2; }));
  EXPECT_EQ(w.seen.calls.at(1).endpoint, 2);
}

TEST(Standins, ACallThatCrossesTheCloseOfAnIdleConnectionIsSeenAndReset) {
  World w;
  Caller c(w);
  ASSERT_TRUE(c.up());
  ASSERT_TRUE(w.until([&] { return c.state == "ended"; }));  // idle for too long
  c.call();
  ASSERT_TRUE(w.until([&] { return !w.seen.ends.empty(); }));
  EXPECT_EQ(w.seen.ends.at(0).first, CallEnd::kReset);
  EXPECT_EQ(w.seen.ran_count, 0);
}

TEST(Standins, OverItsConnectionsAnEndpointTurnsAway) {
  World w;
  w.endpoints.open({2, 7, 1});
  Caller first(w, 2), second(w, 2);
  ASSERT_TRUE(first.up() && second.up());
  first.call();
  second.call(6);
  ASSERT_TRUE(w.until([&] { return w.seen.ends.size() == 2; }));
  const int delivered =
      (w.seen.ends[0].first == CallEnd::kDelivered) + (w.seen.ends[1].first == CallEnd::kDelivered);
  EXPECT_EQ(delivered, 1);
}

TEST(Standins, TheGateAnswers410And504) {
  for (const int status : {410, 504}) {
    World w;
    w.gate = status;
    Caller c(w);
    ASSERT_TRUE(c.up());
    c.call();
    ASSERT_TRUE(w.until([&] { return !c.text.empty(); }));
    EXPECT_TRUE(c.text.starts_with("HTTP/1.1 " + std::to_string(status)));
    EXPECT_EQ(w.seen.ran_count, 0);
  }
}

TEST(Standins, WhatIsNoHttpIsAnswered400AndClosed) {
  World w;
  Caller c(w);
  ASSERT_TRUE(c.up());
  boost::asio::write(c.socket, boost::asio::buffer(std::string("no line of HTTP\r\n\r\n")));
  ASSERT_TRUE(w.until([&] { return c.state == "ended"; }));
  EXPECT_TRUE(c.text.starts_with("HTTP/1.1 400"));
}

// ---- The agent ----

struct AgentWorld {
  boost::asio::io_context io;
  Seen seen;
  DiscoveryAgent agent{io, 0, seen};
  tcp::socket socket{io};
  std::string text;
  bool ended = false;
  char bytes[8192];

  void connect(const std::string& request) {
    const std::string at = agent.address();
    socket = tcp::socket(io);
    socket.async_connect({boost::asio::ip::address_v4::loopback(),
                          static_cast<uint16_t>(std::stoi(at.substr(at.find(':') + 1)))},
                         [this, request](const Error& error) {
                           if (error) return;
                           boost::asio::write(socket, boost::asio::buffer(request));
                           read();
                         });
  }
  void read() {
    socket.async_read_some(boost::asio::buffer(bytes), [this](const Error& error, size_t count) {
      text.append(bytes, count);
      if (error) {
        ended = true;
      } else {
        read();
      }
    });
  }
  bool until(const std::function<bool()>& holds) {
    const Time deadline = steady_now() + 20 * kSecond;
    while (!holds()) {
      if (steady_now() > deadline) return false;
      io.restart();
      io.run_one_for(std::chrono::milliseconds(10));
    }
    return true;
  }
  static ListEntry entry(int number, HostState phase = HostState::kActive) {
    ListEntry out;
    out.endpoint = number;
    out.id = "s-" + std::to_string(number);
    out.host_port = "127.0.0.1:1";
    out.phase = phase;
    return out;
  }
};

const std::string kWatch = "GET /api/targets?stream=1&index=-1 HTTP/1.1\r\nHost: a\r\n\r\n";

TEST(Standins, AWatchGetsTheWholeListAndThenEachChange) {
  AgentWorld w;
  w.agent.apply_update({AgentWorld::entry(1), AgentWorld::entry(2)});
  w.connect(kWatch);
  ASSERT_TRUE(w.until([&] { return w.seen.tellings.size() == 2; }));
  w.agent.apply_update({AgentWorld::entry(1, HostState::kDraining)});
  ASSERT_TRUE(w.until([&] { return w.text.find("leaving") != std::string::npos; }));
  ASSERT_TRUE(w.until([&] { return w.seen.tellings.size() == 3; }));
  EXPECT_EQ(w.seen.tellings.back(), (std::pair<int, HostState>{1, HostState::kDraining}));
}

TEST(Standins, AMutedAgentTakesNoticesAndTellsTheRestLater) {
  AgentWorld w;
  w.agent.apply_update({AgentWorld::entry(1)});
  w.agent.set_silent(true);
  w.connect(kWatch);
  const std::string body = "{\"id\":\"00000000000000a1\",\"state\":\"returned\",\"after_ms\":5}\n";
  tcp::socket poster(w.io);
  const std::string at = w.agent.address();
  poster.connect({boost::asio::ip::address_v4::loopback(),
                  static_cast<uint16_t>(std::stoi(at.substr(at.find(':') + 1)))});
  boost::asio::write(poster, boost::asio::buffer("POST /v2/finals HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                                                 std::to_string(body.size()) + "\r\n\r\n" + body));
  ASSERT_TRUE(w.until([&] { return w.seen.notices.size() == 1; }));
  EXPECT_EQ(w.seen.notices[0], (std::pair<uint64_t, bool>{0xa1, true}));
  EXPECT_EQ(w.text, "");
  w.agent.set_silent(false);
  ASSERT_TRUE(w.until([&] { return w.seen.tellings.size() == 1; }));
}

TEST(Standins, AnAgentThatMovesEndsItsOldConnectionsAfterTheGrace) {
  AgentWorld w;
  w.agent.apply_update({AgentWorld::entry(1)});
  w.connect(kWatch);
  ASSERT_TRUE(w.until([&] { return w.seen.tellings.size() == 1; }));
  const std::string before = w.agent.address();
  w.agent.move_to_new_port(50 * kMillisecond);
  EXPECT_NE(w.agent.address(), before);
  EXPECT_TRUE(w.until([&] { return w.ended; }));
}

// ---- A relay's process ----

// It gets none of the kit's sockets, and no more descriptors than its limit.
TEST(Standins, AProcessInheritsNoDescriptorAndKeepsItsLimit) {
  World w;  // sockets that a child could inherit
  std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-process-XXXXXX";
  const std::filesystem::path folder = ::mkdtemp(pattern.data());
  const std::filesystem::path program = folder / "program";
  std::ofstream(program) << "#!/bin/sh\nls /proc/self/fd | wc -l\nulimit -n\n";
  std::filesystem::permissions(program, std::filesystem::perms::owner_all);
  {
    RelayProcess process(program, folder / "n0", 77);
    process.start();
    ASSERT_TRUE(w.until([&] { return process.has_exited(); }));
  }
  std::ifstream log(folder / "n0/log");
  int descriptors = 0, limit = 0;
  log >> descriptors >> limit;
  EXPECT_GT(descriptors, 0);
  EXPECT_LE(descriptors, 5);  // the standard ones and what ls opens itself
  EXPECT_EQ(limit, 77);
  std::filesystem::remove_all(folder);
}

// ---- Clients ----

struct Relay {  // answers a request with the next of its lines; "" closes
  Relay(boost::asio::io_context& context, std::vector<std::string> lines)
      : io(context), acceptor(io, {boost::asio::ip::address_v4::loopback(), 0}), answers(std::move(lines)) {
    accept();
  }
  void accept() {
    acceptor.async_accept([this](const Error& error, tcp::socket socket) {
      if (error) return;
      sockets.push_back(std::make_shared<tcp::socket>(std::move(socket)));
      serve(sockets.back());
      accept();
    });
  }
  void serve(const std::shared_ptr<tcp::socket>& socket) {
    socket->async_read_some(boost::asio::buffer(bytes), [this, socket](const Error& error, size_t) {
      if (error || next == answers.size()) return;
      const std::string line = answers[next++];
      if (line.empty()) return socket->close();
      if (line != "silence") boost::asio::write(*socket, boost::asio::buffer(line + "\r\n"));
      serve(socket);
    });
  }
  boost::asio::io_context& io;
  tcp::acceptor acceptor;
  std::vector<std::string> answers;
  size_t next = 0;
  std::vector<std::shared_ptr<tcp::socket>> sockets;
  char bytes[4096];
};

std::vector<std::string> heard_by_client(std::vector<std::string> answers, size_t events, bool down = false) {
  World w;
  Relay relay(w.io, std::move(answers));
  LoadGenerator front(w.io, {relay.acceptor.local_endpoint()}, {}, w.seen, [down](int) { return down; });
  Submission h;
  h.id = 9;
  front.submit(h, "c=a,d=1000,dest=7", "body");
  EXPECT_TRUE(w.until([&] { return w.seen.clients.size() >= events; }));
  return w.seen.clients;
}

TEST(Standins, AClientHearsEachKindOfAnswer) {
  using Words = std::vector<std::string>;
  EXPECT_EQ(heard_by_client({"+OK"}, 2), (Words{"handed", "taken"}));
  EXPECT_EQ(heard_by_client({"$2\r\nok"}, 2), (Words{"handed", "taken"}));
  EXPECT_EQ(heard_by_client({"-BUSY"}, 2), (Words{"handed", "busy 0"}));
  EXPECT_EQ(heard_by_client({"-BUSY 750"}, 2), (Words{"handed", "busy 750"}));
  EXPECT_EQ(heard_by_client({"-ERR no"}, 2), (Words{"handed", "failed"}));
  EXPECT_EQ(heard_by_client({"silence"}, 2), (Words{"handed", "gave up"}));
}

TEST(Standins, ARequestThatCrossesACloseIsSentOnceMoreAndThenItIsLost) {
  using Words = std::vector<std::string>;
  EXPECT_EQ(heard_by_client({"", "+OK"}, 2), (Words{"handed", "taken"}));
  EXPECT_EQ(heard_by_client({"", ""}, 2), (Words{"handed", "closed"}));
  EXPECT_EQ(heard_by_client({"", ""}, 2, true), (Words{"handed", "died"}));
}

}  // namespace
}  // namespace umberhoist::standins

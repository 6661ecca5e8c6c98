// Several daemons and one destination that fails and comes back: what all of them together send to it while
// it is in slow start.
#include <cmath>

#include "peers.h"

namespace firspool::testing {
namespace {

constexpr int kRelays = 16;
constexpr int kDestination = 7;
constexpr int kMarkerDestination = 8;    // named by later lists only: who knows it has read them
constexpr int kMessagesAfterReturn = 3;  // handed to each relay
constexpr double kCapacity = 8;          // calls a second that the list tells of the destination
constexpr double kOverloadFactor = 2;
constexpr double kStartCapacity = 0.21;
constexpr double kSlowStartSeconds = 12;
constexpr double kWindowSeconds = 3;

// Calls that the destination may get in the first overload window after its return.
double tolerated_calls() {
  const double mean_capacity =
      kStartCapacity + (1 - kStartCapacity) * kWindowSeconds / (2 * kSlowStartSeconds);
  const double budget = kOverloadFactor * mean_capacity * kCapacity * kWindowSeconds;
  return budget < 30 ? budget + 3 * std::sqrt(budget) + 3 : budget + 2 * std::sqrt(budget) + 2;
}

// How a host fails the calls that it gets.
enum class Failure {
  kNone,
  kReset,    // the call's connection is reset
  kSilence,  // the call is read and never answered
  kRefusal,  // the call is answered with 503
};

// A host that serves any number of connections, and fails calls on request.
class FailingHost {
 public:
  FailingHost() {
    acceptor_ = std::thread([this] {
      for (Socket connection = listener_.accept(); connection.is_open(); connection = listener_.accept()) {
        const std::lock_guard lock(mutex_);
        if (stopped_) return;
        threads_.emplace_back([this, socket = std::move(connection)]() mutable { serve(socket); });
      }
    });
  }
  ~FailingHost() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    Socket::connect(listener_.port());  // wakes the acceptor
    acceptor_.join();
    for (std::thread& thread : threads_) thread.join();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
  void set_failure(Failure failure) {
    const std::lock_guard lock(mutex_);
    failure_ = failure;
    served_ = failed_ = unanswered_ = 0;
  }
  // Waits until this many calls were served since the last change, or the time is over; the number of calls.
  int wait_for_calls(int count, std::chrono::milliseconds time) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, time, [&] { return served_ >= count; });
    return served_;
  }
  // The same for calls that were read and not answered.
  int wait_for_unanswered_calls(int count) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::milliseconds(kDeadlineMs), [&] { return unanswered_ >= count; });
    return unanswered_;
  }
  // The same for calls that failed; an unanswered one counts once its caller has given it up.
  int wait_for_failed_calls(int count) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::milliseconds(kDeadlineMs), [&] { return failed_ >= count; });
    return failed_;
  }

 private:
  void serve(Socket& socket) {
    while (read_request(socket)) {
      const Failure failure = count_call();
      if (failure == Failure::kReset) return socket.reset();
      if (failure == Failure::kSilence) {
        socket.drained_until_closed();
        return count_failed_call();
      }
      const std::string status = failure == Failure::kRefusal ? "503 no" : "200 OK";
      if (!socket.send("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n")) return;
    }
  }

  Failure count_call() {
    const std::lock_guard lock(mutex_);
    served_ += failure_ == Failure::kNone;
    unanswered_ += failure_ == Failure::kSilence;
    failed_ += failure_ == Failure::kReset || failure_ == Failure::kRefusal;
    changed_.notify_all();
    return failure_;
  }
  void count_failed_call() {
    const std::lock_guard lock(mutex_);
    ++failed_;
    changed_.notify_all();
  }

  Socket listener_ = Socket::listen();
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;
  Failure failure_ = Failure::kNone;
  int served_ = 0;
  int failed_ = 0;
  int unanswered_ = 0;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

class SlowStart : public ::testing::Test {
 protected:
  void SetUp() override {
    for (int i = 0; i < kRelays; ++i) {
      nlohmann::json config = config_json(discovery_.address(), {listed_host("s-1", host_)});
      config["seed"] = std::to_string(1000 + i);
      nlohmann::json& settings = config["settings"];
      settings["me"] = i;
      settings["siblings"] = kRelays;
      settings["family_info"]["kind_apart"] = {endpoints_are_independent()};
      settings["obligations"]["cold_s"] = kSlowStartSeconds;
      settings["obligations"]["fall_s"] = kWindowSeconds;
      settings["obligations"]["fall_multiple"] = kOverloadFactor;
      settings["obligations"]["start_capacity"] = kStartCapacity;
      relays_.push_back(std::make_unique<RelayProcess>(config));
      relays_.back()->start();
    }
  }

  virtual bool endpoints_are_independent() const { return false; }

  static nlohmann::json listed_host(const std::string& id, const FailingHost& host,
                                    const std::string& phase = "active") {
    nlohmann::json member = member_json(id, host.address(), kDestination, phase);
    member["size"] = kCapacity;
    return member;
  }

  // Hands a message to a relay; returns its reply.
  std::string put(RelayProcess& relay, const std::string& message_class, int destination) {
    Socket client = relay.client();
    char id[17];
    std::snprintf(id, sizeof id, "%016d", ++last_id_);
    client.send(put_command(
        id, "c=" + message_class + ",d=60000,k=5c0f6e1a2b3d4c59,dest=" + std::to_string(destination)));
    return client.read_line();
  }

  // By default the messages must not be repeated.
  void put_one_each(const std::string& message_class = "unsafe") {
    for (const auto& relay : relays_) ASSERT_EQ(put(*relay, message_class, kDestination), "+OK");
  }

  void let_each_see_one_call_fail() {
    put_one_each();
    ASSERT_EQ(host_.wait_for_calls(kRelays, std::chrono::milliseconds(kDeadlineMs)), kRelays);
    host_.set_failure(Failure::kReset);
    put_one_each();
    for (int i = 0; i < kRelays; ++i) ASSERT_EQ(discovery_.next_notice()["state"], "failed");
  }

  // The outage lasts longer than a failure that the next call of the same relay could disprove.
  void let_probation_begin() { ASSERT_EQ(host_.wait_for_calls(1, std::chrono::milliseconds(1500)), 0); }

  void kill_and_start_all() {
    for (const auto& relay : relays_) relay->kill();
    for (const auto& relay : relays_) relay->start();
  }

  // `host` serves the destination from now on.
  void expect_no_overload_after_return(FailingHost& host) {
    host.set_failure(Failure::kNone);
    for (int i = 0; i < kMessagesAfterReturn; ++i) put_one_each();
    const int tolerated = static_cast<int>(tolerated_calls());
    const auto window = std::chrono::milliseconds(static_cast<int>(1000 * kWindowSeconds));
    const int calls = host.wait_for_calls(tolerated + 1, window);
    EXPECT_LE(calls, tolerated);
    EXPECT_GT(calls, 0);
  }

  // A call of each relay is served, and the next one is sent to the host once it fails.
  void send_calls_that_fail(Failure failure) {
    put_one_each("safe");
    ASSERT_EQ(host_.wait_for_calls(kRelays, std::chrono::milliseconds(kDeadlineMs)), kRelays);
    host_.set_failure(failure);
    put_one_each("safe");
  }

  // No relay has news of the host for longer than a short outage lasts.
  void let_knowledge_age() {
    ASSERT_EQ(host_.wait_for_calls(kRelays + 1, std::chrono::milliseconds(5500)), kRelays);
  }

  // Waits until each relay has seen at least one call fail.
  void wait_for_each_to_see_a_failure() {
    ASSERT_GE(host_.wait_for_failed_calls(kRelays), kRelays);
    // Longer than a failure that the next call could disprove, and than refusals at a rate limit.
    ASSERT_EQ(host_.wait_for_calls(1, std::chrono::milliseconds(3000)), 0);
  }

  // Replaces the destination's host, and waits until all relays know.
  void replace_host() { publish({listed_host("s-1", host_, "left"), listed_host("s-2", replacement_)}); }

  void publish(std::vector<nlohmann::json> members) {
    members.push_back(member_json("s-3", marker_.address(), kMarkerDestination));
    discovery_.publish(list_json(2, false, std::move(members)));
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(kDeadlineMs);
    for (const auto& relay : relays_) {
      while (put(*relay, "safe", kMarkerDestination) != "+OK")
        ASSERT_LT(std::chrono::steady_clock::now(), deadline);
    }
  }

  FailingHost host_;
  FailingHost replacement_;
  FailingHost marker_;
  FakeDiscovery discovery_;
  std::vector<std::unique_ptr<RelayProcess>> relays_;
  int last_id_ = 0;
};

TEST_F(SlowStart, RelaysThatSawOneCallFailDoNotOverloadTheDestinationTogether) {
  let_each_see_one_call_fail();
  let_probation_begin();
  expect_no_overload_after_return(host_);
}

TEST_F(SlowStart, RelaysThatAreKilledAfterOneFailedCallDoNotOverloadTheDestinationTogether) {
  let_each_see_one_call_fail();
  let_probation_begin();
  kill_and_start_all();
  expect_no_overload_after_return(host_);
}

class IndependentEndpoint : public SlowStart {
  bool endpoints_are_independent() const override { return true; }
};

// Guards against relays whose folders keep nothing of an endpoint that has outages of its own.
TEST_F(IndependentEndpoint, IsNotOverloadedByRelaysThatAreKilledAfterOneFailedCall) {
  let_each_see_one_call_fail();
  let_probation_begin();
  kill_and_start_all();
  expect_no_overload_after_return(host_);
}

// Guards against relays that forget a failed call because they are killed before it puts them on probation.
TEST_F(SlowStart, RelaysThatAreKilledAsACallFailsDoNotOverloadTheDestinationTogether) {
  let_each_see_one_call_fail();
  kill_and_start_all();
  expect_no_overload_after_return(host_);
}

// Guards against relays that take silence for health: each sends on while its only call has no answer.
TEST_F(SlowStart, RelaysWithOneUnansweredCallEachDoNotOverloadTheDestinationTogether) {
  put_one_each("safe");
  ASSERT_EQ(host_.wait_for_calls(kRelays, std::chrono::milliseconds(kDeadlineMs)), kRelays);
  let_knowledge_age();
  host_.set_failure(Failure::kSilence);
  put_one_each("safe");
  ASSERT_EQ(host_.wait_for_unanswered_calls(kRelays), kRelays);
  ASSERT_EQ(host_.wait_for_calls(1, std::chrono::milliseconds(1000)), 0);
  expect_no_overload_after_return(host_);
}

// Guards against relays that forget an outage when the list replaces the host that failed.
class ReplacedHost : public SlowStart, public ::testing::WithParamInterface<Failure> {};

TEST_P(ReplacedHost, IsNotOverloadedByRelaysThatSawTheFormerOneFail) {
  send_calls_that_fail(GetParam());
  wait_for_each_to_see_a_failure();
  replace_host();
  expect_no_overload_after_return(replacement_);
}

// Guards against relays that pass over a call which fails only after the list has removed its host.
TEST_F(SlowStart, RelaysWhoseCallsTimeOutOnARemovedHostDoNotOverloadItsReplacement) {
  replacement_.set_failure(Failure::kSilence);
  send_calls_that_fail(Failure::kSilence);
  replace_host();
  wait_for_each_to_see_a_failure();
  expect_no_overload_after_return(replacement_);
}

// Guards against relays that take a restarted host for warm, as none of their calls failed there.
TEST_F(SlowStart, RelaysThatSawNoCallFailDoNotOverloadAHostThatTheListSaysWasRestarted) {
  put_one_each("safe");
  ASSERT_EQ(host_.wait_for_calls(kRelays, std::chrono::milliseconds(kDeadlineMs)), kRelays);
  nlohmann::json restarted = listed_host("s-1", host_);
  restarted["up_since_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count();
  publish({restarted});
  expect_no_overload_after_return(host_);
}

std::string name_of(Failure failure) {
  switch (failure) {
    case Failure::kNone:
      return "None";
    case Failure::kReset:
      return "Reset";
    case Failure::kSilence:
      return "Silence";
    case Failure::kRefusal:
      return "Refusal";
  }
  return "Unknown";
}

INSTANTIATE_TEST_SUITE_P(Failures, ReplacedHost,
                         ::testing::Values(Failure::kReset, Failure::kSilence, Failure::kRefusal),
                         [](const auto& parameter) { return name_of(parameter.param); });

}  // namespace
}  // namespace firspool::testing

// Several daemons and one destination that fails and comes back: what all of them together send to it while
// it is in slow start.
#include <cmath>

#include "peers.h"

namespace firspool::testing {
namespace {

constexpr int kRelays = 16;
constexpr int kDestination = 7;
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

// A host that serves any number of connections, and resets those on which a call arrives while it is failing.
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
  void set_failing(bool failing) {
    const std::lock_guard lock(mutex_);
    failing_ = failing;
    served_ = 0;
  }
  // Waits until this many calls were served since the last change, or the time is over; the number of calls.
  int wait_for_calls(int count, std::chrono::milliseconds time) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, time, [&] { return served_ >= count; });
    return served_;
  }

 private:
  void serve(Socket& socket) {
    while (read_request(socket)) {
      {
        const std::lock_guard lock(mutex_);
        if (failing_) return socket.reset();
        ++served_;
      }
      changed_.notify_all();
      if (!socket.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) return;
    }
  }

  Socket listener_ = Socket::listen();
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;
  bool failing_ = false;
  int served_ = 0;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

class SlowStart : public ::testing::Test {
 protected:
  void SetUp() override {
    for (int i = 0; i < kRelays; ++i) {
      nlohmann::json member = member_json("s-1", host_.address(), kDestination);
      member["size"] = kCapacity;
      nlohmann::json config = config_json(discovery_.address(), {member});
      config["seed"] = std::to_string(1000 + i);
      nlohmann::json& settings = config["settings"];
      settings["me"] = i;
      settings["siblings"] = kRelays;
      settings["obligations"]["cold_s"] = kSlowStartSeconds;
      settings["obligations"]["fall_s"] = kWindowSeconds;
      settings["obligations"]["fall_multiple"] = kOverloadFactor;
      settings["obligations"]["start_capacity"] = kStartCapacity;
      relays_.push_back(std::make_unique<RelayProcess>(config));
      relays_.back()->start();
    }
  }

  // Hands one message that must not be repeated to each relay.
  void put_one_each() {
    for (const auto& relay : relays_) {
      Socket client = relay->client();
      char id[17];
      std::snprintf(id, sizeof id, "%016d", ++last_id_);
      client.send(
          put_command(id, "c=unsafe,d=60000,k=5c0f6e1a2b3d4c59,dest=" + std::to_string(kDestination)));
      ASSERT_EQ(client.read_line(), "+OK");
    }
  }

  // The outage lasts longer than a failure that the next call of the same relay could disprove.
  void let_each_see_one_call_fail() {
    put_one_each();
    ASSERT_EQ(host_.wait_for_calls(kRelays, std::chrono::milliseconds(kDeadlineMs)), kRelays);
    host_.set_failing(true);
    put_one_each();
    for (int i = 0; i < kRelays; ++i) ASSERT_EQ(discovery_.next_notice()["state"], "failed");
    ASSERT_EQ(host_.wait_for_calls(1, std::chrono::milliseconds(1500)), 0);
  }

  void expect_no_overload_after_return() {
    host_.set_failing(false);
    for (int i = 0; i < kMessagesAfterReturn; ++i) put_one_each();
    const int tolerated = static_cast<int>(tolerated_calls());
    const auto window = std::chrono::milliseconds(static_cast<int>(1000 * kWindowSeconds));
    const int calls = host_.wait_for_calls(tolerated + 1, window);
    EXPECT_LE(calls, tolerated);
    EXPECT_GT(calls, 0);
  }

  FailingHost host_;
  FakeDiscovery discovery_;
  std::vector<std::unique_ptr<RelayProcess>> relays_;
  int last_id_ = 0;
};

TEST_F(SlowStart, RelaysThatSawOneCallFailDoNotOverloadTheDestinationTogether) {
  let_each_see_one_call_fail();
  expect_no_overload_after_return();
}

TEST_F(SlowStart, RelaysThatAreKilledAfterOneFailedCallDoNotOverloadTheDestinationTogether) {
  let_each_see_one_call_fail();
  for (const auto& relay : relays_) relay->kill();
  for (const auto& relay : relays_) relay->start();
  expect_no_overload_after_return();
}

}  // namespace
}  // namespace firspool::testing

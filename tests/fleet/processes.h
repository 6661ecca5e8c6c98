// Several processes of the real program, with a network between them that a test may break, their folders in
// its hands between starts, and an oracle that judges what they say of themselves and what hosts saw.
#pragma once

#include <gtest/gtest.h>
#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "ctl/fleet.h"
#include "tests/fleet/link.h"
#include "tests/peers.h"

namespace umberhoist::testing {

struct Status {  // as a relay tells it
  bool heard = false;
  std::map<std::string, std::string> words;  // the first word of a line, and the rest
  std::vector<std::string> members;
  std::vector<std::pair<uint64_t, uint64_t>> owns;
  uint64_t number(const std::string& word) const;
};

// What may never be, over all that any relay ever said.
class Oracle {
 public:
  void take(const std::string& relay, const Status& status);
  std::vector<std::string> breaches() const;

 private:
  struct Claim {
    int64_t at = 0;
    uint64_t epoch = 0, first = 0, last = 0;
    std::string relay;
  };
  mutable std::mutex mutex_;
  std::map<std::pair<uint64_t, uint64_t>, std::string> digests_;  // by generation and index
  std::vector<Claim> claims_;
  std::vector<std::string> breaches_;
};

class Relays {
 public:
  struct Options {
    size_t count = 3;
    size_t voters = 3;
    uint64_t seed = 1;
    std::string timing =
        "beat_ms = 100\nlease_ms = 700\ndead_ms = 1000\nelection_ms = 400\nheartbeat_ms = 80\n"
        "confirm_ms = 4000\nsettle_ms = 800\npropose_ms = 8000\n";
    std::string bounds = "share_factor = 4\nguard_s = 1\nrollout_s = 30\n";
    nlohmann::json config;  // of each relay, but for its own
    std::string program = UMBERHOIST;
  };

  explicit Relays(Options options);
  ~Relays();

  size_t count() const { return options_.count; }
  static std::string name(size_t relay) { return "n" + std::to_string(relay + 1); }
  void start(size_t relay);
  void start_all();
  void kill(size_t relay);
  void kill_all();  // in one instant, as far as signals go
  void signal(size_t relay, int number);
  int end_of(size_t relay);  // waits; exit status, minus the signal
  bool runs(size_t relay) const { return relays_[relay]->child > 0; }
  std::filesystem::path folder(size_t relay) const { return relays_[relay]->folder; }
  std::filesystem::path register_folder(size_t relay) const { return folder(relay) / "register"; }
  void configure(size_t relay, const nlohmann::json& config);
  nlohmann::json configuration(size_t relay) const { return relays_[relay]->config; }

  Network& network() { return *network_; }
  firspool::testing::Socket client(size_t relay) const;
  Status status(size_t relay);
  ctl::FleetReply ask(size_t relay, register_pb::Ask::Verb verb, const std::string& text = "");
  ctl::FleetReply except(size_t relay, uint64_t digest, const std::string& by, uint32_t minutes);
  std::string address(size_t relay) const;

  // True once a relay's log has a line that holds the text, the `times`-th of its kind over all its starts.
  bool wait_for(size_t relay, const std::string& text, int times = 1);
  int lines_with(size_t relay, const std::string& text) const;
  std::string log(size_t relay) const;

  // Waits until the condition holds, asking all relays again and again; false after the deadline.
  template <class Condition>
  bool until(Condition condition, int deadline_ms = firspool::testing::kDeadlineMs) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(deadline_ms);
    do {
      std::vector<Status> all;
      for (size_t i = 0; i < count(); ++i) all.push_back(runs(i) ? status(i) : Status{});
      if (condition(all)) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(30));  // between questions, not for an event
    } while (std::chrono::steady_clock::now() < end);
    return false;
  }
  // All that run hold one map, of at least this epoch, and every key is owned by one of them.
  static bool whole(const std::vector<Status>& all, uint64_t epoch = 1);
  bool comes_back_whole(uint64_t epoch = 1) {
    return until([&](const std::vector<Status>& all) { return whole(all, epoch); }, 60'000);
  }
  std::string describe();
  std::vector<std::string> breaches() const { return oracle_.breaches(); }

 private:
  struct Relay {
    std::filesystem::path folder;
    nlohmann::json config;
    std::atomic<pid_t> child = -1;
    std::atomic<uint16_t> clients = 0, fleet = 0;
    int log = -1;
    std::thread reader;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> lines;
  };
  void read_log(Relay& relay, int pipe);

  Options options_;
  std::filesystem::path folder_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::unique_ptr<Network> network_;
  Oracle oracle_;
};

}  // namespace umberhoist::testing

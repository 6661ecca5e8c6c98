// Several processes of the real program on a network whose links a test can break. The test may change their
// folders while they are down. Invariants are checked on every status that a relay reports.
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

struct Status {  // parsed answer to a status request
  bool received = false;
  std::map<std::string, std::string> fields;  // first word of a line -> the rest of the line
  std::vector<std::string> members;
  std::vector<std::pair<uint64_t, uint64_t>> owns;
  uint64_t number(const std::string& word) const;
};

// Checks invariants over all statuses reported by all relays.
class InvariantChecker {
 public:
  void record(const std::string& relay, const Status& status);
  std::vector<std::string> violations() const;

 private:
  struct Claim {
    int64_t at = 0;
    uint64_t epoch = 0, first = 0, last = 0;
    std::string relay;
  };
  mutable std::mutex mutex_;
  std::map<std::pair<uint64_t, uint64_t>, std::string> digests_;  // by generation and index
  std::vector<Claim> claims_;
  std::vector<std::string> violations_;
};

class RelayProcesses {
 public:
  struct Options {
    size_t count = 3;
    size_t voters = 3;
    uint64_t seed = 1;
    std::string timing =
        "beat_ms = 100\nlease_ms = 700\ndead_ms = 1000\nelection_ms = 400\nheartbeat_ms = 80\n"
        "confirm_ms = 4000\nsettle_ms = 800\npropose_ms = 8000\n";
    std::string bounds = "share_factor = 4\nguard_s = 1\nrollout_s = 30\n";
    nlohmann::json config;  // common to all relays
    std::string program = UMBERHOIST;
  };

  explicit RelayProcesses(Options options);
  ~RelayProcesses();

  size_t count() const { return options_.count; }
  static std::string name(size_t relay) { return "n" + std::to_string(relay + 1); }
  void start(size_t relay);
  void start_all();
  void kill(size_t relay);
  void kill_all();  // sends all signals before it waits
  void signal(size_t relay, int number);
  int wait_for_exit(size_t relay);  // exit status, or minus the number of the signal
  bool is_running(size_t relay) const { return relays_[relay]->child > 0; }
  std::filesystem::path folder(size_t relay) const { return relays_[relay]->folder; }
  std::filesystem::path register_folder(size_t relay) const { return folder(relay) / "register"; }
  void configure(size_t relay, const nlohmann::json& config);
  nlohmann::json configuration(size_t relay) const { return relays_[relay]->config; }

  Network& network() { return *network_; }
  firspool::testing::Socket client(size_t relay) const;
  Status status(size_t relay);
  ctl::FleetReply request(size_t relay, register_pb::Ask::Verb verb, const std::string& text = "");
  ctl::FleetReply approve_exception(size_t relay, uint64_t digest, const std::string& by, uint32_t minutes);
  std::string address(size_t relay) const;

  // Waits until `times` lines of the relay's log, over all its starts, contain the text.
  bool wait_for(size_t relay, const std::string& text, int times = 1);
  int lines_with(size_t relay, const std::string& text) const;
  std::string log(size_t relay) const;

  // Polls the status of all relays until the condition holds; false after the deadline.
  template <class Condition>
  bool until(Condition condition, int deadline_ms = firspool::testing::kDeadlineMs) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(deadline_ms);
    do {
      std::vector<Status> all;
      for (size_t i = 0; i < count(); ++i) all.push_back(is_running(i) ? status(i) : Status{});
      if (condition(all)) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(30));  // polling interval
    } while (std::chrono::steady_clock::now() < end);
    return false;
  }
  // All running relays hold the same map, of at least this epoch, and each key has exactly one owner.
  static bool has_complete_map(const std::vector<Status>& all, uint64_t epoch = 1);
  bool recovers(uint64_t epoch = 1) {
    return until([&](const std::vector<Status>& all) { return has_complete_map(all, epoch); }, 60'000);
  }
  std::string describe();
  std::vector<std::string> violations() const { return invariants_.violations(); }

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
  InvariantChecker invariants_;
};

}  // namespace umberhoist::testing

// A fleet of nodes on simulated time. Links lose, delay, duplicate and reorder frames or are cut, processes
// are killed or stopped, folders lose unsynced writes, clocks are wrong. A seed determines the whole history.
// After each step the invariants are checked against what the nodes report of themselves.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "register/node.h"
#include "tests/state/memory_files.h"

namespace umberhoist::reg {

constexpr int64_t kUsPerSecond = 1'000'000;

class SimulatedFleet {
 public:
  struct Relay {
    std::string name;
    state::Contents folder;
    std::unique_ptr<state::MemoryFiles> files;
    std::unique_ptr<Node> node;
    int64_t steady_offset = 0;
    int64_t wall_offset = 0;
    bool stopped = false;  // as by SIGSTOP: its frames are queued
    uint64_t runs = 0;     // version
    std::vector<std::string> log_lines;
    std::vector<pb::Frame> queued_frames;
  };
  struct Link {
    bool cut = false;
    int64_t delay_us = 500;
    int64_t jitter_us = 500;
    double loss_probability = 0;
    double duplicate_probability = 0;
  };

  SimulatedFleet(size_t count, size_t voters, uint64_t seed) : random(seed) {
    for (size_t i = 0; i < count; ++i) {
      Relay relay;
      relay.name = name(i);
      // Steady clocks have an arbitrary origin, different at each relay.
      relay.steady_offset = static_cast<int64_t>(random() % 1'000'000) * 1000;
      relays.push_back(std::move(relay));
    }
    for (size_t i = 0; i < voters; ++i) voters_.push_back({name(i), static_cast<uint32_t>(i + 1)});
    options.rules.guard_us = 8 * kUsPerSecond;
    options.rules.rollout_timeout_us = 30 * kUsPerSecond;
    options.rules.map_limits.share_factor = 4;
  }

  static std::string name(size_t i) { return "n" + std::to_string(i + 1); }

  Now now_of(const Relay& relay) const {
    return {time + relay.steady_offset, kEpoch + time + relay.wall_offset};
  }
  int64_t true_wall() const { return kEpoch + time; }

  void start(size_t i) {
    Relay& relay = relays[i];
    if (relay.node) return;
    relay.files = std::make_unique<state::MemoryFiles>(relay.folder);
    NodeOptions mine = options;
    mine.name = relay.name;
    mine.slot = static_cast<uint32_t>(i + 1);
    mine.zone = i % 2 == 0 ? "a" : "b";
    mine.voters = voters_;
    relay.stopped = false;
    relay.queued_frames.clear();
    relay.node = std::make_unique<Node>(
        mine, *relay.files, random(), now_of(relay),
        [this, i](const std::string& to, const pb::Frame& frame) { send(i, to, frame); },
        [this, i](const std::string& line) { relays[i].log_lines.push_back(line); });
  }
  void start_all() {
    for (size_t i = 0; i < relays.size(); ++i) start(i);
  }
  void kill(size_t i, bool power_loss = false) {
    Relay& relay = relays[i];
    if (!relay.node) return;
    relay.node.reset();
    relay.folder = power_loss ? relay.files->after_power_loss(random) : relay.files->contents();
    relay.files.reset();
    relay.runs = 0;
  }
  void stop(size_t i) { relays[i].stopped = true; }
  void resume(size_t i) {
    Relay& relay = relays[i];
    if (!relay.node || !relay.stopped) return;
    relay.stopped = false;
    auto queued_frames = std::move(relay.queued_frames);
    relay.queued_frames.clear();
    for (const pb::Frame& frame : queued_frames) {
      if (relay.node) relay.node->receive(frame, now_of(relay));
    }
  }
  Link& link(size_t from, size_t to) { return links_[{from, to}]; }
  void cut(size_t a, size_t b, bool value = true) { link(a, b).cut = link(b, a).cut = value; }
  void isolate(size_t i, bool value = true) {
    for (size_t j = 0; j < relays.size(); ++j) {
      if (j != i) cut(i, j, value);
    }
  }
  void heal() { links_.clear(); }

  // Runs for this time, or until the condition holds. Returns whether it held.
  template <class Condition>
  bool until(int64_t us, Condition condition) {
    const int64_t end = time + us;
    while (time < end) {
      step();
      if (condition()) return true;
    }
    return false;
  }
  void run(int64_t us) {
    until(us, [] { return false; });
  }

  Node& node(size_t i) { return *relays[i].node; }
  bool up(size_t i) const { return relays[i].node && !relays[i].stopped; }
  int leader() const {
    for (size_t i = 0; i < relays.size(); ++i) {
      if (up(i) && relays[i].node->is_leader()) return static_cast<int>(i);
    }
    return -1;
  }
  bool all_agree_on_map() const {  // all running relays hold the same map, and every key has an owner
    uint64_t epoch = 0;
    for (const Relay& relay : relays) {
      if (!relay.node || relay.stopped) continue;
      const pb::State& state = relay.node->state_machine().state();
      if (state.map().epoch() == 0 || state.proposed().epoch() != 0) return false;
      if (epoch != 0 && state.map().epoch() != epoch) return false;
      epoch = state.map().epoch();
    }
    return epoch != 0 && unowned().empty();
  }
  std::vector<shards::Key> keys() const {
    std::vector<shards::Key> out = {0, UINT64_MAX};
    for (int64_t destination = 1; destination <= 24; ++destination)
      out.push_back(shards::key_of(destination));
    return out;
  }
  std::vector<shards::Key> unowned() const {
    std::vector<shards::Key> out;
    for (const shards::Key key : keys()) {
      size_t owners = 0;
      for (const Relay& relay : relays) {
        owners += relay.node && !relay.stopped &&
                  relay.node->ownership(key, now_of(relay).steady_us) == Ownership::kOwner;
      }
      if (owners == 0) out.push_back(key);
    }
    return out;
  }
  // Waits for the answer.
  std::pair<bool, std::string> ask(size_t i, const pb::Ask& ask) {
    bool over = false;
    std::pair<bool, std::string> out;
    node(i).handle_request(ask, now_of(relays[i]), [&](bool done, const std::string& text) {
      over = true;
      out = {done, text};
    });
    until(60 * kUsPerSecond, [&] { return over || !relays[i].node; });
    if (!over) out = {false, "killed"};
    return out;
  }
  std::pair<bool, std::string> propose_map(size_t i, const shards::Map& map) {
    pb::Ask request;
    request.set_verb(pb::Ask::kProposeMap);
    request.set_text(shards::to_toml(map));
    return ask(i, request);
  }
  std::pair<bool, std::string> declare(size_t i, const std::string& toml) {
    pb::Ask request;
    request.set_verb(pb::Ask::kDeclare);
    request.set_text(toml);
    return ask(i, request);
  }
  std::pair<bool, std::string> except(size_t i, uint64_t digest, const std::string& by, uint32_t minutes) {
    pb::Ask request;
    request.set_verb(pb::Ask::kExcept);
    request.set_digest(digest);
    request.set_by(by);
    request.set_minutes(minutes);
    return ask(i, request);
  }
  std::pair<bool, std::string> restore(size_t i) {
    pb::Ask request;
    request.set_verb(pb::Ask::kRestore);
    request.set_text(relays[i].name);
    return ask(i, request);
  }
  std::pair<bool, std::string> propose_version(size_t i, const std::string& text) {
    bool over = false;
    std::pair<bool, std::string> out;
    node(i).propose_version(text, now_of(relays[i]), [&](bool done, const std::string& why) {
      over = true;
      out = {done, why};
    });
    until(60 * kUsPerSecond, [&] { return over || !relays[i].node; });
    return out;
  }

  void step() {
    time += kStep;
    while (!in_flight_.empty() && in_flight_.top().at <= time) {
      const FrameInFlight next = in_flight_.top();
      in_flight_.pop();
      Relay& to = relays[next.to];
      if (!to.node) continue;
      if (to.stopped) {
        if (to.queued_frames.size() < 4096) to.queued_frames.push_back(next.frame);
        continue;
      }
      to.node->receive(next.frame, now_of(to));
    }
    for (size_t i = 0; i < relays.size(); ++i) {
      if (!up(i)) continue;
      relays[i].node->tick(now_of(relays[i]));
      if (follows_versions && relays[i].node->confirmed(now_of(relays[i]).steady_us)) {
        relays[i].runs = relays[i].node->version().number();
        relays[i].node->set_running_version(relays[i].runs);
      }
    }
    check_invariants();
  }

  std::vector<Relay> relays;
  NodeOptions options;
  std::mt19937_64 random;
  int64_t time = 0;
  bool follows_versions = true;
  std::vector<std::string> violations;
  static constexpr int64_t kStep = 10'000;
  static constexpr int64_t kEpoch = 1'800'000'000 * kUsPerSecond;  // wall clock at the start of the history

 private:
  struct FrameInFlight {
    int64_t at = 0;
    uint64_t order = 0;
    size_t to = 0;
    pb::Frame frame;
    bool operator<(const FrameInFlight& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  void send(size_t from, const std::string& name, const pb::Frame& frame) {
    for (size_t to = 0; to < relays.size(); ++to) {
      if (relays[to].name != name) continue;
      const Link& way = link(from, to);
      const auto chance = [&](double p) {
        return p > 0 && std::uniform_real_distribution<>(0, 1)(random) < p;
      };
      if (way.cut || chance(way.loss_probability)) return;
      for (int copies = chance(way.duplicate_probability) ? 2 : 1; copies > 0; --copies) {
        const int64_t delay =
            way.delay_us +
            (way.jitter_us > 0 ? static_cast<int64_t>(random() % static_cast<uint64_t>(way.jitter_us)) : 0);
        in_flight_.push({time + delay, ++order_, to, frame});
      }
    }
  }

  void report_violation(const std::string& message) {
    if (violations.size() < 20) violations.push_back(std::to_string(time / 1000) + " ms: " + message);
  }

  // Invariants: equal states at equal command indexes; no key with two owners; no change inside a window, by
  // the true time.
  void check_invariants() {
    for (const shards::Key key : keys()) {
      std::string owner;
      for (const Relay& relay : relays) {
        if (!relay.node || relay.stopped) continue;
        if (relay.node->ownership(key, now_of(relay).steady_us) != Ownership::kOwner) continue;
        if (!owner.empty())
          report_violation("key " + shards::hex(key) + " has two owners, " + owner + " and " + relay.name);
        owner = relay.name;
      }
    }
    for (const Relay& relay : relays) {
      if (!relay.node) continue;
      const StateMachine& machine = relay.node->state_machine();
      const pb::State& state = machine.state();
      if (state.index() == 0) continue;
      const auto place = std::pair(state.generation(), state.index());
      if (last_checked_.contains(relay.name) && last_checked_.at(relay.name) == place) continue;
      last_checked_[relay.name] = place;
      const std::string bytes = machine.serialize();
      const auto [it, is_new] = history_.emplace(place, bytes);
      if (!is_new && it->second != bytes) {
        report_violation("command " + std::to_string(state.index()) + " left another state at " + relay.name);
      }
      if (is_new) check_change(state);
    }
    check_versions();
  }

  // No version runs for the first time inside a window, and all relays in constant contact with the leader
  // run the same version. (A relay that was away moves to the version that was rolled out meanwhile.)
  void check_versions() {
    const bool closed = freeze::evaluate(from_pb(last_.calendar()), {freeze::ChangeKind::kReload, {}},
                                         {true_wall(), true_wall()})
                            .closed;
    const bool has_exception = std::any_of(last_.approval().begin(), last_.approval().end(),
                                           [](const pb::Approval& a) { return a.used(); });
    std::set<uint64_t> run;
    for (const Relay& relay : relays) {
      int64_t& since = in_contact_since_[relay.name];
      const bool heard = relay.node && !relay.stopped && relay.node->confirmed(now_of(relay).steady_us);
      if (!heard) since = time;
      if (relay.node && run_.insert(relay.runs).second && closed && !has_exception) {
        report_violation("version " + std::to_string(relay.runs) +
                         " is run for the first time inside a window");
      }
      if (time - since > 2 * options.rules.guard_us) run.insert(relay.runs);
    }
    if (!closed) closed_since_ = time;
    if (follows_versions && !has_exception && run.size() > 1 &&
        time - closed_since_ > options.rules.guard_us) {
      report_violation("two versions are run inside a window");
    }
  }

  void check_change(const pb::State& now) {
    if (now.generation() == last_.generation() && now.index() == last_.index() + 1) {
      const auto closed = [&](freeze::ChangeKind kind) {
        return freeze::evaluate(from_pb(last_.calendar()), {kind, {}}, {true_wall(), true_wall()}).closed;
      };
      const bool has_exception = std::any_of(now.approval().begin(), now.approval().end(),
                                             [](const pb::Approval& a) { return a.used(); });
      if (last_.map().epoch() != 0 && now.map().epoch() != last_.map().epoch() && !last_.proposed_repair() &&
          closed(freeze::ChangeKind::kMap) && !has_exception) {
        report_violation("map " + std::to_string(now.map().epoch()) + " was committed inside a window");
      }
    }
    if (now.generation() > last_.generation() || now.index() > last_.index()) last_ = now;
  }

  std::vector<Voter> voters_;
  std::map<std::pair<size_t, size_t>, Link> links_;
  std::priority_queue<FrameInFlight> in_flight_;
  uint64_t order_ = 0;
  std::map<std::pair<uint64_t, uint64_t>, std::string> history_;
  std::map<std::string, std::pair<uint64_t, uint64_t>> last_checked_;
  pb::State last_;
  std::set<uint64_t> run_{0};  // all versions that have run
  std::map<std::string, int64_t> in_contact_since_;
  int64_t closed_since_ = 0;
};

}  // namespace umberhoist::reg

// Random valid events of fixed seeds, checked by the rules checker.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "relay.h"

namespace firspool::testing {
namespace {

Settings random_settings(uint64_t seed) {
  Settings s = basic_settings();
  s.classes.resize(4);
  s.classes[2] = s.classes[0];
  s.classes[2].effect = Effect::kKeyed;
  s.classes[2].key_window = 4 * kSecond;
  s.classes[2].key_scope = seed % 2 == 0 ? KeyScope::kZone : KeyScope::kAll;
  s.classes[3] = s.classes[2];
  s.classes[3].in_order = true;
  s.classes[1].give_up = 6 * kSecond;
  s.in_order_pause = seed % 3 == 0 ? kSecond : 0;
  s.kinds[0].max_batch = seed % 4 == 1 ? 3 : 1;
  s.may_cancel = seed % 2 == 1;
  s.may_probe = seed % 2 == 0;
  s.list_requires_watch = seed % 3 == 1;
  s.list_request_interval = 10 * kSecond;
  s.max_open = 60;
  s.weights = seed % 5 == 0 ? Weights::kNominal : Weights::kNone;
  s.exponential_late_worth = seed % 2 == 1;
  s.price_handshake = s.price_cross_zone = 0.03;
  return s;
}

class RandomRun {
 public:
  explicit RandomRun(uint64_t seed)
      : random_(seed), settings_(random_settings(seed)), relay_(settings_, seed) {
    for (uint32_t address = 1; address <= 9; ++address) {
      Member m = member(address, static_cast<int>(address % 3), static_cast<int>(address % 3 == 0));
      m.zone = static_cast<int>(address % 2);
      m.weight = 5;
      members_.push_back(m);
    }
  }

  void run() {
    std::vector<Event> events = {members(members_)};
    for (now_ = kSecond; now_ < 40 * kSecond; now_ += settings_.tick) {
      if (now_ < 15 * kSecond) add_arrivals(events);
      add_outcomes(events);
      add_other_events(events);
      if (!events.empty() || now_ >= next_wake_) apply_actions(relay_.step(now_, events));
      events.clear();
    }
    EXPECT_EQ(relay_.unanswered_count(), 0u);
  }

 private:
  struct CallInFlight {
    Send send;
    int attempt = 0;
    Time at = 0;
    Time sent = 0;
    Outcome outcome = Outcome::kOk;
  };

  bool chance(double share) { return static_cast<double>(random_() % 100000) < share * 100000; }
  Time random_time(Time max) { return static_cast<Time>(random_() % static_cast<uint64_t>(max)) + 1; }

  void add_arrivals(std::vector<Event>& events) {
    while (relay_.unanswered_count() + events.size() < 50 && chance(0.1)) {
      Arrival a =
          relay_.message(++last_id_, now_, static_cast<int>(random_() % 4), static_cast<int>(random_() % 3));
      if (a.message_class == 3) a.key = 1 + random_() % 4;
      events.push_back(a);
    }
  }

  void add_outcomes(std::vector<Event>& events) {
    std::vector<CallInFlight> later;
    for (const CallInFlight& out : calls_in_flight_) {
      if (out.at > now_) {
        later.push_back(out);
        continue;
      }
      const Time wait = out.outcome == Outcome::kRefused && chance(0.5) ? random_time(2 * kSecond) : 0;
      events.push_back(ended(out.send, out.attempt, out.outcome, now_ - out.sent, wait));
    }
    calls_in_flight_ = std::move(later);
  }

  void add_other_events(std::vector<Event>& events) {
    if (chance(0.002))
      failing_destination_ = static_cast<int>(random_() % 4);  // the failing destination; 3: none
    if (chance(0.002)) {
      Member& m = members_[random_() % members_.size()];
      m.state = m.state == HostState::kReady ? HostState::kDraining : HostState::kReady;
      events.push_back(members({m}, MembersChanged::Form::kDelta));
    }
    if (settings_.list_requires_watch && chance(0.001)) {
      MembersChanged failed;
      failed.form = MembersChanged::Form::kFailed;
      events.push_back(failed);
    }
    if (last_id_ > 0 && chance(0.005)) events.push_back(Withdrawn{1 + random_() % last_id_});
    for (const Probe& probe : probes_) events.push_back(ProbeEnded{probe.endpoint, chance(0.5), 1000, {}});
    probes_.clear();
  }

  void apply_actions(const std::vector<Action>& actions) {
    next_wake_ = std::numeric_limits<Time>::max();
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        CallInFlight out = {*send, attempts_[send->id]++, 0, now_, Outcome::kOk};
        const int destination = static_cast<int>(send->endpoint.address % 3);
        if (chance(destination == failing_destination_ ? 0.9 : 0.05)) {
          constexpr Outcome kFailures[] = {Outcome::kError, Outcome::kRefused, Outcome::kTimeout,
                                           Outcome::kConnectFailed, Outcome::kReset};
          out.outcome = kFailures[random_() % std::size(kFailures)];
        }
        EXPECT_GT(send->timeout, 0);
        out.at = now_ + (out.outcome == Outcome::kTimeout ? send->timeout
                                                          : std::min(send->timeout, random_time(400'000)));
        calls_in_flight_.push_back(out);
      } else if (const auto* probe = std::get_if<Probe>(&action)) {
        probes_.push_back(*probe);
      } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
        for (CallInFlight& out : calls_in_flight_) {
          if (out.send.id != cancel->id || out.attempt != cancel->attempt) continue;
          out.at = now_ + settings_.tick;
          out.outcome = Outcome::kCancelled;
        }
      } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        timers_.push_back(timer->at);
      }
    }
    std::erase_if(timers_, [this](Time at) { return at <= now_; });
    for (const Time at : timers_) next_wake_ = std::min(next_wake_, at);
  }

  std::mt19937_64 random_;  // its sequence is specified, those of the distributions are not, so none is used
  Settings settings_;
  Relay relay_;
  std::vector<Member> members_;
  std::vector<CallInFlight> calls_in_flight_;
  std::vector<Probe> probes_;
  std::vector<Time> timers_;
  std::map<uint64_t, int> attempts_;
  Time now_ = 0;
  Time next_wake_ = std::numeric_limits<Time>::max();
  uint64_t last_id_ = 0;
  int failing_destination_ = 3;
};

class RandomDays : public ::testing::TestWithParam<uint64_t> {};

TEST_P(RandomDays, KeepEveryRule) { RandomRun(GetParam()).run(); }

INSTANTIATE_TEST_SUITE_P(Seeds, RandomDays, ::testing::Range<uint64_t>(1, 41));

// The checker itself has to detect violations.
TEST(RulesChecker, DetectsViolations) {
  const Settings s = basic_settings();
  RulesChecker checker(s);
  Arrival arrival;
  arrival.id = 1;
  arrival.message_class = 1;
  arrival.destination = 1;
  arrival.due = 5 * kSecond;
  const std::vector<Event> start = {members({member(1)}), arrival};
  checker.before(0, start);
  const std::vector<Action> twice = {Send{1, {1, 80}, 0}, Send{1, {1, 80}, 0}};
  checker.after(0, twice);
  ASSERT_EQ(checker.violations().size(), 1u);
  EXPECT_NE(checker.violations()[0].find("two attempts at once"), std::string::npos);
  const std::vector<Event> timeouts = {ended(Send{1, {1, 80}, 0}, 0, Outcome::kTimeout)};
  checker.before(kSecond, timeouts);
  const std::vector<Action> refuse = {Refuse{1, 0}};
  checker.after(kSecond, refuse);
  EXPECT_EQ(checker.violations().size(), 2u);
}

TEST(Determinism, SameEventsSameActions) {
  for (int run = 0; run < 2; ++run) {
    static std::vector<size_t> first;
    std::vector<size_t> sizes;
    Relay relay(basic_settings(), 5);
    relay.step(0, {members({member(1)})});
    for (uint64_t id = 1; id < 50; ++id) {
      const Time now = static_cast<Time>(id) * 40'000;
      const auto sends = all_of<Send>(relay.step(now, {relay.message(id, now)}));
      std::vector<Event> events;
      for (const Send& send : sends) {
        if (send.id == id) events.push_back(ended(send, 0, id % 3 ? Outcome::kOk : Outcome::kRefused));
      }
      sizes.push_back(relay.step(now + 20'000, events).size());
    }
    if (run == 0) first = sizes;
    EXPECT_EQ(first, sizes);
  }
}

}  // namespace
}  // namespace firspool::testing

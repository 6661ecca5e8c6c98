// Runs one policy for forty-five minutes of virtual time while hosts, messages and connections are replaced;
// its memory must not grow.
#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <map>
#include <memory>
#include <new>
#include <random>
#include <utility>

#include "emulator/fleet.h"

namespace {

int64_t live_bytes = 0;  // bytes allocated with operator new and not yet freed

}  // namespace

void* operator new(size_t size) {
  void* out = std::malloc(size);
  if (out == nullptr) throw std::bad_alloc();
  live_bytes += static_cast<int64_t>(malloc_usable_size(out));
  return out;
}
void operator delete(void* what) noexcept {
  if (what != nullptr) live_bytes -= static_cast<int64_t>(malloc_usable_size(what));
  std::free(what);
}
void operator delete(void* what, size_t) noexcept { operator delete(what); }

namespace umberhoist::emulator {
namespace {

using namespace firspool;

TEST(FleetSoak, FortyFiveMinutesOfHostsAndMessagesLeaveNothingBehind) {
  Settings s = typical_settings(300);
  s.classes.push_back(s.classes[0]);
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].key_window = 15 * kSecond;
  s.classes[1].effect = Effect::kUnsafe;
  s.kinds[1].independent_endpoints = true;

  Policy policy(s, 1);
  std::mt19937_64 random(1);
  std::vector<Member> list;
  for (uint32_t i = 0; i < 12; ++i) {
    Member m;
    m.endpoint = {1 + i, 80};
    m.destination = static_cast<int>(i % 6);
    m.kind = m.destination % 2;
    m.weight = 5;
    list.push_back(m);
  }
  struct CallInFlight {
    AttemptEnded end;
    Time at = 0;
  };
  std::vector<CallInFlight> calls_in_flight;
  std::vector<Event> probe_results;
  std::map<uint64_t, int> attempts;
  uint64_t last_id = 0;
  int64_t early_min = std::numeric_limits<int64_t>::max();
  int64_t late_min = early_min;
  constexpr Time kMinute = 60 * kSecond;
  for (Time now = 0; now < 45 * kMinute; now += 50'000) {
    std::vector<Event> events(std::exchange(probe_results, {}));
    if (now == 0)
      events.push_back(
          MembersChanged{MembersChanged::Form::kFull, std::make_shared<std::vector<Member>>(list)});
    if (now % (5 * kSecond) == 0 && now > 0) {  // one host is replaced
      const size_t which = random() % list.size();
      Member gone = list[which];
      gone.state = HostState::kRemoved;
      list[which].endpoint.address += 1000;
      events.push_back(MembersChanged{MembersChanged::Form::kDelta,
                                      std::make_shared<std::vector<Member>>(std::vector{gone, list[which]})});
    }
    if (now % 200'000 == 0) {
      Arrival in;
      in.id = ++last_id;
      in.message_class = static_cast<int>(random() % 2);
      in.destination = static_cast<int>(random() % 6);
      in.due = now + s.classes[0].give_up;
      events.push_back(in);
    }
    for (const CallInFlight& o : calls_in_flight) {
      if (o.at <= now) events.push_back(o.end);
    }
    std::erase_if(calls_in_flight, [&](const CallInFlight& o) { return o.at <= now; });
    std::vector<Action> actions;
    policy.step(now, events, actions);
    for (const Event& event : events) {
      const auto* end = std::get_if<AttemptEnded>(&event);
      if (end != nullptr && end->final) attempts.erase(end->id);
    }
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        CallInFlight o;
        o.end.id = send->id;
        o.end.attempt = attempts[send->id]++;
        o.end.endpoint = send->endpoint;
        constexpr Outcome kFailures[] = {Outcome::kRefused, Outcome::kTimeout, Outcome::kReset,
                                         Outcome::kConnectFailed, Outcome::kError};
        const uint64_t draw = random() % 40;
        o.end.outcome = draw < std::size(kFailures) ? kFailures[draw] : Outcome::kOk;
        o.end.connection_limit_reached = o.end.outcome == Outcome::kRefused && random() % 2 == 0;
        o.end.retry_after =
            o.end.outcome == Outcome::kRefused && !o.end.connection_limit_reached ? kSecond / 2 : 0;
        o.end.final = o.end.outcome == Outcome::kOk;
        o.end.duration = 100'000;
        o.at = now + 100'000;
        calls_in_flight.push_back(o);
      } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
        attempts.erase(refuse->id);
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        attempts.erase(fail->id);
      } else if (const auto* probe = std::get_if<Probe>(&action)) {
        probe_results.push_back(ProbeEnded{probe->endpoint, true, 1000, {}});
      }
    }
    // Compares minima: messages in flight or waiting are freed in between, leaked memory is not.
    if (now > 5 * kMinute && now <= 15 * kMinute) early_min = std::min(early_min, live_bytes);
    if (now > 35 * kMinute) late_min = std::min(late_min, live_bytes);
  }
  EXPECT_GT(last_id, 13'000u);
  EXPECT_LT(late_min - early_min, 8 * 1024)
      << "held after 5 to 15 min " << early_min << ", after 35 to 45 min " << late_min;
}

}  // namespace
}  // namespace umberhoist::emulator

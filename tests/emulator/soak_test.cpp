// Forty-five minutes of one relay's module on a made-up clock: hosts, messages and connections come and go,
// and what it holds of them goes with them.
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

int64_t live = 0;  // bytes that this process holds from operator new

}  // namespace

void* operator new(size_t size) {
  void* out = std::malloc(size);
  if (out == nullptr) throw std::bad_alloc();
  live += static_cast<int64_t>(malloc_usable_size(out));
  return out;
}
void operator delete(void* what) noexcept {
  if (what != nullptr) live -= static_cast<int64_t>(malloc_usable_size(what));
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
  struct Out {
    AttemptEnded end;
    Time at = 0;
  };
  std::vector<Out> out;
  std::vector<Event> probed;
  std::map<uint64_t, int> attempts;
  uint64_t last = 0;
  int64_t early = std::numeric_limits<int64_t>::max();
  int64_t late = early;
  constexpr Time kMinute = 60 * kSecond;
  for (Time now = 0; now < 45 * kMinute; now += 50'000) {
    std::vector<Event> events(std::exchange(probed, {}));
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
      in.id = ++last;
      in.message_class = static_cast<int>(random() % 2);
      in.destination = static_cast<int>(random() % 6);
      in.due = now + s.classes[0].give_up;
      events.push_back(in);
    }
    for (const Out& o : out) {
      if (o.at <= now) events.push_back(o.end);
    }
    std::erase_if(out, [&](const Out& o) { return o.at <= now; });
    std::vector<Action> actions;
    policy.step(now, events, actions);
    for (const Event& event : events) {
      const auto* end = std::get_if<AttemptEnded>(&event);
      if (end != nullptr && end->final) attempts.erase(end->id);
    }
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        Out o;
        o.end.id = send->id;
        o.end.attempt = attempts[send->id]++;
        o.end.endpoint = send->endpoint;
        constexpr Outcome kBad[] = {Outcome::kRefused, Outcome::kTimeout, Outcome::kReset,
                                    Outcome::kConnectFailed, Outcome::kError};
        const uint64_t draw = random() % 40;
        o.end.outcome = draw < std::size(kBad) ? kBad[draw] : Outcome::kOk;
        o.end.connection_limit_reached = o.end.outcome == Outcome::kRefused && random() % 2 == 0;
        o.end.retry_after =
            o.end.outcome == Outcome::kRefused && !o.end.connection_limit_reached ? kSecond / 2 : 0;
        o.end.final = o.end.outcome == Outcome::kOk;
        o.end.duration = 100'000;
        o.at = now + 100'000;
        out.push_back(o);
      } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
        attempts.erase(refuse->id);
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        attempts.erase(fail->id);
      } else if (const auto* probe = std::get_if<Probe>(&action)) {
        probed.push_back(ProbeEnded{probe->endpoint, true, 1000, {}});
      }
    }
    // The least that is held: what is only out or waiting goes, what is forgotten to be dropped stays.
    if (now > 5 * kMinute && now <= 15 * kMinute) early = std::min(early, live);
    if (now > 35 * kMinute) late = std::min(late, live);
  }
  EXPECT_GT(last, 13'000u);
  EXPECT_LT(late - early, 8 * 1024) << "held after 5 to 15 min " << early << ", after 35 to 45 min " << late;
}

}  // namespace
}  // namespace umberhoist::emulator

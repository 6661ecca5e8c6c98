#include "emulator/fleet.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <set>
#include <utility>

namespace umberhoist::emulator {

using namespace firspool;

struct FleetEmulator::Relay {
  size_t number = 0;
  std::unique_ptr<Policy> policy;
  std::vector<firspool::Event> events;
  bool step_planned = false;
  uint64_t life = 0;  // its process; what belongs to an earlier one is void
  bool up = false;
  bool ending = false;  // the front gives it nothing more
  struct Held {
    Arrival in;
    int attempts = 0;
    bool out = false;
    Time sent = 0;    // of the attempt that is out
    Time ran_at = 0;  // when the first attempt was sent that may have run; 0: none
  };
  std::map<uint64_t, Held> held;
  std::map<int, DestinationState> memory;
  std::map<Endpoint, Time> unwanted;           // hosts told to drain or gone, since when
  std::map<Endpoint, std::vector<Time>> idle;  // connections, since when; the most recently used last
  Time wake = 0;
};

struct FleetEmulator::Host {
  int destination = 0;
  int connections = 0;
  int serving = 0;
  std::deque<uint64_t> queue;
  Time free_at = 0;  // of the destination's rate: when the next call may come (on the first host)
  struct Came {
    Time at = 0;
    size_t relay = 0;
  };
  std::vector<Came> came;    // calls that came to the destination (on the first host)
  std::set<size_t> knowing;  // relays that saw a call or probe fail in its outage (on the first host)
};

struct FleetEmulator::Call {
  Relay* relay = nullptr;
  uint64_t life = 0;
  Send send;
  int attempt = 0;
  Time sent = 0;
  bool fresh = false;
};

DestinationCounts& DestinationCounts::operator+=(const DestinationCounts& other) {
  offered += other.offered;
  delivered += other.delivered;
  in_time += other.in_time;
  refused += other.refused;
  refused_late += other.refused_late;
  failed += other.failed;
  forbidden_repeats += other.forbidden_repeats;
  calls_after_drain += other.calls_after_drain;
  calls += other.calls;
  new_connections += other.new_connections;
  connection_limit_refusals += other.connection_limit_refusals;
  other_refusals += other.other_refusals;
  connect_failures += other.connect_failures;
  probes += other.probes;
  max_slow_start_load = std::max(max_slow_start_load, other.max_slow_start_load);
  max_slow_start_load_informed = std::max(max_slow_start_load_informed, other.max_slow_start_load_informed);
  overloads += other.overloads;
  overloads_informed += other.overloads_informed;
  max_overload_excess = std::max(max_overload_excess, other.max_overload_excess);
  return *this;
}

Settings typical_settings(int relays) {
  Settings s;
  s.classes.resize(1);
  s.classes[0].effect = Effect::kSafe;
  s.classes[0].target = 2 * kSecond;
  s.classes[0].give_up = 16 * kSecond;
  s.classes[0].late_worth = 0.3;
  s.kinds.resize(2);
  s.relays = relays;
  s.slots = std::max(20, 300 / relays);
  s.max_open = 20 * s.slots;
  s.max_attempts = 6;
  s.may_probe = true;
  s.may_cancel = true;
  s.weights = Weights::kNominal;
  s.tick = 5000;
  s.reply_slack = 20'000;
  s.conn_idle_timeout = 10 * kSecond;
  s.connect_timeout = kSecond;
  s.max_retry_after = 2 * kSecond;
  s.drain_grace = kSecond;
  s.slow_start = 12 * kSecond;
  s.overload_window = 3 * kSecond;
  s.overload_factor = 2;
  s.start_capacity = 0.21;
  s.price_handshake = 0.04;
  return s;
}

DestinationCounts FleetEmulator::total() const {
  DestinationCounts all;
  for (const auto& [number, tally] : tallies_) all += tally;
  return all;
}

FleetEmulator::FleetEmulator(FleetModel model) : model_(std::move(model)), random_(model_.seed) {
  std::vector<double> shares = model_.traffic_shares;
  shares.resize(static_cast<size_t>(model_.settings.relays), 1);
  front_ = std::discrete_distribution<size_t>(shares.begin(), shares.end());
  for (const DestinationModel& d : model_.destinations) {
    tallies_[d.number] = {};
    for (const Endpoint& endpoint : d.hosts) hosts_[endpoint].destination = d.number;
    if (d.load > 0) schedule(0, [this, &d] { hand_in(d); });
    if (d.down_to > d.down_from) {
      // Those that were out there are reset.
      schedule(d.down_from, [this, &d] {
        std::vector<uint64_t> lost;
        for (const auto& [number, call] : calls_) {
          if (hosts_.at(call.send.endpoint).destination == d.number) lost.push_back(number);
        }
        for (const uint64_t number : lost) answer(number, Outcome::kReset, 0, false, false);
        for (const Endpoint& endpoint : d.hosts) {
          hosts_.at(endpoint) = {};
          hosts_.at(endpoint).destination = d.number;
          for (const auto& relay : relays_) relay->idle.erase(endpoint);
        }
      });
    }
  }
  for (const DestinationModel& d : model_.destinations) {
    for (const Endpoint& endpoint : d.hosts) {
      Member m;
      m.endpoint = endpoint;
      m.kind = d.kind;
      m.destination = d.number;
      m.weight = d.weight;
      list_.push_back(m);
    }
  }
  for (const Change& change : model_.changes) {
    schedule(change.at, [this, &change] {
      for (DestinationModel& d : model_.destinations) d.*change.field = change.value;
    });
  }
  const MassRestart& herd = model_.mass_restart;
  const auto killed = static_cast<size_t>(herd.share * model_.settings.relays);
  for (size_t i = 0; i < killed; ++i) {
    const Time back =
        herd.killed_at + herd.downtime + kSecond * static_cast<Time>(i) / static_cast<Time>(killed);
    schedule(herd.killed_at, [this, i, back] { kill(i, back); });
  }
  for (int i = 0; i < model_.settings.relays; ++i) {
    auto relay = std::make_unique<Relay>();
    relay->number = static_cast<size_t>(i);
    relays_.push_back(std::move(relay));
    start(*relays_.back(), true);
  }
}

FleetEmulator::~FleetEmulator() = default;

void FleetEmulator::schedule(Time when, std::function<void()> what) {
  events_.push({when, order_++, std::move(what)});
}

DestinationModel& FleetEmulator::destination(int number) {
  return *std::find_if(model_.destinations.begin(), model_.destinations.end(),
                       [&](const auto& d) { return d.number == number; });
}

void FleetEmulator::run() {
  Time longest = 0;
  for (const ClassSettings& c : model_.settings.classes) longest = std::max(longest, c.give_up);
  while (!events_.empty()) {
    Event event = events_.top();
    events_.pop();
    if (event.at > model_.duration + longest + kSecond) break;
    now_ = event.at;
    event.what();
  }
  for (const DestinationModel& d : model_.destinations) judge_cold(d);
}

// The front's choice, or the next that takes messages.
FleetEmulator::Relay* FleetEmulator::taker() {
  const size_t first = front_(random_);
  for (size_t i = 0; i < relays_.size(); ++i) {
    Relay& relay = *relays_[(first + i) % relays_.size()];
    if (relay.up && !relay.ending) return &relay;
  }
  return nullptr;
}

// The next message for a destination, to a relay as the front deals them out.
void FleetEmulator::hand_in(const DestinationModel& d) {
  if (now_ >= model_.duration) return;
  schedule(now_ + 1 + static_cast<Time>(std::exponential_distribution<double>(d.load)(random_) * 1e6),
           [this, &d] { hand_in(d); });
  Relay* const chosen = taker();
  if (chosen == nullptr) return;  // nobody is there: it is not offered
  Relay& relay = *chosen;
  Arrival in;
  in.id = ++last_message_;
  in.destination = d.number;
  in.message_class = d.message_class;
  in.due = now_ + model_.settings.classes.at(d.message_class).give_up;
  ++tallies_[d.number].offered;
  relay.held[in.id].in = in;
  happened(relay, in);
}

void FleetEmulator::start(Relay& relay, bool first) {
  ++relay.life;
  Settings settings = model_.settings;
  settings.self = static_cast<int>(relay.number);
  relay.policy = std::make_unique<Policy>(settings, model_.seed * 1000003 + relay.number * 97 + relay.life);
  relay.events.clear();
  relay.idle.clear();
  relay.wake = 0;
  relay.up = true;
  relay.ending = false;
  MembersChanged list;
  list.members = std::make_shared<std::vector<Member>>(list_);
  happened(relay, list);
  for (const Member& member : list_) {  // what it was not there to be told
    if (member.state != HostState::kReady) relay.unwanted.try_emplace(member.endpoint, now_);
  }
  if (first) return;
  for (const auto& [number, memory] : relay.memory) happened(relay, memory);
  for (auto& [id, held] : relay.held) {
    if (std::exchange(held.out, false) && held.ran_at == 0) held.ran_at = held.sent;
    Arrival in = held.in;
    in.attempts = held.attempts;
    in.maybe_executed = held.ran_at != 0;
    in.maybe_executed_sent = held.ran_at;
    happened(relay, in);
  }
}

// Its connections end with it, and what was out may have run.
void FleetEmulator::kill(size_t number, Time back) {
  Relay& relay = *relays_.at(number);
  if (!relay.up) return;
  ++relay.life;
  relay.up = false;
  while (!relay.idle.empty()) hang_up(relay, relay.idle.begin()->first);
  relay.events.clear();
  schedule(back, [this, &relay] { start(relay, false); });
}

void FleetEmulator::shut_down(size_t number, Time killed, Time back) {
  Relay& relay = *relays_.at(number);
  if (!relay.up) return;
  relay.ending = true;
  happened(relay, ShutdownScheduled{killed});
  schedule(killed, [this, number, back] { kill(number, back); });
}

void FleetEmulator::update_members(std::vector<Member> members, Time within) {
  for (const Member& member : members) {
    hosts_[member.endpoint].destination = member.destination;
    std::erase_if(list_, [&](const Member& m) { return m.endpoint == member.endpoint; });
    if (member.state != HostState::kRemoved) list_.push_back(member);
  }
  const auto told = std::make_shared<std::vector<Member>>(std::move(members));
  for (const auto& entry : relays_) {
    schedule(now_ + static_cast<Time>(chance() * static_cast<double>(within)),
             [this, told, relay = entry.get()] {
               if (!relay->up) return;  // it reads the list when it is back
               for (const Member& member : *told) {
                 if (member.state == HostState::kReady) {
                   relay->unwanted.erase(member.endpoint);
                 } else {
                   relay->unwanted.try_emplace(member.endpoint, now_);
                 }
               }
               MembersChanged change;
               change.form = MembersChanged::Form::kDelta;
               change.members = told;
               happened(*relay, change);
             });
  }
}

bool FleetEmulator::may_run_again(const Relay& relay, uint64_t id) const {
  const Relay::Held& held = relay.held.at(id);
  if (held.ran_at == 0) return true;
  const ClassSettings& c = model_.settings.classes.at(held.in.message_class);
  return c.effect == Effect::kSafe || (c.effect == Effect::kKeyed && now_ <= held.ran_at + c.key_window);
}

void FleetEmulator::happened(Relay& relay, firspool::Event event) {
  relay.events.push_back(std::move(event));
  if (std::exchange(relay.step_planned, true)) return;
  schedule(now_, [this, &relay] { step(relay); });
}

void FleetEmulator::step(Relay& relay) {
  relay.step_planned = false;
  if (!relay.up) return;
  std::vector<firspool::Event> events;
  events.swap(relay.events);
  std::vector<Action> actions;
  relay.policy->step(now_, events, actions);
  if (model_.on_step) model_.on_step(relay.number, now_, events, actions);
  for (const Action& action : actions) carry_out(relay, action);
}

void FleetEmulator::carry_out(Relay& relay, const Action& action) {
  if (const auto* send = std::get_if<Send>(&action)) {
    call(relay, *send);
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    const Arrival& in = relay.held.at(refuse->id).in;
    ++tallies_[in.destination].refused;
    tallies_[in.destination].refused_late += in.due - now_ < kSecond;
    relay.held.erase(refuse->id);
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    ++tallies_[relay.held.at(fail->id).in.destination].failed;
    relay.held.erase(fail->id);
  } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
    for (auto& [number, call] : calls_) {
      if (call.relay != &relay || call.send.id != cancel->id || call.attempt != cancel->attempt) continue;
      return answer(number, Outcome::kCancelled, 0, false, false);
    }
  } else if (const auto* probe = std::get_if<Probe>(&action)) {
    const DestinationModel& d = destination(hosts_.at(probe->endpoint).destination);
    const Endpoint endpoint = probe->endpoint;
    ++tallies_[d.number].probes;
    const uint64_t life = relay.life;
    const bool up = now_ < d.down_from || now_ >= d.down_to;
    if (!up) hosts_.at(d.hosts.front()).knowing.insert(relay.number);
    schedule(now_ + 4 * model_.one_way_latency, [this, &relay, endpoint, life, up] {
      if (relay.life == life) happened(relay, ProbeEnded{endpoint, up, 4 * model_.one_way_latency, {}});
    });
  } else if (const auto* close = std::get_if<CloseIdleConnections>(&action)) {
    hang_up(relay, close->endpoint);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    relay.wake = timer->at;
    const uint64_t life = relay.life;
    schedule(timer->at, [this, &relay, life, token = timer->token] {
      if (relay.life == life && relay.wake == now_) happened(relay, TimerFired{token});
    });
  } else if (const auto* remember = std::get_if<SaveDestinationState>(&action)) {
    relay.memory[remember->state.destination] = remember->state;
  }
}

void FleetEmulator::hang_up(Relay& relay, const Endpoint& endpoint) {
  const auto list = relay.idle.find(endpoint);
  if (list == relay.idle.end()) return;
  hosts_.at(endpoint).connections -= static_cast<int>(list->second.size());
  relay.idle.erase(list);
}

void FleetEmulator::call(Relay& relay, const Send& send) {
  const uint64_t number = ++last_call_;
  Call& out = calls_[number];
  Relay::Held& message = relay.held.at(send.id);
  DestinationCounts& tally = tallies_[message.in.destination];
  tally.forbidden_repeats += !may_run_again(relay, send.id);
  const auto unwanted = relay.unwanted.find(send.endpoint);
  tally.calls_after_drain +=
      unwanted != relay.unwanted.end() && now_ > unwanted->second + model_.settings.drain_grace;
  message.out = true;
  message.sent = now_;
  out = {&relay, relay.life, send, message.attempts++, now_, false};
  std::vector<Time>& list = relay.idle[send.endpoint];
  std::erase_if(list, [&](Time since) {
    const bool old = now_ - since >= model_.settings.conn_idle_timeout - kSecond;
    hosts_.at(send.endpoint).connections -= old;
    return old;
  });
  out.fresh = list.empty();
  if (!out.fresh) list.pop_back();
  Time way = model_.one_way_latency;
  if (out.fresh) way += 2 * model_.one_way_latency * model_.handshake_round_trips;
  schedule(now_ + way, [this, number] { reach(number); });
  schedule(now_ + send.timeout, [this, number] { answer(number, Outcome::kTimeout, 0, false, false); });
}

// A call's last byte comes to its host.
void FleetEmulator::reach(uint64_t number) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) return;
  Call& call = it->second;
  Host& host = hosts_.at(call.send.endpoint);
  const DestinationModel& d = destination(hosts_.at(call.send.endpoint).destination);
  DestinationCounts& tally = tallies_[d.number];
  if (now_ >= d.down_from && now_ < d.down_to) {
    ++tally.connect_failures;
    hosts_.at(d.hosts.front()).knowing.insert(call.relay->number);
    return answer(number, Outcome::kConnectFailed, 0, false, false);
  }
  if (now_ >= d.unresponsive_from && now_ < d.unresponsive_to) return;  // nothing comes back
  ++tally.calls;
  Host& first = hosts_.at(d.hosts.front());
  first.came.push_back({now_, call.relay->number});
  if (call.fresh) {
    ++tally.new_connections;
    if (d.max_connections > 0 && host.connections >= d.max_connections) {
      ++tally.connection_limit_refusals;
      return answer(number, Outcome::kRefused, 0, true, false);
    }
    ++host.connections;
  }
  if (d.rate_limit > 0) {
    // So many calls in each second, at once or spread.
    const Time gap = static_cast<Time>(1e6 / d.rate_limit);
    if (first.free_at > now_ + kSecond) {
      ++tally.other_refusals;
      if (d.refused_calls_count) first.free_at += gap;
      return answer(number, Outcome::kRefused, chance() < d.retry_after_share ? d.retry_after : 0, false,
                    true);
    }
    first.free_at = std::max(first.free_at, now_) + gap;
  }
  if (host.serving < d.concurrency) return serve(host, number);
  if (static_cast<int>(host.queue.size()) < d.max_queued) return host.queue.push_back(number);
  ++tally.other_refusals;
  answer(number, Outcome::kRefused, 0, false, true);
}

void FleetEmulator::serve(Host& host, uint64_t number) {
  ++host.serving;
  const DestinationModel& d = destination(hosts_.at(calls_.at(number).send.endpoint).destination);
  const Endpoint endpoint = calls_.at(number).send.endpoint;
  const Time took = d.service_time / 2 + static_cast<Time>(std::exponential_distribution<double>(
                                             2.0 / static_cast<double>(d.service_time))(random_));
  schedule(now_ + took, [this, number, endpoint] {
    Host& served = hosts_.at(endpoint);
    if (served.serving == 0) return;  // it went down meanwhile
    --served.serving;
    const DestinationModel& by = destination(served.destination);
    const bool silent = now_ >= by.unresponsive_from && now_ < by.unresponsive_to;
    const bool reset = by.reset_share > 0 && chance() < by.reset_share;
    if (calls_.contains(number) && !silent) {
      answer(number, reset ? Outcome::kReset : Outcome::kOk, 0, false, !reset);
    }
    while (!served.queue.empty()) {
      const uint64_t next = served.queue.front();
      served.queue.pop_front();
      if (!calls_.contains(next)) continue;
      serve(served, next);
      break;
    }
  });
}

void FleetEmulator::answer(uint64_t number, Outcome outcome, Time wait, bool crowded, bool keep) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) return;
  const Call call = it->second;
  calls_.erase(it);
  const bool held = outcome != Outcome::kConnectFailed && !crowded;  // it had a connection there
  // What is under way when its relay stops waiting comes to a connection that is closed.
  const Time gives_up = call.sent + call.send.timeout;
  const bool at_once = outcome == Outcome::kTimeout || outcome == Outcome::kCancelled;
  Time arrives = at_once ? now_ : now_ + model_.one_way_latency;
  if (arrives > gives_up) {
    arrives = std::max(now_, gives_up);
    outcome = Outcome::kTimeout;
    wait = 0;
    crowded = keep = false;
  }
  const Endpoint endpoint = call.send.endpoint;
  if (held && !keep && hosts_.at(endpoint).connections > 0) --hosts_.at(endpoint).connections;
  DestinationCounts& tally = tallies_[hosts_.at(endpoint).destination];
  schedule(arrives, [this, call, endpoint, outcome, wait, crowded, keep, &tally] {
    Relay& relay = *call.relay;
    if (relay.life != call.life) {
      if (keep) --hosts_.at(endpoint).connections;
      return;
    }
    if (keep) relay.idle[endpoint].push_back(now_);
    AttemptEnded end;
    end.id = call.send.id;
    end.attempt = call.attempt;
    end.endpoint = endpoint;
    end.outcome = outcome;
    end.duration = now_ - call.sent;
    end.retry_after = wait;
    end.connection_limit_reached = crowded;
    end.final = outcome == Outcome::kOk;
    if (const auto message = relay.held.find(call.send.id); message != relay.held.end()) {
      Relay::Held& held_message = message->second;
      held_message.out = false;
      const bool never = outcome == Outcome::kRefused || outcome == Outcome::kConnectFailed;
      if (!never && held_message.ran_at == 0) held_message.ran_at = call.sent;
      if (end.final) {
        const ClassSettings& c = model_.settings.classes.at(held_message.in.message_class);
        ++tally.delivered;
        tally.in_time += now_ <= held_message.in.due - c.give_up + c.target;
        relay.held.erase(message);
      }
    }
    happened(relay, end);
  });
}

// Rule four: the most that came within a fall window while it was cold, against what it could do in that
// time; and the most of this that came from relays which saw it fail, where they sent two thirds of it.
void FleetEmulator::judge_cold(const DestinationModel& d) {
  const Settings& s = model_.settings;
  if (d.down_to <= d.down_from || s.overload_window <= 0) return;
  const Host& host = hosts_.at(d.hosts.front());
  const double warm = static_cast<double>(d.concurrency) * static_cast<double>(d.hosts.size()) * 1e6 /
                      static_cast<double>(d.service_time);
  const auto able = [&](Time t) {  // calls that it could serve from its return up to then
    const double age = static_cast<double>(std::clamp<Time>(t - d.down_to, 0, s.slow_start)) / 1e6;
    const double all = std::max(1e-9, static_cast<double>(s.slow_start) / 1e6);
    return warm * (s.start_capacity * age + (1 - s.start_capacity) * age * age / (2 * all));
  };
  DestinationCounts& tally = tallies_[d.number];
  size_t first = 0;
  double knew = 0;
  bool fell = false;
  bool fell_knowing = false;
  for (size_t i = 0; i < host.came.size() && host.came[i].at <= d.down_to + s.slow_start; ++i) {
    const Time from = host.came[i].at - s.overload_window;
    knew += host.knowing.contains(host.came[i].relay);
    while (host.came[first].at < std::max(from, d.down_to) && first < i) {
      knew -= host.knowing.contains(host.came[first++].relay);
    }
    const double sent = static_cast<double>(i + 1 - first);
    // Within its first window it is allowed what it can do from its return on.
    const Time begins = std::max(from, d.down_to);
    const double budget = s.overload_factor * (able(begins + s.overload_window) - able(begins));
    if (sent > budget + 2 * std::sqrt(budget) + 2) {
      fell = true;
      fell_knowing = fell_knowing || 3 * knew >= 2 * sent;
    }
    if (3 * knew >= 2 * sent) {
      tally.max_overload_excess = std::max(tally.max_overload_excess, (sent - budget) / std::sqrt(budget));
    }
    if (from < d.down_to) continue;
    const double load = sent / std::max(1e-9, able(host.came[i].at) - able(from));
    tally.max_slow_start_load = std::max(tally.max_slow_start_load, load);
    if (3 * knew >= 2 * sent)
      tally.max_slow_start_load_informed = std::max(tally.max_slow_start_load_informed, load);
  }
  tally.overloads += fell;
  tally.overloads_informed += fell_knowing;
}

}  // namespace umberhoist::emulator

#include "emulator/fleet.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <set>
#include <utility>

namespace umberhoist::emulator {

using namespace firspool;

namespace {

// Above the addresses of all hosts that a model starts with.
constexpr uint32_t kReplacementAddressOffset = 1'000'000;
constexpr Time kListUpdateSpread = kSecond / 2;

SenderKnowledge knowledge_after(SenderKnowledge before, Outcome outcome) {
  if (outcome != Outcome::kOk) return SenderKnowledge::kFailed;
  const bool failed_before = before == SenderKnowledge::kFailed || before == SenderKnowledge::kServedAfter;
  return failed_before ? SenderKnowledge::kServedAfter : SenderKnowledge::kServed;
}

}  // namespace

struct FleetEmulator::Relay {
  size_t number = 0;
  std::unique_ptr<Policy> policy;
  std::vector<firspool::Event> events;
  bool step_planned = false;
  uint64_t process = 0;  // number of this process; events of an earlier process are ignored
  bool up = false;
  bool stopping = false;  // gets no new messages
  struct OpenMessage {
    Arrival arrival;
    int attempts = 0;
    bool in_flight = false;
    Time sent = 0;  // of the attempt in flight
    // When the first attempt that may have been executed was sent; 0: none.
    Time maybe_executed_at = 0;
  };
  std::map<uint64_t, OpenMessage> open_messages;
  std::map<std::pair<int, Endpoint>, DestinationState> saved_states;  // by destination and endpoint
  std::map<Endpoint, Time> not_ready_since;  // hosts reported as draining or removed, since when
  // Idle connections by the time they became idle; the most recently used last.
  std::map<Endpoint, std::vector<Time>> idle_connections;
  Time timer_at = 0;
  // By destination: what this process has learned of it, and when.
  struct Knowledge {
    SenderKnowledge kind = SenderKnowledge::kNone;
    Time at = 0;
  };
  std::map<int, Knowledge> knowledge;
};

struct FleetEmulator::Host {
  int destination = 0;
  int connections = 0;
  int serving = 0;
  std::deque<uint64_t> queue;
  // When the destination's rate limit admits the next call (only on its first host).
  Time next_admission = 0;
  // Calls and probes received by the destination while it was up (only on its first host).
  std::vector<ReceivedCall> received_calls;
  // Relays that saw a call or probe fail during its outage (only on its first host).
  std::set<size_t> informed_relays;
};

struct FleetEmulator::Call {
  Relay* relay = nullptr;
  uint64_t process = 0;
  Send send;
  int attempt = 0;
  Time sent = 0;
  bool new_connection = false;
  bool unanswered = false;  // received during a hang
  ReceivedCall origin;
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
  unanswered += other.unanswered;
  probes += other.probes;
  max_slow_start_load = std::max(max_slow_start_load, other.max_slow_start_load);
  max_slow_start_load_informed = std::max(max_slow_start_load_informed, other.max_slow_start_load_informed);
  overloads += other.overloads;
  overloads_informed += other.overloads_informed;
  slow_start_violations += other.slow_start_violations;
  slow_start_violations_by_all += other.slow_start_violations_by_all;
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
  for (const auto& [number, counts] : counts_) all += counts;
  return all;
}

FleetEmulator::FleetEmulator(FleetModel model) : model_(std::move(model)), random_(model_.seed) {
  std::vector<double> shares = model_.traffic_shares;
  shares.resize(static_cast<size_t>(model_.settings.relays), 1);
  load_balancer_ = std::discrete_distribution<size_t>(shares.begin(), shares.end());
  for (const DestinationModel& d : model_.destinations) {
    counts_[d.number] = {};
    for (const Endpoint& endpoint : d.hosts) hosts_[endpoint].destination = d.number;
    overload_windows_[d.number] = {};
    if (d.load > 0) schedule(0, [this, &d] { submit(d); });
    if (d.load > 0 && d.clump_share > 0) schedule(0, [this, &d] { submit_clumps(d); });
    if (d.hosts_replaced_at > 0) schedule(d.hosts_replaced_at, [this, &d] { replace_hosts(d); });
    if (d.down_to > d.down_from && d.outage_kind == OutageKind::kConnectionsRefused) {
      // Resets the calls in flight at the destination.
      schedule(d.down_from, [this, &d] {
        std::vector<uint64_t> lost;
        for (const auto& [number, call] : calls_) {
          if (hosts_.at(call.send.endpoint).destination == d.number) lost.push_back(number);
        }
        std::set<size_t> informed_relays;
        for (const uint64_t number : lost) informed_relays.insert(calls_.at(number).relay->number);
        for (const uint64_t number : lost) end_call(number, Outcome::kReset, 0, false, false);
        for (const Endpoint& endpoint : d.hosts) {
          hosts_.at(endpoint) = {};
          hosts_.at(endpoint).destination = d.number;
          for (const auto& relay : relays_) relay->idle_connections.erase(endpoint);
        }
        hosts_.at(d.hosts.front()).informed_relays = std::move(informed_relays);
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
      host_list_.push_back(m);
    }
  }
  for (const Change& change : model_.changes) {
    schedule(change.at, [this, &change] {
      for (DestinationModel& d : model_.destinations) d.*change.field = change.value;
    });
  }
  const MassRestart& restart = model_.mass_restart;
  const auto killed = static_cast<size_t>(restart.share * model_.settings.relays);
  for (size_t i = 0; i < killed; ++i) {
    const Time restart_at =
        restart.killed_at + restart.downtime + kSecond * static_cast<Time>(i) / static_cast<Time>(killed);
    schedule(restart.killed_at, [this, i, restart_at] { kill(i, restart_at); });
  }
  for (int i = 0; i < model_.settings.relays; ++i) {
    auto relay = std::make_unique<Relay>();
    relay->number = static_cast<size_t>(i);
    relays_.push_back(std::move(relay));
    start(*relays_.back(), true);
  }
}

FleetEmulator::~FleetEmulator() = default;

void FleetEmulator::schedule(Time when, std::function<void()> action) {
  events_.push({when, next_sequence_++, std::move(action)});
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
    event.action();
  }
  for (const DestinationModel& d : model_.destinations) evaluate_slow_start(d);
}

// Removes the destination's hosts and adds as many new ones with one update of the list.
void FleetEmulator::replace_hosts(const DestinationModel& d) {
  std::vector<Member> update;
  for (const Endpoint& endpoint : d.hosts) {
    Member old_host;
    old_host.endpoint = endpoint;
    old_host.state = HostState::kRemoved;
    old_host.kind = d.kind;
    old_host.destination = d.number;
    old_host.weight = d.weight;
    Member new_host = old_host;
    new_host.endpoint.address += kReplacementAddressOffset;
    new_host.state = HostState::kReady;
    update.push_back(old_host);
    update.push_back(new_host);
  }
  update_members(std::move(update), kListUpdateSpread);
}

// The relay chosen by the load balancer, or the next one that accepts messages.
FleetEmulator::Relay* FleetEmulator::choose_relay() {
  const size_t first = load_balancer_(random_);
  for (size_t i = 0; i < relays_.size(); ++i) {
    Relay& relay = *relays_[(first + i) % relays_.size()];
    if (relay.up && !relay.stopping) return &relay;
  }
  return nullptr;
}

// Schedules the next message for a destination that comes alone, and submits one.
void FleetEmulator::submit(const DestinationModel& d) {
  if (now_ >= model_.duration) return;
  const double rate = d.load * (1 - d.clump_share);
  schedule(now_ + 1 + static_cast<Time>(std::exponential_distribution<double>(rate)(random_) * 1e6),
           [this, &d] { submit(d); });
  submit_message(d);
}

// Schedules the next clump of messages for a destination. The first one comes after a random time too.
void FleetEmulator::submit_clumps(const DestinationModel& d) {
  if (now_ >= model_.duration) return;
  const int size = std::max(1, static_cast<int>(std::lround(d.clump_seconds * d.weight)));
  const double rate = d.load * d.clump_share / size;
  const Time pause = 1 + static_cast<Time>(std::exponential_distribution<double>(rate)(random_) * 1e6);
  schedule(now_ + pause, [this, &d, size] {
    for (int i = 0; i < size; ++i) submit_message(d);
    submit_clumps(d);
  });
}

void FleetEmulator::submit_message(const DestinationModel& d) {
  Relay* const available = choose_relay();
  if (available == nullptr) return;  // no relay is available: not counted as offered
  Relay& relay = *available;
  Arrival in;
  in.id = ++last_message_id_;
  in.destination = d.number;
  in.message_class = d.message_class;
  in.due = now_ + model_.settings.classes.at(d.message_class).give_up;
  ++counts_[d.number].offered;
  relay.open_messages[in.id].arrival = in;
  post_event(relay, in);
}

void FleetEmulator::start(Relay& relay, bool first) {
  ++relay.process;
  Settings settings = model_.settings;
  settings.self = static_cast<int>(relay.number);
  relay.policy =
      std::make_unique<Policy>(settings, model_.seed * 1000003 + relay.number * 97 + relay.process);
  relay.events.clear();
  relay.idle_connections.clear();
  relay.timer_at = 0;
  relay.knowledge.clear();
  relay.up = true;
  relay.stopping = false;
  MembersChanged list;
  list.members = std::make_shared<std::vector<Member>>(host_list_);
  post_event(relay, list);
  // Changes from before this process was started.
  for (const Member& member : host_list_) {
    if (member.state != HostState::kReady) relay.not_ready_since.try_emplace(member.endpoint, now_);
  }
  if (first) return;
  for (const auto& [route, state] : relay.saved_states) post_event(relay, state);
  for (auto& [id, open_message] : relay.open_messages) {
    if (std::exchange(open_message.in_flight, false) && open_message.maybe_executed_at == 0)
      open_message.maybe_executed_at = open_message.sent;
    Arrival in = open_message.arrival;
    in.attempts = open_message.attempts;
    in.maybe_executed = open_message.maybe_executed_at != 0;
    in.maybe_executed_sent = open_message.maybe_executed_at;
    post_event(relay, in);
  }
}

// Closes the relay's connections; its calls in flight may have been executed.
void FleetEmulator::kill(size_t number, Time restart_at) {
  Relay& relay = *relays_.at(number);
  if (!relay.up) return;
  ++relay.process;
  relay.up = false;
  while (!relay.idle_connections.empty())
    close_idle_connections(relay, relay.idle_connections.begin()->first);
  relay.events.clear();
  schedule(restart_at, [this, &relay] { start(relay, false); });
}

void FleetEmulator::shut_down(size_t number, Time kill_at, Time restart_at) {
  Relay& relay = *relays_.at(number);
  if (!relay.up) return;
  relay.stopping = true;
  post_event(relay, ShutdownScheduled{kill_at});
  schedule(kill_at, [this, number, restart_at] { kill(number, restart_at); });
}

void FleetEmulator::update_members(std::vector<Member> members, Time within) {
  for (const Member& member : members) {
    hosts_[member.endpoint].destination = member.destination;
    std::erase_if(host_list_, [&](const Member& m) { return m.endpoint == member.endpoint; });
    if (member.state != HostState::kRemoved) host_list_.push_back(member);
  }
  const auto update = std::make_shared<std::vector<Member>>(std::move(members));
  for (const auto& entry : relays_) {
    schedule(now_ + static_cast<Time>(random_fraction() * static_cast<double>(within)),
             [this, update, relay = entry.get()] {
               if (!relay->up) return;  // it reads the list when it is restarted
               for (const Member& member : *update) {
                 if (member.state == HostState::kReady) {
                   relay->not_ready_since.erase(member.endpoint);
                 } else {
                   relay->not_ready_since.try_emplace(member.endpoint, now_);
                 }
               }
               MembersChanged change;
               change.form = MembersChanged::Form::kDelta;
               change.members = update;
               post_event(*relay, change);
             });
  }
}

bool FleetEmulator::may_repeat(const Relay& relay, uint64_t id) const {
  const Relay::OpenMessage& open_message = relay.open_messages.at(id);
  if (open_message.maybe_executed_at == 0) return true;
  const ClassSettings& c = model_.settings.classes.at(open_message.arrival.message_class);
  return c.effect == Effect::kSafe ||
         (c.effect == Effect::kKeyed && now_ <= open_message.maybe_executed_at + c.key_window);
}

void FleetEmulator::post_event(Relay& relay, firspool::Event event) {
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
  for (const Action& action : actions) execute(relay, action);
}

void FleetEmulator::execute(Relay& relay, const Action& action) {
  if (const auto* send = std::get_if<Send>(&action)) {
    start_call(relay, *send);
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    const Arrival& in = relay.open_messages.at(refuse->id).arrival;
    ++counts_[in.destination].refused;
    counts_[in.destination].refused_late += in.due - now_ < kSecond;
    relay.open_messages.erase(refuse->id);
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    ++counts_[relay.open_messages.at(fail->id).arrival.destination].failed;
    relay.open_messages.erase(fail->id);
  } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
    for (auto& [number, call] : calls_) {
      if (call.relay != &relay || call.send.id != cancel->id || call.attempt != cancel->attempt) continue;
      return end_call(number, Outcome::kCancelled, 0, false, false);
    }
  } else if (const auto* probe = std::get_if<Probe>(&action)) {
    const DestinationModel& d = destination(hosts_.at(probe->endpoint).destination);
    const Endpoint endpoint = probe->endpoint;
    ++counts_[d.number].probes;
    const uint64_t process = relay.process;
    const bool up = !is_out(d, now_) || serves_during_outage(d);
    Host& first = hosts_.at(d.hosts.front());
    if (up) {
      first.received_calls.push_back(received_call(relay, d.number, now_));
      first.received_calls.back().is_probe = true;
    } else {
      first.informed_relays.insert(relay.number);
    }
    schedule(now_ + 4 * model_.one_way_latency, [this, &relay, endpoint, process, up] {
      if (relay.process == process)
        post_event(relay, ProbeEnded{endpoint, up, 4 * model_.one_way_latency, {}});
    });
  } else if (const auto* close = std::get_if<CloseIdleConnections>(&action)) {
    close_idle_connections(relay, close->endpoint);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    relay.timer_at = timer->at;
    const uint64_t process = relay.process;
    schedule(timer->at, [this, &relay, process, token = timer->token] {
      if (relay.process == process && relay.timer_at == now_) post_event(relay, TimerFired{token});
    });
  } else if (const auto* save = std::get_if<SaveDestinationState>(&action)) {
    relay.saved_states[{save->state.destination, save->state.endpoint}] = save->state;
  }
}

void FleetEmulator::close_idle_connections(Relay& relay, const Endpoint& endpoint) {
  const auto list = relay.idle_connections.find(endpoint);
  if (list == relay.idle_connections.end()) return;
  hosts_.at(endpoint).connections -= static_cast<int>(list->second.size());
  relay.idle_connections.erase(list);
}

ReceivedCall FleetEmulator::received_call(const Relay& relay, int destination, Time sent) const {
  ReceivedCall call;
  call.at = now_;
  call.relay = relay.number;
  call.sent = sent;
  const auto found = relay.knowledge.find(destination);
  if (found == relay.knowledge.end()) return call;
  call.knowledge = found->second.kind;
  call.knowledge_age = now_ - found->second.at;
  return call;
}

void FleetEmulator::start_call(Relay& relay, const Send& send) {
  const uint64_t number = ++last_call_number_;
  Call& out = calls_[number];
  Relay::OpenMessage& message = relay.open_messages.at(send.id);
  DestinationCounts& counts = counts_[message.arrival.destination];
  counts.forbidden_repeats += !may_repeat(relay, send.id);
  const auto not_ready = relay.not_ready_since.find(send.endpoint);
  counts.calls_after_drain +=
      not_ready != relay.not_ready_since.end() && now_ > not_ready->second + model_.settings.drain_grace;
  message.in_flight = true;
  message.sent = now_;
  out.relay = &relay;
  out.process = relay.process;
  out.send = send;
  out.attempt = message.attempts++;
  out.sent = now_;
  out.origin = received_call(relay, message.arrival.destination, now_);
  std::vector<Time>& list = relay.idle_connections[send.endpoint];
  std::erase_if(list, [&](Time since) {
    const bool old = now_ - since >= model_.settings.conn_idle_timeout - kSecond;
    hosts_.at(send.endpoint).connections -= old;
    return old;
  });
  out.new_connection = list.empty();
  if (!out.new_connection) list.pop_back();
  Time way = model_.one_way_latency;
  if (out.new_connection) way += 2 * model_.one_way_latency * model_.handshake_round_trips;
  schedule(now_ + way, [this, number] { receive_call(number); });
  schedule(now_ + send.timeout, [this, number] { end_call(number, Outcome::kTimeout, 0, false, false); });
}

bool FleetEmulator::is_out(const DestinationModel& d, Time at) { return at >= d.down_from && at < d.down_to; }

// Whether the outage lets a call through that reaches the destination now.
bool FleetEmulator::serves_during_outage(const DestinationModel& d) {
  return d.outage_kind == OutageKind::kMostCallsFail && random_fraction() >= d.outage_failing_share;
}

void FleetEmulator::receive_call_during_outage(uint64_t number, const DestinationModel& d) {
  Call& call = calls_.at(number);
  DestinationCounts& counts = counts_[d.number];
  if (d.outage_kind == OutageKind::kHang) {
    ++counts.unanswered;
    call.unanswered = true;
    return;
  }
  hosts_.at(d.hosts.front()).informed_relays.insert(call.relay->number);
  if (d.outage_kind == OutageKind::kConnectionsRefused) {
    ++counts.connect_failures;
    return end_call(number, Outcome::kConnectFailed, 0, false, false);
  }
  if (d.outage_kind == OutageKind::kMostCallsFail) return end_call(number, Outcome::kError, 0, false, true);
  ++counts.other_refusals;
  const bool tells_wait = d.outage_retry_after_share > 0 && random_fraction() < d.outage_retry_after_share;
  end_call(number, Outcome::kRefused, tells_wait ? std::max<Time>(d.down_to - now_, 1) : 0, false, true);
}

// The last byte of a call reaches its host.
void FleetEmulator::receive_call(uint64_t number) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) return;
  Call& call = it->second;
  Host& host = hosts_.at(call.send.endpoint);
  const DestinationModel& d = destination(hosts_.at(call.send.endpoint).destination);
  DestinationCounts& counts = counts_[d.number];
  if (is_out(d, now_) && !serves_during_outage(d)) return receive_call_during_outage(number, d);
  if (now_ >= d.unresponsive_from && now_ < d.unresponsive_to) return;  // no answer
  ++counts.calls;
  Host& first = hosts_.at(d.hosts.front());
  first.received_calls.push_back(call.origin);
  first.received_calls.back().at = now_;
  if (call.new_connection) {
    ++counts.new_connections;
    if (d.max_connections > 0 && host.connections >= d.max_connections) {
      ++counts.connection_limit_refusals;
      return end_call(number, Outcome::kRefused, 0, true, false);
    }
    ++host.connections;
  }
  if (d.rate_limit > 0) {
    // Admits this many calls a second, at once or spread.
    const Time gap = static_cast<Time>(1e6 / d.rate_limit);
    if (first.next_admission > now_ + kSecond) {
      ++counts.other_refusals;
      if (d.refused_calls_count) first.next_admission += gap;
      return end_call(number, Outcome::kRefused, random_fraction() < d.retry_after_share ? d.retry_after : 0,
                      false, true);
    }
    first.next_admission = std::max(first.next_admission, now_) + gap;
  }
  if (host.serving < d.concurrency) return start_service(host, number);
  if (static_cast<int>(host.queue.size()) < d.max_queued) return host.queue.push_back(number);
  ++counts.other_refusals;
  end_call(number, Outcome::kRefused, 0, false, true);
}

void FleetEmulator::start_service(Host& host, uint64_t number) {
  ++host.serving;
  const DestinationModel& d = destination(hosts_.at(calls_.at(number).send.endpoint).destination);
  const Endpoint endpoint = calls_.at(number).send.endpoint;
  const Time duration = d.service_time / 2 + static_cast<Time>(std::exponential_distribution<double>(
                                                 2.0 / static_cast<double>(d.service_time))(random_));
  schedule(now_ + duration, [this, number, endpoint] {
    Host& served = hosts_.at(endpoint);
    if (served.serving == 0) return;  // it went down in the meantime
    --served.serving;
    const DestinationModel& model = destination(served.destination);
    const bool silent = (now_ >= model.unresponsive_from && now_ < model.unresponsive_to) ||
                        (model.outage_kind == OutageKind::kHang && is_out(model, now_));
    const bool failing =
        now_ >= model.failing_from && now_ < model.failing_to && random_fraction() < model.failing_share;
    const bool reset = model.reset_share > 0 && random_fraction() < model.reset_share;
    if (failing && !silent && calls_.contains(number)) {
      hosts_.at(model.hosts.front()).informed_relays.insert(calls_.at(number).relay->number);
      end_call(number, Outcome::kError, 0, false, true);
    }
    if (calls_.contains(number) && !silent) {
      end_call(number, reset ? Outcome::kReset : Outcome::kOk, 0, false, !reset);
    }
    while (!served.queue.empty()) {
      const uint64_t next = served.queue.front();
      served.queue.pop_front();
      if (!calls_.contains(next)) continue;
      start_service(served, next);
      break;
    }
  });
}

void FleetEmulator::end_call(uint64_t number, Outcome outcome, Time wait, bool connection_limit_reached,
                             bool keep_connection) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) return;
  const Call call = it->second;
  calls_.erase(it);
  // The call had a connection there.
  const bool had_connection = outcome != Outcome::kConnectFailed && !connection_limit_reached;
  // An answer that arrives after the relay stopped waiting finds the connection closed.
  const Time gives_up = call.sent + call.send.timeout;
  const bool immediate = outcome == Outcome::kTimeout || outcome == Outcome::kCancelled;
  Time arrives = immediate ? now_ : now_ + model_.one_way_latency;
  if (arrives > gives_up) {
    arrives = std::max(now_, gives_up);
    outcome = Outcome::kTimeout;
    wait = 0;
    connection_limit_reached = keep_connection = false;
  }
  const Endpoint endpoint = call.send.endpoint;
  if (had_connection && !keep_connection && hosts_.at(endpoint).connections > 0)
    --hosts_.at(endpoint).connections;
  DestinationCounts& counts = counts_[hosts_.at(endpoint).destination];
  schedule(arrives, [this, call, endpoint, outcome, wait, connection_limit_reached, keep_connection,
                     &counts] {
    Relay& relay = *call.relay;
    if (relay.process != call.process) {
      if (keep_connection) --hosts_.at(endpoint).connections;
      return;
    }
    if (keep_connection) relay.idle_connections[endpoint].push_back(now_);
    const DestinationModel& d = destination(hosts_.at(endpoint).destination);
    if (call.unanswered && now_ < d.down_to) hosts_.at(d.hosts.front()).informed_relays.insert(relay.number);
    Relay::Knowledge& knowledge = relay.knowledge[d.number];
    knowledge.kind = knowledge_after(knowledge.kind, outcome);
    knowledge.at = now_;
    AttemptEnded end;
    end.id = call.send.id;
    end.attempt = call.attempt;
    end.endpoint = endpoint;
    end.outcome = outcome;
    end.duration = now_ - call.sent;
    end.retry_after = wait;
    end.connection_limit_reached = connection_limit_reached;
    end.final = outcome == Outcome::kOk;
    if (const auto message = relay.open_messages.find(call.send.id); message != relay.open_messages.end()) {
      Relay::OpenMessage& open_message = message->second;
      open_message.in_flight = false;
      const bool not_executed = outcome == Outcome::kRefused || outcome == Outcome::kConnectFailed;
      if (!not_executed && open_message.maybe_executed_at == 0) open_message.maybe_executed_at = call.sent;
      if (end.final) {
        const ClassSettings& c = model_.settings.classes.at(open_message.arrival.message_class);
        ++counts.delivered;
        counts.in_time += now_ <= open_message.arrival.due - c.give_up + c.target;
        relay.open_messages.erase(message);
      }
    }
    post_event(relay, end);
  });
}

// Records the maximum load within an overload window during slow start, relative to the destination's
// capacity in that window; and the same for windows in which relays that had seen it fail sent at least two
// thirds of the load.
void FleetEmulator::evaluate_slow_start(const DestinationModel& d) {
  const Settings& s = model_.settings;
  if (d.down_to <= d.down_from || s.overload_window <= 0) return;
  const Host& host = hosts_.at(d.hosts.front());
  const double full_rate = static_cast<double>(d.concurrency) * static_cast<double>(d.hosts.size()) * 1e6 /
                           static_cast<double>(d.service_time);
  // Calls that it could serve from its recovery until time t.
  const auto capacity_until = [&](Time t) {
    const double age = static_cast<double>(std::clamp<Time>(t - d.down_to, 0, s.slow_start)) / 1e6;
    const double all = std::max(1e-9, static_cast<double>(s.slow_start) / 1e6);
    return full_rate * (s.start_capacity * age + (1 - s.start_capacity) * age * age / (2 * all));
  };
  DestinationCounts& counts = counts_[d.number];
  size_t first = 0;
  double sent_by_informed = 0;
  bool overloaded = false;
  bool overloaded_by_informed = false;
  bool violated = false;
  bool violated_by_all = false;
  for (size_t i = 0; i < host.received_calls.size() && host.received_calls[i].at <= d.down_to + s.slow_start;
       ++i) {
    const Time from = host.received_calls[i].at - s.overload_window;
    sent_by_informed += host.informed_relays.contains(host.received_calls[i].relay);
    while (host.received_calls[first].at < std::max(from, d.down_to) && first < i) {
      sent_by_informed -= host.informed_relays.contains(host.received_calls[first++].relay);
    }
    const double sent = static_cast<double>(i + 1 - first);
    // The budget of the first window starts at the recovery.
    const Time begins = std::max(from, d.down_to);
    const double budget =
        s.overload_factor * (capacity_until(begins + s.overload_window) - capacity_until(begins));
    const bool by_informed = 3 * sent_by_informed >= 2 * sent;
    if (sent > budget + 2 * std::sqrt(budget) + 2) {
      overloaded = true;
      overloaded_by_informed = overloaded_by_informed || by_informed;
    }
    const double roots = budget < 30 ? 3 : 2;
    const bool over_tolerance = sent > budget + roots * std::sqrt(budget) + roots;
    if (over_tolerance && !violated_by_all) {
      const auto begin = host.received_calls.begin();
      overload_windows_[d.number] = {
          begins,
          budget,
          {begin + static_cast<std::ptrdiff_t>(first), begin + static_cast<std::ptrdiff_t>(i + 1)}};
      for (ReceivedCall& call : overload_windows_[d.number].calls)
        call.informed = host.informed_relays.contains(call.relay);
    }
    violated_by_all = violated_by_all || over_tolerance;
    violated = violated || (by_informed && over_tolerance);
    if (by_informed) {
      counts.max_overload_excess = std::max(counts.max_overload_excess, (sent - budget) / std::sqrt(budget));
    }
    if (from < d.down_to) continue;
    const double load =
        sent / std::max(1e-9, capacity_until(host.received_calls[i].at) - capacity_until(from));
    counts.max_slow_start_load = std::max(counts.max_slow_start_load, load);
    if (by_informed)
      counts.max_slow_start_load_informed = std::max(counts.max_slow_start_load_informed, load);
  }
  counts.overloads += overloaded;
  counts.overloads_informed += overloaded_by_informed;
  counts.slow_start_violations += violated;
  counts.slow_start_violations_by_all += violated_by_all;
}

}  // namespace umberhoist::emulator

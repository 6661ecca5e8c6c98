#include "relay.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>

namespace firspool::relay {
namespace {

const std::string kHost = "host ";  // names of what is remembered
const std::string kDestination = "destination ";
const std::string kGone = "gone ";
const std::string kRevision = "revision";
const std::string kDestinations = "destinations";

const std::string kTaken = "+OK";

constexpr Time kMs = 1000;
constexpr Time kServeOn = 500 * kMs;    // after SIGTERM: new connections still come for a while
constexpr Time kLastCall = 3500 * kMs;  // SIGKILL follows 3.7 s after SIGTERM at the soonest
constexpr Time kStopPoll = 50 * kMs;
constexpr Time kRecordAgain = 20 * kMs;  // a notice that the disk did not take
constexpr Time kBusyLeast = 100 * kMs;   // told where there is no room
constexpr Time kBusyMost = 2000 * kMs;
constexpr Time kFirstEndAge =
    100 * kMs;  // a flood that is turned away is not to search all that is held each time
constexpr size_t kTidyBytes = 32 * 1024;  // copied forward in one turn at most
constexpr Time kFirstWord = 300 * kMs;    // discovery answers at once, unless it is down
constexpr Time kClockSlack = 100 * kMs;   // clients round what they measure
constexpr Time kTransit = 2 * kMs;        // a message's time runs from its client's sending

// The descriptors: those of the process itself, clients, and calls with their idle connections. Calls have
// what they need, then clients, who need a third for requests, half; idle connections what is left.
constexpr size_t kOwnDescriptors =
    24;  // standard ones, event loop, signals, listener, journal twice, watches, notices
constexpr size_t kProbes = 8;

size_t most_calls(const Config& config) {
  const size_t half = (config.max_sockets - kOwnDescriptors) / 2;
  return std::min(half, static_cast<size_t>(config.settings.slots) + kProbes);
}

size_t most_clients(const Config& config) {
  return std::min(config.max_sockets / 2, config.max_sockets - kOwnDescriptors - most_calls(config));
}

Upstream::Limits upstream_limits(const Config& config) {
  Upstream::Limits out;
  out.connect_timeout = config.settings.connect_timeout;
  out.idle_timeout = config.settings.conn_idle_timeout;
  out.max_connections = config.max_sockets - kOwnDescriptors - most_clients(config);
  return out;
}

std::chrono::steady_clock::time_point at_time(Time t) {
  return std::chrono::steady_clock::time_point(std::chrono::microseconds(t));
}

}  // namespace

Relay::Relay(boost::asio::io_context& io, const Config& config,
             std::function<void(const tcp::endpoint&)> listening,
             std::unique_ptr<umberhoist::state::Files> files, std::unique_ptr<umberhoist::fleet::Fleet> fleet)
    : io_(io),
      config_(config),
      files_(files ? std::move(files) : umberhoist::state::make_posix_files(config.state_folder)),
      journal_(*files_,
               {config.max_disk_bytes, config.name, config.settings.max_attempts, 0, config.durability}),
      policy_(config.settings, config.seed),
      room_(kBusyLeast, config.settings.max_retry_after > 0
                            ? std::clamp(config.settings.max_retry_after, kBusyLeast, kBusyMost)
                            : kBusyMost),
      wake_timer_(io),
      stop_timer_(io),
      record_timer_(io),
      sync_timer_(io),
      notices_(io, config.discovery, [this](const std::string& id) { journal_.record_done(id); }),
      upstream_(
          io, upstream_limits(config), config.report_fields,
          [this](const Call& call) { return may_start(call); },
          [this](const Endpoint& endpoint) { return may_probe(endpoint); },
          [this](const AttemptEnded& end, bool began) { ended(end, began); },
          [this](const ProbeEnded& end) {
            happened(end);
            back(end.endpoint);
          }),
      watch_(
          io, config.discovery, config.list_names,
          [this, known = config.known_hosts.revision] { return std::max(known, directory_.revision()); },
          [this](const HostList& list) { told(list); }, [this] { open(); },
          {{config.settings.list_requires_watch ? config.settings.list_request_interval : 0,
            config.settings.relays},
           config.seed},
          !config.known_hosts.hosts.empty()),
      listening_(std::move(listening)),
      open_timer_(io) {
  if (config.durability == umberhoist::state::Durability::kGroupCommit) syncer_.emplace(1);
  if (fleet) {
    FleetAdapter::Hooks hooks;
    hooks.happened = [this](Event event) { happened(std::move(event)); };
    hooks.destinations = [this] {
      return std::vector<int>(directory_.destinations().begin(), directory_.destinations().end());
    };
    hooks.held = [this] {
      std::vector<int> out;
      for (const auto& [number, held] : held_) out.push_back(held.handed.destination);
      return out;
    };
    hooks.take_over = [this](const std::string& text) { return take_over_version(text); };
    fleet_.emplace(io_, std::move(fleet), config_.settings, config_.seed, std::move(hooks));
  }
  recall();
  told(config_.known_hosts);
  open_timer_.expires_after(std::chrono::microseconds(kFirstWord));
  open_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) open();
  });
}

// What the process before knew of hosts and destinations. The configuration's list may be older: hosts that
// were told to drain would be sent to again.
void Relay::recall() {
  const auto facts = journal_.metadata();
  HostList list;
  list.complete = true;
  std::vector<DestinationState> memories;
  const Time offset = steady_now() - wall_now();
  const auto steady = [&](Time t) { return t == 0 ? 0 : t + offset; };
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [name, value] : facts) {
    const nlohmann::json fact = nlohmann::json::parse(value);
    if (name == kRevision) list.revision = fact.get<int64_t>();
    if (name.starts_with(kGone)) directory_.add_removed(name.substr(kGone.size()), fact.get<Time>());
    if (name == kDestinations) {
      for (const int destination : fact.get<std::vector<int>>()) directory_.add_destination(destination);
    }
    if (name.starts_with(kHost)) members.push_back(fact);
    if (name.starts_with(kDestination)) {
      memories.push_back({std::stoi(name.substr(kDestination.size())), fact.at("tokens").get<int>(),
                          steady(fact.at("out_since").get<Time>()), steady(fact.at("back_since").get<Time>()),
                          fact.at("base").get<double>(), fact.value("pace", 0.0)});
    }
  }
  list.hosts =
      parse_list({{"revision", list.revision}, {"complete", true}, {"members", members}}, config_.list_names)
          .hosts;
  if (!list.hosts.empty()) told(list);
  for (const DestinationState& memory : memories) happened(memory);
}

void Relay::remember(const DestinationState& memory) {
  const Time offset = wall_now() - steady_now();
  const auto wall = [&](Time t) { return t == 0 ? 0 : t + offset; };
  const nlohmann::json fact = {{"tokens", memory.retry_tokens},
                               {"out_since", wall(memory.outage_start)},
                               {"back_since", wall(memory.recovery_start)},
                               {"base", memory.baseline_rate},
                               {"pace", memory.pacing_rate}};
  journal_.put_metadata(kDestination + std::to_string(memory.destination), fact.dump());
}

int Relay::class_of(const std::string& name) const {
  const auto& classes = config_.settings.classes;
  const auto it = std::find_if(classes.begin(), classes.end(), [&](const auto& c) { return c.name == name; });
  return it == classes.end() ? -1 : static_cast<int>(it - classes.begin());
}

// -1: none is named, so no quota is known for it.
int Relay::tenant_of(const std::string& name) const {
  const auto& tenants = config_.settings.tenants;
  const auto it = std::find_if(tenants.begin(), tenants.end(), [&](const auto& t) { return t.name == name; });
  return it == tenants.end() ? -1 : static_cast<int>(it - tenants.begin());
}

// Only now messages are taken on or resumed: what discovery had to tell at once has been heard.
void Relay::open() {
  if (clients_ || stopping_since_ != 0) return;
  resume();
  clients_.emplace(io_, config_.listen, most_clients(config_),
                   [this](Submission handed, ClientServer::ReplyCallback answer) {
                     put(std::move(handed), std::move(answer));
                   });
  listening_(clients_->address());
  for (const std::string& line : journal_.recovery_report().log_lines)
    std::fprintf(stderr, "journal: %s\n", line.c_str());
}

// Messages from before a restart are the module's to decide on, like any other.
void Relay::resume() {
  const Time now = steady_now();
  const Time wall = wall_now();
  journal_.recover([&](umberhoist::state::RecoveredMessage entry) {
    if (entry.pending_notice) {
      notices_.add(*entry.pending_notice);
      return;
    }
    const uint64_t number = ++last_number_;
    Held& held = held_[number];
    held.attempts = entry.attempts;
    held.accepted = true;
    held.handed = std::move(entry.message);
    numbers_[held.handed.id] = number;
    Arrival in;
    in.id = number;
    in.message_class = class_of(held.handed.message_class);
    if (in.message_class < 0) {  // no class of these settings: nothing is known of what it allows
      finish(number, Notice{held.handed.id, entry.maybe_executed.empty(), 0});
      return;
    }
    // Where the wall clock was stepped back meanwhile, no life is longer for it than its class allows,
    const Time life = config_.settings.classes[static_cast<size_t>(in.message_class)].give_up;
    held.due = now + std::min(entry.due - wall, life);
    in.due = held.due;
    in.tenant = tenant_of(held.handed.tenant);
    in.destination = held.handed.destination;
    in.attempts = entry.attempts;
    if (!entry.maybe_executed.empty()) {
      const auto& [sent, zone] = entry.maybe_executed.begin()->second;
      in.maybe_executed = true;
      in.maybe_executed_sent = now + (sent - wall);
      // and how long ago an attempt of a time to come was made is not known: no window counts on it.
      if (sent > wall) in.maybe_executed_sent = std::numeric_limits<Time>::min() / 2;
      in.maybe_executed_zone = zone;
    }
    fleet_ ? fleet_->resume(in) : happened(in);
  });
  if (fleet_) fleet_->resumed(now);
}

// No room for it: the module has no say in that. Says when some is likely.
std::string Relay::busy(size_t bytes) {
  const Time now = steady_now();
  if (first_end_at_ == 0 || now - first_end_at_ > kFirstEndAge) {
    first_end_ = std::numeric_limits<Time>::max();
    for (const auto& [number, held] : held_) first_end_ = std::min(first_end_, held.due);
    first_end_at_ = now;
  }
  return "-BUSY " + std::to_string((room_.time_until_available(now, bytes, first_end_) + kMs - 1) / kMs);
}

void Relay::put(Submission handed, ClientServer::ReplyCallback answer) {
  if (const auto number = numbers_.find(handed.id); number != numbers_.end()) {  // sent once more
    const Held& held = held_.at(number->second);
    if (held.accepted) return answer_taken(held.safe_at, std::move(answer));
    pending_.push_back({number->second, std::move(answer)});
    return;
  }
  const int message_class = class_of(handed.message_class);
  if (message_class < 0) return answer("-ERR unknown class");
  const ClassSettings& settings = config_.settings.classes[message_class];
  if (settings.effect == Effect::kKeyed && handed.key.empty()) return answer("-ERR no idempotency key");
  if (handed.lifetime > settings.give_up + kClockSlack) return answer("-ERR d is too long");
  if (!config_.settings.tenants.empty() && tenant_of(handed.tenant) < 0) return answer("-ERR unknown tenant");
  if (!directory_.is_known(handed.destination)) return answer("-ERR unknown destination");
  if (held_.size() >= static_cast<size_t>(config_.settings.max_open)) return answer(busy(handed.body.size()));
  const uint64_t number = ++last_number_;
  Arrival in;
  in.id = number;
  in.message_class = message_class;
  in.due = steady_now() + handed.lifetime - std::min(kTransit, handed.lifetime);
  in.destination = handed.destination;
  in.tenant = tenant_of(handed.tenant);
  numbers_[handed.id] = number;
  held_[number] = {std::move(handed), in.due, 0, false};
  pending_.push_back({number, std::move(answer)});
  happened(in);
}

void Relay::told(const HostList& list) {
  const Time wall = wall_now();
  const auto destinations = directory_.destinations().size();
  auto change = directory_.apply(list, wall);
  journal_.put_metadata(kRevision, std::to_string(directory_.revision()));
  for (const std::string& id : directory_.prune_removed(wall)) journal_.put_metadata(kGone + id, "");
  if (!change) return;
  const auto members = change->members;
  happened(std::move(*change));
  for (const Member& member : *members) {
    if (const ListedHost* host = directory_.find(member.endpoint)) remember_host(*host);
    forget_gone(member.endpoint);
  }
  if (directory_.destinations().size() != destinations) {
    journal_.put_metadata(kDestinations, nlohmann::json(directory_.destinations()).dump());
  }
  std::erase_if(waits_, [now = steady_now()](const auto& wait) { return wait.second <= now; });
}

void Relay::remember_host(const ListedHost& host) {
  const bool gone = host.member.state == HostState::kRemoved;
  journal_.put_metadata(kHost + host.id, gone ? "" : host.json_text);
  journal_.put_metadata(kGone + host.id, gone ? std::to_string(directory_.removed().at(host.id)) : "");
}

// Its connections are of no use, and a machine that takes its address over must not get them. It is known
// until its last call has ended.
void Relay::forget_gone(const Endpoint& endpoint) {
  const ListedHost* host = directory_.find(endpoint);
  if (host == nullptr || host->member.state != HostState::kRemoved) return;
  upstream_.close_idle(endpoint);
  if (!out_.contains(endpoint)) directory_.erase(endpoint);
}

void Relay::back(const Endpoint& endpoint) {
  const auto out = out_.find(endpoint);
  if (out == out_.end() || --out->second > 0) return;
  out_.erase(out);
  forget_gone(endpoint);
}

void Relay::reload(const Config& config, std::function<void(const std::string&)> told) {
  if (!fleet_) {
    take_over(config);
    return told("configuration read again");
  }
  // What is this relay's own is taken over with the fleet's word on what is not: inside a window there is
  // none.
  fleet_->propose(config.common_settings, [this, config, told](bool done, const std::string& why) {
    if (done) {
      take_over(config);
      config_.source_text = config.source_text;  // a version that comes later keeps what is this relay's own
    }
    told(done ? "configuration read again, and known to the fleet" : "configuration stays as it was: " + why);
  });
}

bool Relay::take_over_version(const std::string& text) {
  try {
    take_over(with_common_settings(config_, text));
    return true;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "configuration of the fleet: %s\n", error.what());
    return false;
  }
}

void Relay::take_over(const Config& config) {
  config_.discovery = config.discovery;
  watch_.set_address(config.discovery);
  notices_.set_address(config.discovery);
}

std::pair<int, Endpoint> Relay::lane_of(const Member& member) const {
  const auto& kinds = config_.settings.kinds;
  const bool apart = member.kind < static_cast<int>(kinds.size()) && kinds[member.kind].independent_endpoints;
  return {member.destination, apart ? member.endpoint : Endpoint{}};
}

// The last look before a call's first byte. While its connection came up the host may have been drained, its
// destination may have told another call to wait, or the message may be over.
Upstream::StartDecision Relay::may_start(const Call& call) {
  using StartDecision = Upstream::StartDecision;
  const auto it = held_.find(call.id);
  const ListedHost* host = directory_.find(call.endpoint);
  if (it == held_.end() || !directory_.is_active(call.endpoint)) return StartDecision::kNo;
  if (steady_now() > call.start_by) return StartDecision::kNo;
  const auto wait = waits_.find(lane_of(host->member));
  if (wait != waits_.end() && wait->second > steady_now()) return StartDecision::kNo;
  Held& held = it->second;
  if (held.recorded != call.attempt) {
    if (!journal_.record_attempt(held.handed.id, call.attempt, wall_now(), host->member.zone))
      return StartDecision::kNo;
    held.recorded = call.attempt;
    held.safe_at = journal_.written_position();
  }
  if (journal_.is_durable(held.safe_at)) return StartDecision::kYes;
  sync();
  return StartDecision::kLater;
}

// The same of a probe, which counts as a call: its connection may come up after its host was drained, or its
// destination told a call to wait.
bool Relay::may_probe(const Endpoint& endpoint) {
  const ListedHost* host = directory_.find(endpoint);
  if (host == nullptr || !directory_.is_active(endpoint)) return false;
  const auto wait = waits_.find(lane_of(host->member));
  return wait == waits_.end() || wait->second <= steady_now();
}

void Relay::ended(const AttemptEnded& end, bool began) {
  const bool never = end.outcome == Outcome::kRefused || end.outcome == Outcome::kConnectFailed ||
                     end.outcome == Outcome::kNotStarted;
  const auto held = held_.find(end.id);
  const ListedHost* host = directory_.find(end.endpoint);
  if (end.retry_after > 0 && host != nullptr) {
    Time& until = waits_[lane_of(host->member)];
    until = std::max(until, steady_now() + end.retry_after);
  }
  if (fleet_ && host != nullptr) fleet_->ended(host->member.destination, end.outcome, steady_now());
  if (held != held_.end()) {
    if (end.final) {
      finish(end.id, {});
    } else if (never && (began || held->second.recorded == end.attempt)) {
      journal_.record_not_executed(held->second.handed.id, end.attempt);
    }
  }
  happened(end);
  back(end.endpoint);
}

void Relay::happened(Event event) {
  events_.push_back(std::move(event));
  if (step_posted_) return;
  step_posted_ = true;
  boost::asio::post(io_, [this] { step(); });
}

void Relay::step() {
  step_posted_ = false;
  std::vector<Event> events;
  events.swap(events_);
  std::vector<Action> actions;
  policy_.step(steady_now(), events, actions);
  answer_pending(actions);
  for (const Action& action : actions) carry_out(action);
  journal_.compact(kTidyBytes);
  sync();
  arm();
}

// A message is the relay's from the moment that its record is written; only then its client is told, and only
// then it may be sent.
void Relay::answer_pending(const std::vector<Action>& actions) {
  std::map<uint64_t, std::string> turned_away;
  if (!pending_.empty()) {
    for (const Action& action : actions) {
      if (const auto* refuse = std::get_if<Refuse>(&action)) {
        const Time ms = (refuse->retry_after + kMs - 1) / kMs;
        turned_away[refuse->id] = ms > 0 ? "-BUSY " + std::to_string(ms) : "-BUSY";
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        turned_away[fail->id] = "-ERR failed";
      }
    }
  }
  std::vector<Pending> pending;
  pending.swap(pending_);
  std::map<uint64_t, std::string> answers;  // one for all who handed the same message in
  for (const Pending& item : pending) {
    const auto [line, fresh] = answers.try_emplace(item.number, kTaken);
    const auto held = held_.find(item.number);
    if (fresh && held != held_.end()) {
      const Submission& handed = held->second.handed;
      if (const auto away = turned_away.find(item.number); away != turned_away.end()) {
        line->second = away->second;
      } else if (journal_.record_accepted(handed, wall_now() + held->second.due - steady_now())) {
        held->second.accepted = true;
        held->second.safe_at = journal_.written_position();
      } else {
        line->second = busy(handed.body.size());  // no room on the disk
        happened(Withdrawn{item.number});
      }
      if (!held->second.accepted) {
        numbers_.erase(handed.id);
        held_.erase(held);
      }
    }
    if (line->second == kTaken && held != held_.end()) {
      answer_taken(held->second.safe_at, item.answer);
    } else {
      item.answer(line->second);
    }
  }
}

void Relay::answer_taken(uint64_t position, ClientServer::ReplyCallback answer) {
  if (journal_.is_durable(position)) return answer(kTaken);
  unanswered_.push_back({position, std::move(answer)});
}

// One sync for all that was written meanwhile; nothing waits where the process's end is all there is to fear.
void Relay::sync() {
  if (!syncer_ || !journal_.needs_sync() || sync_failed_) return;
  boost::asio::post(*syncer_, [this, sync = journal_.begin_sync()] {
    const bool good = umberhoist::state::Journal::execute_sync(*files_, sync);
    boost::asio::post(io_, [this, sync, good] { synced(sync, good); });
  });
}

void Relay::synced(const umberhoist::state::Journal::SyncRequest& sync, bool good) {
  journal_.end_sync(sync, good);
  if (!good ||
      !sync.covers_everything) {  // in the second case the disk has no room to write anew what is in doubt
    if (!good && !std::exchange(sync_told_, true)) {
      std::fprintf(stderr, "journal: the disk did not take a sync: nothing is answered until it does\n");
    }
    sync_failed_ = true;
    sync_timer_.expires_after(std::chrono::microseconds(kRecordAgain));
    sync_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      sync_failed_ = false;
      this->sync();
    });
    return;
  }
  if (std::exchange(sync_told_, false)) std::fprintf(stderr, "journal: the disk takes syncs again\n");
  while (!unanswered_.empty() && journal_.is_durable(unanswered_.front().position)) {
    unanswered_.front().value(kTaken);
    unanswered_.pop_front();
  }
  send_notices();
  upstream_.retry_deferred();
  this->sync();
}

void Relay::carry_out(const Action& action) {
  if (const auto* send = std::get_if<Send>(&action)) {
    const auto held = held_.find(send->id);
    const ListedHost* host = directory_.find(send->endpoint);
    if (held == held_.end() || host == nullptr) {
      AttemptEnded moot;
      moot.id = send->id;
      moot.endpoint = send->endpoint;
      moot.outcome = Outcome::kNotStarted;
      moot.final = held == held_.end();  // given back in this very turn for want of room
      if (!moot.final) moot.attempt = held->second.attempts++;
      return happened(std::move(moot));
    }
    Call call;
    call.id = send->id;
    call.endpoint = send->endpoint;
    call.attempt = held->second.attempts++;
    call.address = host->address;
    call.call_id = held->second.handed.id;
    call.key = held->second.handed.key;
    call.body = held->second.handed.body;
    call.timeout = send->timeout;
    call.start_by = send->start_by;
    ++out_[call.endpoint];
    upstream_.call(std::move(call));
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    const auto held = held_.find(refuse->id);
    if (held != held_.end()) finish(refuse->id, Notice{held->second.handed.id, true, refuse->retry_after});
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    const auto held = held_.find(fail->id);
    if (held != held_.end()) finish(fail->id, Notice{held->second.handed.id, false, 0});
  } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
    upstream_.cancel(cancel->id, cancel->attempt);
  } else if (const auto* probe = std::get_if<Probe>(&action)) {
    const ListedHost* host = directory_.find(probe->endpoint);
    if (host == nullptr) return happened(ProbeEnded{probe->endpoint, false, 0, {}});
    ++out_[probe->endpoint];
    upstream_.probe(probe->endpoint, host->address);
  } else if (const auto* close = std::get_if<CloseIdleConnections>(&action)) {
    upstream_.close_idle(close->endpoint);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    wake_ = timer->at;  // only the newest counts: it is set anew in each step that needs one
  } else if (const auto* memory = std::get_if<SaveDestinationState>(&action)) {
    remember(memory->state);
    if (fleet_) fleet_->remember(memory->state);
  } else if (const auto* log = std::get_if<Log>(&action)) {
    std::fprintf(stderr, "%s\n", log->text.c_str());
  }
}

// The message is over; with a notice, that is still owed.
void Relay::finish(uint64_t number, std::optional<Notice> notice) {
  const auto held = held_.find(number);
  if (fleet_) fleet_->finished(number);
  if (notice) {
    unrecorded_.push_back(std::move(*notice));
    record_notices();
  } else {
    journal_.record_done(held->second.handed.id);
  }
  room_.record_release(steady_now(), held->second.handed.body.size());
  numbers_.erase(held->second.handed.id);
  held_.erase(held);
}

void Relay::send_notices() {
  while (!unsent_.empty() && journal_.is_durable(unsent_.front().position)) {
    notices_.add(std::move(unsent_.front().value));
    unsent_.pop_front();
  }
}

// A notice is sent once it is recorded: its client may come again on it, and a restart must not send what it
// ended.
void Relay::record_notices() {
  while (!unrecorded_.empty() && journal_.record_notice(unrecorded_.front())) {
    unsent_.push_back({journal_.written_position(), std::move(unrecorded_.front())});
    unrecorded_.pop_front();
  }
  send_notices();
  if (unrecorded_.empty()) return;
  record_timer_.expires_after(std::chrono::microseconds(kRecordAgain));
  record_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) record_notices();
  });
}

void Relay::arm() {
  if (wake_ == armed_) return;
  armed_ = wake_;
  if (armed_ == 0) return;
  wake_timer_.expires_at(at_time(armed_));
  wake_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    armed_ = 0;
    happened(TimerFired{static_cast<uint64_t>(std::exchange(wake_, 0))});
  });
}

void Relay::stop() {
  if (stopping_since_ != 0) return;
  stopping_since_ = steady_now();
  if (fleet_) fleet_->leaving();
  happened(ShutdownScheduled{stopping_since_ + kLastCall});
  wait_for_end();
}

void Relay::wait_for_end() {
  const Time age = steady_now() - stopping_since_;
  if (age >= kServeOn && !closed_) {
    closed_ = true;
    if (clients_) clients_->shut_down();
  }
  const bool idle = held_.empty() && notices_.empty() && unrecorded_.empty() && unsent_.empty() &&
                    unanswered_.empty() && (!clients_ || clients_->all_closed());
  if (age >= kLastCall || (closed_ && idle)) return io_.stop();
  stop_timer_.expires_after(std::chrono::microseconds(kStopPoll));
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) wait_for_end();
  });
}

}  // namespace firspool::relay

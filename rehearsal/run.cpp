#include "rehearsal/run.h"

#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <time.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <set>

#include "limits/meter.h"
#include "rehearsal/random.h"
#include "rehearsal/relay_config.h"
#include "standins/agent.h"
#include "standins/endpoints.h"
#include "standins/front.h"
#include "standins/process.h"

namespace umberhoist::rehearsal {
namespace {

using boost::asio::steady_timer;
using standins::Fault;
using Error = boost::system::error_code;

constexpr Time kTick = 5 * kMillisecond;
constexpr Time kStall = 40 * kMillisecond;  // under the tolerance of the rules
constexpr Time kDoubtBefore = kSecond;      // a breach so soon after a stall may be the kit's own
constexpr Time kDoubtAfter = 100 * kMillisecond;
constexpr Time kMostStall = 500 * kMillisecond;  // past these the run says nothing
constexpr Time kMostSendLateness = 100 * kMillisecond;
constexpr Time kMostSuspended = 200 * kMillisecond;
constexpr Time kMeasureEvery = 20 * kMillisecond;  // what a relay uses
constexpr int kMostCrashes = 5;                    // of one relay: what it does over and over says no more
constexpr Time kEndWithin = 60 * kSecond;  // past the last message's time, and what is still owed then
constexpr Time kStartWithin = 30 * kSecond;
constexpr Time kPingEvery = 20 * kMillisecond;
constexpr Time kSettle = 500 * kMillisecond;      // after the last end, for what should not come
constexpr Time kKillAfter = 3700 * kMillisecond;  // SIGKILL follows SIGTERM
constexpr Time kFrontHearsOfStop = 300 * kMillisecond;
constexpr Time kMoveGrace = 1500 * kMillisecond;
constexpr Time kHandOver = 500 * kMillisecond;  // between one machine's end and the next at its address
constexpr ValueRange kDrainLasts{6, 10};        // seconds that an endpoint drains before it goes

Time clock_of(clockid_t id) {
  timespec t{};
  ::clock_gettime(id, &t);
  return static_cast<Time>(t.tv_sec) * kSecond + t.tv_nsec / 1000;
}

Time own_cpu() { return clock_of(CLOCK_PROCESS_CPUTIME_ID); }

bool is_outage(Action action, double amount) {
  return action == Action::kSilent || action == Action::kHang || action == Action::kShut ||
         action == Action::kRefuse || ((action == Action::kFail || action == Action::kReset) && amount > 0.5);
}

Fault fault_of(Action action) {
  switch (action) {
    case Action::kSilent:
      return Fault::kSilent;
    case Action::kHang:
      return Fault::kHang;
    case Action::kShut:
      return Fault::kUnavailable;
    case Action::kRefuse:
      return Fault::kConnectionRefused;
    case Action::kFail:
      return Fault::kServerError;
    case Action::kSlow:
      return Fault::kSlow;
    case Action::kReset:
      return Fault::kReset;
    default:
      return Fault::kMalformed;
  }
}

class Rehearsal {
 public:
  Rehearsal(const Scenario& scenario, const RunOptions& options)
      : scenario_(scenario),
        options_(options),
        plan_(make_plan(scenario, options.seed)),
        random_(options.seed * 2654435761 + 17),
        checker_(scenario.rule_parameters, steady_now()),
        ledger_(scenario, options.seed + 1,
                [this](Time at, const MessageTracker::Resubmission& again) { hand_in_again(at, again); }),
        ticker_(io_),
        arrival_timer_(io_),
        signals_(io_, SIGINT, SIGTERM) {
    witnesses_.add(checker_);
    witnesses_.add(ledger_);
  }

  RunReport run() {
    limits::adopt_orphans();
    raise_descriptors();
    signals_.async_wait([this](const Error& error, int) {
      if (!error) interrupt();
    });
    build_world();
    for (size_t i = 0; i < relays_.size(); ++i) start_relay(static_cast<int>(i));
    expected_tick_ = steady_now();
    tick();
    io_.run();
    return conclude();
  }

 private:
  struct Relay {
    std::unique_ptr<standins::RelayProcess> process;
    std::unique_ptr<standins::DiscoveryAgent> agent;
    boost::asio::ip::tcp::endpoint address;
    std::optional<boost::asio::ip::tcp::acceptor>
        door;  // bound and never listening: keeps the port for the relay
    std::optional<boost::asio::ip::tcp::acceptor> fleet_door;  // and that of its fleet address
    enum class State { kStarting, kUp, kStopping, kDown } state = State::kDown;
    Time state_since = 0;
    bool lost = false;
    bool expected = false;  // its end was asked for
    Time cpu_before = 0;
    int starts = 0;
    int crashes = 0;
    std::string first_known;                     // the list that its configuration holds
    std::optional<limits::ResourceMeter> meter;  // of the present process
    std::optional<limits::LimitMonitor> judge;
    limits::CpuQuota quota{0};
    bool stands = false;  // it has had its share of the core for now
    Time measured = 0;
    RelayUsage use;
  };

  void after(Time wait, std::function<void()> what) { at(steady_now() + wait, std::move(what)); }

  void at(Time when, std::function<void()> what) {
    auto timer = std::make_shared<steady_timer>(io_);
    timer->expires_at(at_time(when));
    timer->async_wait([timer, what = std::move(what)](const Error& error) {
      if (!error) what();
    });
  }

  static void raise_descriptors() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }

  // ---- The world ----

  void build_world() {
    standins::Endpoints::Options limits;
    limits.relays = scenario_.relays;
    limits.max_calls_per_relay = plan_.slots;
    limits.idle_timeout = static_cast<Time>(scenario_.idle_s * 1e6);
    endpoints_ = std::make_unique<standins::Endpoints>(
        io_, limits, witnesses_, [this] { return random_.unit(); },
        [this](uint64_t id) -> std::optional<int> {
          if (ledger_.is_finished(id)) return 410;
          if (ledger_.attempt_count(id) > scenario_.max_attempts) return 504;
          return {};
        });
    Time key_window = 0;
    for (const ClassSpec& c : scenario_.classes) {
      if (c.effect == Effect::kKeyed)
        key_window = std::max(key_window, static_cast<Time>(c.key_window_s * 1e6));
    }
    for (const PartnerPlan& p : plan_.partners) {
      const KindSpec& kind = scenario_.kinds[static_cast<size_t>(p.kind)];
      standins::PartnerSettings s;
      s.mean_service_time = p.mean_service_time;
      s.cv = p.cv;
      s.concurrency = p.concurrency;
      s.max_queue_wait = p.max_queue_wait;
      s.limit = p.limit == Limit::kRate     ? standins::PartnerSettings::Limit::kRate
                : p.limit == Limit::kWindow ? standins::PartnerSettings::Limit::kWindow
                                            : standins::PartnerSettings::Limit::kNone;
      s.limit_rate = p.limit_rate;
      s.limit_window = p.limit_window;
      s.retry_after_share = kind.tells_wait;
      s.min_retry_after = static_cast<Time>(kind.wait_ms.low * 1e3);
      s.max_retry_after = static_cast<Time>(kind.wait_ms.high * 1e3);
      s.error_rate = kind.error_rate;
      if (key_window > 0) s.key_window = key_window;
      s.slow_start = scenario_.rule_parameters.slow_start;
      s.start_capacity = scenario_.rule_parameters.start_capacity;
      s.overload_factor = scenario_.rule_parameters.overload_factor;
      s.overload_window = scenario_.rule_parameters.overload_window;
      endpoints_->add_partner(p.number, s);
    }
    relays_.resize(static_cast<size_t>(scenario_.relays));
    std::vector<boost::asio::ip::tcp::endpoint> addresses;
    for (size_t i = 0; i < relays_.size(); ++i) {
      Relay& relay = relays_[i];
      const auto folder = options_.folder / "relays" / ("n" + std::to_string(i));
      relay.process = std::make_unique<standins::RelayProcess>(options_.relay, folder, scenario_.sockets);
      relay.process->delete_state();  // of an earlier run whose report lies there
      limits::ResourceLimits most;
      most.memory = static_cast<size_t>(scenario_.memory_mb) * 1'000'000;
      most.disk = static_cast<size_t>(scenario_.disk_mb * 1e6);
      most.descriptors = most.sockets = scenario_.sockets;
      relay.judge.emplace(most);
      relay.quota = limits::CpuQuota(scenario_.cores);
      relay.agent = std::make_unique<standins::DiscoveryAgent>(io_, static_cast<int>(i), witnesses_);
      relay.door.emplace(standins::bind_acceptor(io_));
      relay.address = relay.door->local_endpoint();
      if (scenario_.fleet) relay.fleet_door.emplace(standins::bind_acceptor(io_));
      addresses.push_back(relay.address);
    }
    front_ = std::make_unique<standins::LoadGenerator>(
        io_, addresses, standins::LoadGenerator::Options{}, witnesses_,
        [this](int i) { return relays_[static_cast<size_t>(i)].state != Relay::State::kUp; });
    std::vector<int> fresh;
    for (const PartnerPlan& p : plan_.partners) {
      for (int e = 0; e < p.endpoints; ++e) fresh.push_back(open_endpoint(p.number, {}));
    }
    tell(fresh, true);
  }

  int open_endpoint(int destination, std::optional<int> at_site_of) {
    const int number = ++last_endpoint_;
    const PartnerPlan& partner = plan_.partners[static_cast<size_t>(destination)];
    standins::EndpointSettings settings;
    settings.number = number;
    settings.destination = destination;
    settings.max_connections = scenario_.kinds[static_cast<size_t>(partner.kind)].connections;
    endpoints_->open(settings, at_site_of);
    standins::ListEntry entry;
    entry.endpoint = number;
    entry.id = "s-" + hex(random_.bits()).substr(0, 8);
    entry.locality = zone_name(static_cast<int>(random_.below(static_cast<size_t>(scenario_.zones))));
    entry.flavor = scenario_.kinds[static_cast<size_t>(partner.kind)].name;
    entry.cell = destination;
    entry.size = partner.advertised_rate;
    if (start_ != 0) entry.up_since_ms = clock_of(CLOCK_REALTIME) / 1000;
    list_[number] = entry;
    return number;
  }

  // The list changed: each agent hears of it after its lag, in the order of the changes.
  void tell(const std::vector<int>& changed, bool at_once) {
    const Time now = steady_now();
    std::vector<standins::ListEntry> entries;
    for (const int number : changed) {
      entries.push_back(list_[number]);
      witnesses_.on_list_changed(now, number, list_[number].cell, list_[number].phase);
    }
    for (size_t i = 0; i < relays_.size(); ++i) {
      for (auto& entry : entries) {
        entry.host_port =
            "127.0.0.1:" + std::to_string(endpoints_->port(entry.endpoint, static_cast<int>(i)));
      }
      if (at_once) {
        relays_[i].agent->apply_update(entries);
        continue;
      }
      const Time lag =
          static_cast<Time>(random_.between(scenario_.lag_s.low, scenario_.lag_s.high) * 1e6) + extra_lag_;
      Time& heard = heard_[i];
      heard = std::max(heard, now + lag);  // never out of order
      at(heard, [this, i, entries] { relays_[i].agent->apply_update(entries); });
    }
  }

  // ---- Relays ----

  Relay& relay(int i) { return relays_[static_cast<size_t>(i)]; }

  void start_relay(int i) {
    Relay& r = relay(i);
    const std::string listen = "127.0.0.1:" + std::to_string(r.address.port());
    if (r.first_known.empty() || !scenario_.known_at_first) r.first_known = r.agent->full_list_json();
    nlohmann::json config =
        relay_config(scenario_, plan_, i,
                     options_.seed * 1000 + static_cast<uint64_t>(i) * 31 + static_cast<uint64_t>(++r.starts),
                     listen, r.agent->address(), r.first_known);
    if (scenario_.fleet) config["fleet"] = write_fleet_file(i);
    r.process->write_config(config.dump());
    r.process->start();
    r.meter.emplace(r.process->pid(), r.process->state_folder(), r.process->temporary_folder());
    r.judge->on_process_started(steady_now());
    r.quota = limits::CpuQuota(scenario_.cores);
    r.stands = false;
    r.state = Relay::State::kStarting;
    r.state_since = steady_now();
    r.expected = false;
    r.cpu_before = 0;
    witnesses_.on_relay_event(steady_now(), i, RelayEvent::kStarted);
    ping(i);
  }

  std::string write_fleet_file(int i) {
    std::vector<std::string> addresses;
    for (const Relay& r : relays_) {
      addresses.push_back("127.0.0.1:" + std::to_string(r.fleet_door->local_endpoint().port()));
    }
    const auto folder = std::filesystem::absolute(relay(i).process->state_folder().parent_path());
    std::ofstream(folder / "fleet.toml")
        << fleet_config(scenario_, i, addresses, (folder / "register").string());
    return (folder / "fleet.toml").string();
  }

  void ping(int i) {
    front_->ping(i, [this, i, starts = relay(i).starts](bool good) {
      Relay& r = relay(i);
      if (r.state != Relay::State::kStarting || r.starts != starts) return;
      if (good) {
        r.state = Relay::State::kUp;
        r.state_since = steady_now();
        witnesses_.on_relay_event(steady_now(), i, RelayEvent::kReady);
        front_->set_enabled(i, true);
        return maybe_begin();
      }
      if (steady_now() - r.state_since > kStartWithin)
        return stop("relay " + std::to_string(i) + " was not ready within 30 s", true);
      after(kPingEvery, [this, i, starts] {
        if (relay(i).state == Relay::State::kStarting && relay(i).starts == starts) ping(i);
      });
    });
  }

  void died(int i) {
    Relay& r = relay(i);
    const bool crashed = !r.expected;
    const bool clean = WIFEXITED(r.process->exit_status()) && WEXITSTATUS(r.process->exit_status()) == 0;
    r.state = Relay::State::kDown;
    r.meter->signal(SIGKILL);  // what it left behind goes with it
    const bool terminated_badly =
        r.expected && !r.lost && stopped_by_term_.erase(i) > 0 && !clean && !killed_.contains(i);
    killed_.erase(i);
    witnesses_.on_relay_event(steady_now(), i,
                              crashed || terminated_badly ? RelayEvent::kCrashed
                              : r.lost                    ? RelayEvent::kMachineLost
                                                          : RelayEvent::kEnded);
    if (std::exchange(r.lost, false)) r.process->delete_state();
    if (stopping_) return;
    if (start_ == 0)
      return stop("relay " + std::to_string(i) + " ended before it was ready; see its log", true);
    if ((crashed || terminated_badly) && ++r.crashes >= kMostCrashes) {
      return stop("relay " + std::to_string(i) + " crashed " + std::to_string(r.crashes) +
                      " times, and the run was ended",
                  false);
    }
    const Time notice =
        static_cast<Time>(random_.between(scenario_.notice_s.low, scenario_.notice_s.high) * 1e6);
    after(notice, [this, i, starts = r.starts] {
      if (relay(i).starts == starts || relay(i).state != Relay::State::kUp)
        front_->set_enabled(i, relay(i).state == Relay::State::kUp);
    });
    after(static_cast<Time>(scenario_.restart_s * 1e6), [this, i] {
      if (!stopping_ && relay(i).state == Relay::State::kDown) start_relay(i);
    });
  }

  void kill_relay(int i, bool lose) {
    Relay& r = relay(i);
    if (r.state == Relay::State::kDown) return note("relay " + std::to_string(i) + " was down already");
    r.expected = true;
    r.lost = lose;
    killed_.insert(i);
    witnesses_.on_relay_event(steady_now(), i, RelayEvent::kKilled);
    r.meter->signal(SIGKILL);
  }

  void terminate_relay(int i) {
    Relay& r = relay(i);
    if (r.state == Relay::State::kDown) return note("relay " + std::to_string(i) + " was down already");
    r.expected = true;
    r.state = Relay::State::kStopping;
    stopped_by_term_.insert(i);
    witnesses_.on_relay_event(steady_now(), i, RelayEvent::kSigterm);
    r.process->signal(SIGTERM);
    after(kFrontHearsOfStop, [this, i, starts = r.starts] {
      if (relay(i).starts == starts) front_->set_enabled(i, false);
    });
    after(kKillAfter, [this, i, starts = r.starts] {
      Relay& mine = relay(i);
      if (mine.starts != starts || mine.state != Relay::State::kStopping) return;
      killed_.insert(i);
      mine.meter->signal(SIGKILL);
    });
  }

  void move_discovery(int i) {
    Relay& r = relay(i);
    if (r.state != Relay::State::kUp)
      return note("relay " + std::to_string(i) + " was not up to hear SIGHUP");
    r.agent->move_to_new_port(kMoveGrace);
    const std::string listen = "127.0.0.1:" + std::to_string(r.address.port());
    r.process->write_config(relay_config(scenario_, plan_, i, options_.seed, listen, r.agent->address(),
                                         r.agent->full_list_json())
                                .dump());
    witnesses_.on_relay_event(steady_now(), i, RelayEvent::kSighup);
    r.process->signal(SIGHUP);
  }

  // ---- Load ----

  void maybe_begin() {
    if (start_ != 0 || std::any_of(relays_.begin(), relays_.end(),
                                   [](const Relay& r) { return r.state != Relay::State::kUp; })) {
      return;
    }
    start_ = steady_now();
    cpu_at_start_ = own_cpu();
    suspended_before_ = clock_of(CLOCK_BOOTTIME) - clock_of(CLOCK_MONOTONIC);
    checker_.set_start(start_);
    ledger_.set_start(start_);
    next_sample_ = start_;
    for (const EventPlan& event : plan_.events) at(start_ + event.at, [this, &event] { play(event); });
    arrive();
  }

  void arrive() {
    const Time now = steady_now();
    while (next_arrival_ < plan_.arrivals.size() && start_ + plan_.arrivals[next_arrival_].at <= now) {
      const ArrivalPlan& arrival = plan_.arrivals[next_arrival_++];
      const Time planned = start_ + arrival.at;
      lateness_.send_delay.add(std::max<Time>(0, steady_now() - planned));
      const Time due = planned + static_cast<Time>(scenario_.classes[arrival.message_class].give_up_s * 1e6);
      ledger_.on_arrival(planned, arrival, due);
      hand_in(arrival, due, false, -1);
    }
    if (next_arrival_ == plan_.arrivals.size() || stopping_) return;
    arrival_timer_.expires_at(at_time(start_ + plan_.arrivals[next_arrival_].at));
    arrival_timer_.async_wait([this](const Error& error) {
      if (!error && !stopping_) arrive();
    });
  }

  // A body is the same for each handing-in of a message.
  static std::string body_of(const ArrivalPlan& arrival) {
    std::string out(arrival.body_bytes, '\0');
    uint64_t x = arrival.message * 0x9e3779b97f4a7c15 + 1;
    for (char& c : out) {
      x ^= x << 13;
      x ^= x >> 7;
      x ^= x << 17;
      c = static_cast<char>(x);
    }
    return out;
  }

  void hand_in(const ArrivalPlan& arrival, Time due, bool after_death, int not_to) {
    int to = front_->pick_relay();
    if (to == not_to) to = front_->pick_relay();
    const ClassSpec& spec = scenario_.classes[arrival.message_class];
    Submission h;
    h.id = random_.bits() | 1;
    h.message = arrival.message;
    h.relay = std::max(0, to);
    h.message_class = arrival.message_class;
    h.destination = arrival.partner;
    h.key = spec.effect == Effect::kKeyed ? arrival.message * 0x9e3779b97f4a7c15 + options_.seed + 1 : 0;
    const Time left = std::max<Time>(1, (due - steady_now()) / 1000);
    h.due = steady_now() + left * 1000;
    ledger_.bind_id(h.id, arrival.message, h.relay);
    if (to < 0) return witnesses_.on_connect_failed(steady_now(), h);
    std::string facts =
        "c=" + spec.name + ",d=" + std::to_string(left) + ",dest=" + std::to_string(arrival.partner);
    if (h.key != 0) facts += ",k=" + hex(h.key);
    if (!scenario_.tenants.empty()) facts += ",t=" + scenario_.tenants[arrival.tenant].name;
    if (after_death) facts += ",again=1";
    front_->submit(h, facts, body_of(arrival));
  }

  void hand_in_again(Time when, const MessageTracker::Resubmission& again) {
    at(when, [this, again] {
      if (!stopping_) hand_in(again.arrival, again.due, again.after_relay_exit, again.excluded_relay);
    });
  }

  // ---- The script ----

  void play(const EventPlan& event) {
    if (stopping_) return;
    switch (event.action) {
      case Action::kReplace:
        return replace(event);
      case Action::kLag: {
        const Time extra = static_cast<Time>(event.amount * 1e6);
        extra_lag_ += extra;
        return after(event.duration, [this, extra] { extra_lag_ -= extra; });
      }
      case Action::kBlackout:
        for (Relay& r : relays_) r.agent->set_silent(true);
        return after(event.duration, [this] {
          for (Relay& r : relays_) r.agent->set_silent(false);
        });
      case Action::kCrowd:
        crowds_.push_back(std::make_unique<standins::IdleClients>(io_, relay(event.relay).address,
                                                                  event.amount > 0 ? event.amount : 100,
                                                                  steady_now() + event.duration));
        return;
      case Action::kHold:
        for (const int p : event.partners) endpoints_->hold_connections(p, true);
        return after(event.duration, [this, partners = event.partners] {
          for (const int p : partners) endpoints_->hold_connections(p, false);
        });
      case Action::kWithdraw:
        return withdraw(event);
      case Action::kNotices:
        for (Relay& r : relays_) r.agent->hold_notice_replies(true);
        return after(event.duration, [this] {
          for (Relay& r : relays_) r.agent->hold_notice_replies(false);
        });
      case Action::kKill:
        return kill_relay(event.relay, false);
      case Action::kLose:
        return kill_relay(event.relay, true);
      case Action::kTerminate:
      case Action::kRolling:
        return terminate_relay(event.relay);
      case Action::kMove:
        return move_discovery(event.relay);
      default:
        return trouble(event);
    }
  }

  void trouble(const EventPlan& event) {
    const Time now = steady_now();
    for (const int p : event.partners) {
      if (endpoints_->partner(p).fault() != Fault::kNone) {
        note(plan_.partners[static_cast<size_t>(p)].name + " was in trouble already: " + event.description +
             " passed it by");
        continue;
      }
      endpoints_->begin_fault(p, fault_of(event.action), now + event.duration, event.amount,
                              event.sends_retry_after);
      const bool outage = is_outage(event.action, event.amount);
      if (outage) witnesses_.on_outage_started(now, p);
      after(event.duration, [this, p, outage] {
        endpoints_->end_fault(p);
        if (outage) witnesses_.on_outage_ended(steady_now(), p, endpoints_->partner(p).capacity());
      });
    }
  }

  void replace(const EventPlan& event) {
    Random random(event.seed);
    std::vector<int> victims;
    for (const auto& [number, entry] : list_) {
      if (entry.phase == HostState::kActive) victims.push_back(number);
    }
    for (size_t i = victims.size(); i > 1; --i) std::swap(victims[i - 1], victims[random.below(i)]);
    victims.resize(static_cast<size_t>(std::ceil(event.amount * static_cast<double>(victims.size()))));
    for (size_t i = 0; i < victims.size(); ++i) {
      const Time start = event.duration * static_cast<Time>(i) / static_cast<Time>(victims.size());
      const Time drains = static_cast<Time>(random.between(kDrainLasts.low, kDrainLasts.high) * 1e6);
      const bool in_place = event.same_address && random.chance(0.34);
      after(start, [this, number = victims[i], drains, in_place, lingers = event.linger] {
        replace_one(number, drains, in_place, in_place ? 0 : lingers);
      });
    }
  }

  void replace_one(int number, Time drains, bool in_place, Time lingers) {
    if (stopping_) return;
    const int destination = list_[number].cell;
    list_[number].phase = HostState::kDraining;
    std::vector<int> changed = {number};
    if (!in_place) changed.push_back(open_endpoint(destination, {}));
    tell(changed, false);
    after(drains / 2, [this, number] { endpoints_->drain(number); });
    after(drains, [this, number, destination, in_place, lingers] {
      if (stopping_) return;
      if (lingers == 0) endpoints_->close(number);
      if (lingers > 0) after(lingers, [this, number] { endpoints_->close(number); });
      list_[number].phase = HostState::kRemoved;
      tell({number}, false);
      if (!in_place) return;
      after(kHandOver, [this, number, destination] {
        if (!stopping_) tell({open_endpoint(destination, number)}, false);
      });
    });
  }

  void withdraw(const EventPlan& event) {
    for (const int p : event.partners) {
      std::vector<int> changed;
      for (auto& [number, entry] : list_) {
        if (entry.cell != p || entry.phase == HostState::kRemoved) continue;
        entry.phase = HostState::kRemoved;
        endpoints_->close(number);
        changed.push_back(number);
      }
      tell(changed, false);
      after(event.duration, [this, p, count = changed.size()] {
        std::vector<int> fresh;
        for (size_t i = 0; i < count; ++i) fresh.push_back(open_endpoint(p, {}));
        if (!stopping_) tell(fresh, false);
      });
    }
  }

  void note(std::string text) {
    char at[32];
    std::snprintf(at, sizeof at, "%.1f s: ", static_cast<double>(steady_now() - start_) / 1e6);
    notes_.push_back(at + std::move(text));
  }

  // ---- Time ----

  void tick() {
    const Time now = steady_now();
    const Time stall = now - expected_tick_;
    if (start_ != 0 && !stopping_) {
      lateness_.longest_stall = std::max(lateness_.longest_stall, stall);
      if (stall > kStall) {
        ++lateness_.stall_count;
        if (stalls_.size() < 10'000) stalls_.emplace_back(now - stall, now);
      }
    }
    for (size_t i = 0; i < relays_.size(); ++i) {
      if (relays_[i].state != Relay::State::kDown && relays_[i].process->has_exited())
        died(static_cast<int>(i));
    }
    for (size_t i = 0; i < relays_.size(); ++i) measure(static_cast<int>(i));
    if (start_ != 0) {
      checker_.advance(now);
      while (now >= next_sample_ && !stopping_) sample();
      watch_end(now);
    }
    if (over_) return;
    expected_tick_ = std::max(expected_tick_ + kTick, now + 1);
    ticker_.expires_at(at_time(expected_tick_));
    ticker_.async_wait([this](const Error& error) {
      if (!error) tick();
    });
  }

  // Holds a relay to the platform's limits: over one it is ended, and that is a crash.
  void measure(int i) {
    Relay& r = relay(i);
    if (r.state == Relay::State::kDown) return;
    const Time now = steady_now();
    if (r.quota.is_limited()) {
      if (const bool stands = r.quota.must_pause(now, r.meter->cpu()); stands != r.stands) {
        r.stands = stands;
        r.meter->signal(stands ? SIGSTOP : SIGCONT);
      }
    }
    if (now - r.measured < kMeasureEvery) return;
    r.measured = now;
    const auto exceeded = r.judge->add_sample(now, r.meter->sample(now));
    if (!exceeded) return;
    r.expected = false;  // also if it was to end anyway
    if (!stopping_) witnesses_.on_limit_exceeded(now, i, exceeded->description, exceeded->recent_samples);
    r.meter->signal(SIGKILL);
  }

  void sample() {
    next_sample_ += kSecond;
    Sample s;
    s.open = ledger_.open_count();
    s.held = ledger_.held_count();
    s.calls_in_flight = endpoints_->calls_in_flight();
    s.connections = front_->connection_count() + endpoints_->connection_count();
    for (Relay& r : relays_) {
      RelaySample one;
      const limits::ResourceUsage most = r.judge->take_interval_peaks();
      if (r.state != Relay::State::kDown) {
        one.running = true;
        one.memory = most.resident + most.temporary;
        one.disk = most.disk;
        one.descriptors = most.descriptors;
        one.sockets = most.sockets;
        one.cpu = std::max<Time>(0, most.cpu - r.cpu_before);
        r.cpu_before = std::max(r.cpu_before, most.cpu);
        r.use.cpu += one.cpu;
        r.use.peak_cpu_share = std::max(r.use.peak_cpu_share, static_cast<double>(one.cpu) / 1e6);
      }
      s.relays.push_back(one);
    }
    samples_.push_back(std::move(s));
    if (options_.progress) progress();
  }

  void progress() {
    uint64_t delivered = 0, refused = 0, failed = 0;
    for (const MessageCounts& t : ledger_.class_counts()) {
      delivered += t.in_time + t.late;
      refused += t.refused;
      failed += t.failed + t.lost + t.unanswered;
    }
    std::fprintf(
        stderr, "\r%5.0f s  %llu asked, %llu delivered, %llu refused, %llu failed, %zu open, %zu breaches   ",
        static_cast<double>(steady_now() - start_) / 1e6,
        static_cast<unsigned long long>(ledger_.message_count()), static_cast<unsigned long long>(delivered),
        static_cast<unsigned long long>(refused), static_cast<unsigned long long>(failed),
        ledger_.open_count(), checker_.violation_count());
  }

  // The load is over; it ends when nothing is owed any more, or what is owed is long overdue.
  void watch_end(Time now) {
    if (stopping_) {
      const bool gone = std::all_of(relays_.begin(), relays_.end(),
                                    [](const Relay& r) { return r.state == Relay::State::kDown; });
      if (gone && !over_) {
        over_ = true;
        io_.stop();
      }
      return;
    }
    if (next_arrival_ < plan_.arrivals.size() || now < start_ + static_cast<Time>(scenario_.seconds * 1e6))
      return;
    if (now - last_expired_ > kSecond) {
      last_expired_ = now;
      ledger_.expire(now);
    }
    const bool up = std::all_of(relays_.begin(), relays_.end(),
                                [](const Relay& r) { return r.state == Relay::State::kUp; });
    double longest = 0;
    for (const ClassSpec& c : scenario_.classes) longest = std::max(longest, c.give_up_s);
    if (now > start_ + static_cast<Time>((scenario_.seconds + longest) * 1e6) + kEndWithin) {
      return stop("something was open a minute after the last message's time", false);
    }
    if (ledger_.open_count() > 0 || checker_.unresolved_count() > 0 || !up) {
      quiet_since_ = 0;
      return;
    }
    if (quiet_since_ == 0) quiet_since_ = now;
    if (now - quiet_since_ >= kSettle) stop("", false);
  }

  void interrupt() {
    interrupted_ = true;
    stop("interrupted", false);
  }

  // Ends every child: politely, and then not.
  void stop(const std::string& why, bool failed) {
    if (stopping_) return;
    stopping_ = true;
    failed_to_start_ = failed;
    why_ = why;
    ended_ = steady_now();
    if (start_ != 0) {
      checker_.finish(ended_);
      judge_run();
    }
    arrival_timer_.cancel();
    crowds_.clear();
    for (size_t i = 0; i < relays_.size(); ++i) {
      if (relays_[i].state == Relay::State::kDown) continue;
      relays_[i].expected = true;
      stopped_by_term_.insert(static_cast<int>(i));
      relays_[i].process->signal(SIGTERM);
    }
    after(kKillAfter, [this] {
      for (size_t i = 0; i < relays_.size(); ++i) {
        if (relays_[i].state == Relay::State::kDown) continue;
        killed_.insert(static_cast<int>(i));
        relays_[i].meter->signal(SIGKILL);
      }
    });
    if (start_ == 0) start_ = ended_;  // so that its end is watched for
  }

  // What only a whole run tells.
  void judge_run() {
    for (size_t i = 0; i < relays_.size(); ++i) {
      Relay& r = relays_[i];
      r.use.growth = r.judge->growth();
      const limits::MemoryGrowth& growth = r.use.growth;
      if (!growth.is_leak) continue;
      char text[240];
      std::snprintf(
          text, sizeof text,
          "its memory grows by %.1f MB a minute through the second half of its life, %.1f MB in all; the "
          "least that it held rose in %d of %d steps",
          growth.mb_per_minute, growth.mb, growth.increases, growth.intervals - 1);
      checker_.add_violation(Rule::kMemoryGrowth, ended_, static_cast<int>(i), text);
    }
    if (interrupted_) return;
    for (const ExpectSpec& expect : scenario_.expects) judge_expectation(expect);
  }

  void judge_expectation(const ExpectSpec& expect) {
    double asked = 0, in_time = 0, delivered = 0, failed = 0, refused = 0;
    const bool tenant = !expect.of_tenant.empty();
    const std::string& of = tenant ? expect.of_tenant : expect.of_class;
    for (const MessageCounts& t : tenant ? ledger_.tenant_counts() : ledger_.class_counts()) {
      if (!of.empty() && t.name != of) continue;
      asked += static_cast<double>(t.requested);
      in_time += static_cast<double>(t.in_time);
      delivered += static_cast<double>(t.in_time + t.late);
      failed += static_cast<double>(t.failed);
      refused += static_cast<double>(t.refused);
    }
    if (asked == 0) return;
    const auto missed = [&](const char* what, double share, const char* bound, double wanted) {
      char text[200];
      std::snprintf(text, sizeof text, "%s: %.2f%% %s, expected %s %.2f%%", expect.where.c_str(), 100 * share,
                    what, bound, 100 * wanted);
      checker_.add_violation(Rule::kExpectation, ended_, -1, text);
    };
    if (in_time / asked < expect.in_time) missed("in time", in_time / asked, "at least", expect.in_time);
    if (delivered / asked < expect.delivered)
      missed("delivered", delivered / asked, "at least", expect.delivered);
    if (failed / asked > expect.failed) missed("failed", failed / asked, "at most", expect.failed);
    if (refused / asked > expect.refused) missed("refused", refused / asked, "at most", expect.refused);
    const double attempts = static_cast<double>(ledger_.total_attempts()) /
                            static_cast<double>(std::max<uint64_t>(1, ledger_.message_count()));
    if (expect.attempts <= 0 || attempts <= expect.attempts) return;
    char text[200];
    std::snprintf(text, sizeof text, "%s: %.2f attempts a message, expected at most %.2f",
                  expect.where.c_str(), attempts, expect.attempts);
    checker_.add_violation(Rule::kExpectation, ended_, -1, text);
  }

  RunReport conclude() {
    RunReport out;
    out.digest = plan_.digest;
    out.interrupted = interrupted_;
    out.seconds = static_cast<double>(ended_ - start_) / 1e6;
    out.violations = checker_.violations();
    out.violation_count = checker_.violation_count();
    out.class_counts = ledger_.class_counts();
    out.tenant_counts = ledger_.tenant_counts();
    out.per_second = ledger_.per_second();
    out.samples = std::move(samples_);
    for (Relay& r : relays_) {
      r.use.peak = r.judge->peak_usage();
      r.use.peak_memory = r.judge->peak_memory();
      out.relay_usage.push_back(r.use);
    }
    out.events = plan_.events;
    out.notes = std::move(notes_);
    out.messages = ledger_.message_count();
    out.submissions = ledger_.submission_count();
    out.attempts = ledger_.total_attempts();
    for (const Relay& r : relays_) out.notices += r.agent->notice_count();
    out.connections_opened = front_->connections_opened();
    out.timing = lateness_;
    out.timing.cpu = own_cpu() - cpu_at_start_;
    out.timing.suspended = clock_of(CLOCK_BOOTTIME) - clock_of(CLOCK_MONOTONIC) - suspended_before_;
    if (options_.progress) std::fprintf(stderr, "\n");
    if (failed_to_start_) {
      out.verdict = RunVerdict::kViolated;
      out.reason = why_;
      return out;
    }
    bool sure = out.violation_count > out.violations.size();
    for (const Violation& breach : out.violations) {
      const bool doubt = std::any_of(stalls_.begin(), stalls_.end(), [&](const auto& stall) {
        return breach.at >= stall.first - kDoubtAfter && breach.at <= stall.second + kDoubtBefore;
      });
      out.uncertain.push_back(doubt && breach.rule < Rule::kCrash);
      sure |= !out.uncertain.back();
    }
    const double late = out.timing.send_delay.quantile(0.99);
    char text[160] = "";
    if (out.timing.suspended > kMostSuspended) {
      std::snprintf(text, sizeof text, "the machine slept for %.1f s",
                    static_cast<double>(out.timing.suspended) / 1e6);
    } else if (out.timing.longest_stall > kMostStall) {
      std::snprintf(text, sizeof text, "the kit itself stood still for %.0f ms",
                    static_cast<double>(out.timing.longest_stall) / 1e3);
    } else if (late > static_cast<double>(kMostSendLateness) / 1e3) {
      std::snprintf(text, sizeof text, "the kit handed messages in late: %.0f ms for one in a hundred", late);
    } else if (!sure && !out.violations.empty()) {
      std::snprintf(text, sizeof text, "each breach lies beside a moment when the kit itself ran late");
    }
    out.reason = why_.empty() || interrupted_ ? text : why_ + (*text == '\0' ? "" : std::string("; ") + text);
    const bool slept = out.timing.suspended > kMostSuspended;
    out.verdict = sure && !slept  ? RunVerdict::kViolated
                  : *text != '\0' ? RunVerdict::kInconclusive
                                  : RunVerdict::kPassed;
    if (interrupted_) out.reason = "interrupted" + (out.reason.empty() ? "" : "; " + out.reason);
    return out;
  }

  const Scenario& scenario_;
  const RunOptions& options_;
  Plan plan_;
  Random random_;
  boost::asio::io_context io_{1};
  Checker checker_;
  MessageTracker ledger_;
  ObserverList witnesses_;
  std::unique_ptr<standins::Endpoints> endpoints_;
  std::vector<Relay> relays_;
  std::unique_ptr<standins::LoadGenerator> front_;
  std::vector<std::unique_ptr<standins::IdleClients>> crowds_;
  std::map<int, standins::ListEntry> list_;  // as it is
  std::map<size_t, Time> heard_;
  std::set<int> stopped_by_term_;
  std::set<int> killed_;
  int last_endpoint_ = 0;
  Time extra_lag_ = 0;
  steady_timer ticker_;
  steady_timer arrival_timer_;
  boost::asio::signal_set signals_;
  Time start_ = 0;  // of the load; 0: not yet
  Time ended_ = 0;
  Time expected_tick_ = 0;
  Time next_sample_ = 0;
  Time quiet_since_ = 0;
  Time last_expired_ = 0;
  Time cpu_at_start_ = 0;
  Time suspended_before_ = 0;
  size_t next_arrival_ = 0;
  bool stopping_ = false;
  bool over_ = false;
  bool interrupted_ = false;
  bool failed_to_start_ = false;
  std::string why_;
  KitTiming lateness_;
  std::vector<std::pair<Time, Time>> stalls_;
  std::vector<Sample> samples_;
  std::vector<std::string> notes_;
};

}  // namespace

RunReport run_rehearsal(const Scenario& scenario, const RunOptions& options) {
  std::filesystem::create_directories(options.folder);
  Rehearsal rehearsal(scenario, options);
  return rehearsal.run();
}

}  // namespace umberhoist::rehearsal

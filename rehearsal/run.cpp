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

constexpr Time kTickInterval = 5 * kMillisecond;
constexpr Time kStallThreshold = 40 * kMillisecond;  // below the tolerance of the rules
// A violation from kUncertainBeforeStall before a stall of the kit to kUncertainAfterStall after it may have
// been caused by the kit itself.
constexpr Time kUncertainAfterStall = kSecond;
constexpr Time kUncertainBeforeStall = 100 * kMillisecond;
// A run that exceeds one of these three limits is inconclusive, unless it has a certain violation and the
// machine was not suspended.
constexpr Time kMaxStall = 500 * kMillisecond;
constexpr Time kMaxSendDelay = 100 * kMillisecond;
constexpr Time kMaxSuspended = 200 * kMillisecond;
constexpr Time kMeasureInterval = 20 * kMillisecond;  // interval of resource measurements
constexpr int kMaxCrashes = 5;                        // of one relay; more would add nothing, so the run ends
constexpr Time kMaxDrainTime = 60 * kSecond;  // the run is ended this long after the last message's time
constexpr Time kStartTimeout = 30 * kSecond;
constexpr Time kPingInterval = 20 * kMillisecond;
constexpr Time kQuietTime =
    500 * kMillisecond;  // waits for unexpected calls or notices after the last result
constexpr Time kTerminateTimeout = 3700 * kMillisecond;  // SIGKILL follows SIGTERM
constexpr Time kStopNoticeDelay = 300 * kMillisecond;
constexpr Time kMoveGrace = 1500 * kMillisecond;
constexpr Time kAddressReuseDelay =
    500 * kMillisecond;                     // between the end of an endpoint and the next at its address
constexpr ValueRange kDrainSeconds{6, 10};  // time an endpoint drains before it is removed

Time read_clock(clockid_t id) {
  timespec t{};
  ::clock_gettime(id, &t);
  return static_cast<Time>(t.tv_sec) * kSecond + t.tv_nsec / 1000;
}

Time own_cpu() { return read_clock(CLOCK_PROCESS_CPUTIME_ID); }

bool is_outage(Action action, double amount) {
  return action == Action::kSilent || action == Action::kHang || action == Action::kShut ||
         action == Action::kRefuse || ((action == Action::kFail || action == Action::kReset) && amount > 0.5);
}

Fault fault_for(Action action) {
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
        tracker_(
            scenario, options.seed + 1,
            [this](Time at, const MessageTracker::Resubmission& again) { schedule_resubmission(at, again); }),
        tick_timer_(io_),
        arrival_timer_(io_),
        signals_(io_, SIGINT, SIGTERM) {
    observers_.add(checker_);
    observers_.add(tracker_);
  }

  RunReport run() {
    limits::adopt_orphans();
    raise_descriptor_limit();
    signals_.async_wait([this](const Error& error, int) {
      if (!error) interrupt();
    });
    build_environment();
    for (size_t i = 0; i < relays_.size(); ++i) start_relay(static_cast<int>(i));
    expected_tick_ = steady_now();
    tick();
    io_.run();
    return make_report();
  }

 private:
  struct Relay {
    std::unique_ptr<standins::RelayProcess> process;
    std::unique_ptr<standins::DiscoveryAgent> agent;
    boost::asio::ip::tcp::endpoint address;
    // Bound but never listening: these keep the ports of the relay's client and fleet addresses reserved.
    std::optional<boost::asio::ip::tcp::acceptor> reserved_port;
    std::optional<boost::asio::ip::tcp::acceptor> reserved_fleet_port;
    enum class State { kStarting, kUp, kStopping, kDown } state = State::kDown;
    Time state_entered_at = 0;
    bool machine_lost = false;
    bool stop_requested = false;  // its exit is expected
    Time previous_cpu = 0;
    int start_count = 0;
    int crash_count = 0;
    std::string initial_list;                    // host list in its configuration
    std::optional<limits::ResourceMeter> meter;  // of the current process
    std::optional<limits::LimitMonitor> monitor;
    limits::CpuQuota quota{0};
    bool paused = false;  // stopped because its CPU quota for the period is used up
    Time measured_at = 0;
    RelayUsage usage;
  };

  void run_after(Time delay, std::function<void()> callback) {
    run_at(steady_now() + delay, std::move(callback));
  }

  void run_at(Time when, std::function<void()> callback) {
    auto timer = std::make_shared<steady_timer>(io_);
    timer->expires_at(at_time(when));
    timer->async_wait([timer, callback = std::move(callback)](const Error& error) {
      if (!error) callback();
    });
  }

  static void raise_descriptor_limit() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }

  // ---- Partners, endpoints and relays ----

  void build_environment() {
    standins::Endpoints::Options endpoint_options;
    endpoint_options.relays = scenario_.relays;
    endpoint_options.max_calls_per_relay = plan_.slots;
    endpoint_options.idle_timeout = static_cast<Time>(scenario_.idle_s * 1e6);
    endpoints_ = std::make_unique<standins::Endpoints>(
        io_, endpoint_options, observers_, [this] { return random_.unit(); },
        [this](uint64_t id) -> std::optional<int> {
          if (tracker_.is_finished(id)) return 410;
          if (tracker_.attempt_count(id) > scenario_.max_attempts) return 504;
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
      relay.process->delete_state();  // may be left over from an earlier run
      limits::ResourceLimits resource_limits;
      resource_limits.memory = static_cast<size_t>(scenario_.memory_mb) * 1'000'000;
      resource_limits.disk = static_cast<size_t>(scenario_.disk_mb * 1e6);
      resource_limits.descriptors = resource_limits.sockets = scenario_.sockets;
      relay.monitor.emplace(resource_limits);
      relay.quota = limits::CpuQuota(scenario_.cores);
      relay.agent = std::make_unique<standins::DiscoveryAgent>(io_, static_cast<int>(i), observers_);
      relay.reserved_port.emplace(standins::bind_acceptor(io_));
      relay.address = relay.reserved_port->local_endpoint();
      if (scenario_.fleet) relay.reserved_fleet_port.emplace(standins::bind_acceptor(io_));
      addresses.push_back(relay.address);
    }
    load_generator_ = std::make_unique<standins::LoadGenerator>(
        io_, addresses, standins::LoadGenerator::Options{}, observers_,
        [this](int i) { return relays_[static_cast<size_t>(i)].state != Relay::State::kUp; });
    std::vector<int> opened;
    for (const PartnerPlan& p : plan_.partners) {
      for (int e = 0; e < p.endpoints; ++e) opened.push_back(open_endpoint(p.number, {}));
    }
    publish(opened, true);
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
    if (start_ != 0) entry.up_since_ms = read_clock(CLOCK_REALTIME) / 1000;
    list_[number] = entry;
    return number;
  }

  // Sends a list change to each relay's agent after the discovery lag, keeping the order of changes.
  void publish(const std::vector<int>& changed, bool immediately) {
    const Time now = steady_now();
    std::vector<standins::ListEntry> entries;
    for (const int number : changed) {
      entries.push_back(list_[number]);
      observers_.on_list_changed(now, number, list_[number].cell, list_[number].phase);
    }
    for (size_t i = 0; i < relays_.size(); ++i) {
      for (auto& entry : entries) {
        entry.host_port =
            "127.0.0.1:" + std::to_string(endpoints_->port(entry.endpoint, static_cast<int>(i)));
      }
      if (immediately) {
        relays_[i].agent->apply_update(entries);
        continue;
      }
      const Time lag = static_cast<Time>(random_.between(scenario_.lag_s.low, scenario_.lag_s.high) * 1e6) +
                       extra_discovery_lag_;
      Time& update_at = last_update_at_[i];
      update_at = std::max(update_at, now + lag);  // keeps the order of changes
      run_at(update_at, [this, i, entries] { relays_[i].agent->apply_update(entries); });
    }
  }

  // ---- Relays ----

  Relay& relay(int i) { return relays_[static_cast<size_t>(i)]; }

  void start_relay(int i) {
    Relay& r = relay(i);
    const std::string listen = "127.0.0.1:" + std::to_string(r.address.port());
    if (r.initial_list.empty() || !scenario_.known_at_first) r.initial_list = r.agent->full_list_json();
    nlohmann::json config = relay_config(
        scenario_, plan_, i,
        options_.seed * 1000 + static_cast<uint64_t>(i) * 31 + static_cast<uint64_t>(++r.start_count), listen,
        r.agent->address(), r.initial_list);
    if (scenario_.fleet) config["fleet"] = write_fleet_file(i);
    r.process->write_config(config.dump());
    r.process->start();
    r.meter.emplace(r.process->pid(), r.process->state_folder(), r.process->temporary_folder());
    r.monitor->on_process_started(steady_now());
    r.quota = limits::CpuQuota(scenario_.cores);
    r.paused = false;
    r.state = Relay::State::kStarting;
    r.state_entered_at = steady_now();
    r.stop_requested = false;
    r.previous_cpu = 0;
    observers_.on_relay_event(steady_now(), i, RelayEvent::kStarted);
    ping(i);
  }

  std::string write_fleet_file(int i) {
    std::vector<std::string> addresses;
    for (const Relay& r : relays_) {
      addresses.push_back("127.0.0.1:" + std::to_string(r.reserved_fleet_port->local_endpoint().port()));
    }
    const auto folder = std::filesystem::absolute(relay(i).process->state_folder().parent_path());
    std::ofstream(folder / "fleet.toml")
        << fleet_config(scenario_, i, addresses, (folder / "register").string());
    return (folder / "fleet.toml").string();
  }

  void ping(int i) {
    load_generator_->ping(i, [this, i, starts = relay(i).start_count](bool answered) {
      Relay& r = relay(i);
      if (r.state != Relay::State::kStarting || r.start_count != starts) return;
      if (answered) {
        r.state = Relay::State::kUp;
        r.state_entered_at = steady_now();
        observers_.on_relay_event(steady_now(), i, RelayEvent::kReady);
        load_generator_->set_enabled(i, true);
        return begin_when_ready();
      }
      if (steady_now() - r.state_entered_at > kStartTimeout)
        return stop("relay " + std::to_string(i) + " was not ready within 30 s", true);
      run_after(kPingInterval, [this, i, starts] {
        if (relay(i).state == Relay::State::kStarting && relay(i).start_count == starts) ping(i);
      });
    });
  }

  void on_relay_exit(int i) {
    Relay& r = relay(i);
    const bool crashed = !r.stop_requested;
    const bool clean = WIFEXITED(r.process->exit_status()) && WEXITSTATUS(r.process->exit_status()) == 0;
    r.state = Relay::State::kDown;
    r.meter->signal(SIGKILL);  // also kills helpers it left behind
    const bool unclean_termination = r.stop_requested && !r.machine_lost && stopped_by_term_.erase(i) > 0 &&
                                     !clean && !killed_.contains(i);
    killed_.erase(i);
    observers_.on_relay_event(steady_now(), i,
                              crashed || unclean_termination ? RelayEvent::kCrashed
                              : r.machine_lost               ? RelayEvent::kMachineLost
                                                             : RelayEvent::kEnded);
    if (std::exchange(r.machine_lost, false)) r.process->delete_state();
    if (stopping_) return;
    if (start_ == 0)
      return stop("relay " + std::to_string(i) + " ended before it was ready; see its log", true);
    if ((crashed || unclean_termination) && ++r.crash_count >= kMaxCrashes) {
      return stop("relay " + std::to_string(i) + " crashed " + std::to_string(r.crash_count) +
                      " times, and the run was ended",
                  false);
    }
    const Time notice =
        static_cast<Time>(random_.between(scenario_.notice_s.low, scenario_.notice_s.high) * 1e6);
    run_after(notice, [this, i, starts = r.start_count] {
      if (relay(i).start_count == starts || relay(i).state != Relay::State::kUp)
        load_generator_->set_enabled(i, relay(i).state == Relay::State::kUp);
    });
    run_after(static_cast<Time>(scenario_.restart_s * 1e6), [this, i] {
      if (!stopping_ && relay(i).state == Relay::State::kDown) start_relay(i);
    });
  }

  void kill_relay(int i, bool lose_machine) {
    Relay& r = relay(i);
    if (r.state == Relay::State::kDown) return add_note("relay " + std::to_string(i) + " was down already");
    r.stop_requested = true;
    r.machine_lost = lose_machine;
    killed_.insert(i);
    observers_.on_relay_event(steady_now(), i, RelayEvent::kKilled);
    r.meter->signal(SIGKILL);
  }

  void terminate_relay(int i) {
    Relay& r = relay(i);
    if (r.state == Relay::State::kDown) return add_note("relay " + std::to_string(i) + " was down already");
    r.stop_requested = true;
    r.state = Relay::State::kStopping;
    stopped_by_term_.insert(i);
    observers_.on_relay_event(steady_now(), i, RelayEvent::kSigterm);
    r.process->signal(SIGTERM);
    run_after(kStopNoticeDelay, [this, i, starts = r.start_count] {
      if (relay(i).start_count == starts) load_generator_->set_enabled(i, false);
    });
    run_after(kTerminateTimeout, [this, i, starts = r.start_count] {
      Relay& current = relay(i);
      if (current.start_count != starts || current.state != Relay::State::kStopping) return;
      killed_.insert(i);
      current.meter->signal(SIGKILL);
    });
  }

  void move_discovery(int i) {
    Relay& r = relay(i);
    if (r.state != Relay::State::kUp)
      return add_note("relay " + std::to_string(i) + " was not up to hear SIGHUP");
    r.agent->move_to_new_port(kMoveGrace);
    const std::string listen = "127.0.0.1:" + std::to_string(r.address.port());
    r.process->write_config(relay_config(scenario_, plan_, i, options_.seed, listen, r.agent->address(),
                                         r.agent->full_list_json())
                                .dump());
    observers_.on_relay_event(steady_now(), i, RelayEvent::kSighup);
    r.process->signal(SIGHUP);
  }

  // ---- Load ----

  void begin_when_ready() {
    if (start_ != 0 || std::any_of(relays_.begin(), relays_.end(),
                                   [](const Relay& r) { return r.state != Relay::State::kUp; })) {
      return;
    }
    start_ = steady_now();
    cpu_at_start_ = own_cpu();
    suspended_at_start_ = read_clock(CLOCK_BOOTTIME) - read_clock(CLOCK_MONOTONIC);
    checker_.set_start(start_);
    tracker_.set_start(start_);
    next_sample_ = start_;
    for (const EventPlan& event : plan_.events)
      run_at(start_ + event.at, [this, &event] { apply_event(event); });
    submit_arrivals();
  }

  void submit_arrivals() {
    const Time now = steady_now();
    while (next_arrival_ < plan_.arrivals.size() && start_ + plan_.arrivals[next_arrival_].at <= now) {
      const ArrivalPlan& arrival = plan_.arrivals[next_arrival_++];
      const Time planned = start_ + arrival.at;
      timing_.send_delay.add(std::max<Time>(0, steady_now() - planned));
      const Time due = planned + static_cast<Time>(scenario_.classes[arrival.message_class].give_up_s * 1e6);
      tracker_.on_arrival(planned, arrival, due);
      submit(arrival, due, false, -1);
    }
    if (next_arrival_ == plan_.arrivals.size() || stopping_) return;
    arrival_timer_.expires_at(at_time(start_ + plan_.arrivals[next_arrival_].at));
    arrival_timer_.async_wait([this](const Error& error) {
      if (!error && !stopping_) submit_arrivals();
    });
  }

  // Returns the same body for each submission of a message.
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

  void submit(const ArrivalPlan& arrival, Time due, bool after_relay_exit, int excluded_relay) {
    int target = load_generator_->pick_relay();
    if (target == excluded_relay) target = load_generator_->pick_relay();
    const ClassSpec& spec = scenario_.classes[arrival.message_class];
    Submission submission;
    submission.id = random_.bits() | 1;
    submission.message = arrival.message;
    submission.relay = std::max(0, target);
    submission.message_class = arrival.message_class;
    submission.destination = arrival.partner;
    submission.key =
        spec.effect == Effect::kKeyed ? arrival.message * 0x9e3779b97f4a7c15 + options_.seed + 1 : 0;
    const Time left = std::max<Time>(1, (due - steady_now()) / 1000);
    submission.due = steady_now() + left * 1000;
    tracker_.bind_id(submission.id, arrival.message, submission.relay);
    if (target < 0) return observers_.on_connect_failed(steady_now(), submission);
    std::string attributes =
        "c=" + spec.name + ",d=" + std::to_string(left) + ",dest=" + std::to_string(arrival.partner);
    if (submission.key != 0) attributes += ",k=" + hex(submission.key);
    if (!scenario_.tenants.empty()) attributes += ",t=" + scenario_.tenants[arrival.tenant].name;
    if (after_relay_exit) attributes += ",again=1";
    load_generator_->submit(submission, attributes, body_of(arrival));
  }

  void schedule_resubmission(Time when, const MessageTracker::Resubmission& resubmission) {
    run_at(when, [this, resubmission] {
      if (!stopping_)
        submit(resubmission.arrival, resubmission.due, resubmission.after_relay_exit,
               resubmission.excluded_relay);
    });
  }

  // ---- Scheduled events ----

  void apply_event(const EventPlan& event) {
    if (stopping_) return;
    switch (event.action) {
      case Action::kReplace:
        return replace_endpoints(event);
      case Action::kLag: {
        const Time extra = static_cast<Time>(event.amount * 1e6);
        extra_discovery_lag_ += extra;
        return run_after(event.duration, [this, extra] { extra_discovery_lag_ -= extra; });
      }
      case Action::kBlackout:
        for (Relay& r : relays_) r.agent->set_silent(true);
        return run_after(event.duration, [this] {
          for (Relay& r : relays_) r.agent->set_silent(false);
        });
      case Action::kCrowd:
        idle_clients_.push_back(std::make_unique<standins::IdleClients>(io_, relay(event.relay).address,
                                                                        event.amount > 0 ? event.amount : 100,
                                                                        steady_now() + event.duration));
        return;
      case Action::kHold:
        for (const int p : event.partners) endpoints_->hold_connections(p, true);
        return run_after(event.duration, [this, partners = event.partners] {
          for (const int p : partners) endpoints_->hold_connections(p, false);
        });
      case Action::kWithdraw:
        return withdraw_partners(event);
      case Action::kCopy:
        for (const int p : event.partners) {
          endpoints_->set_second_answers(p, {event.amount, event.min_delay, event.max_delay, event.part});
          run_after(event.duration, [this, p] { endpoints_->set_second_answers(p, {}); });
        }
        return;
      case Action::kNotices:
        for (Relay& r : relays_) r.agent->hold_notice_replies(true);
        return run_after(event.duration, [this] {
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
        return begin_faults(event);
    }
  }

  void begin_faults(const EventPlan& event) {
    const Time now = steady_now();
    for (const int p : event.partners) {
      if (endpoints_->partner(p).fault() != Fault::kNone) {
        add_note(plan_.partners[static_cast<size_t>(p)].name +
                 " was in trouble already: " + event.description + " passed it by");
        continue;
      }
      endpoints_->begin_fault(p, fault_for(event.action), now + event.duration, event.amount,
                              event.sends_retry_after);
      const bool outage = is_outage(event.action, event.amount);
      if (outage) observers_.on_outage_started(now, p);
      run_after(event.duration, [this, p, outage] {
        endpoints_->end_fault(p);
        if (outage) observers_.on_outage_ended(steady_now(), p, endpoints_->partner(p).capacity());
      });
    }
  }

  void replace_endpoints(const EventPlan& event) {
    Random random(event.seed);
    std::vector<int> replaced;
    for (const auto& [number, entry] : list_) {
      if (entry.phase == HostState::kActive) replaced.push_back(number);
    }
    for (size_t i = replaced.size(); i > 1; --i) std::swap(replaced[i - 1], replaced[random.below(i)]);
    replaced.resize(static_cast<size_t>(std::ceil(event.amount * static_cast<double>(replaced.size()))));
    for (size_t i = 0; i < replaced.size(); ++i) {
      const Time start = event.duration * static_cast<Time>(i) / static_cast<Time>(replaced.size());
      const Time drain_time = static_cast<Time>(random.between(kDrainSeconds.low, kDrainSeconds.high) * 1e6);
      const bool in_place = event.same_address && random.chance(0.34);
      run_after(start, [this, number = replaced[i], drain_time, in_place, linger = event.linger] {
        replace_endpoint(number, drain_time, in_place, in_place ? 0 : linger);
      });
    }
  }

  void replace_endpoint(int number, Time drain_time, bool in_place, Time linger) {
    if (stopping_) return;
    const int destination = list_[number].cell;
    list_[number].phase = HostState::kDraining;
    std::vector<int> changed = {number};
    if (!in_place) changed.push_back(open_endpoint(destination, {}));
    publish(changed, false);
    run_after(drain_time / 2, [this, number] { endpoints_->drain(number); });
    run_after(drain_time, [this, number, destination, in_place, linger] {
      if (stopping_) return;
      if (linger == 0) endpoints_->close(number);
      if (linger > 0) run_after(linger, [this, number] { endpoints_->close(number); });
      list_[number].phase = HostState::kRemoved;
      publish({number}, false);
      if (!in_place) return;
      run_after(kAddressReuseDelay, [this, number, destination] {
        if (!stopping_) publish({open_endpoint(destination, number)}, false);
      });
    });
  }

  void withdraw_partners(const EventPlan& event) {
    for (const int p : event.partners) {
      std::vector<int> changed;
      for (auto& [number, entry] : list_) {
        if (entry.cell != p || entry.phase == HostState::kRemoved) continue;
        entry.phase = HostState::kRemoved;
        endpoints_->close(number);
        changed.push_back(number);
      }
      publish(changed, false);
      run_after(event.duration, [this, p, count = changed.size()] {
        std::vector<int> opened;
        for (size_t i = 0; i < count; ++i) opened.push_back(open_endpoint(p, {}));
        if (!stopping_) publish(opened, false);
      });
    }
  }

  void add_note(std::string note) {
    char at[32];
    std::snprintf(at, sizeof at, "%.1f s: ", static_cast<double>(steady_now() - start_) / 1e6);
    notes_.push_back(at + std::move(note));
  }

  // ---- Ticks, limits and the end of the run ----

  void tick() {
    const Time now = steady_now();
    const Time stall = now - expected_tick_;
    if (start_ != 0 && !stopping_) {
      timing_.longest_stall = std::max(timing_.longest_stall, stall);
      if (stall > kStallThreshold) {
        ++timing_.stall_count;
        if (stalls_.size() < 10'000) stalls_.emplace_back(now - stall, now);
      }
    }
    for (size_t i = 0; i < relays_.size(); ++i) {
      if (relays_[i].state != Relay::State::kDown && relays_[i].process->has_exited())
        on_relay_exit(static_cast<int>(i));
    }
    for (size_t i = 0; i < relays_.size(); ++i) enforce_limits(static_cast<int>(i));
    if (start_ != 0) {
      checker_.advance(now);
      while (now >= next_sample_ && !stopping_) sample();
      check_finished(now);
    }
    if (finished_) return;
    expected_tick_ = std::max(expected_tick_ + kTickInterval, now + 1);
    tick_timer_.expires_at(at_time(expected_tick_));
    tick_timer_.async_wait([this](const Error& error) {
      if (!error) tick();
    });
  }

  // Enforces the platform's limits on a relay. A relay over a limit is killed, which counts as a crash.
  void enforce_limits(int i) {
    Relay& r = relay(i);
    if (r.state == Relay::State::kDown) return;
    const Time now = steady_now();
    if (r.quota.is_limited()) {
      if (const bool must_pause = r.quota.must_pause(now, r.meter->cpu()); must_pause != r.paused) {
        r.paused = must_pause;
        r.meter->signal(must_pause ? SIGSTOP : SIGCONT);
      }
    }
    if (now - r.measured_at < kMeasureInterval) return;
    r.measured_at = now;
    const auto exceeded = r.monitor->add_sample(now, r.meter->sample(now));
    if (!exceeded) return;
    r.stop_requested = false;  // a crash even if it was being stopped
    if (!stopping_) observers_.on_limit_exceeded(now, i, exceeded->description, exceeded->recent_samples);
    r.meter->signal(SIGKILL);
  }

  void sample() {
    next_sample_ += kSecond;
    Sample sample;
    sample.open = tracker_.open_count();
    sample.held = tracker_.held_count();
    sample.calls_in_flight = endpoints_->calls_in_flight();
    sample.connections = load_generator_->connection_count() + endpoints_->connection_count();
    for (Relay& r : relays_) {
      RelaySample relay_sample;
      const limits::ResourceUsage peaks = r.monitor->take_interval_peaks();
      if (r.state != Relay::State::kDown) {
        relay_sample.running = true;
        relay_sample.memory = peaks.resident + peaks.temporary;
        relay_sample.disk = peaks.disk;
        relay_sample.descriptors = peaks.descriptors;
        relay_sample.sockets = peaks.sockets;
        relay_sample.cpu = std::max<Time>(0, peaks.cpu - r.previous_cpu);
        r.previous_cpu = std::max(r.previous_cpu, peaks.cpu);
        r.usage.cpu += relay_sample.cpu;
        r.usage.peak_cpu_share =
            std::max(r.usage.peak_cpu_share, static_cast<double>(relay_sample.cpu) / 1e6);
      }
      sample.relays.push_back(relay_sample);
    }
    samples_.push_back(std::move(sample));
    if (options_.progress) progress();
  }

  void progress() {
    uint64_t delivered = 0, refused = 0, failed = 0;
    for (const MessageCounts& t : tracker_.class_counts()) {
      delivered += t.in_time + t.late;
      refused += t.refused;
      failed += t.failed + t.lost + t.unanswered;
    }
    std::fprintf(
        stderr, "\r%5.0f s  %llu asked, %llu delivered, %llu refused, %llu failed, %zu open, %zu breaches   ",
        static_cast<double>(steady_now() - start_) / 1e6,
        static_cast<unsigned long long>(tracker_.message_count()), static_cast<unsigned long long>(delivered),
        static_cast<unsigned long long>(refused), static_cast<unsigned long long>(failed),
        tracker_.open_count(), checker_.violation_count());
  }

  // Ends the run once all arrivals were submitted and nothing is unresolved, or after kMaxDrainTime.
  void check_finished(Time now) {
    if (stopping_) {
      const bool all_exited = std::all_of(relays_.begin(), relays_.end(),
                                          [](const Relay& r) { return r.state == Relay::State::kDown; });
      if (all_exited && !finished_) {
        finished_ = true;
        io_.stop();
      }
      return;
    }
    if (next_arrival_ < plan_.arrivals.size() || now < start_ + static_cast<Time>(scenario_.seconds * 1e6))
      return;
    if (now - last_expiry_ > kSecond) {
      last_expiry_ = now;
      tracker_.expire(now);
    }
    const bool all_ready = std::all_of(relays_.begin(), relays_.end(),
                                       [](const Relay& r) { return r.state == Relay::State::kUp; });
    double longest_give_up_s = 0;
    for (const ClassSpec& c : scenario_.classes) longest_give_up_s = std::max(longest_give_up_s, c.give_up_s);
    if (now > start_ + static_cast<Time>((scenario_.seconds + longest_give_up_s) * 1e6) + kMaxDrainTime) {
      return stop("something was open a minute after the last message's time", false);
    }
    if (tracker_.open_count() > 0 || checker_.unresolved_count() > 0 || !all_ready) {
      idle_since_ = 0;
      return;
    }
    if (idle_since_ == 0) idle_since_ = now;
    if (now - idle_since_ >= kQuietTime) stop("", false);
  }

  void interrupt() {
    interrupted_ = true;
    stop("interrupted", false);
  }

  // Ends the run: all relays get SIGTERM, and SIGKILL after kTerminateTimeout.
  void stop(const std::string& reason, bool failed_to_start) {
    if (stopping_) return;
    stopping_ = true;
    failed_to_start_ = failed_to_start;
    reason_ = reason;
    end_ = steady_now();
    if (start_ != 0) {
      checker_.finish(end_);
      check_run();
    }
    arrival_timer_.cancel();
    idle_clients_.clear();
    for (size_t i = 0; i < relays_.size(); ++i) {
      if (relays_[i].state == Relay::State::kDown) continue;
      relays_[i].stop_requested = true;
      stopped_by_term_.insert(static_cast<int>(i));
      relays_[i].process->signal(SIGTERM);
    }
    run_after(kTerminateTimeout, [this] {
      for (size_t i = 0; i < relays_.size(); ++i) {
        if (relays_[i].state == Relay::State::kDown) continue;
        killed_.insert(static_cast<int>(i));
        relays_[i].meter->signal(SIGKILL);
      }
    });
    if (start_ == 0) start_ = end_;  // lets tick() wait for the relays to exit
  }

  // Checks that need the whole run: memory growth and the scenario's expectations.
  void check_run() {
    for (size_t i = 0; i < relays_.size(); ++i) {
      Relay& r = relays_[i];
      r.usage.growth = r.monitor->growth();
      const limits::MemoryGrowth& growth = r.usage.growth;
      if (!growth.is_leak) continue;
      char text[240];
      std::snprintf(
          text, sizeof text,
          "its memory grows by %.1f MB a minute through the second half of its life, %.1f MB in all; the "
          "least that it held rose in %d of %d steps",
          growth.mb_per_minute, growth.mb, growth.increases, growth.intervals - 1);
      checker_.add_violation(Rule::kMemoryGrowth, end_, static_cast<int>(i), text);
    }
    if (interrupted_) return;
    for (const ExpectSpec& expect : scenario_.expects) check_expectation(expect);
  }

  void check_expectation(const ExpectSpec& expect) {
    double requested = 0, in_time = 0, delivered = 0, failed = 0, refused = 0;
    const bool by_tenant = !expect.of_tenant.empty();
    const std::string& wanted_name = by_tenant ? expect.of_tenant : expect.of_class;
    for (const MessageCounts& t : by_tenant ? tracker_.tenant_counts() : tracker_.class_counts()) {
      if (!wanted_name.empty() && t.name != wanted_name) continue;
      requested += static_cast<double>(t.requested);
      in_time += static_cast<double>(t.in_time);
      delivered += static_cast<double>(t.in_time + t.late);
      failed += static_cast<double>(t.failed);
      refused += static_cast<double>(t.refused);
    }
    if (requested == 0) return;
    const auto report_missed = [&](const char* what, double share, const char* bound, double wanted) {
      char text[200];
      std::snprintf(text, sizeof text, "%s: %.2f%% %s, expected %s %.2f%%", expect.where.c_str(), 100 * share,
                    what, bound, 100 * wanted);
      checker_.add_violation(Rule::kExpectation, end_, -1, text);
    };
    if (in_time / requested < expect.in_time)
      report_missed("in time", in_time / requested, "at least", expect.in_time);
    if (delivered / requested < expect.delivered)
      report_missed("delivered", delivered / requested, "at least", expect.delivered);
    if (failed / requested > expect.failed)
      report_missed("failed", failed / requested, "at most", expect.failed);
    if (refused / requested > expect.refused)
      report_missed("refused", refused / requested, "at most", expect.refused);
    const double attempts = static_cast<double>(tracker_.total_attempts()) /
                            static_cast<double>(std::max<uint64_t>(1, tracker_.message_count()));
    if (expect.attempts <= 0 || attempts <= expect.attempts) return;
    char text[200];
    std::snprintf(text, sizeof text, "%s: %.2f attempts a message, expected at most %.2f",
                  expect.where.c_str(), attempts, expect.attempts);
    checker_.add_violation(Rule::kExpectation, end_, -1, text);
  }

  RunReport make_report() {
    RunReport out;
    out.digest = plan_.digest;
    out.interrupted = interrupted_;
    out.seconds = static_cast<double>(end_ - start_) / 1e6;
    out.violations = checker_.violations();
    out.violation_count = checker_.violation_count();
    out.class_counts = tracker_.class_counts();
    out.tenant_counts = tracker_.tenant_counts();
    out.per_second = tracker_.per_second();
    out.samples = std::move(samples_);
    for (Relay& r : relays_) {
      r.usage.peak = r.monitor->peak_usage();
      r.usage.peak_memory = r.monitor->peak_memory();
      out.relay_usage.push_back(r.usage);
    }
    out.events = plan_.events;
    out.notes = std::move(notes_);
    out.messages = tracker_.message_count();
    out.submissions = tracker_.submission_count();
    out.attempts = tracker_.total_attempts();
    for (const Relay& r : relays_) out.notices += r.agent->notice_count();
    out.notices_of_delivered = checker_.notices_of_delivered();
    out.connections_opened = load_generator_->connections_opened();
    out.timing = timing_;
    out.timing.cpu = own_cpu() - cpu_at_start_;
    out.timing.suspended = read_clock(CLOCK_BOOTTIME) - read_clock(CLOCK_MONOTONIC) - suspended_at_start_;
    if (options_.progress) std::fprintf(stderr, "\n");
    if (failed_to_start_) {
      out.verdict = RunVerdict::kViolated;
      out.reason = reason_;
      return out;
    }
    bool certain = out.violation_count > out.violations.size();
    for (const Violation& violation : out.violations) {
      const bool near_stall = std::any_of(stalls_.begin(), stalls_.end(), [&](const auto& stall) {
        return violation.at >= stall.first - kUncertainBeforeStall &&
               violation.at <= stall.second + kUncertainAfterStall;
      });
      out.uncertain.push_back(near_stall && violation.rule < Rule::kCrash);
      certain |= !out.uncertain.back();
    }
    const double send_delay_p99 = out.timing.send_delay.quantile(0.99);
    char text[160] = "";
    if (out.timing.suspended > kMaxSuspended) {
      std::snprintf(text, sizeof text, "the machine slept for %.1f s",
                    static_cast<double>(out.timing.suspended) / 1e6);
    } else if (out.timing.longest_stall > kMaxStall) {
      std::snprintf(text, sizeof text, "the kit itself stood still for %.0f ms",
                    static_cast<double>(out.timing.longest_stall) / 1e3);
    } else if (send_delay_p99 > static_cast<double>(kMaxSendDelay) / 1e3) {
      std::snprintf(text, sizeof text, "the kit handed messages in late: %.0f ms for one in a hundred",
                    send_delay_p99);
    } else if (!certain && !out.violations.empty()) {
      std::snprintf(text, sizeof text, "each breach lies beside a moment when the kit itself ran late");
    }
    out.reason =
        reason_.empty() || interrupted_ ? text : reason_ + (*text == '\0' ? "" : std::string("; ") + text);
    const bool suspended = out.timing.suspended > kMaxSuspended;
    out.verdict = certain && !suspended ? RunVerdict::kViolated
                  : *text != '\0'       ? RunVerdict::kInconclusive
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
  MessageTracker tracker_;
  ObserverList observers_;
  std::unique_ptr<standins::Endpoints> endpoints_;
  std::vector<Relay> relays_;
  std::unique_ptr<standins::LoadGenerator> load_generator_;
  std::vector<std::unique_ptr<standins::IdleClients>> idle_clients_;
  std::map<int, standins::ListEntry> list_;  // current host list, by endpoint number
  std::map<size_t, Time> last_update_at_;
  std::set<int> stopped_by_term_;
  std::set<int> killed_;
  int last_endpoint_ = 0;
  Time extra_discovery_lag_ = 0;
  steady_timer tick_timer_;
  steady_timer arrival_timer_;
  boost::asio::signal_set signals_;
  Time start_ = 0;  // start of the load; 0: not started
  Time end_ = 0;
  Time expected_tick_ = 0;
  Time next_sample_ = 0;
  Time idle_since_ = 0;
  Time last_expiry_ = 0;
  Time cpu_at_start_ = 0;
  Time suspended_at_start_ = 0;
  size_t next_arrival_ = 0;
  bool stopping_ = false;
  bool finished_ = false;
  bool interrupted_ = false;
  bool failed_to_start_ = false;
  std::string reason_;
  KitTiming timing_;
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

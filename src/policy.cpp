// Implementation of Policy: all decisions of firspool. The interface and its contract are in
// include/firspool/policy.h.
#include "firspool/policy.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>

#include "overload_budget.h"
#include "policy_parts.h"
#include "unanswered_calls.h"

namespace firspool {

class Policy::Impl {
 public:
  Impl(Settings settings, uint64_t seed)
      : settings_(std::move(settings)), random_(seed), preference_seed_(seed) {
    if (settings_.classes.empty()) throw std::invalid_argument("settings hold no class");
    for (const ClassSettings& c : settings_.classes) longest_give_up_ = std::max(longest_give_up_, c.give_up);
  }

  void step(Time now, std::span<const Event> events, std::vector<Action>& actions) {
    if (now < now_) throw std::invalid_argument("time goes back");
    if (first_step_ == kNever) first_step_ = max_idle_age_set_at_ = now;
    now_ = now;
    actions_ = &actions;
    for (const Event& event : events) {
      std::visit([this](const auto& e) { handle(e); }, event);
    }
    std::erase_if(key_pauses_, [now](const auto& pause) { return pause.second.first <= now; });
    erase_removed_hosts();
    next_wake_ = kNever;
    maintain_watch();
    detect_outages();
    end_expired_messages();
    dispatch();
    shed_load();
    save_destination_states();
    set_timer();
  }

 private:
  // ---- Events and health ----

  void handle(const MembersChanged& e) {
    if (e.form == MembersChanged::Form::kFailed) {
      watch_open_ = false;
      next_watch_ = now_ + watch_backoff_;
      watch_backoff_ = std::min(watch_backoff_ * 2, std::max(kSecond, settings_.list_request_interval / 2));
      return;
    }
    if (watch_open_) watch_backoff_ = kSecond / 4;
    if (e.form == MembersChanged::Form::kFull) {
      for (auto& [id, host] : hosts_) {
        host.ready = false;
        host.removed = true;
        removed_hosts_.insert(id);
      }
    }
    if (!e.members) return;
    for (const Member& member : *e.members) {
      const auto [entry, fresh] = hosts_.try_emplace(member.endpoint);
      Host& host = entry->second;
      if (fresh) {
        host.preference =
            seconds(Random(preference_seed_ + member.endpoint.address * 65536ull + member.endpoint.port)
                        .between(0, kSecond));
      }
      host.member = member;
      host.route = &route_of(member);
      host.ready = member.state == HostState::kReady;
      host.removed = member.state == HostState::kRemoved;
      if (host.removed) removed_hosts_.insert(member.endpoint);
      if (member.state == HostState::kDraining) release_route(host);
      hosts_by_destination_[member.destination][member.endpoint] = &host;
      Destination& destination = destinations_[member.destination];
      destination.kind = member.kind;
      destination.saved_state.destination = member.destination;
      if (settings_.weights != Weights::kNone && member.weight > 0 && host.ready)
        host.route->rate_limit = member.weight;
    }
    // This includes hosts that a full list no longer contains.
    for (const Endpoint& endpoint : removed_hosts_) {
      if (Host& host = hosts_.at(endpoint); host.removed) release_route(host);
    }
  }

  // Erases removed hosts that have no call or probe in flight. Without this, memory would grow: replaced
  // hosts come back under new endpoints.
  void erase_removed_hosts() {
    std::erase_if(removed_hosts_, [this](const Endpoint& endpoint) {
      Host& host = hosts_.at(endpoint);
      if (!host.removed) return true;
      if (host.calls_in_flight > 0 || host.probe_in_flight) return false;
      hosts_by_destination_[host.member.destination].erase(endpoint);
      if (const RouteKey key = host.route->key; key.second != Endpoint{}) {
        monitored_routes_.erase(key);
        routes_.erase(key);
      }
      hosts_.erase(endpoint);
      return true;
    });
  }

  void handle(const Arrival& e) {
    if (e.message_class < 0 || e.message_class >= static_cast<int>(settings_.classes.size())) {
      throw std::invalid_argument("unknown class of message " + std::to_string(e.id));
    }
    if (messages_.contains(e.id))
      throw std::invalid_argument("message " + std::to_string(e.id) + " came twice");
    const ClassSettings& c = settings_.classes[e.message_class];
    Message& message = messages_[e.id];
    message.arrival = e;
    message.target = e.due - c.give_up + c.target;
    message.worth = c.worth * tenant_worth_factor(e.tenant, e.due - c.give_up);
    message.attempts = e.attempts;
    message.is_retry = e.attempts > 0;
    message.maybe_executed = message.maybe_executed_before_restart = e.maybe_executed;
    message.maybe_executed_sent = e.maybe_executed_sent;
    message.maybe_executed_zone = e.maybe_executed_zone;
    if (c.in_order && e.key != 0) ordered_queues_[e.key].push_back(e.id);
  }

  // Factor on the worth of a message: messages beyond the tenant's quota earn less. This relay's part of the
  // quota is taken to be an even one. The message counts at the time of its first submission: messages
  // resumed after a restart arrive all at once, but were not submitted at once.
  double tenant_worth_factor(int tenant, Time submitted) {
    if (tenant < 0 || tenant >= static_cast<int>(settings_.tenants.size())) return 1;
    const double quota = settings_.tenants[tenant].quota_per_s / settings_.relays;
    if (quota <= 0) return 1;
    auto [it, fresh] = tenant_buckets_.try_emplace(tenant);
    TokenBucket& bucket = it->second;
    if (fresh) bucket = {2 * quota, std::min(submitted, now_)};
    bucket.refill(std::clamp(submitted, bucket.at, now_), quota, std::max(1.0, 2 * quota));
    if (bucket.tokens < 1) return settings_.over_quota_worth;
    bucket.tokens -= 1;
    return 1;
  }

  // The message needs no final answer any more. While its call is in flight it keeps its place in the order
  // of its key.
  void handle(const Withdrawn& e) {
    const auto it = messages_.find(e.id);
    if (it == messages_.end()) return;
    it->second.withdrawn = true;
    if (!it->second.in_flight) erase_message(e.id);
  }
  void handle(const TimerFired& e) {
    if (static_cast<Time>(e.token) == timer_at_) timer_at_ = kNever;
  }
  void handle(const PeerMessage&) {}
  void handle(const DestinationState& e) {
    const RouteKey key = {e.destination, e.endpoint};
    if (e.endpoint != Endpoint{}) {
      const auto it = routes_.find(key);
      if (it == routes_.end()) return;
      it->second.saved_state = e;
      return restore(it->second, e);
    }
    Destination& destination = destinations_[e.destination];
    destination.retry_tokens = std::clamp(e.retry_tokens, 0, kRetryBucketCapacity);
    destination.saved_state = e;
    if (e.outage_start == 0 && e.pacing_rate <= 0 && e.failing_since == 0) return;
    Route& route = routes_[key];
    route.key = key;
    restore(route, e);
  }

  void restore(Route& route, const DestinationState& e) {
    // Without the saved rate, all messages that were waiting for it would be sent in the first moment after a
    // restart. The rate is at least this relay's even share of the listed limit: the refusals may be over,
    // and a relay that rarely calls would notice only much later.
    if (e.pacing_rate > 0) {
      route.pacing_rate = route.restored_pacing_rate = route.pacing_rate_before_streak =
          std::max(e.pacing_rate, route.rate_limit / settings_.relays);
      route.pacing_bucket = {0.5 - seconds(random_.between(0, kSecond)), now_};
    }
    if (e.outage_start == 0 && e.failing_since == 0) return;
    route.baseline_rate = e.baseline_rate;
    if (e.outage_start == 0) {
      route.unserved_streak = route.failures_in_streak = 1;
      route.estimated_outage_start = e.failing_since;
      // The calls that could have disproved an outage ended with the former process: the probation is
      // enforced from now on.
      route.streak_start = std::min(e.failing_since, now_ - kMinOutageSpan);
      route.outage_bucket = {seconds(random_.between(0, kSecond)), now_};
      route.probation_enforced = true;
      return monitor(route);
    }
    route.outage_start = route.estimated_outage_start = e.outage_start;
    route.recovery_start = e.recovery_start;
    route.outage_bucket = {0, now_};
    monitor(route);
  }
  void handle(const ShutdownScheduled& e) { shutdown_at_ = e.at; }
  void handle(const RetryAfterReceived& e) {
    const auto host = hosts_.find(e.endpoint);
    if (host != hosts_.end()) apply_retry_after(e.retry_after, *host->second.route);
  }
  void handle(const TrialAssignment& e) {
    const auto it = routes_.find({e.destination, Endpoint{}});
    if (it == routes_.end()) return;
    it->second.trial_duty = e.duty;
    it->second.outage_is_shared = it->second.outage_is_shared || e.duty != TrialAssignment::Duty::kShared;
  }
  // If a trial call of another relay was served after this outage began, the outage is over here too. A relay
  // that was served nothing since the reported outage began takes the outage over: detecting it itself would
  // cost the destination further calls.
  void handle(const PeerHealthReport& e) {
    const auto it = routes_.find({e.destination, Endpoint{}});
    if (it == routes_.end() || e.outage_start == 0) return;
    Route& route = it->second;
    if (route.outage_start == 0 && route.served_rate.at < e.outage_start &&
        (e.recovery_start == 0 || now_ - e.recovery_start < settings_.slow_start)) {
      monitor(route);
      open_circuit(route, "as another relay saw", false);
      route.outage_start = e.outage_start;
      route.baseline_rate = std::max(route.baseline_rate, e.baseline_rate);
    }
    if (route.outage_start == 0 || route.recovery_start != 0 || e.recovery_start <= route.outage_start)
      return;
    route.recovery_start = e.recovery_start;
    route.suspected = false;
    log(route, "back, cold, as another relay saw");
  }

  // A destination with a call or probe in flight stays.
  void handle(const DestinationsForgotten& e) {
    erase_removed_hosts();
    for (const int destination : e.destinations) {
      const auto hosts = hosts_by_destination_.find(destination);
      if (hosts != hosts_by_destination_.end()) {
        if (!hosts->second.empty()) continue;
        hosts_by_destination_.erase(hosts);
      }
      const RouteKey key = {destination, Endpoint{}};
      monitored_routes_.erase(key);
      routes_.erase(key);
      destinations_.erase(destination);
    }
  }

  void handle(const ProbeEnded& e) {
    const auto it = hosts_.find(e.endpoint);
    if (it == hosts_.end()) return;
    Host& host = it->second;
    host.probe_in_flight = false;
    if (!host.ready) return;  // its route was released
    host.route->probe_in_flight = false;
    host.route->probe_ok = e.ok;
  }

  void handle(const AttemptEnded& e) {
    const auto it = attempts_.find({e.id, e.attempt});
    if (it == attempts_.end()) return;
    const Attempt attempt = it->second;
    attempts_.erase(it);
    Host& host = hosts_[attempt.endpoint];
    Route& route = *host.route;
    Destination& destination = destinations_[host.member.destination];
    const auto call = calls_in_flight_.find(attempt.call_id);
    if (--call->second == 0) {
      calls_in_flight_.erase(call);
      --host.calls_in_flight;
      --destination.calls_in_flight;
    }
    host.last_used = now_;
    route.trials_in_flight -= attempt.is_trial;
    route.wait_logged = false;
    update_from_outcome(e, attempt, host, route, destination);
    if (host.calls_in_flight == 0 && connections_scarce(kinds_[destination.kind]))
      close_idle_connections(host);
    const auto found = messages_.find(e.id);
    if (found == messages_.end()) return;
    Message& message = found->second;
    message.in_flight = false;
    const bool unclear_end =
        e.outcome == Outcome::kTimeout || e.outcome == Outcome::kReset || e.outcome == Outcome::kCancelled;
    if (settings_.classes[message.arrival.message_class].in_order && unclear_end) {
      key_pauses_[message.arrival.key] = {now_ + settings_.in_order_pause, e.id};
    }
    if (e.final || message.withdrawn) return erase_message(e.id);
    if (e.outcome == Outcome::kNotStarted && !e.reply_unverified) return;
    message.is_retry = true;
    message.not_before = now_ + random_.between(kMinRetryBackoff, kMaxRetryBackoff);
    const bool not_executed =
        !e.reply_unverified && (e.outcome == Outcome::kRefused || e.outcome == Outcome::kConnectFailed);
    if (not_executed || message.maybe_executed) return;
    message.maybe_executed = true;
    message.maybe_executed_sent = attempt.sent;
    message.maybe_executed_zone = host.member.zone;
  }

  void update_from_outcome(const AttemptEnded& e, const Attempt& attempt, Host& host, Route& route,
                           Destination& destination) {
    apply_report(e, route);
    if (route.unserved_streak == 0) route.pacing_rate_before_streak = route.pacing_rate;
    update_idle_loss(e, attempt, kinds_[destination.kind], route);
    // Learns whether overdue calls are served in the end (slow) or not (lost).
    if (e.outcome == Outcome::kOk || e.outcome == Outcome::kTimeout) {
      const bool overdue = e.duration > latency_of(destination).overdue_age();
      if (overdue)
        late_success_share_ +=
            2 * kSampleWeight * ((e.outcome == Outcome::kOk ? 1 : 0) - late_success_share_);
    }
    switch (e.outcome) {
      case Outcome::kOk:
        destination.retry_tokens = std::min(kRetryBucketCapacity, destination.retry_tokens + 1);
        destination.served_rate.add(now_);
        host.latency.add(seconds(e.duration));
        kinds_[destination.kind].latency.add(seconds(e.duration));
        add_latency(destination, e.duration);
        if (destination.typical_latency.samples == 0 ||
            e.duration < micros(4 * destination.typical_latency.mean))
          destination.typical_latency.add(seconds(e.duration));
        // The host took no connection but serves calls: its connection table was full. A host that is down
        // serves nothing.
        if (host.first_connect_failure != 0 && attempt.sent < host.first_connect_failure + kTableFullSpan) {
          kinds_[destination.kind].connect_failure_share +=
              kSampleWeight * (1 - kinds_[destination.kind].connect_failure_share);
        }
        host.first_connect_failure = 0;
        host.consecutive_failures = 0;
        host.avoid_until = 0;
        return on_served(attempt, route);
      case Outcome::kRefused:
        apply_retry_after(e.retry_after, route);
        if (e.connection_limit_reached) return on_connection_limit(destination.kind);
        // A host that is draining or removed may refuse any call.
        if (!host.ready) return;
        reduce_pacing_rate(attempt, route);
        return on_unserved(attempt, route, e.outcome, e.retry_after > 0);
      case Outcome::kError:
      case Outcome::kReset:
      case Outcome::kTimeout:
      case Outcome::kConnectFailed:
        // Lost answers are no sign of slowness: a timeout counts as a latency sample only if overdue calls
        // tend to be served in the end.
        if (e.outcome == Outcome::kTimeout && late_success_share_ > kMinLateSuccessShare &&
            route.last_served_sent < attempt.sent) {
          add_latency(destination, e.duration);
        }
        if (e.outcome == Outcome::kConnectFailed && host.first_connect_failure == 0)
          host.first_connect_failure = now_;
        if (e.outcome != Outcome::kError) avoid_host(host);
        return on_unserved(attempt, route, e.outcome, false);
      // Any host may send malformed answers: they say nothing about its health.
      case Outcome::kMalformed:
        return apply_retry_after(e.retry_after, route);
      case Outcome::kCancelled:
      case Outcome::kNotStarted:
        return;
    }
  }

  // All relays that were asked to wait resume at the end of that wait: the random pause spreads their calls.
  void apply_retry_after(Time retry_after, Route& route) {
    if (retry_after <= 0) return;
    route.retry_after_until = std::max(
        route.retry_after_until, now_ + retry_after + settings_.tick + random_.between(0, kMaxRetryBackoff));
  }

  std::optional<double> report_value(const std::vector<float>& report, int index) const {
    if (index < 0 || static_cast<size_t>(index) >= report.size()) return {};
    const float value = report[static_cast<size_t>(index)];
    return std::isfinite(value) && value >= 0 ? std::optional<double>(value) : std::nullopt;
  }

  // Host selection costs more on a route whose limit is nearly used up, so that routes with limits of their
  // own are used evenly.
  void apply_report(const AttemptEnded& e, Route& route) {
    const double limit = report_value(e.report, settings_.report_limit_index).value_or(0);
    if (limit > 0) route.rate_limit = limit;
    if (e.outcome != Outcome::kOk && e.outcome != Outcome::kRefused) return;
    const double served =
        limit > 0 ? std::min(1.0, report_value(e.report, settings_.report_remaining_index).value_or(1)) : 1;
    route.remaining_share +=
        2 * kSampleWeight * ((e.outcome == Outcome::kOk ? served : 0) - route.remaining_share);
  }

  // ---- Priors and connections ----

  void add_latency(Destination& destination, Time took) {
    if (destination.latency.samples == 0) {
      destination.latency = kinds_[destination.kind].latency;
      destination.latency.samples = std::min(destination.latency.samples, 1);
    }
    destination.latency.add(seconds(took));
  }
  const Latency& latency_of(const Destination& destination) {
    return destination.latency.samples > 0 ? destination.latency : kinds_[destination.kind].latency;
  }

  // The idle age up to which a connection is reused.
  Time max_idle_age() const {
    const double grown =
        seconds(max_idle_age_) * std::exp2(seconds(now_ - max_idle_age_set_at_) / seconds(kIdleAgeDoubling));
    return std::min(settings_.conn_idle_timeout, micros(grown));
  }

  void close_idle_connections(Host& host) {
    actions_->push_back(CloseIdleConnections{host.member.endpoint});
    host.connections = 0;
  }

  // Idle connections can be dropped without notice: the idle age up to which they are reused shrinks if calls
  // on them are lost more often than on new ones. A wrong reduction costs handshakes. A call lost on an idle
  // connection is attributed to the connection only once the destination has served a call sent later on a
  // new one, at its usual speed: in a hang or a slow spell all calls are lost, and most of those are on idle
  // connections because most calls are.
  void update_idle_loss(const AttemptEnded& e, const Attempt& attempt, KindState& kind, Route& route) {
    if (e.outcome == Outcome::kOk) kind.connect_failure_share *= 1 - kTableFullShare / 2;
    const bool broken = e.outcome == Outcome::kReset || e.outcome == Outcome::kTimeout;
    if (attempt.idle_time > 0 && broken && route.outage_start == 0) {
      route.suspect_calls.push_back({attempt.sent, attempt.idle_time});
      if (route.suspect_calls.size() > kMaxSuspectCalls)
        route.suspect_calls.erase(route.suspect_calls.begin());
    } else if (attempt.idle_time > 0 && e.outcome == Outcome::kOk) {
      idle_loss_share_ -= kSampleWeight * idle_loss_share_;
    } else if (attempt.idle_time == 0 && (broken || e.outcome == Outcome::kOk)) {
      fresh_loss_share_ += kSampleWeight * ((broken ? 1 : 0) - fresh_loss_share_);
      if (!broken && e.duration <= kMinOverdueAge) attribute_losses_to_idleness(attempt, route);
      std::erase_if(route.suspect_calls,
                    [&](const SuspectCall& suspect) { return suspect.sent <= attempt.sent; });
    } else if (e.outcome == Outcome::kConnectFailed) {
      // The destination was down, not the connections.
      route.suspect_calls.clear();
    }
  }

  void attribute_losses_to_idleness(const Attempt& served, const Route& route) {
    for (const SuspectCall& suspect : route.suspect_calls) {
      if (suspect.sent > served.sent) continue;
      idle_loss_share_ += kSampleWeight * (1 - idle_loss_share_);
      if (idle_loss_share_ < fresh_loss_share_ + kIdleLossMargin) continue;
      max_idle_age_ = std::min(max_idle_age(), std::max(suspect.idle_time / kIdleAgeDivisor, settings_.tick));
      max_idle_age_set_at_ = now_;
    }
  }

  // A host of this kind has reached its connection limit. This is no rate limit and no sign of an outage. In
  // large fleets each relay rarely calls a host, and one idle connection per relay fills any connection
  // table: closes all idle connections to hosts of this kind and keeps none there for a while.
  void on_connection_limit(int kind) {
    const bool already_scarce = connections_scarce(kinds_[kind]);
    kinds_[kind].connections_scarce_until = now_ + kIdleAgeDoubling;
    if (already_scarce) return;
    for (auto& [endpoint, host] : hosts_) {
      if (host.connections > 0 && host.calls_in_flight == 0 &&
          destinations_[host.member.destination].kind == kind) {
        close_idle_connections(host);
      }
    }
  }
  bool connections_scarce(const KindState& kind) const {
    return kind.connect_failure_share > kTableFullShare || now_ < kind.connections_scarce_until;
  }

  void avoid_host(Host& host) {
    host.avoid_until =
        now_ + std::min(kMaxAvoidTime, kMinAvoidTime << std::min(host.consecutive_failures, 3));
    ++host.consecutive_failures;
    host.connections = 0;
  }

  void on_served(const Attempt& attempt, Route& route) {
    route.served_rate.add(now_);
    route.last_served_sent = std::max(route.last_served_sent, attempt.sent);
    route.failure_share.on_served();
    if (route.outage_start == 0) look_for_outage_in_retrospect(attempt, route);
    route.unserved_streak = route.failures_in_streak = 0;
    route.streak_endpoints.clear();
    route.probe_ok = false;
    route.pacing_rate = std::max(route.pacing_rate, route.restored_pacing_rate);
    if (route.pacing_limited) route.pacing_rate += pacing_gain(route) * route.pacing_rate;
    if (route.rate_limit > 0) route.pacing_rate = std::min(route.pacing_rate, route.rate_limit);
    route.pacing_limited = false;
    if (route.outage_start == 0) return;
    // The overdue calls were slow, not lost.
    if (route.suspected && attempt.sent <= route.outage_start) {
      log(route, "only slow");
      route.outage_start = 0;
      route.suspected = false;
    } else if (route.recovery_start == 0 && attempt.sent > route.outage_start) {
      route.recovery_start = now_;
      route.suspected = false;
      log(route, "back, cold");
    }
  }

  void on_unserved(const Attempt& attempt, Route& route, Outcome outcome, bool wait_requested) {
    const bool failed = outcome != Outcome::kRefused;
    monitor(route);
    if (failed) route.failure_share.on_failed();
    // If a call sent later was served, this call was lost or its endpoint is bad, but the destination is up.
    if (attempt.sent < route.last_served_sent) return;
    if (route.unserved_streak++ == 0) begin_streak(attempt.sent, route);
    if (hosts_[attempt.endpoint].ready) route.streak_endpoints.insert(attempt.endpoint);
    if (failed) {
      if (route.failures_in_streak++ == 0 && route.outage_start == 0) log_failure(attempt, route, outcome);
      route.suspected = false;
    }
    // A failure during the recovery may be a new outage: the next served call starts the slow start again.
    // Outcomes of calls from before it add no information.
    if (route.recovery_start != 0 && failed && attempt.sent > route.recovery_start) {
      route.recovery_start = 0;
      log(route, "fails again");
    }
    // A wait longer than the span of a rate limit says when the destination accepts calls again: its recovery
    // starts then.
    if (wait_requested && route.outage_start == 0 &&
        route.retry_after_until - route.streak_start > kMinRefusalSpan) {
      open_circuit(route, "a host asked for a long wait", false);
      route.recovery_start = route.outage_bucket.at = route.retry_after_until;
    }
  }

  // A relay that rarely calls learns of an outage late: it began at some time between the last call that was
  // served and the first one that was not.
  Time estimate_outage_start(const Route& route, Time first_unserved) const {
    const Time last_served = std::min(first_unserved, std::max(route.served_rate.at, first_step_));
    return last_served + (first_unserved - last_served) / 2;
  }

  // The first token is for the retry that tells a lost call from an outage.
  void begin_streak(Time sent, Route& route) {
    route.streak_start = sent;
    if (route.outage_start != 0) return;
    route.baseline_rate = estimated_rate(route);
    route.estimated_outage_start = estimate_outage_start(route, sent);
    route.outage_bucket = {1, now_};
    route.probation_enforced = false;
  }

  // A host is draining or removed. The streak of unserved calls and an outage stay: the destination may be
  // out, and come back cold on the hosts that replace this one. Only a served call ends an outage.
  void release_route(Host& host) {
    release_trials(host);
    discount_refusals_at_limit(*host.route, host.member.endpoint);
  }

  // What is in flight at a host that is being removed says nothing of the hosts that replace it, and holds up
  // no trial call or probe there.
  void release_trials(Host& host) {
    Route& route = *host.route;
    if (host.probe_in_flight) route.probe_in_flight = false;
    if (route.trials_in_flight == 0) return;
    for (auto& [id, attempt] : attempts_) {
      if (!attempt.is_trial || attempt.endpoint != host.member.endpoint) continue;
      attempt.is_trial = false;
      --route.trials_in_flight;
    }
  }

  // A host that is being removed refuses calls before the list says so. If all unserved calls of the streak
  // went to such hosts, their refusals are no evidence of a limit.
  void discount_refusals_at_limit(Route& route, const Endpoint& endpoint) {
    if (route.streak_endpoints.erase(endpoint) == 0 || !route.streak_endpoints.empty() ||
        route.recovery_start != 0)
      return;
    if (route.outage_start != 0) log(route, "all hosts that failed are being removed; the outage stays");
    route.pacing_rate = route.restored_pacing_rate = route.pacing_rate_before_streak;
  }

  void log(const Route& route, const std::string& what) {
    actions_->push_back(Log{"destination " + std::to_string(route.key.first) + ": " + what});
  }

  // The last news before a failed call tells how long an outage may have lasted when it was sent.
  void log_failure(const Attempt& attempt, Route& route, Outcome outcome) {
    if (now_ < route.next_failure_log) return;
    route.next_failure_log = now_ + kFailureLogInterval;
    const bool has_news = route.last_served_sent != std::numeric_limits<Time>::min();
    log(route,
        std::string("a call ") + describe(outcome) + " after " + std::to_string((now_ - attempt.sent) / kMs) +
            " ms; " +
            (has_news ? "the last served one was sent " +
                            std::to_string((attempt.sent - route.last_served_sent) / kMs) + " ms before it"
                      : "none was served before"));
  }

  static const char* describe(Outcome outcome) {
    switch (outcome) {
      case Outcome::kError:
        return "was answered with an error";
      case Outcome::kTimeout:
        return "timed out";
      case Outcome::kConnectFailed:
        return "could not connect";
      case Outcome::kReset:
        return "was reset";
      default:
        return "was not served";
    }
  }

  static std::string per_minute(double rate) { return std::to_string(std::lround(60 * rate)) + " a minute"; }

  // What the calls of this relay during an outage and its slow start are derived from.
  std::string describe_rates(const Route& route) const {
    return "served before: " + per_minute(route.baseline_rate) + "; the outage began about " +
           std::to_string((now_ - route.estimated_outage_start) / kMs) +
           " ms ago; trial calls: " + per_minute(trial_rate(route)) + " at " +
           std::to_string(std::lround(100 * informed_share(route))) + "% of the relays informed";
  }

  void open_circuit(Route& route, const char* evidence, bool suspected) {
    route.baseline_rate = estimated_rate(route);
    route.estimated_outage_start =
        estimate_outage_start(route, route.unserved_streak > 0 ? route.streak_start : now_);
    route.outage_start = now_;
    route.recovery_start = 0;
    route.outage_is_shared = false;
    route.suspected = suspected;
    route.suspect_calls.clear();
    route.outage_bucket = {seconds(random_.between(0, kSecond)), now_};
    route.probe_ok = false;
    log(route, std::string("outage, ") + evidence + "; " + describe_rates(route));
  }

  // A call was served. There may have been an outage until now, and this relay counts as having seen it: it
  // takes part in the slow start.
  void look_for_outage_in_retrospect(const Attempt& served, Route& route) {
    if (served.on_probation && on_probation(route)) {
      open_circuit_in_retrospect(route, route.streak_start, "as nothing was served since a call failed");
    } else if (route.failure_share.most_calls_fail()) {
      route.baseline_rate = estimated_rate(route);
      route.estimated_outage_start = estimate_outage_start(route, served.sent);
      open_circuit_in_retrospect(route, served.sent - 1, "as most calls failed");
    }
  }

  void open_circuit_in_retrospect(Route& route, Time outage_start, const char* evidence) {
    monitor(route);
    route.outage_start = outage_start;
    route.recovery_start = 0;
    route.outage_is_shared = route.suspected = false;
    route.outage_bucket = {0, now_};
    log(route, std::string("outage, ") + evidence + "; " + describe_rates(route));
  }

  // A hang produces no outcomes: overdue calls, with nothing served since they were sent, are evidence of an
  // outage too.
  void detect_outages() {
    std::map<Route*, int> overdue;
    for (const auto& [id, attempt] : attempts_) {
      const Host& host = hosts_[attempt.endpoint];
      const Time overdue_age = latency_of(destinations_[host.member.destination]).overdue_age();
      Route& route = *host.route;
      if (route.served_rate.at > attempt.sent) continue;
      if (now_ - attempt.sent >= overdue_age) {
        ++overdue[&route];
        monitor(route);
      } else {
        wake_at(attempt.sent + overdue_age);
      }
    }
    for (auto it = monitored_routes_.begin(); it != monitored_routes_.end();) {
      Route& route = *it->second;
      if (route.outage_start == 0 && route.unserved_streak == 0 && !overdue.contains(&route)) {
        it = monitored_routes_.erase(it);
        continue;
      }
      ++it;
      if (route.outage_start != 0) {
        // The time alone does not end a slow start in which the last call was not served.
        if (route.recovery_start != 0 && now_ - route.recovery_start >= settings_.slow_start &&
            route.unserved_streak == 0) {
          log(route, "warm");
          route.outage_start = 0;
        }
        continue;
      }
      if (route.unserved_streak > 0) schedule_probation(route);
      const Time span = now_ - route.streak_start;
      const bool rare_caller = is_rare_caller(route);
      const bool failing = route.unserved_streak >= (rare_caller ? kRareCallerOutageStreak : kOutageStreak) &&
                           route.failures_in_streak >= (rare_caller ? 1 : 2) && span >= kMinOutageSpan;
      const bool refusing = route.unserved_streak >= kRefusalStreak && span >= kMinRefusalSpan;
      if (failing || refusing) {
        open_circuit(route, failing ? "calls fail" : "all refused", false);
      } else if (const auto late = overdue.find(&route);
                 late != overdue.end() && late->second >= kMinOverdueCalls) {
        open_circuit(route, "calls overdue", true);
      }
    }
  }

  // ---- Rate guards ----

  Route& route_of(const Member& member) {
    const bool independent = member.kind < static_cast<int>(settings_.kinds.size()) &&
                             settings_.kinds[member.kind].independent_endpoints;
    const RouteKey key = {member.destination, independent ? member.endpoint : Endpoint{}};
    Route& route = routes_[key];
    route.key = key;
    route.saved_state.destination = key.first;
    route.saved_state.endpoint = key.second;
    return route;
  }

  void monitor(Route& route) { monitored_routes_[route.key] = &route; }

  // This relay's rate of served calls. For a relay that rarely calls it is mostly the even share of the
  // limit, which has the weight of one call as a prior.
  double estimated_rate(const Route& route) const {
    const double even_share = std::max(route.rate_limit, kMinBaselineRate) / settings_.relays;
    const double time_constant = seconds(kRateTimeConstant);
    const double observed =
        time_constant * (1 - std::exp(-std::max(1.0, seconds(now_ - first_step_)) / time_constant));
    return std::max(even_share,
                    (route.served_rate.per_second(now_) * time_constant + 1) / (observed + 1 / even_share));
  }

  // Whether kOutageStreak calls of this relay take longer than a short outage.
  bool is_rare_caller(const Route& route) const {
    return estimated_rate(route) * kMinInformedSeconds < kOutageStreak;
  }

  // A limit shared by all relays refused a call: sends at a lower rate, starting from this relay's own rate,
  // and lower again with each refusal in a row. The first token comes at a random time, so that relays
  // refused together do not return together. Also applies if the host asked for a wait: all relays were
  // asked, and refused calls may use up the limit.
  void reduce_pacing_rate(const Attempt& attempt, Route& route) {
    if (attempt.sent < route.rate_cut_at) return;
    const bool starts_streak = route.pacing_rate == 0 || route.unserved_streak == 0;
    if (route.pacing_rate == 0) route.pacing_rate = initial_pacing_rate(route);
    route.pacing_rate = std::max((starts_streak ? kPacingCut : kRepeatedPacingCut) * route.pacing_rate,
                                 1 / seconds(longest_give_up_));
    if (starts_streak) route.restored_pacing_rate = route.pacing_rate;
    route.rate_cut_at = now_;
    route.pacing_bucket = {0.5 - seconds(random_.between(0, kSecond)), now_};
  }

  double initial_pacing_rate(const Route& route) const {
    const double own_rate = estimated_rate(route);
    return settings_.price_refused > 0 ? kPricedInitialPacingFactor * own_rate
                                       : std::max(kInitialPacingFactor * own_rate, kMinInitialPacingRate);
  }

  // Without the larger gain a relay would take a minute to recover after a limit was low for seconds. If
  // nothing was refused for longer than the span of a limit, the rate may grow fast up to this relay's even
  // share of the listed limit: that limit was not what refused the calls.
  double pacing_gain(const Route& route) const {
    const bool quiet =
        now_ - route.rate_cut_at > kMinRefusalSpan && route.pacing_rate < route.rate_limit / settings_.relays;
    return quiet ? kQuietPacingGain : kPacingGain;
  }

  // Rounds down to a power of the square root of two. Without rounding, each served call would change the
  // rate and cause a record.
  static double round_to_step(double rate) {
    return rate > 0 ? std::exp2(std::floor(2 * std::log2(rate)) / 2) : 0;
  }

  // Whether the route is on probation, will be unless its next call is served, or has an outage inferred from
  // overdue calls alone.
  bool is_failing(const Route& route) const {
    return route.suspected || route.failures_in_streak > 0 ||
           (route.probation_enforced && on_probation(route));
  }

  void save_destination_states() {
    for (auto& [number, destination] : destinations_) {
      DestinationState next{number, destination.retry_tokens - destination.retry_tokens % kRetryCost};
      const auto entry = routes_.find({number, Endpoint{}});
      if (entry != routes_.end()) describe_health(entry->second, next);
      save_if_changed(next, destination.saved_state);
    }
    for (auto& [key, route] : routes_) {
      if (key.second == Endpoint{}) continue;
      DestinationState next{key.first};
      next.endpoint = key.second;
      describe_health(route, next);
      save_if_changed(next, route.saved_state);
    }
  }

  // An outage that is inferred from overdue calls alone is saved as a probation: other relays are not told of
  // it.
  void describe_health(const Route& route, DestinationState& state) const {
    state.pacing_rate = round_to_step(route.pacing_rate);
    if (route.outage_start != 0 && !route.suspected) {
      state.outage_start = route.outage_start;
      state.recovery_start = route.recovery_start;
      state.baseline_rate = route.baseline_rate;
    } else if (is_failing(route)) {
      state.failing_since = route.suspected ? route.outage_start : route.streak_start;
      state.baseline_rate = route.baseline_rate;
    }
  }

  void save_if_changed(const DestinationState& next, DestinationState& saved) {
    if (next == saved) return;
    saved = next;
    actions_->push_back(SaveDestinationState{next});
  }

  // Share of the relays that got a message for the route during the outage, and so know of it.
  double informed_share(const Route& route) const {
    if (route.outage_is_shared) return 1;
    const Time end = route.recovery_start == 0 ? now_ : route.recovery_start;
    const double lasted = std::max(kMinInformedSeconds, seconds(end - route.estimated_outage_start));
    return std::max(1e-3, 1 - std::exp(-lasted * route.baseline_rate));
  }

  // This relay's share of the load that a destination in slow start takes, after subtracting the first calls
  // of the relays that do not know of the outage.
  double slow_start_rate(const Route& route) const {
    const double progress =
        settings_.slow_start <= 0 ? 0 : seconds(now_ - route.recovery_start) / seconds(settings_.slow_start);
    const double capacity =
        settings_.start_capacity + (1 - settings_.start_capacity) * std::clamp(progress, 0.0, 1.0);
    const double informed = informed_share(route);
    return route.baseline_rate *
           std::max(0.0, kSlowStartMargin * settings_.overload_factor * capacity - (1 - informed)) / informed;
  }

  // Calls of all relays in an overload window at the start of a recovery, of a destination whose capacity is
  // that of all relays at this relay's rate.
  double recovery_budget(double own_rate) const {
    const double calls = own_rate * settings_.relays * seconds(settings_.overload_window);
    return settings_.overload_factor * settings_.start_capacity * calls;
  }

  // Upper bound on the rate of trial calls of all relays together. Once the destination is back, trial calls
  // count as load, so within one overload window they have to stay under the limit for informed relays at the
  // start of the recovery: with few relays holding a token each, in all cases; with many, by four standard
  // deviations.
  double max_trial_rate(const Route& route) const {
    const double window = seconds(settings_.overload_window);
    if (window <= 0) return std::numeric_limits<double>::infinity();
    const double calls_before = route.baseline_rate * settings_.relays * window;
    const double budget = recovery_budget(route.baseline_rate);
    const double uninformed = (1 - informed_share(route)) * calls_before;
    const double limit = informed_calls_limit(budget, kUninformedGrowth * uninformed);
    const double calls =
        std::max({largest_safe_mean(limit), limit - settings_.relays, minority_calls(budget, uninformed)});
    return calls / window;
  }

  // This relay's share of the fleet's trial calls. The relays that hold messages for the route share them.
  double trial_rate(const Route& route) const {
    if (route.trial_duty == TrialAssignment::Duty::kSelf)
      // All relays are notified of the result.
      return kMinTrialRate;
    const double wanted = std::max(kTrialShare * route.baseline_rate, kMinTrialRate / settings_.relays);
    return std::min(wanted, max_trial_rate(route) / settings_.relays) / informed_share(route);
  }

  // A limit refuses calls for up to kMinRefusalSpan.
  static Time probation_start(const Route& route) {
    return route.streak_start + (route.failures_in_streak > 0 ? kMinOutageSpan : kMinRefusalSpan);
  }

  // Whether a call was not served, none was served since, and the circuit is closed: the destination may be
  // out, or in slow start. A relay that rarely calls gets one retry before the probation starts: its other
  // calls would come too late to tell.
  bool on_probation(const Route& route) const {
    if (route.outage_start != 0 || route.unserved_streak == 0) return false;
    const bool retried_once =
        route.failures_in_streak > 0 && route.baseline_rate * kMinInformedSeconds < kOutageStreak;
    return retried_once || now_ >= probation_start(route);
  }

  // From its start on, calls on probation are paced like trial calls. The first comes at a random time, so
  // that relays that saw a call fail together do not return together.
  void schedule_probation(Route& route) {
    if (route.probation_enforced) return;
    if (now_ < probation_start(route)) return wake_at(probation_start(route));
    route.probation_enforced = true;
    route.outage_bucket.tokens = std::min(route.outage_bucket.tokens, seconds(random_.between(0, kSecond)));
    log(route, "on probation, " + std::to_string(route.unserved_streak) + " calls in a row not served; " +
                   describe_rates(route));
  }

  // Time since the youngest served call was sent.
  Time news_age(const Route& route) const {
    return route.last_served_sent == std::numeric_limits<Time>::min() ? kNever
                                                                      : now_ - route.last_served_sent;
  }

  // Calls at hosts that are being removed say nothing of those that replace them.
  UnansweredCalls unanswered_calls(const Route& route) {
    UnansweredCalls unanswered;
    for (const auto& [id, attempt] : attempts_) {
      const Host& host = hosts_[attempt.endpoint];
      if (host.route != &route || !host.ready) continue;
      ++unanswered.count;
      const Latency& latency = latency_of(destinations_[host.member.destination]);
      unanswered.any_late = unanswered.any_late || now_ - attempt.sent > latency.late_age();
    }
    return unanswered;
  }

  // This relay's part of the calls that the destination, by the relay's estimate of its capacity, would
  // tolerate in an overload window at the start of a recovery.
  double tolerated_share(const Route& route) const {
    return tolerated_calls(recovery_budget(estimated_rate(route))) / settings_.relays;
  }

  // Whether a message has to wait for news of the route. Trial calls and calls on probation are paced as it
  // is.
  bool awaits_news(Route& route) {
    if (route.outage_start != 0 || on_probation(route) || news_age(route) < kMaxNewsAge) return false;
    const UnansweredCalls unanswered = unanswered_calls(route);
    if (!waits_for_outcome(unanswered, news_age(route), tolerated_share(route))) return false;
    if (!std::exchange(route.wait_logged, true))
      log(route,
          "messages wait for news: calls out " + std::to_string(unanswered.count) + ", one of them late");
    return true;
  }

  // When a call may be sent on this route; kNever: not before some other event.
  Time admitted_at(Route& route) {
    if (route.retry_after_until > now_) return route.retry_after_until;
    if (awaits_news(route)) return kNever;
    if (route.outage_start != 0) {
      // Before the last trial call has its outcome, another one adds little information and would fill the
      // slots.
      if (route.recovery_start == 0 &&
          (route.trials_in_flight > 0 || route.trial_duty == TrialAssignment::Duty::kOther))
        return kNever;
      const double rate = route.recovery_start == 0 ? trial_rate(route) : slow_start_rate(route);
      route.outage_bucket.refill(now_, rate, 1);
      if (route.outage_bucket.tokens < 1)
        return std::min(route.outage_bucket.ready_at(now_, rate), now_ + kSecond);
    }
    if (on_probation(route)) {
      const double rate = trial_rate(route);
      route.outage_bucket.refill(now_, rate, 1);
      if (route.outage_bucket.tokens < 1)
        return std::min(route.outage_bucket.ready_at(now_, rate), now_ + kSecond);
    }
    if (route.pacing_rate > 0) {
      route.pacing_bucket.refill(now_, route.pacing_rate,
                                 std::max(1.0, kPacingBurstSeconds * route.pacing_rate));
      if (route.pacing_bucket.tokens < 1) {
        route.pacing_limited = true;
        return route.pacing_bucket.ready_at(now_, route.pacing_rate);
      }
    }
    return now_;
  }

  void take_tokens(Route& route) {
    if (route.outage_start != 0 || on_probation(route)) route.outage_bucket.tokens -= 1;
    if (route.pacing_rate > 0) route.pacing_bucket.tokens -= 1;
  }

  // If probes are allowed, one is sent ahead of each trial call: a probe costs no retry token, and no message
  // that a hang would end. A probe alone is no proof, as a hanging destination may still answer probes.
  bool may_send_trial(Route& route, Host& host) {
    if (route.outage_start == 0 || route.recovery_start != 0 || !settings_.may_probe) return true;
    if (route.probe_ok) {
      route.probe_ok = false;
      return true;
    }
    if (!route.probe_in_flight) {
      actions_->push_back(Probe{host.member.endpoint});
      route.probe_in_flight = host.probe_in_flight = true;
      take_tokens(route);
    }
    return false;
  }

  // ---- Final answers ----

  void erase_message(uint64_t id) {
    const auto it = messages_.find(id);
    if (it == messages_.end()) return;
    const Arrival& arrival = it->second.arrival;
    if (settings_.classes[arrival.message_class].in_order && arrival.key != 0) {
      std::erase(ordered_queues_[arrival.key], id);
      if (ordered_queues_[arrival.key].empty()) ordered_queues_.erase(arrival.key);
    }
    messages_.erase(it);
  }

  bool can_refuse(const Message& message) const {
    const ClassSettings& c = settings_.classes[message.arrival.message_class];
    if (c.effect == Effect::kSafe || !message.maybe_executed) return true;
    if (message.maybe_executed_before_restart)
      // The outcome is unknown: a client's retry might come after the key was forgotten.
      return false;
    return c.effect == Effect::kKeyed && c.key_scope == KeyScope::kAll;
  }

  // Whether no further attempt is allowed.
  bool attempts_exhausted(const Message& message) const {
    const ClassSettings& c = settings_.classes[message.arrival.message_class];
    if (message.attempts >= settings_.max_attempts) return true;
    if (!message.maybe_executed) return false;
    return c.effect == Effect::kUnsafe || (c.effect == Effect::kKeyed && now_ >= key_window_end(message));
  }

  // Whether a message waits for a retry token that, at the current rate of served calls, it cannot get within
  // its lifetime. It is refused at once, because its client may still succeed with another relay. Does not
  // apply if the message may have been executed: at a destination that fails its calls, clients would then
  // make the retries that the bucket prevents.
  bool lacks_retry_token(const Message& message) {
    if (!message.is_retry || message.maybe_executed) return false;
    const Destination& destination = destinations_[message.arrival.destination];
    if (destination.retry_tokens >= kRetryCost) return false;
    const double earned_tokens =
        destination.served_rate.per_second(now_) * seconds(decision_deadline(message) - now_);
    return destination.retry_tokens + earned_tokens < kRetryCost;
  }

  Time key_window_end(const Message& message) const {
    return message.maybe_executed_sent + settings_.classes[message.arrival.message_class].key_window -
           settings_.tick;
  }

  Time decision_deadline(const Message& message) const { return message.arrival.due - 2 * settings_.tick; }

  // Earliest time at which a client's retry can succeed: after a requested wait or with the next token of the
  // pacing rate, and the upper bound during an outage. A random part keeps clients that were refused together
  // from returning together.
  Time client_retry_after(const Message& message) {
    Time soonest = kMaxClientRetryAfter;
    for (const auto& [endpoint, host] : hosts_by_destination_[message.arrival.destination]) {
      const Route& route = *host->route;
      if (!host->ready || (route.outage_start != 0 && route.recovery_start == 0)) continue;
      const Time pacing_interval = route.pacing_rate > 0 ? micros(1 / route.pacing_rate) : 0;
      soonest = std::min(soonest, std::max(route.retry_after_until - now_, pacing_interval));
    }
    const Time after = std::clamp(soonest, kMinClientRetryAfter, kMaxClientRetryAfter) +
                       random_.between(0, kMaxRetryBackoff);
    return settings_.max_retry_after > 0 ? std::min(after, settings_.max_retry_after) : after;
  }

  void refuse_or_fail(uint64_t id, const Message& message) {
    actions_->push_back(can_refuse(message) ? Action{Refuse{id, client_retry_after(message)}}
                                            : Action{Fail{id}});
  }

  void end_expired_messages() {
    std::vector<uint64_t> expired;
    for (const auto& [id, message] : messages_) {
      if (message.in_flight) continue;
      if (attempts_exhausted(message) || lacks_retry_token(message) || now_ >= decision_deadline(message)) {
        expired.push_back(id);
      } else {
        wake_at(decision_deadline(message));
      }
    }
    for (const uint64_t id : expired) {
      refuse_or_fail(id, messages_.at(id));
      erase_message(id);
    }
  }

  // Refuses the messages with the least worth when the relay is nearly full.
  void shed_load() {
    const auto max_messages = static_cast<size_t>(std::max(1.0, kShedThreshold * settings_.max_open));
    if (messages_.size() <= max_messages) return;
    std::vector<std::pair<double, uint64_t>> by_worth;
    for (const auto& [id, message] : messages_) {
      if (!message.in_flight && can_refuse(message)) by_worth.push_back({worth_at(message, now_), id});
    }
    std::sort(by_worth.begin(), by_worth.end());
    for (const auto& [worth, id] : by_worth) {
      if (messages_.size() <= max_messages) break;
      actions_->push_back(Refuse{id, client_retry_after(messages_.at(id))});
      erase_message(id);
    }
  }

  // ---- Ordering ----

  double worth_at(const Message& message, Time at) const {
    const ClassSettings& c = settings_.classes[message.arrival.message_class];
    if (at <= message.target) return message.worth;
    if (at >= message.arrival.due) return 0;
    const double late = seconds(at - message.target);
    if (settings_.exponential_late_worth)
      return message.worth * std::max(c.late_worth, std::exp2(-late / seconds(c.target)));
    return message.worth *
           (1 - (1 - c.late_worth) * late / std::max(1e-6, seconds(message.arrival.due - message.target)));
  }

  bool is_next_in_order(const Message& message) {
    if (!settings_.classes[message.arrival.message_class].in_order || message.arrival.key == 0) return true;
    if (ordered_queues_[message.arrival.key].front() != message.arrival.id) return false;
    const auto pause = key_pauses_.find(message.arrival.key);
    if (pause == key_pauses_.end() || pause->second.second == message.arrival.id) return true;
    wake_at(pause->second.first);
    return false;
  }

  struct Candidate {
    // Worth per second of a slot, negated so that the highest is sorted first.
    double negated_worth_rate;
    Time target;
    uint64_t id;
    auto operator<=>(const Candidate&) const = default;
  };

  std::vector<Candidate> candidates() {
    std::vector<Candidate> list;
    for (auto& [id, message] : messages_) {
      if (message.in_flight) continue;
      if (message.not_before > now_) {
        wake_at(message.not_before);
        continue;
      }
      if (!hosts_by_destination_.contains(message.arrival.destination) || !is_next_in_order(message))
        continue;
      const double latency = latency_of(destinations_[message.arrival.destination]).mean;
      list.push_back(
          {-worth_at(message, now_ + micros(latency)) / std::max(0.01, latency), message.target, id});
    }
    std::sort(list.begin(), list.end());
    return list;
  }

  // ---- Dispatch ----

  // Calls that a destination may have in flight while messages to others wait. Reduced while its calls take
  // longer than usual.
  int max_calls_of(const Destination& destination) const {
    const double speed_ratio =
        destination.typical_latency.samples == 0
            ? 1
            : std::min(1.0, destination.typical_latency.mean / std::max(1e-6, destination.latency.mean));
    const double share = std::max(kMinSlotShare, kSlotShare * speed_ratio);
    return std::max(1, static_cast<int>(std::ceil(settings_.slots * share)));
  }

  void dispatch() {
    std::vector<Candidate> waiting = candidates();
    // First within each destination's share; then slots that no other destination needs go to any message.
    for (const bool within_share : {true, false}) {
      std::vector<Candidate> deferred;
      for (const Candidate& c : waiting) {
        Message& message = messages_.at(c.id);
        // Already sent as part of another message's call.
        if (message.in_flight) continue;
        Destination& destination = destinations_[message.arrival.destination];
        if (static_cast<int>(calls_in_flight_.size()) >= settings_.slots) return cancel_overdue_calls();
        if (within_share && destination.calls_in_flight >= max_calls_of(destination)) {
          deferred.push_back(c);
        } else {
          try_send(message, destination, waiting);
        }
      }
      waiting = std::move(deferred);
    }
  }

  // Messages wait and no slot is free: cancels overdue calls if such calls turned out to be lost rather than
  // slow. Otherwise lost answers would fill the slots. The cost: calls are cancelled in vain at a destination
  // that has just become slow.
  void cancel_overdue_calls() {
    if (!settings_.may_cancel || late_success_share_ > kMinLateSuccessShare) return;
    for (auto& [id, attempt] : attempts_) {
      const auto message = messages_.find(id.first);
      if (attempt.cancelled || message == messages_.end()) continue;
      const Host& host = hosts_[attempt.endpoint];
      const Time overdue_age = latency_of(destinations_[host.member.destination]).overdue_age();
      if (seconds(now_ - attempt.sent) < timeout_factor(message->second) * seconds(overdue_age)) continue;
      attempt.cancelled = true;
      actions_->push_back(Cancel{id.first, id.second});
    }
  }

  void try_send(Message& message, Destination& destination, const std::vector<Candidate>& waiting) {
    if (message.is_retry && destination.retry_tokens < kRetryCost) return;
    if (shutdown_at_ - now_ < latency_of(destination).overdue_age()) return;
    Host* host = choose_host(message);
    if (host == nullptr || !may_send_trial(*host->route, *host)) return;
    start_call(destination, *host);
    send(message, destination, *host);
    const Route& route = *host->route;
    // One message is enough for a trial call.
    if ((route.outage_start != 0 && route.recovery_start == 0) || on_probation(route)) return;
    // Messages sent to one endpoint in the same step may share a call. It takes one slot and counts once
    // against the limit.
    int remaining = batch_of(host->member) - 1;
    for (const Candidate& c : waiting) {
      if (remaining <= 0) return;
      Message& other = messages_.at(c.id);
      if (other.in_flight || other.arrival.destination != message.arrival.destination) continue;
      if ((other.is_retry && destination.retry_tokens < kRetryCost) || !in_key_scope(other, *host)) continue;
      send(other, destination, *host);
      --remaining;
    }
  }

  int batch_of(const Member& member) const {
    return member.kind < static_cast<int>(settings_.kinds.size()) ? settings_.kinds[member.kind].max_batch
                                                                  : 1;
  }

  // A keyed message that may have been executed is only sent to endpoints that know its key.
  bool in_key_scope(const Message& message, const Host& host) const {
    const ClassSettings& c = settings_.classes[message.arrival.message_class];
    if (!message.maybe_executed || c.effect != Effect::kKeyed) return true;
    if (c.key_scope == KeyScope::kDestination) return host.member.destination == message.arrival.destination;
    return c.key_scope == KeyScope::kAll || host.member.zone == message.maybe_executed_zone;
  }

  Host* choose_host(const Message& message) {
    Host* best = nullptr;
    double best_cost = 0;
    for (const auto& [endpoint, host] : hosts_by_destination_[message.arrival.destination]) {
      if (!host->ready || !in_key_scope(message, *host)) continue;
      const Time at = admitted_at(*host->route);
      if (at > now_) {
        wake_at(at);
        continue;
      }
      const double cost = cost_of(*host);
      if (best == nullptr || cost < best_cost) {
        best = host;
        best_cost = cost;
      }
    }
    return best;
  }

  bool needs_connection(const Host& host) {
    return host.calls_in_flight >= host.connections * settings_.streams_per_conn ||
           now_ - host.last_used > max_idle_age();
  }

  double cost_of(const Host& host) {
    const Latency& latency =
        host.latency.samples > 0 ? host.latency : latency_of(destinations_[host.member.destination]);
    double cost =
        latency.mean * (1 + 0.5 * host.calls_in_flight) / std::max(0.1, host.route->remaining_share);
    // Nothing is known of a host that was never called. Without the random preference, all rare callers of a
    // fleet would choose the first one.
    if (host.latency.samples == 0 && is_rare_caller(*host.route)) cost += kPreferenceWeight * host.preference;
    if (host.member.zone != settings_.zone) cost += kSecondsPerPrice * settings_.price_cross_zone;
    if (needs_connection(host)) cost += kSecondsPerPrice * settings_.price_handshake;
    if (host.avoid_until > now_) cost += seconds(kMaxAvoidTime);
    return cost;
  }

  double timeout_factor(const Message& message) const {
    return settings_.classes[message.arrival.message_class].effect == Effect::kUnsafe ? kUnsafeTimeoutFactor
                                                                                      : 1;
  }

  Time timeout_of(const Message& message, const Destination& destination) {
    // No call keeps its slot for the whole lifetime of its message: lost answers would fill the slots one by
    // one.
    const double max_seconds = std::max(1.0, kTimeoutFactor * seconds(latency_of(destination).overdue_age()));
    return std::min(message.arrival.due - now_, micros(timeout_factor(message) * max_seconds));
  }

  void start_call(Destination& destination, Host& host) {
    call_idle_time_ = host.calls_in_flight == 0 && !needs_connection(host) ? now_ - host.last_used : 0;
    if (needs_connection(host)) {
      if (host.calls_in_flight == 0 && host.connections > 0) close_idle_connections(host);
      host.connections = host.calls_in_flight / std::max(1, settings_.streams_per_conn) + 1;
    }
    host.last_used = now_;
    calls_in_flight_[++last_call_id_] = 0;
    ++host.calls_in_flight;
    ++destination.calls_in_flight;
    take_tokens(*host.route);
  }

  void send(Message& message, Destination& destination, const Host& host) {
    Route& route = *host.route;
    const bool is_trial = route.outage_start != 0 && route.recovery_start == 0;
    route.trials_in_flight += is_trial;
    if (message.is_retry) destination.retry_tokens -= kRetryCost;
    message.is_retry = false;
    message.in_flight = true;
    ++calls_in_flight_[last_call_id_];
    attempts_[{message.arrival.id, message.attempts++}] = {host.member.endpoint,
                                                           now_,
                                                           last_call_id_,
                                                           false,
                                                           is_trial,
                                                           route.probation_enforced && on_probation(route),
                                                           call_idle_time_};
    Send send_action{message.arrival.id, host.member.endpoint, timeout_of(message, destination)};
    const bool keyed_retry =
        message.maybe_executed && settings_.classes[message.arrival.message_class].effect == Effect::kKeyed;
    if (keyed_retry) send_action.start_by = key_window_end(message) - kKeyWindowMargin;
    actions_->push_back(send_action);
  }

  // ---- Discovery watch and timer ----

  void maintain_watch() {
    if (!settings_.list_requires_watch || watch_open_) return;
    if (now_ < next_watch_) return wake_at(next_watch_);
    actions_->push_back(WatchList{});
    watch_open_ = true;
  }

  void wake_at(Time at) {
    if (at > now_) next_wake_ = std::min(next_wake_, at);
  }

  void set_timer() {
    if (next_wake_ == kNever || (timer_at_ > now_ && timer_at_ <= next_wake_)) return;
    timer_at_ = next_wake_;
    actions_->push_back(SetTimer{static_cast<uint64_t>(next_wake_), next_wake_});
  }

  Settings settings_;
  Random random_;
  uint64_t preference_seed_;  // seed of this relay's random preferences for hosts
  Time now_ = std::numeric_limits<Time>::min();
  Time first_step_ = kNever;  // time of the first step
  std::vector<Action>* actions_ = nullptr;
  Time next_wake_ = kNever;
  Time timer_at_ = kNever;
  Time shutdown_at_ = kNever;       // when this process stops
  Time longest_give_up_ = kSecond;  // longest lifetime of all classes, at least one second
  bool watch_open_ = false;
  Time next_watch_ = std::numeric_limits<Time>::min();
  Time watch_backoff_ = kSecond / 4;
  uint64_t last_call_id_ = 0;
  double idle_loss_share_ = 0;   // share of calls on idle connections that broke or timed out
  double fresh_loss_share_ = 0;  // the same for calls on new connections
  Time max_idle_age_ = kSecond * 3600;
  Time max_idle_age_set_at_ = 0;
  double late_success_share_ = 2 * kMinLateSuccessShare;  // share of overdue calls that are served in the end
  Time call_idle_time_ = 0;  // idle time of the connection that the last call uses
  std::map<int, KindState> kinds_;
  std::map<uint64_t, Message> messages_;
  std::map<std::pair<uint64_t, int>, Attempt> attempts_;
  // Calls in flight, with the number of their messages that have no outcome yet.
  std::map<uint64_t, int> calls_in_flight_;
  std::map<Endpoint, Host> hosts_;
  std::set<Endpoint> removed_hosts_;  // removed hosts that may have calls in flight
  std::map<int, std::map<Endpoint, Host*>> hosts_by_destination_;
  std::map<int, Destination> destinations_;
  std::map<RouteKey, Route> routes_;
  // Routes in an outage, or with failed or overdue calls: checked in each step.
  std::map<RouteKey, Route*> monitored_routes_;
  std::map<int, TokenBucket> tenant_buckets_;
  std::map<uint64_t, std::vector<uint64_t>> ordered_queues_;
  std::map<uint64_t, std::pair<Time, uint64_t>> key_pauses_;
};

Policy::Policy(Settings settings, uint64_t seed) : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

void Policy::step(Time now, std::span<const Event> events, std::vector<Action>& actions) {
  impl_->step(now, events, actions);
}

}  // namespace firspool

// Every decision of firspool. Types, events, actions and the contract: include/firspool/policy.h.
#include "firspool/policy.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>

#include "policy_parts.h"

namespace firspool {

class Policy::Impl {
 public:
  Impl(Settings settings, uint64_t seed) : set_(std::move(settings)), random_(seed), taste_(seed) {
    if (set_.classes.empty()) throw std::invalid_argument("settings hold no class");
    for (const ClassSettings& c : set_.classes) longest_ = std::max(longest_, c.give_up);
  }

  void step(Time now, std::span<const Event> events, std::vector<Action>& actions) {
    if (now < now_) throw std::invalid_argument("time goes back");
    if (started_ == kNever) started_ = keep_at_ = now;
    now_ = now;
    out_ = &actions;
    for (const Event& event : events) {
      std::visit([this](const auto& e) { fold(e); }, event);
    }
    std::erase_if(key_rests_, [now](const auto& rest) { return rest.second.first <= now; });
    forget_gone();
    wake_ = kNever;
    keep_watching();
    assess();
    settle();
    dispatch();
    shed();
    remember();
    arm();
  }

 private:
  // ---- Health ----

  void fold(const MembersChanged& e) {
    if (e.form == MembersChanged::Form::kFailed) {
      watching_ = false;
      watch_at_ = now_ + watch_pause_;
      watch_pause_ = std::min(watch_pause_ * 2, std::max(kSecond, set_.list_request_interval / 2));
      return;
    }
    if (watching_) watch_pause_ = kSecond / 4;
    if (e.form == MembersChanged::Form::kFull) {
      for (auto& [id, host] : hosts_) {
        host.ready = false;
        host.gone = true;
        leaving_.insert(id);
      }
    }
    if (!e.members) return;
    for (const Member& m : *e.members) {
      const auto [known, fresh] = hosts_.try_emplace(m.endpoint);
      Host& host = known->second;
      if (fresh) {
        host.taste =
            seconds(Random(taste_ + m.endpoint.address * 65536ull + m.endpoint.port).between(0, kSecond));
      }
      host.member = m;
      host.lane = &lane_of(m);
      host.ready = m.state == HostState::kReady;
      host.gone = m.state == HostState::kRemoved;
      if (host.gone) leaving_.insert(m.endpoint);
      if (m.state == HostState::kDraining) absolve(*host.lane, m.endpoint);
      by_destination_[m.destination][m.endpoint] = &host;
      Destination& d = destinations_[m.destination];
      d.kind = m.kind;
      d.remembered.destination = m.destination;
      if (set_.weights != Weights::kNone && m.weight > 0 && host.ready) host.lane->limit = m.weight;
    }
    for (const Endpoint& endpoint : leaving_) {  // also what a whole list no longer names
      if (const Host& host = hosts_.at(endpoint); host.gone) absolve(*host.lane, endpoint);
    }
  }

  // What is gone and has nothing out is of no use any more. Guards against growth: ids are ever new.
  void forget_gone() {
    std::erase_if(leaving_, [this](const Endpoint& endpoint) {
      Host& host = hosts_.at(endpoint);
      if (!host.gone) return true;
      if (host.calls > 0 || host.probe_out) return false;
      by_destination_[host.member.destination].erase(endpoint);
      if (const LaneKey key = host.lane->key; key.second != Endpoint{}) {
        watched_.erase(key);
        lanes_.erase(key);
      }
      hosts_.erase(endpoint);
      return true;
    });
  }

  void fold(const Arrival& e) {
    if (e.message_class < 0 || e.message_class >= static_cast<int>(set_.classes.size())) {
      throw std::invalid_argument("unknown class of message " + std::to_string(e.id));
    }
    if (messages_.contains(e.id))
      throw std::invalid_argument("message " + std::to_string(e.id) + " came twice");
    const ClassSettings& c = set_.classes[e.message_class];
    Message& m = messages_[e.id];
    m.in = e;
    m.target = e.due - c.give_up + c.target;
    m.worth = c.worth * tenant_share(e.tenant, e.due - c.give_up);
    m.attempts = e.attempts;
    m.repeat = e.attempts > 0;
    m.ran = m.resumed_ran = e.maybe_executed;
    m.ran_sent = e.maybe_executed_sent;
    m.ran_zone = e.maybe_executed_zone;
    if (c.in_order && e.key != 0) turns_[e.key].push_back(e.id);
  }

  // What a tenant sends beyond its quota is worth little; this relay's part of it is taken as an even one. It
  // counts when it was handed in: what a restart gives back in one moment did not come in one.
  double tenant_share(int tenant, Time handed) {
    if (tenant < 0 || tenant >= static_cast<int>(set_.tenants.size())) return 1;
    const double quota = set_.tenants[tenant].quota_per_s / set_.relays;
    if (quota <= 0) return 1;
    auto [it, fresh] = tenant_pacers_.try_emplace(tenant);
    Pacer& pacer = it->second;
    if (fresh) pacer = {2 * quota, std::min(handed, now_)};
    pacer.refill(std::clamp(handed, pacer.at, now_), quota, std::max(1.0, 2 * quota));
    if (pacer.tokens < 1) return set_.over_quota_worth;
    pacer.tokens -= 1;
    return 1;
  }

  // Nothing is owed for it any more, but while its call is out it keeps its turn.
  void fold(const Withdrawn& e) {
    const auto it = messages_.find(e.id);
    if (it == messages_.end()) return;
    it->second.withdrawn = true;
    if (!it->second.out) end(e.id);
  }
  void fold(const TimerFired& e) {
    if (static_cast<Time>(e.token) == armed_) armed_ = kNever;
  }
  void fold(const PeerMessage&) {}
  void fold(const DestinationState& e) {
    Destination& d = destinations_[e.destination];
    d.tokens = std::clamp(e.retry_tokens, 0, kBucketCap);
    d.remembered = e;
    if (e.outage_start == 0 && e.pacing_rate <= 0) return;
    const LaneKey key = {e.destination, Endpoint{}};
    Lane& l = lanes_[key];
    l.key = key;
    // Without it all that was held for the pace would go in the first moment of a restart. No less than the
    // even part of the told limit: the refusals may be over, and a rare caller would hear of that only much
    // later.
    if (e.pacing_rate > 0) {
      l.pace = l.paced = l.unhindered = std::max(e.pacing_rate, l.limit / set_.relays);
      l.pacer = {0.5 - seconds(random_.between(0, kSecond)), now_};
    }
    if (e.outage_start == 0) return;
    l.out_since = e.outage_start;
    l.back_since = e.recovery_start;
    l.base = e.baseline_rate;
    l.cold = {0, now_};
    watch(l);
  }
  void fold(const ShutdownScheduled& e) { closing_ = e.at; }
  void fold(const TrialAssignment& e) {
    const auto it = lanes_.find({e.destination, Endpoint{}});
    if (it == lanes_.end()) return;
    it->second.scouts_by = e.duty;
    it->second.shared = it->second.shared || e.duty != TrialAssignment::Duty::kShared;
  }
  // Another relay's scout was served after this outage began: it is over here too. And an outage is taken
  // over by a relay that was served nothing since: it would have to find out at the destination's cost.
  void fold(const PeerHealthReport& e) {
    const auto it = lanes_.find({e.destination, Endpoint{}});
    if (it == lanes_.end() || e.outage_start == 0) return;
    Lane& l = it->second;
    if (l.out_since == 0 && l.served.at < e.outage_start &&
        (e.recovery_start == 0 || now_ - e.recovery_start < set_.slow_start)) {
      watch(l);
      go_out(l, "as another relay saw", false);
      l.out_since = e.outage_start;
      l.base = std::max(l.base, e.baseline_rate);
    }
    if (l.out_since == 0 || l.back_since != 0 || e.recovery_start <= l.out_since) return;
    l.back_since = e.recovery_start;
    l.suspected = false;
    log(l, "back, cold, as another relay saw");
  }

  void fold(const ProbeEnded& e) {
    const auto it = hosts_.find(e.endpoint);
    if (it == hosts_.end()) return;
    Lane& l = *it->second.lane;
    l.probe_out = it->second.probe_out = false;
    l.probe_ok = e.ok;
  }

  void fold(const AttemptEnded& e) {
    const auto it = attempts_.find({e.id, e.attempt});
    if (it == attempts_.end()) return;
    const Attempt attempt = it->second;
    attempts_.erase(it);
    Host& host = hosts_[attempt.endpoint];
    Lane& l = *host.lane;
    Destination& d = destinations_[host.member.destination];
    const auto call = calls_.find(attempt.call);
    if (--call->second == 0) {
      calls_.erase(call);
      --host.calls;
      --d.calls;
    }
    host.last_used = now_;
    l.scouts -= attempt.scout;
    learn(e, attempt, host, l, d);
    if (host.calls == 0 && scarce(kinds_[d.kind])) close_idle(host);
    const auto found = messages_.find(e.id);
    if (found == messages_.end()) return;
    Message& m = found->second;
    m.out = false;
    const bool hanging =
        e.outcome == Outcome::kTimeout || e.outcome == Outcome::kReset || e.outcome == Outcome::kCancelled;
    if (set_.classes[m.in.message_class].in_order && hanging) {
      key_rests_[m.in.key] = {now_ + set_.in_order_pause, e.id};
    }
    if (e.final || m.withdrawn) return end(e.id);
    if (e.outcome == Outcome::kNotStarted) return;
    m.repeat = true;
    m.not_before = now_ + random_.between(kPauseLeast, kPauseMost);
    const bool unseen = e.outcome == Outcome::kRefused || e.outcome == Outcome::kConnectFailed;
    if (unseen || m.ran) return;
    m.ran = true;
    m.ran_sent = attempt.sent;
    m.ran_zone = host.member.zone;
  }

  void learn(const AttemptEnded& e, const Attempt& attempt, Host& host, Lane& l, Destination& d) {
    heed_report(e, l);
    if (l.streak == 0) l.unhindered = l.pace;
    learn_idle(e, attempt, kinds_[d.kind], l);
    // Slow or lost: whether calls past the suspicious age are served after all.
    if (e.outcome == Outcome::kOk || e.outcome == Outcome::kTimeout) {
      const bool overdue = e.duration > latency_of(d).suspicious();
      if (overdue) hope_ += 2 * kGain * ((e.outcome == Outcome::kOk ? 1 : 0) - hope_);
    }
    switch (e.outcome) {
      case Outcome::kOk:
        d.tokens = std::min(kBucketCap, d.tokens + 1);
        d.served.add(now_);
        host.latency.add(seconds(e.duration));
        kinds_[d.kind].latency.add(seconds(e.duration));
        learn_latency(d, e.duration);
        if (d.usual.seen == 0 || e.duration < micros(4 * d.usual.mean)) d.usual.add(seconds(e.duration));
        // It took no connection and serves all the same: its table was full. One that is down serves nothing.
        if (host.unconnected_at != 0 && attempt.sent < host.unconnected_at + kFullSpan) {
          kinds_[d.kind].unconnected += kGain * (1 - kinds_[d.kind].unconnected);
        }
        host.unconnected_at = 0;
        host.fails = 0;
        host.avoid_until = 0;
        return served(attempt, l);
      case Outcome::kRefused:
        heed_wait(e, l);
        if (e.connection_limit_reached) return crowded(d.kind);
        if (!host.ready) return;  // it may turn away whatever comes
        narrow(attempt, l);
        return unserved(attempt, l, false, e.retry_after > 0);
      case Outcome::kError:
      case Outcome::kReset:
      case Outcome::kTimeout:
      case Outcome::kConnectFailed:
        // Lost answers are no sign of slowness: a time-out teaches only where overdue calls are served after
        // all.
        if (e.outcome == Outcome::kTimeout && hope_ > kHopeLeast && l.last_served_sent < attempt.sent) {
          learn_latency(d, e.duration);
        }
        if (e.outcome == Outcome::kConnectFailed && host.unconnected_at == 0) host.unconnected_at = now_;
        if (e.outcome != Outcome::kError) avoid(host);
        return unserved(attempt, l, true, false);
      case Outcome::kMalformed:  // spoilt answers come from any host alike: no sign of its health
        return heed_wait(e, l);
      case Outcome::kCancelled:
      case Outcome::kNotStarted:
        return;
    }
  }

  // At the end of a wait all relays that were told come back: the random pause keeps them out of step.
  void heed_wait(const AttemptEnded& e, Lane& l) {
    if (e.retry_after <= 0) return;
    l.wait_until = std::max(l.wait_until, now_ + e.retry_after + set_.tick + random_.between(0, kPauseMost));
  }

  std::optional<double> reported(const std::vector<float>& report, int index) const {
    if (index < 0 || static_cast<size_t>(index) >= report.size()) return {};
    const float value = report[static_cast<size_t>(index)];
    return std::isfinite(value) && value >= 0 ? std::optional<double>(value) : std::nullopt;
  }

  // A limit nearly used up makes its route dearer, so that routes with limits of their own are used evenly.
  void heed_report(const AttemptEnded& e, Lane& l) {
    const double limit = reported(e.report, set_.report_limit_index).value_or(0);
    if (limit > 0) l.limit = limit;
    if (e.outcome != Outcome::kOk && e.outcome != Outcome::kRefused) return;
    const double served =
        limit > 0 ? std::min(1.0, reported(e.report, set_.report_remaining_index).value_or(1)) : 1;
    l.room += 2 * kGain * ((e.outcome == Outcome::kOk ? served : 0) - l.room);
  }

  // ---- Priors and connections ----

  void learn_latency(Destination& d, Time took) {
    if (d.latency.seen == 0) {
      d.latency = kinds_[d.kind].latency;
      d.latency.seen = std::min(d.latency.seen, 1);
    }
    d.latency.add(seconds(took));
  }
  const Latency& latency_of(const Destination& d) {
    return d.latency.seen > 0 ? d.latency : kinds_[d.kind].latency;
  }

  // The age up to which an idle connection is used.
  Time keep() const {
    const double grown = seconds(keep_) * std::exp2(seconds(now_ - keep_at_) / seconds(kKeepRegain));
    return std::min(set_.conn_idle_timeout, micros(grown));
  }

  void close_idle(Host& host) {
    out_->push_back(CloseIdleConnections{host.member.endpoint});
    host.conns = 0;
  }

  // Idle connections can be dropped unseen: the age at which they are still used shrinks when calls on them
  // are lost more often than on fresh ones. Where it errs it costs handshakes. A call lost on one tells of
  // the connection only once the destination has served a fresh one sent since, as fast as it does: in a hang
  // or a slow spell all calls are lost, most of them on idle connections because most calls go on these.
  void learn_idle(const AttemptEnded& e, const Attempt& attempt, Kind& k, Lane& l) {
    if (e.outcome == Outcome::kOk) k.unconnected *= 1 - kFullTable / 2;
    const bool broken = e.outcome == Outcome::kReset || e.outcome == Outcome::kTimeout;
    if (attempt.idle > 0 && broken && l.out_since == 0) {
      l.doubted.push_back({attempt.sent, attempt.idle});
      if (l.doubted.size() > kDoubts) l.doubted.erase(l.doubted.begin());
    } else if (attempt.idle > 0 && e.outcome == Outcome::kOk) {
      stale_ -= kGain * stale_;
    } else if (attempt.idle == 0 && (broken || e.outcome == Outcome::kOk)) {
      lost_ += kGain * ((broken ? 1 : 0) - lost_);
      if (!broken && e.duration <= kSlowLeast) blame_idle(attempt, l);
      std::erase_if(l.doubted, [&](const Doubt& doubt) { return doubt.sent <= attempt.sent; });
    } else if (e.outcome == Outcome::kConnectFailed) {
      l.doubted.clear();  // it was the destination
    }
  }

  void blame_idle(const Attempt& served, const Lane& l) {
    for (const Doubt& doubt : l.doubted) {
      if (doubt.sent > served.sent) continue;
      stale_ += kGain * (1 - stale_);
      if (stale_ < lost_ + kStaleAbove) continue;
      keep_ = std::min(keep(), std::max(doubt.idle / kKeepCut, set_.tick));
      keep_at_ = now_;
    }
  }

  // A host of this kind holds all the connections that it takes: no limit on calls and no sign of an outage.
  // Guards against large fleets, where each relay seldom calls a host and one idle connection of each fills
  // any table: all that are idle at the kind's hosts go, and for a while none is kept there.
  void crowded(int kind) {
    const bool known = scarce(kinds_[kind]);
    kinds_[kind].scarce_until = now_ + kKeepRegain;
    if (known) return;
    for (auto& [endpoint, host] : hosts_) {
      if (host.conns > 0 && host.calls == 0 && destinations_[host.member.destination].kind == kind) {
        close_idle(host);
      }
    }
  }
  bool scarce(const Kind& k) const { return k.unconnected > kFullTable || now_ < k.scarce_until; }

  void avoid(Host& host) {
    host.avoid_until = now_ + std::min(kAvoidMost, kAvoidLeast << std::min(host.fails, 3));
    ++host.fails;
    host.conns = 0;
  }

  void served(const Attempt& attempt, Lane& l) {
    l.served.add(now_);
    l.last_served_sent = std::max(l.last_served_sent, attempt.sent);
    l.streak = l.hard = 0;
    l.seen.clear();
    l.probe_ok = false;
    l.pace = std::max(l.pace, l.paced);
    if (l.bound) l.pace += regain(l) * l.pace;
    if (l.limit > 0) l.pace = std::min(l.pace, l.limit);
    l.bound = false;
    if (l.out_since == 0) return;
    if (l.suspected && attempt.sent <= l.out_since) {  // the overdue calls were only slow
      log(l, "only slow");
      l.out_since = 0;
    } else if (l.back_since == 0 && attempt.sent > l.out_since) {
      l.back_since = now_;
      l.suspected = false;
      log(l, "back, cold");
    }
  }

  void unserved(const Attempt& attempt, Lane& l, bool hard, bool told) {
    watch(l);
    // A call sent later was served: this one was lost, or its endpoint is bad, but the destination is up. And
    // of a host that is leaving nothing else was to be expected.
    if (attempt.sent < l.last_served_sent || !hosts_[attempt.endpoint].ready) return;
    if (l.streak++ == 0) l.streak_since = attempt.sent;
    l.seen.insert(attempt.endpoint);
    if (hard) {
      ++l.hard;
      l.suspected = false;
    }
    // Failures after the return start the ramp again; answers to calls from before it tell nothing new.
    if (l.back_since != 0 && hard && l.streak >= kAgainStreak && attempt.sent > l.back_since) {
      l.back_since = 0;
      log(l, "fails again");
    }
    // A wait longer than a limit's span tells when a shut destination opens: its return begins there.
    if (told && l.out_since == 0 && l.wait_until - l.streak_since > kShutSpan) {
      go_out(l, "told to wait long", false);
      l.back_since = l.cold.at = l.wait_until;
    }
  }

  // A host that was on its way out turned calls away and failed them before the list said so. What was seen
  // there alone tells nothing of its destination: no outage, and no limit.
  void absolve(Lane& l, const Endpoint& leaving) {
    if (l.seen.erase(leaving) == 0 || !l.seen.empty() || l.back_since != 0) return;
    if (l.out_since != 0) log(l, "its host was leaving");
    l.streak = l.hard = 0;
    l.out_since = 0;
    l.suspected = false;
    l.pace = l.paced = l.unhindered;
  }

  void log(const Lane& l, const std::string& what) {
    out_->push_back(Log{"destination " + std::to_string(l.key.first) + ": " + what});
  }

  void go_out(Lane& l, const char* evidence, bool suspected) {
    l.base = pooled_rate(l);
    l.out_since = now_;
    l.back_since = 0;
    l.shared = false;
    l.suspected = suspected;
    l.doubted.clear();
    l.cold = {seconds(random_.between(0, kSecond)), now_};
    l.probe_ok = false;
    log(l, std::string("outage, ") + evidence +
               "; served before: " + std::to_string(std::lround(60 * l.base)) + " a minute");
  }

  // A hang gives no outcomes: calls past the suspicious age, with nothing served since, are evidence too.
  void assess() {
    std::map<Lane*, int> overdue;
    for (const auto& [id, attempt] : attempts_) {
      const Host& host = hosts_[attempt.endpoint];
      const Time suspicious = latency_of(destinations_[host.member.destination]).suspicious();
      Lane& l = *host.lane;
      if (l.served.at > attempt.sent) continue;
      if (now_ - attempt.sent >= suspicious) {
        ++overdue[&l];
        watch(l);
      } else {
        wake(attempt.sent + suspicious);
      }
    }
    for (auto it = watched_.begin(); it != watched_.end();) {
      Lane& l = *it->second;
      if (l.out_since == 0 && l.streak == 0 && !overdue.contains(&l)) {
        it = watched_.erase(it);
        continue;
      }
      ++it;
      if (l.out_since != 0) {
        if (l.back_since != 0 && now_ - l.back_since >= set_.slow_start) {
          log(l, "warm");
          l.out_since = 0;
        }
        continue;
      }
      const Time span = now_ - l.streak_since;
      const bool seldom = rare(l);
      const bool dead =
          l.streak >= (seldom ? kRareStreak : kDeadStreak) && l.hard >= (seldom ? 1 : 2) && span >= kDeadSpan;
      const bool shut = l.streak >= kShutStreak && span >= kShutSpan;
      if (dead || shut) {
        go_out(l, dead ? "calls fail" : "all refused", false);
      } else if (const auto late = overdue.find(&l); late != overdue.end() && late->second >= kOverdue) {
        go_out(l, "calls overdue", true);
      }
    }
  }

  // ---- Guards ----

  Lane& lane_of(const Member& m) {
    const bool apart =
        m.kind < static_cast<int>(set_.kinds.size()) && set_.kinds[m.kind].independent_endpoints;
    const LaneKey key = {m.destination, apart ? m.endpoint : Endpoint{}};
    Lane& l = lanes_[key];
    l.key = key;
    return l;
  }

  void watch(Lane& l) { watched_[l.key] = &l; }

  // Own served rate; for a rare caller mostly the even part of the limit, which is worth one call as a prior.
  double pooled_rate(const Lane& l) const {
    const double even = std::max(l.limit, kBaseLeast) / set_.relays;
    const double memory = seconds(kRateMemory);
    const double seen = memory * (1 - std::exp(-std::max(1.0, seconds(now_ - started_)) / memory));
    return std::max(even, (l.served.per_second(now_) * memory + 1) / (seen + 1 / even));
  }

  // Whether three calls of this relay take longer than a short outage.
  bool rare(const Lane& l) const { return pooled_rate(l) * kHolders < kDeadStreak; }

  // Refused above a limit that all relays share: send slower, from the own demand seen, and slower again with
  // each refusal in a row; at random, so that relays turned away together do not come back together. Also
  // where a wait was told: all were told it, and refused calls may use the limit up.
  void narrow(const Attempt& attempt, Lane& l) {
    if (attempt.sent < l.cut_at) return;
    const bool fresh = l.pace == 0 || l.streak == 0;
    if (l.pace == 0) l.pace = first_pace(l);
    l.pace = std::max((fresh ? kLimitCut : kAgainCut) * l.pace, 1 / seconds(longest_));
    if (fresh) l.paced = l.pace;
    l.cut_at = now_;
    l.pacer = {0.5 - seconds(random_.between(0, kSecond)), now_};
  }

  double first_pace(const Lane& l) const {
    const double own = pooled_rate(l);
    return set_.price_refused > 0 ? kFirstPriced * own : std::max(kFirstRise * own, kFirstPace);
  }

  // Guards against crawling back for a minute where a limit had fallen for seconds: a limit's span is over
  // and nothing was refused, so up to the even part of what the list tells it was not this that refused
  // before.
  double regain(const Lane& l) const {
    const bool quiet = now_ - l.cut_at > kShutSpan && l.pace < l.limit / set_.relays;
    return quiet ? kQuietGain : kLimitGain;
  }

  // Two steps to a half: a record for each served call would be one for each gain of the pace.
  static double in_steps(double pace) {
    return pace > 0 ? std::exp2(std::floor(2 * std::log2(pace)) / 2) : 0;
  }

  // An outage that rests on suspicion alone is not worth keeping.
  void remember() {
    for (auto& [number, d] : destinations_) {
      DestinationState next{number, d.tokens - d.tokens % kToken};
      const auto lane = lanes_.find({number, Endpoint{}});
      if (lane != lanes_.end()) next.pacing_rate = in_steps(lane->second.pace);
      if (lane != lanes_.end() && lane->second.out_since != 0 && !lane->second.suspected) {
        next.outage_start = lane->second.out_since;
        next.recovery_start = lane->second.back_since;
        next.baseline_rate = lane->second.base;
      }
      if (next == d.remembered) continue;
      d.remembered = next;
      out_->push_back(SaveDestinationState{next});
    }
  }

  // Share of the relays that were handed a message for the lane in the outage, and so know of it.
  double knowing(const Lane& l) const {
    if (l.shared) return 1;
    const Time end = l.back_since == 0 ? now_ : l.back_since;
    return std::max(1e-3, 1 - std::exp(-std::max(kHolders, seconds(end - l.out_since)) * l.base));
  }

  // Own part of what a cold destination takes, beside the first calls of the relays that know of no outage.
  double cold_rate(const Lane& l) const {
    const double warm = set_.slow_start <= 0 ? 0 : seconds(now_ - l.back_since) / seconds(set_.slow_start);
    const double capacity = set_.start_capacity + (1 - set_.start_capacity) * std::clamp(warm, 0.0, 1.0);
    const double know = knowing(l);
    return l.base * std::max(0.0, kColdMargin * set_.overload_factor * capacity - (1 - know)) / know;
  }

  // The most scouts a second of all relays together. They are calls like any other once it is back, so within
  // a fall window they keep to the budget that its return begins with and to what chance may add to it: where
  // few relays hold a token each, surely; where many do, by four deviations of a count that is close to
  // Poisson.
  double most_scouts(const Lane& l) const {
    const double window = seconds(set_.overload_window);
    if (window <= 0) return std::numeric_limits<double>::infinity();
    const double budget = set_.overload_factor * set_.start_capacity * l.base * set_.relays * window;
    const double allowed = budget + kChanceRoots * std::sqrt(budget) + kChanceCalls;
    const double root = std::sqrt(4 + allowed) - 2;
    return std::max(root * root, allowed - set_.relays) / window;
  }

  // Own part of the fleet's scouts. The relays that hold messages for the lane share them.
  double scout_rate(const Lane& l) const {
    if (l.scouts_by == TrialAssignment::Duty::kSelf) return kScoutLeast;  // what it finds is told to all
    const double wanted = std::max(kScoutPart * l.base, kScoutLeast / set_.relays);
    return std::min(wanted, most_scouts(l) / set_.relays) / knowing(l);
  }

  // When this lane may be sent to; kNever: only after some outcome.
  Time admits(Lane& l) {
    if (l.wait_until > now_) return l.wait_until;
    if (l.out_since != 0) {
      // Without an answer to the last scout another tells little, and would fill the slots.
      if (l.back_since == 0 && (l.scouts > 0 || l.scouts_by == TrialAssignment::Duty::kOther)) return kNever;
      const double rate = l.back_since == 0 ? scout_rate(l) : cold_rate(l);
      l.cold.refill(now_, rate, 1);
      if (l.cold.tokens < 1) return std::min(l.cold.ready(now_, rate), now_ + kSecond);
    }
    if (l.pace > 0) {
      l.pacer.refill(now_, l.pace, std::max(1.0, kLimitBurst * l.pace));
      if (l.pacer.tokens < 1) {
        l.bound = true;
        return l.pacer.ready(now_, l.pace);
      }
    }
    return now_;
  }

  void charge(Lane& l) {
    if (l.out_since != 0) l.cold.tokens -= 1;
    if (l.pace > 0) l.pacer.tokens -= 1;
  }

  // Where probes are allowed one goes ahead of each scout: it costs no token, and no message that a hang
  // would end. Not trusted alone, as a probe may pass a hang by.
  bool may_scout(Lane& l, Host& host) {
    if (l.out_since == 0 || l.back_since != 0 || !set_.may_probe) return true;
    if (l.probe_ok) {
      l.probe_ok = false;
      return true;
    }
    if (!l.probe_out) {
      out_->push_back(Probe{host.member.endpoint});
      l.probe_out = host.probe_out = true;
      charge(l);
    }
    return false;
  }

  // ---- Answers that are due ----

  void end(uint64_t id) {
    const auto it = messages_.find(id);
    if (it == messages_.end()) return;
    const Arrival& in = it->second.in;
    if (set_.classes[in.message_class].in_order && in.key != 0) {
      std::erase(turns_[in.key], id);
      if (turns_[in.key].empty()) turns_.erase(in.key);
    }
    messages_.erase(it);
  }

  bool refusable(const Message& m) const {
    const ClassSettings& c = set_.classes[m.in.message_class];
    if (c.effect == Effect::kSafe || !m.ran) return true;
    if (m.resumed_ran) return false;  // its outcome is lost: a client's retry might outlast the key
    return c.effect == Effect::kKeyed && c.key_scope == KeyScope::kAll;
  }

  // Whether another attempt may ever be made.
  bool hopeless(const Message& m) const {
    const ClassSettings& c = set_.classes[m.in.message_class];
    if (m.attempts >= set_.max_attempts) return true;
    if (!m.ran) return false;
    return c.effect == Effect::kUnsafe || (c.effect == Effect::kKeyed && now_ >= window_end(m));
  }

  // A repeat without a token, where at the rate of served calls none is earned before its time is up. Guards
  // against holding what a rare caller will never send: its client may still find another relay. Not where it
  // may have run: at a destination that fails its calls, clients would then repeat what the bucket does not.
  bool penniless(const Message& m) {
    if (!m.repeat || m.ran) return false;
    const Destination& d = destinations_[m.in.destination];
    if (d.tokens >= kToken) return false;
    const double parts = d.served.per_second(now_) * seconds(last_moment(m) - now_);
    return d.tokens + parts < kToken;
  }

  Time window_end(const Message& m) const {
    return m.ran_sent + set_.classes[m.in.message_class].key_window - set_.tick;
  }

  Time last_moment(const Message& m) const { return m.in.due - 2 * set_.tick; }

  // When a client's retry has a chance again: after a told wait, an outage's next look, or a turn at the
  // pace. At random, so that what was turned away together does not come back together.
  Time retry_after(const Message& m) {
    Time soonest = kRetryMost;
    for (const auto& [endpoint, host] : by_destination_[m.in.destination]) {
      const Lane& l = *host->lane;
      if (!host->ready || (l.out_since != 0 && l.back_since == 0)) continue;
      const Time turn = l.pace > 0 ? micros(1 / l.pace) : 0;
      soonest = std::min(soonest, std::max(l.wait_until - now_, turn));
    }
    const Time after = std::clamp(soonest, kRetryLeast, kRetryMost) + random_.between(0, kPauseMost);
    return set_.max_retry_after > 0 ? std::min(after, set_.max_retry_after) : after;
  }

  void give_up(uint64_t id, const Message& m) {
    out_->push_back(refusable(m) ? Action{Refuse{id, retry_after(m)}} : Action{Fail{id}});
  }

  void settle() {
    std::vector<uint64_t> over;
    for (const auto& [id, m] : messages_) {
      if (m.out) continue;
      if (hopeless(m) || penniless(m) || now_ >= last_moment(m)) {
        over.push_back(id);
      } else {
        wake(last_moment(m));
      }
    }
    for (const uint64_t id : over) {
      give_up(id, messages_.at(id));
      end(id);
    }
  }

  // Gives the least worth back when there is hardly room for more.
  void shed() {
    const auto room = static_cast<size_t>(std::max(1.0, kShedAbove * set_.max_open));
    if (messages_.size() <= room) return;
    std::vector<std::pair<double, uint64_t>> least;
    for (const auto& [id, m] : messages_) {
      if (!m.out && refusable(m)) least.push_back({worth_at(m, now_), id});
    }
    std::sort(least.begin(), least.end());
    for (const auto& [worth, id] : least) {
      if (messages_.size() <= room) break;
      out_->push_back(Refuse{id, retry_after(messages_.at(id))});
      end(id);
    }
  }

  // ---- Ordering ----

  double worth_at(const Message& m, Time at) const {
    const ClassSettings& c = set_.classes[m.in.message_class];
    if (at <= m.target) return m.worth;
    if (at >= m.in.due) return 0;
    const double late = seconds(at - m.target);
    if (set_.exponential_late_worth)
      return m.worth * std::max(c.late_worth, std::exp2(-late / seconds(c.target)));
    return m.worth * (1 - (1 - c.late_worth) * late / std::max(1e-6, seconds(m.in.due - m.target)));
  }

  bool has_turn(const Message& m) {
    if (!set_.classes[m.in.message_class].in_order || m.in.key == 0) return true;
    if (turns_[m.in.key].front() != m.in.id) return false;
    const auto rest = key_rests_.find(m.in.key);
    if (rest == key_rests_.end() || rest->second.second == m.in.id) return true;
    wake(rest->second.first);
    return false;
  }

  struct Candidate {
    double loss;  // worth for each second of a slot, negated: the most comes first
    Time target;
    uint64_t id;
    auto operator<=>(const Candidate&) const = default;
  };

  std::vector<Candidate> candidates() {
    std::vector<Candidate> list;
    for (auto& [id, m] : messages_) {
      if (m.out) continue;
      if (m.not_before > now_) {
        wake(m.not_before);
        continue;
      }
      if (!by_destination_.contains(m.in.destination) || !has_turn(m)) continue;
      const double latency = latency_of(destinations_[m.in.destination]).mean;
      list.push_back({-worth_at(m, now_ + micros(latency)) / std::max(0.01, latency), m.target, id});
    }
    std::sort(list.begin(), list.end());
    return list;
  }

  // ---- Dispatch ----

  // The design's slot share, narrowed while calls run longer than is usual at this destination.
  int slot_share(const Destination& d) const {
    const double usual = d.usual.seen == 0 ? 1 : std::min(1.0, d.usual.mean / std::max(1e-6, d.latency.mean));
    const double share = std::max(kSlotShareLeast, kSlotShare * usual);
    return std::max(1, static_cast<int>(std::ceil(set_.slots * share)));
  }

  void dispatch() {
    std::vector<Candidate> waiting = candidates();
    // First within each destination's share; slots that no other waits for then go to anyone.
    for (const bool bound : {true, false}) {
      std::vector<Candidate> left;
      for (const Candidate& c : waiting) {
        Message& m = messages_.at(c.id);
        if (m.out) continue;  // went along in another message's call
        Destination& d = destinations_[m.in.destination];
        if (static_cast<int>(calls_.size()) >= set_.slots) return free_slots();
        if (bound && d.calls >= slot_share(d)) {
          left.push_back(c);
        } else {
          try_send(m, d, waiting);
        }
      }
      waiting = std::move(left);
    }
  }

  // Messages wait and no slot is free: stop waiting for overdue calls, once such calls proved lost, not slow.
  // Guards against lost answers filling the slots; harms where a destination has only now become slow.
  void free_slots() {
    if (!set_.may_cancel || hope_ > kHopeLeast) return;
    for (auto& [id, attempt] : attempts_) {
      const auto message = messages_.find(id.first);
      if (attempt.cancelled || message == messages_.end()) continue;
      const Host& host = hosts_[attempt.endpoint];
      const Time suspicious = latency_of(destinations_[host.member.destination]).suspicious();
      if (seconds(now_ - attempt.sent) < patience(message->second) * seconds(suspicious)) continue;
      attempt.cancelled = true;
      out_->push_back(Cancel{id.first, id.second});
    }
  }

  void try_send(Message& m, Destination& d, const std::vector<Candidate>& waiting) {
    if (m.repeat && d.tokens < kToken) return;
    if (closing_ - now_ < latency_of(d).suspicious()) return;
    Host* host = choose(m);
    if (host == nullptr || !may_scout(*host->lane, *host)) return;
    start_call(d, *host);
    send(m, d, *host);
    const Lane& l = *host->lane;
    if (l.out_since != 0 && l.back_since == 0) return;  // one message is scout enough
    // What goes to one endpoint in one round may share a call: one slot, one place under the limit, one fate.
    int room = batch_of(host->member) - 1;
    for (const Candidate& c : waiting) {
      if (room <= 0) return;
      Message& other = messages_.at(c.id);
      if (other.out || other.in.destination != m.in.destination) continue;
      if ((other.repeat && d.tokens < kToken) || !in_scope(other, *host)) continue;
      send(other, d, *host);
      --room;
    }
  }

  int batch_of(const Member& m) const {
    return m.kind < static_cast<int>(set_.kinds.size()) ? set_.kinds[m.kind].max_batch : 1;
  }

  // A keyed message that may have run stays with the endpoints that remember its key.
  bool in_scope(const Message& m, const Host& host) const {
    const ClassSettings& c = set_.classes[m.in.message_class];
    if (!m.ran || c.effect != Effect::kKeyed) return true;
    if (c.key_scope == KeyScope::kDestination) return host.member.destination == m.in.destination;
    return c.key_scope == KeyScope::kAll || host.member.zone == m.ran_zone;
  }

  Host* choose(const Message& m) {
    Host* best = nullptr;
    double best_cost = 0;
    for (const auto& [endpoint, host] : by_destination_[m.in.destination]) {
      if (!host->ready || !in_scope(m, *host)) continue;
      const Time at = admits(*host->lane);
      if (at > now_) {
        wake(at);
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

  bool needs_conn(const Host& host) {
    return host.calls >= host.conns * set_.streams_per_conn || now_ - host.last_used > keep();
  }

  double cost_of(const Host& host) {
    const Latency& latency =
        host.latency.seen > 0 ? host.latency : latency_of(destinations_[host.member.destination]);
    double cost = latency.mean * (1 + 0.5 * host.calls) / std::max(0.1, host.lane->room);
    // Of a host that was never called nothing is known: all of a fleet of rare callers would take the first.
    if (host.latency.seen == 0 && rare(*host.lane)) cost += kTaste * host.taste;
    if (host.member.zone != set_.zone) cost += kSecondsPerPrice * set_.price_cross_zone;
    if (needs_conn(host)) cost += kSecondsPerPrice * set_.price_handshake;
    if (host.avoid_until > now_) cost += seconds(kAvoidMost);
    return cost;
  }

  double patience(const Message& m) const {
    return set_.classes[m.in.message_class].effect == Effect::kUnsafe ? kUnsafeTimes : 1;
  }

  Time timeout_of(const Message& m, const Destination& d) {
    // No call keeps its slot for the whole life of its message: lost answers would fill the slots one by one.
    const double longest = std::max(1.0, kTimeoutTimes * seconds(latency_of(d).suspicious()));
    return std::min(m.in.due - now_, micros(patience(m) * longest));
  }

  void start_call(Destination& d, Host& host) {
    idle_ = host.calls == 0 && !needs_conn(host) ? now_ - host.last_used : 0;
    if (needs_conn(host)) {
      if (host.calls == 0 && host.conns > 0) close_idle(host);
      host.conns = host.calls / std::max(1, set_.streams_per_conn) + 1;
    }
    host.last_used = now_;
    calls_[++last_call_] = 0;
    ++host.calls;
    ++d.calls;
    charge(*host.lane);
  }

  void send(Message& m, Destination& d, const Host& host) {
    Lane& l = *host.lane;
    const bool scout = l.out_since != 0 && l.back_since == 0;
    l.scouts += scout;
    if (m.repeat) d.tokens -= kToken;
    m.repeat = false;
    m.out = true;
    ++calls_[last_call_];
    attempts_[{m.in.id, m.attempts++}] = {host.member.endpoint, now_, last_call_, false, scout, idle_};
    Send out{m.in.id, host.member.endpoint, timeout_of(m, d)};
    const bool window = m.ran && set_.classes[m.in.message_class].effect == Effect::kKeyed;
    if (window) out.start_by = window_end(m) - kWindowMargin;
    out_->push_back(out);
  }

  // ---- The list and the timer ----

  void keep_watching() {
    if (!set_.list_requires_watch || watching_) return;
    if (now_ < watch_at_) return wake(watch_at_);
    out_->push_back(WatchList{});
    watching_ = true;
  }

  void wake(Time at) {
    if (at > now_) wake_ = std::min(wake_, at);
  }

  void arm() {
    if (wake_ == kNever || (armed_ > now_ && armed_ <= wake_)) return;
    armed_ = wake_;
    out_->push_back(SetTimer{static_cast<uint64_t>(wake_), wake_});
  }

  Settings set_;
  Random random_;
  uint64_t taste_;  // seed of this relay's liking for hosts
  Time now_ = std::numeric_limits<Time>::min();
  Time started_ = kNever;  // when the first step was
  std::vector<Action>* out_ = nullptr;
  Time wake_ = kNever;
  Time armed_ = kNever;
  Time closing_ = kNever;   // when this process ends
  Time longest_ = kSecond;  // life of the longest-lived class
  bool watching_ = false;
  Time watch_at_ = std::numeric_limits<Time>::min();
  Time watch_pause_ = kSecond / 4;
  uint64_t last_call_ = 0;
  double stale_ = 0;  // share of calls on idle connections that broke or got no answer
  double lost_ = 0;   // and of calls on fresh ones
  Time keep_ = kSecond * 3600;
  Time keep_at_ = 0;
  double hope_ = 2 * kHopeLeast;  // share of the calls past the suspicious age that are served after all
  Time idle_ = 0;                 // how long the connection of the last call had been idle
  std::map<int, Kind> kinds_;
  std::map<uint64_t, Message> messages_;
  std::map<std::pair<uint64_t, int>, Attempt> attempts_;
  std::map<uint64_t, int> calls_;  // calls out, with their messages that have no outcome yet
  std::map<Endpoint, Host> hosts_;
  std::set<Endpoint> leaving_;  // of these, those that are gone but may have calls out
  std::map<int, std::map<Endpoint, Host*>> by_destination_;
  std::map<int, Destination> destinations_;
  std::map<LaneKey, Lane> lanes_;
  std::map<LaneKey, Lane*> watched_;  // in an outage, or with calls failed or overdue: judged in each step
  std::map<int, Pacer> tenant_pacers_;
  std::map<uint64_t, std::vector<uint64_t>> turns_;
  std::map<uint64_t, std::pair<Time, uint64_t>> key_rests_;
};

Policy::Policy(Settings settings, uint64_t seed) : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

void Policy::step(Time now, std::span<const Event> events, std::vector<Action>& actions) {
  impl_->step(now, events, actions);
}

}  // namespace firspool

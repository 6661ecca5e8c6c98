#include "rehearsal/plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "rehearsal/random.h"

namespace umberhoist::rehearsal {
namespace {

enum Stream : uint64_t { kPartnerStream = 1, kArrivalStream, kEventStream, kTenantStream };

Time to_microseconds(double seconds) { return static_cast<Time>(std::llround(seconds * 1e6)); }

// Returns the kind of each partner, in order of falling traffic. The numbers follow the shares of the kinds;
// `lean` moves the partners of a kind towards the head or the tail.
std::vector<int> draw_kinds(const Scenario& scenario, Random& random) {
  double shares = 0;
  for (const KindSpec& kind : scenario.kinds) shares += kind.share;
  std::vector<std::pair<double, int>> order;
  int left = scenario.partners;
  for (size_t i = 0; i < scenario.kinds.size(); ++i) {
    const bool last = i + 1 == scenario.kinds.size();
    const int count =
        last ? left
             : std::min(left, std::max(1, static_cast<int>(std::lround(scenario.partners *
                                                                       scenario.kinds[i].share / shares))));
    left -= count;
    for (int k = 0; k < count; ++k)
      order.emplace_back(random.unit() - scenario.kinds[i].lean, static_cast<int>(i));
  }
  std::sort(order.begin(), order.end());
  std::vector<int> out;
  for (const auto& [place, kind] : order) out.push_back(kind);
  return out;
}

bool kind_accepts_class(const Scenario& scenario, const ClassSpec& c, int kind) {
  return c.kinds.empty() ||
         std::find(c.kinds.begin(), c.kinds.end(), scenario.kinds[kind].name) != c.kinds.end();
}

// For each class, the cumulative distribution of its messages over the partners.
std::vector<std::vector<double>> class_weights(const Scenario& scenario,
                                               const std::vector<PartnerPlan>& partners) {
  std::vector<std::vector<double>> out;
  for (const ClassSpec& c : scenario.classes) {
    std::vector<double> sums;
    double sum = 0;
    for (const PartnerPlan& partner : partners) {
      if (kind_accepts_class(scenario, c, partner.kind)) sum += std::pow(partner.number + 1, -scenario.zipf);
      sums.push_back(sum);
    }
    if (sum <= 0) {
      throw ScenarioError("class " + c.name +
                          " goes to no partner: expected more partners, or a kind that has some");
    }
    for (double& value : sums) value /= sum;
    out.push_back(std::move(sums));
  }
  return out;
}

void size_partners(const Scenario& scenario, std::vector<PartnerPlan>& partners, Random& random) {
  const auto weights = class_weights(scenario, partners);
  double shares = 0;
  for (const ClassSpec& c : scenario.classes) shares += c.share;
  for (size_t c = 0; c < scenario.classes.size(); ++c) {
    for (size_t p = 0; p < partners.size(); ++p) {
      const double own = weights[c][p] - (p == 0 ? 0 : weights[c][p - 1]);
      partners[p].traffic += own * scenario.classes[c].share / shares;
    }
  }
  for (PartnerPlan& p : partners) {
    const KindSpec& kind = scenario.kinds[p.kind];
    const double full_load_rate =
        p.traffic * scenario.load.rate * scenario.load.full;  // calls per second at full load
    const double load_share = std::min(1.0, p.traffic * static_cast<double>(partners.size()) / 2);
    p.endpoints = static_cast<int>(
        std::lround(kind.endpoints.low + (kind.endpoints.high - kind.endpoints.low) *
                                             std::min(load_share, random.unit() + load_share / 2)));
    p.endpoints = std::max(1, p.endpoints);
    p.mean_service_time = static_cast<Time>(random.between(kind.service_ms.low, kind.service_ms.high) * 1e3);
    p.cv = kind.cv;
    const double wanted_rate = std::max(kind.least_rate, full_load_rate * kind.spare);
    p.concurrency =
        std::max(p.endpoints,
                 static_cast<int>(std::ceil(wanted_rate * static_cast<double>(p.mean_service_time) / 1e6)));
    p.capacity = p.concurrency / (static_cast<double>(p.mean_service_time) / 1e6);
    p.limit = kind.limit;
    if (p.limit != Limit::kNone) {
      p.limit_rate = std::min(p.capacity, std::max(kind.least_rate, full_load_rate * kind.headroom));
    }
    p.limit_window = to_microseconds(random.between(kind.span_s.low, kind.span_s.high));
    p.advertised_rate = p.limit == Limit::kNone ? p.capacity : p.limit_rate;
    p.max_queue_wait = to_microseconds(kind.queue_s);
    p.seed = random.bits();
  }
}

void draw_arrivals(const Scenario& scenario, Plan& plan, Random& random) {
  const auto weights = class_weights(scenario, plan.partners);
  double shares = 0;
  for (const ClassSpec& c : scenario.classes) shares += c.share;
  const auto rate_at = [&](double t) {
    double rate =
        scenario.load.rate * (1 + scenario.load.swing * std::sin(2 * M_PI * t / scenario.load.period_s));
    for (const BurstSpec& burst : scenario.load.bursts) {
      if (t >= burst.at_s && t < burst.at_s + burst.for_s) rate *= burst.factor;
    }
    return rate;
  };
  double max_rate = scenario.load.rate * (1 + scenario.load.swing);
  for (const BurstSpec& burst : scenario.load.bursts) max_rate *= std::max(1.0, burst.factor);
  const auto add = [&](double t, int partner) {
    double pick = random.unit() * shares;
    size_t c = 0;
    while (c + 1 < scenario.classes.size() && (pick -= scenario.classes[c].share) >= 0) ++c;
    ArrivalPlan out;
    out.at = to_microseconds(t);
    out.message_class = static_cast<uint16_t>(c);
    if (partner >= 0 && kind_accepts_class(scenario, scenario.classes[c], plan.partners[partner].kind)) {
      out.partner = static_cast<uint16_t>(partner);
    } else {
      const auto& sums = weights[c];
      out.partner = static_cast<uint16_t>(std::min<size_t>(
          sums.size() - 1, std::upper_bound(sums.begin(), sums.end(), random.unit()) - sums.begin()));
    }
    out.body_bytes = static_cast<uint32_t>(
        random.between(scenario.load.body_bytes.low, scenario.load.body_bytes.high + 0.999));
    plan.arrivals.push_back(out);
  };
  // A clump is a burst of messages to one partner, as many as it takes within a time drawn from `clump_s`.
  // Clumps are spaced so that their messages make up `clump_share` of all.
  const double unclumped_share = 1 - scenario.load.clump_share;
  for (double t = random.exponential(1 / max_rate); t < scenario.seconds;
       t += random.exponential(1 / max_rate)) {
    if (random.chance(rate_at(t) / max_rate * unclumped_share)) add(t, -1);
  }
  if (scenario.load.clump_share > 0) {
    double t = 0;
    while (true) {
      const size_t partner = random.below(plan.partners.size());
      const double clump_size = plan.partners[partner].advertised_rate *
                                random.between(scenario.load.clump_s.low, scenario.load.clump_s.high);
      const auto count = std::max<size_t>(2, static_cast<size_t>(clump_size));
      t += random.exponential(static_cast<double>(count) / (scenario.load.rate * scenario.load.clump_share));
      if (t >= scenario.seconds) break;
      for (size_t i = 0; i < count; ++i) {
        const double at = t + 0.2 * random.unit();
        if (at < scenario.seconds) add(at, static_cast<int>(partner));
      }
    }
  }
  std::stable_sort(plan.arrivals.begin(), plan.arrivals.end(),
                   [](const ArrivalPlan& a, const ArrivalPlan& b) { return a.at < b.at; });
  for (size_t i = 0; i < plan.arrivals.size(); ++i) plan.arrivals[i].message = static_cast<uint32_t>(i + 1);
}

// Uses a random stream of its own, so that a scenario has the same arrivals with and without tenants.
void draw_tenants(const Scenario& scenario, Plan& plan, Random random) {
  double shares = 0;
  for (const TenantSpec& t : scenario.tenants) shares += t.share;
  if (scenario.tenants.empty()) return;
  for (ArrivalPlan& a : plan.arrivals) {
    double pick = random.unit() * shares;
    size_t t = 0;
    while (t + 1 < scenario.tenants.size() && (pick -= scenario.tenants[t].share) >= 0) ++t;
    a.tenant = static_cast<uint16_t>(t);
  }
}

std::vector<int> targets_of(const Scenario& scenario, const Plan& plan, const EventSpec& event,
                            Random& random) {
  std::vector<int> all(plan.partners.size());
  std::iota(all.begin(), all.end(), 0);
  if (!event.partner.empty()) {
    for (const PartnerPlan& p : plan.partners) {
      if (p.name == event.partner) return {p.number};
    }
    throw ScenarioError(event.where + ": [event] partner: expected one of " + plan.partners.front().name +
                        " to " + plan.partners.back().name);
  }
  if (!event.kind.empty()) {
    std::erase_if(all, [&](int p) { return scenario.kinds[plan.partners[p].kind].name != event.kind; });
  }
  if (event.largest > 0) {
    std::stable_sort(all.begin(), all.end(),
                     [&](int a, int b) { return plan.partners[a].traffic > plan.partners[b].traffic; });
    all.resize(std::min<size_t>(all.size(), static_cast<size_t>(event.largest)));
  }
  if (event.share >
      0) {  // drawn at random until their traffic reaches that share, skipping those that would exceed it
    for (size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[random.below(i)]);
    std::vector<int> selected;
    double sum = 0;
    for (const int p : all) {
      if (!selected.empty() && sum + plan.partners[p].traffic > event.share) continue;
      selected.push_back(p);
      sum += plan.partners[p].traffic;
      if (sum >= event.share) break;
    }
    all = std::move(selected);
  }
  std::sort(all.begin(), all.end());
  return all;
}

void resolve_events(const Scenario& scenario, Plan& plan, Random& random) {
  const auto add = [&](const EventSpec& event, Action action, Time at, int relay) {
    EventPlan out;
    out.at = at;
    out.duration = to_microseconds(event.for_s);
    out.action = action;
    if (action <= Action::kWithdraw) out.partners = targets_of(scenario, plan, event, random);
    out.relay = relay;
    out.amount = event.amount;
    out.min_delay = to_microseconds(event.late_ms.low / 1000);
    out.max_delay = to_microseconds(event.late_ms.high / 1000);
    out.part = event.part;
    out.sends_retry_after = event.wait_told;
    out.same_address = event.same_address;
    out.linger = to_microseconds(event.linger_s);
    out.seed = random.bits();
    out.description = action_name(action);
    if (!event.kind.empty()) out.description += " " + event.kind;
    if (relay >= 0) out.description += " relay " + std::to_string(relay);
    if (!out.partners.empty()) out.description += " (" + std::to_string(out.partners.size()) + " partners)";
    plan.events.push_back(std::move(out));
  };
  for (const EventSpec& event : scenario.events) {
    for (int time = 0; time < event.times; ++time) {
      const Time at = to_microseconds(event.at_s + time * event.every_s);
      if (event.action ==
          Action::kRolling) {  // spaced so that each relay is ready again before the next stops
        const Time gap = event.for_s > 0 ? to_microseconds(event.for_s) / scenario.relays : 6 * kSecond;
        for (int i = 0; i < scenario.relays; ++i) add(event, Action::kTerminate, at + i * gap, i);
        continue;
      }
      const bool targets_relay = event.action == Action::kKill || event.action == Action::kTerminate ||
                                 event.action == Action::kMove || event.action == Action::kLose ||
                                 event.action == Action::kCrowd;
      const int drawn = static_cast<int>(random.below(static_cast<size_t>(scenario.relays)));
      add(event, event.action, at, targets_relay ? (event.relay >= 0 ? event.relay : drawn) : -1);
    }
  }
  std::stable_sort(plan.events.begin(), plan.events.end(),
                   [](const EventPlan& a, const EventPlan& b) { return a.at < b.at; });
}

class Digest {
 public:
  Digest& add(uint64_t value) {
    for (int i = 0; i < 8; ++i) hash_ = (hash_ ^ ((value >> (8 * i)) & 255)) * 0x100000001b3;
    return *this;
  }
  uint64_t value() const { return hash_; }

 private:
  uint64_t hash_ = 0xcbf29ce484222325;
};

uint64_t digest_of(const Plan& plan) {
  Digest out;
  for (const PartnerPlan& p : plan.partners) {
    out.add(static_cast<uint64_t>(p.kind)).add(static_cast<uint64_t>(p.endpoints));
    out.add(static_cast<uint64_t>(p.mean_service_time)).add(static_cast<uint64_t>(p.concurrency)).add(p.seed);
  }
  for (const ArrivalPlan& a : plan.arrivals) {
    out.add(static_cast<uint64_t>(a.at)).add(a.message_class).add(a.partner).add(a.body_bytes);
  }
  for (const ArrivalPlan& a : plan.arrivals) {
    if (a.tenant != 0) out.add(a.message).add(a.tenant);
  }
  for (const EventPlan& e : plan.events) {
    out.add(static_cast<uint64_t>(e.at))
        .add(static_cast<uint64_t>(e.action))
        .add(static_cast<uint64_t>(e.relay));
    for (const int p : e.partners) out.add(static_cast<uint64_t>(p));
  }
  return out.value();
}

}  // namespace

Plan make_plan(const Scenario& scenario, uint64_t seed) {
  Random root(seed);
  Random partners = root.fork(kPartnerStream);
  Random arrivals = root.fork(kArrivalStream);
  Random events = root.fork(kEventStream);
  Plan plan;
  const std::vector<int> kinds = draw_kinds(scenario, partners);
  for (size_t i = 0; i < kinds.size(); ++i) {
    PartnerPlan p;
    p.number = static_cast<int>(i);
    p.name = "p" + std::to_string(i);
    p.kind = kinds[i];
    plan.partners.push_back(std::move(p));
  }
  size_partners(scenario, plan.partners, partners);
  draw_arrivals(scenario, plan, arrivals);
  draw_tenants(scenario, plan, root.fork(kTenantStream));
  resolve_events(scenario, plan, events);
  double busy_slots = 0;
  for (const PartnerPlan& p : plan.partners) {
    busy_slots +=
        p.traffic * scenario.load.rate * scenario.load.full * static_cast<double>(p.mean_service_time) / 1e6;
  }
  plan.slots = std::max(scenario.least_slots,
                        static_cast<int>(std::ceil(busy_slots / scenario.relays * scenario.slots_room)));
  plan.max_open =
      std::max(scenario.least_open, static_cast<int>(std::ceil(scenario.load.rate * scenario.load.full /
                                                               scenario.relays * scenario.hold_s)));
  plan.digest = digest_of(plan);
  return plan;
}

}  // namespace umberhoist::rehearsal

#include "emulator/days.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <stdexcept>

namespace umberhoist::emulator {
namespace {

constexpr double kLimit = 60;
constexpr Time kLimitLowered = 10 * kSecond;
constexpr Time kLimitRestored = 19 * kSecond;

template <class Shape>
void for_each_destination(FleetModel& model, Shape configure) {
  for (DestinationModel& d : model.destinations) configure(d);
}

// A rate limit shared by all relays that refused calls use up too, with a price on refusals.
void set_shared_limit(FleetModel& model, double rate) {
  model.settings.price_refused = 0.1;
  for_each_destination(model, [&](DestinationModel& d) {
    d.rate_limit = d.weight = rate;
    d.load = 40;
    d.refused_calls_count = true;
    d.retry_after_share = 0.5;
    d.retry_after = kSecond / 2;
  });
}

void lower_limit(FleetModel& model) {
  set_shared_limit(model, kLimit);
  model.changes = {{kLimitLowered, &DestinationModel::rate_limit, kLimit / 3},
                   {kLimitRestored, &DestinationModel::rate_limit, kLimit}};
}

// One relay in a hundred gets a hundred times as much traffic as the others.
std::vector<double> skewed_shares(int relays) {
  std::vector<double> shares(static_cast<size_t>(relays), 1);
  for (size_t i = 0; i < shares.size(); i += 100) shares[i] = 100;
  return shares;
}

}  // namespace

const std::vector<DayScenario>& day_scenarios() {
  static const std::vector<DayScenario> all = {
      {"healthy", "nothing happens", 0, 0, [](FleetModel&) {}},
      {"small-tables", "a host holds 12 connections", 0, 0,
       [](FleetModel& m) { for_each_destination(m, [](DestinationModel& d) { d.max_connections = 12; }); }},
      {"at-capacity", "asked for 78 of 80 calls a second", 0, 0,
       [](FleetModel& m) { for_each_destination(m, [](DestinationModel& d) { d.load = 78; }); }},
      {"over-limit", "a limit of 30 calls a second", 0, 0,
       [](FleetModel& m) {
         for_each_destination(m, [](DestinationModel& d) {
           d.rate_limit = 30;
           d.retry_after_share = 0.5;
           d.retry_after = kSecond / 2;
         });
       }},
      {"limit-falls", "a priced limit of 60 falls to a third for 9 s", kLimitLowered, kLimit / 3,
       lower_limit},
      {"limit-falls-lopsided", "the same where one relay in a hundred has a hundred times the traffic",
       kLimitLowered, kLimit / 3,
       [](FleetModel& m) {
         lower_limit(m);
         m.traffic_shares = skewed_shares(m.settings.relays);
       }},
      {"limit-falls-small-tables", "the same where a host holds 12 connections", kLimitLowered, kLimit / 3,
       [](FleetModel& m) {
         lower_limit(m);
         for_each_destination(m, [](DestinationModel& d) { d.max_connections = 12; });
       }},
      {"limit-falls-down", "the same, and the destination is really down from 14 to 17 s", kLimitLowered,
       kLimit / 3,
       [](FleetModel& m) {
         lower_limit(m);
         for_each_destination(m, [](DestinationModel& d) {
           d.down_from = 14 * kSecond;
           d.down_to = 17 * kSecond;
         });
       }},
      {"clump", "four times the load for 2 s at a priced limit whose refusals all tell to wait", 0, 0,
       [](FleetModel& m) {
         set_shared_limit(m, kLimit);
         for_each_destination(m, [](DestinationModel& d) { d.retry_after_share = 1; });
         m.changes = {{kLimitLowered, &DestinationModel::load, 160},
                      {kLimitLowered + 2 * kSecond, &DestinationModel::load, 40}};
       }},
      {"half-out", "half of the destinations are out for 5 s and come back cold", 0, 0,
       [](FleetModel& m) {
         for_each_destination(m, [](DestinationModel& d) {
           if (d.number % 2 != 0) return;
           d.down_from = 10 * kSecond;
           d.down_to = 15 * kSecond;
         });
       }},
      {"out-cold", "out for 8 s, then cold", 0, 0,
       [](FleetModel& m) {
         for_each_destination(m, [](DestinationModel& d) {
           d.down_from = 10 * kSecond;
           d.down_to = 18 * kSecond;
         });
       }},
      {"loaded-out-cold", "asked for 70 of 80, out for 6 s, then cold", 0, 0,
       [](FleetModel& m) {
         for_each_destination(m, [](DestinationModel& d) {
           d.load = 70;
           d.down_from = 10 * kSecond;
           d.down_to = 16 * kSecond;
         });
       }},
      {"herd", "seven in ten relays are killed at once and come back with their folders", 0, 0,
       [](FleetModel& m) {
         m.mass_restart = {12 * kSecond, 0.7, kSecond};
       }},
  };
  return all;
}

FleetModel random_outage_model(int relays, uint64_t seed) {
  if (relays < 1) {
    throw std::invalid_argument(std::to_string(relays) + " relays; expected one or more");
  }
  std::mt19937_64 random(seed * 7919 + static_cast<uint64_t>(relays));
  const auto within = [&random](double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  };
  const auto time = [&](double low, double high) { return static_cast<Time>(within(low, high) * 1e6); };
  FleetModel model;
  model.seed = seed;
  model.settings = typical_settings(relays);
  model.settings.may_probe = random() % 2 == 0;
  model.settings.slow_start = time(8, 12);
  model.settings.start_capacity = within(0.21, 0.44);
  model.settings.overload_factor = within(1.5, 3);
  model.settings.overload_window = time(2, 3);
  model.one_way_latency = time(0.005, 0.06);
  model.duration = 50 * kSecond;
  DestinationModel d;
  d.number = 1;
  d.hosts = {{1, 80}};
  if (random() % 2 == 0) d.hosts.push_back({2, 80});
  d.service_time = time(0.1, 0.5);
  d.concurrency = 1 + static_cast<int>(random() % 6);
  d.max_queued = 2 * d.concurrency;
  const double capacity = static_cast<double>(d.concurrency) * static_cast<double>(d.hosts.size()) * 1e6 /
                          static_cast<double>(d.service_time);
  d.weight = capacity;
  d.load = capacity * within(0.3, 1.1);
  d.down_from = 15 * kSecond;
  d.down_to = d.down_from + time(4, 20);
  model.destinations.push_back(d);
  if (random() % 2 == 0) {
    for (int i = 0; i < relays; ++i) model.traffic_shares.push_back(std::exp(within(-1.5, 1.5)));
  }
  if (random() % 3 == 0) {
    model.mass_restart.share = within(0.1, 0.9);
    model.mass_restart.killed_at = d.down_to - time(0.5, 3);
    model.mass_restart.downtime = time(0.3, 3);
  }
  return model;
}

namespace {

// The service time follows from the calls a second that the destination serves at its capacity.
void set_capacity(DestinationModel& d, double calls_per_s) {
  d.weight = calls_per_s;
  d.service_time = static_cast<Time>(1e6 * static_cast<double>(d.concurrency) *
                                     static_cast<double>(d.hosts.size()) / calls_per_s);
}

}  // namespace

FleetModel random_return_model(int relays, uint64_t seed, const ReturnVariant& variant) {
  FleetModel model = random_outage_model(relays, seed);
  std::mt19937_64 random(seed * 104729 + static_cast<uint64_t>(relays));
  const auto time = [&random](double low, double high) {
    return static_cast<Time>(std::uniform_real_distribution<double>(low, high)(random) * 1e6);
  };
  const auto within = [&random](double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  };
  model.duration = 65 * kSecond;
  model.mass_restart = {};
  model.settings.classes[0].effect = variant.effect;
  DestinationModel& d = model.destinations.front();
  d.down_from = 33 * kSecond;
  d.down_to = 42 * kSecond;
  if (variant.before_rates_are_known) {
    d.down_from = time(2.5, 5);
    d.down_to = d.down_from + time(6, 10);
  }
  if (variant.rare_calls) {
    const double load_share = d.load / d.weight;
    d.load = within(4, 10);
    set_capacity(d, d.load / load_share);
  }
  if (variant.small_budget) {
    model.settings.start_capacity = 0.15;
    model.settings.overload_factor = 2;
    model.settings.overload_window = 3 * kSecond;
    set_capacity(d, std::exp(within(std::log(2.7), std::log(18))));
    d.load = d.weight * within(0.45, 1);
  }
  if (variant.clumps) {
    d.clump_share = within(0.09, 0.29);
    d.clump_seconds = within(1.2, 3.3);
  }
  d.outage_kind = variant.outage_kind;
  d.outage_retry_after_share = variant.outage_retry_after_share;
  if (variant.outage_kind == OutageKind::kMostCallsFail) d.outage_failing_share = within(0.5, 0.83);
  if (variant.traffic_grows) {
    const Time at = time(static_cast<double>(d.down_from) / 1e6, static_cast<double>(d.down_to) / 1e6);
    model.changes.push_back({at, &DestinationModel::load, d.load * within(1.5, 3)});
  }
  if (variant.restart != ReturnVariant::Restart::kNone) {
    const bool before = variant.restart == ReturnVariant::Restart::kBeforeOutage;
    model.mass_restart.share = within(0.3, 1);
    model.mass_restart.killed_at = before ? d.down_from - time(0.5, 7) : time(34, 41.5);
    model.mass_restart.downtime = time(0, 0.3);
  }
  if (variant.errors_before) {
    d.failing_from = d.down_from - time(2, 12);
    d.failing_to = d.down_from;
    d.failing_share = within(0.37, 1);
  }
  if (variant.hosts_replaced) d.hosts_replaced_at = d.down_to + time(-3, 0.5);
  return model;
}

FleetModel day_model(const std::string& name, int relays, uint64_t seed) {
  if (relays < 1) throw std::invalid_argument("relays is " + std::to_string(relays) + "; expected 1 or more");
  const auto day = std::find_if(day_scenarios().begin(), day_scenarios().end(),
                                [&](const DayScenario& d) { return d.name == name; });
  if (day == day_scenarios().end()) {
    std::string known;
    for (const DayScenario& d : day_scenarios()) known += (known.empty() ? "" : ", ") + d.name;
    throw std::invalid_argument("day is '" + name + "'; expected one of " + known);
  }
  FleetModel model;
  model.settings = typical_settings(relays);
  model.seed = seed;
  model.duration = 40 * kSecond;
  for (int i = 0; i < 10; ++i) {
    DestinationModel d;
    d.number = i;
    d.hosts = {{static_cast<uint32_t>(1 + 2 * i), 80}, {static_cast<uint32_t>(2 + 2 * i), 80}};
    d.concurrency = 4;
    d.max_queued = 8;
    d.weight = 80;
    d.load = 45;
    model.destinations.push_back(d);
  }
  day->configure(model);
  return model;
}

namespace {

constexpr Time kStep = 10'000;

// Calls a second that the destination can serve at a time, including during slow start, capped by its limit.
double capacity(const DestinationModel& d, const firspool::Settings& s, Time now) {
  if (now >= d.down_from && now < d.down_to) return 0;
  double rate = static_cast<double>(d.concurrency) * static_cast<double>(d.hosts.size()) * 1e6 /
                static_cast<double>(d.service_time);
  if (d.down_to > d.down_from && now >= d.down_to && s.slow_start > 0) {
    const double warm = static_cast<double>(now - d.down_to) / static_cast<double>(s.slow_start);
    rate *= s.start_capacity + (1 - s.start_capacity) * std::min(1.0, warm);
  }
  return d.rate_limit > 0 ? std::min(rate, d.rate_limit) : rate;
}

}  // namespace

ScoreBounds score_bounds(const FleetModel& model) {
  std::mt19937_64 random(model.seed);
  int64_t offered = 0;
  int64_t upper_count = 0;
  int64_t lower_count = 0;
  std::vector<DestinationModel> all = model.destinations;
  for (DestinationModel& d : all) {
    const firspool::ClassSettings& c = model.settings.classes.at(d.message_class);
    const Time way = 2 * model.one_way_latency + d.service_time;
    std::deque<Time> waiting;  // submission time of each waiting message
    double upper_tokens = 0;   // capacity for the upper bound: messages wait for it
    double lower_tokens = 0;   // capacity for the lower bound: messages are tried once
    for (Time now = 0; now < model.duration + c.give_up; now += kStep) {
      for (const Change& change : model.changes) {
        if (change.at <= now && now < change.at + kStep) d.*change.field = change.value;
      }
      const double rate = capacity(d, model.settings, now);
      const double step_seconds = static_cast<double>(kStep) / 1e6;
      upper_tokens = std::min(std::max(1.0, rate * 0.1), upper_tokens + rate * step_seconds);
      lower_tokens = std::min(std::max(1.0, rate), lower_tokens + rate * step_seconds);
      const int arrivals =
          now < model.duration ? std::poisson_distribution<int>(d.load * step_seconds)(random) : 0;
      offered += arrivals;
      for (int i = 0; i < arrivals; ++i) {
        waiting.push_back(now);
        if (lower_tokens >= 1) {
          lower_tokens -= 1;
          ++lower_count;
        } else if (d.refused_calls_count) {
          lower_tokens -= 1;
        }
      }
      // Too late: sent after all others, so not counted.
      while (!waiting.empty() && now + way - waiting.front() > c.target) waiting.pop_front();
      for (; upper_tokens >= 1 && !waiting.empty(); upper_tokens -= 1) {
        waiting.pop_front();
        ++upper_count;
      }
    }
  }
  const double total = static_cast<double>(std::max<int64_t>(1, offered));
  return {static_cast<double>(upper_count) / total, static_cast<double>(lower_count) / total};
}

}  // namespace umberhoist::emulator

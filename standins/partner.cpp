#include "standins/partner.h"

#include <algorithm>
#include <cmath>

namespace umberhoist::standins {
namespace {

constexpr double kBurstSeconds = 1.0;  // burst of a plain rate limit, in seconds of its rate

bool is_outage(Fault fault, double fault_amount) {
  return fault == Fault::kSilent || fault == Fault::kHang || fault == Fault::kUnavailable ||
         fault == Fault::kConnectionRefused ||
         ((fault == Fault::kServerError || fault == Fault::kReset) && fault_amount > 0.5);
}

}  // namespace

Partner::Partner(PartnerSettings settings, Chance random)
    : settings_(settings), random_(std::move(random)), tokens_(settings.limit_rate * kBurstSeconds) {
  for (int i = 0; i < settings_.concurrency; ++i) worker_free_at_.push(0);
}

double Partner::capacity() const {
  const double service_rate =
      settings_.concurrency / (static_cast<double>(settings_.mean_service_time) / 1e6);
  return settings_.limit == PartnerSettings::Limit::kNone ? service_rate
                                                          : std::min(service_rate, settings_.limit_rate);
}

double Partner::capacity_share(Time now) const {
  if (recovery_start_ == 0 || now - recovery_start_ >= settings_.slow_start) return 1;
  return settings_.start_capacity + (1 - settings_.start_capacity) *
                                        static_cast<double>(now - recovery_start_) /
                                        static_cast<double>(settings_.slow_start);
}

void Partner::begin_fault(Fault fault, Time, Time fault_end, double fault_amount, bool sends_retry_after) {
  fault_ = fault;
  fault_end_ = fault_end;
  fault_amount_ = fault_amount;
  sends_retry_after_ = sends_retry_after;
}

void Partner::end_fault(Time now) {
  if (is_outage(fault_, fault_amount_)) {
    recovery_start_ = now;
    recent_load_.clear();
  }
  fault_ = Fault::kNone;
}

// More load than its budget during the slow start makes the partner fail for good.
bool Partner::count_load(Time now) {
  if (recovery_start_ == 0 || now - recovery_start_ >= settings_.slow_start || fault_ != Fault::kNone)
    return !overloaded_;
  recent_load_.push_back(now);
  while (recent_load_.front() < now - settings_.overload_window) recent_load_.pop_front();
  const double budget = settings_.overload_factor * capacity_share(now) * capacity() *
                        static_cast<double>(settings_.overload_window) / 1e6;
  if (static_cast<double>(recent_load_.size()) > budget + 2 * std::sqrt(budget) + 1) overloaded_ = true;
  return !overloaded_;
}

bool Partner::take_from_limit(Time now, Time& free_at) {
  if (settings_.limit == PartnerSettings::Limit::kRate) {
    tokens_ = std::min(settings_.limit_rate * kBurstSeconds,
                       tokens_ + settings_.limit_rate * static_cast<double>(now - tokens_updated_) / 1e6);
    tokens_updated_ = now;
    if (tokens_ >= 1) {
      tokens_ -= 1;
      return true;
    }
    const auto low = static_cast<double>(settings_.min_retry_after);
    const auto high = static_cast<double>(settings_.max_retry_after);
    const double next_token = (1 - tokens_) / settings_.limit_rate * 1e6;
    free_at = now + static_cast<Time>(std::max(next_token, low + (high - low) * random_()));
    return false;
  }
  if (settings_.limit == PartnerSettings::Limit::kWindow) {
    const int64_t window = now / settings_.limit_window;
    if (window != window_index_) {
      window_index_ = window;
      accepted_in_window_ = 0;
    }
    const int max_calls = std::max(
        1, static_cast<int>(settings_.limit_rate * static_cast<double>(settings_.limit_window) / 1e6));
    if (accepted_in_window_ < max_calls) {
      ++accepted_in_window_;
      return true;
    }
    free_at = (window + 1) * settings_.limit_window;
    return false;
  }
  return true;
}

PartnerResponse Partner::refuse(Time now, Time retry_after) {
  PartnerResponse out;
  out.at = now;
  out.retry_after = retry_after;
  out.status = retry_after > 0 ? 429 : 503;
  return out;
}

double Partner::lognormal(double cv) {
  if (cv <= 0) return 1;
  const double variance = std::log(1 + cv * cv);
  const double normal = std::sqrt(-2 * std::log(1 - random_())) * std::cos(2 * M_PI * random_());
  return std::exp(std::sqrt(variance) * normal - variance / 2);
}

PartnerResponse Partner::handle_call(Time now) {
  PartnerResponse out;
  const bool is_up = count_load(now);
  if (fault_ == Fault::kSilent || fault_ == Fault::kHang || fault_ == Fault::kConnectionRefused) {
    out.kind = PartnerResponse::Kind::kNone;  // a call that was on its way when the fault began
    return out;
  }
  if (!is_up) return refuse(now, 0);
  if (fault_ == Fault::kUnavailable) {
    return refuse(now, sends_retry_after_ || random_() < settings_.retry_after_share
                           ? std::max<Time>(0, fault_end_ - now)
                           : 0);
  }
  if (fault_ == Fault::kServerError && random_() < fault_amount_) {
    out.status = 500;
    out.at = now + kMillisecond;
    return out;
  }
  Time free_at = 0;
  if (!take_from_limit(now, free_at)) {
    return refuse(now, random_() < settings_.retry_after_share ? free_at - now : 0);
  }
  const Time start = std::max(now, worker_free_at_.top());
  if (start - now > settings_.max_queue_wait) return refuse(now, 0);
  const double slowdown = fault_ == Fault::kSlow ? fault_amount_ : 1;
  const auto duration = static_cast<Time>(static_cast<double>(settings_.mean_service_time) *
                                          lognormal(settings_.cv) * slowdown / capacity_share(now));
  worker_free_at_.pop();
  worker_free_at_.push(start + duration);
  out.at = start + duration;
  out.executes = true;
  out.executes_at = start;
  if (fault_ == Fault::kReset && random_() < fault_amount_) out.kind = PartnerResponse::Kind::kReset;
  if (fault_ == Fault::kMalformed && random_() < fault_amount_) out.kind = PartnerResponse::Kind::kMalformed;
  if (out.kind == PartnerResponse::Kind::kResponse && random_() < settings_.error_rate) out.status = 500;
  return out;
}

bool Partner::execute(Time arrived, uint64_t key) {
  if (key == 0) return true;
  while (!key_order_.empty() && key_order_.front().first + settings_.key_window <= arrived) {
    key_arrivals_.erase(key_order_.front().second);
    key_order_.pop_front();
  }
  if (!key_arrivals_.try_emplace(key, arrived).second) return false;
  key_order_.emplace_back(arrived, key);
  return true;
}

bool Partner::probe(Time now) {
  const bool is_up = count_load(now);
  return is_up && fault_ != Fault::kUnavailable &&
         !(fault_ == Fault::kServerError && random_() < fault_amount_);
}

}  // namespace umberhoist::standins

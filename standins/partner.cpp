#include "standins/partner.h"

#include <algorithm>
#include <cmath>

namespace umberhoist::standins {
namespace {

constexpr double kRateDepth = 1.0;  // seconds of a plain rate that may come at once

bool is_outage(Fault trouble, double amount) {
  return trouble == Fault::kSilent || trouble == Fault::kHang || trouble == Fault::kUnavailable ||
         trouble == Fault::kConnectionRefused ||
         ((trouble == Fault::kServerError || trouble == Fault::kReset) && amount > 0.5);
}

}  // namespace

Partner::Partner(PartnerSettings settings, Chance chance)
    : settings_(settings), chance_(std::move(chance)), tokens_(settings.limit_rate * kRateDepth) {
  for (int i = 0; i < settings_.concurrency; ++i) free_at_.push(0);
}

double Partner::capacity() const {
  const double served = settings_.concurrency / (static_cast<double>(settings_.mean_service_time) / 1e6);
  return settings_.limit == PartnerSettings::Limit::kNone ? served : std::min(served, settings_.limit_rate);
}

double Partner::capacity_share(Time now) const {
  if (back_since_ == 0 || now - back_since_ >= settings_.slow_start) return 1;
  return settings_.start_capacity + (1 - settings_.start_capacity) * static_cast<double>(now - back_since_) /
                                        static_cast<double>(settings_.slow_start);
}

void Partner::begin_fault(Fault trouble, Time, Time until, double amount, bool tells_wait) {
  trouble_ = trouble;
  until_ = until;
  amount_ = amount;
  tells_wait_ = tells_wait;
}

void Partner::end_fault(Time now) {
  if (is_outage(trouble_, amount_)) {
    back_since_ = now;
    load_.clear();
  }
  trouble_ = Fault::kNone;
}

// Too much for too long while it is cold, and it stays down.
bool Partner::weigh(Time now) {
  if (back_since_ == 0 || now - back_since_ >= settings_.slow_start || trouble_ != Fault::kNone)
    return !fallen_;
  load_.push_back(now);
  while (load_.front() < now - settings_.overload_window) load_.pop_front();
  const double budget = settings_.overload_factor * capacity_share(now) * capacity() *
                        static_cast<double>(settings_.overload_window) / 1e6;
  if (static_cast<double>(load_.size()) > budget + 2 * std::sqrt(budget) + 1) fallen_ = true;
  return !fallen_;
}

bool Partner::take_limit(Time now, Time& free_at) {
  if (settings_.limit == PartnerSettings::Limit::kRate) {
    tokens_ = std::min(settings_.limit_rate * kRateDepth,
                       tokens_ + settings_.limit_rate * static_cast<double>(now - filled_) / 1e6);
    filled_ = now;
    if (tokens_ >= 1) {
      tokens_ -= 1;
      return true;
    }
    const auto low = static_cast<double>(settings_.min_retry_after);
    const auto high = static_cast<double>(settings_.max_retry_after);
    const double until = (1 - tokens_) / settings_.limit_rate * 1e6;
    free_at = now + static_cast<Time>(std::max(until, low + (high - low) * chance_()));
    return false;
  }
  if (settings_.limit == PartnerSettings::Limit::kWindow) {
    const int64_t span = now / settings_.limit_window;
    if (span != span_) {
      span_ = span;
      taken_ = 0;
    }
    const int most = std::max(
        1, static_cast<int>(settings_.limit_rate * static_cast<double>(settings_.limit_window) / 1e6));
    if (taken_ < most) {
      ++taken_;
      return true;
    }
    free_at = (span + 1) * settings_.limit_window;
    return false;
  }
  return true;
}

PartnerResponse Partner::turn_away(Time now, Time wait) {
  PartnerResponse out;
  out.at = now;
  out.retry_after = wait;
  out.status = wait > 0 ? 429 : 503;
  return out;
}

double Partner::lognormal(double cv) {
  if (cv <= 0) return 1;
  const double variance = std::log(1 + cv * cv);
  const double normal = std::sqrt(-2 * std::log(1 - chance_())) * std::cos(2 * M_PI * chance_());
  return std::exp(std::sqrt(variance) * normal - variance / 2);
}

PartnerResponse Partner::handle_call(Time now) {
  PartnerResponse out;
  const bool stands = weigh(now);
  if (trouble_ == Fault::kSilent || trouble_ == Fault::kHang || trouble_ == Fault::kConnectionRefused) {
    out.kind = PartnerResponse::Kind::kNone;  // a call that crossed the connection's end
    return out;
  }
  if (!stands) return turn_away(now, 0);
  if (trouble_ == Fault::kUnavailable) {
    return turn_away(
        now, tells_wait_ || chance_() < settings_.retry_after_share ? std::max<Time>(0, until_ - now) : 0);
  }
  if (trouble_ == Fault::kServerError && chance_() < amount_) {
    out.status = 500;
    out.at = now + kMillisecond;
    return out;
  }
  Time free_at = 0;
  if (!take_limit(now, free_at)) {
    return turn_away(now, chance_() < settings_.retry_after_share ? free_at - now : 0);
  }
  const Time start = std::max(now, free_at_.top());
  if (start - now > settings_.max_queue_wait) return turn_away(now, 0);
  const double slow = trouble_ == Fault::kSlow ? amount_ : 1;
  const auto lasts = static_cast<Time>(static_cast<double>(settings_.mean_service_time) *
                                       lognormal(settings_.cv) * slow / capacity_share(now));
  free_at_.pop();
  free_at_.push(start + lasts);
  out.at = start + lasts;
  out.executes = true;
  out.executes_at = start;
  if (trouble_ == Fault::kReset && chance_() < amount_) out.kind = PartnerResponse::Kind::kReset;
  if (trouble_ == Fault::kMalformed && chance_() < amount_) out.kind = PartnerResponse::Kind::kMalformed;
  if (out.kind == PartnerResponse::Kind::kResponse && chance_() < settings_.error_rate) out.status = 500;
  return out;
}

bool Partner::execute(Time came, uint64_t key) {
  if (key == 0) return true;
  while (!key_order_.empty() && key_order_.front().first + settings_.key_window <= came) {
    keys_.erase(key_order_.front().second);
    key_order_.pop_front();
  }
  if (!keys_.try_emplace(key, came).second) return false;
  key_order_.emplace_back(came, key);
  return true;
}

bool Partner::probe(Time now) {
  const bool stands = weigh(now);
  return stands && trouble_ != Fault::kUnavailable &&
         !(trouble_ == Fault::kServerError && chance_() < amount_);
}

}  // namespace umberhoist::standins

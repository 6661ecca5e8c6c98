#include "standins/partner.h"

#include <algorithm>
#include <cmath>

namespace umberhoist::standins {
namespace {

constexpr double kRateDepth = 1.0;  // seconds of a plain rate that may come at once

bool is_outage(Trouble trouble, double amount) {
  return trouble == Trouble::kSilent || trouble == Trouble::kHang || trouble == Trouble::kShut ||
         trouble == Trouble::kRefuse ||
         ((trouble == Trouble::kFail || trouble == Trouble::kReset) && amount > 0.5);
}

}  // namespace

Partner::Partner(PartnerSettings settings, Chance chance)
    : settings_(settings), chance_(std::move(chance)), tokens_(settings.limit_rate * kRateDepth) {
  for (int i = 0; i < settings_.places; ++i) free_at_.push(0);
}

double Partner::capacity() const {
  const double served = settings_.places / (static_cast<double>(settings_.service) / 1e6);
  return settings_.limit == PartnerSettings::Limit::kNone ? served : std::min(served, settings_.limit_rate);
}

double Partner::warmth(Time now) const {
  if (back_since_ == 0 || now - back_since_ >= settings_.cold) return 1;
  return settings_.start_capacity + (1 - settings_.start_capacity) * static_cast<double>(now - back_since_) /
                                        static_cast<double>(settings_.cold);
}

void Partner::begin(Trouble trouble, Time, Time until, double amount, bool tells_wait) {
  trouble_ = trouble;
  until_ = until;
  amount_ = amount;
  tells_wait_ = tells_wait;
}

void Partner::end(Time now) {
  if (is_outage(trouble_, amount_)) {
    back_since_ = now;
    load_.clear();
  }
  trouble_ = Trouble::kNone;
}

// Too much for too long while it is cold, and it stays down.
bool Partner::weigh(Time now) {
  if (back_since_ == 0 || now - back_since_ >= settings_.cold || trouble_ != Trouble::kNone) return !fallen_;
  load_.push_back(now);
  while (load_.front() < now - settings_.fall_window) load_.pop_front();
  const double budget =
      settings_.fall_multiple * warmth(now) * capacity() * static_cast<double>(settings_.fall_window) / 1e6;
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
    const auto low = static_cast<double>(settings_.wait_low);
    const auto high = static_cast<double>(settings_.wait_high);
    const double until = (1 - tokens_) / settings_.limit_rate * 1e6;
    free_at = now + static_cast<Time>(std::max(until, low + (high - low) * chance_()));
    return false;
  }
  if (settings_.limit == PartnerSettings::Limit::kWindow) {
    const int64_t span = now / settings_.span;
    if (span != span_) {
      span_ = span;
      taken_ = 0;
    }
    const int most =
        std::max(1, static_cast<int>(settings_.limit_rate * static_cast<double>(settings_.span) / 1e6));
    if (taken_ < most) {
      ++taken_;
      return true;
    }
    free_at = (span + 1) * settings_.span;
    return false;
  }
  return true;
}

Verdict Partner::turn_away(Time now, Time wait) {
  Verdict out;
  out.at = now;
  out.wait = wait;
  out.status = wait > 0 ? 429 : 503;
  return out;
}

double Partner::lognormal(double cv) {
  if (cv <= 0) return 1;
  const double variance = std::log(1 + cv * cv);
  const double normal = std::sqrt(-2 * std::log(1 - chance_())) * std::cos(2 * M_PI * chance_());
  return std::exp(std::sqrt(variance) * normal - variance / 2);
}

Verdict Partner::call(Time now) {
  Verdict out;
  const bool stands = weigh(now);
  if (trouble_ == Trouble::kSilent || trouble_ == Trouble::kHang || trouble_ == Trouble::kRefuse) {
    out.what = Verdict::What::kNothing;  // a call that crossed the connection's end
    return out;
  }
  if (!stands) return turn_away(now, 0);
  if (trouble_ == Trouble::kShut) {
    return turn_away(now,
                     tells_wait_ || chance_() < settings_.tells_wait ? std::max<Time>(0, until_ - now) : 0);
  }
  if (trouble_ == Trouble::kFail && chance_() < amount_) {
    out.status = 500;
    out.at = now + kMillisecond;
    return out;
  }
  Time free_at = 0;
  if (!take_limit(now, free_at)) {
    return turn_away(now, chance_() < settings_.tells_wait ? free_at - now : 0);
  }
  const Time start = std::max(now, free_at_.top());
  if (start - now > settings_.queue) return turn_away(now, 0);
  const double slow = trouble_ == Trouble::kSlow ? amount_ : 1;
  const auto lasts = static_cast<Time>(static_cast<double>(settings_.service) * lognormal(settings_.cv) *
                                       slow / warmth(now));
  free_at_.pop();
  free_at_.push(start + lasts);
  out.at = start + lasts;
  out.runs = true;
  out.runs_at = start;
  if (trouble_ == Trouble::kReset && chance_() < amount_) out.what = Verdict::What::kReset;
  if (trouble_ == Trouble::kSpoil && chance_() < amount_) out.what = Verdict::What::kSpoilt;
  if (out.what == Verdict::What::kAnswer && chance_() < settings_.error_rate) out.status = 500;
  return out;
}

bool Partner::run(Time came, uint64_t key) {
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
  return stands && trouble_ != Trouble::kShut && !(trouble_ == Trouble::kFail && chance_() < amount_);
}

}  // namespace umberhoist::standins

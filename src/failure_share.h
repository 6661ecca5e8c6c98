// Share of the latest calls to a route that failed, as an exponentially weighted moving average.
#pragma once

namespace firspool {

class FailureShare {
 public:
  // Weight of the latest call.
  static constexpr double kWeight = 0.25;
  // From this share on most calls fail: a served one is no proof that the others will be.
  static constexpr double kMostCalls = 0.5;

  void on_served() { share_ -= kWeight * share_; }
  void on_failed() { share_ += kWeight * (1 - share_); }
  bool most_calls_fail() const { return share_ >= kMostCalls; }

 private:
  double share_ = 0;
};

}  // namespace firspool

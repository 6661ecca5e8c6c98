#include "limits/judge.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace umberhoist::limits {
namespace {

double mb(size_t bytes) { return static_cast<double>(bytes) / 1e6; }

std::string text(const char* form, auto... values) {
  char out[256];
  std::snprintf(out, sizeof out, form, values...);
  return out;
}

void raise(ResourceUsage& to, const ResourceUsage& by) {
  to.cpu = std::max(to.cpu, by.cpu);
  to.resident = std::max(to.resident, by.resident);
  to.peak_resident = std::max(to.peak_resident, by.peak_resident);
  to.temporary = std::max(to.temporary, by.temporary);
  to.disk = std::max(to.disk, by.disk);
  to.files = std::max(to.files, by.files);
  to.descriptors = std::max(to.descriptors, by.descriptors);
  to.sockets = std::max(to.sockets, by.sockets);
  to.processes = std::max(to.processes, by.processes);
}

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

std::optional<LimitViolation> LimitMonitor::add_sample(Time at, const ResourceUsage& usage) {
  samples_.push_back({at, usage});
  while (samples_.front().at < at - kHistoryLength) samples_.pop_front();
  raise(highest_, usage);
  raise(window_, usage);
  highest_memory_ = std::max(highest_memory_, usage.memory());
  const size_t now = usage.resident + usage.temporary;  // a peak of long ago is no growth
  if (seconds_.empty() || at - seconds_.back().at >= step_) {
    seconds_.push_back({at, now});
  } else {
    seconds_.back().memory = std::min(seconds_.back().memory, now);
  }
  if (seconds_.size() > 4096) {
    step_ *= 2;
    std::deque<Least> half;
    for (size_t i = 0; i + 1 < seconds_.size(); i += 2) {
      half.push_back({seconds_[i].at, std::min(seconds_[i].memory, seconds_[i + 1].memory)});
    }
    seconds_ = std::move(half);
  }
  if (told_) return {};
  LimitViolation out;
  if (limits_.memory > 0 && usage.memory() > limits_.memory) {
    out.limit = "memory";
    out.description = text(
        "%.1f MB of memory, %.1f over its limit of %.1f: %.1f resident now, %.1f at the most in one "
        "process, %d process(es), %.1f in temporary files",
        mb(usage.memory()), mb(usage.memory() - limits_.memory), mb(limits_.memory), mb(usage.resident),
        mb(usage.peak_resident), usage.processes, mb(usage.temporary));
  } else if (limits_.disk > 0 && usage.disk > limits_.disk) {
    out.limit = "disk";
    out.description = text(
        "%.3f MB in the state folder, %.3f over its limit of %.3f: %zu file(s), each in whole 512 "
        "bytes",
        mb(usage.disk), mb(usage.disk - limits_.disk), mb(limits_.disk), usage.files);
  } else if (limits_.descriptors > 0 && usage.descriptors > limits_.descriptors) {
    out.limit = "descriptors";
    out.description = text("%d descriptors in one process, %d over its limit of %d", usage.descriptors,
                           usage.descriptors - limits_.descriptors, limits_.descriptors);
  } else if (limits_.sockets > 0 && usage.sockets > limits_.sockets) {
    out.limit = "sockets";
    out.description = text("%d sockets over %d process(es), %d over the limit of %d", usage.sockets,
                           usage.processes, usage.sockets - limits_.sockets, limits_.sockets);
  } else {
    return {};
  }
  told_ = true;
  out.recent_samples = curve(at);
  return out;
}

void LimitMonitor::on_process_started(Time) {
  told_ = false;
  window_ = {};
  samples_.clear();
  seconds_.clear();  // a new process begins small: growth is judged within one life
  step_ = kSecond;
}

ResourceUsage LimitMonitor::take_interval_peaks() { return std::exchange(window_, ResourceUsage{}); }

// Evenly spaced samples, and among them always the last.
std::vector<std::string> LimitMonitor::curve(Time until) const {
  std::vector<std::string> out;
  const size_t every = std::max<size_t>(1, (samples_.size() + kMaxHistoryLines - 1) / kMaxHistoryLines);
  for (size_t i = (samples_.size() - 1) % every; i < samples_.size(); i += every) {
    const Sample& s = samples_[i];
    out.push_back(text(
        "%+8.0f ms  resident %.1f MB, peak %.1f, temporary %.1f, disk %.3f MB, %d descriptors, %d "
        "sockets, %d process(es)",
        static_cast<double>(s.at - until) / 1e3, mb(s.usage.resident), mb(s.usage.peak_resident),
        mb(s.usage.temporary), mb(s.usage.disk), s.usage.descriptors, s.usage.sockets, s.usage.processes));
  }
  return out;
}

MemoryGrowth LimitMonitor::growth() const {
  MemoryGrowth out;
  if (seconds_.size() < 2) return out;
  const Time end = seconds_.back().at;
  const Time half = (end - seconds_.front().at) / 2;
  if (half < kMinHalf) return out;
  out.evaluated = true;
  out.intervals = kGrowthIntervals;
  std::vector<double> least(kGrowthIntervals, -1);
  for (const Least& second : seconds_) {
    if (second.at < end - half) continue;
    const auto part = std::min<size_t>(
        kGrowthIntervals - 1, static_cast<size_t>((second.at - (end - half)) * kGrowthIntervals / half));
    const double value = mb(second.memory);
    least[part] = least[part] < 0 ? value : std::min(least[part], value);
  }
  std::vector<double> slopes;
  for (size_t i = 0; i < kGrowthIntervals; ++i) {
    for (size_t j = i + 1; j < kGrowthIntervals; ++j) {
      if (least[i] >= 0 && least[j] >= 0)
        slopes.push_back((least[j] - least[i]) / static_cast<double>(j - i));
    }
    if (i > 0 && least[i] > least[i - 1] && least[i - 1] >= 0) ++out.increases;
  }
  const double a_part = median(std::move(slopes));
  out.mb = a_part * (kGrowthIntervals - 1);
  out.mb_per_minute = a_part * kGrowthIntervals / (static_cast<double>(half) / 60e6);
  out.is_leak = out.increases >= kMinLeakIncreases &&
                out.mb > std::max(kMinLeakMb, kMinLeakShare * std::max(0.0, least[0]));
  return out;
}

bool CpuQuota::must_pause(Time now, Time cpu) {
  if (!is_limited()) return false;
  if (period_ == 0 || now >= period_ + kPeriod) {
    // What was used past the end of the last one is owed in this.
    const Time allowed = static_cast<Time>(cores_ * static_cast<double>(kPeriod));
    const Time owed =
        period_ == 0 ? 0 : std::max<Time>(0, cpu - at_start_ - allowed * ((now - period_) / kPeriod));
    period_ = period_ == 0 ? now : period_ + (now - period_) / kPeriod * kPeriod;
    at_start_ = cpu - owed;
  }
  return static_cast<double>(cpu - at_start_) >= cores_ * static_cast<double>(kPeriod);
}

}  // namespace umberhoist::limits

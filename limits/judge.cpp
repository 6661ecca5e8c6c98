#include "limits/judge.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace umberhoist::limits {
namespace {

double megabytes(size_t bytes) { return static_cast<double>(bytes) / 1e6; }

std::string format(const char* pattern, auto... values) {
  char out[256];
  std::snprintf(out, sizeof out, pattern, values...);
  return out;
}

void update_peaks(ResourceUsage& peaks, const ResourceUsage& usage) {
  peaks.cpu = std::max(peaks.cpu, usage.cpu);
  peaks.resident = std::max(peaks.resident, usage.resident);
  peaks.peak_resident = std::max(peaks.peak_resident, usage.peak_resident);
  peaks.temporary = std::max(peaks.temporary, usage.temporary);
  peaks.disk = std::max(peaks.disk, usage.disk);
  peaks.files = std::max(peaks.files, usage.files);
  peaks.descriptors = std::max(peaks.descriptors, usage.descriptors);
  peaks.sockets = std::max(peaks.sockets, usage.sockets);
  peaks.processes = std::max(peaks.processes, usage.processes);
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
  update_peaks(peak_usage_, usage);
  update_peaks(interval_peaks_, usage);
  peak_memory_ = std::max(peak_memory_, usage.memory());
  const size_t now = usage.resident + usage.temporary;  // without peaks: a past peak is not growth
  if (memory_minima_.empty() || at - memory_minima_.back().at >= minima_interval_) {
    memory_minima_.push_back({at, now});
  } else {
    memory_minima_.back().memory = std::min(memory_minima_.back().memory, now);
  }
  if (memory_minima_.size() > 4096) {
    minima_interval_ *= 2;
    std::deque<MemoryMinimum> merged;
    for (size_t i = 0; i + 1 < memory_minima_.size(); i += 2) {
      merged.push_back(
          {memory_minima_[i].at, std::min(memory_minima_[i].memory, memory_minima_[i + 1].memory)});
    }
    memory_minima_ = std::move(merged);
  }
  if (limit_reported_) return {};
  LimitViolation out;
  if (limits_.memory > 0 && usage.memory() > limits_.memory) {
    out.limit = "memory";
    out.description = format(
        "%.1f MB of memory, %.1f over its limit of %.1f: %.1f resident now, %.1f at the most in one "
        "process, %d process(es), %.1f in temporary files",
        megabytes(usage.memory()), megabytes(usage.memory() - limits_.memory), megabytes(limits_.memory),
        megabytes(usage.resident), megabytes(usage.peak_resident), usage.processes,
        megabytes(usage.temporary));
  } else if (limits_.disk > 0 && usage.disk > limits_.disk) {
    out.limit = "disk";
    out.description = format(
        "%.3f MB in the state folder, %.3f over its limit of %.3f: %zu file(s), each in whole 512 "
        "bytes",
        megabytes(usage.disk), megabytes(usage.disk - limits_.disk), megabytes(limits_.disk), usage.files);
  } else if (limits_.descriptors > 0 && usage.descriptors > limits_.descriptors) {
    out.limit = "descriptors";
    out.description = format("%d descriptors in one process, %d over its limit of %d", usage.descriptors,
                             usage.descriptors - limits_.descriptors, limits_.descriptors);
  } else if (limits_.sockets > 0 && usage.sockets > limits_.sockets) {
    out.limit = "sockets";
    out.description = format("%d sockets over %d process(es), %d over the limit of %d", usage.sockets,
                             usage.processes, usage.sockets - limits_.sockets, limits_.sockets);
  } else {
    return {};
  }
  limit_reported_ = true;
  out.recent_samples = history(at);
  return out;
}

void LimitMonitor::on_process_started(Time) {
  limit_reported_ = false;
  interval_peaks_ = {};
  samples_.clear();
  memory_minima_.clear();  // a new process starts small: growth is evaluated within one process only
  minima_interval_ = kSecond;
}

ResourceUsage LimitMonitor::take_interval_peaks() { return std::exchange(interval_peaks_, ResourceUsage{}); }

// Returns evenly spaced samples that always include the last one.
std::vector<std::string> LimitMonitor::history(Time until) const {
  std::vector<std::string> out;
  const size_t every = std::max<size_t>(1, (samples_.size() + kMaxHistoryLines - 1) / kMaxHistoryLines);
  for (size_t i = (samples_.size() - 1) % every; i < samples_.size(); i += every) {
    const Sample& s = samples_[i];
    out.push_back(
        format("%+8.0f ms  resident %.1f MB, peak %.1f, temporary %.1f, disk %.3f MB, %d descriptors, %d "
               "sockets, %d process(es)",
               static_cast<double>(s.at - until) / 1e3, megabytes(s.usage.resident),
               megabytes(s.usage.peak_resident), megabytes(s.usage.temporary), megabytes(s.usage.disk),
               s.usage.descriptors, s.usage.sockets, s.usage.processes));
  }
  return out;
}

MemoryGrowth LimitMonitor::growth() const {
  MemoryGrowth out;
  if (memory_minima_.size() < 2) return out;
  const Time end = memory_minima_.back().at;
  const Time half = (end - memory_minima_.front().at) / 2;
  if (half < kMinHalf) return out;
  out.evaluated = true;
  out.intervals = kGrowthIntervals;
  std::vector<double> minima(kGrowthIntervals, -1);
  for (const MemoryMinimum& entry : memory_minima_) {
    if (entry.at < end - half) continue;
    const auto interval = std::min<size_t>(
        kGrowthIntervals - 1, static_cast<size_t>((entry.at - (end - half)) * kGrowthIntervals / half));
    const double value = megabytes(entry.memory);
    minima[interval] = minima[interval] < 0 ? value : std::min(minima[interval], value);
  }
  std::vector<double> slopes;
  for (size_t i = 0; i < kGrowthIntervals; ++i) {
    for (size_t j = i + 1; j < kGrowthIntervals; ++j) {
      if (minima[i] >= 0 && minima[j] >= 0)
        slopes.push_back((minima[j] - minima[i]) / static_cast<double>(j - i));
    }
    if (i > 0 && minima[i] > minima[i - 1] && minima[i - 1] >= 0) ++out.increases;
  }
  const double mb_per_interval = median(std::move(slopes));
  out.mb = mb_per_interval * (kGrowthIntervals - 1);
  out.mb_per_minute = mb_per_interval * kGrowthIntervals / (static_cast<double>(half) / 60e6);
  out.is_leak = out.increases >= kMinLeakIncreases &&
                out.mb > std::max(kMinLeakMb, kMinLeakShare * std::max(0.0, minima[0]));
  return out;
}

bool CpuQuota::must_pause(Time now, Time cpu) {
  if (!is_limited()) return false;
  if (period_start_ == 0 || now >= period_start_ + kPeriod) {
    // CPU time used beyond the quota of the last period is charged to this one.
    const Time allowed = static_cast<Time>(cores_ * static_cast<double>(kPeriod));
    const Time overdraft =
        period_start_ == 0
            ? 0
            : std::max<Time>(0, cpu - cpu_at_period_start_ - allowed * ((now - period_start_) / kPeriod));
    period_start_ = period_start_ == 0 ? now : period_start_ + (now - period_start_) / kPeriod * kPeriod;
    cpu_at_period_start_ = cpu - overdraft;
  }
  return static_cast<double>(cpu - cpu_at_period_start_) >= cores_ * static_cast<double>(kPeriod);
}

}  // namespace umberhoist::limits

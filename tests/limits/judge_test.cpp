// Unit tests of LimitMonitor and CpuQuota with simulated time: each limit on both sides of its boundary,
// leaks against normal memory curves, and the CPU quota.
#include "limits/judge.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <random>

namespace umberhoist::limits {
namespace {

constexpr size_t kMb = 1'000'000;

ResourceUsage memory_usage(size_t resident, size_t peak = 0, size_t temporary = 0) {
  ResourceUsage out;
  out.resident = resident;
  out.peak_resident = peak;
  out.temporary = temporary;
  out.processes = 1;
  return out;
}

TEST(Limits, EachIsPassedOnlyOverIt) {
  const ResourceLimits limits{100 * kMb, 3 * kMb, 64, 50};
  struct Case {
    const char* limit;
    ResourceUsage within, over;
  };
  ResourceUsage disk, disk_over, descriptors, descriptors_over, sockets, sockets_over;
  disk.disk = 3 * kMb;
  disk_over.disk = 3 * kMb + kDiskBlockBytes;
  descriptors.descriptors = 64;
  descriptors_over.descriptors = 65;
  sockets.sockets = 50;
  sockets_over.sockets = 51;
  for (const Case& c :
       {Case{"memory", memory_usage(100 * kMb), memory_usage(100 * kMb + 1)},
        Case{"memory", memory_usage(60 * kMb, 0, 40 * kMb), memory_usage(60 * kMb, 0, 40 * kMb + 1)},
        Case{"memory", memory_usage(kMb, 100 * kMb), memory_usage(kMb, 100 * kMb + 1)},
        Case{"disk", disk, disk_over}, Case{"descriptors", descriptors, descriptors_over},
        Case{"sockets", sockets, sockets_over}}) {
    LimitMonitor monitor(limits);
    EXPECT_FALSE(monitor.add_sample(kSecond, c.within)) << c.limit;
    const auto exceeded = monitor.add_sample(2 * kSecond, c.over);
    ASSERT_TRUE(exceeded) << c.limit;
    EXPECT_EQ(exceeded->limit, c.limit);
    EXPECT_EQ(exceeded->recent_samples.size(), 2u)
        << "the sample before the violation, and the violating one";
    EXPECT_FALSE(monitor.add_sample(3 * kSecond, c.over)) << "reported once for each process";
    monitor.on_process_started(4 * kSecond);
    EXPECT_TRUE(monitor.add_sample(5 * kSecond, c.over));
  }
}

TEST(Limits, AFolderWrittenByManySmallFilesRoundsEachUp) {
  EXPECT_EQ(block_rounded(0), 0u);
  EXPECT_EQ(block_rounded(1), 512u);
  EXPECT_EQ(block_rounded(512), 512u);
  EXPECT_EQ(block_rounded(513), 1024u);
}

TEST(Limits, TheCurveIsShortAndEndsWithTheBreach) {
  LimitMonitor monitor({100 * kMb, 0, 0, 0});
  for (int i = 0; i < 1000; ++i) EXPECT_FALSE(monitor.add_sample(i * 20 * kMillisecond, memory_usage(kMb)));
  const auto exceeded = monitor.add_sample(1000 * 20 * kMillisecond, memory_usage(200 * kMb));
  ASSERT_TRUE(exceeded);
  EXPECT_LE(exceeded->recent_samples.size(), LimitMonitor::kMaxHistoryLines);
  EXPECT_NE(exceeded->recent_samples.back().find("resident 200.0 MB"), std::string::npos)
      << exceeded->recent_samples.back();
}

// Runs a monitor over `seconds`, sampling `memory` (MB as a function of time in seconds) ten times a second.
template <class Memory>
MemoryGrowth growth_of(double seconds, Memory memory) {
  LimitMonitor monitor({});
  for (int i = 0; i < static_cast<int>(seconds * 10); ++i) {
    monitor.add_sample(i * 100 * kMillisecond, memory_usage(static_cast<size_t>(memory(i / 10.0) * 1e6)));
  }
  return monitor.growth();
}

TEST(Growth, ALeakIsToldFromWhatIsNormal) {
  std::mt19937 random(7);
  std::normal_distribution<double> noise(0, 0.4);
  const auto n = [&] { return noise(random); };
  struct Shape {
    const char* name;
    bool leak;
    std::function<double(double)> memory;
  };
  for (const Shape& s : std::vector<Shape>{
           {"steady", false, [&](double) { return 20 + n(); }},
           {"a start that settles", false, [&](double t) { return 20 - 12 * std::exp(-t / 10) + n(); }},
           {"waves of traffic", false, [&](double t) { return 30 + 15 * std::sin(t / 9) + n(); }},
           {"a heap that grew once", false, [&](double t) { return (t < 80 ? 20 : 45) + n(); }},
           {"an outage's messages, given back", false,
            [&](double t) { return 20 + (t > 70 && t < 100 ? 3 * std::min(t - 70, 100 - t) : 0) + n(); }},
           {"a slow leak", true, [&](double t) { return 20 + 0.12 * t + n(); }},
           {"a leak under waves", true, [&](double t) { return 30 + 6 * std::sin(t) + 0.2 * t + n(); }},
           {"a leak in steps", true, [&](double t) { return 20 + 3 * std::floor(t / 7) + n(); }}}) {
    const MemoryGrowth growth = growth_of(120, s.memory);
    EXPECT_TRUE(growth.evaluated) << s.name;
    EXPECT_EQ(growth.is_leak, s.leak)
        << s.name << ": " << growth.mb << " MB, " << growth.increases << " increases";
  }
}

TEST(Growth, AShortRunSaysNothing) {
  EXPECT_FALSE(growth_of(59, [](double t) { return 20 + 5 * t; }).evaluated);
  EXPECT_TRUE(growth_of(61, [](double t) { return 20 + 5 * t; }).evaluated);
}

// The number of stored minima is bounded, so a long run is evaluated from merged ones.
TEST(Growth, ALongRunIsJudgedFromAsMuchAsAShortOne) {
  const MemoryGrowth growth = growth_of(20'000, [](double t) { return 20 + t / 600; });
  EXPECT_TRUE(growth.is_leak);
  EXPECT_NEAR(growth.mb_per_minute, 0.1, 0.01);
}

// A process that would use the whole core gets its share, also when it is checked only at long intervals.
TEST(Quota, HoldsAProcessToItsShareOfACore) {
  for (const Time interval : {Time{1000}, Time{5000}, Time{23'000}}) {
    CpuQuota quota(0.25);
    Time cpu = 0;
    bool paused = false;
    const Time end = 20 * kSecond;
    for (Time now = kSecond; now < kSecond + end; now += interval) {
      if (!paused) cpu += interval;
      paused = quota.must_pause(now, cpu);
    }
    EXPECT_NEAR(static_cast<double>(cpu) / static_cast<double>(end), 0.25, 0.02) << interval;
  }
  CpuQuota unlimited(0);
  EXPECT_FALSE(unlimited.is_limited());
  EXPECT_FALSE(unlimited.must_pause(kSecond, kSecond));
}

TEST(Quota, AnIdleTimeIsNotSavedUp) {
  CpuQuota quota(0.5);
  EXPECT_FALSE(quota.must_pause(kSecond, 0));
  EXPECT_FALSE(quota.must_pause(10 * kSecond, 0));
  EXPECT_TRUE(quota.must_pause(10 * kSecond + 60 * kMillisecond, 60 * kMillisecond));
}

}  // namespace
}  // namespace umberhoist::limits

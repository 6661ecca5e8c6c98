// The judge of a relay's limits, in made-up time: each limit on both sides of its boundary, growth against
// what is normal, and the quota of a core.
#include "limits/judge.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <random>

namespace umberhoist::limits {
namespace {

constexpr size_t kMb = 1'000'000;

ResourceUsage of_memory(size_t resident, size_t peak = 0, size_t temporary = 0) {
  ResourceUsage out;
  out.resident = resident;
  out.peak_resident = peak;
  out.temporary = temporary;
  out.processes = 1;
  return out;
}

TEST(Limits, EachIsPassedOnlyOverIt) {
  const ResourceLimits limits{100 * kMb, 3 * kMb, 64, 50};
  struct At {
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
  for (const At& at :
       {At{"memory", of_memory(100 * kMb), of_memory(100 * kMb + 1)},
        At{"memory", of_memory(60 * kMb, 0, 40 * kMb), of_memory(60 * kMb, 0, 40 * kMb + 1)},
        At{"memory", of_memory(kMb, 100 * kMb), of_memory(kMb, 100 * kMb + 1)}, At{"disk", disk, disk_over},
        At{"descriptors", descriptors, descriptors_over}, At{"sockets", sockets, sockets_over}}) {
    LimitMonitor judge(limits);
    EXPECT_FALSE(judge.add_sample(kSecond, at.within)) << at.limit;
    const auto exceeded = judge.add_sample(2 * kSecond, at.over);
    ASSERT_TRUE(exceeded) << at.limit;
    EXPECT_EQ(exceeded->limit, at.limit);
    EXPECT_EQ(exceeded->recent_samples.size(), 2u) << "what was measured before it, and itself";
    EXPECT_FALSE(judge.add_sample(3 * kSecond, at.over)) << "said once in a process's life";
    judge.on_process_started(4 * kSecond);
    EXPECT_TRUE(judge.add_sample(5 * kSecond, at.over));
  }
}

TEST(Limits, AFolderWrittenByManySmallFilesRoundsEachUp) {
  EXPECT_EQ(block_rounded(0), 0u);
  EXPECT_EQ(block_rounded(1), 512u);
  EXPECT_EQ(block_rounded(512), 512u);
  EXPECT_EQ(block_rounded(513), 1024u);
}

TEST(Limits, TheCurveIsShortAndEndsWithTheBreach) {
  LimitMonitor judge({100 * kMb, 0, 0, 0});
  for (int i = 0; i < 1000; ++i) EXPECT_FALSE(judge.add_sample(i * 20 * kMillisecond, of_memory(kMb)));
  const auto exceeded = judge.add_sample(1000 * 20 * kMillisecond, of_memory(200 * kMb));
  ASSERT_TRUE(exceeded);
  EXPECT_LE(exceeded->recent_samples.size(), LimitMonitor::kMaxHistoryLines);
  EXPECT_NE(exceeded->recent_samples.back().find("resident 200.0 MB"), std::string::npos)
      << exceeded->recent_samples.back();
}

// One run of a relay: memory at each tenth of a second as a function of the time in seconds.
template <class Memory>
MemoryGrowth grown(double seconds, Memory memory) {
  LimitMonitor judge({});
  for (int i = 0; i < static_cast<int>(seconds * 10); ++i) {
    judge.add_sample(i * 100 * kMillisecond, of_memory(static_cast<size_t>(memory(i / 10.0) * 1e6)));
  }
  return judge.growth();
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
    const MemoryGrowth growth = grown(120, s.memory);
    EXPECT_TRUE(growth.evaluated) << s.name;
    EXPECT_EQ(growth.is_leak, s.leak)
        << s.name << ": " << growth.mb << " MB, " << growth.increases << " rises";
  }
}

TEST(Growth, AShortRunSaysNothing) {
  EXPECT_FALSE(grown(59, [](double t) { return 20 + 5 * t; }).evaluated);
  EXPECT_TRUE(grown(61, [](double t) { return 20 + 5 * t; }).evaluated);
}

TEST(Growth, ALongRunIsJudgedFromAsMuchAsAShortOne) {  // what is kept of it is bounded
  const MemoryGrowth growth = grown(20'000, [](double t) { return 20 + t / 600; });
  EXPECT_TRUE(growth.is_leak);
  EXPECT_NEAR(growth.mb_per_minute, 0.1, 0.01);
}

// A process that would use the whole core gets its share, also where it is looked at late.
TEST(Quota, HoldsAProcessToItsShareOfACore) {
  for (const Time look : {Time{1000}, Time{5000}, Time{23'000}}) {
    CpuQuota quota(0.25);
    Time cpu = 0;
    bool stands = false;
    const Time end = 20 * kSecond;
    for (Time now = kSecond; now < kSecond + end; now += look) {
      if (!stands) cpu += look;
      stands = quota.must_pause(now, cpu);
    }
    EXPECT_NEAR(static_cast<double>(cpu) / static_cast<double>(end), 0.25, 0.02) << look;
  }
  CpuQuota unbound(0);
  EXPECT_FALSE(unbound.is_limited());
  EXPECT_FALSE(unbound.must_pause(kSecond, kSecond));
}

TEST(Quota, AnIdleTimeIsNotSavedUp) {
  CpuQuota quota(0.5);
  EXPECT_FALSE(quota.must_pause(kSecond, 0));
  EXPECT_FALSE(quota.must_pause(10 * kSecond, 0));
  EXPECT_TRUE(quota.must_pause(10 * kSecond + 60 * kMillisecond, 60 * kMillisecond));
}

}  // namespace
}  // namespace umberhoist::limits

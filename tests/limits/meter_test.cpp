// ResourceMeter against real child processes.
#include "limits/meter.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <thread>

namespace umberhoist::limits {
namespace {

constexpr size_t kMb = 1'000'000;

class Folder {
 public:
  Folder() {
    std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-meter-XXXXXX";
    path = ::mkdtemp(pattern.data());
    std::filesystem::create_directories(path / "state");
    std::filesystem::create_directories(path / "tmp");
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::filesystem::path path;
};

// Runs the helper program with `role` in a session of its own, and waits until it reports readiness with a
// byte on a pipe. The process is killed by the destructor.
class Child {
 public:
  Child(const std::string& role, const std::filesystem::path& state) {
    int ends[2];
    if (::pipe(ends) != 0) std::abort();
    pid_ = ::fork();
    if (pid_ == 0) {
      ::setsid();
      ::dup2(ends[1], 9);
      ::setenv("PROXY_STATE", state.c_str(), 1);
      ::execl(HELPER, HELPER, role.c_str(), nullptr);
      ::_exit(127);
    }
    ::close(ends[1]);
    char byte = 0;
    ready_ = ::read(ends[0], &byte, 1) == 1;
    ::close(ends[0]);
  }
  ~Child() {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  pid_t pid() const { return pid_; }
  bool ready() const { return ready_; }

 private:
  pid_t pid_ = -1;
  bool ready_ = false;
};

// Polls `condition` for up to 30 s; false if it never became true.
bool eventually(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

TEST(Meter, SeesARelayThatAllocates300MbAndFreesThemWithin50Ms) {
  const Folder folder;
  const Child child("burst", folder.path / "state");
  ASSERT_TRUE(child.ready());  // by now the memory has been freed again
  ResourceMeter meter(child.pid(), folder.path / "state", folder.path / "tmp");
  const ResourceUsage usage = meter.sample(steady_now());
  EXPECT_LT(usage.resident, 100 * kMb);
  EXPECT_GT(usage.memory(), 290 * kMb);
}

TEST(Meter, CountsTheMemoryOfARelaysHelperProcesses) {
  const Folder folder;
  adopt_orphans();
  const Child child("helpers", folder.path / "state");
  ASSERT_TRUE(child.ready());
  ResourceMeter meter(child.pid(), folder.path / "state", folder.path / "tmp");
  EXPECT_TRUE(eventually([&] {  // descriptors are counted less often than memory
    const ResourceUsage now = meter.sample(steady_now());
    return now.resident > 95 * kMb && now.sockets > 19;
  }));
  const ResourceUsage usage = meter.sample(steady_now());
  EXPECT_EQ(usage.processes, 3);
  EXPECT_LT(usage.resident, 160 * kMb) << "shared pages count once";
  meter.signal(SIGKILL);
  EXPECT_TRUE(eventually([&] { return meter.sample(steady_now()).resident == 0; }));
}

TEST(Meter, CountsAnAddressSpaceOfTwoProcessesOnce) {
  const Folder folder;
  adopt_orphans();
  const Child child("shared", folder.path / "state");
  ASSERT_TRUE(child.ready());
  ResourceMeter meter(child.pid(), folder.path / "state", folder.path / "tmp");
  EXPECT_TRUE(eventually([&] { return meter.sample(steady_now()).processes == 2; }));
  const ResourceUsage usage = meter.sample(steady_now());
  EXPECT_GT(usage.resident, 55 * kMb);
  EXPECT_LT(usage.resident, 110 * kMb);
  meter.signal(SIGKILL);
}

TEST(Meter, CountsFoldersAsThePlatformDoes) {
  const Folder folder;
  const Child child("nothing", folder.path / "state");
  std::filesystem::create_directories(folder.path / "state/deeper");
  for (int i = 0; i < 10; ++i) std::ofstream(folder.path / "state/deeper" / std::to_string(i)) << "x";
  std::ofstream(folder.path / "state/large") << std::string(1025, 'x');
  std::ofstream(folder.path / "tmp/spool") << std::string(100'000, 'x');
  ResourceMeter meter(child.pid(), folder.path / "state", folder.path / "tmp");
  const ResourceUsage usage = meter.sample(steady_now());
  EXPECT_EQ(usage.disk, 10u * 512 + 3 * 512);
  EXPECT_EQ(usage.files, 11u);
  EXPECT_GE(usage.temporary, 100'000u);
  EXPECT_GE(usage.memory(), usage.resident + 100'000u);
}

// Guards against a relay killed for a sum of sizes that its folder never had: a segment removed during the
// measurement was counted beside what was written in its place meanwhile.
TEST(Meter, CountsNoRemovedFileBesideWhatReplacesIt) {
  constexpr int kEmptyFiles = 200;  // they make each listing take a while
  constexpr size_t kFileBytes = 4096;
  constexpr int kSamples = 2000;
  const Folder folder;
  const Child child("nothing", folder.path / "state");
  for (int i = 0; i < kEmptyFiles; ++i) std::ofstream(folder.path / "state" / ("empty" + std::to_string(i)));
  const auto segment = [&](size_t number) { return folder.path / "state" / std::to_string(number); };
  std::ofstream(segment(0)) << std::string(kFileBytes, 'x');
  std::atomic<bool> stop = false;
  std::thread relay([&] {  // one segment at a time has contents
    for (size_t number = 0; !stop; ++number) {
      std::ofstream(segment(number + 1));
      std::this_thread::sleep_for(std::chrono::microseconds(100));
      std::filesystem::remove(segment(number));
      std::filesystem::resize_file(segment(number + 1), kFileBytes);
      std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
  });
  ResourceMeter meter(child.pid(), folder.path / "state", folder.path / "tmp");
  size_t most = 0;
  Time now = steady_now();
  for (int i = 0; i < kSamples; ++i) {
    now += kSecond;  // each sample measures the folder anew
    most = std::max(most, meter.sample(now).disk);
  }
  stop = true;
  relay.join();
  EXPECT_LE(most, kFileBytes);
  EXPECT_EQ(meter.sample(now + kSecond).disk, kFileBytes);
}

TEST(Meter, AProcessThatHasEndedCostsNothingAndBreaksNothing) {
  const Folder folder;
  const Child child("nothing", folder.path / "state");
  ResourceMeter meter(child.pid(), folder.path / "state", folder.path / "tmp");
  EXPECT_GT(meter.sample(steady_now()).resident, 0u);
  ::kill(child.pid(), SIGKILL);
  EXPECT_TRUE(eventually([&] { return meter.sample(steady_now()).resident == 0; }));
}

}  // namespace
}  // namespace umberhoist::limits

#include "faults.h"

#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <string>
#include <utility>

namespace planted {
namespace {

constexpr size_t kMb = 1'000'000;

void* allocate_touched(size_t bytes) {
  void* out =
      ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS | MAP_POPULATE, -1, 0);
  return out == MAP_FAILED ? nullptr : out;
}

// Starts a helper process in its own session, as the helper of a daemon would run.
template <class Function>
void start_helper(Function run) {
  if (::fork() != 0) return;
  ::setsid();
  run();
  for (;;) ::pause();
}

std::string environment_or_dot(const char* variable) {
  const char* value = std::getenv(variable);
  return value == nullptr ? "." : value;
}

void run_one_time_fault() {
  if (is("memory-burst")) {
    void* block = allocate_touched(300 * kMb);
    ::munmap(block, 300 * kMb);
  } else if (is("memory-helpers")) {
    for (int i = 0; i < 2; ++i) start_helper([] { allocate_touched(120 * kMb); });
  } else if (is("memory-temporary")) {
    std::ofstream file(environment_or_dot("TMPDIR") + "/spool", std::ios::binary);
    const std::string block(kMb, 'x');
    for (int i = 0; i < 200; ++i) file << block;
  } else if (is("disk-many-files")) {
    for (int i = 0; i < 1000; ++i)
      std::ofstream(environment_or_dot("PROXY_STATE") + "/n" + std::to_string(i)) << 'x';
  } else if (is("disk-spool")) {
    std::ofstream(environment_or_dot("PROXY_STATE") + "/spool", std::ios::binary) << std::string(kMb, 'x');
  } else if (is("sockets-in-helpers")) {
    for (int i = 0; i < 3; ++i) {
      start_helper([] {
        for (int k = 0; k < 120; ++k) (void)::socket(AF_INET, SOCK_STREAM, 0);
      });
    }
  }
}

}  // namespace

bool is(const char* name) {
  static const std::string fault = environment_or_dot("UMBERHOIST_FAULT");
  return fault == name;
}

void kill_if(const char* name) {
  if (is(name)) ::kill(::getpid(), SIGKILL);
}

void on_loop_turn() {
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point start = Clock::now();
  static bool done = false;
  if (Clock::now() - start < std::chrono::milliseconds(1500)) return;
  if (is("memory-held")) allocate_touched(4 * kMb);
  if (!std::exchange(done, true)) run_one_time_fault();
}

}  // namespace planted

// Helper program of the ResourceMeter tests. Uses resources as its first argument says ("burst", "helpers",
// "shared"), writes one byte to descriptor 9, and then waits to be killed.
#include <sched.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <string>

namespace {

constexpr size_t kMb = 1'000'000;

void allocate(size_t bytes, bool keep) {
  void* block =
      ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS | MAP_POPULATE, -1, 0);
  if (!keep) ::munmap(block, bytes);
}

[[noreturn]] void wait_forever() {
  for (;;) ::pause();
}

}  // namespace

int main(int argc, char** argv) {
  const std::string role = argc > 1 ? argv[1] : "";
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (role == "burst") allocate(300 * kMb, false);
  if (role == "helpers") {
    allocate(20 * kMb, true);  // shared by all three
    for (int i = 0; i < 2; ++i) {
      if (::fork() != 0) continue;
      ::setsid();
      for (int k = 0; k < 10; ++k) (void)::socket(AF_INET, SOCK_STREAM, 0);
      allocate(40 * kMb, true);
      wait_forever();
    }
  }
  if (role == "shared") {
    allocate(60 * kMb, true);
    static char stack[64 * 1024];
    const auto wait = [](void*) -> int { wait_forever(); };
    ::clone(wait, stack + sizeof stack, CLONE_VM | SIGCHLD, nullptr);
  }
  if (::write(9, "x", 1) != 1) return 1;
  wait_forever();
}

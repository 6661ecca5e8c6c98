// What a relay might do to its limits, for the meter's tests: does what its first word says, writes one byte
// to descriptor 9, and stays until it is killed.
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <string>

namespace {

constexpr size_t kMb = 1'000'000;

void touch(size_t bytes, bool keep) {
  void* block =
      ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS | MAP_POPULATE, -1, 0);
  if (!keep) ::munmap(block, bytes);
}

void wait_for_ever() {
  for (;;) ::pause();
}

}  // namespace

int main(int argc, char** argv) {
  const std::string role = argc > 1 ? argv[1] : "";
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (role == "burst") touch(300 * kMb, false);
  if (role == "helpers") {
    touch(20 * kMb, true);  // shared by all three
    for (int i = 0; i < 2; ++i) {
      if (::fork() != 0) continue;
      ::setsid();
      for (int k = 0; k < 10; ++k) (void)::socket(AF_INET, SOCK_STREAM, 0);
      touch(40 * kMb, true);
      wait_for_ever();
    }
  }
  if (::write(9, "x", 1) != 1) return 1;
  wait_for_ever();
}

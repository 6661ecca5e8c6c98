// Runs one Policy per simulated relay and speaks the simulator's wire format on standard input and output.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <map>
#include <string>
#include <vector>

#include "wire.h"

namespace firspool::wire {
namespace {

// Frames are read in pieces, so that a wrong length alone does not allocate memory.
constexpr size_t kReadChunkBytes = 1 << 20;

bool read_exactly(std::string& out, size_t count) {
  out.clear();
  while (out.size() < count) {
    const size_t old_size = out.size();
    const size_t wanted = std::min(kReadChunkBytes, count - old_size);
    out.resize(old_size + wanted);
    const size_t got = std::fread(out.data() + old_size, 1, wanted, stdin);
    if (got < wanted) {
      out.resize(old_size + got);
      return false;
    }
  }
  return true;
}

class Host {
 public:
  std::string handle(Time now, std::vector<InstanceEvent> events) {
    Encoder reply;
    std::map<int, std::vector<Event>> pending;  // ordered by instance number
    for (InstanceEvent& item : events) {
      if (std::holds_alternative<Kill>(item.event)) {
        policies_.erase(item.instance);
        pending.erase(item.instance);
      } else if (const auto* start = std::get_if<PowerOn>(&item.event)) {
        pending.erase(item.instance);
        run_and_report_panic(item.instance, reply, [&] {
          policies_.erase(item.instance);
          policies_.emplace(item.instance, Policy(parse_settings(start->settings), start->seed));
        });
        pending[item.instance];
      } else {
        pending[item.instance].push_back(std::move(std::get<Event>(item.event)));
      }
    }
    for (const auto& [instance, list] : pending) {
      const auto policy = policies_.find(instance);
      if (policy == policies_.end()) continue;
      std::vector<Action> actions;
      run_and_report_panic(instance, reply, [&] { policy->second.step(now, list, actions); });
      reply.add_actions(instance, actions);
    }
    return reply.frame();
  }

 private:
  template <typename F>
  static void run_and_report_panic(int instance, Encoder& reply, F&& function) {
    try {
      function();
    } catch (const std::exception& error) {
      reply.add_panic(instance, error.what());
    }
  }

  std::map<int, Policy> policies_;
};

int serve() {
  Decoder decoder;
  Host host;
  std::string bytes;
  while (true) {
    if (!read_exactly(bytes, kHeaderBytes)) {
      if (bytes.empty()) return 0;
      throw WireError("frame header is cut short at byte " + std::to_string(bytes.size()));
    }
    const Header header = decode_header(bytes);
    if (!read_exactly(bytes, header.length)) {
      throw WireError("frame is cut short at byte " + std::to_string(kHeaderBytes + bytes.size()));
    }
    const std::string reply = host.handle(header.clock, decoder.decode(header, bytes));
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0)
      return 1;
  }
}

}  // namespace
}  // namespace firspool::wire

int main() {
  try {
    return firspool::wire::serve();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "firspool_simhost: %s\n", error.what());
    return 2;
  }
}

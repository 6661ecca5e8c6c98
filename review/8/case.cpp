// While discovery is slow, a relay that starts never hears of a change: it goes on sending to a host that is
// gone, at whose address another partner's host stands by then. See claim.txt.
#include "../standins-2/play.h"
#include "../standins-2/settings.h"

namespace {

using namespace play;

constexpr int64_t kSlow = 1'500;                         // until discovery's first word on a watch
constexpr int64_t kLeavingAt = 8'000, kLeftAt = 12'000;  // of the host s-a
constexpr int64_t kReusedAt = 20'000;                    // its address, by a host of another partner
constexpr int64_t kUntil = 60'000;
constexpr int64_t kGap = 100;  // between two messages
// What discovery has to tell counts as told 6 s later at the latest; then there is 1 s of grace, and 50 ms
// more on sockets.
constexpr int64_t kToldBy = 6'000, kGrace = 1'050;

}  // namespace

int main() {
  std::srand(static_cast<unsigned>(wall_ms()));
  Record record;
  std::mutex mutex;
  std::map<std::string, int> cell_of;  // by id, as handed in
  std::atomic<int64_t> too_late_from{-1};
  std::atomic<int> late{0}, foreign{0};

  std::atomic<int> cell_at_a{1};
  const auto host = [&](const std::string& name, int own_cell) {
    return std::make_unique<Server>([&, name, own_cell](Line& line) {
      Request request;
      while (read_request(line, request)) {
        const std::string id = request.fields["x-call-id"];
        int wanted = -1;
        {
          const std::lock_guard lock(mutex);
          const auto found = cell_of.find(id);
          if (found != cell_of.end()) wanted = found->second;
        }
        const int cell = name == "A" ? cell_at_a.load() : own_cell;
        const bool is_late = name == "A" && wanted == 1 && too_late_from >= 0 && ms() > too_late_from;
        late += is_late;
        foreign += wanted != cell;
        record.line("address %s, cell %d: call %s for cell %d%s%s", name.c_str(), cell, id.c_str(), wanted,
                    is_late ? ", TOO LATE" : "", wanted != cell ? ", ANOTHER PARTNER'S" : "");
        sleep_ms(20);
        if (!line.write(wanted == cell ? kOk : "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"))
          return;
      }
    });
  };
  const auto a = host("A", 1), b = host("B", 1), c = host("C", 2);

  Agent agent(record);
  agent.set({{"s-a", a->port(), 1}, {"s-c", c->port(), 2}});
  if (with_trouble()) agent.answers_after_ms = kSlow;
  RelayProcess relay(record, "n0", free_port());
  Deployment deployment;
  deployment.classes =
      "[{\"name\":\"order-update\",\"semantics\":\"keyed\",\"key_scope\":\"all\",\"key_ttl_s\":15.0,"
      "\"target_s\":2.0,\"give_up_s\":16.0,\"worth\":2.0,\"late_worth\":0.3}]";
  relay.configure(agent.port(), settings_of(deployment), agent.whole_list());
  relay.start();

  Client client(relay.port());
  const int64_t begin = ms();
  int changes = 0;
  int64_t next = begin;
  for (int number = 0; ms() < begin + kUntil;) {
    if (changes == 0 && ms() >= begin + kLeavingAt) {
      ++changes;
      Member added{"s-b", b->port(), 1};
      added.up_since_ms = wall_ms();
      agent.set({{"s-a", a->port(), 1, "leaving"}, added});
      too_late_from = ms() + kToldBy + kGrace;
    }
    if (changes == 1 && ms() >= begin + kLeftAt) {
      ++changes;
      agent.set({{"s-a", a->port(), 1, "left"}});
      a->down();
    }
    if (changes == 2 && ms() >= begin + kReusedAt) {
      ++changes;
      cell_at_a = 2;
      a->up();
      Member reused{"s-d", a->port(), 2};
      reused.up_since_ms = wall_ms();
      agent.set({reused});
    }
    if (!relay.runs()) cannot_run("the relay ended by itself");
    if (ms() >= next) {
      next += kGap;
      const std::string id = hex_id(static_cast<uint64_t>(++number));
      const int cell = 1 + number % 2;
      {
        const std::lock_guard lock(mutex);
        cell_of[id] = cell;
      }
      const std::string answer =
          client.put(id, "c=order-update,d=16000,k=" + id + ",dest=" + std::to_string(cell), "message");
      record.line("client: %s for cell %d: %s", id.c_str(), cell, answer.c_str());
    }
    sleep_ms(5);
  }
  relay.end(SIGKILL);
  record.line(
      "%d calls came too late to the address of a host that had left, %d of them to another partner's host",
      late.load(), foreign.load());
  std::printf(
      "%d calls came too late to the address of a host that had left, %d of them to another partner's host\n",
      late.load(), foreign.load());
  std::fflush(stdout);
  ::_exit(late + foreign > 0 ? 1 : 0);
}

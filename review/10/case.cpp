// Where lists are asked for, a relay that starts waits up to ask_every_s before it asks for the first time,
// and sends to a host that has left meanwhile. See claim.txt.
#include "../standins-2/play.h"
#include "../standins-2/settings.h"

namespace {

using namespace play;

constexpr int kRelays = 12;
constexpr int kKilled = 8;  // two in three; the page kills seven in ten
constexpr int64_t kKillAt[] = {4'000, 34'000};
constexpr int64_t kChangeAfter = 300, kRestartAfter = 600;  // after the kill
constexpr int64_t kUntil = 58'000;
constexpr int64_t kGap = 25;  // between two messages: 40 a second over all relays
// What discovery has to tell counts as told 6 s later at the latest, here from when the relay is ready; then
// there is 1 s of grace, and 50 ms more on sockets.
constexpr int64_t kToldBy = 6'000, kGrace = 1'050;

}  // namespace

int main() {
  std::srand(static_cast<unsigned>(wall_ms()));
  Record record;
  std::mutex mutex;
  std::map<std::string, int> relay_of;  // by id, as handed in
  int64_t changed_at = -1;              // when discovery had that host 0 leaves
  std::vector<int64_t> ready_at(kRelays, 0);
  std::set<int> late_relays;
  int late = 0;

  // The hosts take turns: with each change the one that is listed leaves, and the next one comes.
  std::vector<std::unique_ptr<Server>> hosts;
  std::atomic<int> active{0};
  for (int number = 0; number < 3; ++number) {
    hosts.push_back(std::make_unique<Server>([&, number](Line& line) {
      Request request;
      while (read_request(line, request)) {
        const std::string id = request.fields["x-call-id"];
        {
          const std::lock_guard lock(mutex);
          const int relay = relay_of[id];
          const int64_t told = std::max(changed_at, ready_at[relay]) + kToldBy;
          const bool is_late = number < active && ms() > told + kGrace;
          record.line("host %d: call %s of relay %d%s", number, id.c_str(), relay,
                      is_late ? ", TOO LATE: it is leaving" : "");
          late += is_late;
          if (is_late) late_relays.insert(relay);
        }
        sleep_ms(10);
        if (!line.write(kOk)) return;
      }
    }));
  }
  const auto member = [&](int number, const std::string& phase) {
    return Member{"s-" + std::to_string(number), hosts[number]->port(), 1, phase};
  };

  Agent agent(record);
  agent.set({member(0, "active")});
  Deployment deployment;
  deployment.discovery = "ask";
  deployment.relays = kRelays;
  deployment.classes =
      "[{\"name\":\"order-update\",\"semantics\":\"keyed\",\"key_scope\":\"all\",\"key_ttl_s\":15.0,"
      "\"target_s\":2.0,\"give_up_s\":16.0,\"worth\":2.0,\"late_worth\":0.3}]";
  std::vector<std::unique_ptr<RelayProcess>> relays;
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<bool> up(kRelays, true);
  for (int number = 0; number < kRelays; ++number) {
    relays.push_back(std::make_unique<RelayProcess>(record, "n" + std::to_string(number), free_port()));
    relays.back()->configure(agent.port(), settings_of(deployment), agent.whole_list());
    relays.back()->start();
    clients.push_back(std::make_unique<Client>(relays.back()->port()));
  }
  sleep_ms(11'000);  // all have asked

  const int64_t begin = ms();
  int64_t next = begin;
  int kills = 0, number = 0;
  int64_t change_at = -1, restart_at = -1;
  std::string known;
  while (ms() < begin + kUntil) {
    if (kills < 2 && ms() >= begin + kKillAt[kills]) {
      ++kills;
      change_at = ms() + kChangeAfter;
      restart_at = ms() + kRestartAfter;
      if (!with_trouble()) restart_at = -1;
      for (int i = 0; with_trouble() && i < kKilled; ++i) {
        up[i] = false;
        relays[i]->end(SIGKILL);
      }
    }
    if (change_at >= 0 && ms() >= change_at) {
      change_at = -1;
      const int leaving = active;
      known = agent.whole_list();
      agent.set({member(leaving, "leaving"), member(leaving + 1, "active")});
      const std::lock_guard lock(mutex);
      active = leaving + 1;
      changed_at = ms();
    }
    if (restart_at >= 0 && ms() >= restart_at) {
      restart_at = -1;
      for (int i = 0; i < kKilled; ++i) {
        relays[i]->configure(agent.port(), settings_of(deployment), known);  // with a new seed
        relays[i]->start();
        up[i] = true;
        const std::lock_guard lock(mutex);
        ready_at[i] = ms();
      }
    }
    if (ms() >= next) {
      next += kGap;
      const int relay = ++number % kRelays;
      if (!up[relay]) continue;
      if (!relays[relay]->runs()) cannot_run("a relay ended by itself");
      const std::string id = hex_id(static_cast<uint64_t>(number));
      {
        const std::lock_guard lock(mutex);
        relay_of[id] = relay;
      }
      const std::string answer =
          clients[relay]->put(id, "c=order-update,d=16000,k=" + id + ",dest=1", "message");
      record.line("client: %s to relay %d: %s", id.c_str(), relay, answer.c_str());
    }
    sleep_ms(2);
  }
  for (const auto& relay : relays) relay->end(SIGKILL);
  const std::lock_guard lock(mutex);
  record.line("%d calls too late to a host that was leaving, from %zu relays", late, late_relays.size());
  std::printf("%d calls too late to a host that was leaving, from %zu relays\n", late, late_relays.size());
  std::fflush(stdout);
  ::_exit(late > 0 ? 1 : 0);
}

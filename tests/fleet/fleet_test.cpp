#include <signal.h>

#include <fstream>
#include <sstream>

#include "register/machine.h"
#include "shards/plan.h"
#include "tests/fleet/processes.h"

namespace umberhoist::testing {
namespace {

using firspool::testing::config_json;
using firspool::testing::FakeDiscovery;
using firspool::testing::FakeHost;
using firspool::testing::member_json;
using register_pb::Ask;

class Fleet : public ::testing::Test {
 public:
  void start_fleet(size_t count, size_t voters = 3) {
    RelayProcesses::Options options;
    options.count = count;
    options.voters = voters;
    options.config = config_json(discovery.address(), {member_json("s-1", host.address(), 7)});
    relays = std::make_unique<RelayProcesses>(options);
    relays->start_all();
    ASSERT_TRUE(relays->recovers()) << relays->describe();
  }
  void TearDown() override {
    if (!relays) return;
    for (const std::string& violation : relays->violations()) ADD_FAILURE() << violation;
    if (HasFailure()) std::fprintf(stderr, "%s", relays->describe().c_str());
  }
  shards::Map map(size_t relay) {
    const auto parsed = shards::parse_map(relays->request(relay, Ask::kMap).text);
    return std::get<shards::Map>(parsed);
  }

  FakeHost host;
  FakeDiscovery discovery;
  std::unique_ptr<RelayProcesses> relays;
};

TEST_F(Fleet, ThreeProcessesAgreeAndEveryKeyHasOneOwner) { start_fleet(3); }

TEST_F(Fleet, NineProcessesOfWhichThreeVote) { start_fleet(9); }

// ---- Crashes ----

TEST_F(Fleet, AllKilledInOneInstantComeBackAsOne) {
  start_fleet(5);
  const auto before = map(0);
  relays->kill_all();
  relays->start_all();
  ASSERT_TRUE(relays->recovers());
  EXPECT_EQ(map(4), before);  // no member was lost, so no key has moved
}

TEST_F(Fleet, KilledAgainTwoSecondsIntoTheReturn) {
  start_fleet(5);
  relays->kill_all();
  relays->start_all();
  std::this_thread::sleep_for(std::chrono::seconds(2));  // the second kill comes during the recovery
  relays->kill_all();
  relays->start_all();
  EXPECT_TRUE(relays->recovers());
}

shards::Map move_some_keys(shards::Map map) {
  ++map.epoch;
  map.ranges[0].last -= uint64_t{1} << 60;
  map.ranges[1].first = map.ranges[0].last + 1;
  return map;
}

TEST_F(Fleet, AllKilledWhileAMapIsPrepared) {
  start_fleet(5);
  relays->network().isolate(4, 5);  // it cannot acknowledge the map, so the commit waits
  std::thread operators(
      [&, next = move_some_keys(map(0))] { relays->request(0, Ask::kProposeMap, shards::to_toml(next)); });
  const bool prepared = relays->until([](const auto& all) {
    return std::any_of(all.begin(), all.end(), [](const Status& s) { return s.fields.contains("proposed"); });
  });
  relays->kill_all();
  operators.join();
  ASSERT_TRUE(prepared);
  relays->network().heal();
  relays->start_all();
  EXPECT_TRUE(relays->recovers(2));
}

TEST_F(Fleet, APowerLossThatLosesWhatWasNotSynced) {
  RelayProcesses::Options options;
  options.count = 3;
  options.program = UMBERHOIST_FORGETFUL;
  options.config = config_json(discovery.address(), {member_json("s-1", host.address(), 7)});
  options.config["durability"] = "group";
  relays = std::make_unique<RelayProcesses>(options);
  relays->start_all();
  ASSERT_TRUE(relays->recovers());
  for (uint64_t epoch = 2; epoch <= 3; ++epoch) {
    const auto answer = relays->request(epoch % 3, Ask::kProposeMap, shards::to_toml(move_some_keys(map(0))));
    ASSERT_TRUE(answer.succeeded) << answer.text;
    relays->kill_all();  // right after the proposal was reported as done
    relays->start_all();
    ASSERT_TRUE(relays->recovers(epoch)) << "a committed map was lost";
  }
  for (size_t i = 0; i < 3; ++i) EXPECT_EQ(relays->lines_with(i, "newcomer"), 0);
}

// ---- Folders ----

TEST_F(Fleet, AFolderGone) {
  start_fleet(3);
  relays->kill(1);
  std::filesystem::remove_all(relays->register_folder(1));
  relays->start_all();
  EXPECT_TRUE(relays->wait_for(1, "newcomer"));
  ASSERT_TRUE(relays->recovers());
  // It counts as a voter again: with another voter down, the remaining two agree.
  ASSERT_TRUE(relays->until(
      [](const auto& all) { return all[1].fields.contains("role") && all[1].fields.at("role") == "voter"; }));
  relays->kill(2);
  EXPECT_TRUE(relays->recovers(2));
}

TEST_F(Fleet, AFolderOfLastWeek) {
  start_fleet(3);
  const auto kept = relays->folder(1) / "last-week";
  relays->kill(1);
  std::filesystem::copy(relays->register_folder(1), kept);
  relays->start_all();
  ASSERT_TRUE(relays->recovers());
  ASSERT_TRUE(relays->request(0, Ask::kProposeMap, shards::to_toml(move_some_keys(map(0)))).succeeded);
  ASSERT_TRUE(relays->recovers(2));
  relays->kill(1);
  std::filesystem::remove_all(relays->register_folder(1));
  std::filesystem::rename(kept, relays->register_folder(1));
  relays->start_all();
  EXPECT_TRUE(relays->wait_for(1, "older than what it promised"));
  EXPECT_TRUE(relays->recovers(2));
}

TEST_F(Fleet, TwoFoldersSwapped) {
  start_fleet(5, 5);
  relays->kill(1);
  relays->kill(2);
  const auto aside = relays->folder(1) / "aside";
  std::filesystem::rename(relays->register_folder(1), aside);
  std::filesystem::rename(relays->register_folder(2), relays->register_folder(1));
  std::filesystem::rename(aside, relays->register_folder(2));
  relays->start_all();
  EXPECT_TRUE(relays->wait_for(1, "another relay's"));
  EXPECT_TRUE(relays->wait_for(2, "another relay's"));
  EXPECT_TRUE(relays->recovers());
}

TEST_F(Fleet, OneByteFlippedInTheLog) {
  start_fleet(3);
  relays->kill(1);
  for (const auto& entry : std::filesystem::directory_iterator(relays->register_folder(1))) {
    if (!entry.path().filename().string().starts_with("log-") || entry.file_size() < 40) continue;
    std::fstream file(entry.path(), std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(30);
    const char byte = static_cast<char>(file.get() ^ 1);
    file.seekp(30);
    file.put(byte);
  }
  relays->start_all();
  EXPECT_TRUE(relays->wait_for(1, "is damaged at byte"));
  EXPECT_TRUE(relays->recovers());
}

TEST_F(Fleet, MostFoldersLostTakesAnOperatorsWordOnOneSurvivor) {
  start_fleet(4);
  relays->kill_all();
  std::filesystem::remove_all(relays->register_folder(1));
  std::filesystem::remove_all(relays->register_folder(2));
  relays->start_all();
  ASSERT_TRUE(relays->wait_for(1, "newcomer"));
  const auto other = relays->request(1, Ask::kRestore, "n2");
  EXPECT_FALSE(other.succeeded) << other.text;
  const auto wrong = relays->request(0, Ask::kRestore, "n3");
  EXPECT_FALSE(wrong.succeeded) << wrong.text;  // the request must repeat the name of the relay
  const auto answer = relays->request(0, Ask::kRestore, "n1");
  ASSERT_TRUE(answer.succeeded) << answer.text;
  ASSERT_TRUE(relays->recovers());
  EXPECT_TRUE(relays->until([](const auto& all) {
    return std::all_of(all.begin(), all.end(), [](const Status& s) { return s.number("generation") == 2; });
  }));
}

// ---- Broken links and stopped processes ----

TEST_F(Fleet, LinksCutOneWayInGroupsFlappingAndSlow) {
  start_fleet(5);
  Network& network = relays->network();
  LinkFault cut;
  cut.cut = true;
  network.set(0, 1, cut);  // one way
  relays->until([](const auto&) { return false; }, 1500);
  network.heal();
  for (size_t i = 0; i < 3; ++i) network.isolate(i, 5);  // no two voters are connected
  EXPECT_TRUE(relays->until([](const auto& all) {
    return std::all_of(all.begin(), all.end(), [](const Status& s) { return s.owns.empty() && s.received; });
  })) << "a lease outlived its leader";
  network.heal();
  ASSERT_TRUE(relays->recovers());
  for (int i = 0; i < 4; ++i) {
    network.isolate(0, 5, i % 2 == 0);
    relays->until([](const auto&) { return false; }, 1000);
  }
  network.heal();
  LinkFault slow;
  slow.delay_ms = 900;  // longer than the election time-out
  for (size_t a = 0; a < 5; ++a) {
    for (size_t b = 0; b < 5; ++b) network.set(a, b, slow);
  }
  relays->until([](const auto&) { return false; }, 4000);
  network.heal();
  EXPECT_TRUE(relays->recovers());
}

TEST_F(Fleet, FramesDoubledReorderedAndLost) {
  start_fleet(4);
  LinkFault rough;
  rough.delay_ms = 1;
  rough.jitter_ms = 120;
  rough.loss_probability = 0.1;
  rough.duplicate_probability = 0.3;
  for (size_t a = 0; a < 4; ++a) {
    for (size_t b = 0; b < 4; ++b) relays->network().set(a, b, rough);
  }
  const auto answer = relays->request(3, Ask::kProposeMap, shards::to_toml(move_some_keys(map(3))));
  EXPECT_TRUE(answer.succeeded) << answer.text;
  relays->network().heal();
  EXPECT_TRUE(relays->recovers(2));
}

TEST_F(Fleet, ARelayStoppedPastItsLeaseAndContinued) {
  start_fleet(4);
  relays->signal(3, SIGSTOP);
  ASSERT_TRUE(relays->until([](const auto& all) {
    return RelayProcesses::has_complete_map({all.begin(), all.begin() + 3}, 2);
  }));
  relays->signal(3, SIGCONT);
  // Its first status is checked against those that the others reported while it was stopped.
  ASSERT_TRUE(relays->until([](const auto& all) { return all[3].received; }));
  EXPECT_TRUE(relays->recovers(2));
}

// ---- Maps, windows, versions ----

TEST_F(Fleet, TwoOperatorsProposeDifferentMapsForOneEpoch) {
  start_fleet(3);
  const auto one = move_some_keys(map(0));
  auto other = one;
  other.ranges[0].last -= 7;
  other.ranges[1].first -= 7;
  ctl::FleetReply first, second;
  std::thread operators([&] { first = relays->request(0, Ask::kProposeMap, shards::to_toml(one)); });
  second = relays->request(2, Ask::kProposeMap, shards::to_toml(other));
  operators.join();
  EXPECT_EQ(first.succeeded + second.succeeded, 1) << first.text << "\n" << second.text;
  ASSERT_TRUE(relays->recovers(2));
  EXPECT_EQ(map(1), first.succeeded ? one : other);
}

std::string window(int64_t from_s, int64_t to_s) {
  const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  return "approvers = [\"ann\", \"bo\"]\n[[window]]\nid = \"sale\"\nstart = " +
         freeze::format_instant(now + from_s * 1'000'000) +
         "\nend = " + freeze::format_instant(now + to_s * 1'000'000) + "\ndeclared_by = \"trading\"\n";
}

TEST_F(Fleet, InsideAWindowNothingChangesButFactsAndWhatTwoApproversStandFor) {
  start_fleet(4);
  const auto declared = relays->request(3, Ask::kDeclare, window(-10, 3600));
  ASSERT_TRUE(declared.succeeded) << declared.text;
  // A reload by SIGHUP.
  auto config = relays->configuration(2);
  config["settings"]["bounds"]["open_cap"] = 21;
  relays->configure(2, config);
  relays->signal(2, SIGHUP);
  ASSERT_TRUE(relays->wait_for(2, "configuration stays as it was: reload is closed by window 'sale'"));
  // A map.
  const auto next = move_some_keys(map(0));
  const auto refused = relays->request(1, Ask::kProposeMap, shards::to_toml(next));
  EXPECT_FALSE(refused.succeeded);
  EXPECT_NE(refused.text.find("closed by window 'sale' until"), std::string::npos) << refused.text;
  // The calendar itself.
  EXPECT_FALSE(relays->request(0, Ask::kDeclare, "approvers = [\"ann\", \"bo\"]\n").succeeded);
  // One name is not enough, two are.
  ASSERT_TRUE(relays->approve_exception(0, reg::digest_of(next), "ann", 5).succeeded);
  EXPECT_FALSE(relays->request(1, Ask::kProposeMap, shards::to_toml(next)).succeeded);
  ASSERT_TRUE(relays->approve_exception(2, reg::digest_of(next), "bo", 5).succeeded);
  EXPECT_TRUE(relays->request(1, Ask::kProposeMap, shards::to_toml(next)).succeeded);
  ASSERT_TRUE(relays->recovers(2));
  // The repair of a lost owner's keys is not subject to the window.
  relays->kill(3);
  EXPECT_TRUE(relays->recovers(3));
}

TEST_F(Fleet, AVersionReachesAllAndARelayThatWasAwayComesBackToIt) {
  start_fleet(4);
  relays->kill(3);
  auto config = relays->configuration(0);
  config["settings"]["bounds"]["open_cap"] = 21;
  relays->configure(0, config);
  relays->signal(0, SIGHUP);
  for (size_t i = 0; i < 3; ++i) ASSERT_TRUE(relays->wait_for(i, "runs version 1")) << i;
  ASSERT_TRUE(
      relays->until([](const auto& all) { return all[0].received && all[0].fields.at("version") == "1"; }));
  relays->start(3);  // its own file has other settings
  EXPECT_TRUE(relays->wait_for(3, "runs version 1"));
}

TEST_F(Fleet, AStartRunsTheRegistersVersionAndNotItsOwnFiles) {
  start_fleet(3);
  auto config = relays->configuration(0);
  config["settings"]["bounds"]["open_cap"] = 2;
  relays->configure(0, config);
  relays->signal(0, SIGHUP);
  ASSERT_TRUE(relays->wait_for(1, "runs version 1"));
  ASSERT_TRUE(
      relays->until([](const auto& all) { return all[1].received && all[1].fields.at("runs") == "1"; }));
  relays->kill(1);
  relays->start_all();
  auto client = relays->client(1);  // its own file has a limit of twenty
  for (int m = 0; m < 3; ++m) {
    client.send(firspool::testing::put_command("0000000000000b0" + std::to_string(m),
                                               "c=keyed,d=60000,k=5c0f6e1a2b3d4c59,dest=7"));
    const std::string answer = client.read_line();
    EXPECT_EQ(answer.substr(0, 3), m < 2 ? "+OK" : "-BU") << m;
  }
}

TEST_F(Fleet, WithoutAQuorumChangesAreClosedAndMessagesServed) {
  start_fleet(3);
  relays->kill(1);
  relays->kill(2);
  ASSERT_TRUE(
      relays->until([](const auto& all) { return all[0].received && all[0].fields.at("leader") == "none"; }));
  const auto refused = relays->request(0, Ask::kDeclare, window(60, 120));
  EXPECT_FALSE(refused.succeeded);
  EXPECT_NE(refused.text.find("changes are closed"), std::string::npos) << refused.text;
  auto client = relays->client(0);
  client.send(
      firspool::testing::put_command("00000000000000a1", "c=keyed,d=60000,k=5c0f6e1a2b3d4c59,dest=7"));
  EXPECT_EQ(client.read_line(), "+OK");
  EXPECT_EQ(host.next_request().headers.at("x-call-id"), "00000000000000a1");
  host.respond("200");
}

// ---- Delivery ----

TEST_F(Fleet, WhatWasTakenOnIsDeliveredOnceAfterAllWereKilled) {
  start_fleet(3);
  // The host does not answer, so that all messages are unfinished at the kill.
  std::set<std::string> owed;
  for (size_t i = 0; i < 3; ++i) {
    auto client = relays->client(i);
    for (int m = 0; m < 3; ++m) {
      const std::string id = "00000000000000" + std::to_string(i) + std::to_string(m);
      client.send(firspool::testing::put_command(
          id, "c=keyed,d=60000,k=5c0f6e1a2b3d4c5" + std::to_string(m) + ",dest=7"));
      ASSERT_EQ(client.read_line(), "+OK");
      owed.insert(id);
    }
  }
  relays->kill_all();
  host.close();
  relays->start_all();
  std::map<std::string, int> served;
  while (served.size() < owed.size()) {
    const auto call = host.next_request();
    if (!call.headers.contains("x-call-id")) break;  // the deadline
    ++served[call.headers.at("x-call-id")];
    host.respond("200", "Connection: close\r\n");
    host.close();
  }
  for (const auto& id : owed) EXPECT_GE(served[id], 1) << id;
  for (size_t i = 0; i < 3; ++i) EXPECT_TRUE(relays->wait_for(i, "recovery: over"));
}

// During an outage of a destination only its owner sends trial calls, and its report ends the outage for all
// relays.
TEST_F(Fleet, OneRelayScoutsForAllAndItsWordIsTheOthers) {
  start_fleet(3);
  const shards::Map held = map(0);
  const std::string owner = shards::find_range(held, shards::key_of(7))->owner;
  // New messages all the time, because the retry budget is soon used up.
  std::atomic<bool> over = false;
  std::thread clients([&] {
    std::vector<firspool::testing::Socket> lines;
    for (size_t i = 0; i < 3; ++i) lines.push_back(relays->client(i));
    for (int m = 0; !over; ++m) {
      for (size_t i = 0; i < 3; ++i) {
        const std::string id = RelayProcesses::name(i) + "x" + std::to_string(m);
        lines[i].send(firspool::testing::put_command(id, "c=safe,d=8000,k=5c0f6e1a2b3d4c59,dest=7"));
        lines[i].read_line();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(200));  // paces the traffic
    }
  });
  const auto sender = [](const firspool::testing::Request& call) {
    return call.headers.at("x-call-id").substr(0, 2);
  };
  // All calls fail until twelve in a row have come from the owner.
  int in_a_row = 0;
  for (int calls = 0; in_a_row < 12 && calls < 400; ++calls) {
    in_a_row = sender(host.next_request()) == owner ? in_a_row + 1 : 0;
    host.reset();
  }
  EXPECT_EQ(in_a_row, 12);
  // Then the host answers: the other relays send once they have the owner's report.
  for (std::set<std::string> seen; seen.size() < 3;) {
    seen.insert(sender(host.next_request()));
    host.respond("200", "Connection: close\r\n");
    host.close();
  }
  over = true;
  clients.join();
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(RelayProcesses::name(i) == owner || relays->wait_for(i, "as another relay saw"));
  }
}

// ---- A relay without a fleet ----

std::string listeners(pid_t pid) {
  std::string out;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd")) {
    std::error_code gone;
    const auto target = std::filesystem::read_symlink(entry.path(), gone).string();
    if (target.starts_with("socket:")) out += target + "\n";
  }
  return out;
}

size_t listening_sockets(pid_t pid) {
  const std::string own = listeners(pid);
  std::ifstream table("/proc/" + std::to_string(pid) + "/net/tcp");
  size_t count = 0;
  for (std::string line; std::getline(table, line);) {
    std::istringstream in(line);
    std::string slot, local, remote, state, queues, timer, retransmit, user, timeout, inode;
    in >> slot >> local >> remote >> state >> queues >> timer >> retransmit >> user >> timeout >> inode;
    if (state == "0A" && own.find("[" + inode + "]") != own.npos) ++count;
  }
  return count;
}

TEST_F(Fleet, ARelayWithoutFleetListensOpensAndRunsNothingNewBesideOneThatHasIt) {
  start_fleet(3);
  firspool::testing::RelayProcess alone(
      config_json(discovery.address(), {member_json("s-1", host.address(), 7)}));
  alone.start();
  EXPECT_EQ(listening_sockets(alone.pid()), 1U);
  size_t threads = 0;
  for ([[maybe_unused]] const auto& task :
       std::filesystem::directory_iterator("/proc/" + std::to_string(alone.pid()) + "/task")) {
    ++threads;
  }
  EXPECT_EQ(threads, 1U);
  auto client = alone.client();
  client.send(
      firspool::testing::put_command("00000000000000a1", "c=keyed,d=60000,k=5c0f6e1a2b3d4c59,dest=7"));
  EXPECT_EQ(client.read_line(), "+OK");
  EXPECT_EQ(host.next_request().headers.at("x-call-id"), "00000000000000a1");
  host.respond("200");
}

}  // namespace
}  // namespace umberhoist::testing

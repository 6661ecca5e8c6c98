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
  void begin(size_t count, size_t voters = 3) {
    Relays::Options options;
    options.count = count;
    options.voters = voters;
    options.config = config_json(discovery.address(), {member_json("s-1", host.address(), 7)});
    relays = std::make_unique<Relays>(options);
    relays->start_all();
    ASSERT_TRUE(relays->comes_back_whole()) << relays->describe();
  }
  void TearDown() override {
    if (!relays) return;
    for (const std::string& breach : relays->breaches()) ADD_FAILURE() << breach;
    if (HasFailure()) std::fprintf(stderr, "%s", relays->describe().c_str());
  }
  shards::Map map(size_t relay) {
    const auto parsed = shards::parse_map(relays->ask(relay, Ask::kMap).text);
    return std::get<shards::Map>(parsed);
  }

  FakeHost host;
  FakeDiscovery discovery;
  std::unique_ptr<Relays> relays;
};

TEST_F(Fleet, ThreeProcessesAgreeAndEveryKeyHasOneOwner) { begin(3); }

TEST_F(Fleet, NineProcessesOfWhichThreeVote) { begin(9); }

// ---- Power ----

TEST_F(Fleet, AllKilledInOneInstantComeBackAsOne) {
  begin(5);
  const auto before = map(0);
  relays->kill_all();
  relays->start_all();
  ASSERT_TRUE(relays->comes_back_whole());
  EXPECT_EQ(map(4), before);  // nobody was lost: no key has moved
}

TEST_F(Fleet, KilledAgainTwoSecondsIntoTheReturn) {
  begin(5);
  relays->kill_all();
  relays->start_all();
  std::this_thread::sleep_for(std::chrono::seconds(2));  // the case itself
  relays->kill_all();
  relays->start_all();
  EXPECT_TRUE(relays->comes_back_whole());
}

shards::Map moved_a_little(shards::Map map) {
  ++map.epoch;
  map.ranges[0].last -= uint64_t{1} << 60;
  map.ranges[1].first = map.ranges[0].last + 1;
  return map;
}

TEST_F(Fleet, AllKilledWhileAMapIsPrepared) {
  begin(5);
  relays->network().cut_off(4, 5);  // it cannot say that it keeps to the map: the commit waits
  std::thread operators(
      [&, next = moved_a_little(map(0))] { relays->ask(0, Ask::kProposeMap, shards::to_toml(next)); });
  const bool prepared = relays->until([](const auto& all) {
    return std::any_of(all.begin(), all.end(), [](const Status& s) { return s.words.contains("proposed"); });
  });
  relays->kill_all();
  operators.join();
  ASSERT_TRUE(prepared);
  relays->network().heal();
  relays->start_all();
  EXPECT_TRUE(relays->comes_back_whole(2));
}

TEST_F(Fleet, APowerLossThatLosesWhatWasNotSynced) {
  Relays::Options options;
  options.count = 3;
  options.program = UMBERHOIST_FORGETFUL;
  options.config = config_json(discovery.address(), {member_json("s-1", host.address(), 7)});
  options.config["durability"] = "group";
  relays = std::make_unique<Relays>(options);
  relays->start_all();
  ASSERT_TRUE(relays->comes_back_whole());
  for (uint64_t epoch = 2; epoch <= 3; ++epoch) {
    const auto answer = relays->ask(epoch % 3, Ask::kProposeMap, shards::to_toml(moved_a_little(map(0))));
    ASSERT_TRUE(answer.succeeded) << answer.text;
    relays->kill_all();  // the instant after it was said to be done
    relays->start_all();
    ASSERT_TRUE(relays->comes_back_whole(epoch)) << "a promise was forgotten";
  }
  for (size_t i = 0; i < 3; ++i) EXPECT_EQ(relays->lines_with(i, "newcomer"), 0);
}

// ---- Folders ----

TEST_F(Fleet, AFolderGone) {
  begin(3);
  relays->kill(1);
  std::filesystem::remove_all(relays->register_folder(1));
  relays->start_all();
  EXPECT_TRUE(relays->wait_for(1, "newcomer"));
  ASSERT_TRUE(relays->comes_back_whole());
  // It counts as a voter again: without another one the two of them agree.
  ASSERT_TRUE(relays->until(
      [](const auto& all) { return all[1].words.contains("role") && all[1].words.at("role") == "voter"; }));
  relays->kill(2);
  EXPECT_TRUE(relays->comes_back_whole(2));
}

TEST_F(Fleet, AFolderOfLastWeek) {
  begin(3);
  const auto kept = relays->folder(1) / "last-week";
  relays->kill(1);
  std::filesystem::copy(relays->register_folder(1), kept);
  relays->start_all();
  ASSERT_TRUE(relays->comes_back_whole());
  ASSERT_TRUE(relays->ask(0, Ask::kProposeMap, shards::to_toml(moved_a_little(map(0)))).succeeded);
  ASSERT_TRUE(relays->comes_back_whole(2));
  relays->kill(1);
  std::filesystem::remove_all(relays->register_folder(1));
  std::filesystem::rename(kept, relays->register_folder(1));
  relays->start_all();
  EXPECT_TRUE(relays->wait_for(1, "older than what it promised"));
  EXPECT_TRUE(relays->comes_back_whole(2));
}

TEST_F(Fleet, TwoFoldersSwapped) {
  begin(5, 5);
  relays->kill(1);
  relays->kill(2);
  const auto aside = relays->folder(1) / "aside";
  std::filesystem::rename(relays->register_folder(1), aside);
  std::filesystem::rename(relays->register_folder(2), relays->register_folder(1));
  std::filesystem::rename(aside, relays->register_folder(2));
  relays->start_all();
  EXPECT_TRUE(relays->wait_for(1, "another relay's"));
  EXPECT_TRUE(relays->wait_for(2, "another relay's"));
  EXPECT_TRUE(relays->comes_back_whole());
}

TEST_F(Fleet, OneByteFlippedInTheLog) {
  begin(3);
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
  EXPECT_TRUE(relays->comes_back_whole());
}

TEST_F(Fleet, MostFoldersLostTakesAnOperatorsWordOnOneSurvivor) {
  begin(4);
  relays->kill_all();
  std::filesystem::remove_all(relays->register_folder(1));
  std::filesystem::remove_all(relays->register_folder(2));
  relays->start_all();
  ASSERT_TRUE(relays->wait_for(1, "newcomer"));
  const auto other = relays->ask(1, Ask::kRestore, "n2");
  EXPECT_FALSE(other.succeeded) << other.text;
  const auto wrong = relays->ask(0, Ask::kRestore, "n3");
  EXPECT_FALSE(wrong.succeeded) << wrong.text;  // the name is said once more
  const auto answer = relays->ask(0, Ask::kRestore, "n1");
  ASSERT_TRUE(answer.succeeded) << answer.text;
  ASSERT_TRUE(relays->comes_back_whole());
  EXPECT_TRUE(relays->until([](const auto& all) {
    return std::all_of(all.begin(), all.end(), [](const Status& s) { return s.number("generation") == 2; });
  }));
}

// ---- Links and processes that stand still ----

TEST_F(Fleet, LinksCutOneWayInGroupsFlappingAndSlow) {
  begin(5);
  Network& network = relays->network();
  LinkFault cut;
  cut.cut = true;
  network.set(0, 1, cut);  // one way
  relays->until([](const auto&) { return false; }, 1500);
  network.heal();
  for (size_t i = 0; i < 3; ++i) network.cut_off(i, 5);  // three groups and more: no two voters together
  EXPECT_TRUE(relays->until([](const auto& all) {
    return std::all_of(all.begin(), all.end(), [](const Status& s) { return s.owns.empty() && s.heard; });
  })) << "a lease outlived its leader";
  network.heal();
  ASSERT_TRUE(relays->comes_back_whole());
  for (int i = 0; i < 4; ++i) {
    network.cut_off(0, 5, i % 2 == 0);
    relays->until([](const auto&) { return false; }, 1000);
  }
  network.heal();
  LinkFault slow;
  slow.delay_ms = 900;  // beyond the election time-out
  for (size_t a = 0; a < 5; ++a) {
    for (size_t b = 0; b < 5; ++b) network.set(a, b, slow);
  }
  relays->until([](const auto&) { return false; }, 4000);
  network.heal();
  EXPECT_TRUE(relays->comes_back_whole());
}

TEST_F(Fleet, FramesDoubledReorderedAndLost) {
  begin(4);
  LinkFault rough;
  rough.delay_ms = 1;
  rough.jitter_ms = 120;
  rough.lose = 0.1;
  rough.twice = 0.3;
  for (size_t a = 0; a < 4; ++a) {
    for (size_t b = 0; b < 4; ++b) relays->network().set(a, b, rough);
  }
  const auto answer = relays->ask(3, Ask::kProposeMap, shards::to_toml(moved_a_little(map(3))));
  EXPECT_TRUE(answer.succeeded) << answer.text;
  relays->network().heal();
  EXPECT_TRUE(relays->comes_back_whole(2));
}

TEST_F(Fleet, ARelayStoppedPastItsLeaseAndContinued) {
  begin(4);
  relays->signal(3, SIGSTOP);
  ASSERT_TRUE(relays->until([](const auto& all) {
    return Relays::whole({all.begin(), all.begin() + 3}, 2);
  }));
  relays->signal(3, SIGCONT);
  // The first thing that it says of itself is held against what the others said while it stood still.
  ASSERT_TRUE(relays->until([](const auto& all) { return all[3].heard; }));
  EXPECT_TRUE(relays->comes_back_whole(2));
}

// ---- Maps, windows, versions ----

TEST_F(Fleet, TwoOperatorsProposeDifferentMapsForOneEpoch) {
  begin(3);
  const auto one = moved_a_little(map(0));
  auto other = one;
  other.ranges[0].last -= 7;
  other.ranges[1].first -= 7;
  ctl::FleetReply first, second;
  std::thread operators([&] { first = relays->ask(0, Ask::kProposeMap, shards::to_toml(one)); });
  second = relays->ask(2, Ask::kProposeMap, shards::to_toml(other));
  operators.join();
  EXPECT_EQ(first.succeeded + second.succeeded, 1) << first.text << "\n" << second.text;
  ASSERT_TRUE(relays->comes_back_whole(2));
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
  begin(4);
  const auto declared = relays->ask(3, Ask::kDeclare, window(-10, 3600));
  ASSERT_TRUE(declared.succeeded) << declared.text;
  // Reload by SIGHUP.
  auto config = relays->configuration(2);
  config["settings"]["bounds"]["open_cap"] = 21;
  relays->configure(2, config);
  relays->signal(2, SIGHUP);
  ASSERT_TRUE(relays->wait_for(2, "configuration stays as it was: reload is closed by window 'sale'"));
  // A map.
  const auto next = moved_a_little(map(0));
  const auto refused = relays->ask(1, Ask::kProposeMap, shards::to_toml(next));
  EXPECT_FALSE(refused.succeeded);
  EXPECT_NE(refused.text.find("closed by window 'sale' until"), std::string::npos) << refused.text;
  // The calendar itself.
  EXPECT_FALSE(relays->ask(0, Ask::kDeclare, "approvers = [\"ann\", \"bo\"]\n").succeeded);
  // One name is not enough, two are.
  ASSERT_TRUE(relays->except(0, reg::digest_of(next), "ann", 5).succeeded);
  EXPECT_FALSE(relays->ask(1, Ask::kProposeMap, shards::to_toml(next)).succeeded);
  ASSERT_TRUE(relays->except(2, reg::digest_of(next), "bo", 5).succeeded);
  EXPECT_TRUE(relays->ask(1, Ask::kProposeMap, shards::to_toml(next)).succeeded);
  ASSERT_TRUE(relays->comes_back_whole(2));
  // A fact: a dead owner's keys are repaired.
  relays->kill(3);
  EXPECT_TRUE(relays->comes_back_whole(3));
}

TEST_F(Fleet, AVersionReachesAllAndARelayThatWasAwayComesBackToIt) {
  begin(4);
  relays->kill(3);
  auto config = relays->configuration(0);
  config["settings"]["bounds"]["open_cap"] = 21;
  relays->configure(0, config);
  relays->signal(0, SIGHUP);
  for (size_t i = 0; i < 3; ++i) ASSERT_TRUE(relays->wait_for(i, "runs version 1")) << i;
  ASSERT_TRUE(
      relays->until([](const auto& all) { return all[0].heard && all[0].words.at("version") == "1"; }));
  relays->start(3);  // its own file says otherwise
  EXPECT_TRUE(relays->wait_for(3, "runs version 1"));
}

TEST_F(Fleet, AStartRunsTheRegistersVersionAndNotItsOwnFiles) {
  begin(3);
  auto config = relays->configuration(0);
  config["settings"]["bounds"]["open_cap"] = 2;
  relays->configure(0, config);
  relays->signal(0, SIGHUP);
  ASSERT_TRUE(relays->wait_for(1, "runs version 1"));
  ASSERT_TRUE(relays->until([](const auto& all) { return all[1].heard && all[1].words.at("runs") == "1"; }));
  relays->kill(1);
  relays->start_all();
  auto client = relays->client(1);  // its own file has room for twenty
  for (int m = 0; m < 3; ++m) {
    client.send(firspool::testing::put_command("0000000000000b0" + std::to_string(m),
                                               "c=keyed,d=60000,k=5c0f6e1a2b3d4c59,dest=7"));
    const std::string answer = client.read_line();
    EXPECT_EQ(answer.substr(0, 3), m < 2 ? "+OK" : "-BU") << m;
  }
}

TEST_F(Fleet, WithoutAQuorumChangesAreClosedAndMessagesServed) {
  begin(3);
  relays->kill(1);
  relays->kill(2);
  ASSERT_TRUE(
      relays->until([](const auto& all) { return all[0].heard && all[0].words.at("leader") == "none"; }));
  const auto refused = relays->ask(0, Ask::kDeclare, window(60, 120));
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
  begin(3);
  // The host is silent, so that all of it is held when the power goes.
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

// While a destination is out exactly one relay sends its scouts, its owner; its word ends the outage for all.
TEST_F(Fleet, OneRelayScoutsForAllAndItsWordIsTheOthers) {
  begin(3);
  const shards::Map held = map(0);
  const std::string owner = shards::find_range(held, shards::key_of(7))->owner;
  // New messages all the time, as a repeat pays from a bucket that is empty soon.
  std::atomic<bool> over = false;
  std::thread clients([&] {
    std::vector<firspool::testing::Socket> lines;
    for (size_t i = 0; i < 3; ++i) lines.push_back(relays->client(i));
    for (int m = 0; !over; ++m) {
      for (size_t i = 0; i < 3; ++i) {
        const std::string id = Relays::name(i) + "x" + std::to_string(m);
        lines[i].send(firspool::testing::put_command(id, "c=safe,d=8000,k=5c0f6e1a2b3d4c59,dest=7"));
        lines[i].read_line();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(200));  // a rate of traffic
    }
  });
  const auto sender = [](const firspool::testing::Request& call) {
    return call.headers.at("x-call-id").substr(0, 2);
  };
  // Every call is lost, until the last twelve in a row were the owner's alone.
  int in_a_row = 0;
  for (int calls = 0; in_a_row < 12 && calls < 400; ++calls) {
    in_a_row = sender(host.next_request()) == owner ? in_a_row + 1 : 0;
    host.reset();
  }
  EXPECT_EQ(in_a_row, 12);
  // Then it is up: the others send as soon as they have the owner's word.
  for (std::set<std::string> seen; seen.size() < 3;) {
    seen.insert(sender(host.next_request()));
    host.respond("200", "Connection: close\r\n");
    host.close();
  }
  over = true;
  clients.join();
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(Relays::name(i) == owner || relays->wait_for(i, "as another relay saw"));
  }
}

// ---- What the platform must not notice ----

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
  begin(3);
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

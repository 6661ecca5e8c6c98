// Parts of the relay that need no socket: configuration, requests and the host list.
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "clients.h"
#include "config.h"
#include "log_line.h"
#include "peers.h"
#include "resp.h"

namespace firspool::relay {
namespace {

TEST(Config, FlattensToLinesOfTheModule) {
  const auto json =
      nlohmann::json::parse(R"({"a":{"b":[1,2],"c":true},"d":[{"e":"x"}],"f":[],"g":0.25,"h":"words, too"})");
  EXPECT_EQ(flatten(json), "a.b=1,2\na.c=true\nd.count=1\nd.0.e=x\nf=\ng=0.25\nh=words, too\n");
}

TEST(Config, SaysWhatIsMissing) {
  nlohmann::json config = testing::config_json("127.0.0.1:1", {});
  EXPECT_EQ(parse_config(config.dump(), "/tmp").settings.max_open, 20);
  config["settings"]["bounds"].erase("open_cap");
  try {
    parse_config(config.dump(), "/tmp");
    FAIL();
  } catch (const std::exception& error) {
    EXPECT_NE(std::string(error.what()).find("bounds.open_cap"), std::string::npos);
  }
}

TEST(LogLine, TellsTheTimeOfDay) {
  constexpr int64_t kDay = 86'400'000'000;
  EXPECT_EQ(umberhoist::time_of_day(0), "00:00:00.000");
  EXPECT_EQ(umberhoist::time_of_day(20'000 * kDay + 81'889'810'999), "22:44:49.810");
  EXPECT_EQ(umberhoist::time_of_day(kDay - 1), "23:59:59.999");
}

TEST(Resp, RefusesWhatItWouldHaveToHoldWithoutBound) {
  for (const std::string bytes :
       {"*17\r\n", "*1\r\n$65537\r\n", "*1\r\n$1234567890123", "x", "*1\r\n*1\r\n"}) {
    RespParser parser;
    parser.feed(bytes);
    EXPECT_THROW(parser.next(), RespError) << bytes;
  }
  RespParser parser;
  parser.feed("*1\r\n$65536\r\n" + std::string(65536, 'x'));
  EXPECT_FALSE(parser.next());
  parser.feed("\r\n");
  EXPECT_TRUE(parser.next());
  EXPECT_TRUE(parser.empty());
}

TEST(Put, RefusesWhatWouldBreakAHeader) {
  const auto parse = [](const std::string& id, const std::string& list) {
    return parse_put({"MSG.PUT", "0", id, list, ""});
  };
  EXPECT_EQ(parse("a", "c=x,d=8000,dest=7,r=1,again=1").lifetime, 8'000'000);
  EXPECT_EQ(parse("a", "c=x,t=acme,d=8000,dest=7").tenant, "acme");
  EXPECT_EQ(parse("a", "c=x,d=8000,dest=7").tenant, "");
  EXPECT_THROW(parse("a", "c=x,t=ac\nme,d=8000,dest=7"), std::invalid_argument);
  EXPECT_THROW(parse("a\r\nX: y", "c=x,d=8000,dest=7"), std::invalid_argument);
  EXPECT_THROW(parse("a", "c=x,k=b\r\nc,d=8000,dest=7"), std::invalid_argument);
  EXPECT_THROW(parse("a", "c=x,d=-1,dest=7"), std::invalid_argument);
  EXPECT_THROW(parse("a", "c=x,d=8000"), std::invalid_argument);
  EXPECT_THROW(parse("a", "c=x,d=99999999999999999999,dest=7"), std::invalid_argument);
}

TEST(Directory, HandlesStandForIdsAndOldNewsIsDropped) {
  const ListNames names{{"a"}, {"std"}};
  const auto list = [&](int revision, bool complete, std::vector<nlohmann::json> members) {
    return parse_list(testing::list_json(revision, complete, std::move(members)), names);
  };
  Directory directory;
  const auto first = directory.apply(list(5, true, {testing::member_json("s-1", "127.0.0.1:80", 7)}), 1);
  const auto next = directory.apply(list(6, false, {testing::member_json("s-2", "127.0.0.1:80", 7)}), 2);
  ASSERT_TRUE(first && next);
  const Endpoint old = first->members->front().endpoint;
  EXPECT_NE(old, next->members->front().endpoint);
  EXPECT_FALSE(directory.apply(list(4, true, {}), 3));
  EXPECT_TRUE(directory.is_active(old));
  directory.apply(list(7, true, {}), 4);
  EXPECT_FALSE(directory.is_active(old));
}

class DirectoryOfProcesses : public ::testing::Test {
 protected:
  static constexpr Time kStart = Time{1'000'000} * 1'000'000;  // wall clock

  nlohmann::json member(const std::string& id, const std::string& address, int destination,
                        Time up_since = 0) {
    nlohmann::json out = testing::member_json(id, address, destination);
    out["up_since_ms"] = up_since / 1000;
    return out;
  }
  void apply(std::vector<nlohmann::json> members) {
    directory_.apply(parse_list(testing::list_json(++revision_, false, std::move(members)), names_), kStart);
  }
  std::map<std::string, int> active_hosts() const {  // destinations by id
    std::map<std::string, int> out;
    for (const auto& [endpoint, host] : directory_.hosts()) {
      if (directory_.is_active(endpoint)) out[host.id] = host.member.destination;
    }
    return out;
  }
  using Hosts = std::map<std::string, int>;

  const ListNames names_{{"a"}, {"std"}};
  Directory directory_;
  int revision_ = 0;
};

TEST_F(DirectoryOfProcesses, AHostAtAnotherPlaceHasAnotherHandle) {
  apply({member("s-1", "127.0.0.1:80", 7)});
  const Endpoint first = directory_.find_by_id("s-1")->member.endpoint;
  apply({member("s-1", "127.0.0.1:80", 8)});
  const Endpoint second = directory_.find_by_id("s-1")->member.endpoint;
  EXPECT_NE(first, second);
  EXPECT_FALSE(directory_.is_active(first));
  EXPECT_TRUE(directory_.is_superseded(*directory_.find(first)));
  EXPECT_EQ(active_hosts(), (Hosts{{"s-1", 8}}));
  directory_.erase(first);
  apply({member("s-1", "127.0.0.1:81", 8)});
  EXPECT_NE(directory_.find_by_id("s-1")->member.endpoint, second);
  EXPECT_EQ(active_hosts(), (Hosts{{"s-1", 8}}));
}

TEST_F(DirectoryOfProcesses, OfTwoAtOneAddressTheOneThatStartedLaterIsThere) {
  apply({member("s-1", "127.0.0.1:80", 7, kStart), member("s-2", "127.0.0.1:81", 7, kStart)});
  apply({member("s-3", "127.0.0.1:80", 8, kStart + 1000)});
  EXPECT_EQ(active_hosts(), (Hosts{{"s-2", 7}, {"s-3", 8}}));
  apply({member("s-1", "127.0.0.1:80", 7, kStart)});  // still listed, though it is gone
  EXPECT_EQ(active_hosts(), (Hosts{{"s-2", 7}, {"s-3", 8}}));
  apply({member("s-1", "127.0.0.1:82", 7, kStart + 2000)});
  EXPECT_EQ(active_hosts(), (Hosts{{"s-1", 7}, {"s-2", 7}, {"s-3", 8}}));
}

TEST_F(DirectoryOfProcesses, ADestinationIsColdIfEachOfItsHostsWasRestarted) {
  constexpr Time kWarmUp = 12'000'000;
  apply({member("s-1", "127.0.0.1:80", 7), member("s-2", "127.0.0.1:81", 7)});
  apply({member("s-1", "127.0.0.1:80", 7, kStart)});
  EXPECT_TRUE(directory_.take_cold_destinations(kStart, kWarmUp).empty()) << "s-2 is warm";
  apply({member("s-2", "127.0.0.1:81", 7, kStart + 1000)});
  EXPECT_EQ(directory_.take_cold_destinations(kStart - 3600 * Time{1'000'000}, kWarmUp),
            (std::map<int, Time>{{7, kStart}}));
  EXPECT_TRUE(directory_.take_cold_destinations(kStart, kWarmUp).empty()) << "told once";
  apply({member("s-1", "127.0.0.1:80", 7, kStart + 2000), member("s-2", "127.0.0.1:81", 7, kStart + 2000)});
  EXPECT_TRUE(directory_.take_cold_destinations(kStart + 2 * kWarmUp, kWarmUp).empty()) << "warm by now";
  apply({member("s-3", "127.0.0.1:82", 8, kStart)});
  EXPECT_FALSE(directory_.take_cold_destinations(kStart, kWarmUp).contains(8)) << "it is new, not restarted";
}

TEST_F(DirectoryOfProcesses, AHostThatLeavesWithAnotherAddressLeavesNothingBehind) {
  apply({member("s-1", "127.0.0.1:80", 7)});
  nlohmann::json left = member("s-1", "127.0.0.1:81", 7);
  left["phase"] = "left";
  apply({left});
  directory_.erase(directory_.hosts().begin()->first);
  apply({member("s-2", "127.0.0.1:80", 7, kStart)});
  EXPECT_EQ(active_hosts(), (Hosts{{"s-2", 7}}));
}

// An agent may be behind another one: its list may advance the state of hosts but must not revert it.
TEST(Directory, AnOlderListUndoesNothing) {
  const ListNames names{{"a"}, {"std"}};
  const auto member = [](const std::string& id, const std::string& phase) {
    return testing::member_json(id, "127.0.0.1:80", 7, phase);
  };
  const auto list = [&](int revision, bool complete, std::vector<nlohmann::json> members) {
    return parse_list(testing::list_json(revision, complete, std::move(members)), names);
  };
  Directory directory;
  const auto handle = [&](const std::string& id) {
    for (const auto& [endpoint, host] : directory.hosts()) {
      if (host.id == id) return endpoint;
    }
    return Endpoint{};
  };
  directory.apply(list(9, true, {member("s-1", "leaving"), member("s-2", "active"), member("s-3", "active")}),
                  1);
  directory.apply(list(10, false, {member("s-3", "left")}), 2);
  directory.erase(handle("s-3"));
  // s-2 was added after this list was made. s-4 is new, and so is its draining in list 5 below.
  directory.apply(list(4, true, {member("s-1", "active"), member("s-3", "active"), member("s-4", "active")}),
                  3);
  EXPECT_FALSE(directory.is_active(handle("s-1")));
  EXPECT_TRUE(directory.is_active(handle("s-2")));
  EXPECT_EQ(handle("s-3"), Endpoint{});
  EXPECT_TRUE(directory.is_active(handle("s-4")));
  directory.apply(list(5, false, {member("s-4", "leaving")}), 4);
  EXPECT_FALSE(directory.is_active(handle("s-4")));
  EXPECT_EQ(directory.revision(), 10);
}

TEST(Directory, AHostWhoseRemovalIsNoLongerKeptDoesNotReturnByAnOlderList) {
  const ListNames names{{"a"}, {"std"}};
  const auto list = [&](int revision, bool complete, const std::string& phase, Time up_since_ms = 0) {
    auto member = testing::member_json("s-1", "127.0.0.1:80", 7, phase);
    member["up_since_ms"] = up_since_ms;
    return parse_list(testing::list_json(revision, complete, {member}), names);
  };
  constexpr Time kDay = Time{86'400} * 1'000'000;
  Directory directory;
  directory.apply(list(41, true, "active"), kDay);
  directory.apply(list(43, false, "left"), kDay);
  directory.erase(directory.hosts().begin()->first);
  EXPECT_EQ(directory.prune_removed(3 * kDay), (std::vector<std::string>{"s-1"}));
  EXPECT_FALSE(directory.apply(list(41, true, "active"), 3 * kDay));
  EXPECT_FALSE(directory.apply(list(42, false, "active"), 3 * kDay));
  EXPECT_TRUE(directory.hosts().empty());
  // A machine that started later with the same id, told by an agent that is behind.
  EXPECT_TRUE(directory.apply(list(42, false, "active", 2 * kDay / 1000), 3 * kDay));
}

// The removal is dated by a clock that was stepped back to before the host's start.
TEST(Directory, AClockThatWasSteppedBackReturnsNoRemovedHost) {
  const ListNames names{{"a"}, {"std"}};
  const auto list = [&](int revision, const std::string& phase) {
    auto member = testing::member_json("s-1", "127.0.0.1:80", 7, phase);
    member["up_since_ms"] = 7'200'000;
    return parse_list(testing::list_json(revision, false, {member}), names);
  };
  Directory directory;
  directory.apply(list(41, "active"), Time{7'300} * 1'000'000);
  directory.apply(list(43, "left"), Time{3'700} * 1'000'000);
  directory.erase(directory.hosts().begin()->first);
  EXPECT_FALSE(directory.apply(list(42, "active"), Time{3'701} * 1'000'000));
}

TEST(HostList, IsTheSameParsedEntryByEntry) {
  const ListNames names{{"a"}, {"std"}};
  auto nested = testing::member_json("s-2", "127.0.0.2:80", 8);
  nested["members"] = {{{"id", "s-3"}}};  // not of the list
  const auto json = testing::list_json(5, true, {testing::member_json("s-1", "127.0.0.1:80", 7), nested});
  auto with_other_field = json;
  with_other_field["extra"] = {{{"id", "s-4"}}};
  for (const auto& whole : {json, with_other_field, testing::list_json(6, false, {})}) {
    const HostList expected = parse_list(whole, names);
    const HostList list = parse_list_text(whole.dump(2), names);
    EXPECT_EQ(list.revision, expected.revision);
    EXPECT_EQ(list.complete, expected.complete);
    ASSERT_EQ(list.hosts.size(), expected.hosts.size());
    for (size_t i = 0; i < list.hosts.size(); ++i)
      EXPECT_EQ(list.hosts[i].json_text, expected.hosts[i].json_text);
  }
}

TEST(HostList, IsRefusedEntryByEntry) {
  const ListNames names{{"a"}, {"std"}};
  const auto list = [&](const std::string& members) {
    return parse_list_text(R"({"revision":1,"complete":true,"members":)" + members + "}", names);
  };
  EXPECT_TRUE(list("[]").hosts.empty());
  for (const std::string members : {"[1]", "[{}]", "[[{}]]", "{\"id\":1}", "[{\"id\":\"s-1\"}"})
    EXPECT_THROW(list(members), std::exception) << members;
  EXPECT_THROW(parse_list_text(R"({"members":[]})", names), std::exception);
}

TEST(Directory, TellsItsSizeAheadOfAList) {
  const ListNames names{{"a"}, {"std"}};
  Directory directory;
  const auto list = [&](int revision, bool complete, const std::vector<std::string>& ids,
                        const std::string& phase = "active") {
    std::vector<nlohmann::json> members;
    for (const std::string& id : ids)
      members.push_back(testing::member_json(id, "127.0.0.1:" + std::to_string(80 + id.back()), 7, phase));
    return parse_list(testing::list_json(revision, complete, members), names);
  };
  const auto expect_size = [&](const HostList& next, size_t hosts, size_t removed) {
    const DirectorySize size = directory.size_after(next);
    EXPECT_EQ(size.hosts, hosts);
    EXPECT_EQ(size.removed, removed);
  };
  directory.apply(list(5, true, {"s-1", "s-2"}), 1);
  expect_size(list(6, false, {"s-2", "s-3"}), 3, 0);
  expect_size(list(6, false, {"s-8", "s-9"}, "left"), 2, 2);
  expect_size(list(6, true, {"s-3"}), 1, 2);
  expect_size(list(6, true, {"s-1", "s-2"}), 2, 0);
  expect_size(list(6, true, {"s-2", "s-2", "s-2", "s-2"}), 4, 0);
  expect_size(list(4, true, {"s-1", "s-3"}), 3, 0);
}

TEST(Directory, TellsWhichDestinationsAreUnusedAfterAList) {
  const ListNames names{{"a"}, {"std"}};
  Directory directory;
  const auto list = [&](int revision, bool complete, const std::string& id, int destination,
                        const std::string& phase = "active") {
    const auto member = testing::member_json(id, "127.0.0.1:80", destination, phase);
    return parse_list(testing::list_json(revision, complete, {member}), names);
  };
  directory.add_destination(9);  // known from the folder, without a host
  directory.apply(list(1, true, "s-1", 7), 1);
  directory.apply(list(2, true, "s-1", 8), 2);  // moves
  directory.apply(list(3, true, "s-1", 5), 3);
  directory.apply(list(4, true, "s-1", 5), 4);
  EXPECT_EQ(directory.size_after(list(5, true, "s-1", 3)).destinations, 5u);
  EXPECT_EQ(directory.size_after(list(5, true, "s-1", 7)).destinations, 4u);
  EXPECT_EQ(directory.size_after(list(5, false, "s-2", 3, "left")).destinations, 4u);
  EXPECT_TRUE(directory.unused_destinations_after(list(5, false, "s-2", 9)).empty());  // calls may be out
  EXPECT_EQ(directory.unused_destinations_after(list(5, true, "s-1", 3)), (std::vector<int>{9, 7, 8, 5}));
  EXPECT_EQ(directory.unused_destinations_after(list(5, true, "s-1", 7)), (std::vector<int>{9, 8, 5}));
  directory.forget_destination(7);
  EXPECT_FALSE(directory.is_known(7));
  EXPECT_EQ(directory.destinations(), (std::vector<int>{5, 8, 9}));
}

TEST(Directory, KeepsNoAddressOfAHostThatLeftUnderAnother) {
  const ListNames names{{"a"}, {"std"}};
  Directory directory;
  const auto apply = [&](int revision, const std::string& port, const std::string& phase) {
    const auto json =
        testing::list_json(revision, false, {testing::member_json("s-1", "127.0.0.1:" + port, 7, phase)});
    directory.apply(parse_list(json, names), revision);
  };
  apply(1, "80", "active");
  apply(2, "81", "left");
  directory.erase(directory.hosts().begin()->first);
  EXPECT_EQ(directory.address_count(), 0u);
}

// Hosts get new ids all the time: removed ones must not be kept for ever.
TEST(Directory, ForgetsWhatIsGone) {
  const ListNames names{{"a"}, {"std"}};
  Directory directory;
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "s-" + std::to_string(i);
    const Time now = Time{i} * 1'000'000;
    for (const std::string phase : {"active", "left"}) {
      const auto json = testing::list_json(i, false, {testing::member_json(id, "127.0.0.1:80", 7, phase)});
      directory.apply(parse_list(json, names), now);
    }
    directory.erase(directory.hosts().begin()->first);
    directory.prune_removed(now);
  }
  EXPECT_TRUE(directory.hosts().empty());
  EXPECT_LT(directory.removed().size(), 200u);
  EXPECT_TRUE(directory.is_known(7));
}

}  // namespace
}  // namespace firspool::relay

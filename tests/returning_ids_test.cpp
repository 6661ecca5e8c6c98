// An id that comes again after its message ended, with the daemon: it is answered, and not sent again.
#include <unistd.h>

#include <set>

#include "finished_messages.h"
#include "peers.h"

namespace firspool::testing {
namespace {

using relay::FinishedAs;
using relay::FinishedMessages;

struct ReturningIdsSetup {
  FakeHost host;
  FakeDiscovery discovery;
  nlohmann::json config = config_json(discovery.address(), {member_json("s-1", host.address(), 7)});
  RelayProcess program{config};

  static std::string attributes(const std::string& effect) {
    return "c=" + effect + ",d=60000,k=5c0f6e1a2b3d4c59,dest=7";
  }
  std::string put(const std::string& id, const std::string& effect) {
    const Socket client = program.client();
    client.send(put_command(id, attributes(effect)));
    return Socket(::dup(client.fd())).read_line();
  }
  std::string next_call() { return host.next_request().headers.at("x-call-id"); }
  void deliver(const std::string& id, const std::string& effect) {
    ASSERT_EQ(put(id, effect), "+OK");
    ASSERT_EQ(next_call(), id);
    host.respond("200", "Connection: close\r\n");
    ASSERT_TRUE(host.closed_by_peer());
    ASSERT_EQ(put("other", "no-class"), "-ERR unknown class");  // the end is recorded by now
  }
};

TEST(ReturningIds, ADeliveredMessageIsAnsweredAndNotSentAgain) {
  for (const std::string effect : {"safe", "keyed", "unsafe"}) {
    ReturningIdsSetup s;
    s.program.start();
    s.deliver("00000000000000a1", effect);
    EXPECT_EQ(s.put("00000000000000a1", effect), "+OK") << effect;
    EXPECT_EQ(s.put("00000000000000a2", effect), "+OK") << effect;
    EXPECT_EQ(s.next_call(), "00000000000000a2") << effect;
  }
}

TEST(ReturningIds, AnUnsafeMessageIsNotSentAgainAfterAKill) {
  ReturningIdsSetup s;
  s.program.start();
  for (int i = 0; i < 5; ++i) s.deliver("00000000000000a" + std::to_string(i), "unsafe");
  s.program.kill();
  s.host.close();
  s.program.start();
  for (int i = 0; i < 5; ++i) EXPECT_EQ(s.put("00000000000000a" + std::to_string(i), "unsafe"), "+OK") << i;
  EXPECT_EQ(s.put("00000000000000b1", "unsafe"), "+OK");
  EXPECT_EQ(s.next_call(), "00000000000000b1");
}

TEST(ReturningIds, AMessageThatFailedIsAnsweredAsFailed) {
  ReturningIdsSetup s;
  s.program.start();
  ASSERT_EQ(s.put("00000000000000a1", "unsafe"), "+OK");
  ASSERT_EQ(s.next_call(), "00000000000000a1");
  s.host.close();  // it may have been executed
  ASSERT_EQ(s.discovery.next_notice().at("state"), "failed");
  EXPECT_EQ(s.put("00000000000000a1", "unsafe"), "-ERR failed");
  s.program.kill();
  s.program.start();
  EXPECT_EQ(s.put("00000000000000a1", "unsafe"), "-ERR failed");
}

TEST(FinishedMessages, AreForgottenAfterAWhile) {
  FinishedMessages messages({});
  messages.add("a", FinishedAs::kDelivered, true, 0);
  messages.add("b", FinishedAs::kFailed, false, 1'000'000);
  EXPECT_TRUE(messages.take_forgotten(FinishedMessages::kRetention - 1).empty());
  EXPECT_EQ(messages.take_forgotten(FinishedMessages::kRetention), std::vector<std::string>{"a"});
  EXPECT_FALSE(messages.find("a"));
  EXPECT_EQ(messages.find("b"), FinishedAs::kFailed);
  EXPECT_TRUE(messages.take_forgotten(FinishedMessages::kRetention + 1'000'000).empty());
  EXPECT_FALSE(messages.find("b"));
  EXPECT_EQ(messages.memory_bytes(), 0u);
}

// Guards against an unsafe message that runs twice because its id was given up for lack of room.
TEST(FinishedMessages, WithoutRoomUnsafeIdsStayAndNoneIsAdded) {
  FinishedMessages messages({.max_memory_bytes = 2000, .max_saved_bytes = 1'000'000});
  int added = 0;
  for (; messages.has_room_to_save(added); ++added) {
    ASSERT_LT(added, 1000);
    messages.add("unsafe" + std::to_string(added), FinishedAs::kDelivered, true, added);
    messages.add("safe" + std::to_string(added), FinishedAs::kDelivered, false, added);
    EXPECT_TRUE(messages.take_forgotten(added).empty());
  }
  for (int i = 0; i < added; ++i) EXPECT_TRUE(messages.find("unsafe" + std::to_string(i))) << i;
  EXPECT_FALSE(messages.find("safe0"));
  EXPECT_TRUE(messages.has_room_to_save(FinishedMessages::kMinRetention));
  EXPECT_FALSE(messages.take_forgotten(FinishedMessages::kMinRetention).empty());
}

// The oldest in the journal go if a start finds more of them than there is room for.
TEST(FinishedMessages, AStartKeepsTheNewest) {
  FinishedMessages messages({.max_memory_bytes = 1'000'000, .max_saved_bytes = 500});
  for (int i = 0; i < 100; ++i) messages.add("id" + std::to_string(i), FinishedAs::kDelivered, true, 0);
  const auto forgotten = messages.take_excess();
  EXPECT_EQ(forgotten.front(), "id0");
  EXPECT_TRUE(messages.find("id99"));
  EXPECT_FALSE(messages.find(forgotten.back()));
  EXPECT_TRUE(messages.take_excess().empty());
}

}  // namespace
}  // namespace firspool::testing

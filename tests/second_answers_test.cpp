// The daemon where bytes on a used connection pass for an answer: what it may send again, and what it still
// owes.
#include <sys/resource.h>

#include <csignal>

#include "concurrent_host.h"

namespace firspool::testing {
namespace {

std::string attributes(const std::string& effect) {
  return "c=" + effect + ",d=20000,k=5c0f6e1a2b3d4c59,dest=7";
}

class SecondAnswer : public ::testing::Test {
 protected:
  void SetUp() override {
    program_.start();
    put("00000000000000a1", "keyed");
    EXPECT_EQ(host_.next_request().id(), "00000000000000a1");
    host_.respond(0, "200");
  }

  void put(const std::string& id, const std::string& effect) {
    Socket client = program_.client();
    client.send(put_command(id, attributes(effect)));
    EXPECT_EQ(client.read_line(), "+OK");
  }

  // The call of `id`, on the connection that carried one before.
  void expect_call_on_used_connection(const std::string& id, const std::string& effect) {
    put(id, effect);
    const ConcurrentHost::Arrival call = host_.next_request();
    EXPECT_EQ(call.id(), id);
    ASSERT_EQ(call.connection, 0u);
  }

  // On the connection that carried one call, so that a second copy of a refusal may come on it.
  void refuse_one_call() {
    expect_call_on_used_connection("00000000000000a2", "keyed");
    host_.respond(0, "503");
    const ConcurrentHost::Arrival again = host_.next_request();
    EXPECT_EQ(again.id(), "00000000000000a2");
    ASSERT_EQ(again.connection, 0u);
    host_.respond(0, "200");
  }

  void expect_notice_of_failure(const std::string& id) {
    const nlohmann::json notice = discovery_.next_notice();
    EXPECT_EQ(notice["id"], id);
    EXPECT_EQ(notice["state"], "failed");
  }

  ConcurrentHost host_;
  FakeDiscovery discovery_;
  RelayProcess program_{config_json(discovery_.address(), {member_json("s-1", host_.address(), 7)})};
};

TEST_F(SecondAnswer, ThatDeliversLeavesNoMessageWithoutAnEnd) {
  expect_call_on_used_connection("00000000000000b2", "safe");
  host_.respond(0, "200");
  host_.respond(0, "503");
  expect_notice_of_failure("00000000000000b2");
}

TEST_F(SecondAnswer, ThatRefusesFreesNoMessageThatMayNotBeRepeated) {
  refuse_one_call();
  put("00000000000000b2", "unsafe");
  const ConcurrentHost::Arrival call = host_.next_request();
  EXPECT_EQ(call.id(), "00000000000000b2");
  EXPECT_EQ(call.connection, 1u);
  host_.respond(0, "503");
  put("00000000000000c3", "safe");
  const ConcurrentHost::Arrival next = host_.next_request();
  EXPECT_EQ(next.id(), "00000000000000c3");
  host_.respond(next.connection, "200");
  host_.respond(call.connection, "200");
}

TEST_F(SecondAnswer, ThatRefusesPutsNoSecondAttemptOutBesideTheFirst) {
  refuse_one_call();
  expect_call_on_used_connection("00000000000000b2", "keyed");
  host_.respond(0, "503");
  EXPECT_TRUE(host_.connection(0).closed_by_peer());
  const ConcurrentHost::Arrival again = host_.next_request();
  EXPECT_EQ(again.id(), "00000000000000b2");
  EXPECT_EQ(again.connection, 1u);
}

TEST_F(SecondAnswer, BeforeAKillLeavesTheMessageItsEnd) {
  expect_call_on_used_connection("00000000000000b2", "unsafe");
  host_.respond(0, "200");
  expect_call_on_used_connection("00000000000000c3", "keyed");  // so the second answer has been read
  program_.kill();
  program_.start();
  expect_notice_of_failure("00000000000000b2");
}

TEST_F(SecondAnswer, BeforeATerminationLeavesTheMessageItsEnd) {
  expect_call_on_used_connection("00000000000000b2", "unsafe");
  host_.respond(0, "200");
  program_.signal(SIGTERM);
  expect_notice_of_failure("00000000000000b2");
  EXPECT_EQ(program_.wait(), 0);
}

TEST_F(SecondAnswer, BesideAFolderThatCannotBeWrittenCausesOneNotice) {
  expect_call_on_used_connection("00000000000000b2", "safe");
  rlimit limit{};
  ASSERT_EQ(::prlimit(program_.pid(), RLIMIT_FSIZE, nullptr, &limit), 0);
  rlimit no_writes = limit;
  no_writes.rlim_cur = 0;
  ASSERT_EQ(::prlimit(program_.pid(), RLIMIT_FSIZE, &no_writes, nullptr), 0);
  host_.respond(0, "200");
  host_.respond(0, "503");
  EXPECT_TRUE(host_.connection(0).closed_by_peer());
  ASSERT_EQ(::prlimit(program_.pid(), RLIMIT_FSIZE, &limit, nullptr), 0);
  expect_notice_of_failure("00000000000000b2");
  program_.signal(SIGTERM);
  EXPECT_EQ(program_.wait(), 0);
  EXPECT_TRUE(discovery_.take_notices().empty());
}

TEST_F(SecondAnswer, ThatSaysToWaitIsHeeded) {
  host_.respond(0, "429", "Retry-After: 1.5\r\n");
  EXPECT_TRUE(host_.connection(0).closed_by_peer());
  const auto from = std::chrono::steady_clock::now();
  put("00000000000000b2", "safe");
  EXPECT_EQ(host_.next_request().id(), "00000000000000b2");
  EXPECT_GT(std::chrono::steady_clock::now() - from, std::chrono::milliseconds(1300));
}

TEST_F(SecondAnswer, OfAHostEndsTheUseOfItsConnectionsForMoreThanOneRequest) {
  const auto from = std::chrono::steady_clock::now();
  host_.respond(0, "200");
  EXPECT_TRUE(host_.connection(0).closed_by_peer());
  for (size_t i = 1; i < 4; ++i) {
    put("00000000000000c" + std::to_string(i), "safe");
    EXPECT_EQ(host_.next_request().connection, i);
    host_.respond(i, "200");
    EXPECT_TRUE(host_.connection(i).closed_by_peer());
  }
  EXPECT_LT(std::chrono::steady_clock::now() - from, std::chrono::seconds(9));  // not as idle ones
}

}  // namespace
}  // namespace firspool::testing

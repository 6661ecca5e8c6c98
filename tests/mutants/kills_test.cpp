// Kills the relay at one particular step of a message's processing and restarts it on its state folder. A
// planted fault kills the process itself, so that it is exactly that step. Each accepted message has to end
// once, and one that may have been executed and must not be repeated is executed once.
#include <gtest/gtest.h>

#include <csignal>

#include "peers.h"

namespace firspool::testing {
namespace {

const std::string kId = "00000000000000a1";
const std::string kNext = "00000000000000a2";

class Killed : public ::testing::TestWithParam<std::string> {
 protected:
  std::string submit(const std::string& id, int destination = 7, int life_ms = 60'000) {
    Socket client = program_.client();
    client.send(put_command(id, "c=" + GetParam() + ",d=" + std::to_string(life_ms) +
                                    ",k=5c0f6e1a2b3d4c59,dest=" + std::to_string(destination)));
    return client.read_line();
  }
  void start_killed_at(const std::string& step) { program_.start_planted(UMBERHOIST_PLANTED, step); }
  void restart_after_kill() {
    EXPECT_EQ(program_.wait(), -SIGKILL);
    host_.close();
    program_.start();
  }
  std::string next_call() {
    const std::string id = host_.next_request().headers.at("x-call-id");
    host_.respond("200");
    return id;
  }
  void expect_notice(const std::string& id, const std::string& state) {
    const nlohmann::json notice = discovery_.next_notice();
    EXPECT_EQ(notice.at("id"), id);
    EXPECT_EQ(notice.at("state"), state);
  }
  // A message that may have been executed is called again if that is harmless, else it has failed. Nothing
  // else is called before the next message.
  void expect_one_end_if_maybe_executed() {
    if (GetParam() == "unsafe") {
      expect_notice(kId, "failed");
    } else {
      EXPECT_EQ(next_call(), kId);
    }
    EXPECT_EQ(submit(kNext), "+OK");
    EXPECT_EQ(next_call(), kNext);
  }

  FakeHost host_;
  FakeDiscovery discovery_;
  // Destination 99 has had a host, which is draining.
  RelayProcess program_{config_json(
      discovery_.address(),
      {member_json("s-1", host_.address(), 7), member_json("s-0", host_.address(), 99, "leaving")})};
};

// The client got no reply and may submit the message elsewhere; this relay still has to bring it to an end.
TEST_P(Killed, BetweenAMessagesRecordAndItsAnswer) {
  start_killed_at("dies-with-the-record-of-a-message");
  EXPECT_EQ(submit(kId), "");
  restart_after_kill();
  EXPECT_EQ(next_call(), kId);
  EXPECT_EQ(submit(kNext), "+OK");
  EXPECT_EQ(next_call(), kNext);
}

TEST_P(Killed, BetweenAnAttemptsRecordAndItsFirstByte) {
  start_killed_at("dies-with-the-record-of-an-attempt");
  EXPECT_EQ(submit(kId), "+OK");
  restart_after_kill();
  expect_one_end_if_maybe_executed();
}

TEST_P(Killed, BetweenACallsLastByteAndItsAnswer) {
  start_killed_at("dies-with-the-last-byte");
  EXPECT_EQ(submit(kId), "+OK");
  EXPECT_EQ(host_.next_request().headers.at("x-call-id"), kId);
  restart_after_kill();
  expect_one_end_if_maybe_executed();
}

TEST_P(Killed, BetweenAnAnswerAndTheRecordOfTheEnd) {
  start_killed_at("dies-with-the-answer");
  EXPECT_EQ(submit(kId), "+OK");
  EXPECT_EQ(next_call(), kId);
  restart_after_kill();
  expect_one_end_if_maybe_executed();
}

TEST_P(Killed, BetweenANoticesRecordAndItsSending) {
  start_killed_at("dies-with-the-record-of-a-notice");
  EXPECT_EQ(submit(kId, 99, 300), "+OK");
  restart_after_kill();
  expect_notice(kId, "returned");
  EXPECT_EQ(submit(kNext), "+OK");
  EXPECT_EQ(next_call(), kNext);
}

// The notice is sent once more, which is harmless, and then never again.
TEST_P(Killed, BetweenANoticeAndTheRecordOfItsAcknowledgement) {
  start_killed_at("dies-with-the-notice-sent");
  EXPECT_EQ(submit(kId, 99, 300), "+OK");
  expect_notice(kId, "returned");
  restart_after_kill();
  expect_notice(kId, "returned");
  // A notice is sent once the previous one is recorded as acknowledged.
  const std::string third = "00000000000000a3";
  const std::string last = "00000000000000a4";
  for (const std::string& id : {kNext, third}) {
    EXPECT_EQ(submit(id, 99, 300), "+OK");
    expect_notice(id, "returned");
  }
  program_.kill();
  program_.start();
  EXPECT_EQ(submit(last, 99, 300), "+OK");
  std::string id;
  while (id != last) {
    id = discovery_.next_notice().at("id");
    EXPECT_TRUE(id == third || id == last) << id;
  }
}

INSTANTIATE_TEST_SUITE_P(EachEffect, Killed, ::testing::Values("safe", "keyed", "unsafe"),
                         [](const auto& effect) { return effect.param; });

}  // namespace
}  // namespace firspool::testing

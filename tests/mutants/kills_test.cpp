// The program killed at one step of a message's way, by itself so that it is that step each time, and started
// again on its folder: what was taken on has one end, and what may have run and may not be repeated runs
// once.
#include <gtest/gtest.h>

#include <csignal>

#include "peers.h"

namespace firspool::testing {
namespace {

const std::string kId = "00000000000000a1";
const std::string kNext = "00000000000000a2";

class Killed : public ::testing::TestWithParam<std::string> {
 protected:
  std::string put(const std::string& id, int destination = 7, int life_ms = 60'000) {
    Socket client = program_.client();
    client.send(put_command(id, "c=" + GetParam() + ",d=" + std::to_string(life_ms) +
                                    ",k=5c0f6e1a2b3d4c59,dest=" + std::to_string(destination)));
    return client.read_line();
  }
  void start_until(const std::string& step) { program_.start_planted(UMBERHOIST_PLANTED, step); }
  void start_again() {
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
  // It may have run: once more where that does no harm, else it has failed. Nothing else is called before the
  // message that comes after it.
  void expect_one_end_of_what_may_have_run() {
    if (GetParam() == "unsafe") {
      expect_notice(kId, "failed");
    } else {
      EXPECT_EQ(next_call(), kId);
    }
    EXPECT_EQ(put(kNext), "+OK");
    EXPECT_EQ(next_call(), kNext);
  }

  FakeHost host_;
  FakeDiscovery discovery_;
  // Destination 99 has had a host, which wants nothing new.
  RelayProcess program_{config_json(
      discovery_.address(),
      {member_json("s-1", host_.address(), 7), member_json("s-0", host_.address(), 99, "leaving")})};
};

// Its client was told nothing and may hand it in elsewhere; this relay owes it an end all the same.
TEST_P(Killed, BetweenAMessagesRecordAndItsAnswer) {
  start_until("dies-with-the-record-of-a-message");
  EXPECT_EQ(put(kId), "");
  start_again();
  EXPECT_EQ(next_call(), kId);
  EXPECT_EQ(put(kNext), "+OK");
  EXPECT_EQ(next_call(), kNext);
}

TEST_P(Killed, BetweenAnAttemptsRecordAndItsFirstByte) {
  start_until("dies-with-the-record-of-an-attempt");
  EXPECT_EQ(put(kId), "+OK");
  start_again();
  expect_one_end_of_what_may_have_run();
}

TEST_P(Killed, BetweenACallsLastByteAndItsAnswer) {
  start_until("dies-with-the-last-byte");
  EXPECT_EQ(put(kId), "+OK");
  EXPECT_EQ(host_.next_request().headers.at("x-call-id"), kId);
  start_again();
  expect_one_end_of_what_may_have_run();
}

TEST_P(Killed, BetweenAnAnswerAndTheRecordOfTheEnd) {
  start_until("dies-with-the-answer");
  EXPECT_EQ(put(kId), "+OK");
  EXPECT_EQ(next_call(), kId);
  start_again();
  expect_one_end_of_what_may_have_run();
}

TEST_P(Killed, BetweenANoticesRecordAndItsSending) {
  start_until("dies-with-the-record-of-a-notice");
  EXPECT_EQ(put(kId, 99, 300), "+OK");
  start_again();
  expect_notice(kId, "returned");
  EXPECT_EQ(put(kNext), "+OK");
  EXPECT_EQ(next_call(), kNext);
}

// It is sent once more, which does no harm, and then never again.
TEST_P(Killed, BetweenANoticeAndTheRecordThatItWasTaken) {
  start_until("dies-with-the-notice-sent");
  EXPECT_EQ(put(kId, 99, 300), "+OK");
  expect_notice(kId, "returned");
  start_again();
  expect_notice(kId, "returned");
  // A notice goes out once the one before it is recorded as taken.
  const std::string third = "00000000000000a3";
  const std::string last = "00000000000000a4";
  for (const std::string& id : {kNext, third}) {
    EXPECT_EQ(put(id, 99, 300), "+OK");
    expect_notice(id, "returned");
  }
  program_.kill();
  program_.start();
  EXPECT_EQ(put(last, 99, 300), "+OK");
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

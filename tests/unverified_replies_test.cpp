// Which replies are certain: the rules by themselves, and random histories of a connection against an oracle
// that knows which reply belongs to which request.
#include "unverified_replies.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <set>

namespace firspool::relay {
namespace {

constexpr Time kSecond = 1'000'000;
const Endpoint kHost{1, 80};
const Endpoint kOtherHost{2, 80};
using Ids = std::vector<std::string>;

UnverifiedReply reply(const std::string& id, Time settled, Time deadline) { return {id, settled, deadline}; }

TEST(UnverifiedReplies, AreConfirmedTogetherOnceNoTrueReplyCanCome) {
  UnverifiedReplies replies;
  replies.add(1, kHost, reply("a", 0, 3 * kSecond));
  replies.add(1, kHost, reply("b", kSecond, 0));
  EXPECT_EQ(replies.confirm_quiet(1, 3 * kSecond - 1), Ids{});
  EXPECT_EQ(replies.confirm_quiet(1, 3 * kSecond), (Ids{"a", "b"}));
  EXPECT_TRUE(replies.empty());
}

TEST(UnverifiedReplies, SurplusPutsThoseOfTheWholeHostInDoubt) {
  UnverifiedReplies replies;
  replies.add(1, kHost, reply("a", 0, 0));
  replies.add(2, kHost, reply("b", 0, 0));
  replies.add(3, kOtherHost, reply("c", 0, 0));
  EXPECT_TRUE(replies.may_reuse_host(kHost, 0));
  EXPECT_EQ(replies.on_surplus(kHost, 0), (Ids{"a", "b"}));
  EXPECT_TRUE(replies.is_new_suspect());
  EXPECT_FALSE(replies.may_reuse_host(kHost, UnverifiedReplies::kNoReuseTime - 1));
  EXPECT_TRUE(replies.may_reuse_host(kHost, UnverifiedReplies::kNoReuseTime));
  EXPECT_TRUE(replies.may_reuse_host(kOtherHost, 0));
  EXPECT_TRUE(replies.on_ended(1, 0).doubtful.empty());
  EXPECT_EQ(replies.on_ended(3, 0).doubtful, Ids{"c"});
}

TEST(UnverifiedReplies, AConnectionThatIsNeverQuietIsNotUsedForEver) {
  UnverifiedReplies replies;
  replies.add(1, kHost, reply("a", 0, 0));
  replies.add(1, kHost, reply("b", kSecond, 0));
  EXPECT_TRUE(replies.may_reuse(1, UnverifiedReplies::kMaxUnverifiedAge - 1));
  EXPECT_FALSE(replies.may_reuse(1, UnverifiedReplies::kMaxUnverifiedAge));
  for (size_t i = 0; i < UnverifiedReplies::kMaxPerConnection; ++i) {
    EXPECT_TRUE(replies.may_reuse(2, 0));
    replies.add(2, kHost, reply("c", 0, 0));
  }
  EXPECT_FALSE(replies.may_reuse(2, 0));
}

TEST(UnverifiedReplies, AnEarlyEndPutsTheLastRepliesInDoubt) {
  const Time now = 2 * kSecond;
  UnverifiedReplies replies;
  replies.add(1, kHost, reply("old", now - UnverifiedReplies::kQuietTime, 9 * kSecond));
  for (const char* id : {"a", "b", "c", "d"}) replies.add(1, kHost, reply(id, now - 1, 9 * kSecond));
  replies.add(2, kHost, reply("e", now - UnverifiedReplies::kQuietTime, 9 * kSecond));
  replies.add(3, kHost, reply("f", now - UnverifiedReplies::kQuietTime, 9 * kSecond));
  const UnverifiedReplies::Verdicts first = replies.on_ended(1, now);
  EXPECT_EQ(first.confirmed, (Ids{"old", "a"}));
  EXPECT_EQ(first.doubtful, (Ids{"b", "c", "d"}));
  EXPECT_EQ(replies.on_call_failed(3).doubtful, Ids{"f"});
  const UnverifiedReplies::Verdicts all = replies.on_all_ended(now);
  EXPECT_EQ(all.confirmed, Ids{"e"});
  EXPECT_TRUE(all.doubtful.empty());
  EXPECT_TRUE(replies.empty());
}

// One connection, played in virtual time. The host answers requests in order and writes some answers twice;
// the reader takes the next answer for that of its request.
class ConnectionModel {
 public:
  explicit ConnectionModel(uint32_t seed) : random_(seed) {}

  void play() {
    for (int i = 0; i < 60 && open_; ++i) {
      rest(i);
      if (open_) call(i);
    }
    if (open_) {
      now_ += 10 * kSecond;
      expect_quiet_or_surplus();
    }
    for (const std::string& id : undelivered_) {
      EXPECT_TRUE(in_doubt_.contains(id)) << id << " was not delivered, and is not in doubt";
    }
  }

 private:
  struct Answer {
    Time at;
    int request;
    bool delivers;
  };

  Time between(Time low, Time high) { return std::uniform_int_distribution<Time>(low, high)(random_); }

  void write_answer(const Answer& answer) {
    const auto later = std::find_if(answers_.begin(), answers_.end(),
                                    [&](const Answer& other) { return other.at > answer.at; });
    answers_.insert(later, answer);
  }

  void rest(int next) {
    now_ += next % 5 == 4 ? between(0, 3 * kSecond) : between(0, 20'000);
    expect_quiet_or_surplus();
    if (open_ && !replies_.may_reuse(1, now_)) {
      now_ += 2 * kSecond;
      expect_quiet_or_surplus();
    }
  }

  void expect_quiet_or_surplus() {
    if (!answers_.empty() && answers_.front().at <= now_) {
      open_ = false;
      for (const std::string& id : replies_.on_surplus(kHost, now_)) in_doubt_.insert(id);
      return;
    }
    for (const std::string& id : replies_.confirm_quiet(1, now_)) {
      EXPECT_FALSE(undelivered_.contains(id)) << id << " is confirmed";
    }
  }

  void call(int number) {
    const Time arrives = now_;
    const bool delivers = between(0, 9) > 0;
    const Time answered = arrives + between(20'000, 250'000);
    write_answer({answered, number, delivers});
    if (between(0, 19) == 0) write_answer({answered + between(0, 900'000), number, delivers});
    const bool refusal_is_certain = !replies_.has_replies(1);
    const Answer read = answers_.front();
    answers_.pop_front();
    now_ = std::max(now_, read.at);
    const std::string id = std::to_string(number);
    if (read.request == number && number == 0) return;  // the first reply is certain
    if (!read.delivers) {  // the connection is shut down, and the true reply may be lost with it
      open_ = false;
      EXPECT_TRUE(!refusal_is_certain || read.request == number) << id << " was not refused";
      for (const std::string& doubtful : replies_.on_call_failed(1).doubtful) in_doubt_.insert(doubtful);
      return;
    }
    if (!delivers) undelivered_.insert(id);
    replies_.add(1, kHost, reply(id, now_, arrives + kSecond));
  }

  std::mt19937 random_;
  Time now_ = kSecond;
  bool open_ = true;
  std::deque<Answer> answers_;  // in the order in which the host writes them
  UnverifiedReplies replies_;
  std::set<std::string> undelivered_;  // ended by a reply that delivers, though their own does not
  std::set<std::string> in_doubt_;
};

TEST(UnverifiedReplies, NoUndeliveredMessageIsConfirmedInRandomHistories) {
  for (uint32_t seed = 1; seed <= 3000 && !::testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ConnectionModel(seed).play();
  }
}

}  // namespace
}  // namespace firspool::relay

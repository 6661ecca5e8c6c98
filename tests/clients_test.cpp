// How connections of clients end: what was read is answered, what was not is not acted on, nothing is reset.
#include "clients.h"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <filesystem>
#include <thread>

#include "peers.h"

namespace firspool::relay {
namespace {

using testing::put_command;
using testing::Socket;

const std::string kPing = "*1\r\n$4\r\nPING\r\n";

class ClientsTest : public ::testing::Test {
 protected:
  Socket connect() { return Socket::connect(clients_.address().port()); }
  static std::string put(const std::string& id) { return put_command(id, "c=safe,d=1000,dest=7"); }

  // Lets the relay's side run until something shows at a client; this thread plays both.
  void run_until_readable(const Socket& client) {
    char byte = 0;
    while (::recv(client.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN) io_.run_one();
  }
  std::string line(Socket& client) {
    run_until_readable(client);
    return client.read_line();
  }
  // It has seen the end of the stream, which is no reset.
  bool ended(const Socket& client) {
    run_until_readable(client);
    char byte = 0;
    return ::recv(client.fd(), &byte, 1, 0) == 0;
  }
  void run_until_settled() {
    while (!clients_.all_closed()) io_.run_one();
  }
  static size_t descriptors() {
    size_t count = 0;
    for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) ++count;
    return count;
  }

  boost::asio::io_context io_;
  std::vector<std::string> taken_;
  bool answers_at_once_ = true;
  std::vector<ClientServer::ReplyCallback> later_;
  ClientServer clients_{io_,
                        {boost::asio::ip::address_v4::loopback(), 0},
                        64,
                        [this](Submission handed, ClientServer::ReplyCallback answer) {
                          taken_.push_back(handed.id);
                          answers_at_once_ ? answer("+OK") : later_.push_back(std::move(answer));
                        }};
};

// In the queue of the listener when that closes: its client has connected, and sent its request.
TEST_F(ClientsTest, ARequestThatWaitsToBeAcceptedAtTheEndIsAnswered) {
  Socket client = connect();
  ASSERT_TRUE(client.send(put("a1")));
  clients_.shut_down();
  EXPECT_EQ(line(client), "+OK");
  EXPECT_TRUE(ended(client));
  client.close();
  run_until_settled();
}

// Fifty connections at the end of a relay, ten in each state that one can be in.
TEST_F(ClientsTest, AtTheEndEachConnectionGetsWhatItIsOwedAndThenItsEnd) {
  std::vector<Socket> resting, half, unread, pipelined, queued;
  for (auto* group : {&resting, &half, &unread, &pipelined}) {
    for (int i = 0; i < 10; ++i) {
      group->push_back(connect());
      ASSERT_TRUE(group->back().send(kPing));
      ASSERT_EQ(line(group->back()), "+PONG");
    }
  }
  const std::string whole = put("half");
  for (Socket& client : half) ASSERT_TRUE(client.send(whole.substr(0, whole.size() / 2)));
  while (io_.poll() > 0) continue;
  for (Socket& client : unread) ASSERT_TRUE(client.send(put("unread")));
  for (Socket& client : pipelined) ASSERT_TRUE(client.send(put("first") + put("second")));
  for (int i = 0; i < 10; ++i) {
    queued.push_back(connect());
    ASSERT_TRUE(queued.back().send(put("queued")));
  }
  clients_.shut_down();
  for (Socket& client : resting) EXPECT_TRUE(ended(client));
  for (auto* group : {&unread, &queued}) {
    for (Socket& client : *group) EXPECT_EQ(line(client), "+OK");
  }
  for (Socket& client : pipelined) {
    EXPECT_EQ(line(client), "+OK");
    EXPECT_EQ(line(client), "+OK");
  }
  for (Socket& client : half) {
    ASSERT_TRUE(client.send(whole.substr(whole.size() / 2)));
    EXPECT_EQ(line(client), "+OK");
  }
  for (auto* group : {&half, &unread, &pipelined, &queued}) {
    for (Socket& client : *group) EXPECT_TRUE(ended(client));
  }
  EXPECT_EQ(taken_.size(), 50u);
  EXPECT_FALSE(clients_.all_closed()) << "they have not closed yet";
  for (auto* group : {&resting, &half, &unread, &pipelined, &queued}) group->clear();
  run_until_settled();
}

TEST_F(ClientsTest, ARequestWhoseAnswerIsNotKnownAtTheEndIsWaitedFor) {
  answers_at_once_ = false;
  Socket client = connect();
  ASSERT_TRUE(client.send(put("a1")));
  while (later_.empty()) io_.run_one();
  clients_.shut_down();
  while (io_.poll() > 0) continue;
  EXPECT_FALSE(clients_.all_closed());
  later_.front()("+OK");
  EXPECT_EQ(line(client), "+OK");
  EXPECT_TRUE(ended(client));
}

// The client reads nothing until the end has come: by then an answer stands half in the system's buffers, and
// requests behind it. Each answer is whole, and nothing is reset.
TEST_F(ClientsTest, AnAnswerThatIsHalfWrittenAtTheEndIsWritten) {
  constexpr size_t kBytes = 60'000;
  const std::string request =
      "*2\r\n$4\r\nPING\r\n$" + std::to_string(kBytes) + "\r\n" + std::string(kBytes, 'x') + "\r\n";
  Socket client = connect();
  std::thread writer([&] {
    for (int i = 0; i < 100; ++i) EXPECT_TRUE(client.send(request));  // 6 MB: more than is buffered for it
  });
  // Both sides stand still once the client's part of the buffers is full and then the relay's: nothing
  // happens any more but the sweep, a few times a second.
  for (size_t handled = 100; handled > 10;) {
    handled = 0;
    for (const Time from = steady_now(); steady_now() - from < 200'000;) handled += io_.poll();
  }
  clients_.shut_down();
  size_t answers = 0;
  std::thread reader([&] {
    while (client.read_line() == "$" + std::to_string(kBytes)) {
      EXPECT_EQ(client.read_exactly(kBytes), std::string(kBytes, 'x'));
      EXPECT_EQ(client.read_line(), "");
      ++answers;
    }
    char byte = 0;
    EXPECT_EQ(::recv(client.fd(), &byte, 1, 0), 0) << "a reset, or bytes behind the answers";
    writer.join();
    client.half_close();
  });
  run_until_settled();
  reader.join();
  EXPECT_GE(answers, 1u);
}

// The bytes arrive after the relay has shut the connection: the client, which sees an end and no reset, sends
// the request once more elsewhere. Acted on here it would be taken on twice.
TEST_F(ClientsTest, ARequestThatCrossesTheEndIsNeitherActedOnNorReset) {
  Socket client = connect();
  ASSERT_TRUE(client.send(kPing));
  ASSERT_EQ(line(client), "+PONG");
  clients_.shut_down();
  ASSERT_TRUE(ended(client));
  ASSERT_TRUE(client.send(put("late")));
  for (int i = 0; i < 3; ++i) io_.run_one();
  EXPECT_TRUE(ended(client));
  EXPECT_TRUE(taken_.empty());
  EXPECT_FALSE(clients_.all_closed());
  client.close();
  run_until_settled();
}

// A client that rests for good, also after it was shown the end, does not hold the relay's end up for long.
TEST_F(ClientsTest, AClientThatNeverClosesIsLetGo) {
  Socket client = connect();
  ASSERT_TRUE(client.send(kPing));
  ASSERT_EQ(line(client), "+PONG");
  clients_.shut_down();
  const Time from = steady_now();
  run_until_settled();
  EXPECT_LT(steady_now() - from, 3'000'000);
  EXPECT_TRUE(ended(client));
}

// A connection that came just before the end may have its request on the way.
TEST_F(ClientsTest, AConnectionThatHasJustComeGetsAMomentToSpeak) {
  Socket client = connect();
  clients_.shut_down();
  while (io_.poll() > 0) continue;
  ASSERT_TRUE(client.send(put("a1")));
  EXPECT_EQ(line(client), "+OK");
}

// Clients that keep their connections although they were shown the end take only so many descriptors.
TEST_F(ClientsTest, ThoseThatLingerAreBoundedInNumber) {
  const size_t before = descriptors();
  std::vector<Socket> kept;
  for (int i = 0; i < 120; ++i) {
    kept.push_back(connect());
    ASSERT_TRUE(kept.back().send(kPing));
    ASSERT_EQ(line(kept.back()), "+PONG") << i;
    EXPECT_LE(descriptors(), before + kept.size() + 64);
  }
}

TEST_F(ClientsTest, AFloodThatGoesLeavesNothingBehind) {
  for (int i = 0; i < 20; ++i) {
    Socket client = connect();
    std::string flood;
    for (int n = 0; n < 2000; ++n) flood += kPing;
    ::send(client.fd(), flood.data(), flood.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (i % 2 == 0) client.reset();
    io_.poll();
  }
  Socket client = connect();
  ASSERT_TRUE(client.send(put("a1")));
  EXPECT_EQ(line(client), "+OK");
  client.close();
  clients_.shut_down();
  run_until_settled();
}

}  // namespace
}  // namespace firspool::relay

// How client connections are closed: a request that was read is answered, one that was not is not acted on,
// and no connection is reset.
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
  Socket connect() { return Socket::connect(server_.address().port()); }
  static std::string put_request(const std::string& id) { return put_command(id, "c=safe,d=1000,dest=7"); }

  // Runs the server's event loop until the client's socket is readable; this thread plays both sides.
  void run_until_readable(const Socket& client) {
    char byte = 0;
    while (::recv(client.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN) io_.run_one();
  }
  std::string next_line(Socket& client) {
    run_until_readable(client);
    return client.read_line();
  }
  // An orderly end of the stream, not a reset.
  bool sees_end_of_stream(const Socket& client) {
    run_until_readable(client);
    char byte = 0;
    return ::recv(client.fd(), &byte, 1, 0) == 0;
  }
  void run_until_all_closed() {
    while (!server_.all_closed()) io_.run_one();
  }
  static size_t open_descriptors() {
    size_t count = 0;
    for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) ++count;
    return count;
  }

  umberhoist::resources::MemoryPlan plan_{.heap = 4'000'000, .clients = 1'000'000};
  umberhoist::resources::MemoryAccount memory_{plan_};
  boost::asio::io_context io_;
  std::vector<std::string> submitted_;
  bool reply_at_once_ = true;
  std::vector<ClientServer::ReplyCallback> pending_replies_;
  ClientServer server_{io_,
                       {boost::asio::ip::address_v4::loopback(), 0},
                       {.max_connections = 64},
                       memory_,
                       [this](Submission submission, ClientServer::ReplyCallback reply) {
                         submitted_.push_back(submission.id);
                         reply_at_once_ ? reply("+OK") : pending_replies_.push_back(std::move(reply));
                       }};
};

// A connection still in the listener's backlog at shutdown, whose client has sent its request already.
TEST_F(ClientsTest, ARequestThatWaitsToBeAcceptedAtTheEndIsAnswered) {
  Socket client = connect();
  ASSERT_TRUE(client.send(put_request("a1")));
  server_.shut_down();
  EXPECT_EQ(next_line(client), "+OK");
  EXPECT_TRUE(sees_end_of_stream(client));
  client.close();
  run_until_all_closed();
}

// Fifty connections at shutdown, ten in each state that a connection can be in.
TEST_F(ClientsTest, AtTheEndEachConnectionGetsWhatItIsOwedAndThenItsEnd) {
  std::vector<Socket> idle, half, unread, pipelined, queued;
  for (auto* group : {&idle, &half, &unread, &pipelined}) {
    for (int i = 0; i < 10; ++i) {
      group->push_back(connect());
      ASSERT_TRUE(group->back().send(kPing));
      ASSERT_EQ(next_line(group->back()), "+PONG");
    }
  }
  const std::string request = put_request("half");
  for (Socket& client : half) ASSERT_TRUE(client.send(request.substr(0, request.size() / 2)));
  while (io_.poll() > 0) continue;
  for (Socket& client : unread) ASSERT_TRUE(client.send(put_request("unread")));
  for (Socket& client : pipelined) ASSERT_TRUE(client.send(put_request("first") + put_request("second")));
  for (int i = 0; i < 10; ++i) {
    queued.push_back(connect());
    ASSERT_TRUE(queued.back().send(put_request("queued")));
  }
  server_.shut_down();
  for (Socket& client : idle) EXPECT_TRUE(sees_end_of_stream(client));
  for (auto* group : {&unread, &queued}) {
    for (Socket& client : *group) EXPECT_EQ(next_line(client), "+OK");
  }
  for (Socket& client : pipelined) {
    EXPECT_EQ(next_line(client), "+OK");
    EXPECT_EQ(next_line(client), "+OK");
  }
  for (Socket& client : half) {
    ASSERT_TRUE(client.send(request.substr(request.size() / 2)));
    EXPECT_EQ(next_line(client), "+OK");
  }
  for (auto* group : {&half, &unread, &pipelined, &queued}) {
    for (Socket& client : *group) EXPECT_TRUE(sees_end_of_stream(client));
  }
  EXPECT_EQ(submitted_.size(), 50u);
  EXPECT_FALSE(server_.all_closed()) << "the clients have not closed their connections yet";
  for (auto* group : {&idle, &half, &unread, &pipelined, &queued}) group->clear();
  run_until_all_closed();
}

TEST_F(ClientsTest, ARequestWhoseAnswerIsNotKnownAtTheEndIsWaitedFor) {
  reply_at_once_ = false;
  Socket client = connect();
  ASSERT_TRUE(client.send(put_request("a1")));
  while (pending_replies_.empty()) io_.run_one();
  server_.shut_down();
  while (io_.poll() > 0) continue;
  EXPECT_FALSE(server_.all_closed());
  pending_replies_.front()("+OK");
  EXPECT_EQ(next_line(client), "+OK");
  EXPECT_TRUE(sees_end_of_stream(client));
}

// The client reads nothing until the shutdown: by then a reply is partly in the kernel's buffers, with
// requests behind it. Each reply must arrive complete, and the connection must not be reset.
TEST_F(ClientsTest, AnAnswerThatIsHalfWrittenAtTheEndIsWritten) {
  constexpr size_t kBytes = 60'000;
  const std::string request =
      "*2\r\n$4\r\nPING\r\n$" + std::to_string(kBytes) + "\r\n" + std::string(kBytes, 'x') + "\r\n";
  Socket client = connect();
  std::thread writer([&] {
    for (int i = 0; i < 100; ++i) EXPECT_TRUE(client.send(request));  // 6 MB: more than the kernel buffers
  });
  // Both sides stop once the client's send buffer and then the server's are full. From then on only the sweep
  // timer runs, ten times a second.
  for (size_t handled = 100; handled > 10;) {
    handled = 0;
    for (const Time from = steady_now(); steady_now() - from < 200'000;) handled += io_.poll();
  }
  server_.shut_down();
  size_t replies = 0;
  std::thread reader([&] {
    while (client.read_line() == "$" + std::to_string(kBytes)) {
      EXPECT_EQ(client.read_exactly(kBytes), std::string(kBytes, 'x'));
      EXPECT_EQ(client.read_line(), "");
      ++replies;
    }
    char byte = 0;
    EXPECT_EQ(::recv(client.fd(), &byte, 1, 0), 0) << "a reset, or bytes after the replies";
    writer.join();
    client.half_close();
  });
  run_until_all_closed();
  reader.join();
  EXPECT_GE(replies, 1u);
}

// The request arrives after the server has shut the connection down. The client sees the end of the stream
// and no reset, and sends the request again elsewhere: acted on here, the message would be accepted twice.
TEST_F(ClientsTest, ARequestThatCrossesTheEndIsNeitherActedOnNorReset) {
  Socket client = connect();
  ASSERT_TRUE(client.send(kPing));
  ASSERT_EQ(next_line(client), "+PONG");
  server_.shut_down();
  ASSERT_TRUE(sees_end_of_stream(client));
  ASSERT_TRUE(client.send(put_request("late")));
  for (int i = 0; i < 3; ++i) io_.run_one();
  EXPECT_TRUE(sees_end_of_stream(client));
  EXPECT_TRUE(submitted_.empty());
  EXPECT_FALSE(server_.all_closed());
  client.close();
  run_until_all_closed();
}

// A client that never closes its connection does not delay the shutdown for long.
TEST_F(ClientsTest, AClientThatNeverClosesIsLetGo) {
  Socket client = connect();
  ASSERT_TRUE(client.send(kPing));
  ASSERT_EQ(next_line(client), "+PONG");
  server_.shut_down();
  const Time from = steady_now();
  run_until_all_closed();
  EXPECT_LT(steady_now() - from, 3'000'000);
  EXPECT_TRUE(sees_end_of_stream(client));
}

// A connection accepted just before the shutdown may have a request in flight.
TEST_F(ClientsTest, AConnectionThatHasJustComeGetsAMomentToSpeak) {
  Socket client = connect();
  server_.shut_down();
  while (io_.poll() > 0) continue;
  ASSERT_TRUE(client.send(put_request("a1")));
  EXPECT_EQ(next_line(client), "+OK");
}

// Clients that keep connections open which the server has shut down use a bounded number of descriptors.
TEST_F(ClientsTest, ThoseThatLingerAreBoundedInNumber) {
  const size_t before = open_descriptors();
  std::vector<Socket> clients;
  for (int i = 0; i < 120; ++i) {
    clients.push_back(connect());
    ASSERT_TRUE(clients.back().send(kPing));
    ASSERT_EQ(next_line(clients.back()), "+PONG") << i;
    EXPECT_LE(open_descriptors(), before + clients.size() + 64);
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
  ASSERT_TRUE(client.send(put_request("a1")));
  EXPECT_EQ(next_line(client), "+OK");
  client.close();
  server_.shut_down();
  run_until_all_closed();
}

// Guards against messages that are sent on though their client has left and hands them in elsewhere.
TEST_F(ClientsTest, RequestsThatAClientLeftUnreadAreNotActedOn) {
  for (const bool with_reset : {false, true}) {
    submitted_.clear();
    std::string requests;
    for (int i = 0; i < 100; ++i) requests += put_request("left" + std::to_string(i));
    Socket client = connect();
    ASSERT_TRUE(client.send(requests));
    with_reset ? client.reset() : client.close();
    io_.run_for(std::chrono::milliseconds(200));
    EXPECT_LE(submitted_.size(), 1u) << (with_reset ? "reset" : "closed");
  }
}

// Its requests are answered though it sends nothing more: it still reads.
TEST_F(ClientsTest, RequestsOfAClientThatEndsItsSendingSideAreAnswered) {
  Socket client = connect();
  std::string requests;
  for (int i = 0; i < 20; ++i) requests += put_request("half" + std::to_string(i));
  ASSERT_TRUE(client.send(requests));
  client.half_close();
  for (int i = 0; i < 20; ++i) EXPECT_EQ(next_line(client), "+OK") << i;
  EXPECT_EQ(submitted_.size(), 20u);
}

// Guards against a table full of clients that stopped within a request, which kept all others out for 2 s.
TEST_F(ClientsTest, ClientsThatStopHalfWayKeepNobodyElseOut) {
  const std::string request = put_request("half");
  std::vector<Socket> stopped;
  for (int i = 0; i < 100; ++i) {
    stopped.push_back(connect());
    ASSERT_TRUE(stopped.back().send(request.substr(0, request.size() / 2)));
    io_.poll();
  }
  const Time from = steady_now();
  Socket client = connect();
  ASSERT_TRUE(client.send(put_request("a1")));
  EXPECT_EQ(next_line(client), "+OK");
  EXPECT_LT(steady_now() - from, 400'000);
  EXPECT_EQ(next_line(stopped.front()), "-BUSY 200");
}

}  // namespace
}  // namespace firspool::relay

// Group durability of a whole relay in this process, on a folder whose syncs are controlled by the test.
#include <poll.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <condition_variable>
#include <future>

#include "peers.h"
#include "relay/config.h"
#include "relay/relay.h"

namespace firspool::testing {
namespace {

using umberhoist::state::Files;

// The real folder; while syncs are blocked, each waits for `allow_sync` and returns its argument.
class GatedFiles : public Files {
 public:
  explicit GatedFiles(std::unique_ptr<Files> files) : files_(std::move(files)) {}

  void block_syncs() {
    const std::lock_guard lock(mutex_);
    blocked_ = true;
    syncs_ = 0;
  }
  void allow_sync(bool ok) {
    const std::lock_guard lock(mutex_);
    results_.push_back(ok);
    changed_.notify_all();
  }
  void unblock_syncs() {
    const std::lock_guard lock(mutex_);
    blocked_ = false;
    changed_.notify_all();
  }
  bool wait_for_syncs(int times) {  // since `block_syncs`
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::milliseconds(kDeadlineMs), [&] { return syncs_ >= times; });
  }

  std::vector<std::string> list() override { return files_->list(); }
  int create(const std::string& name) override { return files_->create(name); }
  int open(const std::string& name) override { return files_->open(name); }
  ssize_t append(int file, std::string_view bytes) override { return files_->append(file, bytes); }
  ssize_t read(int file, size_t at, char* to, size_t max_bytes) override {
    return files_->read(file, at, to, max_bytes);
  }
  ssize_t size(int file) override { return files_->size(file); }
  bool truncate(int file, size_t size) override { return files_->truncate(file, size); }
  bool rename(const std::string& from, const std::string& to) override { return files_->rename(from, to); }
  bool remove(const std::string& name) override { return files_->remove(name); }
  void close(int file) override { files_->close(file); }
  bool sync(int file) override {
    std::unique_lock lock(mutex_);
    ++syncs_;
    changed_.notify_all();
    changed_.wait(lock, [&] { return !blocked_ || !results_.empty(); });
    if (results_.empty()) return files_->sync(file);
    const bool ok = results_.front();
    results_.pop_front();
    return ok;
  }
  bool sync_folder() override { return files_->sync_folder(); }
  void drop_page_cache(int file) override { files_->drop_page_cache(file); }

 private:
  std::unique_ptr<Files> files_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool blocked_ = false;
  int syncs_ = 0;
  std::deque<bool> results_;
};

class GroupDurability : public ::testing::Test {
 protected:
  GroupDurability() {
    nlohmann::json config = config_json(discovery_.address(),
                                        {member_json("s-1", "127.0.0.1:" + std::to_string(host_.port()), 7)});
    config["durability"] = "group";
    auto files = std::make_unique<GatedFiles>(umberhoist::state::make_posix_files(folder_));
    files_ = files.get();
    std::promise<uint16_t> listening;
    relay_ = std::make_unique<relay::Relay>(
        io_, relay::parse_config(config.dump(), folder_),
        [&](const relay::tcp::endpoint& endpoint) { listening.set_value(endpoint.port()); },
        std::move(files));
    loop_ = std::thread([this] { io_.run(); });
    port_ = listening.get_future().get();
    // A call that stays open: its first byte shows that everything written so far is synced, and nothing more
    // is written. From here on the test controls each sync.
    Socket client = this->client();
    client.send(put_command("00000000000000a0", kAttributes));
    EXPECT_EQ(client.read_line(), "+OK");
    open_call_ = host_.accept();
    EXPECT_TRUE(read_request(open_call_));
    EXPECT_EQ(ping(), "+PONG");
    files_->block_syncs();
  }
  ~GroupDurability() override {
    files_->unblock_syncs();
    boost::asio::post(io_, [this] { io_.stop(); });
    loop_.join();
    relay_.reset();
    std::filesystem::remove_all(folder_);
  }

  Socket client() const { return Socket::connect(port_); }
  // After the reply, the relay has decided on everything that it had read before.
  std::string ping() const {
    Socket other = client();
    other.send("*1\r\n$4\r\nPING\r\n");
    return other.read_line();
  }
  static bool has_no_input(const Socket& socket) {
    pollfd waiting{socket.fd(), POLLIN, 0};
    return ::poll(&waiting, 1, 0) == 0;
  }
  static std::filesystem::path make_folder() {
    std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-test-XXXXXX";
    return ::mkdtemp(pattern.data());
  }

  static constexpr const char* kAttributes = "c=safe,d=60000,dest=7";
  std::filesystem::path folder_ = make_folder();
  FakeDiscovery discovery_;
  Socket host_ = Socket::listen();
  Socket open_call_;
  boost::asio::io_context io_{1};
  GatedFiles* files_ = nullptr;
  std::unique_ptr<relay::Relay> relay_;
  std::thread loop_;
  uint16_t port_ = 0;
};

TEST_F(GroupDurability, NothingIsAnsweredOrSentBeforeTheDiskHasIt) {
  Socket first = client();
  first.send(put_command("00000000000000a1", kAttributes));
  ASSERT_TRUE(files_->wait_for_syncs(1));
  Socket call = host_.accept();  // connected, but nothing is sent yet
  Socket second = client();
  second.send(put_command("00000000000000a2", kAttributes));
  EXPECT_EQ(ping(), "+PONG") << "the event loop must not block";
  EXPECT_TRUE(has_no_input(first));
  EXPECT_TRUE(has_no_input(call));
  files_->allow_sync(true);
  EXPECT_EQ(first.read_line(), "+OK");
  // The second message, and the attempt of the first one, were written after that sync began: one more sync
  // covers both.
  ASSERT_TRUE(files_->wait_for_syncs(2));
  EXPECT_EQ(ping(), "+PONG");
  EXPECT_TRUE(has_no_input(second));
  EXPECT_TRUE(has_no_input(call));
  files_->unblock_syncs();
  EXPECT_EQ(second.read_line(), "+OK");
  const auto request = read_request(call);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->headers.at("x-call-id"), "00000000000000a1");
}

TEST_F(GroupDurability, AFailedSyncClaimsNothingAndIsMadeUpFor) {
  Socket first = client();
  first.send(put_command("00000000000000a1", kAttributes));
  ASSERT_TRUE(files_->wait_for_syncs(1));
  Socket call = host_.accept();
  files_->allow_sync(false);
  ASSERT_TRUE(files_->wait_for_syncs(2));  // retried, after everything was written again
  EXPECT_EQ(ping(), "+PONG");
  EXPECT_TRUE(has_no_input(first));
  EXPECT_TRUE(has_no_input(call));
  files_->unblock_syncs();
  EXPECT_EQ(first.read_line(), "+OK");
  const auto request = read_request(call);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->headers.at("x-call-id"), "00000000000000a1");
}

// The message's time ends while the record of its attempt is being synced: nothing is sent afterwards, and
// the message is returned, although it is unsafe, because it was never sent.
TEST_F(GroupDurability, ACallWhoseTimeEndsWhileItsRecordIsSyncedNeverRan) {
  Socket first = client();
  first.send(put_command("00000000000000a1", "c=unsafe,d=1500,dest=7"));
  ASSERT_TRUE(files_->wait_for_syncs(1));
  Socket call = host_.accept();
  files_->allow_sync(true);
  EXPECT_EQ(first.read_line(), "+OK");
  ASSERT_TRUE(files_->wait_for_syncs(2));  // for the record of the attempt
  EXPECT_TRUE(call.closed_by_peer()) << "bytes were written";
  files_->unblock_syncs();
  EXPECT_EQ(discovery_.next_notice().at("state"), "returned");
}

}  // namespace
}  // namespace firspool::testing

// Group durability in the relay as a whole, in this process, on a folder whose syncs wait for the test.
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

// The real folder; a sync waits for a permit, and takes the verdict that comes with it.
class HeldFiles : public Files {
 public:
  explicit HeldFiles(std::unique_ptr<Files> files) : files_(std::move(files)) {}

  void hold() {
    const std::lock_guard lock(mutex_);
    held_ = true;
    entered_ = 0;
  }
  void permit(bool good) {
    const std::lock_guard lock(mutex_);
    permits_.push_back(good);
    changed_.notify_all();
  }
  void release() {
    const std::lock_guard lock(mutex_);
    held_ = false;
    changed_.notify_all();
  }
  bool entered(int times) {  // since `hold`
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::milliseconds(kDeadlineMs), [&] { return entered_ >= times; });
  }

  std::vector<std::string> list() override { return files_->list(); }
  int create(const std::string& name) override { return files_->create(name); }
  int open(const std::string& name) override { return files_->open(name); }
  ssize_t append(int file, std::string_view bytes) override { return files_->append(file, bytes); }
  ssize_t read(int file, size_t at, char* to, size_t most) override {
    return files_->read(file, at, to, most);
  }
  ssize_t size(int file) override { return files_->size(file); }
  bool truncate(int file, size_t size) override { return files_->truncate(file, size); }
  bool rename(const std::string& from, const std::string& to) override { return files_->rename(from, to); }
  bool remove(const std::string& name) override { return files_->remove(name); }
  void close(int file) override { files_->close(file); }
  bool sync(int file) override {
    std::unique_lock lock(mutex_);
    ++entered_;
    changed_.notify_all();
    changed_.wait(lock, [&] { return !held_ || !permits_.empty(); });
    if (permits_.empty()) return files_->sync(file);
    const bool good = permits_.front();
    permits_.pop_front();
    return good;
  }
  bool sync_folder() override { return files_->sync_folder(); }
  void drop_page_cache(int file) override { files_->drop_page_cache(file); }

 private:
  std::unique_ptr<Files> files_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool held_ = false;
  int entered_ = 0;
  std::deque<bool> permits_;
};

class GroupDurability : public ::testing::Test {
 protected:
  GroupDurability() {
    nlohmann::json config = config_json(discovery_.address(),
                                        {member_json("s-1", "127.0.0.1:" + std::to_string(host_.port()), 7)});
    config["durability"] = "group";
    auto files = std::make_unique<HeldFiles>(umberhoist::state::make_posix_files(folder_));
    files_ = files.get();
    std::promise<uint16_t> listening;
    relay_ = std::make_unique<relay::Relay>(
        io_, relay::parse_config(config.dump(), folder_),
        [&](const relay::tcp::endpoint& at) { listening.set_value(at.port()); }, std::move(files));
    loop_ = std::thread([this] { io_.run(); });
    port_ = listening.get_future().get();
    // A call that stays open: its first byte shows that the sync of all that was written before it has ended,
    // and nothing more is written. From here on each sync is the test's.
    Socket client = this->client();
    client.send(put_command("00000000000000a0", kFacts));
    EXPECT_EQ(client.read_line(), "+OK");
    open_ = host_.accept();
    EXPECT_TRUE(read_request(open_));
    EXPECT_EQ(ping(), "+PONG");
    files_->hold();
  }
  ~GroupDurability() override {
    files_->release();
    boost::asio::post(io_, [this] { io_.stop(); });
    loop_.join();
    relay_.reset();
    std::filesystem::remove_all(folder_);
  }

  Socket client() const { return Socket::connect(port_); }
  // All that the relay had read before this has been decided on.
  std::string ping() const {
    Socket other = client();
    other.send("*1\r\n$4\r\nPING\r\n");
    return other.read_line();
  }
  static bool silent(const Socket& socket) {
    pollfd poll{socket.fd(), POLLIN, 0};
    return ::poll(&poll, 1, 0) == 0;
  }
  static std::filesystem::path make_folder() {
    std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-test-XXXXXX";
    return ::mkdtemp(pattern.data());
  }

  static constexpr const char* kFacts = "c=safe,d=60000,dest=7";
  std::filesystem::path folder_ = make_folder();
  FakeDiscovery discovery_;
  Socket host_ = Socket::listen();
  Socket open_;
  boost::asio::io_context io_{1};
  HeldFiles* files_ = nullptr;
  std::unique_ptr<relay::Relay> relay_;
  std::thread loop_;
  uint16_t port_ = 0;
};

TEST_F(GroupDurability, NothingIsAnsweredOrSentBeforeTheDiskHasIt) {
  Socket first = client();
  first.send(put_command("00000000000000a1", kFacts));
  ASSERT_TRUE(files_->entered(1));
  Socket call = host_.accept();  // connected, and no more
  Socket second = client();
  second.send(put_command("00000000000000a2", kFacts));
  EXPECT_EQ(ping(), "+PONG") << "the loop goes on";
  EXPECT_TRUE(silent(first));
  EXPECT_TRUE(silent(call));
  files_->permit(true);
  EXPECT_EQ(first.read_line(), "+OK");
  // The second one, and the first one's attempt, came after that sync had begun: one more covers both.
  ASSERT_TRUE(files_->entered(2));
  EXPECT_EQ(ping(), "+PONG");
  EXPECT_TRUE(silent(second));
  EXPECT_TRUE(silent(call));
  files_->release();
  EXPECT_EQ(second.read_line(), "+OK");
  const auto request = read_request(call);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->headers.at("x-call-id"), "00000000000000a1");
}

TEST_F(GroupDurability, AFailedSyncClaimsNothingAndIsMadeUpFor) {
  Socket first = client();
  first.send(put_command("00000000000000a1", kFacts));
  ASSERT_TRUE(files_->entered(1));
  Socket call = host_.accept();
  files_->permit(false);
  ASSERT_TRUE(files_->entered(2));  // tried again, with all of it written anew
  EXPECT_EQ(ping(), "+PONG");
  EXPECT_TRUE(silent(first));
  EXPECT_TRUE(silent(call));
  files_->release();
  EXPECT_EQ(first.read_line(), "+OK");
  const auto request = read_request(call);
  ASSERT_TRUE(request);
  EXPECT_EQ(request->headers.at("x-call-id"), "00000000000000a1");
}

// Its time ends while the record of its attempt is being synced: nothing goes out when that has come, and
// what was never sent is given back although it may not be repeated.
TEST_F(GroupDurability, ACallWhoseTimeEndsWhileItsRecordIsSyncedNeverRan) {
  Socket first = client();
  first.send(put_command("00000000000000a1", "c=unsafe,d=1500,dest=7"));
  ASSERT_TRUE(files_->entered(1));
  Socket call = host_.accept();
  files_->permit(true);
  EXPECT_EQ(first.read_line(), "+OK");
  ASSERT_TRUE(files_->entered(2));  // of the attempt's record
  EXPECT_TRUE(call.closed_by_peer()) << "something was written";
  files_->release();
  EXPECT_EQ(discovery_.next_notice().at("state"), "returned");
}

}  // namespace
}  // namespace firspool::testing

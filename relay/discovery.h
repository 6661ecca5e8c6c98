// Connections to the platform's discovery: the watch on the host list, and the notices that end messages.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "directory.h"
#include "members/list_stream_parser.h"
#include "members/watch_scheduler.h"
#include "message.h"

namespace firspool::relay {

// Keeps a watch on the host list open: one that ends, falls silent or sends a malformed list is reopened
// after a delay from the scheduler. One that is silent stays open beside those that were opened after it,
// until any of them brings an item: a discovery that is slow would never be heard otherwise. Discovery may
// move to another address. What the old one has sent still counts, so its stream is read to its end.
class DiscoveryWatch {
 public:
  using ListCallback = std::function<void(const HostList&)>;
  using RevisionProvider = std::function<int64_t()>;  // the revision after which changes are requested

  // `on_item` is called after each item, once the lists so far have been passed to `on_list`, which throws
  // std::exception to refuse one. `max_list_bytes`: a longer list is malformed. `list_known`: the relay
  // already has a host list to start with.
  DiscoveryWatch(boost::asio::io_context& io, const tcp::endpoint& address, ListNames names,
                 RevisionProvider revision, ListCallback on_list, std::function<void()> on_item,
                 umberhoist::members::WatchScheduler scheduler, size_t max_list_bytes, bool list_known);
  ~DiscoveryWatch();

  // Makes the first request, now or after the scheduler's initial delay.
  void start();
  void set_address(const tcp::endpoint& address);

 private:
  class Stream;

  void connect();
  void connect_after(Time delay);
  Time time_until_retry() const;
  void on_stream_ended(const std::shared_ptr<Stream>& stream);
  void on_stream_overdue(const std::shared_ptr<Stream>& stream);
  void follow(const std::shared_ptr<Stream>& stream);
  void limit_buffered_lists();
  void log_trouble(const Stream& stream);
  void log_recovery();
  void on_list_too_long();
  // An empty item is a keep-alive. Returns false if the list is malformed or refused.
  bool handle_item(const std::shared_ptr<Stream>& stream, const std::string& list);

  boost::asio::io_context& io_;
  tcp::endpoint address_;
  ListNames names_;
  RevisionProvider get_revision_;
  ListCallback on_list_;
  std::function<void()> on_item_;
  umberhoist::members::WatchScheduler scheduler_;
  size_t max_list_bytes_;
  bool too_long_logged_ = false;  // and no list was accepted since
  bool list_known_;
  boost::asio::steady_timer retry_timer_;
  std::optional<std::chrono::steady_clock::time_point> trouble_since_;  // logged, and no item came since
  std::shared_ptr<Stream> stream_;
  std::vector<std::shared_ptr<Stream>> overdue_streams_;  // to the same address, the oldest first
  std::vector<std::shared_ptr<Stream>> old_streams_;      // to former addresses, until they end
};

// Sends notices to discovery and repeats each until it is acknowledged with 204. Each post has a connection
// of its own. The time allowed for a reply doubles with each post that gets none.
class NoticeSender {
 public:
  using AcknowledgedCallback = std::function<void(const std::string& id)>;

  NoticeSender(boost::asio::io_context& io, const tcp::endpoint& address,
               AcknowledgedCallback on_acknowledged);
  ~NoticeSender();

  void add(Notice notice);
  // Sends the unacknowledged notices to the new address at once.
  void set_address(const tcp::endpoint& address);
  bool empty() const { return queue_.empty(); }

 private:
  class Post;
  enum class PostResult { kAcknowledged, kTimedOut, kFailed };

  void send_next();
  void send_at(std::chrono::steady_clock::time_point time);
  void on_post_ended(PostResult result, std::chrono::steady_clock::duration waited);

  boost::asio::io_context& io_;
  tcp::endpoint address_;
  AcknowledgedCallback on_acknowledged_;
  boost::asio::steady_timer retry_timer_;
  std::chrono::milliseconds retry_delay_;
  std::chrono::milliseconds reply_timeout_;
  std::chrono::steady_clock::time_point earliest_post_;
  std::deque<Notice> queue_;
  size_t in_flight_ = 0;  // notices at the front of queue_ that are in the current request
  std::shared_ptr<Post> post_;
};

}  // namespace firspool::relay

#include "peers.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <fstream>
#include <stdexcept>

namespace firspool::testing {
namespace {

bool readable(int fd, int ms) {
  pollfd waiting{fd, POLLIN, 0};
  return ::poll(&waiting, 1, ms) > 0;
}

sockaddr_in loopback(uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return out;
}

}  // namespace

Socket Socket::listen(int backlog) {
  Socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in at = loopback(0);
  if (::bind(out.fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      ::listen(out.fd_, backlog) != 0) {
    throw std::runtime_error("cannot listen");
  }
  return out;
}

Socket Socket::connect(uint16_t port) {
  Socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in at = loopback(port);
  if (::connect(out.fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) out.close();
  return out;
}

Socket Socket::accept() const {
  if (!readable(fd_, kDeadlineMs)) return Socket();
  return Socket(::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
}

uint16_t Socket::port() const {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

void Socket::close() {
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  buffer_.clear();
}

void Socket::reset() {
  const linger now{1, 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close();
}

bool Socket::send(const std::string& bytes) const {
  return ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

bool Socket::fill() {
  if (fd_ < 0 || !readable(fd_, kDeadlineMs)) return false;
  char bytes[4096];
  const ssize_t got = ::read(fd_, bytes, sizeof bytes);
  if (got > 0) buffer_.append(bytes, static_cast<size_t>(got));
  return got > 0;
}

std::string Socket::read_line() {
  size_t end = 0;
  while ((end = buffer_.find('\n')) == std::string::npos) {
    if (!fill()) return "";
  }
  std::string out = buffer_.substr(0, end);
  buffer_.erase(0, end + 1);
  if (!out.empty() && out.back() == '\r') out.pop_back();
  return out;
}

std::string Socket::read_exactly(size_t count) {
  while (buffer_.size() < count && fill()) continue;
  const std::string out = buffer_.substr(0, count);
  buffer_.erase(0, count);
  return out;
}

bool Socket::closed_by_peer() {
  if (!buffer_.empty() || fd_ < 0 || !readable(fd_, kDeadlineMs)) return false;
  char byte = 0;
  return ::read(fd_, &byte, 1) <= 0;
}

bool Socket::drained_until_closed() {
  buffer_.clear();
  while (fd_ >= 0 && readable(fd_, kDeadlineMs)) {
    char bytes[65536];
    if (::read(fd_, bytes, sizeof bytes) <= 0) return true;
  }
  return false;
}

void Socket::half_close() const { ::shutdown(fd_, SHUT_WR); }

std::optional<Request> read_request(Socket& socket) {
  Request out;
  out.request_line = socket.read_line();
  if (out.request_line.empty()) return {};
  for (std::string line = socket.read_line(); !line.empty(); line = socket.read_line()) {
    std::string name = line.substr(0, line.find(": "));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    out.headers[name] = line.substr(line.find(": ") + 2);
  }
  const auto length = out.headers.find("content-length");
  if (length != out.headers.end()) out.body = socket.read_exactly(std::stoul(length->second));
  return out;
}

Request FakeHost::next_request() {
  while (true) {
    pollfd waiting[2] = {{listener_.fd(), POLLIN, 0}, {connection_.fd(), POLLIN, 0}};
    if (::poll(waiting, 2, kDeadlineMs) <= 0) throw std::runtime_error("no call came");
    if (connection_.is_open() && waiting[1].revents != 0) {
      if (auto request = read_request(connection_)) return *request;
      connection_.close();
    } else if (waiting[0].revents != 0) {
      connection_ = listener_.accept();
      ++connections_;
    }
  }
}

void FakeHost::limit_receive_buffer() {
  const int bytes = 4096;
  ASSERT_EQ(::setsockopt(listener_.fd(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes), 0);
}

void FakeHost::read_head() {
  connection_ = listener_.accept();
  ++connections_;
  while (!connection_.read_line().empty()) continue;
}

bool FakeHost::has_pending_input() const {
  return readable(listener_.fd(), 0) || (connection_.is_open() && readable(connection_.fd(), 0));
}

void FakeHost::respond(const std::string& status, const std::string& headers) {
  ASSERT_TRUE(connection_.send("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: 2\r\n\r\nhi"));
}

FakeDiscovery::FakeDiscovery() {
  acceptor_ = std::thread([this] {
    while (!stopped_) {
      if (!readable(listener_.fd(), 50)) continue;
      threads_.emplace_back(
          [this, connection = listener_.accept()]() mutable { serve(std::move(connection)); });
    }
  });
}

FakeDiscovery::~FakeDiscovery() {
  stopped_ = true;
  acceptor_.join();
  for (std::thread& thread : threads_) thread.join();
}

void FakeDiscovery::serve(Socket connection) {
  const auto chunk = [&](const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return connection.send(size + text + "\r\n");
  };
  for (int posts = 0; !stopped_;) {
    if (!readable(connection.fd(), 50)) continue;
    const auto request = read_request(connection);
    if (!request) return;
    if (request->request_line.starts_with("GET")) {
      if (silent_) continue;
      add_watch(request->request_line);
      if (readable(connection.fd(), static_cast<int>(reply_delay_.load().count()))) return;  // given up
      connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      size_t sent = first_list();
      while (!stopped_ && !readable(connection.fd(), 50)) {
        if (!chunk(take_list(sent))) return;
      }
      return;
    }
    if (posts++ > 0 && answers_later_posts_unread_) {
      connection.send("HTTP/1.1 204 No Content\r\n\r\n");
      continue;
    }
    if (notices_to_refuse_ > 0) {
      --notices_to_refuse_;
      ++refused_notices_;
      connection.send("HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    {
      const std::lock_guard lock(mutex_);
      std::string body = request->body;
      for (size_t end = 0; (end = body.find('\n')) != std::string::npos; body.erase(0, end + 1)) {
        notices_.push_back(nlohmann::json::parse(body.substr(0, end)));
      }
    }
    changed_.notify_all();
    connection.send("HTTP/1.1 204 No Content\r\n\r\n");
  }
}

void FakeDiscovery::publish(const nlohmann::json& list) {
  const std::lock_guard lock(mutex_);
  lists_.push_back(list.dump());
}

void FakeDiscovery::replace_lists(const nlohmann::json& list) {
  const std::lock_guard lock(mutex_);
  lists_.push_back(list.dump());
  first_list_ = lists_.size() - 1;
}

bool FakeDiscovery::await_sending() {
  std::unique_lock lock(mutex_);
  const auto begun = [this] { return lists_begun_ == lists_.size(); };
  return changed_.wait_for(lock, std::chrono::milliseconds(kDeadlineMs), begun);
}

void FakeDiscovery::add_watch(const std::string& request_line) {
  const std::lock_guard lock(mutex_);
  watches_.push_back(request_line);
  changed_.notify_all();
}

bool FakeDiscovery::await_watch(int revision) {
  const std::string target = "&index=" + std::to_string(revision) + " ";
  std::unique_lock lock(mutex_);
  const auto opened = [&] {
    return std::any_of(watches_.begin(), watches_.end(), [&](const std::string& request_line) {
      return request_line.find(target) != std::string::npos;
    });
  };
  return changed_.wait_for(lock, std::chrono::milliseconds(kDeadlineMs), opened);
}

// What the watch that got `sent` lists gets next: a list, or a keep-alive.
std::string FakeDiscovery::take_list(size_t& sent) {
  const std::lock_guard lock(mutex_);
  if (sent == lists_.size()) return "\n";
  lists_begun_ = std::max(lists_begun_, sent + 1);
  changed_.notify_all();
  return lists_[sent++] + "\n";
}

size_t FakeDiscovery::first_list() {
  const std::lock_guard lock(mutex_);
  return first_list_;
}

nlohmann::json FakeDiscovery::next_notice() {
  std::unique_lock lock(mutex_);
  const auto there = [this] { return !notices_.empty(); };
  if (!changed_.wait_for(lock, std::chrono::milliseconds(kDeadlineMs), there)) return nullptr;
  const nlohmann::json out = notices_.front();
  notices_.erase(notices_.begin());
  return out;
}

std::vector<nlohmann::json> FakeDiscovery::take_notices() {
  const std::lock_guard lock(mutex_);
  return std::exchange(notices_, {});
}

nlohmann::json member_json(const std::string& id, const std::string& address, int cell,
                           const std::string& phase) {
  return {{"id", id},     {"host_port", address}, {"locality", "a"}, {"flavor", "std"},
          {"cell", cell}, {"phase", phase},       {"size", 50.0},    {"up_since_ms", 0}};
}

nlohmann::json list_json(int revision, bool complete, std::vector<nlohmann::json> members) {
  return {{"revision", revision}, {"complete", complete}, {"members", members}};
}

nlohmann::json config_json(const std::string& discovery, std::vector<nlohmann::json> known) {
  const auto category = [](const std::string& effect) {
    return nlohmann::json{{"name", effect},    {"semantics", effect}, {"key_scope", "all"},
                          {"key_ttl_s", 60.0}, {"target_s", 2.0},     {"give_up_s", 60.0},
                          {"worth", 1.0},      {"late_worth", 0.3}};
  };
  const nlohmann::json settings = {
      {"azs", {"a"}},
      {"kinds", {"std"}},
      {"categories", {category("safe"), category("keyed"), category("unsafe")}},
      {"family_info", {{"calls_out", 8}, {"kind_apart", {false}}, {"kind_batch", {1}}, {"late", "halves"}}},
      {"bounds",
       {{"open_cap", 20},
        {"max_attempts", 6},
        {"streams_per_conn", 1},
        {"may_probe", false},
        {"cancel", true},
        {"conn_idle_s", 10.0},
        {"connect_timeout_s", 1.0},
        {"retry_after", true}}},
      {"obligations", {{"stop_sending_within_s", 1.0}, {"cold_s", 1.0}, {"fall_s", 3.0}}},
      {"weights", "nominal"},
      {"resolution_s", 0.005}};
  return {{"name", "n0"},
          {"listen", "127.0.0.1:0"},
          {"discovery", discovery},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}, {"disk_mb", 3}}},
          {"known", list_json(1, true, std::move(known))},
          {"settings", settings}};
}

RelayProcess::RelayProcess(nlohmann::json config) {
  std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-test-XXXXXX";
  folder_ = ::mkdtemp(pattern.data());
  std::filesystem::create_directory(state_folder());
  write_config(config.dump());
}

RelayProcess::~RelayProcess() {
  kill();
  std::filesystem::remove_all(folder_);
}

void RelayProcess::write_config(const std::string& text) {
  std::ofstream(folder_ / "config.new") << text;
  std::filesystem::rename(folder_ / "config.new", folder_ / "config.json");
}

void RelayProcess::launch(int descriptors) {
  int pipe[2];
  ASSERT_EQ(::pipe2(pipe, O_CLOEXEC), 0);
  const std::string config = folder_ / "config.json";
  const std::string folder = state_folder();
  child_ = ::fork();
  if (child_ == 0) {
    ::dup2(pipe[1], 2);
    if (descriptors > 0) {
      const rlimit limit{static_cast<rlim_t>(descriptors), static_cast<rlim_t>(descriptors)};
      ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ::setenv("PROXY_CONFIG", config.c_str(), 1);
    ::setenv("PROXY_STATE", folder.c_str(), 1);
    if (!fault_.empty()) ::setenv("UMBERHOIST_FAULT", fault_.c_str(), 1);
    ::execl(program_.c_str(), program_.c_str(), nullptr);
    ::_exit(127);
  }
  ::close(pipe[1]);
  log_ = Socket(pipe[0]);
}

std::string RelayProcess::startup_error(int descriptors) {
  launch(descriptors);
  std::string line = log_.read_line();
  ::waitpid(std::exchange(child_, -1), nullptr, 0);
  return line;
}

void RelayProcess::start(int descriptors) {
  launch(descriptors);
  const std::string line = log_.read_line();
  ASSERT_TRUE(line.starts_with("listening on ")) << line;
  port_ = static_cast<uint16_t>(std::stoi(line.substr(line.rfind(':') + 1)));
  log_reader_ = std::thread([this] {  // so that a full pipe never blocks the daemon
    char bytes[4096];
    for (ssize_t got = 0; (got = ::read(log_.fd(), bytes, sizeof bytes)) > 0;) {
      if (::write(2, bytes, static_cast<size_t>(got)) < 0) return;
    }
  });
}

void RelayProcess::start_planted(const std::string& program, const std::string& fault) {
  const std::string original = std::exchange(program_, program);
  fault_ = fault;
  start();
  program_ = original;
  fault_.clear();
}

int64_t RelayProcess::cpu_time_us() const {
  clockid_t clock = 0;
  timespec used{};
  if (::clock_getcpuclockid(child_, &clock) != 0 || ::clock_gettime(clock, &used) != 0) return -1;
  return int64_t{1'000'000} * used.tv_sec + used.tv_nsec / 1000;
}

void RelayProcess::signal(int number) { ::kill(child_, number); }

int RelayProcess::wait() {
  int status = 0;
  ::waitpid(child_, &status, 0);
  child_ = -1;
  log_reader_.join();
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void RelayProcess::kill() {
  if (child_ <= 0) return;
  signal(SIGKILL);
  wait();
}

std::string put_command(const std::string& id, const std::string& attributes, const std::string& body) {
  std::string out = "*5\r\n";
  for (const std::string& word :
       {std::string("MSG.PUT"), std::string("0000000000000000"), id, attributes, body}) {
    out += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  }
  return out;
}

}  // namespace firspool::testing

// Stand-ins for the cases of the second review: hosts, clients, and the platform's agent (discovery and
// notices) as PROTOCOL-umberhoist.md describes them, and the relay as a child process. Loopback addresses
// only.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace play {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();
inline int64_t ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count();
}
inline void sleep_ms(int64_t t) { std::this_thread::sleep_for(std::chrono::milliseconds(t)); }
inline int64_t wall_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// The case could not run: exit status 2.
[[noreturn]] inline void cannot_run(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

// What was sent, answered and run, one line each, with the time since the start in milliseconds.
class Record {
 public:
  Record() {
    const char* path = std::getenv("CASE_RECORD");
    file_ = path == nullptr ? nullptr : std::fopen(path, "w");
    if (file_ == nullptr) cannot_run("record.txt cannot be written");
  }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8lld ", static_cast<long long>(ms()));
    va_list args;
    va_start(args, format);
    std::vfprintf(file_, format, args);
    va_end(args);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};

// ---- Sockets ----

inline int bind_to(uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) cannot_run("no free port");
  return fd;
}

inline uint16_t free_port() {
  const int fd = bind_to(0);
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return ntohs(address.sin_port);
}

// The port is bound by its number, so that the socket keeps it while it does not listen.
inline int listen_at(uint16_t& port) {
  if (port == 0) port = free_port();
  const int fd = bind_to(port);
  if (::listen(fd, 256) != 0) cannot_run("no port to listen on");
  return fd;
}

inline int connect_to(uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int yes = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  return fd;
}

inline std::string at(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// One end of a connection, read by one thread.
class Line {
 public:
  explicit Line(int fd) : fd_(fd) {}
  ~Line() {
    if (fd_ >= 0) ::close(fd_);
  }
  Line(const Line&) = delete;
  int fd() const { return fd_; }

  bool write(const std::string& bytes) {
    size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t count = ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (count <= 0) return false;
      done += static_cast<size_t>(count);
    }
    return true;
  }
  // Reads until `end` is in the buffer; false at the end of the stream, or after `timeout` milliseconds.
  bool read_until(const std::string& end, std::string& out, int64_t timeout = -1) {
    const int64_t by = ms() + timeout;
    while (true) {
      const size_t found = buffer_.find(end);
      if (found != std::string::npos) {
        out = buffer_.substr(0, found);
        buffer_.erase(0, found + end.size());
        return true;
      }
      if (!fill(timeout < 0 ? -1 : std::max<int64_t>(0, by - ms()))) return false;
    }
  }
  bool read_exactly(size_t count, std::string& out) {
    while (buffer_.size() < count) {
      if (!fill(-1)) return false;
    }
    out = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return true;
  }
  // Whether the peer ends the connection within so many milliseconds.
  bool ended_within(int64_t timeout) {
    pollfd one{fd_, POLLIN | POLLRDHUP, 0};
    if (::poll(&one, 1, static_cast<int>(timeout)) <= 0) return false;
    char byte;
    return (one.revents & (POLLERR | POLLHUP | POLLRDHUP)) != 0 || ::recv(fd_, &byte, 1, MSG_PEEK) <= 0;
  }

 private:
  bool fill(int64_t timeout) {
    pollfd one{fd_, POLLIN, 0};
    if (::poll(&one, 1, static_cast<int>(timeout)) <= 0) return false;
    char bytes[16384];
    const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
    if (count <= 0) return false;
    buffer_.append(bytes, static_cast<size_t>(count));
    return true;
  }

  int fd_;
  std::string buffer_;
};

struct Request {
  std::string method, target;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;
};

inline bool read_request(Line& line, Request& out) {
  std::string head;
  if (!line.read_until("\r\n\r\n", head)) return false;
  out = {};
  size_t from = head.find("\r\n");
  const std::string first = head.substr(0, from);
  out.method = first.substr(0, first.find(' '));
  out.target = first.substr(out.method.size() + 1, first.rfind(' ') - out.method.size() - 1);
  while (from != std::string::npos) {
    const size_t next = head.find("\r\n", from + 2);
    const std::string field =
        head.substr(from + 2, next == std::string::npos ? std::string::npos : next - from - 2);
    const size_t colon = field.find(':');
    std::string name = field.substr(0, colon);
    for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    size_t value = colon == std::string::npos ? field.size() : colon + 1;
    while (value < field.size() && field[value] == ' ') ++value;
    out.fields[name] = field.substr(value);
    from = next;
  }
  const auto length = out.fields.find("content-length");
  return length == out.fields.end() || line.read_exactly(std::stoul(length->second), out.body);
}

inline const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
inline const std::string kNoContent = "HTTP/1.1 204 No Content\r\n\r\n";

// Accepts connections, each served by a thread of its own until the process ends.
class Server {
 public:
  explicit Server(std::function<void(Line&)> serve, uint16_t port = 0)
      : serve_(std::move(serve)), port_(port), fd_(listen_at(port_)) {
    std::thread([this] { accept(); }).detach();
  }
  uint16_t port() const { return port_; }

  // As a process that dies: its connections are reset, and new ones are refused until up().
  void down() {
    const std::lock_guard lock(mutex_);
    is_up_ = false;
    ::shutdown(fd_, SHUT_RDWR);
    const linger none{1, 0};
    for (const int one : open_) {
      ::setsockopt(one, SOL_SOCKET, SO_LINGER, &none, sizeof none);
      ::shutdown(one, SHUT_RD);
    }
    dead_.insert(open_.begin(), open_.end());
  }
  void up() {
    const std::lock_guard lock(mutex_);
    if (::listen(fd_, 256) != 0) cannot_run("a stand-in cannot listen again");
    is_up_ = true;
  }
  // Whether the process that had this connection has died: nothing is written on it any more.
  bool is_dead(const Line& line) {
    const std::lock_guard lock(mutex_);
    return dead_.contains(line.fd());
  }

 private:
  void accept() {
    while (true) {
      const int one = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (one < 0) {
        sleep_ms(2);
        continue;
      }
      const int yes = 1;
      ::setsockopt(one, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      {
        const std::lock_guard lock(mutex_);
        open_.insert(one);
        if (!is_up_) dead_.insert(one);
      }
      std::thread([this, one] {
        Line line(one);
        serve_(line);
        const std::lock_guard lock(mutex_);
        open_.erase(one);
        dead_.erase(one);
      }).detach();
    }
  }

  std::function<void(Line&)> serve_;
  uint16_t port_;
  int fd_;
  std::mutex mutex_;
  bool is_up_ = true;
  std::set<int> open_, dead_;
};

// ---- The platform: the agent that tells of hosts and takes notices ----

struct Member {
  std::string id;
  uint16_t port = 0;
  int cell = 0;
  std::string phase = "active";
  int64_t up_since_ms = 0;
  double size = 10;
  std::string zone = "a";
};

inline std::string json_of(const Member& m) {
  char out[400];
  std::snprintf(out, sizeof out,
                "{\"id\":\"%s\",\"host_port\":\"%s\",\"locality\":\"%s\",\"flavor\":\"std\",\"cell\":%d,"
                "\"phase\":\"%s\",\"size\":%.1f,\"up_since_ms\":%lld}",
                m.id.c_str(), at(m.port).c_str(), m.zone.c_str(), m.cell, m.phase.c_str(), m.size,
                static_cast<long long>(m.up_since_ms));
  return out;
}

class Agent {
 public:
  struct Notice {
    std::string id;
    bool returned = false;
    int64_t after_ms = 0;
  };
  explicit Agent(Record& record) : record_(record), server_([this](Line& line) { serve(line); }) {}

  uint16_t port() const { return server_.port(); }
  std::function<void(const Notice&)> on_notice;
  // How long discovery takes before it says its first word on a watch.
  std::atomic<int64_t> answers_after_ms{0};

  void set(const std::vector<Member>& members) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    for (const Member& m : members) {
      if (m.phase == "left") {
        members_.erase(m.id);
      } else {
        members_[m.id] = m;
      }
      changes_.push_back({revision_, m});
      record_.line("discovery: revision %lld: %s at %s, cell %d: %s", static_cast<long long>(revision_),
                   m.id.c_str(), at(m.port).c_str(), m.cell, m.phase.c_str());
    }
    changed_.notify_all();
  }
  std::string whole_list() {
    const std::lock_guard lock(mutex_);
    return list_after(-1);
  }

 private:
  std::string list_after(int64_t revision) {
    std::string out = "{\"revision\":" + std::to_string(revision_) +
                      ",\"complete\":" + (revision < 0 ? "true" : "false") + ",\"members\":[";
    bool first = true;
    const auto add = [&](const Member& m) {
      out += (first ? "" : ",") + json_of(m);
      first = false;
    };
    if (revision < 0) {
      for (const auto& [id, m] : members_) add(m);
    } else {
      for (const auto& [at, m] : changes_) {
        if (at > revision) add(m);
      }
    }
    return out + "]}\n";
  }

  void serve(Line& line) {
    Request request;
    while (read_request(line, request)) {
      if (request.method == "POST") {
        take_notices(request.body);
        if (!line.write(kNoContent)) return;
      } else if (request.target.find("stream=1") != std::string::npos) {
        return watch(line, request.target);
      } else {
        const std::string list = whole_list();
        line.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
      }
    }
  }

  void watch(Line& line, const std::string& target) {
    const size_t index = target.find("index=");
    int64_t told = index == std::string::npos ? -1 : std::stoll(target.substr(index + 6));
    record_.line("discovery: a watch from revision %lld is asked for", static_cast<long long>(told));
    if (line.ended_within(answers_after_ms)) {
      record_.line("discovery: that watch was given up before it was answered");
      return;
    }
    const auto chunk = [&](const std::string& text) {
      char size[20];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      return line.write(size + text + "\r\n");
    };
    if (!line.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
    bool first = true;
    while (true) {
      std::string text;
      {
        std::unique_lock lock(mutex_);
        if (!first) changed_.wait_for(lock, std::chrono::seconds(2), [&] { return revision_ != told; });
        text = first || revision_ != told ? list_after(told) : "\n";
        if (first || revision_ != told) {
          record_.line("discovery: revision %lld is told", static_cast<long long>(revision_));
        }
        told = revision_;
      }
      first = false;
      if (!chunk(text)) return;
    }
  }

  void take_notices(const std::string& body) {
    size_t from = 0;
    while (from < body.size()) {
      const std::string text = body.substr(from, body.find('\n', from) - from);
      from += text.size() + 1;
      const auto value = [&](const std::string& name) {
        const size_t found = text.find("\"" + name + "\":");
        if (found == std::string::npos) return std::string();
        const size_t begin = found + name.size() + 3;
        return text[begin] == '"' ? text.substr(begin + 1, text.find('"', begin + 1) - begin - 1)
                                  : text.substr(begin, text.find_first_of(",}", begin) - begin);
      };
      Notice notice{value("id"), value("state") == "returned", std::atoll(("0" + value("after_ms")).c_str())};
      record_.line("notice: %s %s, after %lld ms", notice.id.c_str(), notice.returned ? "returned" : "failed",
                   static_cast<long long>(notice.after_ms));
      if (on_notice) on_notice(notice);
    }
  }

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  int64_t revision_ = 40;
  std::map<std::string, Member> members_;
  std::vector<std::pair<int64_t, Member>> changes_;
  Server server_;
};

// ---- Clients ----

// A client that keeps its connection. Answers: the relay's line, or "" where it ended the connection or was
// silent for 400 ms.
class Client {
 public:
  explicit Client(uint16_t port) : port_(port) {}

  std::string put(const std::string& id, const std::string& names, const std::string& body,
                  const std::string& key = "0000000000000000") {
    std::string answer;
    for (int tries = 0; tries < 2; ++tries) {
      const bool fresh = !line_;
      if (fresh) {
        const int fd = connect_to(port_);
        if (fd < 0) return "";
        line_ = std::make_unique<Line>(fd);
      }
      const int64_t sent = ms();
      if (line_->write(command({"MSG.PUT", key, id, names, body})) &&
          line_->read_until("\r\n", answer, 400)) {
        return answer;
      }
      line_.reset();
      // It crossed the end of a connection that stood between requests: once more on a new one.
      if (fresh || ms() - sent >= 400) return "";
    }
    return "";
  }
  static std::string command(const std::vector<std::string>& words) {
    std::string out = "*" + std::to_string(words.size()) + "\r\n";
    for (const std::string& word : words) out += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
    return out;
  }

 private:
  uint16_t port_;
  std::unique_ptr<Line> line_;
};

// ---- The relay ----

// A new empty folder for one run, removed by run.sh.
inline std::string folder() {
  const char* out = std::getenv("CASE_FOLDER");
  if (out == nullptr) cannot_run("CASE_FOLDER is not set: start run.sh");
  return out;
}

inline void write_file(const std::string& path, const std::string& text) {
  FILE* file = std::fopen(path.c_str(), "w");
  if (file == nullptr || std::fwrite(text.data(), 1, text.size(), file) != text.size())
    cannot_run(path + " cannot be written");
  std::fclose(file);
}

class RelayProcess {
 public:
  RelayProcess(Record& record, std::string name, uint16_t port)
      : record_(record), name_(std::move(name)), port_(port) {
    const std::string state = folder() + "/" + name_;
    if (::system(("mkdir -p " + state).c_str()) != 0) cannot_run("no folder for the relay's state");
  }
  ~RelayProcess() { end(SIGKILL); }
  uint16_t port() const { return port_; }

  // `settings`: the object "settings"; `known`: the list.
  void configure(uint16_t discovery, const std::string& settings, const std::string& known) {
    write_file(
        config(),
        "{\"name\":\"" + name_ + "\",\"listen\":\"" + at(port_) + "\",\"discovery\":\"" + at(discovery) +
            "\",\"seed\":\"" + seed() +
            "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3},\"known\":" +
            known + ",\"settings\":" + settings + "}");
    discovery_ = discovery;
  }
  // By the deploy file's command, from the root of the repository. Returns once it answers PING.
  void start() {
    const std::string command = "exec build/umberhoist";
    pid_ = ::fork();
    if (pid_ < 0) cannot_run("no process");
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::setenv("PROXY_NAME", name_.c_str(), 1);
      ::setenv("PROXY_LISTEN", at(port_).c_str(), 1);
      ::setenv("PROXY_DISCOVERY", at(discovery_).c_str(), 1);
      ::setenv("PROXY_STATE", (folder() + "/" + name_).c_str(), 1);
      ::setenv("PROXY_CONFIG", config().c_str(), 1);
      if (std::freopen((folder() + "/" + name_ + ".log").c_str(), "a", stderr) == nullptr) ::_exit(2);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      ::_exit(2);
    }
    record_.line("relay %s: started", name_.c_str());
    const int64_t by = ms() + 30'000;
    while (ms() < by) {
      const int fd = connect_to(port_);
      if (fd >= 0) {
        Line line(fd);
        std::string answer;
        if (line.write(Client::command({"PING"})) && line.read_until("\r\n", answer, 1000) &&
            answer == "+PONG") {
          record_.line("relay %s: ready", name_.c_str());
          return;
        }
      }
      sleep_ms(20);
    }
    cannot_run("the relay is not ready after 30 s");
  }
  void signal(int number) {
    record_.line("relay %s: signal %d", name_.c_str(), number);
    ::kill(pid_, number);
  }
  bool runs() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
    record_.line("relay %s: ended, status %d", name_.c_str(), status);
    pid_ = -1;
    return false;
  }
  void end(int number) {
    if (pid_ <= 0) return;
    record_.line("relay %s: signal %d, and its end", name_.c_str(), number);
    ::kill(pid_, number);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  std::string config() const { return folder() + "/" + name_ + ".json"; }
  static std::string seed() {
    std::string out;
    for (int i = 0; i < 16; ++i) out += "0123456789abcdef"[std::rand() % 16];
    return out;
  }

  Record& record_;
  std::string name_;
  uint16_t port_;
  uint16_t discovery_ = 0;
  pid_t pid_ = -1;
};

inline bool with_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline std::string hex_id(uint64_t number) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx",
                static_cast<unsigned long long>(number * 0x9e3779b97f4a7c15ULL + 0x1234567ULL));
  return out;
}

}  // namespace play

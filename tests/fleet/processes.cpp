#include "tests/fleet/processes.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace umberhoist::testing {

using register_pb::Ask;

uint64_t Status::number(const std::string& word) const {
  const auto it = fields.find(word);
  return it == fields.end() ? 0 : std::strtoull(it->second.c_str(), nullptr, 10);
}

void InvariantChecker::record(const std::string& relay, const Status& status) {
  if (!status.received) return;
  const std::lock_guard lock(mutex_);
  const auto report_violation = [&](const std::string& what) { violations_.push_back(relay + ": " + what); };
  if (status.fields.contains("diverged")) report_violation("its state differs from the others'");
  const uint64_t index = status.number("index");
  if (index != 0) {
    const auto [known, is_new] =
        digests_.emplace(std::pair(status.number("generation"), index), status.fields.at("digest"));
    if (!is_new && known->second != status.fields.at("digest")) {
      report_violation("another state after command " + std::to_string(index));
    }
  }
  // A relay that acts for a key by an older map after another acted for it by a newer one: two owners at a
  // time.
  const auto at = static_cast<int64_t>(status.number("at"));
  const uint64_t epoch = status.number("epoch") + 1'000'000 * status.number("generation");
  for (const auto& [first, last] : status.owns) {
    for (const Claim& other : claims_) {
      const bool overlap = first <= other.last && other.first <= last && other.relay != relay;
      if (!overlap) continue;
      if ((other.epoch > epoch && other.at < at) || (other.epoch < epoch && other.at > at) ||
          other.epoch == epoch) {
        report_violation("acts for a key that " + other.relay + " acts for, epochs " + std::to_string(epoch) +
                         " and " + std::to_string(other.epoch));
      }
    }
    const auto same = std::find_if(claims_.begin(), claims_.end(), [&](const Claim& c) {
      return c.relay == relay && c.epoch == epoch && c.first == first && c.last == last;
    });
    // Compared with newer maps the latest time of a claim counts, with older ones the first: keep both.
    if (same == claims_.end()) {
      claims_.push_back({at, epoch, first, last, relay});
      claims_.push_back({at, epoch, first, last, relay});
    } else {
      std::next(same)->at = at;
    }
  }
}

std::vector<std::string> InvariantChecker::violations() const {
  const std::lock_guard lock(mutex_);
  return violations_;
}

RelayProcesses::RelayProcesses(Options options) : options_(std::move(options)) {
  std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-fleet-XXXXXX";
  folder_ = ::mkdtemp(pattern.data());
  for (size_t i = 0; i < count(); ++i) {
    relays_.push_back(std::make_unique<Relay>());
    relays_[i]->folder = folder_ / name(i);
  }
  network_ = std::make_unique<Network>([this](size_t i) { return relays_[i]->fleet.load(); }, options_.seed);
  for (size_t i = 0; i < count(); ++i) {
    std::filesystem::create_directories(folder(i) / "state");
    std::ostringstream toml;
    toml << "name = \"" << name(i) << "\"\nid = " << i + 1 << "\nlisten = \"127.0.0.1:0\"\nfolder = \""
         << register_folder(i).string() << "\"\nzone = \"" << (i % 2 == 0 ? "a" : "b") << "\"\n";
    for (size_t j = 0; j < options_.voters; ++j) {
      toml << "[[voter]]\nname = \"" << name(j) << "\"\nid = " << j + 1
           << "\naddress = \"127.0.0.1:" << (i == j ? 1 : network_->port(i, j)) << "\"\n";
    }
    toml << "[timing]\n" << options_.timing << "[bounds]\n" << options_.bounds;
    std::ofstream(folder(i) / "fleet.toml") << toml.str();
    configure(i, options_.config);
  }
}

RelayProcesses::~RelayProcesses() {
  for (size_t i = 0; i < count(); ++i) {
    if (is_running(i)) signal(i, SIGCONT);
    kill(i);
  }
  network_.reset();
  std::filesystem::remove_all(folder_);
}

void RelayProcesses::configure(size_t i, const nlohmann::json& config) {
  nlohmann::json own = config;
  own["name"] = name(i);
  own["listen"] = "127.0.0.1:0";
  own["fleet"] = (folder(i) / "fleet.toml").string();
  own["seed"] = std::to_string(1000 + 17 * i + options_.seed);
  relays_[i]->config = own;
  std::ofstream(folder(i) / "config.new") << own.dump();
  std::filesystem::rename(folder(i) / "config.new", folder(i) / "config.json");
}

void RelayProcesses::read_log(Relay& relay, int pipe) {
  std::string rest;
  char bytes[4096];
  for (ssize_t got = 0; (got = ::read(pipe, bytes, sizeof bytes)) > 0;) {
    rest.append(bytes, static_cast<size_t>(got));
    for (size_t end = 0; (end = rest.find('\n')) != std::string::npos; rest.erase(0, end + 1)) {
      const std::string line = rest.substr(0, end);
      const auto port = [&] { return static_cast<uint16_t>(std::stoi(line.substr(line.rfind(':') + 1))); };
      if (line.starts_with("fleet listening on ")) relay.fleet = port();
      if (line.starts_with("listening on ")) relay.clients = port();
      const std::lock_guard lock(relay.mutex);
      relay.lines.push_back(line);
      relay.changed.notify_all();
    }
  }
  ::close(pipe);
}

void RelayProcesses::start(size_t i) {
  Relay& relay = *relays_[i];
  if (is_running(i)) return;
  int pipe[2];
  ASSERT_EQ(::pipe2(pipe, O_CLOEXEC), 0);
  const std::string config = folder(i) / "config.json";
  const std::string state = folder(i) / "state";
  relay.clients = relay.fleet = 0;
  const pid_t child = ::fork();
  if (child == 0) {
    ::dup2(pipe[1], 2);
    ::setenv("PROXY_CONFIG", config.c_str(), 1);
    ::setenv("PROXY_STATE", state.c_str(), 1);
    ::setenv("UMBERHOIST_POWER_SEED", std::to_string(options_.seed + i).c_str(), 1);
    ::execl(options_.program.c_str(), options_.program.c_str(), nullptr);
    ::_exit(127);
  }
  ::close(pipe[1]);
  relay.child = child;
  relay.reader = std::thread([this, &relay, end = pipe[0]] { read_log(relay, end); });
}

void RelayProcesses::start_all() {
  for (size_t i = 0; i < count(); ++i) start(i);
  for (size_t i = 0; i < count(); ++i) {
    Relay& relay = *relays_[i];
    std::unique_lock lock(relay.mutex);
    ASSERT_TRUE(relay.changed.wait_for(lock, std::chrono::milliseconds(firspool::testing::kDeadlineMs), [&] {
      return relay.clients != 0 && relay.fleet != 0;
    })) << name(i);
  }
}

void RelayProcesses::signal(size_t i, int number) { ::kill(relays_[i]->child, number); }

int RelayProcesses::wait_for_exit(size_t i) {
  Relay& relay = *relays_[i];
  int status = 0;
  ::waitpid(relay.child, &status, 0);
  relay.child = -1;
  relay.fleet = relay.clients = 0;
  relay.reader.join();
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void RelayProcesses::kill(size_t i) {
  if (!is_running(i)) return;
  signal(i, SIGKILL);
  wait_for_exit(i);
}

void RelayProcesses::kill_all() {
  for (size_t i = 0; i < count(); ++i) {
    if (is_running(i)) signal(i, SIGKILL);
  }
  for (size_t i = 0; i < count(); ++i) {
    if (is_running(i)) wait_for_exit(i);
  }
}

firspool::testing::Socket RelayProcesses::client(size_t i) const {
  return firspool::testing::Socket::connect(relays_[i]->clients);
}

std::string RelayProcesses::address(size_t i) const {
  return "127.0.0.1:" + std::to_string(relays_[i]->fleet);
}

ctl::FleetReply RelayProcesses::request(size_t i, Ask::Verb verb, const std::string& text) {
  Ask question;
  question.set_verb(verb);
  question.set_text(text);
  return ctl::send_request(address(i), question);
}

ctl::FleetReply RelayProcesses::approve_exception(size_t i, uint64_t digest, const std::string& by,
                                                  uint32_t minutes) {
  Ask question;
  question.set_verb(Ask::kExcept);
  question.set_digest(digest);
  question.set_by(by);
  question.set_minutes(minutes);
  return ctl::send_request(address(i), question);
}

Status RelayProcesses::status(size_t i) {
  Status out;
  if (!is_running(i) || relays_[i]->fleet == 0) return out;
  Ask question;
  question.set_verb(Ask::kStatus);
  const auto answer = ctl::send_request(address(i), question, std::chrono::milliseconds(300));
  if (!answer.received) return out;
  out.received = true;
  std::istringstream in(answer.text);
  for (std::string line; std::getline(in, line);) {
    const size_t space = line.find(' ');
    const std::string word = line.substr(0, space);
    const std::string rest = space == std::string::npos ? "" : line.substr(space + 1);
    if (word == "member") out.members.push_back(rest);
    if (word == "owns") {
      out.owns.emplace_back(std::stoull(rest, nullptr, 16), std::stoull(rest.substr(17), nullptr, 16));
    }
    out.fields[word] = rest;
  }
  invariants_.record(name(i), out);
  return out;
}

bool RelayProcesses::wait_for(size_t i, const std::string& text, int times) {
  Relay& relay = *relays_[i];
  std::unique_lock lock(relay.mutex);
  return relay.changed.wait_for(lock, std::chrono::milliseconds(firspool::testing::kDeadlineMs), [&] {
    return std::count_if(relay.lines.begin(), relay.lines.end(),
                         [&](const auto& line) { return line.find(text) != line.npos; }) >= times;
  });
}

int RelayProcesses::lines_with(size_t i, const std::string& text) const {
  const std::lock_guard lock(relays_[i]->mutex);
  return static_cast<int>(std::count_if(relays_[i]->lines.begin(), relays_[i]->lines.end(),
                                        [&](const auto& line) { return line.find(text) != line.npos; }));
}

std::string RelayProcesses::log(size_t i) const {
  const std::lock_guard lock(relays_[i]->mutex);
  std::string out;
  for (const auto& line : relays_[i]->lines) out += name(i) + ": " + line + "\n";
  return out;
}

bool RelayProcesses::has_complete_map(const std::vector<Status>& all, uint64_t epoch) {
  std::set<uint64_t> epochs;
  std::vector<std::pair<uint64_t, uint64_t>> owned;
  for (const Status& status : all) {
    if (!status.received) continue;
    if (status.fields.contains("proposed") || status.fields.at("leader") == "none") return false;
    epochs.insert(status.number("epoch"));
    owned.insert(owned.end(), status.owns.begin(), status.owns.end());
  }
  if (epochs.size() != 1 || *epochs.begin() < epoch) return false;
  std::sort(owned.begin(), owned.end());
  uint64_t next = 0;
  for (size_t i = 0; i < owned.size(); ++i) {
    if (owned[i].first != next) return false;
    next = owned[i].second + 1;
  }
  return !owned.empty() && owned.back().second == UINT64_MAX;
}

std::string RelayProcesses::describe() {
  std::string out;
  for (size_t i = 0; i < count(); ++i) {
    if (is_running(i)) out += request(i, Ask::kStatus).text + "\n";
    out += log(i);
  }
  for (const auto& violation : violations()) out += "VIOLATION " + violation + "\n";
  return out;
}

}  // namespace umberhoist::testing

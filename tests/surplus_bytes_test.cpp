// The daemon against hosts that write bytes of an earlier answer while a call is out on the same connection:
// the cross product of what they write, how they go on, and whether the message may be repeated. Judged by
// what passed on the sockets alone. UMBERHOIST_SURPLUS=all plays every form of the earlier answer and every
// delay.
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <set>

#include "peers.h"

namespace firspool::testing {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kLifetime{4000};  // of the messages under test
constexpr milliseconds kShortLifetime{1500};
constexpr milliseconds kNoticeSlack{350};  // after a message's time is up (protocol)
constexpr milliseconds kAnswerDelay{100};  // from the surplus bytes to what follows them
constexpr milliseconds kLateClose{2000};   // longer than the relay waits for a connection to be quiet
constexpr milliseconds kQuiet{1300};       // the same, twice of it shorter than a message's lifetime
constexpr milliseconds kPollInterval{10};
constexpr int kMaxRounds = 5;  // tries to have a call come on a used connection
constexpr size_t kCasesPerRelay = 180;

// What a host does once the surplus bytes are written. The call under test is the second on its connection.
enum class Next {
  kDelivers,
  kRefuses,
  kRefusesWithWait,
  kFails,
  kCloses,
  kResets,
  kStaysSilent,
  kClosesLate,
  kAnswersOneCallLate,  // a further call comes; then the call under test is refused, the further one
                        // delivered
  kHangsThenAnswers,    // further calls come and get no answer for a while; then all are answered in order
  kHangsPastTheCall,    // the same, but the further call comes only after the time of the one under test
  kCopiesAgain          // a hang; a further call comes and gets another copy; then the connection is closed
};
constexpr Next kAllNext[] = {Next::kDelivers,
                             Next::kRefuses,
                             Next::kRefusesWithWait,
                             Next::kFails,
                             Next::kCloses,
                             Next::kResets,
                             Next::kStaysSilent,
                             Next::kClosesLate,
                             Next::kAnswersOneCallLate,
                             Next::kHangsThenAnswers,
                             Next::kHangsPastTheCall,
                             Next::kCopiesAgain};

const char* name_of(Next next) {
  switch (next) {
    case Next::kDelivers:
      return "200";
    case Next::kRefuses:
      return "503";
    case Next::kRefusesWithWait:
      return "429";
    case Next::kFails:
      return "500";
    case Next::kCloses:
      return "closed";
    case Next::kResets:
      return "reset";
    case Next::kStaysSilent:
      return "silence";
    case Next::kClosesLate:
      return "silence, then closed";
    case Next::kAnswersOneCallLate:
      return "a further call, then 503 and 200";
    case Next::kHangsThenAnswers:
      return "a further call, a hang, then 503 and 200";
    case Next::kHangsPastTheCall:
      return "a hang, a further call, then 503 and 200";
    case Next::kCopiesAgain:
      return "a hang, a further call and another copy, a hang, then closed";
  }
  return "";
}

const std::string kRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const std::string kRefusalWithWait =
    "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.3\r\nContent-Length: 0\r\n\r\n";
const std::string kFailure = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
const std::string kDelivery = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const std::vector<std::string> kEarlierAnswers = {
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", kDelivery,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    "HTTP/1.1 102 Processing\r\n\r\n" + kDelivery};

std::string visible(const std::string& bytes) {
  std::string out;
  for (const char c : bytes) out += c == '\r' ? "\\r" : c == '\n' ? "\\n" : std::string(1, c);
  return out;
}

struct Case {
  std::string earlier;  // the answer to the first call on the connection
  std::string surplus;  // written while the second call is out
  milliseconds delay;   // of the surplus bytes, from the second call's arrival
  Next next;
  std::string effect;

  std::string text() const {
    return "surplus '" + visible(surplus) + "' after " + std::to_string(delay.count()) + " ms, then " +
           name_of(next) + ", " + effect;
  }
};

// One call as its host saw it.
struct SeenCall {
  std::string id;
  size_t connection = 0;
  bool delivered = false;
  bool refused = false;
  bool answered = false;
};

// One host, which plays one case and afterwards serves each call.
class CaseHost {
 public:
  CaseHost(Case played, int number) : case_(std::move(played)), number_(number) {}

  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
  const Case& played() const { return case_; }
  milliseconds lifetime() const { return case_.next == Next::kHangsPastTheCall ? kShortLifetime : kLifetime; }
  bool reached() const { return reached_; }
  bool warm() const { return warm_; }
  bool wants_further_call() const { return wants_further_call_; }
  const std::vector<std::string>& violations() const { return violations_; }
  bool is_delivered(const std::string& id) const {
    return std::any_of(calls_.begin(), calls_.end(),
                       [&](const SeenCall& call) { return call.id == id && call.delivered; });
  }
  std::string id(char kind) const {
    char out[32];
    std::snprintf(out, sizeof out, "%c%05d%010d", kind, number_, round_);
    return out;
  }
  std::string message_id() const { return id('b'); }
  std::string further_id() const { return id('c'); }
  void next_round() { ++round_; }
  void clear_further_call() { wants_further_call_ = false; }

  void add_descriptors(std::vector<pollfd>& out) const {
    out.push_back({listener_.fd(), POLLIN, 0});
    for (const Socket& connection : connections_)
      out.push_back({connection.is_open() ? connection.fd() : -1, POLLIN, 0});
  }

  void serve(const std::vector<pollfd>& ready, size_t& position) {
    const bool arrives = ready[position++].revents != 0;
    const size_t known = connections_.size();
    for (size_t i = 0; i < known; ++i) {
      if (ready[position++].revents == 0 || !connections_[i].is_open()) continue;
      const auto request = read_request(connections_[i]);
      if (!request) {
        connections_[i].close();
      } else if (const auto id = request->headers.find("x-call-id"); id != request->headers.end()) {
        on_call(i, id->second);
      } else {
        violations_.push_back("a request without an id: " + request->request_line);
      }
    }
    if (arrives) {
      connections_.push_back(listener_.accept());
      requests_.push_back(0);
    }
  }

  void run_due(Clock::time_point now) {
    while (!due_.empty() && due_.front().first <= now) {
      const auto action = std::move(due_.front().second);
      due_.erase(due_.begin());
      action();
    }
  }

 private:
  void at(Clock::time_point time, std::function<void()> action) {
    const auto later =
        std::find_if(due_.begin(), due_.end(), [&](const auto& entry) { return entry.first > time; });
    due_.insert(later, {time, std::move(action)});
  }

  void on_call(size_t connection, const std::string& id) {
    judge_new_call(id);
    calls_.push_back({id, connection});
    const size_t number = calls_.size() - 1;
    ++requests_[connection];
    if (!reached_ && id == message_id() && requests_[connection] > 1) return play(number);
    if (reached_ && connection == played_on_) return;  // `play` has said what becomes of calls on it
    if (!reached_) warm_ = true;
    answer(number, reached_ ? kDelivery : case_.earlier);
  }

  // A call of a message that was called before: nothing of it may still run, and one that may not be repeated
  // must have been refused.
  void judge_new_call(const std::string& id) {
    for (const SeenCall& earlier : calls_) {
      if (earlier.id != id) continue;
      if (!earlier.answered && !is_given_up(earlier.connection)) {
        violations_.push_back(id + ": called while an earlier call is out");
      }
      if (case_.effect == "unsafe" && !earlier.refused) {
        violations_.push_back(id + ": may not be repeated, may have run, and is called again");
      }
    }
  }

  bool is_given_up(size_t connection) const {
    const Socket& socket = connections_[connection];
    char byte = 0;
    if (!socket.is_open()) return true;
    const ssize_t count = ::recv(socket.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno == ECONNRESET);
  }

  void play(size_t call) {
    reached_ = true;
    played_on_ = calls_[call].connection;
    const Clock::time_point surplus_at = Clock::now() + case_.delay;
    at(surplus_at, [this, call] { write(calls_[call].connection, case_.surplus); });
    at(surplus_at + kAnswerDelay, [this, call] { go_on(call); });
  }

  void go_on(size_t call) {
    Socket& connection = connections_[calls_[call].connection];
    switch (case_.next) {
      case Next::kDelivers:
        return answer(call, kDelivery);
      case Next::kRefuses:
        return answer(call, kRefusal);
      case Next::kRefusesWithWait:
        return answer(call, kRefusalWithWait);
      case Next::kFails:
        return answer(call, kFailure);
      case Next::kCloses:
        return connection.close();
      case Next::kResets:
        return connection.reset();
      case Next::kStaysSilent:
        return;
      case Next::kClosesLate:
        return at(Clock::now() + kLateClose, [this, call] { connections_[calls_[call].connection].close(); });
      case Next::kAnswersOneCallLate:
        wants_further_call_ = true;
        return at(Clock::now() + kAnswerDelay, [this, call] { answer_in_order(call); });
      case Next::kHangsThenAnswers:
        wants_further_call_ = true;
        return at(Clock::now() + kLateClose, [this, call] { answer_in_order(call); });
      case Next::kHangsPastTheCall:
        return at(Clock::now() + kLateClose, [this, call] {
          wants_further_call_ = true;
          at(Clock::now() + kAnswerDelay, [this, call] { answer_in_order(call); });
        });
      case Next::kCopiesAgain:
        return at(Clock::now() + kQuiet, [this, call] { copy_again(call); });
    }
  }

  void copy_again(size_t call) {
    const size_t connection = calls_[call].connection;
    wants_further_call_ = true;
    at(Clock::now() + kAnswerDelay, [this, connection] { write(connection, case_.earlier); });
    at(Clock::now() + kAnswerDelay + kQuiet, [this, connection] { connections_[connection].close(); });
  }

  void answer_in_order(size_t call) {
    answer(call, kRefusal);
    for (size_t later = call + 1; later < calls_.size(); ++later) {
      if (calls_[later].connection != calls_[call].connection) continue;
      at(Clock::now() + kAnswerDelay, [this, later] { answer(later, kDelivery); });
    }
  }

  void answer(size_t call, const std::string& bytes) {
    SeenCall& seen = calls_[call];
    if (seen.answered) return;
    if (!write(seen.connection, bytes)) return;
    seen.answered = true;
    seen.refused = bytes == kRefusal || bytes == kRefusalWithWait;
    seen.delivered = !seen.refused && bytes != kFailure;
  }

  bool write(size_t connection, const std::string& bytes) {
    return connections_[connection].is_open() && connections_[connection].send(bytes);
  }

  Case case_;
  int number_;
  int round_ = 0;
  Socket listener_ = Socket::listen();
  std::vector<Socket> connections_;
  std::vector<int> requests_;  // by connection
  std::vector<SeenCall> calls_;
  std::vector<std::pair<Clock::time_point, std::function<void()>>> due_;
  std::vector<std::string> violations_;
  bool warm_ = false;     // its first connection has carried a call
  bool reached_ = false;  // the case was played
  bool wants_further_call_ = false;
  size_t played_on_ = 0;
};

// Plays cases beside one another against one relay.
class Stage {
 public:
  explicit Stage(const std::vector<Case>& cases) {
    for (const Case& one : cases) hosts_.emplace_back(one, static_cast<int>(hosts_.size()));
    std::vector<nlohmann::json> members;
    for (size_t i = 0; i < hosts_.size(); ++i) {
      members.push_back(member_json("s-" + std::to_string(i), hosts_[i].address(), static_cast<int>(i) + 1));
    }
    nlohmann::json config = config_json(discovery_.address(), members);
    config["settings"]["family_info"]["calls_out"] = 3 * hosts_.size();
    config["settings"]["bounds"]["open_cap"] = 4 * hosts_.size();
    config["limits"]["sockets"] = 4096;
    relay_.emplace(config);
  }

  // `kill_after`: the relay is killed so long after all cases were reached, and started again.
  void play(std::optional<milliseconds> kill_after) {
    relay_->start();
    client_ = relay_->client();
    for (CaseHost& host : hosts_) put(host, host.id('a'), milliseconds(60'000), "keyed");
    run_until([this] { return all(&CaseHost::warm); }, Clock::now() + std::chrono::seconds(20));
    for (int round = 0; round < kMaxRounds && !all(&CaseHost::reached); ++round) {
      for (CaseHost& host : hosts_) {
        if (host.reached()) continue;
        host.next_round();
        put(host, host.message_id(), host.lifetime(), host.played().effect);
      }
      run_until([this] { return all(&CaseHost::reached); }, Clock::now() + milliseconds(500));
    }
    if (kill_after) kill_and_restart(*kill_after);
    while (Clock::now() < last_due_ + kNoticeSlack) {  // a further call may move it
      run_until([] { return false; }, last_due_ + kNoticeSlack + kPollInterval);
    }
  }

  size_t reached() const {
    return static_cast<size_t>(
        std::count_if(hosts_.begin(), hosts_.end(), [](const CaseHost& host) { return host.reached(); }));
  }

  size_t needless_notices() const { return needless_notices_; }
  size_t messages() const { return messages_.size(); }

  void judge() {
    for (const Message& message : messages_) {
      const CaseHost& host = *message.host;
      const auto notice = notices_.find(message.id);
      const bool delivered = host.is_delivered(message.id);
      needless_notices_ += delivered && notice != notices_.end();
      if (delivered) continue;
      if (notice == notices_.end()) {
        ADD_FAILURE() << message.id << " is lost: " << host.played().text();
      } else if (notice->second > message.due + kNoticeSlack) {
        ADD_FAILURE() << message.id << " has a late notice: " << host.played().text();
      }
    }
    for (const CaseHost& host : hosts_) {
      for (const std::string& violation : host.violations())
        ADD_FAILURE() << violation << ": " << host.played().text();
    }
  }

 private:
  struct Message {
    std::string id;
    const CaseHost* host;
    Clock::time_point due;
  };

  void kill_and_restart(milliseconds delay) {
    run_until([] { return false; }, Clock::now() + delay);
    relay_->kill();
    relay_->start();
    client_ = relay_->client();
  }

  bool all(bool (CaseHost::*state)() const) const {
    return std::all_of(hosts_.begin(), hosts_.end(), [&](const CaseHost& host) { return (host.*state)(); });
  }

  void put(const CaseHost& host, const std::string& id, milliseconds lifetime, const std::string& effect) {
    const auto destination = &host - hosts_.data() + 1;
    messages_.push_back({id, &host, Clock::now() + lifetime});
    if (lifetime <= kLifetime) last_due_ = std::max(last_due_, messages_.back().due);
    client_.send(put_command(id, "c=" + effect + ",d=" + std::to_string(lifetime.count()) + ",k=" + id +
                                     ",dest=" + std::to_string(destination)));
    EXPECT_EQ(client_.read_line(), "+OK");
  }

  template <class Done>
  void run_until(Done done, Clock::time_point end) {
    while (!done() && Clock::now() < end) {
      std::vector<pollfd> descriptors;
      for (const CaseHost& host : hosts_) host.add_descriptors(descriptors);
      ::poll(descriptors.data(), descriptors.size(), static_cast<int>(kPollInterval.count()));
      size_t position = 0;
      for (CaseHost& host : hosts_) host.serve(descriptors, position);
      for (CaseHost& host : hosts_) {
        host.run_due(Clock::now());
        if (!host.wants_further_call()) continue;
        host.clear_further_call();
        put(host, host.further_id(), kLifetime, host.played().effect);
      }
      for (const nlohmann::json& notice : discovery_.take_notices())
        notices_.try_emplace(notice["id"].get<std::string>(), Clock::now());
    }
  }

  std::vector<CaseHost> hosts_;
  FakeDiscovery discovery_;
  std::optional<RelayProcess> relay_;
  Socket client_;
  std::vector<Message> messages_;
  std::map<std::string, Clock::time_point> notices_;
  Clock::time_point last_due_;
  size_t needless_notices_ = 0;
};

void expect_no_message_lost_or_repeated(const std::vector<Case>& cases,
                                        std::optional<milliseconds> kill_after = {}) {
  size_t reached = 0, messages = 0, needless = 0;
  for (size_t from = 0; from < cases.size(); from += kCasesPerRelay) {
    const size_t to = std::min(from + kCasesPerRelay, cases.size());
    Stage stage(
        {cases.begin() + static_cast<std::ptrdiff_t>(from), cases.begin() + static_cast<std::ptrdiff_t>(to)});
    stage.play(kill_after);
    stage.judge();
    reached += stage.reached();
    messages += stage.messages();
    needless += stage.needless_notices();
  }
  EXPECT_EQ(reached, cases.size());
  std::printf("%zu cases, %zu messages, %zu notices of failure for delivered ones\n", reached, messages,
              needless);
}

bool plays_all() {
  const char* wanted = std::getenv("UMBERHOIST_SURPLUS");
  return wanted != nullptr && std::string(wanted) == "all";
}

std::vector<milliseconds> delays() {
  if (!plays_all()) return {milliseconds(3)};
  return {milliseconds(0), milliseconds(3), milliseconds(50), milliseconds(300), milliseconds(700)};
}

// Cuts that differ in what a reader can make of them: within the version, the status, the reason, a field,
// the empty line and the body.
std::set<size_t> cuts_of(const std::string& answer, bool each) {
  std::set<size_t> out = {0, 1, 8, 9, 12, 13, 14, 15, 17, 30, answer.size() - 1, answer.size()};
  for (size_t cut = 0; each && cut <= answer.size(); ++cut) out.insert(cut);
  out.erase(out.upper_bound(answer.size()), out.end());
  return out;
}

std::vector<Case> cases_with(const std::vector<Next>& all_next, bool each_cut) {
  std::vector<Case> out;
  for (size_t form = 0; form < (plays_all() ? kEarlierAnswers.size() : 1); ++form) {
    const std::string& earlier = kEarlierAnswers[form];
    std::vector<std::string> surplus = {earlier + earlier};
    for (const size_t cut : cuts_of(earlier, each_cut)) surplus.push_back(earlier.substr(0, cut));
    for (const std::string& bytes : surplus) {
      for (const milliseconds delay : delays()) {
        for (const Next next : all_next) {
          for (const char* effect : {"keyed", "unsafe"}) out.push_back({earlier, bytes, delay, next, effect});
        }
      }
    }
  }
  return out;
}

TEST(SurplusBytes, CutAnywhereAheadOfARefusalOrSilenceLoseAndRepeatNoMessage) {
  expect_no_message_lost_or_repeated(cases_with({Next::kRefuses, Next::kStaysSilent}, true));
}

TEST(SurplusBytes, HoweverTheHostGoesOnLoseAndRepeatNoMessage) {
  expect_no_message_lost_or_repeated(cases_with({std::begin(kAllNext), std::end(kAllNext)}, plays_all()));
}

TEST(SurplusBytes, AheadOfAKillLoseAndRepeatNoMessage) {
  const std::vector<Case> cases = cases_with(
      {Next::kDelivers, Next::kRefuses, Next::kCloses, Next::kStaysSilent, Next::kAnswersOneCallLate},
      plays_all());
  for (const milliseconds delay : {kAnswerDelay / 2, 2 * kAnswerDelay, kQuiet}) {
    SCOPED_TRACE("killed " + std::to_string(delay.count()) + " ms after");
    expect_no_message_lost_or_repeated(cases, delay);
  }
}

}  // namespace
}  // namespace firspool::testing

#include "fleet/service.h"

#include <fcntl.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <mutex>
#include <thread>

#include "fleet/links.h"

namespace umberhoist::fleet {
namespace {

using register_pb::Frame;

constexpr std::chrono::milliseconds kTick{20};
constexpr const char* kVersionFile = "version.json";

int64_t clock_us(clockid_t which) {
  timespec now{};
  ::clock_gettime(which, &now);
  return now.tv_sec * 1'000'000 + now.tv_nsec / 1000;
}

// The steady clock that goes on while the machine sleeps: a lease must not outlast a suspended machine.
int64_t lease_clock() { return clock_us(CLOCK_BOOTTIME); }

reg::Now now() { return {lease_clock(), clock_us(CLOCK_REALTIME)}; }

// The daemon's steady clock stands still meanwhile.
int64_t daemon_offset() { return clock_us(CLOCK_MONOTONIC) - lease_clock(); }

class Service : public Fleet {
 public:
  Service(boost::asio::io_context& daemon, const Config& config, uint64_t seed)
      : daemon_(daemon),
        folder_(config.folder),
        files_(state::make_posix_files(config.folder)),
        links_(std::make_unique<Links>(
            io_, config,
            [this](const Frame& frame, const Links::ReplyCallback& reply) { take(frame, reply); })),
        node_(std::make_unique<reg::Node>(
            config.node, *files_, seed, now(),
            [this](const std::string& to, const Frame& frame) { links_->send(to, frame); },
            [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); })),
        timer_(io_) {
    const auto address = links_->address();
    std::fprintf(stderr, "fleet listening on %s:%u\n", address.address().to_string().c_str(), address.port());
    publish();
    tick();
    thread_ = std::thread([this] { io_.run(); });
  }

  ~Service() override {
    io_.stop();
    thread_.join();
    node_.reset();
    links_.reset();
  }

  bool owns(int destination) override {
    return view()->ownership(shards::key_of(destination), lease_clock()) == reg::Ownership::kOwner;
  }

  // Another relay scouts only if its owner says that it does: one that has nothing to scout with finds no
  // end.
  TrialDuty trial_duty(int destination) override {
    switch (view()->ownership(shards::key_of(destination), lease_clock())) {
      case reg::Ownership::kOwner:
        return TrialDuty::kSelf;
      case reg::Ownership::kUncoordinated:
        return TrialDuty::kShared;
      case reg::Ownership::kOther:
        break;
    }
    const std::lock_guard lock(mutex_);
    for (const HealthReport& sight : sights_) {
      if (sight.destination == destination && sight.from_owner && sight.can_send_trial)
        return TrialDuty::kOther;
    }
    return TrialDuty::kShared;
  }

  bool is_confirmed() override { return view()->confirmed(lease_clock()); }

  std::vector<HealthReport> health_reports() override {
    const std::lock_guard lock(mutex_);
    return sights_;
  }

  void report_health(std::vector<HealthReport> sights) override {
    boost::asio::post(io_, [this, sights = std::move(sights)] {
      const int64_t offset = daemon_offset();
      std::vector<reg::HealthReport> out;
      for (const HealthReport& s : sights) {
        reg::HealthReport sight;
        sight.destination = s.destination;
        sight.outage_start = s.outage_start == 0 ? 0 : s.outage_start - offset;
        sight.recovery_start = s.recovery_start == 0 ? 0 : s.recovery_start - offset;
        sight.baseline_rate = s.baseline_rate;
        sight.recently_served = s.recently_served;
        sight.can_send_trial = s.can_send_trial;
        out.push_back(sight);
      }
      node_->report_health(std::move(out));
    });
  }

  Version version() override {
    const std::lock_guard lock(mutex_);
    return version_;
  }

  void report_running_version(uint64_t number) override {
    boost::asio::post(io_, [this, number] {
      Version now = version();
      if (now.number != number || keep(now.text)) node_->set_running_version(number);
    });
  }

  void propose_version(std::string text, std::function<void(bool, const std::string&)> told) override {
    boost::asio::post(io_, [this, text = std::move(text), told = std::move(told)] {
      node_->propose_version(text, now(), [this, told](bool done, const std::string& why) {
        boost::asio::post(daemon_, [told, done, why] { told(done, why); });
      });
      publish();
    });
  }

  void announce_leaving() override {
    boost::asio::post(io_, [this] { node_->set_leaving(); });
  }

 private:
  // Told as run only once the next start would run it too.
  bool keep(const std::string& text) {
    std::error_code error;
    if (text.empty()) return std::filesystem::remove(folder_ / kVersionFile, error), !error;
    const auto fresh = folder_ / (std::string(kVersionFile) + ".new");
    const int file = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0) return false;
    const bool good = ::write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size()) &&
                      ::fdatasync(file) == 0;
    ::close(file);
    if (good) std::filesystem::rename(fresh, folder_ / kVersionFile, error);
    return good && !error && files_->sync_folder();
  }

  std::shared_ptr<const reg::OwnershipView> view() const { return view_.load(); }

  void take(const Frame& frame, const Links::ReplyCallback& reply) {
    if (frame.has_ask()) {
      const uint64_t number = frame.ask().number();
      node_->handle_request(frame.ask(), now(), [reply, number](bool done, const std::string& text) {
        Frame out;
        out.mutable_told()->set_number(number);
        out.mutable_told()->set_done(done);
        out.mutable_told()->set_text(text);
        reply(out);
      });
    } else {
      node_->receive(frame, now());
    }
    publish();
  }

  void tick() {
    timer_.expires_after(kTick);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      node_->tick(now());
      publish();
      tick();
    });
  }

  void publish() {
    view_.store(std::make_shared<const reg::OwnershipView>(node_->view()));
    const int64_t offset = daemon_offset();
    const std::lock_guard lock(mutex_);
    sights_.clear();
    for (const reg::HealthReport& s : node_->health_reports(lease_clock())) {
      sights_.push_back({static_cast<int>(s.destination), s.outage_start == 0 ? 0 : s.outage_start + offset,
                         s.recovery_start == 0 ? 0 : s.recovery_start + offset, s.baseline_rate,
                         s.recently_served, s.can_send_trial, s.from_owner});
    }
    const register_pb::Version& version = node_->version();
    // Not before a leader's word on it: the tail of a log may never have been agreed on.
    if (node_->confirmed(lease_clock()) && version.number() != version_.number) {
      version_ = {version.number(), version.text()};
    }
  }

  boost::asio::io_context& daemon_;
  std::filesystem::path folder_;
  boost::asio::io_context io_{1};
  std::unique_ptr<state::Files> files_;
  std::unique_ptr<Links> links_;
  std::unique_ptr<reg::Node> node_;
  boost::asio::steady_timer timer_;
  std::atomic<std::shared_ptr<const reg::OwnershipView>> view_;
  std::mutex mutex_;
  std::vector<HealthReport> sights_;
  Version version_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<Fleet> join(boost::asio::io_context& daemon, const Config& config, uint64_t seed) {
  std::error_code error;
  std::filesystem::create_directory(config.folder, error);
  return std::make_unique<Service>(daemon, config, seed);
}

std::string load_saved_version(const Config& config) {
  std::ifstream in(config.folder / kVersionFile, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace umberhoist::fleet

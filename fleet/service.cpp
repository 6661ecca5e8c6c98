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

constexpr std::chrono::milliseconds kTickInterval{20};
constexpr const char* kVersionFile = "version.json";

int64_t clock_us(clockid_t which) {
  timespec now{};
  ::clock_gettime(which, &now);
  return now.tv_sec * 1'000'000 + now.tv_nsec / 1000;
}

// Steady clock that also counts suspended time: a lease must expire while the machine is suspended.
int64_t boottime_us() { return clock_us(CLOCK_BOOTTIME); }

reg::Now now() { return {boottime_us(), clock_us(CLOCK_REALTIME)}; }

// The daemon's steady clock does not count suspended time, so the difference changes.
int64_t daemon_clock_offset() { return clock_us(CLOCK_MONOTONIC) - boottime_us(); }

class Service : public Fleet {
 public:
  Service(boost::asio::io_context& daemon_io, const Config& config, uint64_t seed)
      : daemon_io_(daemon_io),
        folder_(config.folder),
        files_(state::make_posix_files(config.folder)),
        links_(std::make_unique<Links>(
            io_, config,
            [this](const Frame& frame, const Links::ReplyCallback& reply) { handle_frame(frame, reply); })),
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
    return view()->ownership(shards::key_of(destination), boottime_us()) == reg::Ownership::kOwner;
  }

  // Another relay has the duty only if the owner reports that it can send a trial: an owner without a message
  // for the destination would never find out that the outage is over.
  TrialDuty trial_duty(int destination) override {
    switch (view()->ownership(shards::key_of(destination), boottime_us())) {
      case reg::Ownership::kOwner:
        return TrialDuty::kSelf;
      case reg::Ownership::kUncoordinated:
        return TrialDuty::kShared;
      case reg::Ownership::kOther:
        break;
    }
    const std::lock_guard lock(mutex_);
    for (const HealthReport& report : health_reports_) {
      if (report.destination == destination && report.from_owner && report.can_send_trial)
        return TrialDuty::kOther;
    }
    return TrialDuty::kShared;
  }

  bool is_confirmed() override { return view()->confirmed(boottime_us()); }

  std::vector<HealthReport> health_reports() override {
    const std::lock_guard lock(mutex_);
    return health_reports_;
  }

  void report_health(std::vector<HealthReport> reports) override {
    boost::asio::post(io_, [this, reports = std::move(reports)] {
      const int64_t offset = daemon_clock_offset();
      std::vector<reg::HealthReport> out;
      for (const HealthReport& s : reports) {
        reg::HealthReport report;
        report.destination = s.destination;
        report.outage_start = s.outage_start == 0 ? 0 : s.outage_start - offset;
        report.recovery_start = s.recovery_start == 0 ? 0 : s.recovery_start - offset;
        report.baseline_rate = s.baseline_rate;
        report.recently_served = s.recently_served;
        report.can_send_trial = s.can_send_trial;
        out.push_back(report);
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
      if (now.number != number || save_version(now.text)) node_->set_running_version(number);
    });
  }

  void propose_version(std::string text, std::function<void(bool, const std::string&)> on_done) override {
    boost::asio::post(io_, [this, text = std::move(text), on_done = std::move(on_done)] {
      node_->propose_version(text, now(), [this, on_done](bool done, const std::string& reason) {
        boost::asio::post(daemon_io_, [on_done, done, reason] { on_done(done, reason); });
      });
      publish();
    });
  }

  void announce_leaving() override {
    boost::asio::post(io_, [this] { node_->set_leaving(); });
  }

 private:
  // The version counts as running only once the next start would use it too.
  bool save_version(const std::string& text) {
    std::error_code error;
    if (text.empty()) return std::filesystem::remove(folder_ / kVersionFile, error), !error;
    const auto temporary = folder_ / (std::string(kVersionFile) + ".new");
    const int file = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0) return false;
    const bool good = ::write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size()) &&
                      ::fdatasync(file) == 0;
    ::close(file);
    if (good) std::filesystem::rename(temporary, folder_ / kVersionFile, error);
    return good && !error && files_->sync_folder();
  }

  std::shared_ptr<const reg::OwnershipView> view() const { return view_.load(); }

  void handle_frame(const Frame& frame, const Links::ReplyCallback& reply) {
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
    timer_.expires_after(kTickInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      node_->tick(now());
      publish();
      tick();
    });
  }

  void publish() {
    view_.store(std::make_shared<const reg::OwnershipView>(node_->view()));
    const int64_t offset = daemon_clock_offset();
    const std::lock_guard lock(mutex_);
    health_reports_.clear();
    for (const reg::HealthReport& s : node_->health_reports(boottime_us())) {
      health_reports_.push_back({static_cast<int>(s.destination),
                                 s.outage_start == 0 ? 0 : s.outage_start + offset,
                                 s.recovery_start == 0 ? 0 : s.recovery_start + offset, s.baseline_rate,
                                 s.recently_served, s.can_send_trial, s.from_owner});
    }
    const register_pb::Version& version = node_->version();
    // Only once a leader has confirmed it: the end of a log may hold commands that are never committed.
    if (node_->confirmed(boottime_us()) && version.number() != version_.number) {
      version_ = {version.number(), version.text()};
    }
  }

  boost::asio::io_context& daemon_io_;
  std::filesystem::path folder_;
  boost::asio::io_context io_{1};
  std::unique_ptr<state::Files> files_;
  std::unique_ptr<Links> links_;
  std::unique_ptr<reg::Node> node_;
  boost::asio::steady_timer timer_;
  std::atomic<std::shared_ptr<const reg::OwnershipView>> view_;
  std::mutex mutex_;
  std::vector<HealthReport> health_reports_;
  Version version_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<Fleet> join(boost::asio::io_context& daemon_io, const Config& config, uint64_t seed) {
  std::error_code error;
  std::filesystem::create_directory(config.folder, error);
  return std::make_unique<Service>(daemon_io, config, seed);
}

std::string load_saved_version(const Config& config) {
  std::ifstream in(config.folder / kVersionFile, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace umberhoist::fleet

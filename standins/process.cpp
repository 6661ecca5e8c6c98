#include "standins/process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace umberhoist::standins {

RelayProcess::RelayProcess(std::string program, std::filesystem::path folder, int max_descriptors)
    : program_(std::move(program)), folder_(std::move(folder)), max_descriptors_(max_descriptors) {
  std::filesystem::create_directories(state_folder());
}

RelayProcess::~RelayProcess() {
  if (child_pid_ <= 0) return;
  ::kill(child_pid_, SIGKILL);
  ::waitpid(child_pid_, nullptr, 0);
}

void RelayProcess::write_config(const std::string& json) {
  std::ofstream(folder_ / "config.new", std::ios::binary) << json;
  std::filesystem::rename(folder_ / "config.new", folder_ / "config.json");
}

void RelayProcess::start() {
  const std::string config = folder_ / "config.json";
  const std::string state_path = state_folder();
  const std::string temporary_path = temporary_folder();
  std::filesystem::remove_all(temporary_folder());
  std::filesystem::create_directories(temporary_folder());
  std::map<std::string, std::string> relay_environment;
  const auto json = nlohmann::json::parse(std::ifstream(config), nullptr, false);
  for (const auto& [variable, key] :
       {std::pair{"PROXY_NAME", "name"}, {"PROXY_LISTEN", "listen"}, {"PROXY_DISCOVERY", "discovery"}}) {
    if (json.is_object() && json.contains(key)) relay_environment[variable] = json[key].get<std::string>();
  }
  const std::string log = folder_ / "log";
  const int log_file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (log_file < 0) throw std::runtime_error("cannot open " + log + ": " + std::strerror(errno));
  const pid_t parent = ::getpid();
  child_pid_ = ::fork();
  if (child_pid_ == 0) {  // only async-signal-safe calls up to exec
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    ::dup2(log_file, 1);
    ::dup2(log_file, 2);
    const int dev_null = ::open("/dev/null", O_RDONLY);
    ::dup2(dev_null, 0);
    // Closes all sockets of the kit: a connection that the kit resets would stay open in the child.
    ::close_range(3, ~0U, 0);
    const rlimit limit{static_cast<rlim_t>(max_descriptors_), static_cast<rlim_t>(max_descriptors_)};
    ::setrlimit(RLIMIT_NOFILE, &limit);
    sigset_t no_signals;
    ::sigemptyset(&no_signals);
    ::sigprocmask(SIG_SETMASK, &no_signals, nullptr);
    ::setsid();  // Ctrl-C reaches only the kit, which ends the relay itself
    ::setenv("PROXY_CONFIG", config.c_str(), 1);
    ::setenv("PROXY_STATE", state_path.c_str(), 1);
    ::setenv("TMPDIR", temporary_path.c_str(), 1);
    for (const auto& [variable, value] : relay_environment) ::setenv(variable.c_str(), value.c_str(), 1);
    ::execl(program_.c_str(), program_.c_str(), nullptr);
    ::_exit(127);
  }
  ::close(log_file);
  if (child_pid_ < 0) throw std::runtime_error(std::string("cannot fork: ") + std::strerror(errno));
}

void RelayProcess::signal(int number) {
  if (child_pid_ > 0) ::kill(child_pid_, number);
}

bool RelayProcess::has_exited() {
  if (child_pid_ <= 0) return true;
  if (::waitpid(child_pid_, &status_, WNOHANG) != child_pid_) return false;
  child_pid_ = -1;
  return true;
}

void RelayProcess::delete_state() {
  std::error_code ignored;
  std::filesystem::remove_all(state_folder(), ignored);
  std::filesystem::create_directories(state_folder());
}

}  // namespace umberhoist::standins

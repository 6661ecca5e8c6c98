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

RelayProcess::RelayProcess(std::string program, std::filesystem::path folder, int descriptors)
    : program_(std::move(program)), folder_(std::move(folder)), descriptors_(descriptors) {
  std::filesystem::create_directories(state_folder());
}

RelayProcess::~RelayProcess() {
  if (child_ <= 0) return;
  ::kill(child_, SIGKILL);
  ::waitpid(child_, nullptr, 0);
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
  std::map<std::string, std::string> told;
  const auto json = nlohmann::json::parse(std::ifstream(config), nullptr, false);
  for (const auto& [variable, key] :
       {std::pair{"PROXY_NAME", "name"}, {"PROXY_LISTEN", "listen"}, {"PROXY_DISCOVERY", "discovery"}}) {
    if (json.is_object() && json.contains(key)) told[variable] = json[key].get<std::string>();
  }
  const std::string log = folder_ / "log";
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (out < 0) throw std::runtime_error("cannot open " + log + ": " + std::strerror(errno));
  const pid_t parent = ::getpid();
  child_ = ::fork();
  if (child_ == 0) {  // only calls that are safe after a fork
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    ::dup2(out, 1);
    ::dup2(out, 2);
    const int null = ::open("/dev/null", O_RDONLY);
    ::dup2(null, 0);
    // None of the kit's sockets: a connection that it resets would stay open in the child.
    ::close_range(3, ~0U, 0);
    const rlimit limit{static_cast<rlim_t>(descriptors_), static_cast<rlim_t>(descriptors_)};
    ::setrlimit(RLIMIT_NOFILE, &limit);
    sigset_t none;
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::setsid();  // Ctrl-C is the kit's to pass on
    ::setenv("PROXY_CONFIG", config.c_str(), 1);
    ::setenv("PROXY_STATE", state_path.c_str(), 1);
    ::setenv("TMPDIR", temporary_path.c_str(), 1);
    for (const auto& [variable, value] : told) ::setenv(variable.c_str(), value.c_str(), 1);
    ::execl(program_.c_str(), program_.c_str(), nullptr);
    ::_exit(127);
  }
  ::close(out);
  if (child_ < 0) throw std::runtime_error(std::string("cannot fork: ") + std::strerror(errno));
}

void RelayProcess::signal(int number) {
  if (child_ > 0) ::kill(child_, number);
}

bool RelayProcess::has_exited() {
  if (child_ <= 0) return true;
  if (::waitpid(child_, &status_, WNOHANG) != child_) return false;
  child_ = -1;
  return true;
}

void RelayProcess::delete_state() {
  std::error_code ignored;
  std::filesystem::remove_all(state_folder(), ignored);
  std::filesystem::create_directories(state_folder());
}

}  // namespace umberhoist::standins

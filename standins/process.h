// A relay as a child process: the program that is to be judged, unmodified, with a folder and a configuration
// of its own. What it writes to its log is kept for people and judged by nobody.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <string>

namespace umberhoist::standins {

class RelayProcess {
 public:
  // `folder` holds its configuration, its log, in "state" what lasts and in "tmp" what does not. It may hold
  // so many `descriptors`.
  RelayProcess(std::string program, std::filesystem::path folder, int descriptors);
  ~RelayProcess();  // kills it
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;

  void write_config(const std::string& json);  // replaces the file whole
  // With the environment that the deployment page tells of, an empty temporary folder, and a session of its
  // own, by which its helpers are known. Throws std::runtime_error.
  void start();
  void signal(int number);
  // True once it has ended, and then each time until the next start.
  bool has_exited();
  int exit_status() const { return status_; }  // as waitpid gives it
  bool is_running() const { return child_ > 0; }
  pid_t pid() const { return child_; }
  void delete_state();  // the machine is lost with its folder
  std::filesystem::path state_folder() const { return folder_ / "state"; }
  std::filesystem::path temporary_folder() const { return folder_ / "tmp"; }

 private:
  std::string program_;
  std::filesystem::path folder_;
  int descriptors_;
  pid_t child_ = -1;
  int status_ = 0;
};

}  // namespace umberhoist::standins

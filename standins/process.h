// Runs the relay under test as a child process: the unmodified program, with a folder and a configuration of
// its own. Its log is kept for inspection and is not part of any check.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <string>

namespace umberhoist::standins {

class RelayProcess {
 public:
  // `folder` holds the configuration and the log; its subfolder "state" survives restarts, "tmp" does not.
  // `max_descriptors` is the limit of open file descriptors.
  RelayProcess(std::string program, std::filesystem::path folder, int max_descriptors);
  ~RelayProcess();  // kills the process
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;

  void write_config(const std::string& json);  // replaces the file atomically
  // Starts the process with the environment that the deployment page describes, an empty temporary folder,
  // and a session of its own, by which its child processes can be found. Throws std::runtime_error on
  // failure.
  void start();
  void signal(int number);
  // True if the process has ended, until the next start.
  bool has_exited();
  int exit_status() const { return status_; }  // as returned by waitpid
  bool is_running() const { return child_pid_ > 0; }
  pid_t pid() const { return child_pid_; }
  void delete_state();  // empties the state folder, as when the machine is lost
  std::filesystem::path state_folder() const { return folder_ / "state"; }
  std::filesystem::path temporary_folder() const { return folder_ / "tmp"; }

 private:
  std::string program_;
  std::filesystem::path folder_;
  int max_descriptors_;
  pid_t child_pid_ = -1;
  int status_ = 0;
};

}  // namespace umberhoist::standins

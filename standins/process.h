// A relay as a child process: the program that is to be judged, unmodified, with a folder and a configuration
// of its own. What it writes to its log is kept for people and judged by nobody.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <string>

#include "standins/witness.h"

namespace umberhoist::standins {

struct Usage {
  Time cpu = 0;       // user and system, of this process since its start
  size_t memory = 0;  // resident bytes
  int descriptors = 0;
};

class Process {
 public:
  // `folder` holds its configuration, its log and, in "state", what lasts. It may hold so many `descriptors`.
  Process(std::string program, std::filesystem::path folder, int descriptors);
  ~Process();  // kills it
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void configure(const std::string& json);  // replaces the file whole
  void start();                             // throws std::runtime_error
  void signal(int number);
  // True once it has ended, and then each time until the next start.
  bool ended();
  int status() const { return status_; }  // as waitpid gives it
  bool running() const { return child_ > 0; }
  pid_t pid() const { return child_; }
  Usage usage() const;
  void forget_state();  // the machine is lost with its folder
  std::filesystem::path state() const { return folder_ / "state"; }

 private:
  std::string program_;
  std::filesystem::path folder_;
  int descriptors_;
  pid_t child_ = -1;
  int status_ = 0;
};

}  // namespace umberhoist::standins

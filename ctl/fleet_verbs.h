// The umberhoistctl commands map, freeze and fleet. The check commands work offline on files; all others send
// a request to a relay.
#pragma once

#include <memory>
#include <optional>
#include <ostream>

namespace CLI {
class App;
}

namespace umberhoist::ctl {

class FleetCommands {
 public:
  explicit FleetCommands(CLI::App& app);
  ~FleetCommands();
  // Runs the command that was parsed and returns its exit status, or nothing if it was none of these. 0:
  // done, or open; 1: refused by the relay, or closed; 2: bad input, invalid file, or no reply.
  std::optional<int> run(std::ostream& out, std::ostream& err);

 private:
  struct Arguments;
  std::unique_ptr<Arguments> arguments_;
};

}  // namespace umberhoist::ctl

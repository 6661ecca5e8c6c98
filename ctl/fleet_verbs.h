// umberhoistctl map, freeze and fleet: files are checked offline, everything else asks a relay.
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
  // Exit status of the verb that was given; nothing: none of these. 0: done, or open; 1: refused, or closed;
  // 2: bad input, or defects.
  std::optional<int> run(std::ostream& out, std::ostream& err);

 private:
  struct Arguments;
  std::unique_ptr<Arguments> arguments_;
};

}  // namespace umberhoist::ctl

// The one place where the daemon meets the fleet. Without it, all is as for a relay by itself; nothing here
// is needed to deliver a message. Called from the daemon's thread; nothing of it waits.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace umberhoist::fleet {

enum class Scouts {
  kShared,  // as without the fleet: each relay sends its even part
  kSelf,    // this relay sends them for all
  kOther,   // another does
};

struct Sight {  // times are microseconds of the steady clock
  int destination = 0;
  int64_t out_since = 0;   // 0: no outage
  int64_t back_since = 0;  // 0: still out
  double base = 0;
  bool served = false;
  bool scouting = false;
  bool by_owner = false;
};

struct Version {
  uint64_t number = 0;  // 0: the register holds none
  std::string text;
};

class Fleet {
 public:
  virtual ~Fleet() = default;
  // Whose the destination is, at this moment: a lease is looked at each time.
  virtual Scouts scouts(int destination) = 0;
  virtual bool owns(int destination) = 0;
  // Whether others were heard lately, so that what they tell is the fleet's word.
  virtual bool heard() = 0;
  virtual std::vector<Sight> sights() = 0;
  virtual void sees(std::vector<Sight> sights) = 0;
  // The version to run, and that it runs.
  virtual Version version() = 0;
  virtual void runs(uint64_t number) = 0;
  // A configuration for all relays; `told` comes on the daemon's thread, with the reason if it was refused.
  virtual void propose(std::string text, std::function<void(bool done, const std::string& why)> told) = 0;
  virtual void leaving() = 0;
};

}  // namespace umberhoist::fleet

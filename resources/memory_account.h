// Counts what a relay holds on its heap, by use, and decides whether more may be held. What must never fail,
// as the end of a message that was accepted, is added without asking; what a client may be refused is
// reserved first. No I/O and no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "resources/memory_plan.h"

namespace umberhoist::resources {

using Time = int64_t;  // microseconds

enum class MemoryUse {
  kClientConnections,
  kClientInput,    // requests that were read in part, or wait for those before them
  kClientReplies,  // not written yet
  kMessages,       // accepted and not ended
  kCalls,
  kFinishedMessages,
  kNotices,
  kHostList,
  kCount
};

const char* name_of(MemoryUse use);

class MemoryAccount {
 public:
  explicit MemoryAccount(const MemoryPlan& plan) : plan_(plan) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  // Adds `bytes` if they fit. Clients' input and replies share a pool; messages leave that pool and the part
  // set aside for calls free.
  bool try_reserve(MemoryUse use, size_t bytes);
  void add(MemoryUse use, size_t bytes) { held_[index(use)] += bytes; }
  void release(MemoryUse use, size_t bytes);
  void set(MemoryUse use, size_t bytes) { held_[index(use)] = bytes; }
  // Heap that is in use as the allocator measures it, including what this account does not know.
  void set_measured(size_t bytes) { measured_ = bytes; }

  size_t held(MemoryUse use) const { return held_[index(use)]; }
  size_t total() const;

  // To be called now and then. A line for the log when requests for memory begin to be denied, and when none
  // was denied for a while.
  std::optional<std::string> take_state_change(Time now);

 private:
  static size_t index(MemoryUse use) { return static_cast<size_t>(use); }
  bool fits(MemoryUse use, size_t bytes) const;
  std::string description() const;

  MemoryPlan plan_;
  std::array<size_t, static_cast<size_t>(MemoryUse::kCount)> held_{};
  size_t measured_ = 0;
  std::optional<MemoryUse> denied_;  // the last use denied since the last take_state_change()
  Time denied_at_ = 0;
  bool is_short_ = false;  // as the log has it
  uint64_t denials_ = 0;   // since the log said that memory is short
};

// One holder's part of a use, which it gives back at its end.
class MemoryShare {
 public:
  MemoryShare(MemoryAccount& account, MemoryUse use) : account_(account), use_(use) {}
  ~MemoryShare() { set(0); }
  MemoryShare(const MemoryShare&) = delete;
  MemoryShare& operator=(const MemoryShare&) = delete;

  size_t bytes() const { return bytes_; }
  // Grows to `bytes` if they fit; never shrinks.
  bool try_grow_to(size_t bytes);
  void set(size_t bytes);

 private:
  MemoryAccount& account_;
  MemoryUse use_;
  size_t bytes_ = 0;
};

}  // namespace umberhoist::resources

// The ids of messages that ended a short time ago, so that an id that comes again is answered and not sent
// again. Those of unsafe messages that may have been executed are kept in the journal too, and are given up
// only after kMinRetention, however little room there is. No I/O and no clock.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "message.h"

namespace firspool::relay {

enum class FinishedAs { kDelivered, kFailed };

class FinishedMessages {
 public:
  // How long an id is remembered if there is room. A client sends a request again at once if the end of its
  // connection crossed it, and otherwise hands the message in under a new id.
  static constexpr Time kRetention = 60'000'000;
  static constexpr Time kMinRetention = 15'000'000;  // of an id that must not be sent again

  struct Limits {
    size_t max_memory_bytes = 4 * 1024 * 1024;  // of all entries
    size_t max_saved_bytes = 256 * 1024;        // of the entries in the journal
  };
  explicit FinishedMessages(Limits limits) : limits_(limits) {}

  // `saved`: the id is in the journal, as it must not be sent again. Does nothing if the id is known.
  void add(const std::string& id, FinishedAs how, bool saved, Time now);
  std::optional<FinishedAs> find(const std::string& id) const;
  // Whether one more id that must not be sent again can be remembered for long enough.
  bool has_room_to_save(Time now) const;
  // Forgets what is over or beyond the limits. Returns the ids to remove from the journal.
  std::vector<std::string> take_forgotten(Time now);
  // The same at start, for what the journal still held: the oldest beyond the limits go.
  std::vector<std::string> take_excess();

  size_t memory_bytes() const { return memory_bytes_; }

 private:
  struct Entry {
    FinishedAs how = FinishedAs::kDelivered;
    bool saved = false;
  };
  struct Position {
    Time added = 0;
    std::string id;
  };
  static size_t memory_cost(const std::string& id) { return 192 + 2 * id.size(); }
  static size_t saved_cost(const std::string& id) { return 48 + id.size(); }
  bool is_over(const std::deque<Position>& order, Time now, Time retention) const;
  bool exceeds_limits() const;
  std::string forget_oldest(std::deque<Position>& order);

  Limits limits_;
  std::unordered_map<std::string, Entry> entries_;
  std::deque<Position> saved_order_, unsaved_order_;  // oldest first
  size_t memory_bytes_ = 0;
  size_t saved_bytes_ = 0;
};

}  // namespace firspool::relay

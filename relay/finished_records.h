// The ids of messages that ended, kept together with their records in the journal: those of unsafe messages
// that may have been executed are saved ahead of the record that the message is done.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "finished_messages.h"
#include "state/journal.h"

namespace firspool::relay {

class FinishedRecords {
 public:
  FinishedRecords(umberhoist::state::Journal& journal, FinishedMessages::Limits limits)
      : journal_(journal), messages_(limits) {}

  // Remembers a message that ended. `unsafe`: it may have been executed and must not be sent again, so its id
  // is saved. Does nothing if the id is known.
  void add(const std::string& id, FinishedAs how, bool unsafe, Time now);
  std::optional<FinishedAs> find(const std::string& id) const { return messages_.find(id); }
  // Whether one more unsafe message can be taken on: its id will find room, and the journal took all before.
  bool has_room_to_save(Time now) const { return unsaved_.empty() && messages_.has_room_to_save(now); }
  // Writes the record that a message is done, once its id is saved if it has to be.
  void record_done(const std::string& id);
  // Tries again to save the ids that the journal did not take.
  void save_later();
  // Forgets what is over or beyond the limits.
  void prune(Time now);
  // Takes over what the journal holds of an earlier process, from its metadata.
  void restore(const std::map<std::string, std::string>& metadata, Time now);
  size_t memory_bytes() const { return messages_.memory_bytes(); }

 private:
  struct Unsaved {
    FinishedAs how = FinishedAs::kDelivered;
    bool done = false;  // its done record waits for this
  };

  bool save(const std::string& id, FinishedAs how);
  void drop(const std::vector<std::string>& ids);

  umberhoist::state::Journal& journal_;
  FinishedMessages messages_;
  uint64_t last_number_ = 0;                // orders the ids in the journal
  std::map<std::string, Unsaved> unsaved_;  // the journal did not take their ids yet
};

}  // namespace firspool::relay

// The journal as it was before segments, kept for bench/journal alone: one file that is rewritten when it is
// full.
#pragma once

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "message.h"

namespace umberhoist::earlier {

using firspool::Time;
using firspool::relay::Notice;
using firspool::relay::Submission;

struct RecoveredMessage {
  Submission message;
  Time due = 0;  // wall clock, as all times here
  int attempts = 0;
  std::map<int, std::pair<Time, int>> maybe_executed;  // attempts that may have run: when sent, to which zone
  std::optional<Notice> pending_notice;
};

class Journal {
 public:
  // Reads what is there, cuts a torn tail off and goes on behind it. Throws std::runtime_error if the folder
  // cannot be used.
  Journal(const std::filesystem::path& folder, size_t disk_bytes);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // In the order in which they were taken on.
  const std::vector<RecoveredMessage>& recovered() const { return recovered_; }

  // What was remembered last under each name.
  const std::map<std::string, std::string>& metadata() const { return metadata_; }

  // False: there is no room or it could not be written, and the message must not be taken on.
  bool record_accepted(const Submission& message, Time due);
  // False: it could not be written, and the call must not start.
  bool record_attempt(const std::string& id, int number, Time sent, int zone);
  void record_not_executed(const std::string& id, int number);
  void record_notice(const Notice& notice);
  void record_done(const std::string& id);
  // A fact beside the messages; the last value of a name counts, an empty one forgets it.
  void put_metadata(const std::string& name, const std::string& value);

 private:
  void replay();
  void apply(std::string_view record, std::map<std::string, size_t>& places);
  void store_metadata(const std::string& name, const std::string& value);
  bool append(const std::string& id, const std::string& payload);
  bool write(std::string_view bytes);
  bool compact();

  std::filesystem::path path_;
  std::filesystem::path fresh_path_;
  size_t max_file_bytes_;  // one file's size; while it is compacted there are two
  int file_ = -1;
  size_t size_ = 0;
  size_t live_bytes_ = 0;
  uint64_t last_sequence_ = 0;
  std::map<std::string, uint64_t> places_;  // live messages, in the order they came
  std::map<uint64_t, std::string> live_;    // and their records as written
  std::vector<RecoveredMessage> recovered_;
  std::map<std::string, std::string> metadata_;
};

}  // namespace umberhoist::earlier

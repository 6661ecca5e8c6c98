// The journal before it had segments: one file that is rewritten when it is full. Kept only as the baseline
// of bench/journal.
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
  Time due = 0;  // wall clock, as all times in this file
  int attempts = 0;
  // By attempt number: when it was sent, and to which zone.
  std::map<int, std::pair<Time, int>> maybe_executed;
  std::optional<Notice> pending_notice;
};

class Journal {
 public:
  // Reads the existing journal and truncates a torn tail. Throws std::runtime_error if the folder cannot be
  // used.
  Journal(const std::filesystem::path& folder, size_t disk_bytes);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // The live messages at start, in order of acceptance.
  const std::vector<RecoveredMessage>& recovered() const { return recovered_; }

  // The last value of each name that has one.
  const std::map<std::string, std::string>& metadata() const { return metadata_; }

  // Returns false if there is no room or the write failed; the message must then be refused.
  bool record_accepted(const Submission& message, Time due);
  // Returns false if the write failed; the call must not start then.
  bool record_attempt(const std::string& id, int number, Time sent, int zone);
  void record_not_executed(const std::string& id, int number);
  void record_notice(const Notice& notice);
  void record_done(const std::string& id);
  // Stores a value beside the messages; the last value of a name counts, an empty value removes the name.
  void put_metadata(const std::string& name, const std::string& value);

 private:
  void replay();
  void apply_record(std::string_view payload, std::map<std::string, size_t>& index_by_id);
  void store_metadata(const std::string& name, const std::string& value);
  bool append(const std::string& id, const std::string& payload);
  bool write(std::string_view bytes);
  bool compact();

  std::filesystem::path path_;
  std::filesystem::path compacted_path_;
  size_t max_file_bytes_;  // maximum size of the file; during a compaction there are two files
  int file_ = -1;
  size_t size_ = 0;
  size_t live_bytes_ = 0;
  uint64_t last_sequence_ = 0;
  // Live messages by id: their number in order of acceptance.
  std::map<std::string, uint64_t> sequence_by_id_;
  std::map<uint64_t, std::string> live_records_;  // their framed records as written
  std::vector<RecoveredMessage> recovered_;
  std::map<std::string, std::string> metadata_;
};

}  // namespace umberhoist::earlier

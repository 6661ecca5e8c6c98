// `umberhoistctl journal`: prints the contents of a state folder for operators and scripts. Changes nothing.
#pragma once

#include <iosfwd>
#include <optional>
#include <string>

namespace umberhoist::ctl {

// Return the exit status: 0 if the folder is intact, 1 if something is damaged or a segment is rejected, 2 if
// the folder cannot be read.
int check_journal(const std::string& folder_path, bool as_json, std::ostream& out, std::ostream& errors);

struct DumpOptions {
  std::string folder;
  bool live = false;  // live messages as a restart would resume them, in place of all records
  bool bodies = false;
  std::optional<uint64_t> segment;  // only records of this segment
  std::string id;                   // only records of this message
};
// Prints one JSON object per line.
int dump_journal(const DumpOptions& options, std::ostream& out, std::ostream& errors);

}  // namespace umberhoist::ctl

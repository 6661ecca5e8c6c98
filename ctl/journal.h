// `umberhoistctl journal`: what stands in a state folder, for people and for scripts. Nothing is changed.
#pragma once

#include <iosfwd>
#include <optional>
#include <string>

namespace umberhoist::ctl {

// Exit statuses: 0 whole, 1 something is damaged or would not be read, 2 the folder cannot be read.
int check_journal(const std::string& folder, bool as_json, std::ostream& out, std::ostream& errors);

struct DumpOptions {
  std::string folder;
  bool live = false;  // only messages that are alive, as a start would resume them; else every record
  bool bodies = false;
  std::optional<uint64_t> segment;  // only this one's records
  std::string id;                   // only this message's
};
// One JSON object a line.
int dump_journal(const DumpOptions& what, std::ostream& out, std::ostream& errors);

}  // namespace umberhoist::ctl

#include "ctl/journal.h"

#include <nlohmann/json.hpp>
#include <ostream>
#include <set>

#include "state/inspect.h"

namespace umberhoist::ctl {
namespace {

using nlohmann::json;
using namespace state;

constexpr int kIntact = 0, kDamaged = 1, kUnreadable = 2;

const char* kind_name(RecordKind kind) {
  switch (kind) {
    case RecordKind::kAccepted:
      return "accepted";
    case RecordKind::kAttempt:
      return "attempt";
    case RecordKind::kNotExecuted:
      return "never-ran";
    case RecordKind::kNotice:
      return "owed";
    case RecordKind::kDone:
      return "done";
    case RecordKind::kMetadata:
      return "fact";
  }
  return "unknown";
}

// Bodies may hold arbitrary bytes, which JSON strings cannot.
std::string hex(std::string_view bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  for (const unsigned char c : bytes) {
    out += kDigits[c >> 4];
    out += kDigits[c & 15];
  }
  return out;
}

json json_of(const Attempt& t) {
  return {{"number", t.number}, {"sent_us", t.sent}, {"zone", t.zone}, {"never_ran", t.not_executed}};
}

json json_of(const AcceptedMessage& a, bool bodies) {
  json out = {{"id", a.message.id}, {"class", a.message.message_class},    {"dest", a.message.destination},
              {"due_us", a.due},    {"body_bytes", a.message.body.size()}, {"attempts", json::array()}};
  if (!a.message.key.empty()) out["key"] = a.message.key;
  if (!a.message.tenant.empty()) out["tenant"] = a.message.tenant;
  for (const Attempt& t : a.attempts) out["attempts"].push_back(json_of(t));
  if (a.pending_notice)
    out["owed"] = {{"state", a.pending_notice->returned ? "returned" : "failed"},
                   {"after_us", a.pending_notice->retry_after}};
  if (bodies) out["body_hex"] = hex(a.message.body);
  return out;
}

json json_of(const InspectedRecord& r, bool bodies) {
  json out = {{"segment", r.segment}, {"at", r.offset}, {"bytes", r.size}, {"kind", kind_name(r.kind)}};
  if (!r.readable) out["readable"] = false;
  if (r.sequence != 0) out["order"] = r.sequence;
  if (const auto* accepted = std::get_if<AcceptedMessage>(&r.content))
    out["message"] = json_of(*accepted, bodies);
  if (const auto* attempt = std::get_if<Attempt>(&r.content)) out["attempt"] = json_of(*attempt);
  if (const int* number = std::get_if<int>(&r.content)) out["number"] = *number;
  if (const auto* notice = std::get_if<NoticeRecord>(&r.content)) {
    out["owed"] = {{"state", notice->returned ? "returned" : "failed"}, {"after_us", notice->retry_after}};
  }
  if (const auto* entry = std::get_if<MetadataEntry>(&r.content)) {
    out["name"] = entry->name;
    out["value"] = entry->value;
  }
  return out;
}

std::string to_line(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

json json_of(const InspectedFolder& folder) {
  json out = {{"whole", folder.is_intact()},         {"used_bytes", folder.used_bytes},
              {"live", folder.live_messages.size()}, {"orphans", folder.orphans},
              {"facts", folder.metadata.size()},     {"segments", json::array()},
              {"others", folder.other_files},        {"earlier_version", folder.has_legacy_journal}};
  size_t notices = 0;
  for (const auto& [sequence, a] : folder.live_messages) notices += a.pending_notice.has_value();
  out["owed"] = notices;
  for (const InspectedSegment& s : folder.segments) {
    json object = {{"name", s.name}, {"bytes", s.size}, {"records", json::object()}, {"lost", json::array()}};
    if (s.header) object["version"] = s.header->version, object["owner"] = s.header->owner;
    if (!s.reject_reason.empty()) object["strange"] = s.reject_reason;
    if (s.malformed_records > 0) object["unreadable"] = s.malformed_records;
    for (const auto& [kind, count] : s.records) object["records"][kind_name(kind)] = count;
    for (const DamagedRange& b : s.damaged_ranges)
      object["lost"].push_back({{"at", b.offset}, {"bytes", b.size}, {"tail", b.is_tail}});
    out["segments"].push_back(std::move(object));
  }
  return out;
}

void print(const InspectedFolder& folder, std::ostream& out) {
  for (const InspectedSegment& s : folder.segments) {
    out << s.name << "  " << s.size << " bytes";
    if (s.header) out << ", version " << s.header->version << ", relay " << s.header->owner;
    for (const auto& [kind, count] : s.records) out << ", " << count << " " << kind_name(kind);
    out << "\n";
    if (!s.reject_reason.empty()) out << "  would be set aside: " << s.reject_reason << "\n";
    if (s.malformed_records > 0)
      out << "  " << s.malformed_records << " records hold what their kind does not allow\n";
    for (const DamagedRange& b : s.damaged_ranges) {
      out << "  " << b.size << " bytes at " << b.offset
          << (b.is_tail ? " at its end are torn, as a kill leaves them\n" : " cannot be read\n");
    }
  }
  for (const auto& [name, size] : folder.other_files) out << name << "  " << size << " bytes, no segment\n";
  if (folder.has_legacy_journal) out << "a journal of the version before segments: a start carries it over\n";
  size_t notices = 0;
  for (const auto& [sequence, a] : folder.live_messages) notices += a.pending_notice.has_value();
  out << folder.live_messages.size() << " messages alive, " << notices
      << " of them with a notice to be sent; " << folder.metadata.size() << " facts; " << folder.used_bytes
      << " bytes of disk\n";
  if (folder.orphans > 0) out << folder.orphans << " messages whose acceptance cannot be read\n";
  out << (folder.is_intact() ? "whole\n" : "NOT whole\n");
}

}  // namespace

int check_journal(const std::string& folder_path, bool as_json, std::ostream& out, std::ostream& errors) {
  try {
    const auto files = make_posix_files(folder_path, true);
    const InspectedFolder folder = inspect_folder(*files, [](const InspectedRecord&) {});
    if (as_json) {
      out << to_line(json_of(folder)) << "\n";
    } else {
      print(folder, out);
    }
    return folder.is_intact() ? kIntact : kDamaged;
  } catch (const std::exception& error) {
    errors << "umberhoistctl: " << error.what() << "\n";
    return kUnreadable;
  }
}

int dump_journal(const DumpOptions& options, std::ostream& out, std::ostream& errors) {
  try {
    const auto files = make_posix_files(options.folder, true);
    // Sequence numbers of the requested id: records other than the acceptance refer to the message only by
    // these.
    std::set<uint64_t> sequences;
    const InspectedFolder folder = inspect_folder(*files, [&](const InspectedRecord& r) {
      if (options.live) return;
      if (!options.id.empty()) {
        const auto* accepted = std::get_if<AcceptedMessage>(&r.content);
        if (accepted != nullptr && accepted->message.id == options.id) sequences.insert(r.sequence);
        if (!sequences.contains(r.sequence)) return;
      }
      if (options.segment && *options.segment != std::stoull(r.segment.substr(r.segment.find('-') + 1)))
        return;
      out << to_line(json_of(r, options.bodies)) << "\n";
    });
    for (const auto& [sequence, a] : folder.live_messages) {
      if (!options.live || (!options.id.empty() && a.message.id != options.id)) continue;
      json object = json_of(a, options.bodies);
      object["order"] = sequence;
      out << to_line(object) << "\n";
    }
    return folder.is_intact() ? kIntact : kDamaged;
  } catch (const std::exception& error) {
    errors << "umberhoistctl: " << error.what() << "\n";
    return kUnreadable;
  }
}

}  // namespace umberhoist::ctl

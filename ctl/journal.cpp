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

const char* name_of(RecordKind kind) {
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

// Bodies hold any bytes; JSON holds text.
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
  json out = {{"segment", r.segment}, {"at", r.offset}, {"bytes", r.size}, {"kind", name_of(r.kind)}};
  if (!r.readable) out["readable"] = false;
  if (r.sequence != 0) out["order"] = r.sequence;
  if (const auto* accepted = std::get_if<AcceptedMessage>(&r.content))
    out["message"] = json_of(*accepted, bodies);
  if (const auto* attempt = std::get_if<Attempt>(&r.content)) out["attempt"] = json_of(*attempt);
  if (const int* number = std::get_if<int>(&r.content)) out["number"] = *number;
  if (const auto* owed = std::get_if<NoticeRecord>(&r.content)) {
    out["owed"] = {{"state", owed->returned ? "returned" : "failed"}, {"after_us", owed->retry_after}};
  }
  if (const auto* fact = std::get_if<MetadataEntry>(&r.content)) {
    out["name"] = fact->name;
    out["value"] = fact->value;
  }
  return out;
}

std::string line_of(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

json json_of(const InspectedFolder& seen) {
  json out = {{"whole", seen.is_intact()},         {"used_bytes", seen.used_bytes},
              {"live", seen.live_messages.size()}, {"orphans", seen.orphans},
              {"facts", seen.metadata.size()},     {"segments", json::array()},
              {"others", seen.other_files},        {"earlier_version", seen.has_legacy_journal}};
  size_t owed = 0;
  for (const auto& [order, a] : seen.live_messages) owed += a.pending_notice.has_value();
  out["owed"] = owed;
  for (const InspectedSegment& s : seen.segments) {
    json one = {{"name", s.name}, {"bytes", s.size}, {"records", json::object()}, {"lost", json::array()}};
    if (s.header) one["version"] = s.header->version, one["owner"] = s.header->owner;
    if (!s.reject_reason.empty()) one["strange"] = s.reject_reason;
    if (s.malformed_records > 0) one["unreadable"] = s.malformed_records;
    for (const auto& [kind, count] : s.records) one["records"][name_of(kind)] = count;
    for (const DamagedRange& b : s.damaged_ranges)
      one["lost"].push_back({{"at", b.offset}, {"bytes", b.size}, {"tail", b.is_tail}});
    out["segments"].push_back(std::move(one));
  }
  return out;
}

void print(const InspectedFolder& seen, std::ostream& out) {
  for (const InspectedSegment& s : seen.segments) {
    out << s.name << "  " << s.size << " bytes";
    if (s.header) out << ", version " << s.header->version << ", relay " << s.header->owner;
    for (const auto& [kind, count] : s.records) out << ", " << count << " " << name_of(kind);
    out << "\n";
    if (!s.reject_reason.empty()) out << "  would be set aside: " << s.reject_reason << "\n";
    if (s.malformed_records > 0)
      out << "  " << s.malformed_records << " records hold what their kind does not allow\n";
    for (const DamagedRange& b : s.damaged_ranges) {
      out << "  " << b.size << " bytes at " << b.offset
          << (b.is_tail ? " at its end are torn, as a kill leaves them\n" : " cannot be read\n");
    }
  }
  for (const auto& [name, size] : seen.other_files) out << name << "  " << size << " bytes, no segment\n";
  if (seen.has_legacy_journal) out << "a journal of the version before segments: a start carries it over\n";
  size_t owed = 0;
  for (const auto& [order, a] : seen.live_messages) owed += a.pending_notice.has_value();
  out << seen.live_messages.size() << " messages alive, " << owed << " of them with a notice to be sent; "
      << seen.metadata.size() << " facts; " << seen.used_bytes << " bytes of disk\n";
  if (seen.orphans > 0) out << seen.orphans << " messages whose acceptance cannot be read\n";
  out << (seen.is_intact() ? "whole\n" : "NOT whole\n");
}

}  // namespace

int check_journal(const std::string& folder, bool as_json, std::ostream& out, std::ostream& errors) {
  try {
    const auto files = make_posix_files(folder, true);
    const InspectedFolder seen = inspect_folder(*files, [](const InspectedRecord&) {});
    if (as_json) {
      out << line_of(json_of(seen)) << "\n";
    } else {
      print(seen, out);
    }
    return seen.is_intact() ? kIntact : kDamaged;
  } catch (const std::exception& error) {
    errors << "umberhoistctl: " << error.what() << "\n";
    return kUnreadable;
  }
}

int dump_journal(const DumpOptions& what, std::ostream& out, std::ostream& errors) {
  try {
    const auto files = make_posix_files(what.folder, true);
    std::set<uint64_t> orders;  // of the message asked for: later records name it by these alone
    const InspectedFolder seen = inspect_folder(*files, [&](const InspectedRecord& r) {
      if (what.live) return;
      if (!what.id.empty()) {
        const auto* accepted = std::get_if<AcceptedMessage>(&r.content);
        if (accepted != nullptr && accepted->message.id == what.id) orders.insert(r.sequence);
        if (!orders.contains(r.sequence)) return;
      }
      if (what.segment && *what.segment != std::stoull(r.segment.substr(r.segment.find('-') + 1))) return;
      out << line_of(json_of(r, what.bodies)) << "\n";
    });
    for (const auto& [order, a] : seen.live_messages) {
      if (!what.live || (!what.id.empty() && a.message.id != what.id)) continue;
      json one = json_of(a, what.bodies);
      one["order"] = order;
      out << line_of(one) << "\n";
    }
    return seen.is_intact() ? kIntact : kDamaged;
  } catch (const std::exception& error) {
    errors << "umberhoistctl: " << error.what() << "\n";
    return kUnreadable;
  }
}

}  // namespace umberhoist::ctl

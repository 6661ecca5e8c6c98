#include "ctl/journal.h"

#include <nlohmann/json.hpp>
#include <ostream>
#include <set>

#include "state/inspect.h"

namespace umberhoist::ctl {
namespace {

using nlohmann::json;
using namespace state;

constexpr int kWhole = 0, kDamaged = 1, kUnreadable = 2;

const char* name_of(Kind kind) {
  switch (kind) {
    case Kind::kAccepted:
      return "accepted";
    case Kind::kAttempt:
      return "attempt";
    case Kind::kNeverRan:
      return "never-ran";
    case Kind::kOwed:
      return "owed";
    case Kind::kDone:
      return "done";
    case Kind::kFact:
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
  return {{"number", t.number}, {"sent_us", t.sent}, {"zone", t.zone}, {"never_ran", t.never_ran}};
}

json json_of(const Accepted& a, bool bodies) {
  json out = {{"id", a.message.id}, {"class", a.message.message_class},    {"dest", a.message.destination},
              {"due_us", a.due},    {"body_bytes", a.message.body.size()}, {"attempts", json::array()}};
  if (!a.message.key.empty()) out["key"] = a.message.key;
  if (!a.message.tenant.empty()) out["tenant"] = a.message.tenant;
  for (const Attempt& t : a.attempts) out["attempts"].push_back(json_of(t));
  if (a.owed)
    out["owed"] = {{"state", a.owed->returned ? "returned" : "failed"}, {"after_us", a.owed->retry_after}};
  if (bodies) out["body_hex"] = hex(a.message.body);
  return out;
}

json json_of(const RecordSeen& r, bool bodies) {
  json out = {{"segment", r.segment}, {"at", r.at}, {"bytes", r.bytes}, {"kind", name_of(r.kind)}};
  if (!r.readable) out["readable"] = false;
  if (r.order != 0) out["order"] = r.order;
  if (const auto* accepted = std::get_if<Accepted>(&r.content)) out["message"] = json_of(*accepted, bodies);
  if (const auto* attempt = std::get_if<Attempt>(&r.content)) out["attempt"] = json_of(*attempt);
  if (const int* number = std::get_if<int>(&r.content)) out["number"] = *number;
  if (const auto* owed = std::get_if<Owed>(&r.content)) {
    out["owed"] = {{"state", owed->returned ? "returned" : "failed"}, {"after_us", owed->after}};
  }
  if (const auto* fact = std::get_if<Fact>(&r.content)) {
    out["name"] = fact->name;
    out["value"] = fact->value;
  }
  return out;
}

std::string line_of(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

json json_of(const FolderSeen& seen) {
  json out = {{"whole", seen.whole()},   {"used_bytes", seen.used},        {"live", seen.live.size()},
              {"orphans", seen.orphans}, {"facts", seen.facts.size()},     {"segments", json::array()},
              {"others", seen.others},   {"earlier_version", seen.earlier}};
  size_t owed = 0;
  for (const auto& [order, a] : seen.live) owed += a.owed.has_value();
  out["owed"] = owed;
  for (const SegmentSeen& s : seen.segments) {
    json one = {{"name", s.name}, {"bytes", s.size}, {"records", json::object()}, {"lost", json::array()}};
    if (s.header) one["version"] = s.header->version, one["owner"] = s.header->owner;
    if (!s.strange.empty()) one["strange"] = s.strange;
    if (s.unreadable > 0) one["unreadable"] = s.unreadable;
    for (const auto& [kind, count] : s.records) one["records"][name_of(kind)] = count;
    for (const BytesLost& b : s.lost)
      one["lost"].push_back({{"at", b.at}, {"bytes", b.bytes}, {"tail", b.tail}});
    out["segments"].push_back(std::move(one));
  }
  return out;
}

void print(const FolderSeen& seen, std::ostream& out) {
  for (const SegmentSeen& s : seen.segments) {
    out << s.name << "  " << s.size << " bytes";
    if (s.header) out << ", version " << s.header->version << ", relay " << s.header->owner;
    for (const auto& [kind, count] : s.records) out << ", " << count << " " << name_of(kind);
    out << "\n";
    if (!s.strange.empty()) out << "  would be set aside: " << s.strange << "\n";
    if (s.unreadable > 0) out << "  " << s.unreadable << " records hold what their kind does not allow\n";
    for (const BytesLost& b : s.lost) {
      out << "  " << b.bytes << " bytes at " << b.at
          << (b.tail ? " at its end are torn, as a kill leaves them\n" : " cannot be read\n");
    }
  }
  for (const auto& [name, size] : seen.others) out << name << "  " << size << " bytes, no segment\n";
  if (seen.earlier) out << "a journal of the version before segments: a start carries it over\n";
  size_t owed = 0;
  for (const auto& [order, a] : seen.live) owed += a.owed.has_value();
  out << seen.live.size() << " messages alive, " << owed << " of them with a notice to be sent; "
      << seen.facts.size() << " facts; " << seen.used << " bytes of disk\n";
  if (seen.orphans > 0) out << seen.orphans << " messages whose acceptance cannot be read\n";
  out << (seen.whole() ? "whole\n" : "NOT whole\n");
}

}  // namespace

int check_journal(const std::string& folder, bool as_json, std::ostream& out, std::ostream& errors) {
  try {
    const auto files = real_files(folder, true);
    const FolderSeen seen = inspect(*files, [](const RecordSeen&) {});
    if (as_json) {
      out << line_of(json_of(seen)) << "\n";
    } else {
      print(seen, out);
    }
    return seen.whole() ? kWhole : kDamaged;
  } catch (const std::exception& error) {
    errors << "umberhoistctl: " << error.what() << "\n";
    return kUnreadable;
  }
}

int dump_journal(const Dump& what, std::ostream& out, std::ostream& errors) {
  try {
    const auto files = real_files(what.folder, true);
    std::set<uint64_t> orders;  // of the message asked for: later records name it by these alone
    const FolderSeen seen = inspect(*files, [&](const RecordSeen& r) {
      if (what.live) return;
      if (!what.id.empty()) {
        const auto* accepted = std::get_if<Accepted>(&r.content);
        if (accepted != nullptr && accepted->message.id == what.id) orders.insert(r.order);
        if (!orders.contains(r.order)) return;
      }
      if (what.segment && *what.segment != std::stoull(r.segment.substr(r.segment.find('-') + 1))) return;
      out << line_of(json_of(r, what.bodies)) << "\n";
    });
    for (const auto& [order, a] : seen.live) {
      if (!what.live || (!what.id.empty() && a.message.id != what.id)) continue;
      json one = json_of(a, what.bodies);
      one["order"] = order;
      out << line_of(one) << "\n";
    }
    return seen.whole() ? kWhole : kDamaged;
  } catch (const std::exception& error) {
    errors << "umberhoistctl: " << error.what() << "\n";
    return kUnreadable;
  }
}

}  // namespace umberhoist::ctl

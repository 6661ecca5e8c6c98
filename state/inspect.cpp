#include "state/inspect.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace umberhoist::state {
namespace {

constexpr std::string_view kPrefix = "journal-";

bool is_segment(const std::string& name) {
  const auto digits = std::string_view(name).substr(std::min(name.size(), kPrefix.size()));
  return name.starts_with(kPrefix) && digits.size() >= 10 && digits.size() <= 19 &&
         std::all_of(digits.begin(), digits.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
}

InspectedRecord decode(const std::string& segment, const SegmentReader::Item& item) {
  InspectedRecord out;
  out.segment = segment;
  out.offset = item.offset;
  out.size = item.size;
  out.kind = item.kind;
  const auto take = [&](auto decoded) {
    if (!decoded) return;
    out.readable = true;
    out.sequence = decoded->first;
    out.content = std::move(decoded->second);
  };
  switch (item.kind) {
    case RecordKind::kAccepted:
      if (auto accepted = decode_accepted(item.payload)) {
        out.readable = true;
        out.sequence = accepted->sequence;
        out.content = std::move(*accepted);
      }
      break;
    case RecordKind::kAttempt:
      take(decode_attempt(item.payload));
      break;
    case RecordKind::kNotExecuted:
      take(decode_not_executed(item.payload));
      break;
    case RecordKind::kNotice:
      take(decode_notice(item.payload));
      break;
    case RecordKind::kDone:
      if (const auto order = decode_done(item.payload)) {
        out.readable = true;
        out.sequence = *order;
      }
      break;
    case RecordKind::kMetadata:
      if (auto fact = decode_metadata(item.payload)) {
        out.readable = true;
        out.content = std::move(*fact);
      }
      break;
  }
  return out;
}

// What the records say together, in any order and any number of them: for each message the union of what is
// known, and that it is over if any record says so.
class Fold {
 public:
  void add(const InspectedRecord& record) {
    if (!record.readable) return;
    if (const auto* fact = std::get_if<MetadataEntry>(&record.content)) {
      facts[fact->name] = fact->value;
      return;
    }
    if (record.kind == RecordKind::kDone) {
      over.insert(record.sequence);
      return;
    }
    About& about = messages[record.sequence];
    if (const auto* accepted = std::get_if<AcceptedMessage>(&record.content)) {
      about.accepted = *accepted;
      for (const Attempt& t : accepted->attempts) about.add(t);
      if (accepted->pending_notice)
        about.owed = NoticeRecord{accepted->pending_notice->returned, accepted->pending_notice->retry_after};
    } else if (const auto* attempt = std::get_if<Attempt>(&record.content)) {
      about.add(*attempt);
    } else if (const int* number = std::get_if<int>(&record.content)) {
      about.never.insert(*number);
    } else if (const auto* owed = std::get_if<NoticeRecord>(&record.content)) {
      about.owed = *owed;
    }
  }

  void close(InspectedFolder& out) {
    std::map<std::string, uint64_t> newest;
    for (auto& [order, about] : messages) {
      if (over.contains(order)) continue;
      if (!about.accepted) {
        ++out.orphans;
        continue;
      }
      AcceptedMessage a = std::move(*about.accepted);
      a.attempts.clear();
      for (auto& [number, attempt] : about.attempts) {
        attempt.not_executed = attempt.not_executed || about.never.contains(number);
        a.attempts.push_back(attempt);
      }
      if (about.owed)
        a.pending_notice =
            firspool::relay::Notice{a.message.id, about.owed->returned, about.owed->retry_after};
      // An id that came again while the end of its first time cannot be read: the newer one counts, with what
      // the older may have done held against it.
      if (const auto older = newest.find(a.message.id); older != newest.end()) {
        for (const Attempt& t : out.live_messages.at(older->second).attempts) {
          const auto same = [&](const Attempt& own) { return own.number == t.number; };
          if (std::none_of(a.attempts.begin(), a.attempts.end(), same)) a.attempts.push_back(t);
        }
        out.live_messages.erase(older->second);
      }
      newest[a.message.id] = order;
      out.live_messages[order] = std::move(a);
    }
    for (auto& [name, value] : facts) {
      if (!value.empty()) out.metadata[name] = std::move(value);
    }
  }

 private:
  struct About {
    std::optional<AcceptedMessage> accepted;
    std::map<int, Attempt> attempts;
    std::set<int> never;
    std::optional<NoticeRecord> owed;
    void add(const Attempt& t) {
      const auto [it, fresh] = attempts.try_emplace(t.number, t);
      if (!fresh && t.sent != 0)
        it->second = {t.number, t.sent, t.zone, t.not_executed || it->second.not_executed};
    }
  };
  std::map<uint64_t, About> messages;
  std::set<uint64_t> over;
  std::map<std::string, std::string> facts;
};

}  // namespace

bool InspectedFolder::is_intact() const {
  return !has_legacy_journal && orphans == 0 &&
         std::all_of(segments.begin(), segments.end(), [](const InspectedSegment& s) {
           return s.reject_reason.empty() && s.malformed_records == 0 &&
                  std::all_of(s.damaged_ranges.begin(), s.damaged_ranges.end(),
                              [](const DamagedRange& b) { return b.is_tail; });
         });
}

InspectedFolder inspect_folder(Files& files, const std::function<void(const InspectedRecord&)>& each) {
  InspectedFolder out;
  std::vector<std::string> names = files.list();
  std::sort(names.begin(), names.end());
  std::string owner;
  Fold fold;
  for (const std::string& name : names) {
    const int file = files.open(name);
    if (file < 0) {
      out.other_files[name] = 0;
      continue;
    }
    const auto size = static_cast<size_t>(std::max<ssize_t>(0, files.size(file)));
    out.used_bytes += block_rounded(size);
    if (!is_segment(name)) {
      out.other_files[name] = size;
      out.has_legacy_journal = out.has_legacy_journal || name == "journal";
      files.close(file);
      continue;
    }
    InspectedSegment seen;
    seen.name = name;
    seen.size = size;
    char head[kHeaderBytes];
    const ssize_t got = files.read(file, 0, head, sizeof head);
    if (got > 0) seen.header = decode_header({head, static_cast<size_t>(got)});
    if (!seen.header) {
      seen.reject_reason = size == 0 ? "it is empty" : "its header cannot be read";
    } else if (seen.header->version < kMinFormatVersion || seen.header->version > kFormatVersion) {
      seen.reject_reason = "it is of version " + std::to_string(seen.header->version);
    } else if (seen.header->segment_number != std::stoull(name.substr(kPrefix.size()))) {
      seen.reject_reason =
          "it is segment " + std::to_string(seen.header->segment_number) + " under another name";
    } else if (!owner.empty() && seen.header->owner != owner) {
      seen.reject_reason = "it belongs to relay " + seen.header->owner + ", those before it to " + owner;
    }
    if (seen.reject_reason.empty()) {
      owner = seen.header->owner;
      SegmentReader reader(files, file, seen.header->salt);
      for (auto item = reader.next(); item.type != SegmentReader::Item::Type::kEnd; item = reader.next()) {
        if (item.type == SegmentReader::Item::Type::kDamage) {
          seen.damaged_ranges.push_back({item.offset, item.size, item.is_tail});
          continue;
        }
        const InspectedRecord record = decode(name, item);
        ++seen.records[record.kind];
        seen.malformed_records += !record.readable;
        fold.add(record);
        each(record);
      }
    }
    files.close(file);
    out.segments.push_back(std::move(seen));
  }
  fold.close(out);
  return out;
}

}  // namespace umberhoist::state

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
  const auto set_content = [&](auto decoded) {
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
      set_content(decode_attempt(item.payload));
      break;
    case RecordKind::kNotExecuted:
      set_content(decode_not_executed(item.payload));
      break;
    case RecordKind::kNotice:
      set_content(decode_notice(item.payload));
      break;
    case RecordKind::kDone:
      if (const auto sequence = decode_done(item.payload)) {
        out.readable = true;
        out.sequence = *sequence;
      }
      break;
    case RecordKind::kMetadata:
      if (auto entry = decode_metadata(item.payload)) {
        out.readable = true;
        out.content = std::move(*entry);
      }
      break;
  }
  return out;
}

// Combines records into the state of each message, independent of their order and of duplicates: attempts and
// notices are merged, and a message is finished if any record says so.
class StateBuilder {
 public:
  void add(const InspectedRecord& record) {
    if (!record.readable) return;
    if (const auto* entry = std::get_if<MetadataEntry>(&record.content)) {
      metadata[entry->name] = entry->value;
      return;
    }
    if (record.kind == RecordKind::kDone) {
      finished_messages.insert(record.sequence);
      return;
    }
    MessageState& message = messages[record.sequence];
    if (const auto* accepted = std::get_if<AcceptedMessage>(&record.content)) {
      message.accepted = *accepted;
      for (const Attempt& t : accepted->attempts) message.add(t);
      if (accepted->pending_notice)
        message.notice =
            NoticeRecord{accepted->pending_notice->returned, accepted->pending_notice->retry_after};
    } else if (const auto* attempt = std::get_if<Attempt>(&record.content)) {
      message.add(*attempt);
    } else if (const int* number = std::get_if<int>(&record.content)) {
      message.not_executed.insert(*number);
    } else if (const auto* notice = std::get_if<NoticeRecord>(&record.content)) {
      message.notice = *notice;
    }
  }

  void finish(InspectedFolder& out) {
    std::map<std::string, uint64_t> newest;
    for (auto& [sequence, message] : messages) {
      if (finished_messages.contains(sequence)) continue;
      if (!message.accepted) {
        ++out.orphans;
        continue;
      }
      AcceptedMessage a = std::move(*message.accepted);
      a.attempts.clear();
      for (auto& [number, attempt] : message.attempts) {
        attempt.not_executed = attempt.not_executed || message.not_executed.contains(number);
        a.attempts.push_back(attempt);
      }
      if (message.notice)
        a.pending_notice =
            firspool::relay::Notice{a.message.id, message.notice->returned, message.notice->retry_after};
      // The id was accepted again and the done record of its first message cannot be read: the newer message
      // counts, and inherits the older one's attempts, as they may have been executed.
      if (const auto earlier = newest.find(a.message.id); earlier != newest.end()) {
        for (const Attempt& t : out.live_messages.at(earlier->second).attempts) {
          const auto same = [&](const Attempt& own) { return own.number == t.number; };
          if (std::none_of(a.attempts.begin(), a.attempts.end(), same)) a.attempts.push_back(t);
        }
        out.live_messages.erase(earlier->second);
      }
      newest[a.message.id] = sequence;
      out.live_messages[sequence] = std::move(a);
    }
    for (auto& [name, value] : metadata) {
      if (!value.empty()) out.metadata[name] = std::move(value);
    }
  }

 private:
  struct MessageState {
    std::optional<AcceptedMessage> accepted;
    std::map<int, Attempt> attempts;
    std::set<int> not_executed;
    std::optional<NoticeRecord> notice;
    void add(const Attempt& t) {
      const auto [it, inserted] = attempts.try_emplace(t.number, t);
      if (!inserted && t.sent != 0)
        it->second = {t.number, t.sent, t.zone, t.not_executed || it->second.not_executed};
    }
  };
  std::map<uint64_t, MessageState> messages;
  std::set<uint64_t> finished_messages;
  std::map<std::string, std::string> metadata;
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

InspectedFolder inspect_folder(Files& files, const std::function<void(const InspectedRecord&)>& on_record) {
  InspectedFolder out;
  std::vector<std::string> names = files.list();
  std::sort(names.begin(), names.end());
  std::string owner;
  StateBuilder state_builder;
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
    InspectedSegment segment;
    segment.name = name;
    segment.size = size;
    char header_bytes[kHeaderBytes];
    const ssize_t bytes_read = files.read(file, 0, header_bytes, sizeof header_bytes);
    if (bytes_read > 0) segment.header = decode_header({header_bytes, static_cast<size_t>(bytes_read)});
    if (!segment.header) {
      segment.reject_reason = size == 0 ? "it is empty" : "its header cannot be read";
    } else if (segment.header->version < kMinFormatVersion || segment.header->version > kFormatVersion) {
      segment.reject_reason = "it is of version " + std::to_string(segment.header->version);
    } else if (segment.header->segment_number != std::stoull(name.substr(kPrefix.size()))) {
      segment.reject_reason =
          "it is segment " + std::to_string(segment.header->segment_number) + " under another name";
    } else if (!owner.empty() && segment.header->owner != owner) {
      segment.reject_reason =
          "it belongs to relay " + segment.header->owner + ", those before it to " + owner;
    }
    if (segment.reject_reason.empty()) {
      owner = segment.header->owner;
      SegmentReader reader(files, file, segment.header->salt);
      for (auto item = reader.next(); item.type != SegmentReader::Item::Type::kEnd; item = reader.next()) {
        if (item.type == SegmentReader::Item::Type::kDamage) {
          segment.damaged_ranges.push_back({item.offset, item.size, item.is_tail});
          continue;
        }
        const InspectedRecord record = decode(name, item);
        ++segment.records[record.kind];
        segment.malformed_records += !record.readable;
        state_builder.add(record);
        on_record(record);
      }
    }
    files.close(file);
    out.segments.push_back(std::move(segment));
  }
  state_builder.finish(out);
  return out;
}

}  // namespace umberhoist::state

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

RecordSeen decode(const std::string& segment, const SegmentReader::Item& item) {
  RecordSeen out;
  out.segment = segment;
  out.at = item.at;
  out.bytes = item.bytes;
  out.kind = item.kind;
  const auto take = [&](auto decoded) {
    if (!decoded) return;
    out.readable = true;
    out.order = decoded->first;
    out.content = std::move(decoded->second);
  };
  switch (item.kind) {
    case Kind::kAccepted:
      if (auto accepted = decode_accepted(item.payload)) {
        out.readable = true;
        out.order = accepted->order;
        out.content = std::move(*accepted);
      }
      break;
    case Kind::kAttempt:
      take(decode_attempt(item.payload));
      break;
    case Kind::kNeverRan:
      take(decode_never_ran(item.payload));
      break;
    case Kind::kOwed:
      take(decode_owed(item.payload));
      break;
    case Kind::kDone:
      if (const auto order = decode_done(item.payload)) {
        out.readable = true;
        out.order = *order;
      }
      break;
    case Kind::kFact:
      if (auto fact = decode_fact(item.payload)) {
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
  void add(const RecordSeen& record) {
    if (!record.readable) return;
    if (const auto* fact = std::get_if<Fact>(&record.content)) {
      facts[fact->name] = fact->value;
      return;
    }
    if (record.kind == Kind::kDone) {
      over.insert(record.order);
      return;
    }
    About& about = messages[record.order];
    if (const auto* accepted = std::get_if<Accepted>(&record.content)) {
      about.accepted = *accepted;
      for (const Attempt& t : accepted->attempts) about.add(t);
      if (accepted->owed) about.owed = Owed{accepted->owed->returned, accepted->owed->retry_after};
    } else if (const auto* attempt = std::get_if<Attempt>(&record.content)) {
      about.add(*attempt);
    } else if (const int* number = std::get_if<int>(&record.content)) {
      about.never.insert(*number);
    } else if (const auto* owed = std::get_if<Owed>(&record.content)) {
      about.owed = *owed;
    }
  }

  void close(FolderSeen& out) {
    std::map<std::string, uint64_t> newest;
    for (auto& [order, about] : messages) {
      if (over.contains(order)) continue;
      if (!about.accepted) {
        ++out.orphans;
        continue;
      }
      Accepted a = std::move(*about.accepted);
      a.attempts.clear();
      for (auto& [number, attempt] : about.attempts) {
        attempt.never_ran = attempt.never_ran || about.never.contains(number);
        a.attempts.push_back(attempt);
      }
      if (about.owed) a.owed = firspool::relay::Notice{a.message.id, about.owed->returned, about.owed->after};
      // An id that came again while the end of its first time cannot be read: the newer one counts, with what
      // the older may have done held against it.
      if (const auto older = newest.find(a.message.id); older != newest.end()) {
        for (const Attempt& t : out.live.at(older->second).attempts) {
          const auto same = [&](const Attempt& own) { return own.number == t.number; };
          if (std::none_of(a.attempts.begin(), a.attempts.end(), same)) a.attempts.push_back(t);
        }
        out.live.erase(older->second);
      }
      newest[a.message.id] = order;
      out.live[order] = std::move(a);
    }
    for (auto& [name, value] : facts) {
      if (!value.empty()) out.facts[name] = std::move(value);
    }
  }

 private:
  struct About {
    std::optional<Accepted> accepted;
    std::map<int, Attempt> attempts;
    std::set<int> never;
    std::optional<Owed> owed;
    void add(const Attempt& t) {
      const auto [it, fresh] = attempts.try_emplace(t.number, t);
      if (!fresh && t.sent != 0) it->second = {t.number, t.sent, t.zone, t.never_ran || it->second.never_ran};
    }
  };
  std::map<uint64_t, About> messages;
  std::set<uint64_t> over;
  std::map<std::string, std::string> facts;
};

}  // namespace

bool FolderSeen::whole() const {
  return !earlier && orphans == 0 && std::all_of(segments.begin(), segments.end(), [](const SegmentSeen& s) {
    return s.strange.empty() && s.unreadable == 0 &&
           std::all_of(s.lost.begin(), s.lost.end(), [](const BytesLost& b) { return b.tail; });
  });
}

FolderSeen inspect(Files& files, const std::function<void(const RecordSeen&)>& each) {
  FolderSeen out;
  std::vector<std::string> names = files.list();
  std::sort(names.begin(), names.end());
  std::string owner;
  Fold fold;
  for (const std::string& name : names) {
    const int file = files.open(name);
    if (file < 0) {
      out.others[name] = 0;
      continue;
    }
    const auto size = static_cast<size_t>(std::max<ssize_t>(0, files.size(file)));
    out.used += counted(size);
    if (!is_segment(name)) {
      out.others[name] = size;
      out.earlier = out.earlier || name == "journal";
      files.close(file);
      continue;
    }
    SegmentSeen seen;
    seen.name = name;
    seen.size = size;
    char head[kHeaderBytes];
    const ssize_t got = files.read(file, 0, head, sizeof head);
    if (got > 0) seen.header = decode_header({head, static_cast<size_t>(got)});
    if (!seen.header) {
      seen.strange = size == 0 ? "it is empty" : "its header cannot be read";
    } else if (seen.header->version < kOldestVersion || seen.header->version > kVersion) {
      seen.strange = "it is of version " + std::to_string(seen.header->version);
    } else if (seen.header->number != std::stoull(name.substr(kPrefix.size()))) {
      seen.strange = "it is segment " + std::to_string(seen.header->number) + " under another name";
    } else if (!owner.empty() && seen.header->owner != owner) {
      seen.strange = "it belongs to relay " + seen.header->owner + ", those before it to " + owner;
    }
    if (seen.strange.empty()) {
      owner = seen.header->owner;
      SegmentReader reader(files, file, seen.header->salt);
      for (auto item = reader.next(); item.what != SegmentReader::Item::What::kEnd; item = reader.next()) {
        if (item.what == SegmentReader::Item::What::kDamage) {
          seen.lost.push_back({item.at, item.bytes, item.tail});
          continue;
        }
        const RecordSeen record = decode(name, item);
        ++seen.records[record.kind];
        seen.unreadable += !record.readable;
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

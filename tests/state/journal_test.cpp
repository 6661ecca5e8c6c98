// The journal against a plain reference model and a folder in memory: killed at every byte, failing at every
// operation, flipped in every byte.
#include "state/journal.h"

#include <gtest/gtest.h>

#include <optional>
#include <random>

#include "memory_files.h"
#include "state/inspect.h"

namespace umberhoist::state {
namespace {

constexpr const char* kOwner = "n0";

Submission message(const std::string& id, size_t body = 10) {
  Submission out;
  out.id = id;
  out.message_class = "keyed";
  out.key = "key-" + id;
  out.destination = 7;
  if (id.size() % 2 == 0) out.tenant = "title-" + id;  // others name none
  out.body = std::string(body, id.empty() ? 'x' : id.back());
  return out;
}

JournalOptions options(size_t disk, uint64_t seed = 1) { return {disk, kOwner, 6, seed}; }

// ---- The reference: what was claimed ----

struct Known {
  Micros due = 0;
  std::string body, tenant;
  std::map<int, std::pair<Micros, int>> unsettled;
  int attempts = 0;
  std::optional<std::pair<bool, Micros>> owed;
  bool operator==(const Known&) const = default;
};

struct Model {
  std::vector<std::pair<std::string, Known>> messages;  // in order of acceptance
  std::map<std::string, std::string> facts;
  bool operator==(const Model&) const = default;

  Known* find(const std::string& id) {
    for (auto& [name, known] : messages) {
      if (name == id) return &known;
    }
    return nullptr;
  }
};

Model recovered(Files& files, size_t disk, RecoveryReport* findings = nullptr) {
  Journal journal(files, options(disk, 99));
  Model out;
  journal.recover([&](RecoveredMessage r) {
    Known known{r.due, r.message.body, r.message.tenant, r.maybe_executed, r.attempts, {}};
    if (r.pending_notice) known.owed = {r.pending_notice->returned, r.pending_notice->retry_after};
    out.messages.emplace_back(r.message.id, std::move(known));
  });
  out.facts = journal.metadata();
  if (findings != nullptr) *findings = journal.recovery_report();
  return out;
}

// The same, by the second reader.
Model inspected(Files& files) {
  const InspectedFolder seen = inspect_folder(files, [](const InspectedRecord&) {});
  Model out;
  for (const auto& [order, a] : seen.live_messages) {
    Known known{a.due, a.message.body, a.message.tenant, {}, 0, {}};
    for (const Attempt& t : a.attempts) {
      known.attempts = std::max(known.attempts, t.number + 1);
      if (!t.not_executed) known.unsettled[t.number] = {t.sent, t.zone};
    }
    if (a.pending_notice) known.owed = {a.pending_notice->returned, a.pending_notice->retry_after};
    out.messages.emplace_back(a.message.id, std::move(known));
  }
  out.facts = seen.metadata;
  return out;
}

std::string show(const Model& model) {
  std::string out;
  for (const auto& [id, known] : model.messages) {
    out += id + "(" + std::to_string(known.attempts) + "/" + std::to_string(known.unsettled.size()) +
           (known.owed ? " owed" : "") + ") ";
  }
  for (const auto& [name, value] : model.facts) out += name + "=" + value.substr(0, 8) + " ";
  return out;
}

// A random history; `before` and `after` the change number at which each of its steps begins.
struct Step {
  size_t first_change = 0;
  Model before, after;
};

struct History {
  MemoryFiles files;
  std::vector<Step> steps;
  size_t disk = 0;
};

void play(History& h, uint64_t seed, int steps) {
  std::mt19937_64 random(seed);
  const auto below = [&](uint64_t n) { return random() % n; };
  h.disk = 24'000 + below(4) * 8'000;
  auto journal = std::make_unique<Journal>(h.files, options(h.disk, seed));
  Model model;
  int made = 0;
  for (int i = 0; i < steps; ++i) {
    Step step{h.files.changes.size(), model, {}};
    const uint64_t what = below(100);
    Known* known = model.messages.empty() ? nullptr : &model.messages[below(model.messages.size())].second;
    std::string id;
    for (const auto& [name, k] : model.messages) {
      if (&k == known) id = name;
    }
    if (known == nullptr || what < 35) {
      // Now and then an id that was over comes again.
      const std::string fresh =
          below(5) == 0 ? "m" + std::to_string(below(1 + made)) : "m" + std::to_string(made++);
      const Submission handed = message(fresh, below(8) == 0 ? below(3000) : below(200));
      const bool there = model.find(fresh) != nullptr;
      if (journal->record_accepted(handed, 1000 + i)) {
        EXPECT_FALSE(there);
        model.messages.emplace_back(fresh, Known{1000 + i, handed.body, handed.tenant, {}, 0, {}});
      }
    } else if (what < 50 && known->attempts < 6 && !known->owed) {
      if (journal->record_attempt(id, known->attempts, 10 * i, i % 3)) {
        known->unsettled[known->attempts] = {10 * i, i % 3};
        ++known->attempts;
      }
    } else if (what < 58 && !known->unsettled.empty()) {
      const int number = known->unsettled.rbegin()->first;
      journal->record_not_executed(id, number);
      known->unsettled.erase(number);
    } else if (what < 64 && !known->owed) {
      if (journal->record_notice({id, i % 2 == 0, i})) known->owed = {i % 2 == 0, i};
    } else if (what < 84) {
      journal->record_done(id);
      std::erase_if(model.messages, [&](const auto& m) { return m.first == id; });
    } else if (what < 92) {
      const std::string name = "fact" + std::to_string(below(5));
      const std::string value =
          below(4) == 0 ? "" : std::string(1 + below(300), static_cast<char>('a' + below(26)));
      if (journal->put_metadata(name, value)) {
        if (value.empty()) {
          model.facts.erase(name);
        } else {
          model.facts[name] = value;
        }
      }
    } else if (what < 97) {
      journal->compact(200 + below(2000));
    } else {
      journal.reset();
      journal = std::make_unique<Journal>(h.files, options(h.disk, seed + i + 1));
    }
    step.after = model;
    h.steps.push_back(std::move(step));
  }
}

// Starts from what a kill left at each boundary between changes and, of each write, after the given prefixes.
// Returns how many such points there were.
template <class Prefixes>
size_t kill_everywhere(const History& h, Prefixes prefixes) {
  Contents now;
  size_t points = 0;
  size_t step = 0;
  for (size_t i = 0; i <= h.files.changes.size(); ++i) {
    while (step + 1 < h.steps.size() && h.steps[step + 1].first_change <= i) ++step;
    // Several steps may begin at one change; those without a change of their own say the same.
    size_t earliest = step;
    while (earliest > 0 && h.steps[earliest].first_change == i) --earliest;
    const auto check = [&](const Contents& contents, size_t prefix) {
      ++points;
      MemoryFiles files(contents);
      const Model found = recovered(files, h.disk);
      for (size_t s = earliest; s <= step; ++s) {
        if (found == h.steps[s].before || found == h.steps[s].after) return true;
      }
      ADD_FAILURE() << "change " << i << " prefix " << prefix << ": found " << show(found) << "\n  before "
                    << show(h.steps[step].before) << "\n  after " << show(h.steps[step].after);
      return false;
    };
    if (!check(now, 0)) return points;
    if (i == h.files.changes.size()) break;
    const auto& change = h.files.changes[i];
    if (change.type == MemoryFiles::Change::Type::kAppend) {
      for (const size_t prefix : prefixes(change.bytes.size())) {
        Contents cut = now;
        MemoryFiles::apply(cut, change, prefix);
        if (!check(cut, prefix)) return points;
      }
    }
    MemoryFiles::apply(now, change, change.bytes.size());
  }
  return points;
}

TEST(JournalModel, IsRightAfterAKillAtEveryByteOfShortHistories) {
  size_t points = 0;
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    History h;
    play(h, seed, 25);
    points += kill_everywhere(h, [](size_t size) {
      std::vector<size_t> all(size > 0 ? size - 1 : 0);
      for (size_t i = 0; i < all.size(); ++i) all[i] = i + 1;
      return all;
    });
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
    EXPECT_LE(h.files.max_used_bytes, h.disk);
  }
  RecordProperty("crash_points", static_cast<int>(points));
  EXPECT_GT(points, 10'000u);
}

// In shards, so that they share the cores. UMBERHOIST_HISTORIES: so many a shard, for a night.
class JournalHistories : public ::testing::TestWithParam<int> {};

TEST_P(JournalHistories, AreRightAfterAKillAtEachBoundaryAndWithinEachWrite) {
  const char* wanted = std::getenv("UMBERHOIST_HISTORIES");
  const int histories = wanted == nullptr ? 1250 : std::atoi(wanted);
  size_t points = 0, copied = 0;
  for (int i = 0; i < histories; ++i) {
    const uint64_t seed = static_cast<uint64_t>(GetParam()) * 1'000'000 + static_cast<uint64_t>(i) + 100;
    History h;
    // One in five is long enough for the disk to be gone round several times; it is looked at less closely.
    const bool long_one = i % 5 == 0;
    play(h, seed, long_one ? 400 : 30);
    EXPECT_LE(h.files.max_used_bytes, h.disk) << "seed " << seed;
    std::mt19937_64 random(seed);
    if (long_one) {
      MemoryFiles files(h.files.contents());
      const Model found = recovered(files, h.disk);
      EXPECT_EQ(found, h.steps.back().after) << "seed " << seed << ": " << show(found);
      const Model second = inspected(files);
      EXPECT_EQ(second, found) << "seed " << seed << ": the second reader sees " << show(second);
      copied += h.files.changes.size();
    } else {
      points += kill_everywhere(h, [&](size_t size) {
        return size < 2 ? std::vector<size_t>{} : std::vector<size_t>{1 + random() % (size - 1)};
      });
    }
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
  }
  RecordProperty("crash_points", static_cast<int>(points));
}

INSTANTIATE_TEST_SUITE_P(Shards, JournalHistories, ::testing::Range(0, 8));

// ---- Damage ----

TEST(Journal, EveryByteFlippedInTurnCostsOnlyWhatItTouches) {
  MemoryFiles files;
  {
    Journal journal(files, options(100'000));
    for (int i = 0; i < 12; ++i)
      ASSERT_TRUE(journal.record_accepted(message("m" + std::to_string(i), 40), i));
  }
  const Contents good = files.contents();
  ASSERT_EQ(good.size(), 1u);
  const auto& [name, bytes] = *good.begin();
  for (size_t at = 0; at < bytes.size(); ++at) {
    Contents bad = good;
    bad[name][at] = static_cast<char>(bad[name][at] ^ (1 << (at % 8)));
    MemoryFiles damaged(bad);
    RecoveryReport findings;
    const Model found = recovered(damaged, 100'000, &findings);
    const bool header = at < kHeaderBytes;
    ASSERT_EQ(found.messages.size(), header ? 12u : 11u) << at;
    if (!header) {
      ASSERT_GT(findings.damaged_bytes + findings.torn_bytes, 0u) << at;
    }
  }
}

TEST(Journal, AFlippedBitInALengthCostsOneRecord) {
  MemoryFiles files;
  {
    Journal journal(files, options(100'000));
    for (int i = 0; i < 100; ++i) ASSERT_TRUE(journal.record_accepted(message("m" + std::to_string(i)), i));
  }
  Contents bad = files.contents();
  bad.begin()->second[kHeaderBytes + 4 + 2] ^= 0x40;  // the first record says that it is 4 MB long
  MemoryFiles damaged(bad);
  RecoveryReport findings;
  EXPECT_EQ(recovered(damaged, 100'000, &findings).messages.size(), 99u);
  EXPECT_EQ(findings.damaged_ranges, 1u);
  ASSERT_EQ(findings.log_lines.size(), 1u);
  EXPECT_NE(findings.log_lines[0].find("bytes at 128 cannot be read"), std::string::npos)
      << findings.log_lines[0];
}

// A client may hand in a body that looks like a record. Where the record round it is damaged, it must not
// count.
TEST(Journal, ABodyThatLooksLikeARecordIsNone) {
  MemoryFiles files;
  AcceptedMessage forged;
  forged.sequence = 77;
  forged.message = message("forged");
  {
    Journal journal(files, options(100'000));
    Submission evil = message("evil");
    evil.body = frame_record(0, RecordKind::kAccepted, encode(forged)) +
                frame_record(1, RecordKind::kDone, encode_done(1));
    ASSERT_TRUE(journal.record_accepted(message("first"), 1));
    ASSERT_TRUE(journal.record_accepted(evil, 1));
    ASSERT_TRUE(journal.record_accepted(message("last"), 1));
  }
  Contents bad = files.contents();
  std::string& bytes = bad.begin()->second;
  bytes[bytes.find("key-evil")] ^= 1;
  MemoryFiles damaged(bad);
  const Model found = recovered(damaged, 100'000);
  ASSERT_EQ(found.messages.size(), 2u);
  EXPECT_EQ(found.messages[0].first, "first");
  EXPECT_EQ(found.messages[1].first, "last");
}

TEST(Journal, AMessageWhoseAcceptanceIsUnreadableButNotItsAttemptsIsReported) {
  MemoryFiles files;
  {
    Journal journal(files, options(100'000));
    ASSERT_TRUE(journal.record_accepted(message("a"), 1));
    ASSERT_TRUE(journal.record_attempt("a", 0, 5, 0));
  }
  Contents bad = files.contents();
  bad.begin()->second[kHeaderBytes + 30] ^= 1;
  MemoryFiles damaged(bad);
  RecoveryReport findings;
  EXPECT_TRUE(recovered(damaged, 100'000, &findings).messages.empty());
  EXPECT_EQ(findings.orphans, 1u);
}

TEST(Journal, ASegmentTruncatedToZeroSwappedDuplicatedOrAnothersIsSetAside) {
  MemoryFiles files;
  {
    Journal journal(files, options(400'000));
    for (int i = 0; i < 60; ++i)
      ASSERT_TRUE(journal.record_accepted(message("m" + std::to_string(i), 1000), i));
  }
  const Contents good = files.contents();
  ASSERT_GE(good.size(), 3u);
  const std::string first = good.begin()->first, second = std::next(good.begin())->first;
  const size_t in_first = [&] {
    Contents rest = good;
    rest.erase(first);
    MemoryFiles without(rest);
    return 60 - recovered(without, 400'000).messages.size();
  }();
  struct Case {
    const char* what;
    Contents contents;
    size_t left;
    const char* line;
  };
  Contents empty = good, twice = good, swapped = good, others = good;
  empty[first].clear();
  twice["journal-0000000099"] = good.at(first);
  std::swap(swapped[first], swapped[second]);
  {
    MemoryFiles strange;
    JournalOptions other = options(400'000);
    other.owner = "n7";
    Journal journal(strange, other);
    ASSERT_TRUE(journal.record_accepted(message("alien"), 1));
    others["journal-0000000098"] = strange.contents().begin()->second;
    SegmentHeader header = *decode_header(others["journal-0000000098"]);
    header.segment_number = 98;
    others["journal-0000000098"].replace(0, kHeaderBytes, encode(header));
  }
  for (const Case& c : {Case{"truncated", empty, 60 - in_first, "it is empty"},
                        Case{"duplicated", twice, 60, "it is segment 1 under another name"},
                        Case{"swapped", swapped, 60 - 2 * in_first, "under another name"},
                        Case{"another's", others, 60, "it belongs to relay n7"}}) {
    MemoryFiles folder(c.contents);
    RecoveryReport findings;
    EXPECT_EQ(recovered(folder, 400'000, &findings).messages.size(), c.left) << c.what;
    ASSERT_FALSE(findings.log_lines.empty()) << c.what;
    EXPECT_NE(findings.log_lines[0].find(c.line), std::string::npos) << findings.log_lines[0];
    // It is there still, under another name, and the next start finds nothing strange.
    EXPECT_EQ(folder.contents().size(), c.contents.size());
    RecoveryReport again;
    recovered(folder, 400'000, &again);
    EXPECT_TRUE(again.log_lines.empty()) << c.what;
  }
}

TEST(Journal, ANewerVersionIsRefusedAndLeftUntouched) {
  SegmentHeader header;
  header.version = 4;
  header.segment_number = 1;
  header.owner = kOwner;
  Contents contents{{"journal-0000000001", encode(header) + "what nobody can read"}, {"journal", "old"}};
  MemoryFiles files(contents);
  try {
    Journal journal(files, options(100'000));
    FAIL();
  } catch (const std::runtime_error& error) {
    EXPECT_STREQ(error.what(), "journal-0000000001 is of version 4; expected 2 to 3. Nothing was changed");
  }
  EXPECT_EQ(files.contents(), contents);
  EXPECT_TRUE(files.changes.empty());
}

// A folder with all that a start may have to change: damage to be kept, a segment to be set aside, one that
// was only begun, and a torn tail.
Contents messy_folder(size_t disk) {
  MemoryFiles files;
  {
    Journal journal(files, options(disk));
    for (int i = 0; i < 30; ++i)
      EXPECT_TRUE(journal.record_accepted(message("m" + std::to_string(i), 700), i));
    for (int i = 0; i < 10; ++i) journal.record_done("m" + std::to_string(3 * i));
  }
  Contents out = files.contents();
  EXPECT_GE(out.size(), 4u);
  out.begin()->second[kHeaderBytes + 100] ^= 1;
  std::next(out.begin())->second.clear();
  out.rbegin()->second.append("\xd5\x4a torn");
  SegmentHeader begun;
  begun.segment_number = out.size() + 1;
  begun.owner = kOwner;
  char name[40];
  std::snprintf(name, sizeof name, "journal-%010zu", out.size() + 1);
  out[name] = encode(begun).substr(0, 50);
  return out;
}

TEST(Journal, AKillDuringRecoveryTwiceInARowChangesNothingOfWhatIsFound) {
  constexpr size_t kDisk = 200'000;
  const Contents folder = messy_folder(kDisk);
  MemoryFiles undisturbed(folder);
  RecoveryReport findings;
  const Model expected = recovered(undisturbed, kDisk, &findings);
  ASSERT_EQ(findings.damaged_ranges, 1u);
  ASSERT_GE(undisturbed.changes.size(), 4u) << "a start that changes nothing tests nothing";
  // All folders that a kill may leave: after each change, and within each write.
  const auto kills = [](const Contents& from, const MemoryFiles& played) {
    std::vector<Contents> out{from};
    Contents now = from;
    for (const auto& change : played.changes) {
      if (change.type == MemoryFiles::Change::Type::kAppend) {
        for (size_t prefix = 1; prefix < change.bytes.size(); prefix += 1 + change.bytes.size() / 20) {
          out.push_back(now);
          MemoryFiles::apply(out.back(), change, prefix);
        }
      }
      MemoryFiles::apply(now, change, change.bytes.size());
      out.push_back(now);
    }
    return out;
  };
  size_t points = 0;
  for (const Contents& once : kills(folder, undisturbed)) {
    MemoryFiles second(once);
    ASSERT_EQ(recovered(second, kDisk), expected);
    for (const Contents& twice : kills(once, second)) {
      MemoryFiles third(twice);
      const Model found = recovered(third, kDisk);
      ASSERT_EQ(found, expected) << show(found) << "\n expected " << show(expected);
      EXPECT_LE(third.max_used_bytes, kDisk);
      ++points;
    }
  }
  EXPECT_GT(points, 80u);
}

// Both segments stand there: each message comes back once, and an end in the newer one wins. The same if the
// old segment comes back later, until the next one goes.
TEST(Journal, AKillBetweenACopyAndTheRemovalOfItsSegmentBringsEachMessageBackOnce) {
  constexpr size_t kDisk = 40'000;
  MemoryFiles files;
  std::vector<std::pair<size_t, std::set<std::string>>>
      claimed;  // changes made so far, and what was alive then
  std::set<std::string> alive;
  Journal journal(files, options(kDisk));
  const auto note = [&] { claimed.emplace_back(files.changes.size(), alive); };
  std::mt19937_64 random(7);
  note();
  for (int i = 0; i < 600; ++i) {
    if (alive.size() >= 20) {
      const auto some = std::next(alive.begin(), static_cast<std::ptrdiff_t>(random() % alive.size()));
      journal.record_done(*some);
      alive.erase(some);
      note();
    }
    const std::string id = "m" + std::to_string(i);
    if (journal.record_accepted(message(id, 400), i)) alive.insert(id);
    note();
    journal.compact(2000);
    note();
  }
  ASSERT_GT(journal.copied_bytes(), 10'000u);
  const auto found = [&](const Contents& contents) {
    MemoryFiles left(contents);
    std::set<std::string> out;
    for (const auto& [id, known] : recovered(left, kDisk).messages) EXPECT_TRUE(out.insert(id).second) << id;
    return out;
  };
  Contents now;
  std::string old_name, old_bytes;
  size_t at = 0, removals = 0, risen = 0;
  for (size_t c = 0; c < claimed.size(); ++c) {
    for (; at < claimed[c].first; ++at) {
      const auto& change = files.changes[at];
      if (change.type == MemoryFiles::Change::Type::kRemove) {
        const std::set<std::string> seen = found(now);
        ASSERT_TRUE(seen == claimed[c].second || seen == claimed[c - 1].second) << "change " << at;
        old_name = change.name;
        old_bytes = now.at(change.name);
        ++removals;
      }
      MemoryFiles::apply(now, change, change.bytes.size());
    }
    if (old_name.empty()) continue;
    Contents both = now;
    both[old_name] = old_bytes;
    ASSERT_EQ(found(both), claimed[c].second) << "after " << at << " changes, with " << old_name;
    ++risen;
  }
  EXPECT_GT(removals, 20u);
  EXPECT_GT(risen, 500u);
}

// ---- Failing disks ----

// The n-th change fails, for every n, in each way; then the disk is well again.
TEST(Journal, NothingIsClaimedThatIsNotOnDiskWhicheverOperationFails) {
  for (const bool partly : {false, true}) {
    for (const bool uncut : {false, true}) {
      for (int64_t at = 0; at < 220; ++at) {
        MemoryFiles files;
        files.fail_from = at;
        files.fail_until = at + 1 + at % 3;
        files.fail_after_partial_write = partly;
        files.fail_truncate = uncut;
        constexpr size_t kDisk = 30'000;
        Model model;
        {
          Journal journal(files, options(kDisk));
          for (int i = 0; i < 150; ++i) {
            const std::string id = "m" + std::to_string(i);
            if (!journal.record_accepted(message(id, 300), i)) continue;
            model.messages.emplace_back(id,
                                        Known{i, message(id, 300).body, message(id, 300).tenant, {}, 0, {}});
            if (journal.record_attempt(id, 0, i, 0)) {
              model.messages.back().second.unsettled[0] = {i, 0};
              model.messages.back().second.attempts = 1;
            }
            if (i % 16 == 3) continue;
            journal.record_done(id);
            model.messages.pop_back();
          }
          files.fail_from = INT64_MAX;
          journal.compact(1);  // what could not be written is written now
        }
        EXPECT_LE(files.max_used_bytes, kDisk);
        MemoryFiles left(files.contents());
        RecoveryReport findings;
        const Model found = recovered(left, kDisk, &findings);
        if (!uncut) {
          EXPECT_EQ(findings.damaged_ranges + findings.torn_bytes, 0u) << "a failed write was not cut off";
        }
        // An attempt that could not be recorded, nor cut off, may be there: that errs to the safe side.
        Model plain = model, seen = found;
        if (uncut) {
          for (Model* m : {&plain, &seen}) {
            for (auto& [id, known] : m->messages) known.unsettled.clear(), known.attempts = 0;
          }
        }
        ASSERT_EQ(seen, plain) << "operation " << at << " partly " << partly << " uncut " << uncut
                               << "\n found " << show(found) << "\n claimed " << show(model);
      }
    }
  }
}

// All of a record is on the disk and the write says that it failed, and it cannot be cut off: the client was
// told to come again, so a start must not resume it beside that.
TEST(Journal, ARefusedMessageThatStandsOnDiskAllTheSameIsEnded) {
  for (int64_t at = 0; at < 40; ++at) {
    MemoryFiles files;
    files.fail_from = at;
    files.fail_until = at + 1;
    files.fail_after_full_write = files.fail_truncate = true;
    std::set<std::string> taken, refused;
    {
      Journal journal(files, options(30'000));
      for (int i = 0; i < 30; ++i) {
        const std::string id = "m" + std::to_string(i);
        (journal.record_accepted(message(id, 100), i) ? taken : refused).insert(id);
      }
      journal.compact(1);
    }
    MemoryFiles left(files.contents());
    const Model found = recovered(left, 30'000);
    EXPECT_EQ(found.messages.size(), taken.size()) << at << ": " << show(found);
    for (const auto& [id, known] : found.messages) EXPECT_FALSE(refused.contains(id)) << at << " " << id;
  }
}

// What is copied forward is read by its place: after a write that failed half-way the places must still be
// right, or the oldest segments could never go.
TEST(Journal, AfterAFailedWriteTheDiskIsStillGoneRound) {
  for (int64_t at = 1; at < 30; ++at) {
    MemoryFiles files;
    files.fail_from = at;
    files.fail_until = at + 1;
    files.fail_after_partial_write = true;
    Journal journal(files, options(40'000));
    for (int i = 0; i < 10; ++i) journal.record_accepted(message("kept" + std::to_string(i), 100), i);
    int refused = 0;  // the one that met the failure
    for (int i = 0; i < 500; ++i) {
      const std::string id = "m" + std::to_string(i);
      refused += !journal.record_accepted(message(id, 1000), i);
      journal.record_done(id);
    }
    EXPECT_LE(refused, 1) << "failed at " << at;
  }
}

TEST(Journal, ADiskThatRunsFullRefusesRecordsEveryEndAndTakesUpAgain) {
  constexpr size_t kDisk = 60'000;
  MemoryFiles files;
  Journal journal(files, options(kDisk));
  for (int round = 0; round < 5; ++round) {
    std::vector<std::string> taken;
    for (int i = 0; i < 1000; ++i) {
      const std::string id = std::to_string(round) + "-" + std::to_string(i);
      if (!journal.record_accepted(message(id, 500), i)) break;
      taken.push_back(id);
    }
    EXPECT_LT(taken.size(), 1000u);
    EXPECT_GT(taken.size(), 50u);
    // Whatever was accepted can have all its attempts, its notice and its end.
    for (int number = 0; number < 6; ++number) {
      for (const std::string& id : taken) {
        ASSERT_TRUE(journal.record_attempt(id, number, 1, 0));
        if (number % 2 == 0) journal.record_not_executed(id, number);
      }
    }
    for (const std::string& id : taken) ASSERT_TRUE(journal.record_notice({id, true, 500}));
    for (const std::string& id : taken) journal.record_done(id);
    EXPECT_EQ(journal.live_messages(), 0u);
  }
  EXPECT_LE(files.max_used_bytes, kDisk);
}

// Whatever else is on the disk may take its room at any moment of a compaction: from each change on nothing
// can be added, then there is room again.
TEST(Journal, ADiskThatFillsDuringCompactionLosesNothingAndTakesUpAgain) {
  constexpr size_t kDisk = 60'000;
  size_t compactions = 0;
  for (int64_t full_at = 0; full_at < 120; ++full_at) {
    MemoryFiles files;
    Journal journal(files, options(kDisk));
    Model model;
    const auto add = [&](int i) {
      const std::string id = "m" + std::to_string(i);
      if (!journal.record_accepted(message(id, 400), i)) return false;
      model.messages.emplace_back(id, Known{i, message(id, 400).body, message(id, 400).tenant, {}, 0, {}});
      return true;
    };
    const auto end = [&](size_t at) {
      journal.record_done(model.messages[at].first);
      model.messages.erase(model.messages.begin() + static_cast<std::ptrdiff_t>(at));
    };
    int made = 0;
    while (add(made)) ++made;
    // One that ends, one that comes, until what is alive is being copied round: in slices between turns, or
    // all at once for want of room.
    const bool slices = full_at % 2 == 0;
    const auto turn = [&](int number) {
      if (!model.messages.empty()) end(static_cast<size_t>(number * 7) % model.messages.size());
      const bool taken = add(made++);
      if (slices) journal.compact(1000);
      return taken;
    };
    for (int i = 0; journal.copied_bytes() == 0; ++i) ASSERT_TRUE(turn(i));
    const size_t copied = journal.copied_bytes(), before = files.changes.size();
    files.disk_full_from = before + static_cast<size_t>(full_at);
    int refused = 0;
    for (int i = 0; i < 100; ++i) {
      refused += !turn(i);
      if (i % 10 == 9) {  // what a kill would leave just now: all that was claimed
        MemoryFiles left(files.contents());
        Model found = recovered(left, kDisk);
        // An end that found no room is written later: its message is settled again after a kill.
        std::erase_if(found.messages, [&](const auto& m) { return model.find(m.first) == nullptr; });
        ASSERT_EQ(found.messages, model.messages) << "full at change " << full_at;
      }
    }
    EXPECT_GT(refused, 0);
    files.disk_full_from = SIZE_MAX;
    journal.compact(1);
    int taken = 0;
    for (int i = 0; i < 200; ++i) {
      taken += add(made++);
      if (model.messages.size() > 40) end(0);
    }
    EXPECT_GT(taken, 190) << "full at change " << full_at;
    EXPECT_LE(files.max_used_bytes, kDisk);
    compactions += journal.copied_bytes() > copied;
    MemoryFiles left(files.contents());
    const Model found = recovered(left, kDisk);
    ASSERT_EQ(found, model) << show(found) << "\n claimed " << show(model);
  }
  EXPECT_GT(compactions, 60u);
}

// Bodies of any size, ends in any order, the disk full all the while: what was accepted has room for all that
// may follow, and the limit holds at each instant.
TEST(Journal, WhateverWasAcceptedHasRoomForAllThatFollowsWhateverTheSizes) {
  size_t taken = 0, refused = 0;
  for (uint64_t seed = 0; seed < 60; ++seed) {
    std::mt19937_64 random(seed);
    const size_t disk = 24'000 + 8'000 * (seed % 5);
    const size_t longest = seed % 3 == 0 ? 20 : 4000;
    MemoryFiles files;
    Journal journal(files, options(disk, seed + 1));
    std::map<std::string, int> alive;  // and how many attempts each had
    for (int i = 0; i < 600; ++i) {
      const std::string id = "m" + std::to_string(i);
      if (journal.record_accepted(message(id, random() % longest), i)) {
        alive[id] = 0;
        ++taken;
        continue;
      }
      ++refused;
      for (int k = 0; k < 4 && !alive.empty(); ++k) {
        const auto some = std::next(alive.begin(), static_cast<std::ptrdiff_t>(random() % alive.size()));
        const auto& [name, attempts] = *some;
        if (attempts < 6 && random() % 3 != 0) {
          ASSERT_TRUE(journal.record_attempt(name, attempts, 1, 0)) << "seed " << seed << " step " << i;
          if (random() % 2 == 0) journal.record_not_executed(name, attempts);
          ++some->second;
          continue;
        }
        if (random() % 2 == 0) {
          ASSERT_TRUE(journal.record_notice({name, true, 5})) << "seed " << seed << " step " << i;
        }
        journal.record_done(name);
        ASSERT_TRUE(journal.has_no_backlog()) << "seed " << seed << " step " << i;
        alive.erase(some);
      }
      if (random() % 2 == 0) journal.compact(random() % 3000);
    }
    for (int i = 600; journal.record_accepted(message("m" + std::to_string(i), random() % longest), i); ++i)
      alive["m" + std::to_string(i)] = 0;
    for (auto& [name, attempts] : alive) {
      for (; attempts < 6; ++attempts)
        ASSERT_TRUE(journal.record_attempt(name, attempts, 1, 0)) << "seed " << seed;
      ASSERT_TRUE(journal.record_notice({name, true, 5})) << "seed " << seed;
    }
    for (const auto& [name, attempts] : alive) journal.record_done(name);
    ASSERT_TRUE(journal.has_no_backlog()) << "seed " << seed;
    ASSERT_LE(files.max_used_bytes, disk) << "seed " << seed;
  }
  EXPECT_GT(taken, 2000u);
  EXPECT_GT(refused, 2000u);
}

TEST(Journal, ThreeQuartersOfTheDiskAreUsable) {
  constexpr size_t kDisk = 3'000'000;
  MemoryFiles files;
  Journal journal(files, options(kDisk));
  size_t bytes = 0;
  for (int i = 0;; ++i) {
    const Submission m = message("m" + std::to_string(i), 2000);
    if (!journal.record_accepted(m, i)) break;
    bytes += m.body.size();
  }
  EXPECT_GT(bytes, kDisk * 3 / 4);
}

TEST(Journal, FactsDoNotCrowdMessagesOut) {
  constexpr size_t kDisk = 100'000;
  const auto taken_beside = [&](int facts) {
    MemoryFiles files;
    Journal journal(files, options(kDisk));
    int kept = 0, taken = 0;
    for (int i = 0; i < facts; ++i) {
      kept += journal.put_metadata("gone s-" + std::to_string(i), std::string(30, 'x'));
    }
    EXPECT_TRUE(facts == 0 || kept > 300);
    while (taken < 1000 && journal.record_accepted(message("m" + std::to_string(taken), 500), 1)) ++taken;
    return taken;
  };
  const int alone = taken_beside(0);
  EXPECT_GT(alone, 80);
  EXPECT_GT(taken_beside(5000), alone * 6 / 10);
}

TEST(Journal, FactsTakeNoMoreThanTheirPart) {
  constexpr size_t kDisk = 100'000;
  MemoryFiles files;
  Journal journal(files, options(kDisk));
  size_t bytes = 0;
  for (int i = 0; i < 2000; ++i) {
    if (journal.put_metadata("fact " + std::to_string(i), std::string(100, 'x'))) bytes += 100;
  }
  EXPECT_GT(bytes, kDisk / 8);
  EXPECT_LE(bytes, kDisk / 4);
  EXPECT_TRUE(journal.put_metadata("fact 1", "short"));
}

TEST(Journal, DamagedBytesAreKeptForAPersonWhereThereIsRoom) {
  MemoryFiles files;
  {
    Journal journal(files, options(100'000));
    for (int i = 0; i < 20; ++i)
      ASSERT_TRUE(journal.record_accepted(message("m" + std::to_string(i), 400), i));
  }
  Contents bad = files.contents();
  const std::string name = bad.begin()->first;
  bad.begin()->second[kHeaderBytes + 100] ^= 1;
  const std::string aside = "aside-" + name + "-128";
  MemoryFiles damaged(bad);
  for (int start = 0; start < 2; ++start) {  // the second one finds it there
    RecoveryReport findings;
    EXPECT_EQ(recovered(damaged, 100'000, &findings).messages.size(), 19u);
    ASSERT_EQ(findings.log_lines.size(), 1u);
    EXPECT_TRUE(findings.log_lines[0].ends_with("they are kept as " + aside)) << findings.log_lines[0];
    EXPECT_EQ(damaged.contents().at(aside), bad.at(name).substr(128, findings.damaged_bytes));
    EXPECT_EQ(damaged.contents().size(), bad.size() + 1);
  }
  // A disk that has no room to spare is not filled with it.
  MemoryFiles small(bad);
  EXPECT_EQ(recovered(small, 12'000).messages.size(), 19u);
  EXPECT_EQ(small.contents().size(), bad.size());
}

TEST(Journal, TheSameIdAcceptedEndedAndAcceptedAgain) {
  MemoryFiles files;
  {
    Journal journal(files, options(100'000));
    ASSERT_TRUE(journal.record_accepted(message("a"), 1));
    ASSERT_TRUE(journal.record_attempt("a", 0, 5, 0));
    journal.record_done("a");
    ASSERT_TRUE(journal.record_accepted(message("a"), 2));
    EXPECT_FALSE(journal.record_accepted(message("a"), 3)) << "it is alive";
  }
  const Model found = recovered(files, 100'000);
  ASSERT_EQ(found.messages.size(), 1u);
  EXPECT_EQ(found.messages[0].second.due, 2);
  EXPECT_TRUE(found.messages[0].second.unsettled.empty());
}

// ---- Earlier versions ----

// Version 2 knew no tenants; else its records are the same, so its segments are read as they are.
TEST(Journal, SegmentsOfVersionTwoAreReadAndCopiedForward) {
  SegmentHeader header;
  header.version = 2;
  header.segment_number = 1;
  header.salt = 5;
  header.owner = kOwner;
  AcceptedMessage a;
  a.sequence = 1;
  a.due = 77;
  a.message = message("a");
  a.message.tenant.clear();
  MemoryFiles files(
      Contents{{"journal-0000000001", encode(header) + frame_record(5, RecordKind::kAccepted, encode(a))}});
  for (int start = 0; start < 2; ++start) {
    const Model found = recovered(files, 100'000);
    ASSERT_EQ(found.messages.size(), 1u);
    EXPECT_EQ(found.messages[0].second.due, 77);
    EXPECT_EQ(found.messages[0].second.body, a.message.body);
    EXPECT_EQ(found.messages[0].second.tenant, "");
    Journal journal(files, options(100'000));
    for (int i = 0; i < 200; ++i) {  // until the old segment has been copied forward
      const std::string id = "x" + std::to_string(start * 1000 + i);
      ASSERT_TRUE(journal.record_accepted(message(id, 2000), 1));
      journal.record_done(id);
      journal.compact(1 << 20);
    }
  }
  EXPECT_FALSE(files.contents().contains("journal-0000000001"));
}

std::string legacy_record(const std::string& payload) {
  std::string out;
  // CRC-32 of the payload, bit by bit: the reader must not be judged by its own code.
  uint32_t crc = 0xFFFFFFFF;
  for (const char c : payload) {
    crc ^= static_cast<uint8_t>(c);
    for (int i = 0; i < 8; ++i) crc = (crc >> 1) ^ ((crc & 1) ? 0xEDB88320u : 0);
  }
  crc = ~crc;
  const auto size = static_cast<uint32_t>(payload.size());
  out.append(reinterpret_cast<const char*>(&size), 4);
  out.append(reinterpret_cast<const char*>(&crc), 4);
  return out + payload;
}

std::string number8(int64_t value) { return {reinterpret_cast<const char*>(&value), 8}; }
std::string text8(const std::string& value) { return number8(static_cast<int64_t>(value.size())) + value; }
std::string legacy_accepted(const std::string& id) {
  return legacy_record("A" + text8(id) + text8("keyed") + text8("k") + number8(7) + number8(1234) +
                       text8("body " + id));
}

TEST(Journal, AnOldFolderIsCarriedOverAlsoIfKilledAtAnyByteTwiceInARow) {
  const std::string a = legacy_accepted("a"), b = legacy_accepted("b");
  const std::string whole =
      a + b + legacy_accepted("c") + legacy_record("T" + text8("a") + number8(0) + number8(55) + number8(1)) +
      legacy_record("O" + text8("b") + number8(1) + number8(500)) + legacy_record("D" + text8("c")) +
      legacy_record("F" + text8("revision") + text8("41")) + "torn";
  Contents now{{"journal", whole}};
  MemoryFiles files(now);
  const Model expected = recovered(files, 100'000);
  ASSERT_EQ(expected.messages.size(), 2u);
  EXPECT_EQ(expected.messages[0].second.unsettled.at(0), (std::pair<Micros, int>{55, 1}));
  EXPECT_EQ(expected.messages[1].second.owed, (std::pair<bool, Micros>{true, 500}));
  EXPECT_EQ(expected.facts.at("revision"), "41");
  EXPECT_FALSE(files.contents().contains("journal"));
  for (const auto& change : files.changes) {
    for (size_t prefix = 0; prefix <= change.bytes.size(); ++prefix) {
      if (change.type != MemoryFiles::Change::Type::kAppend && prefix > 0) break;
      Contents cut = now;
      if (change.type == MemoryFiles::Change::Type::kAppend) MemoryFiles::apply(cut, change, prefix);
      MemoryFiles once(cut);
      ASSERT_EQ(recovered(once, 100'000), expected);
      Contents again = cut;  // killed in that second carrying over too
      for (const auto& second : once.changes) {
        MemoryFiles::apply(again, second, second.bytes.size() / 2);
        if (second.type == MemoryFiles::Change::Type::kAppend) break;
      }
      MemoryFiles twice(again);
      ASSERT_EQ(recovered(twice, 100'000), expected);
    }
    MemoryFiles::apply(now, change, change.bytes.size());
  }
  // One flipped byte in its first record costs that record.
  std::string bad = whole;
  bad[20] ^= 1;
  MemoryFiles damaged(Contents{{"journal", bad}});
  EXPECT_EQ(recovered(damaged, 100'000).messages.size(), 1u);
}

// Five messages a second for 45 minutes, a host replaced every 5 s, a restart every 5 minutes: what stands in
// the folder follows what is held, not what was.
TEST(Journal, FortyFiveMinutesOfMessagesAndHostsLeaveTheFolderFlat) {
  constexpr size_t kDisk = 300'000;
  MemoryFiles files;
  std::optional<Journal> journal;
  size_t early = 0;
  size_t late = 0;
  for (int second = 0; second < 45 * 60; ++second) {
    if (second % 300 == 0) {
      journal.reset();
      journal.emplace(files, options(kDisk, static_cast<uint64_t>(second) + 1));
      journal->recover([](const RecoveredMessage&) {});
    }
    if (second % 5 == 0) {
      ASSERT_TRUE(journal->put_metadata("host " + std::to_string(second), std::string(150, 'h')));
      ASSERT_TRUE(journal->put_metadata("host " + std::to_string(second - 60), ""));
    }
    for (int i = 0; i < 5; ++i) {
      const std::string id = std::to_string(second) + "-" + std::to_string(i);
      ASSERT_TRUE(journal->record_accepted(message(id, 200), 1000 + second));
      ASSERT_TRUE(journal->record_attempt(id, 0, second, 0));
      if (second >= 10) journal->record_done(std::to_string(second - 10) + "-" + std::to_string(i));
      journal->compact(32 * 1024);
    }
    ASSERT_LE(journal->live_messages(), 60u);
    ASSERT_LE(journal->used_bytes(), kDisk);
    if (second >= 300 && second < 900) early = std::max(early, journal->used_bytes());
    if (second >= 2100) late = std::max(late, journal->used_bytes());
  }
  EXPECT_LT(late, early + early / 20);
  EXPECT_LE(journal->metadata().size(), 13u);
}

}  // namespace
}  // namespace umberhoist::state

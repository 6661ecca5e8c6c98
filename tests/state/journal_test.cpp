// Compares the journal with a reference model on an in-memory folder: after a kill at every byte, a failure
// of every operation, and a flipped bit in every byte.
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
  if (id.size() % 2 == 0) out.tenant = "title-" + id;  // messages with ids of odd length have none
  out.body = std::string(body, id.empty() ? 'x' : id.back());
  return out;
}

JournalOptions options(size_t disk, uint64_t seed = 1) { return {disk, kOwner, 6, seed}; }

// ---- The reference: what was claimed ----

struct ModelMessage {
  Micros due = 0;
  std::string body, tenant;
  std::map<int, std::pair<Micros, int>> maybe_executed;
  int attempts = 0;
  std::optional<std::pair<bool, Micros>> notice;
  bool operator==(const ModelMessage&) const = default;
};

struct Model {
  std::vector<std::pair<std::string, ModelMessage>> messages;  // in order of acceptance
  std::map<std::string, std::string> metadata;
  bool operator==(const Model&) const = default;

  ModelMessage* find(const std::string& id) {
    for (auto& [name, message_state] : messages) {
      if (name == id) return &message_state;
    }
    return nullptr;
  }
};

Model recover_model(Files& files, size_t disk, RecoveryReport* report = nullptr) {
  Journal journal(files, options(disk, 99));
  Model out;
  journal.recover([&](RecoveredMessage r) {
    ModelMessage message_state{r.due, r.message.body, r.message.tenant, r.maybe_executed, r.attempts, {}};
    if (r.pending_notice) message_state.notice = {r.pending_notice->returned, r.pending_notice->retry_after};
    out.messages.emplace_back(r.message.id, std::move(message_state));
  });
  out.metadata = journal.metadata();
  if (report != nullptr) *report = journal.recovery_report();
  return out;
}

// The same state as read by inspect_folder().
Model inspect_model(Files& files) {
  const InspectedFolder seen = inspect_folder(files, [](const InspectedRecord&) {});
  Model out;
  for (const auto& [order, a] : seen.live_messages) {
    ModelMessage message_state{a.due, a.message.body, a.message.tenant, {}, 0, {}};
    for (const Attempt& t : a.attempts) {
      message_state.attempts = std::max(message_state.attempts, t.number + 1);
      if (!t.not_executed) message_state.maybe_executed[t.number] = {t.sent, t.zone};
    }
    if (a.pending_notice) message_state.notice = {a.pending_notice->returned, a.pending_notice->retry_after};
    out.messages.emplace_back(a.message.id, std::move(message_state));
  }
  out.metadata = seen.metadata;
  return out;
}

std::string describe(const Model& model) {
  std::string out;
  for (const auto& [id, message_state] : model.messages) {
    out += id + "(" + std::to_string(message_state.attempts) + "/" +
           std::to_string(message_state.maybe_executed.size()) + (message_state.notice ? " notice" : "") +
           ") ";
  }
  for (const auto& [name, value] : model.metadata) out += name + "=" + value.substr(0, 8) + " ";
  return out;
}

// A step of a random history: the number of folder changes made before it, and the expected state before and
// after it.
struct Step {
  size_t first_change = 0;
  Model before, after;
};

struct History {
  MemoryFiles files;
  std::vector<Step> steps;
  size_t disk = 0;
};

void run_random_steps(History& history, uint64_t seed, int steps) {
  std::mt19937_64 random(seed);
  const auto below = [&](uint64_t n) { return random() % n; };
  history.disk = 24'000 + below(4) * 8'000;
  auto journal = std::make_unique<Journal>(history.files, options(history.disk, seed));
  Model model;
  int next_id = 0;
  for (int i = 0; i < steps; ++i) {
    Step step{history.files.changes.size(), model, {}};
    const uint64_t choice = below(100);
    ModelMessage* message_state =
        model.messages.empty() ? nullptr : &model.messages[below(model.messages.size())].second;
    std::string id;
    for (const auto& [name, k] : model.messages) {
      if (&k == message_state) id = name;
    }
    if (message_state == nullptr || choice < 35) {
      // Sometimes the id of a finished message is accepted again.
      const std::string fresh =
          below(5) == 0 ? "m" + std::to_string(below(1 + next_id)) : "m" + std::to_string(next_id++);
      const Submission submission = message(fresh, below(8) == 0 ? below(3000) : below(200));
      const bool already_live = model.find(fresh) != nullptr;
      if (journal->record_accepted(submission, 1000 + i)) {
        EXPECT_FALSE(already_live);
        model.messages.emplace_back(fresh,
                                    ModelMessage{1000 + i, submission.body, submission.tenant, {}, 0, {}});
      }
    } else if (choice < 50 && message_state->attempts < 6 && !message_state->notice) {
      if (journal->record_attempt(id, message_state->attempts, 10 * i, i % 3)) {
        message_state->maybe_executed[message_state->attempts] = {10 * i, i % 3};
        ++message_state->attempts;
      }
    } else if (choice < 58 && !message_state->maybe_executed.empty()) {
      const int number = message_state->maybe_executed.rbegin()->first;
      journal->record_not_executed(id, number);
      message_state->maybe_executed.erase(number);
    } else if (choice < 64 && !message_state->notice) {
      if (journal->record_notice({id, i % 2 == 0, i})) message_state->notice = {i % 2 == 0, i};
    } else if (choice < 84) {
      journal->record_done(id);
      std::erase_if(model.messages, [&](const auto& m) { return m.first == id; });
    } else if (choice < 92) {
      const std::string name = "fact" + std::to_string(below(5));
      const std::string value =
          below(4) == 0 ? "" : std::string(1 + below(300), static_cast<char>('a' + below(26)));
      if (journal->put_metadata(name, value)) {
        if (value.empty()) {
          model.metadata.erase(name);
        } else {
          model.metadata[name] = value;
        }
      }
    } else if (choice < 97) {
      journal->compact(200 + below(2000));
    } else {
      journal.reset();
      journal = std::make_unique<Journal>(history.files, options(history.disk, seed + i + 1));
    }
    step.after = model;
    history.steps.push_back(std::move(step));
  }
}

// Recovers from the folder as a kill would leave it between any two changes, and after the given prefixes of
// each write. Returns the number of such points.
template <class Prefixes>
size_t recover_at_every_kill_point(const History& history, Prefixes prefixes) {
  Contents now;
  size_t points = 0;
  size_t step = 0;
  for (size_t i = 0; i <= history.files.changes.size(); ++i) {
    while (step + 1 < history.steps.size() && history.steps[step + 1].first_change <= i) ++step;
    // Several steps may begin at one change number; those that change nothing on disk have the same expected
    // state.
    size_t earliest = step;
    while (earliest > 0 && history.steps[earliest].first_change == i) --earliest;
    const auto check = [&](const Contents& contents, size_t prefix) {
      ++points;
      MemoryFiles files(contents);
      const Model found = recover_model(files, history.disk);
      for (size_t s = earliest; s <= step; ++s) {
        if (found == history.steps[s].before || found == history.steps[s].after) return true;
      }
      ADD_FAILURE() << "change " << i << " prefix " << prefix << ": found " << describe(found)
                    << "\n  before " << describe(history.steps[step].before) << "\n  after "
                    << describe(history.steps[step].after);
      return false;
    };
    if (!check(now, 0)) return points;
    if (i == history.files.changes.size()) break;
    const auto& change = history.files.changes[i];
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
    History history;
    run_random_steps(history, seed, 25);
    points += recover_at_every_kill_point(history, [](size_t size) {
      std::vector<size_t> all(size > 0 ? size - 1 : 0);
      for (size_t i = 0; i < all.size(); ++i) all[i] = i + 1;
      return all;
    });
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
    EXPECT_LE(history.files.max_used_bytes, history.disk);
  }
  RecordProperty("crash_points", static_cast<int>(points));
  EXPECT_GT(points, 10'000u);
}

// Sharded, so that the shards run in parallel. UMBERHOIST_HISTORIES sets the number of histories per shard,
// for long runs.
class JournalHistories : public ::testing::TestWithParam<int> {};

TEST_P(JournalHistories, AreRightAfterAKillAtEachBoundaryAndWithinEachWrite) {
  const char* history_count_text = std::getenv("UMBERHOIST_HISTORIES");
  const int history_count = history_count_text == nullptr ? 1250 : std::atoi(history_count_text);
  size_t points = 0, copied = 0;
  for (int i = 0; i < history_count; ++i) {
    const uint64_t seed = static_cast<uint64_t>(GetParam()) * 1'000'000 + static_cast<uint64_t>(i) + 100;
    History history;
    // One history in five is long enough for compaction to rewrite the whole disk several times; only its
    // final state is checked.
    const bool long_one = i % 5 == 0;
    run_random_steps(history, seed, long_one ? 400 : 30);
    EXPECT_LE(history.files.max_used_bytes, history.disk) << "seed " << seed;
    std::mt19937_64 random(seed);
    if (long_one) {
      MemoryFiles files(history.files.contents());
      const Model found = recover_model(files, history.disk);
      EXPECT_EQ(found, history.steps.back().after) << "seed " << seed << ": " << describe(found);
      const Model second = inspect_model(files);
      EXPECT_EQ(second, found) << "seed " << seed << ": inspect_folder() returns " << describe(second);
      copied += history.files.changes.size();
    } else {
      points += recover_at_every_kill_point(history, [&](size_t size) {
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
    RecoveryReport report;
    const Model found = recover_model(damaged, 100'000, &report);
    const bool header = at < kHeaderBytes;
    ASSERT_EQ(found.messages.size(), header ? 12u : 11u) << at;
    if (!header) {
      ASSERT_GT(report.damaged_bytes + report.torn_bytes, 0u) << at;
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
  bad.begin()->second[kHeaderBytes + 4 + 2] ^= 0x40;  // the first record now has a length of 4 MB
  MemoryFiles damaged(bad);
  RecoveryReport report;
  EXPECT_EQ(recover_model(damaged, 100'000, &report).messages.size(), 99u);
  EXPECT_EQ(report.damaged_ranges, 1u);
  ASSERT_EQ(report.log_lines.size(), 1u);
  EXPECT_NE(report.log_lines[0].find("bytes at 128 cannot be read"), std::string::npos)
      << report.log_lines[0];
}

// A client may submit a body that looks like a record. If the record around it is damaged, the reader must
// not take the body for a record.
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
  const Model found = recover_model(damaged, 100'000);
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
  RecoveryReport report;
  EXPECT_TRUE(recover_model(damaged, 100'000, &report).messages.empty());
  EXPECT_EQ(report.orphans, 1u);
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
    return 60 - recover_model(without, 400'000).messages.size();
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
    MemoryFiles other_relay_files;
    JournalOptions other = options(400'000);
    other.owner = "n7";
    Journal journal(other_relay_files, other);
    ASSERT_TRUE(journal.record_accepted(message("alien"), 1));
    others["journal-0000000098"] = other_relay_files.contents().begin()->second;
    SegmentHeader header = *decode_header(others["journal-0000000098"]);
    header.segment_number = 98;
    others["journal-0000000098"].replace(0, kHeaderBytes, encode(header));
  }
  for (const Case& c : {Case{"truncated", empty, 60 - in_first, "it is empty"},
                        Case{"duplicated", twice, 60, "it is segment 1 under another name"},
                        Case{"swapped", swapped, 60 - 2 * in_first, "under another name"},
                        Case{"another's", others, 60, "it belongs to relay n7"}}) {
    MemoryFiles folder(c.contents);
    RecoveryReport report;
    EXPECT_EQ(recover_model(folder, 400'000, &report).messages.size(), c.left) << c.what;
    ASSERT_FALSE(report.log_lines.empty()) << c.what;
    EXPECT_NE(report.log_lines[0].find(c.line), std::string::npos) << report.log_lines[0];
    // The segment is kept under another name, and the next start reports nothing.
    EXPECT_EQ(folder.contents().size(), c.contents.size());
    RecoveryReport again;
    recover_model(folder, 400'000, &again);
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

// A folder with everything that makes a start change it: damaged bytes to save, a segment to set aside, a
// segment with an incomplete header, and a torn tail.
Contents folder_with_damage(size_t disk) {
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
  const Contents folder = folder_with_damage(kDisk);
  MemoryFiles undisturbed(folder);
  RecoveryReport report;
  const Model expected = recover_model(undisturbed, kDisk, &report);
  ASSERT_EQ(report.damaged_ranges, 1u);
  ASSERT_GE(undisturbed.changes.size(), 4u) << "a start that changes nothing tests nothing";
  // All folders that a kill may leave: after each change, and after prefixes of each write.
  const auto folders_after_kills = [](const Contents& from, const MemoryFiles& played) {
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
  for (const Contents& once : folders_after_kills(folder, undisturbed)) {
    MemoryFiles second(once);
    ASSERT_EQ(recover_model(second, kDisk), expected);
    for (const Contents& twice : folders_after_kills(once, second)) {
      MemoryFiles third(twice);
      const Model found = recover_model(third, kDisk);
      ASSERT_EQ(found, expected) << describe(found) << "\n expected " << describe(expected);
      EXPECT_LE(third.max_used_bytes, kDisk);
      ++points;
    }
  }
  EXPECT_GT(points, 80u);
}

// Guards against duplicates and resurrected messages: after a kill between a copy and the removal of the old
// segment, both segments exist. Each message must be recovered once, and a done record in the newer segment
// must take precedence. The same holds if the removal is lost and the old segment reappears later, up to the
// removal of the next one.
TEST(Journal, AKillBetweenACopyAndTheRemovalOfItsSegmentBringsEachMessageBackOnce) {
  constexpr size_t kDisk = 40'000;
  MemoryFiles files;
  std::vector<std::pair<size_t, std::set<std::string>>>
      expected_live;  // number of changes made, and the live messages then
  std::set<std::string> live_ids;
  Journal journal(files, options(kDisk));
  const auto save_expected = [&] { expected_live.emplace_back(files.changes.size(), live_ids); };
  std::mt19937_64 random(7);
  save_expected();
  for (int i = 0; i < 600; ++i) {
    if (live_ids.size() >= 20) {
      const auto some = std::next(live_ids.begin(), static_cast<std::ptrdiff_t>(random() % live_ids.size()));
      journal.record_done(*some);
      live_ids.erase(some);
      save_expected();
    }
    const std::string id = "m" + std::to_string(i);
    if (journal.record_accepted(message(id, 400), i)) live_ids.insert(id);
    save_expected();
    journal.compact(2000);
    save_expected();
  }
  ASSERT_GT(journal.copied_bytes(), 10'000u);
  const auto found = [&](const Contents& contents) {
    MemoryFiles left(contents);
    std::set<std::string> out;
    for (const auto& [id, message_state] : recover_model(left, kDisk).messages)
      EXPECT_TRUE(out.insert(id).second) << id;
    return out;
  };
  Contents now;
  std::string old_name, old_bytes;
  size_t at = 0, removals = 0, reappearances = 0;
  for (size_t c = 0; c < expected_live.size(); ++c) {
    for (; at < expected_live[c].first; ++at) {
      const auto& change = files.changes[at];
      if (change.type == MemoryFiles::Change::Type::kRemove) {
        const std::set<std::string> seen = found(now);
        ASSERT_TRUE(seen == expected_live[c].second || seen == expected_live[c - 1].second)
            << "change " << at;
        old_name = change.name;
        old_bytes = now.at(change.name);
        ++removals;
      }
      MemoryFiles::apply(now, change, change.bytes.size());
    }
    if (old_name.empty()) continue;
    Contents both = now;
    both[old_name] = old_bytes;
    ASSERT_EQ(found(both), expected_live[c].second) << "after " << at << " changes, with " << old_name;
    ++reappearances;
  }
  EXPECT_GT(removals, 20u);
  EXPECT_GT(reappearances, 500u);
}

// ---- Failing disks ----

// The n-th change fails, for every n and each kind of failure; then the disk works again.
TEST(Journal, NothingIsClaimedThatIsNotOnDiskWhicheverOperationFails) {
  for (const bool partial_write : {false, true}) {
    for (const bool truncate_fails : {false, true}) {
      for (int64_t at = 0; at < 220; ++at) {
        MemoryFiles files;
        files.fail_from = at;
        files.fail_until = at + 1 + at % 3;
        files.fail_after_partial_write = partial_write;
        files.fail_truncate = truncate_fails;
        constexpr size_t kDisk = 30'000;
        Model model;
        {
          Journal journal(files, options(kDisk));
          for (int i = 0; i < 150; ++i) {
            const std::string id = "m" + std::to_string(i);
            if (!journal.record_accepted(message(id, 300), i)) continue;
            model.messages.emplace_back(
                id, ModelMessage{i, message(id, 300).body, message(id, 300).tenant, {}, 0, {}});
            if (journal.record_attempt(id, 0, i, 0)) {
              model.messages.back().second.maybe_executed[0] = {i, 0};
              model.messages.back().second.attempts = 1;
            }
            if (i % 16 == 3) continue;
            journal.record_done(id);
            model.messages.pop_back();
          }
          files.fail_from = INT64_MAX;
          journal.compact(1);  // writes the backlog
        }
        EXPECT_LE(files.max_used_bytes, kDisk);
        MemoryFiles left(files.contents());
        RecoveryReport report;
        const Model found = recover_model(left, kDisk, &report);
        if (!truncate_fails) {
          EXPECT_EQ(report.damaged_ranges + report.torn_bytes, 0u) << "a failed write was not undone";
        }
        // An attempt whose write failed and could not be undone may be recovered; that errs on the safe side.
        Model expected = model, seen = found;
        if (truncate_fails) {
          for (Model* m : {&expected, &seen}) {
            for (auto& [id, message_state] : m->messages)
              message_state.maybe_executed.clear(), message_state.attempts = 0;
          }
        }
        ASSERT_EQ(seen, expected) << "operation " << at << " partial write " << partial_write
                                  << " truncate fails " << truncate_fails << "\n found " << describe(found)
                                  << "\n expected " << describe(model);
      }
    }
  }
}

// A write stores the whole record, reports an error and cannot be undone. The client got a refusal and will
// submit the message again, so a restart must not resume the first submission.
TEST(Journal, ARefusedMessageThatStandsOnDiskAllTheSameIsEnded) {
  for (int64_t at = 0; at < 40; ++at) {
    MemoryFiles files;
    files.fail_from = at;
    files.fail_until = at + 1;
    files.fail_after_full_write = files.fail_truncate = true;
    std::set<std::string> accepted, refused;
    {
      Journal journal(files, options(30'000));
      for (int i = 0; i < 30; ++i) {
        const std::string id = "m" + std::to_string(i);
        (journal.record_accepted(message(id, 100), i) ? accepted : refused).insert(id);
      }
      journal.compact(1);
    }
    MemoryFiles left(files.contents());
    const Model found = recover_model(left, 30'000);
    EXPECT_EQ(found.messages.size(), accepted.size()) << at << ": " << describe(found);
    for (const auto& [id, message_state] : found.messages)
      EXPECT_FALSE(refused.contains(id)) << at << " " << id;
  }
}

// Compaction reads records by their offset. After a partial write the offsets must still be right, otherwise
// the oldest segments could never be removed.
TEST(Journal, AfterAFailedWriteTheDiskIsStillGoneRound) {
  for (int64_t at = 1; at < 30; ++at) {
    MemoryFiles files;
    files.fail_from = at;
    files.fail_until = at + 1;
    files.fail_after_partial_write = true;
    Journal journal(files, options(40'000));
    for (int i = 0; i < 10; ++i) journal.record_accepted(message("kept" + std::to_string(i), 100), i);
    int refused = 0;  // the one whose write failed
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
    std::vector<std::string> accepted;
    for (int i = 0; i < 1000; ++i) {
      const std::string id = std::to_string(round) + "-" + std::to_string(i);
      if (!journal.record_accepted(message(id, 500), i)) break;
      accepted.push_back(id);
    }
    EXPECT_LT(accepted.size(), 1000u);
    EXPECT_GT(accepted.size(), 50u);
    // Every accepted message has room for all its attempts, its notice and its done record.
    for (int number = 0; number < 6; ++number) {
      for (const std::string& id : accepted) {
        ASSERT_TRUE(journal.record_attempt(id, number, 1, 0));
        if (number % 2 == 0) journal.record_not_executed(id, number);
      }
    }
    for (const std::string& id : accepted) ASSERT_TRUE(journal.record_notice({id, true, 500}));
    for (const std::string& id : accepted) journal.record_done(id);
    EXPECT_EQ(journal.live_messages(), 0u);
  }
  EXPECT_LE(files.max_used_bytes, kDisk);
}

// Other data may fill the disk at any moment of a compaction: after the n-th change no block can be
// allocated, for every n; later there is space again.
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
      model.messages.emplace_back(id,
                                  ModelMessage{i, message(id, 400).body, message(id, 400).tenant, {}, 0, {}});
      return true;
    };
    const auto end = [&](size_t at) {
      journal.record_done(model.messages[at].first);
      model.messages.erase(model.messages.begin() + static_cast<std::ptrdiff_t>(at));
    };
    int next_id = 0;
    while (add(next_id)) ++next_id;
    // One message ends and one is accepted in each step, until live records are being copied: in slices
    // between the steps, or all at once when an append needs room.
    const bool slices = full_at % 2 == 0;
    const auto step = [&](int number) {
      if (!model.messages.empty()) end(static_cast<size_t>(number * 7) % model.messages.size());
      const bool accepted = add(next_id++);
      if (slices) journal.compact(1000);
      return accepted;
    };
    for (int i = 0; journal.copied_bytes() == 0; ++i) ASSERT_TRUE(step(i));
    const size_t copied = journal.copied_bytes(), before = files.changes.size();
    files.disk_full_from = before + static_cast<size_t>(full_at);
    int refused = 0;
    for (int i = 0; i < 100; ++i) {
      refused += !step(i);
      if (i % 10 == 9) {  // a kill at this point loses nothing that was acknowledged
        MemoryFiles left(files.contents());
        Model found = recover_model(left, kDisk);
        // A done record without room is written later; after a kill before that its message is recovered.
        std::erase_if(found.messages, [&](const auto& m) { return model.find(m.first) == nullptr; });
        ASSERT_EQ(found.messages, model.messages) << "full at change " << full_at;
      }
    }
    EXPECT_GT(refused, 0);
    files.disk_full_from = SIZE_MAX;
    journal.compact(1);
    int accepted = 0;
    for (int i = 0; i < 200; ++i) {
      accepted += add(next_id++);
      if (model.messages.size() > 40) end(0);
    }
    EXPECT_GT(accepted, 190) << "full at change " << full_at;
    EXPECT_LE(files.max_used_bytes, kDisk);
    compactions += journal.copied_bytes() > copied;
    MemoryFiles left(files.contents());
    const Model found = recover_model(left, kDisk);
    ASSERT_EQ(found, model) << describe(found) << "\n expected " << describe(model);
  }
  EXPECT_GT(compactions, 60u);
}

// Random body sizes and random order of ends on a disk that is always full: every accepted message must have
// room for all its later records, and the disk limit must hold at all times.
TEST(Journal, WhateverWasAcceptedHasRoomForAllThatFollowsWhateverTheSizes) {
  size_t accepted = 0, refused = 0;
  for (uint64_t seed = 0; seed < 60; ++seed) {
    std::mt19937_64 random(seed);
    const size_t disk = 24'000 + 8'000 * (seed % 5);
    const size_t max_body = seed % 3 == 0 ? 20 : 4000;
    MemoryFiles files;
    Journal journal(files, options(disk, seed + 1));
    std::map<std::string, int> live_ids;  // with the number of their attempts
    for (int i = 0; i < 600; ++i) {
      const std::string id = "m" + std::to_string(i);
      if (journal.record_accepted(message(id, random() % max_body), i)) {
        live_ids[id] = 0;
        ++accepted;
        continue;
      }
      ++refused;
      for (int k = 0; k < 4 && !live_ids.empty(); ++k) {
        const auto some =
            std::next(live_ids.begin(), static_cast<std::ptrdiff_t>(random() % live_ids.size()));
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
        live_ids.erase(some);
      }
      if (random() % 2 == 0) journal.compact(random() % 3000);
    }
    for (int i = 600; journal.record_accepted(message("m" + std::to_string(i), random() % max_body), i); ++i)
      live_ids["m" + std::to_string(i)] = 0;
    for (auto& [name, attempts] : live_ids) {
      for (; attempts < 6; ++attempts)
        ASSERT_TRUE(journal.record_attempt(name, attempts, 1, 0)) << "seed " << seed;
      ASSERT_TRUE(journal.record_notice({name, true, 5})) << "seed " << seed;
    }
    for (const auto& [name, attempts] : live_ids) journal.record_done(name);
    ASSERT_TRUE(journal.has_no_backlog()) << "seed " << seed;
    ASSERT_LE(files.max_used_bytes, disk) << "seed " << seed;
  }
  EXPECT_GT(accepted, 2000u);
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
  const auto accepted_with_metadata = [&](int metadata) {
    MemoryFiles files;
    Journal journal(files, options(kDisk));
    int kept = 0, accepted = 0;
    for (int i = 0; i < metadata; ++i) {
      kept += journal.put_metadata("gone s-" + std::to_string(i), std::string(30, 'x'));
    }
    EXPECT_TRUE(metadata == 0 || kept > 300);
    while (accepted < 1000 && journal.record_accepted(message("m" + std::to_string(accepted), 500), 1))
      ++accepted;
    return accepted;
  };
  const int alone = accepted_with_metadata(0);
  EXPECT_GT(alone, 80);
  EXPECT_GT(accepted_with_metadata(5000), alone * 6 / 10);
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
  const std::string saved_name = "aside-" + name + "-128";
  MemoryFiles damaged(bad);
  for (int start = 0; start < 2; ++start) {  // the second start finds the file already there
    RecoveryReport report;
    EXPECT_EQ(recover_model(damaged, 100'000, &report).messages.size(), 19u);
    ASSERT_EQ(report.log_lines.size(), 1u);
    EXPECT_TRUE(report.log_lines[0].ends_with("they are kept as " + saved_name)) << report.log_lines[0];
    EXPECT_EQ(damaged.contents().at(saved_name), bad.at(name).substr(128, report.damaged_bytes));
    EXPECT_EQ(damaged.contents().size(), bad.size() + 1);
  }
  // Without spare room the damaged bytes are not saved.
  MemoryFiles small(bad);
  EXPECT_EQ(recover_model(small, 12'000).messages.size(), 19u);
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
    EXPECT_FALSE(journal.record_accepted(message("a"), 3)) << "the message is live";
  }
  const Model found = recover_model(files, 100'000);
  ASSERT_EQ(found.messages.size(), 1u);
  EXPECT_EQ(found.messages[0].second.due, 2);
  EXPECT_TRUE(found.messages[0].second.maybe_executed.empty());
}

// ---- Earlier versions ----

// Format version 2 had no tenants and is otherwise the same, so its segments can be read.
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
    const Model found = recover_model(files, 100'000);
    ASSERT_EQ(found.messages.size(), 1u);
    EXPECT_EQ(found.messages[0].second.due, 77);
    EXPECT_EQ(found.messages[0].second.body, a.message.body);
    EXPECT_EQ(found.messages[0].second.tenant, "");
    Journal journal(files, options(100'000));
    for (int i = 0; i < 200; ++i) {  // until the old segment is compacted
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
  // CRC-32 of the payload, computed independently of the reader's code.
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
  const std::string contents =
      a + b + legacy_accepted("c") + legacy_record("T" + text8("a") + number8(0) + number8(55) + number8(1)) +
      legacy_record("O" + text8("b") + number8(1) + number8(500)) + legacy_record("D" + text8("c")) +
      legacy_record("F" + text8("revision") + text8("41")) + "torn";
  Contents now{{"journal", contents}};
  MemoryFiles files(now);
  const Model expected = recover_model(files, 100'000);
  ASSERT_EQ(expected.messages.size(), 2u);
  EXPECT_EQ(expected.messages[0].second.maybe_executed.at(0), (std::pair<Micros, int>{55, 1}));
  EXPECT_EQ(expected.messages[1].second.notice, (std::pair<bool, Micros>{true, 500}));
  EXPECT_EQ(expected.metadata.at("revision"), "41");
  EXPECT_FALSE(files.contents().contains("journal"));
  for (const auto& change : files.changes) {
    for (size_t prefix = 0; prefix <= change.bytes.size(); ++prefix) {
      if (change.type != MemoryFiles::Change::Type::kAppend && prefix > 0) break;
      Contents cut = now;
      if (change.type == MemoryFiles::Change::Type::kAppend) MemoryFiles::apply(cut, change, prefix);
      MemoryFiles once(cut);
      ASSERT_EQ(recover_model(once, 100'000), expected);
      Contents again = cut;  // the second migration is killed as well
      for (const auto& second : once.changes) {
        MemoryFiles::apply(again, second, second.bytes.size() / 2);
        if (second.type == MemoryFiles::Change::Type::kAppend) break;
      }
      MemoryFiles twice(again);
      ASSERT_EQ(recover_model(twice, 100'000), expected);
    }
    MemoryFiles::apply(now, change, change.bytes.size());
  }
  // A flipped bit in the first record loses that record only.
  std::string bad = contents;
  bad[20] ^= 1;
  MemoryFiles damaged(Contents{{"journal", bad}});
  EXPECT_EQ(recover_model(damaged, 100'000).messages.size(), 1u);
}

// Five messages a second for 45 minutes, a host replaced every 5 s, a restart every 5 minutes: disk usage
// must follow the live data and not grow with the history.
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

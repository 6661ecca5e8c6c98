// The journal under power loss, with durability "group": records covered by a finished sync are recovered,
// and messages with a synced done record stay finished, whichever unsynced blocks and folder changes are
// lost.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <set>

#include "memory_files.h"
#include "state/journal.h"

namespace umberhoist::state {
namespace {

JournalOptions group_options(size_t disk, uint64_t seed) {
  return {disk, "n0", 6, seed, Durability::kGroupCommit};
}

Submission message(const std::string& id, size_t body) {
  Submission out;
  out.id = id;
  out.message_class = "keyed";
  out.destination = 7;
  out.body.assign(body, id.back());
  return out;
}

constexpr uint64_t kUnwrittenDone = UINT64_MAX;  // a done record for which there was no room yet

// What the test expects of each message: which records were written up to which position, and which were
// attempted.
struct ExpectedMessage {
  size_t body = 0;
  uint64_t accepted_position = 0;    // the position that has to be durable
  std::map<int, uint64_t> attempts;  // recorded attempts, with their positions
  std::set<int> attempted;           // also those whose record failed
  std::set<int> not_executed;
  std::optional<uint64_t> notice;
  // Position of the done record; until it is durable the message may be recovered.
  std::optional<uint64_t> done_position;
};

class RandomRun {
 public:
  RandomRun(uint64_t seed, size_t disk) : disk_(disk), random_(seed) { restart(); }

  void step() {
    const uint64_t choice = below(100);
    const std::string id = random_live_id();
    if (id.empty() || choice < 30) {
      const std::string new_id = "m" + std::to_string(next_id_++);
      const size_t body = below(6) == 0 ? below(3000) : below(200);
      if (journal_->record_accepted(message(new_id, body), 1))
        messages_[new_id] = {body, journal_->written_position(), {}, {}, {}, {}, {}};
    } else if (choice < 45) {
      ExpectedMessage& expected = messages_.at(id);
      const int number = static_cast<int>(expected.attempted.size());
      // As in the relay, an attempt starts only once its record and its message's are durable.
      if (number < 6 && !expected.notice) {
        expected.attempted.insert(number);
        if (journal_->record_attempt(id, number, 10, 0))
          expected.attempts[number] = journal_->written_position();
      }
    } else if (choice < 50) {
      ExpectedMessage& expected = messages_.at(id);
      if (!expected.attempts.empty()) {
        expected.not_executed.insert(expected.attempts.rbegin()->first);
        journal_->record_not_executed(id, expected.attempts.rbegin()->first);
      }
    } else if (choice < 55) {
      ExpectedMessage& expected = messages_.at(id);
      if (!expected.notice && journal_->record_notice({id, true, 5}))
        expected.notice = journal_->written_position();
    } else if (choice < 70) {
      journal_->record_done(id);
      messages_.at(id).done_position =
          journal_->has_no_backlog() ? journal_->written_position() : kUnwrittenDone;
    } else if (choice < 74) {
      const std::string value(below(200), 'f');
      journal_->put_metadata("fact" + std::to_string(below(4)), value);
    } else if (choice < 80) {
      journal_->compact(200 + below(3000));
    } else if (choice < 97) {
      sync();
    } else {
      finish_sync(true);
      restart();
    }
    for (auto& [name, expected] : messages_) {
      if (expected.done_position == kUnwrittenDone && journal_->has_no_backlog())
        expected.done_position = journal_->written_position();
    }
  }

  // Recovers from several folders that a power loss at this point could leave.
  void lose_power(int times) {
    for (int i = 0; i < times; ++i) {
      MemoryFiles left(files_.after_power_loss(random_));
      Journal found(left, group_options(disk_, 3));
      std::map<std::string, RecoveredMessage> recovered;
      found.recover([&](RecoveredMessage r) { recovered[r.message.id] = std::move(r); });
      for (const auto& [id, expected] : messages_)
        check(id, expected, recovered.contains(id) ? &recovered.at(id) : nullptr);
      for (const auto& [id, r] : recovered) EXPECT_TRUE(messages_.contains(id) || was_submitted(id)) << id;
      ++power_losses;
      if (power_losses % 2 == 0) flip_random_bit(left, recovered);
      if (::testing::Test::HasFailure()) return;
    }
  }

  // After the power loss one bit anywhere is flipped as well: at most one message may be affected.
  void flip_random_bit(const MemoryFiles& left, const std::map<std::string, RecoveredMessage>& recovered) {
    Contents bad = left.contents();
    if (bad.empty()) return;
    std::string& bytes = std::next(bad.begin(), static_cast<std::ptrdiff_t>(below(bad.size())))->second;
    if (bytes.empty()) return;
    bytes[below(bytes.size())] ^= static_cast<char>(1 << below(8));
    MemoryFiles files(bad);
    Journal found(files, group_options(disk_, 4));
    std::set<std::string> changed;
    std::map<std::string, RecoveredMessage> seen;
    found.recover([&](RecoveredMessage r) { seen[r.message.id] = std::move(r); });
    for (const auto& [id, r] : recovered) {
      const auto it = seen.find(id);
      if (it == seen.end() || it->second.message.body != r.message.body ||
          it->second.maybe_executed != r.maybe_executed ||
          it->second.pending_notice.has_value() != r.pending_notice.has_value()) {
        changed.insert(id);
      }
    }
    for (const auto& [id, r] : seen) {
      if (!recovered.contains(id)) changed.insert(id);
    }
    EXPECT_LE(changed.size(), 1u);
    ++flips;
    flips_with_effect += changed.size();
  }

  MemoryFiles& files() { return files_; }
  size_t flips = 0, flips_with_effect = 0;
  size_t power_losses = 0, syncs = 0, failed_syncs = 0;

 private:
  uint64_t below(uint64_t n) { return random_() % n; }
  bool was_submitted(const std::string& id) const { return std::stoi(id.substr(1)) < next_id_; }

  std::string random_live_id() {
    std::vector<std::string> live_ids;
    for (const auto& [id, expected] : messages_) {
      if (!expected.done_position) live_ids.push_back(id);
    }
    return live_ids.empty() ? "" : live_ids[below(live_ids.size())];
  }

  void restart() {
    std::set<std::string> durable_ids;
    for (const auto& [id, expected] : messages_) {
      if (journal_ && journal_->is_durable(expected.accepted_position)) durable_ids.insert(id);
    }
    journal_.reset();
    journal_ = std::make_unique<Journal>(files_, group_options(disk_, random_() | 1));
    // At start the journal syncs all existing segments first, and positions restart at 0. Records that were
    // not durable may be lost with the pages of a failed sync.
    std::map<std::string, RecoveredMessage> recovered;
    journal_->recover([&](RecoveredMessage r) { recovered[r.message.id] = std::move(r); });
    std::erase_if(messages_, [&](const auto& entry) {
      return !recovered.contains(entry.first) && !entry.second.done_position &&
             !durable_ids.contains(entry.first);
    });
    for (auto& [id, expected] : messages_) {
      if (recovered.contains(id)) {
        std::erase_if(expected.attempts,
                      [&](const auto& t) { return !recovered.at(id).maybe_executed.contains(t.first); });
        if (expected.notice && !recovered.at(id).pending_notice) expected.notice.reset();
        expected.done_position.reset();
      }
      expected.accepted_position = 0;
      for (auto& [number, at] : expected.attempts) at = 0;
      if (expected.notice) expected.notice = 0;
      if (expected.done_position) expected.done_position = 0;
    }
  }

  // Begins a sync, or ends the one that is pending: other steps happen in between, as if it ran in another
  // thread.
  void sync() {
    if (pending_sync_) return finish_sync(below(12) != 0);
    if (journal_->needs_sync()) pending_sync_ = journal_->begin_sync();
  }
  void finish_sync(bool ok) {
    if (!pending_sync_) return;
    files_.fail_sync = !ok;
    const bool done = Journal::execute_sync(files_, *pending_sync_);
    files_.fail_sync = false;
    journal_->end_sync(*pending_sync_, done);
    pending_sync_.reset();
    ++syncs;
    failed_syncs += !done;
  }

  void check(const std::string& id, const ExpectedMessage& expected, const RecoveredMessage* r) {
    if (expected.done_position) {
      EXPECT_TRUE(r == nullptr || !journal_->is_durable(*expected.done_position))
          << id << " is finished and was recovered";
    } else if (journal_->is_durable(expected.accepted_position)) {
      EXPECT_NE(r, nullptr) << id << " was accepted and is lost";
    }
    if (r == nullptr) return;
    EXPECT_EQ(r->message.body, message(id, expected.body).body) << id;
    for (const auto& [number, at] : expected.attempts) {
      if (!journal_->is_durable(at) || expected.not_executed.contains(number)) continue;
      EXPECT_TRUE(r->maybe_executed.contains(number)) << id << " may have been executed: attempt " << number;
    }
    for (const auto& [number, sent] : r->maybe_executed)
      EXPECT_TRUE(expected.attempted.contains(number)) << id;
    EXPECT_TRUE(r->pending_notice || !expected.notice || !journal_->is_durable(*expected.notice))
        << id << " has a durable notice that was not recovered";
  }

  size_t disk_;
  std::mt19937_64 random_;
  MemoryFiles files_;
  std::unique_ptr<Journal> journal_;
  std::optional<Journal::SyncRequest> pending_sync_;
  std::map<std::string, ExpectedMessage> messages_;
  int next_id_ = 0;
};

class PowerLoss : public ::testing::TestWithParam<int> {};

TEST(PowerLossOfSeed1492, LosesNothingThatASyncHadCovered) {
  constexpr uint64_t kSeed = 1492;
  RandomRun run(kSeed, 30'000 + 10'000 * (kSeed % 1000 % 3));
  for (int step = 0; step < 250 && !::testing::Test::HasFailure(); ++step) {
    run.step();
    if (step % 5 == 0) run.lose_power(2);
  }
}

TEST_P(PowerLoss, LosesNothingThatASyncHadCoveredWhicheverBlocksItTakes) {
  size_t power_losses = 0, failed_syncs = 0, flips = 0, flips_with_effect = 0;
  const char* runs_text = std::getenv("UMBERHOIST_POWER_RUNS");  // runs per shard, for long tests
  const uint64_t runs = runs_text == nullptr ? 60 : static_cast<uint64_t>(std::atoi(runs_text));
  for (uint64_t i = 0; i < runs; ++i) {
    const uint64_t seed = static_cast<uint64_t>(GetParam()) * 1000 + i;
    RandomRun run(seed, 30'000 + 10'000 * (i % 3));
    for (int k = 0; k < 250; ++k) {
      run.step();
      if (k % 5 == 0) run.lose_power(2);
      ASSERT_FALSE(HasFailure()) << "seed " << seed << " step " << k;
    }
    power_losses += run.power_losses;
    failed_syncs += run.failed_syncs;
    flips += run.flips;
    flips_with_effect += run.flips_with_effect;
    EXPECT_LE(run.files().max_used_bytes, 30'000 + 10'000 * (i % 3)) << "seed " << seed;
  }
  EXPECT_GT(power_losses, 5000u);
  EXPECT_GT(failed_syncs, 50u);
  EXPECT_GT(flips, 2500u);
  EXPECT_GT(flips_with_effect, 250u);
  RecordProperty("power_losses", static_cast<int>(power_losses));
}

INSTANTIATE_TEST_SUITE_P(Shards, PowerLoss, ::testing::Range(0, 4));

// While a sync is in progress on a full disk no segment can be removed, so done records have to wait. They
// must not stop later syncs from making records durable, or the journal would make no progress.
TEST(Group, AFullDiskDoesNotStopTheSyncs) {
  size_t refused = 0, steps_with_backlog = 0;
  for (uint64_t seed = 0; seed < 20; ++seed) {
    std::mt19937_64 random(seed);
    MemoryFiles files;
    const size_t disk = 24'000 + 8'000 * (seed % 5);
    Journal journal(files, group_options(disk, seed + 1));
    std::map<std::string, int> live_ids;
    for (int i = 0; i < 100; ++i) {
      const bool sync_wanted = journal.needs_sync();
      const Journal::SyncRequest sync = sync_wanted ? journal.begin_sync() : Journal::SyncRequest{};
      for (int k = 0; k < 60; ++k) {
        const std::string id = "m" + std::to_string(60 * i + k);
        if (journal.record_accepted(message(id, random() % 1000), 1)) {
          live_ids[id] = 0;
        } else if (!live_ids.empty()) {
          ++refused;
          const auto some =
              std::next(live_ids.begin(), static_cast<std::ptrdiff_t>(random() % live_ids.size()));
          if (some->second < 6 && random() % 2 == 0) {
            some->second += journal.record_attempt(some->first, some->second, 1, 0);
          } else {
            journal.record_done(some->first);
            live_ids.erase(some);
          }
        }
      }
      steps_with_backlog += !journal.has_no_backlog();
      if (sync_wanted) journal.end_sync(sync, Journal::execute_sync(files, sync));
      if (i % 10 != 9) continue;
      const uint64_t position = journal.written_position();
      for (int tries = 0; !(journal.is_durable(position) && journal.has_no_backlog()); ++tries) {
        ASSERT_LT(tries, 10) << "seed " << seed << " step " << i << ": the journal makes no progress";
        journal.compact(4096);
        if (!journal.needs_sync()) continue;
        const Journal::SyncRequest next = journal.begin_sync();
        journal.end_sync(next, Journal::execute_sync(files, next));
      }
    }
    ASSERT_LE(files.max_used_bytes, disk) << "seed " << seed;
  }
  EXPECT_GT(refused, 1000u);
  EXPECT_GT(steps_with_backlog, 100u);
}

TEST(Group, NothingIsDurableBeforeItsSyncHasEnded) {
  MemoryFiles files;
  Journal journal(files, group_options(100'000, 1));
  EXPECT_FALSE(journal.needs_sync());
  ASSERT_TRUE(journal.record_accepted(message("a", 10), 1));
  const uint64_t first = journal.written_position();
  EXPECT_FALSE(journal.is_durable(first));
  ASSERT_TRUE(journal.needs_sync());
  const Journal::SyncRequest sync = journal.begin_sync();
  ASSERT_TRUE(journal.record_accepted(message("b", 10), 1));
  EXPECT_FALSE(journal.needs_sync()) << "only one sync may be in progress";
  journal.end_sync(sync, Journal::execute_sync(files, sync));
  EXPECT_TRUE(journal.is_durable(first));
  EXPECT_FALSE(journal.is_durable(journal.written_position())) << "it was recorded after the sync had begun";
  EXPECT_TRUE(journal.needs_sync());
}

TEST(Group, ProcessDurabilityNeverSyncs) {
  MemoryFiles files;
  files.fail_sync = true;
  Journal journal(files, {100'000, "n0", 6, 1});
  ASSERT_TRUE(journal.record_accepted(message("a", 10), 1));
  EXPECT_TRUE(journal.is_durable(journal.written_position()));
  EXPECT_FALSE(journal.needs_sync());
}

}  // namespace
}  // namespace umberhoist::state

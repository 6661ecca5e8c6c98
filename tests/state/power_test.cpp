// The journal under power loss, with durability "group": whatever was claimed once its sync had ended is
// there again, and what ended for good stays ended, whichever unsynced blocks and changes of the folder are
// lost.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <set>

#include "memory_files.h"
#include "state/journal.h"

namespace umberhoist::state {
namespace {

JournalOptions group(size_t disk, uint64_t seed) { return {disk, "n0", 6, seed, Durability::kGroupCommit}; }

Submission message(const std::string& id, size_t body) {
  Submission out;
  out.id = id;
  out.message_class = "keyed";
  out.destination = 7;
  out.body.assign(body, id.back());
  return out;
}

// The oracle: of each message, what was claimed at which position, and what was only tried.
constexpr uint64_t kUnwritten = UINT64_MAX;  // an end for which there was no room yet

struct Claim {
  size_t body = 0;
  uint64_t accepted = 0;             // the position that makes it safe
  std::map<int, uint64_t> attempts;  // that were let go, with theirs
  std::set<int> tried;               // as well as those that were not
  std::set<int> never_ran;
  std::optional<uint64_t> owed;
  std::optional<uint64_t> ended;  // its end was recorded here; nothing was promised of it before that is safe
};

class Play {
 public:
  Play(uint64_t seed, size_t disk) : disk_(disk), random_(seed) { start(); }

  void step() {
    const uint64_t what = below(100);
    const std::string id = some();
    if (id.empty() || what < 30) {
      const std::string fresh = "m" + std::to_string(made_++);
      const size_t body = below(6) == 0 ? below(3000) : below(200);
      if (journal_->record_accepted(message(fresh, body), 1))
        claims_[fresh] = {body, journal_->written_position(), {}, {}, {}, {}, {}};
    } else if (what < 45) {
      Claim& c = claims_.at(id);
      const int number = static_cast<int>(c.tried.size());
      // As the relay: an attempt is let go once its record and its message's are safe, not before.
      if (number < 6 && !c.owed) {
        c.tried.insert(number);
        if (journal_->record_attempt(id, number, 10, 0)) c.attempts[number] = journal_->written_position();
      }
    } else if (what < 50) {
      Claim& c = claims_.at(id);
      if (!c.attempts.empty()) {
        c.never_ran.insert(c.attempts.rbegin()->first);
        journal_->record_not_executed(id, c.attempts.rbegin()->first);
      }
    } else if (what < 55) {
      Claim& c = claims_.at(id);
      if (!c.owed && journal_->record_notice({id, true, 5})) c.owed = journal_->written_position();
    } else if (what < 70) {
      journal_->record_done(id);
      claims_.at(id).ended = journal_->has_no_backlog() ? journal_->written_position() : kUnwritten;
    } else if (what < 74) {
      journal_->put_metadata("fact" + std::to_string(below(4)), std::string(below(200), 'f'));
    } else if (what < 80) {
      journal_->compact(200 + below(3000));
    } else if (what < 97) {
      sync();
    } else {
      finish_sync(true);
      start();
    }
    for (auto& [name, c] : claims_) {
      if (c.ended == kUnwritten && journal_->has_no_backlog()) c.ended = journal_->written_position();
    }
  }

  // Starts from what several power losses would leave here.
  void lose_power(int times) {
    for (int i = 0; i < times; ++i) {
      MemoryFiles left(files_.after_power_loss(random_));
      Journal found(left, group(disk_, 3));
      std::map<std::string, RecoveredMessage> there;
      found.recover([&](RecoveredMessage r) { there[r.message.id] = std::move(r); });
      for (const auto& [id, c] : claims_) check(id, c, there.contains(id) ? &there.at(id) : nullptr);
      for (const auto& [id, r] : there) EXPECT_TRUE(claims_.contains(id) || refused(id)) << id;
      ++points;
      if (points % 2 == 0) flip(left, there);
      if (::testing::Test::HasFailure()) return;
    }
  }

  // Beside the power loss one bit went over, anywhere: it costs what it touches and nothing else.
  void flip(const MemoryFiles& left, const std::map<std::string, RecoveredMessage>& there) {
    Contents bad = left.contents();
    if (bad.empty()) return;
    std::string& bytes = std::next(bad.begin(), static_cast<std::ptrdiff_t>(below(bad.size())))->second;
    if (bytes.empty()) return;
    bytes[below(bytes.size())] ^= static_cast<char>(1 << below(8));
    MemoryFiles files(bad);
    Journal found(files, group(disk_, 4));
    std::set<std::string> changed;
    std::map<std::string, RecoveredMessage> seen;
    found.recover([&](RecoveredMessage r) { seen[r.message.id] = std::move(r); });
    for (const auto& [id, r] : there) {
      const auto it = seen.find(id);
      if (it == seen.end() || it->second.message.body != r.message.body ||
          it->second.maybe_executed != r.maybe_executed ||
          it->second.pending_notice.has_value() != r.pending_notice.has_value()) {
        changed.insert(id);
      }
    }
    for (const auto& [id, r] : seen) {
      if (!there.contains(id)) changed.insert(id);
    }
    EXPECT_LE(changed.size(), 1u);
    ++flips;
    flips_felt += changed.size();
  }

  MemoryFiles& files() { return files_; }
  size_t flips = 0, flips_felt = 0;
  size_t points = 0, syncs = 0, failed = 0;

 private:
  uint64_t below(uint64_t n) { return random_() % n; }
  bool refused(const std::string& id) const { return std::stoi(id.substr(1)) < made_; }

  std::string some() {
    std::vector<std::string> alive;
    for (const auto& [id, c] : claims_) {
      if (!c.ended) alive.push_back(id);
    }
    return alive.empty() ? "" : alive[below(alive.size())];
  }

  void start() {
    std::set<std::string> sure;
    for (const auto& [id, c] : claims_) {
      if (journal_ && journal_->is_durable(c.accepted)) sure.insert(id);
    }
    journal_.reset();
    journal_ = std::make_unique<Journal>(files_, group(disk_, random_() | 1));
    // All that was there at a start is synced before anything else happens, and positions begin anew. What
    // had not been sure may be gone, with the pages of a sync that failed.
    std::map<std::string, RecoveredMessage> there;
    journal_->recover([&](RecoveredMessage r) { there[r.message.id] = std::move(r); });
    std::erase_if(claims_, [&](const auto& claim) {
      return !there.contains(claim.first) && !claim.second.ended && !sure.contains(claim.first);
    });
    for (auto& [id, c] : claims_) {
      if (there.contains(id)) {
        std::erase_if(c.attempts,
                      [&](const auto& t) { return !there.at(id).maybe_executed.contains(t.first); });
        if (c.owed && !there.at(id).pending_notice) c.owed.reset();
        c.ended.reset();
      }
      c.accepted = 0;
      for (auto& [number, at] : c.attempts) at = 0;
      if (c.owed) c.owed = 0;
      if (c.ended) c.ended = 0;
    }
  }

  // Begun now, carried out some steps later, as by another thread.
  void sync() {
    if (pending_) return finish_sync(below(12) != 0);
    if (journal_->needs_sync()) pending_ = journal_->begin_sync();
  }
  void finish_sync(bool good) {
    if (!pending_) return;
    files_.fail_sync = !good;
    const bool done = Journal::execute_sync(files_, *pending_);
    files_.fail_sync = false;
    journal_->end_sync(*pending_, done);
    pending_.reset();
    ++syncs;
    failed += !done;
  }

  void check(const std::string& id, const Claim& c, const RecoveredMessage* r) {
    if (c.ended) {
      EXPECT_TRUE(r == nullptr || !journal_->is_durable(*c.ended)) << id << " ended and came back";
    } else if (journal_->is_durable(c.accepted)) {
      EXPECT_NE(r, nullptr) << id << " was taken on and is lost";
    }
    if (r == nullptr) return;
    EXPECT_EQ(r->message.body, message(id, c.body).body) << id;
    for (const auto& [number, at] : c.attempts) {
      if (!journal_->is_durable(at) || c.never_ran.contains(number)) continue;
      EXPECT_TRUE(r->maybe_executed.contains(number)) << id << " may have run: attempt " << number;
    }
    for (const auto& [number, sent] : r->maybe_executed) EXPECT_TRUE(c.tried.contains(number)) << id;
    EXPECT_TRUE(r->pending_notice || !c.owed || !journal_->is_durable(*c.owed)) << id << " was given back";
  }

  size_t disk_;
  std::mt19937_64 random_;
  MemoryFiles files_;
  std::unique_ptr<Journal> journal_;
  std::optional<Journal::SyncRequest> pending_;
  std::map<std::string, Claim> claims_;
  int made_ = 0;
};

class PowerLoss : public ::testing::TestWithParam<int> {};

TEST_P(PowerLoss, LosesNothingThatASyncHadCoveredWhicheverBlocksItTakes) {
  size_t points = 0, failed = 0, flips = 0, felt = 0;
  const char* wanted = std::getenv("UMBERHOIST_POWER_RUNS");  // so many a shard, for a night
  const uint64_t runs = wanted == nullptr ? 60 : static_cast<uint64_t>(std::atoi(wanted));
  for (uint64_t i = 0; i < runs; ++i) {
    const uint64_t seed = static_cast<uint64_t>(GetParam()) * 1000 + i;
    Play run(seed, 30'000 + 10'000 * (i % 3));
    for (int k = 0; k < 250; ++k) {
      run.step();
      if (k % 5 == 0) run.lose_power(2);
      ASSERT_FALSE(HasFailure()) << "seed " << seed << " step " << k;
    }
    points += run.points;
    failed += run.failed;
    flips += run.flips;
    felt += run.flips_felt;
    EXPECT_LE(run.files().max_used_bytes, 30'000 + 10'000 * (i % 3)) << "seed " << seed;
  }
  EXPECT_GT(points, 5000u);
  EXPECT_GT(failed, 50u);
  EXPECT_GT(flips, 2500u);
  EXPECT_GT(felt, 250u);
  RecordProperty("power_losses", static_cast<int>(points));
}

INSTANTIATE_TEST_SUITE_P(Shards, PowerLoss, ::testing::Range(0, 4));

// A sync that is out when there is no room left lets no segment go, so ends have to wait. They must not keep
// the syncs after it from counting: all would stand still.
TEST(Group, AFullDiskDoesNotStopTheSyncs) {
  size_t refused = 0, waited = 0;
  for (uint64_t seed = 0; seed < 20; ++seed) {
    std::mt19937_64 random(seed);
    MemoryFiles files;
    const size_t disk = 24'000 + 8'000 * (seed % 5);
    Journal journal(files, group(disk, seed + 1));
    std::map<std::string, int> alive;
    for (int i = 0; i < 100; ++i) {
      const bool out = journal.needs_sync();
      const Journal::SyncRequest sync = out ? journal.begin_sync() : Journal::SyncRequest{};
      for (int k = 0; k < 60; ++k) {
        const std::string id = "m" + std::to_string(60 * i + k);
        if (journal.record_accepted(message(id, random() % 1000), 1)) {
          alive[id] = 0;
        } else if (!alive.empty()) {
          ++refused;
          const auto some = std::next(alive.begin(), static_cast<std::ptrdiff_t>(random() % alive.size()));
          if (some->second < 6 && random() % 2 == 0) {
            some->second += journal.record_attempt(some->first, some->second, 1, 0);
          } else {
            journal.record_done(some->first);
            alive.erase(some);
          }
        }
      }
      waited += !journal.has_no_backlog();
      if (out) journal.end_sync(sync, Journal::execute_sync(files, sync));
      if (i % 10 != 9) continue;
      const uint64_t position = journal.written_position();
      for (int rounds = 0; !(journal.is_durable(position) && journal.has_no_backlog()); ++rounds) {
        ASSERT_LT(rounds, 10) << "seed " << seed << " step " << i << ": it stands still";
        journal.compact(4096);
        if (!journal.needs_sync()) continue;
        const Journal::SyncRequest next = journal.begin_sync();
        journal.end_sync(next, Journal::execute_sync(files, next));
      }
    }
    ASSERT_LE(files.max_used_bytes, disk) << "seed " << seed;
  }
  EXPECT_GT(refused, 1000u);
  EXPECT_GT(waited, 100u);
}

TEST(Group, NothingIsDurableBeforeItsSyncHasEnded) {
  MemoryFiles files;
  Journal journal(files, group(100'000, 1));
  EXPECT_FALSE(journal.needs_sync());
  ASSERT_TRUE(journal.record_accepted(message("a", 10), 1));
  const uint64_t first = journal.written_position();
  EXPECT_FALSE(journal.is_durable(first));
  ASSERT_TRUE(journal.needs_sync());
  const Journal::SyncRequest sync = journal.begin_sync();
  ASSERT_TRUE(journal.record_accepted(message("b", 10), 1));
  EXPECT_FALSE(journal.needs_sync()) << "one at a time";
  journal.end_sync(sync, Journal::execute_sync(files, sync));
  EXPECT_TRUE(journal.is_durable(first));
  EXPECT_FALSE(journal.is_durable(journal.written_position())) << "it came while the sync was out";
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

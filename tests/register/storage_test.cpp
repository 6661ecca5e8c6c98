// Storage with a failure or a power loss at every write: durable state must never be lost, in particular a
// vote, which would let the voter vote twice in a term.
#include "register/storage.h"

#include <gtest/gtest.h>

#include <functional>

#include "tests/state/memory_files.h"

namespace umberhoist::reg {
namespace {

using state::MemoryFiles;

struct DurableState {  // of the steps that returned true
  uint64_t term = 0, vote = 0, promises = 0;
  std::vector<StoredEntry> entries;
  uint64_t snapshot = 0;
};

StoredEntry entry(uint64_t index, uint64_t term, const std::string& data) { return {index, term, 1, data}; }

// Operations of a voter in sequence. Each step returns whether its change is durable; the caller stops at the
// first that is not.
struct Scenario {
  std::vector<std::function<bool(Storage&, DurableState&)>> steps;

  Scenario() {
    const auto term = [](uint64_t t) {
      return [t](Storage& s, DurableState& p) {
        if (!s.set_term(t)) return false;
        p.term = t;
        p.vote = 0;
        return true;
      };
    };
    const auto vote = [](uint64_t who) {
      return [who](Storage& s, DurableState& p) {
        if (!s.set_vote(who)) return false;
        p.vote = who;
        return true;
      };
    };
    const auto append = [](uint64_t from, uint64_t t, size_t count) {
      return [=](Storage& s, DurableState& p) {
        std::vector<StoredEntry> all;
        for (uint64_t i = from; i < from + count; ++i) all.push_back(entry(i, t, std::string(i * 40, 'x')));
        if (!s.append(all)) return false;
        p.entries.insert(p.entries.end(), all.begin(), all.end());
        return true;
      };
    };
    const auto truncate = [](uint64_t from) {
      return [=](Storage& s, DurableState& p) {
        if (!s.truncate(from)) return false;
        while (!p.entries.empty() && p.entries.back().index >= from) p.entries.pop_back();
        return true;
      };
    };
    const auto snapshot = [](uint64_t index, uint64_t trailing) {
      return [=](Storage& s, DurableState& p) {
        if (!s.put_snapshot({index, 1, "c", 1, std::string(700, 's')}, trailing)) return false;
        p.snapshot = index;
        while (!p.entries.empty() && (trailing == 0 || p.entries.front().index + trailing <= index))
          p.entries.erase(p.entries.begin());
        return true;
      };
    };
    steps = {[](Storage& s, DurableState&) { return s.initialize(1, Storage::make_identity(2, 1)); },
             term(1),
             append(1, 1, 1),
             vote(Storage::make_identity(3, 1)),
             append(2, 1, 3),
             term(2),
             vote(Storage::make_identity(1, 1)),
             truncate(4),
             append(4, 2, 2),
             snapshot(4, 2),
             append(6, 2, 1),
             term(3),
             vote(Storage::make_identity(2, 1)),
             append(7, 3, 4),
             snapshot(9, 0),
             append(10, 3, 2)};
  }
};

// Checks the folder as the next process reads it: the last step may or may not have taken effect.
void check(MemoryFiles& files, const DurableState& before, const DurableState& after, size_t step,
           const std::string& where) {
  Storage found(files, "n2");
  if (step == 0 && found.folder_state() != Storage::FolderState::kIntact) return;  // nothing was durable yet
  ASSERT_EQ(found.folder_state(), Storage::FolderState::kIntact) << where << ": " << found.diagnostic();
  const auto same = [&](const DurableState& p) {
    return found.term() == p.term && found.voted_for() == p.vote &&
           (found.snapshot() ? found.snapshot()->index : 0) == p.snapshot &&
           std::vector<StoredEntry>(found.entries().begin(), found.entries().end()) == p.entries;
  };
  EXPECT_TRUE(same(before) || same(after))
      << where << ": term " << found.term() << ", vote " << found.voted_for() << ", "
      << found.entries().size() << " entries";
  EXPECT_GE(found.durable_writes(), before.promises) << where;
}

TEST(Storage, AtEveryFailedWriteNothingPromisedIsForgotten) {
  const Scenario scenario;
  MemoryFiles whole;
  {
    Storage storage(whole, "n2");
    DurableState durable;
    for (const auto& step : scenario.steps) ASSERT_TRUE(step(storage, durable));
  }
  const auto changes = static_cast<int64_t>(whole.changes.size());
  ASSERT_GT(changes, 60);
  for (int64_t fail = 0; fail < changes; ++fail) {
    for (const int how : {0, 1, 2}) {
      MemoryFiles files;
      files.fail_from = fail;
      files.fail_after_partial_write = how == 1;
      files.fail_after_full_write = how == 2;
      Storage storage(files, "n2");
      DurableState durable;
      for (size_t i = 0; i < scenario.steps.size(); ++i) {
        DurableState next = durable;
        if (scenario.steps[i](storage, next)) {
          next.promises = storage.durable_writes();
          durable = next;
          continue;
        }
        // The state after the failed step, had it succeeded: from the same step on a working folder.
        MemoryFiles ideal;
        Storage other(ideal, "n2");
        DurableState done;
        for (size_t j = 0; j <= i; ++j) scenario.steps[j](other, done);
        EXPECT_TRUE(storage.failed());
        MemoryFiles found(files.contents());
        check(found, durable, done, i,
              "write " + std::to_string(fail) + " fails in way " + std::to_string(how));
        std::mt19937_64 random(static_cast<uint64_t>(fail));
        for (int loss = 0; loss < 4; ++loss) {
          MemoryFiles lost(files.after_power_loss(random));
          check(lost, durable, done, i, "power lost after write " + std::to_string(fail) + " failed");
        }
        break;
      }
    }
  }
}

TEST(Storage, AtEveryStepAPowerLossLeavesWhatWasPromised) {
  const Scenario scenario;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    MemoryFiles files;
    Storage storage(files, "n2");
    DurableState durable;
    for (size_t i = 0; i < scenario.steps.size(); ++i) {
      ASSERT_TRUE(scenario.steps[i](storage, durable));
      durable.promises = storage.durable_writes();
      MemoryFiles lost(files.after_power_loss(random));
      check(lost, durable, durable, i + 1, "seed " + std::to_string(seed) + ", step " + std::to_string(i));
    }
  }
}

TEST(Storage, AnyByteFlippedIsFoundOrIsOfNoWeight) {
  const Scenario scenario;
  MemoryFiles files;
  DurableState durable;
  {
    Storage storage(files, "n2");
    for (const auto& step : scenario.steps) ASSERT_TRUE(step(storage, durable));
  }
  const auto contents = files.contents();
  for (const auto& [name, bytes] : contents) {
    for (size_t at = 0; at < bytes.size(); ++at) {
      auto changed = contents;
      changed[name][at] ^= 4;
      MemoryFiles flipped(changed);
      Storage found(flipped, "n2");
      if (found.folder_state() == Storage::FolderState::kDamaged) continue;
      EXPECT_EQ(found.term(), durable.term) << name << " at " << at;
      EXPECT_EQ(found.voted_for(), durable.vote);
      EXPECT_EQ(std::vector<StoredEntry>(found.entries().begin(), found.entries().end()), durable.entries);
    }
  }
}

TEST(Storage, AnotherRelaysFolderAndAnEmptyOneAreToldApart) {
  MemoryFiles files;
  EXPECT_EQ(Storage(files, "n2").folder_state(), Storage::FolderState::kEmpty);
  {
    Storage storage(files, "n2");
    ASSERT_TRUE(storage.initialize(1, Storage::make_identity(2, 1)));
  }
  EXPECT_EQ(Storage(files, "n2").folder_state(), Storage::FolderState::kIntact);
  EXPECT_EQ(Storage(files, "n3").folder_state(), Storage::FolderState::kForeign);
}

TEST(Storage, WhatOthersPromisedIsRememberedOverManyStarts) {
  MemoryFiles files;
  for (uint64_t n = 1; n <= 50; ++n) {
    Storage storage(files, "n2");
    EXPECT_EQ(storage.peer_durable_writes(Storage::make_identity(1, 1)), n - 1);
    ASSERT_TRUE(storage.record_peer(Storage::make_identity(1, 1), n));
    ASSERT_TRUE(storage.record_peer(Storage::make_identity(3, 1 + static_cast<uint32_t>(n)), 7));
  }
  Storage storage(files, "n2");
  EXPECT_EQ(storage.newest_identity(3), Storage::make_identity(3, 51));
  EXPECT_EQ(storage.newest_identity(2), 0U);
}

}  // namespace
}  // namespace umberhoist::reg

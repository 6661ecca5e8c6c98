// The memory account against a plain sum, and the division of a limit.
#include "resources/memory_account.h"

#include <gtest/gtest.h>

#include <random>
#include <stdexcept>

namespace umberhoist::resources {
namespace {

constexpr size_t kMegabyte = 1'000'000;

MemoryPlan plan_for(size_t megabytes, size_t disk_megabytes = 3) {
  return plan_memory({megabytes * kMegabyte, disk_megabytes * kMegabyte, 440, 256});
}

TEST(MemoryPlan, ItsPartsFitIntoTheLimit) {
  for (const size_t limit : {14, 16, 24, 32, 48, 64, 192, 2048}) {
    for (const size_t disk : {1, 3, 64, 400}) {
      if (limit < 24 && disk > 3) continue;
      const MemoryPlan plan = plan_for(limit, disk);
      const size_t sockets = 440 * 2 * plan.client_socket_buffer + 256 * 2 * plan.call_send_buffer;
      EXPECT_LT(plan.heap + plan.journal, limit * kMegabyte) << limit << " MB, disk " << disk;
      EXPECT_LE(plan.clients + plan.calls, plan.heap / 2);
      EXPECT_EQ(plan.clients + plan.calls + plan.host_list, plan.heap);
      EXPECT_LT(plan.host_list_text, plan.host_list);
      EXPECT_LE(440 * plan.unpooled_input, plan.heap);
      EXPECT_GT(sockets, 0u);
    }
  }
}

TEST(MemoryPlan, ALimitThatDoesNotSufficeIsRefusedWithTheLeastThatDoes) {
  try {
    plan_for(5);
    FAIL();
  } catch (const std::invalid_argument& error) {
    const std::string text = error.what();
    EXPECT_TRUE(text.starts_with("limits.memory_mb is too small; expected ")) << text;
    const size_t least = std::stoul(text.substr(text.find("expected ") + 9));
    EXPECT_NO_THROW(plan_for(least));
  }
}

TEST(MemoryAccount, NeverGrantsMoreThanItHasWhateverIsAskedFor) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    const MemoryPlan plan = plan_for(16 + random() % 200);
    MemoryAccount account(plan);
    std::vector<std::pair<MemoryUse, size_t>> held;
    size_t sum = 0;
    size_t of_clients = 0;
    const auto is_of_client = [](MemoryUse use) {
      return use == MemoryUse::kClientInput || use == MemoryUse::kClientReplies;
    };
    for (int i = 0; i < 500; ++i) {
      if (random() % 3 == 0 && !held.empty()) {
        const size_t at = random() % held.size();
        account.release(held[at].first, held[at].second);
        sum -= held[at].second;
        if (is_of_client(held[at].first)) of_clients -= held[at].second;
        held.erase(held.begin() + static_cast<std::ptrdiff_t>(at));
        continue;
      }
      const auto use = static_cast<MemoryUse>(random() % static_cast<unsigned>(MemoryUse::kCount));
      const size_t bytes = random() % (plan.heap / 20);
      if (!account.try_reserve(use, bytes)) continue;
      held.emplace_back(use, bytes);
      sum += bytes;
      if (is_of_client(use)) of_clients += bytes;
      ASSERT_LE(sum, plan.heap) << "seed " << seed;
      ASSERT_LE(of_clients, plan.clients) << "seed " << seed;
      ASSERT_EQ(account.total(), sum) << "seed " << seed;
    }
  }
}

TEST(MemoryAccount, MessagesLeaveRoomForClientsAndCalls) {
  const MemoryPlan plan = plan_for(24);
  MemoryAccount account(plan);
  while (account.try_reserve(MemoryUse::kMessages, 64 * 1024)) continue;
  EXPECT_GE(account.held(MemoryUse::kMessages), plan.heap / 2 - 2 * 64 * 1024);
  EXPECT_TRUE(account.try_reserve(MemoryUse::kClientInput, plan.clients));
  EXPECT_LE(account.total() + plan.calls, plan.heap);
}

TEST(MemoryAccount, WhatTheAllocatorMeasuresCountsToo) {
  const MemoryPlan plan = plan_for(24);
  MemoryAccount account(plan);
  account.set_measured(plan.heap);
  EXPECT_FALSE(account.try_reserve(MemoryUse::kMessages, 1));
  account.set_measured(0);
  EXPECT_TRUE(account.try_reserve(MemoryUse::kMessages, 1));
}

TEST(MemoryAccount, TheLogSaysWhenMemoryIsShortAndWhenItIsNotAnyMore) {
  const MemoryPlan plan = plan_for(24);
  MemoryAccount account(plan);
  EXPECT_FALSE(account.take_state_change(0));
  account.add(MemoryUse::kNotices, plan.heap);
  EXPECT_FALSE(account.try_reserve(MemoryUse::kMessages, 1));
  const auto denied = account.take_state_change(1'000'000);
  ASSERT_TRUE(denied);
  EXPECT_TRUE(denied->starts_with("memory: none left for messages: ")) << *denied;
  EXPECT_TRUE(denied->ends_with("by notices")) << *denied;
  EXPECT_FALSE(account.take_state_change(1'500'000));
  const auto enough = account.take_state_change(2'000'000);
  ASSERT_TRUE(enough);
  EXPECT_TRUE(enough->starts_with("memory: enough again, after 1 refusals")) << *enough;
}

}  // namespace
}  // namespace umberhoist::resources

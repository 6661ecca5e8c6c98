// The stream of a watch is split into the same items however it is cut into reads.
#include "members/list_stream_parser.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <random>
#include <vector>

namespace umberhoist::members {
namespace {

using ItemKind = ListStreamParser::ItemKind;

std::vector<ListStreamParser::Item> items_of(const std::string& bytes, size_t max_bytes = 1'000'000) {
  ListStreamParser parser(max_bytes);
  parser.feed(bytes);
  std::vector<ListStreamParser::Item> out;
  for (ListStreamParser::Item item = parser.next(); item.kind != ItemKind::kIncomplete;
       item = parser.next()) {
    out.push_back(item);
    if (item.kind == ItemKind::kMalformed || item.kind == ItemKind::kTooLong) break;
  }
  return out;
}

TEST(ListStreamParser, AListOnOneLineAndEmptyLines) {
  const auto items = items_of("\n{\"a\":[1,{}]}\n\r\n  {\"b\":\"}\\\"{\"}");
  std::vector<std::string> lists;
  size_t keep_alives = 0;
  for (const auto& item : items) {
    if (item.kind == ItemKind::kList) lists.push_back(item.text.substr(item.text.find('{')));
    keep_alives += item.kind == ItemKind::kKeepAlive;
  }
  EXPECT_EQ(lists, (std::vector<std::string>{"{\"a\":[1,{}]}", "{\"b\":\"}\\\"{\"}"}));
  EXPECT_EQ(keep_alives, 3u);
}

TEST(ListStreamParser, AListThatBreaksOffDoesNotSwallowWhatFollows) {
  for (const std::string truncated :
       {"{\"revision\":4", "{\"revision\":", "{\"members\":[{", "{\"id\":\"s-"}) {
    const auto items = items_of(truncated + "\n\n{}\n");
    ASSERT_FALSE(items.empty()) << truncated;
    EXPECT_EQ(items.back().kind, ItemKind::kMalformed) << truncated;
  }
}

TEST(ListStreamParser, WhatCanBeNoListIsToldAtOnce) {
  for (const std::string bytes : {"x", "[1]", "\"text\"", "null", "}", "\x16\x03"}) {
    const auto items = items_of(bytes);
    ASSERT_EQ(items.size(), 1u) << bytes;
    EXPECT_EQ(items.front().kind, ItemKind::kMalformed) << bytes;
  }
}

TEST(ListStreamParser, AListIsBounded) {
  const std::string unterminated = "{\"a\":\"" + std::string(2000, 'x');
  EXPECT_EQ(items_of(unterminated, 1000).back().kind, ItemKind::kTooLong);
  EXPECT_EQ(items_of("{" + std::string(2000, ' '), 1000).back().kind, ItemKind::kTooLong);
  EXPECT_TRUE(items_of("{\"a\":\"" + std::string(500, 'x'), 1000).empty());
}

nlohmann::json random_value(std::mt19937_64& random, int depth) {
  switch (random() % (depth > 0 ? 6 : 4)) {
    case 0:
      return static_cast<int>(random() % 1000) - 500;
    case 1: {
      std::string text;
      for (size_t i = random() % 8; i > 0; --i) text += "{}[]\"\\\n, a"[random() % 10];
      return text;
    }
    case 2:
      return nullptr;
    case 3:
      return random() % 2 == 0;
    case 4: {
      nlohmann::json out = nlohmann::json::array();
      for (size_t i = random() % 4; i > 0; --i) out.push_back(random_value(random, depth - 1));
      return out;
    }
    default: {
      nlohmann::json out = nlohmann::json::object();
      for (size_t i = random() % 4; i > 0; --i) {
        out["k" + std::to_string(random() % 9)] = random_value(random, depth - 1);
      }
      return out;
    }
  }
}

// The expected result is the sequence of objects written, with random indentation and empty lines in between.
TEST(ListStreamParser, RandomListsInRandomPiecesAreTheListsThatWereWritten) {
  for (uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<nlohmann::json> written;
    std::string bytes;
    for (size_t i = random() % 5; i > 0; --i) {
      written.push_back({{"revision", i}, {"members", random_value(random, 4)}});
      bytes += written.back().dump(static_cast<int>(random() % 6) - 1) + (random() % 3 == 0 ? "\r\n" : "\n");
      for (size_t empty = random() % 3; empty > 0; --empty) bytes += "\n";
    }
    ListStreamParser parser(1'000'000);
    std::vector<nlohmann::json> read;
    for (size_t from = 0; from < bytes.size();) {
      const size_t count = 1 + random() % 40;
      parser.feed(bytes.substr(from, count));
      from += count;
      for (ListStreamParser::Item item = parser.next(); item.kind != ItemKind::kIncomplete;
           item = parser.next()) {
        ASSERT_NE(item.kind, ItemKind::kMalformed) << bytes;
        ASSERT_NE(item.kind, ItemKind::kTooLong) << bytes;
        if (item.kind == ItemKind::kList) read.push_back(nlohmann::json::parse(item.text));
      }
    }
    EXPECT_EQ(read, written) << "seed " << seed;
  }
}

// On random bytes the parser always terminates: each call consumes input or reports that there is none.
TEST(ListStreamParser, NoiseIsEitherWordsOrSpoilt) {
  for (uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    std::string bytes;
    for (size_t i = random() % 200; i > 0; --i) bytes += "{}[]\"\\\n\r ,x"[random() % 11];
    EXPECT_LE(items_of(bytes, 100).size(), bytes.size());
  }
}

}  // namespace
}  // namespace umberhoist::members

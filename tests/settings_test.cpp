#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

#include "firspool/policy.h"

namespace firspool {
namespace {

const char kSettingsText[] =
    "categories.count=2\n"
    "categories.0.name=update\n"
    "categories.0.semantics=keyed\n"
    "categories.0.key_scope=zone\n"
    "categories.0.key_ttl_s=15.0\n"
    "categories.0.target_s=2.0\n"
    "categories.0.give_up_s=16.0\n"
    "categories.0.worth=2.0\n"
    "categories.0.late_worth=0.3\n"
    "categories.1.semantics=unsafe\n"
    "categories.1.in_order=true\n"
    "categories.1.target_s=4.0\n"
    "categories.1.give_up_s=20.0\n"
    "kinds=large,small\n"
    "family_info.kind_apart=true,false\n"
    "family_info.kind_batch=1,5\n"
    "family_info.calls_out=10\n"
    "family_info.late=halves\n"
    "bounds.open_cap=359\n"
    "bounds.max_attempts=6\n"
    "bounds.may_probe=true\n"
    "discovery=ask\n"
    "weights=nominal\n"
    "telemetry.fields=x0,x1\n"
    "obligations.cold_s=12.0\n"
    "obligations.fall_multiple=2.0\n"
    "obligations.start_capacity=0.21\n"
    "realms.count=1\n"
    "realms.0.name=umurage\n"
    "realms.0.quota_per_s=7.5\n"
    "a.key.of.later=whatever\n";

std::string without(const std::string& key) {
  std::string text = kSettingsText;
  const size_t at = text.find(key + "=");
  return text.erase(at, text.find('\n', at) - at + 1);
}

std::string error_of(const std::string& text) {
  try {
    parse_settings(text);
  } catch (const std::invalid_argument& error) {
    return error.what();
  }
  return "";
}

TEST(Settings, ReadsAllFields) {
  const Settings s = parse_settings(kSettingsText);
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_EQ(s.classes[0].effect, Effect::kKeyed);
  EXPECT_EQ(s.classes[0].key_scope, KeyScope::kZone);
  EXPECT_EQ(s.classes[0].key_window, 15'000'000);
  EXPECT_EQ(s.classes[1].effect, Effect::kUnsafe);
  EXPECT_TRUE(s.classes[1].in_order);
  ASSERT_EQ(s.kinds.size(), 2u);
  EXPECT_TRUE(s.kinds[0].independent_endpoints);
  EXPECT_EQ(s.kinds[1].max_batch, 5);
  EXPECT_EQ(s.slots, 10);
  EXPECT_EQ(s.max_open, 359);
  EXPECT_TRUE(s.exponential_late_worth);
  EXPECT_TRUE(s.list_requires_watch);
  EXPECT_EQ(s.weights, Weights::kNominal);
  EXPECT_EQ(s.report_remaining_index, 0);
  EXPECT_EQ(s.report_limit_index, 1);
  EXPECT_EQ(s.slow_start, 12'000'000);
  EXPECT_DOUBLE_EQ(s.start_capacity, 0.21);
  ASSERT_EQ(s.tenants.size(), 1u);
  EXPECT_DOUBLE_EQ(s.tenants[0].quota_per_s, 7.5);
}

TEST(Settings, NamesTheKeyThatIsMissing) {
  for (const std::string key :
       {"categories.count", "categories.0.semantics", "categories.0.key_ttl_s", "categories.1.target_s",
        "family_info.calls_out", "bounds.open_cap", "bounds.max_attempts"}) {
    EXPECT_NE(error_of(without(key)).find(key), std::string::npos) << key;
  }
}

TEST(Settings, NamesTheKeyThatIsUnreadable) {
  EXPECT_NE(error_of(std::string(kSettingsText) + "bounds.open_cap=many\n").find("bounds.open_cap"),
            std::string::npos);
  EXPECT_NE(error_of(std::string(kSettingsText) + "categories.count=0\n").find("categories.count"),
            std::string::npos);
  EXPECT_NE(error_of(std::string(kSettingsText) + "obligations.cold_s=-1\n").find("obligations.cold_s"),
            std::string::npos);
  EXPECT_NE(
      error_of(std::string(kSettingsText) + "categories.0.semantics=odd\n").find("categories.0.semantics"),
      std::string::npos);
}

TEST(Settings, NamesTheKeyThatIsOutOfItsRange) {
  for (const char* line : {"obligations.start_capacity=1.5", "obligations.start_capacity=-0.1", "siblings=0",
                           "obligations.fall_multiple=-1", "obligations.fall_multiple=nan",
                           "over_share_worth=2", "bounds.max_attempts=0", "family_info.calls_out=0"}) {
    const std::string key(line, std::string(line).find('='));
    EXPECT_EQ(error_of(std::string(kSettingsText) + line + "\n"), "setting " + key + " is unreadable")
        << line;
  }
}

TEST(Settings, UnknownKeysAreIgnored) {
  EXPECT_EQ(error_of(std::string(kSettingsText) + "x.y=1\nno_equals\n"), "");
}

}  // namespace
}  // namespace firspool

#include "shards/map.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <sstream>

#include "state/toml.h"

namespace umberhoist::shards {
namespace {

class Parser {
 public:
  std::variant<Map, std::vector<ValidationError>> run(std::string_view text) {
    try {
      read(state::parse_toml(text));
    } catch (const toml::parse_error& error) {
      std::string what(error.description());
      add_error(static_cast<int>(error.source().begin.line), what);
    }
    if (!errors_.empty()) {
      std::stable_sort(errors_.begin(), errors_.end(),
                       [](const ValidationError& a, const ValidationError& b) { return a.line < b.line; });
      return errors_;
    }
    return map_;
  }

 private:
  static int line(const toml::node& node) { return static_cast<int>(node.source().begin.line); }
  void add_error(int at, std::string what) { errors_.push_back({at, std::move(what)}); }

  void read(const toml::table& root) {
    for (const auto& [key, value] : root) {
      if (key != "epoch" && key != "hash" && key != "range") {
        add_error(line(value), "'" + std::string(key) + "' is not known; expected epoch, hash and range");
      }
    }
    const auto* epoch = root.get("epoch");
    const auto number = epoch == nullptr ? std::nullopt : epoch->value_exact<int64_t>();
    if (!number || *number < 1) {
      add_error(epoch == nullptr ? 0 : line(*epoch),
                "epoch is missing or wrong; expected a whole number from 1");
    } else {
      map_.epoch = static_cast<uint64_t>(*number);
      map_.epoch_line = line(*epoch);
    }
    const auto* hash = root.get("hash");
    const auto name = hash == nullptr ? std::nullopt : hash->value_exact<std::string>();
    if (!name) {
      add_error(hash == nullptr ? 0 : line(*hash), "hash is missing or wrong; expected \"xxh64\"");
    } else {
      map_.hash = *name;
      map_.hash_line = line(*hash);
    }
    const auto* ranges = root.get("range");
    if (ranges == nullptr || !ranges->is_array_of_tables()) {
      return add_error(ranges == nullptr ? 0 : line(*ranges), "no range; expected tables [[range]]");
    }
    if (ranges->as_array()->size() > kMaxRanges) {
      return add_error(line(*ranges), std::to_string(ranges->as_array()->size()) +
                                          " ranges; expected at most " + std::to_string(kMaxRanges));
    }
    for (const auto& item : *ranges->as_array()) range(*item.as_table());
  }

  void range(const toml::table& table) {
    Range out;
    out.line = line(table);
    for (const auto& [key, value] : table) {
      if (key != "first" && key != "last" && key != "owner") {
        add_error(line(value), "'" + std::string(key) + "' is not known; expected first, last and owner");
      }
    }
    bound(table, "first", out.first);
    bound(table, "last", out.last);
    const auto* owner = table.get("owner");
    const auto name = owner == nullptr ? std::nullopt : owner->value_exact<std::string>();
    if (!name || name->empty() || name->size() > kMaxNameBytes || !state::is_printable_ascii(*name)) {
      add_error(owner == nullptr ? out.line : line(*owner),
                "owner is missing or wrong; expected a name of 1 to " + std::to_string(kMaxNameBytes) +
                    " plain letters");
    } else {
      out.owner = *name;
    }
    map_.ranges.push_back(std::move(out));
  }

  void bound(const toml::table& table, const char* key, Key& to) {
    const auto* node = table.get(key);
    const auto text = node == nullptr ? std::nullopt : node->value_exact<std::string>();
    if (text && text->size() == 16) {
      const auto [end, error] = std::from_chars(text->data(), text->data() + 16, to, 16);
      if (error == std::errc() && end == text->data() + 16) return;
    }
    add_error(node == nullptr ? line(table) : line(*node),
              std::string(key) + " is missing or wrong; expected 16 hexadecimal digits in quotes");
  }

  Map map_;
  std::vector<ValidationError> errors_;
};

std::string quoted(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    if (static_cast<unsigned char>(c) >= 0x20 && c != 0x7f) {
      out += c;
      continue;
    }
    char raw[8];
    std::snprintf(raw, sizeof raw, "\\u%04x", static_cast<unsigned>(c));
    out += raw;
  }
  return out + "\"";
}

}  // namespace

Key key_of(int64_t destination) {
  unsigned char raw[8];
  for (int i = 0; i < 8; ++i) {
    raw[i] = static_cast<unsigned char>(static_cast<uint64_t>(destination) >> (8 * i));
  }
  return XXH64(raw, sizeof raw, 0);
}

const Range* find_range(const Map& map, Key key) {
  const auto after = std::upper_bound(map.ranges.begin(), map.ranges.end(), key,
                                      [](Key k, const Range& range) { return k < range.first; });
  if (after == map.ranges.begin()) return nullptr;
  const Range& range = *std::prev(after);
  return key <= range.last ? &range : nullptr;
}

std::string hex(Key key) {
  char raw[17];
  std::snprintf(raw, sizeof raw, "%016llx", static_cast<unsigned long long>(key));
  return raw;
}

std::variant<Map, std::vector<ValidationError>> parse_map(std::string_view toml) {
  return Parser().run(toml);
}

std::string to_toml(const Map& map) {
  std::ostringstream out;
  out << "epoch = " << map.epoch << "\nhash = " << quoted(map.hash) << "\n";
  for (const Range& range : map.ranges) {
    out << "\n[[range]]\nfirst = \"" << hex(range.first) << "\"\nlast = \"" << hex(range.last)
        << "\"\nowner = " << quoted(range.owner) << "\n";
  }
  return out.str();
}

}  // namespace umberhoist::shards

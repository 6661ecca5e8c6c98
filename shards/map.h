// Shard map: which relay owns which destinations. A 64-bit key space is divided into ranges, each with one
// owner; an epoch numbers the map. Plain values, their TOML form, and the key of a destination. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace umberhoist::shards {

using Key = uint64_t;

inline constexpr std::string_view kHash =
    "xxh64";                          // the only hash so far; every map names it, so that another can follow
constexpr size_t kMaxRanges = 4096;   // in one map; a file with more is refused
constexpr size_t kMaxNameBytes = 64;  // of an owner

struct Range {  // both ends inclusive
  Key first = 0;
  Key last = 0;
  std::string owner;
  int line = 0;  // in the source file; 0: not read from a file
  bool operator==(const Range& other) const {
    return first == other.first && last == other.last && owner == other.owner;
  }
};

struct Map {
  uint64_t epoch = 0;
  std::string hash{kHash};
  std::vector<Range> ranges;
  int epoch_line = 0;
  int hash_line = 0;
  bool operator==(const Map& other) const {
    return epoch == other.epoch && hash == other.hash && ranges == other.ranges;
  }
};

// One error: what is wrong and what was expected.
struct ValidationError {
  int line = 0;  // in the source file; 0: no particular line
  std::string message;
  bool operator==(const ValidationError&) const = default;
};

// XXH64, seed 0, of the destination's number as eight little-endian bytes.
Key key_of(int64_t destination);

// The range that holds the key, or nullptr. The map must be valid.
const Range* find_range(const Map& map, Key key);

std::string hex(Key key);  // sixteen digits

// Returns all errors in the form of the file, sorted by line. validate() checks the content of the ranges.
std::variant<Map, std::vector<ValidationError>> parse_map(std::string_view toml);
std::string to_toml(const Map& map);

}  // namespace umberhoist::shards

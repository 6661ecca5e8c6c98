// Which relay answers for which destination: ranges of a 64-bit key space, each with one owner, under an
// epoch. Plain values, their TOML, and the place of a destination in the space. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace umberhoist::shards {

using Key = uint64_t;

inline constexpr std::string_view kHash = "xxh64";  // the only one so far; named in every map all the same
constexpr size_t kMaxRanges = 4096;                 // of one map: a longer file is refused as a whole
constexpr size_t kMaxNameBytes = 64;                // bytes of an owner's name

struct Range {  // both ends inside
  Key first = 0;
  Key last = 0;
  std::string owner;
  int line = 0;  // of the file that it was read from; 0: none
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

// One thing that is wrong, where, and what was expected.
struct ValidationError {
  int line = 0;  // of the file; 0: of no line in particular
  std::string message;
  bool operator==(const ValidationError&) const = default;
};

// XXH64, seed 0, of the destination's number as eight bytes, least first.
Key key_of(int64_t destination);

// Who owns it in a map that validates; nothing if no range holds it.
const Range* find_range(const Map& map, Key key);

std::string hex(Key key);  // sixteen digits

// All that is wrong with the form of the file is told at once, by line. What the ranges say is the
// validator's matter.
std::variant<Map, std::vector<ValidationError>> parse_map(std::string_view toml);
std::string to_toml(const Map& map);

}  // namespace umberhoist::shards

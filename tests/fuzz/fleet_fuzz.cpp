// libFuzzer target for everything that the fleet layer reads from files and from other relays. The first byte
// selects the parser; what parses completely has to be the same after writing and parsing it again.
#include <cstdlib>
#include <string>

#include "fleet/config.h"
#include "fleet/links.h"
#include "freeze/calendar.h"
#include "register/machine.h"
#include "register/storage.h"
#include "shards/validate.h"

namespace {

void require(bool condition) {
  if (!condition) std::abort();
}

void fuzz_map(const std::string& text) {
  using namespace umberhoist::shards;
  const auto parsed = parse_map(text);
  const auto* map = std::get_if<Map>(&parsed);
  if (map == nullptr) return;
  const auto again = parse_map(to_toml(*map));
  require(std::holds_alternative<Map>(again) && std::get<Map>(again) == *map);
  if (!validate(*map, {}).empty()) return;
  // In a valid map both ends of a range are found in that range, and every key has an owner.
  for (const Range& range : map->ranges) {
    require(find_range(*map, range.first) == &range && find_range(*map, range.last) == &range);
  }
  require(find_range(*map, 0) != nullptr && find_range(*map, UINT64_MAX) != nullptr);
}

void fuzz_calendar(const std::string& text) {
  using namespace umberhoist;
  const auto parsed = freeze::parse_calendar(text);
  const auto* calendar = std::get_if<freeze::Calendar>(&parsed);
  if (calendar == nullptr) return;
  require(reg::from_pb(reg::to_pb(*calendar)) == *calendar);
  for (const freeze::Window& window : calendar->windows) {
    for (const freeze::ChangeKind kind : freeze::kChangeKinds) {
      if (!window.change_kinds.empty() && !window.change_kinds.contains(kind)) continue;
      require(freeze::evaluate(*calendar, {kind, {}}, {window.start, window.start}).closed);
      require(freeze::evaluate(*calendar, {kind, {}}, {window.end - 1, window.end + 5}).closed);
    }
  }
}

void fuzz_storage(const std::string& text) {
  using namespace umberhoist::reg;
  size_t at = 0;
  while (const auto payload = read_storage_frame(text, at, kMaxEntryBytes)) {
    require(at <= text.size());
    if (const auto entry = decode_entry(*payload)) require(encode_entry(*entry) == *payload);
    if (const auto snapshot = decode_snapshot(*payload)) require(encode_snapshot(*snapshot) == *payload);
  }
  // Also as a payload by itself, without the checksum.
  if (const auto entry = decode_entry(text)) require(encode_entry(*entry) == text);
  if (const auto snapshot = decode_snapshot(text)) require(encode_snapshot(*snapshot) == text);
  size_t offset = 0;
  require(read_storage_frame(encode_storage_frame(text), offset, text.size()) == text);
}

void fuzz_frames(std::string bytes) {
  bool bad = false;
  while (const auto frame = umberhoist::fleet::decode_frame(bytes, bad)) {
    std::string packed = umberhoist::fleet::encode_frame(*frame);
    const auto again = umberhoist::fleet::decode_frame(packed, bad);
    require(again && packed.empty());
  }
}

void fuzz_machine(const std::string& bytes) {
  // Applies commands one after the other, as a log might contain them: no crash, and the same state each
  // time.
  umberhoist::reg::StateMachine one({}), other({});
  uint64_t index = 0;
  size_t at = 0;
  while (at < bytes.size()) {
    const size_t size = std::min<size_t>(static_cast<unsigned char>(bytes[at]), bytes.size() - at - 1);
    umberhoist::register_pb::Command command;
    if (!command.ParseFromArray(bytes.data() + at + 1, static_cast<int>(size))) command.Clear();
    ++index;
    require(one.apply(index, command).applied == other.apply(index, command).applied);
    at += size + 1;
  }
  require(one.digest() == other.digest());
  umberhoist::reg::StateMachine restored({});
  restored.restore(one.state());
  require(restored.digest() == one.digest());
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) return 0;
  const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 6) {
    case 0:
      fuzz_map(text);
      break;
    case 1:
      fuzz_calendar(text);
      break;
    case 2:
      fuzz_storage(text);
      break;
    case 3:
      fuzz_frames(text);
      break;
    case 4:
      fuzz_machine(text);
      break;
    case 5:
      try {
        umberhoist::fleet::parse_config(text, "fleet.toml");
      } catch (const std::invalid_argument&) {
      }
      break;
  }
  return 0;
}

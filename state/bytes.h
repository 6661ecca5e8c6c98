// Serialization of numbers and strings. Numbers are in the machine's byte order, which is little-endian on
// all supported platforms. A string is preceded by its length, whose width depends on the format.
#pragma once

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

namespace umberhoist::state {

class ByteWriter {
 public:
  template <class Number>
  ByteWriter& write_number(Number value) {
    char raw[sizeof value];
    std::memcpy(raw, &value, sizeof value);
    out_.append(raw, sizeof raw);
    return *this;
  }
  ByteWriter& write_string(std::string_view value) {  // shorter than 64 KiB: the length takes 16 bits
    write_number(static_cast<uint16_t>(value.size()));
    return write_bytes(value);
  }
  ByteWriter& write_bytes(std::string_view value) {
    out_.append(value);
    return *this;
  }
  std::string take() { return std::move(out_); }

 private:
  std::string out_;
};

// After a read past the end, ok() is false and all further reads return zeros and empty strings.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : bytes_(bytes) {}
  template <class Number>
  Number read_number() {
    Number value{};
    const auto raw = consume(sizeof value);
    if (ok_) std::memcpy(&value, raw.data(), sizeof value);
    return value;
  }
  template <class Length = uint16_t>
  std::string read_string() {
    const Length size = read_number<Length>();
    return std::string(consume(size < Length{0} ? bytes_.size() + 1 : static_cast<size_t>(size)));
  }
  std::string read_rest() { return std::string(consume(bytes_.size())); }
  bool ok() const { return ok_; }
  bool at_end() const { return ok_ && bytes_.empty(); }

 private:
  std::string_view consume(size_t count) {
    if (!ok_ || count > bytes_.size()) {
      ok_ = false;
      return {};
    }
    const auto out = bytes_.substr(0, count);
    bytes_.remove_prefix(count);
    return out;
  }

  std::string_view bytes_;
  bool ok_ = true;
};

}  // namespace umberhoist::state

// Numbers and texts in a row of bytes, written and taken apart again. Little-endian, as all machines that it
// is built for; a text has its length before it, in as many bytes as the format at hand says.
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
  ByteWriter& write_string(std::string_view value) {  // up to 64 KiB
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

// Once something was not there, it is not good, and all that is read further is empty.
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

// Numbers and texts in a row of bytes, written and taken apart again. Little-endian, as all machines that it
// is built for; a text has its length before it, in as many bytes as the format at hand says.
#pragma once

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

namespace umberhoist::state {

class Writer {
 public:
  template <class Number>
  Writer& number(Number value) {
    char raw[sizeof value];
    std::memcpy(raw, &value, sizeof value);
    out_.append(raw, sizeof raw);
    return *this;
  }
  Writer& text(std::string_view value) {  // up to 64 KiB
    number(static_cast<uint16_t>(value.size()));
    return rest(value);
  }
  Writer& rest(std::string_view value) {
    out_.append(value);
    return *this;
  }
  std::string take() { return std::move(out_); }

 private:
  std::string out_;
};

// Once something was not there, it is not good, and all that is read further is empty.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}
  template <class Number>
  Number number() {
    Number value{};
    const auto raw = take(sizeof value);
    if (good_) std::memcpy(&value, raw.data(), sizeof value);
    return value;
  }
  template <class Length = uint16_t>
  std::string text() {
    const Length size = number<Length>();
    return std::string(take(size < Length{0} ? bytes_.size() + 1 : static_cast<size_t>(size)));
  }
  std::string rest() { return std::string(take(bytes_.size())); }
  bool good() const { return good_; }
  bool all() const { return good_ && bytes_.empty(); }

 private:
  std::string_view take(size_t count) {
    if (!good_ || count > bytes_.size()) {
      good_ = false;
      return {};
    }
    const auto out = bytes_.substr(0, count);
    bytes_.remove_prefix(count);
    return out;
  }

  std::string_view bytes_;
  bool good_ = true;
};

}  // namespace umberhoist::state

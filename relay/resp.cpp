#include "resp.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace firspool::relay {
namespace {

constexpr size_t kMaxDigits = 7;

// Reads "<type><number>\r\n" at `position` and moves past it; nothing if it is incomplete.
std::optional<size_t> read_header(std::string_view bytes, size_t& position, char type) {
  if (position == bytes.size()) return {};
  if (bytes[position] != type) throw RespError(std::string("expected '") + type + "'");
  const size_t end = bytes.find("\r\n", position);
  if (end == std::string_view::npos ? bytes.size() - position > kMaxDigits + 2
                                    : end - position > kMaxDigits + 1) {
    throw RespError("length is too long");
  }
  if (end == std::string_view::npos) return {};
  size_t value = 0;
  const char* last = bytes.data() + end;
  const auto [stop, error] = std::from_chars(bytes.data() + position + 1, last, value);
  if (error != std::errc() || stop != last) throw RespError("length is not a number");
  position = end + 2;
  return value;
}

}  // namespace

// Erases returned commands once per read and not once per command: one read may bring hundreds. The buffer
// grows to what is needed, not to twice that.
void RespParser::feed(std::string_view bytes, size_t capacity) {
  const size_t needed = std::max(capacity, size() + bytes.size());
  if (needed <= buffer_.capacity()) {
    buffer_.erase(0, std::exchange(consumed_, 0));
    buffer_.append(bytes);
    return;
  }
  std::string grown;
  grown.reserve(needed);
  grown.append(buffer_, consumed_).append(bytes);
  buffer_.swap(grown);
  consumed_ = 0;
}

std::optional<std::vector<std::string>> RespParser::next() {
  const std::string_view bytes = std::string_view(buffer_).substr(consumed_);
  size_t position = 0;
  expected_size_ = 0;
  const auto count = read_header(bytes, position, '*');
  if (!count) return {};
  if (*count == 0 || *count > kMaxWords) throw RespError("number of words is out of range");
  std::vector<std::string_view> words;
  while (words.size() < *count) {
    const auto length = read_header(bytes, position, '$');
    if (!length) return {};
    if (*length > kMaxWordBytes || position + *length > kMaxCommandBytes) throw RespError("word is too long");
    if (bytes.size() < position + *length + 2) {
      expected_size_ = position + *length + 2;
      return {};
    }
    words.push_back(bytes.substr(position, *length));
    if (bytes.substr(position + *length, 2) != "\r\n") throw RespError("word does not end where it should");
    position += *length + 2;
  }
  std::vector<std::string> out(words.begin(), words.end());
  consumed_ += position;
  if (empty()) {  // frees the buffer, so that idle connections hold no memory
    std::string().swap(buffer_);
    consumed_ = 0;
  }
  return out;
}

}  // namespace firspool::relay

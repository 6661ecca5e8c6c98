#include "resp.h"

#include <charconv>
#include <utility>

namespace firspool::relay {
namespace {

constexpr size_t kMostDigits = 7;

// Reads "<mark><number>\r\n" at `at` and moves past it; nothing if it is not all there yet.
std::optional<size_t> header(std::string_view bytes, size_t& at, char mark) {
  if (at == bytes.size()) return {};
  if (bytes[at] != mark) throw RespError(std::string("expected '") + mark + "'");
  const size_t end = bytes.find("\r\n", at);
  if (end == std::string_view::npos ? bytes.size() - at > kMostDigits + 2 : end - at > kMostDigits + 1) {
    throw RespError("length is too long");
  }
  if (end == std::string_view::npos) return {};
  size_t value = 0;
  const char* last = bytes.data() + end;
  const auto [stop, error] = std::from_chars(bytes.data() + at + 1, last, value);
  if (error != std::errc() || stop != last) throw RespError("length is not a number");
  at = end + 2;
  return value;
}

}  // namespace

// What was returned goes once for all commands of a read: hundreds may come at once.
void RespParser::feed(std::string_view bytes) {
  buffer_.erase(0, std::exchange(read_, 0));
  buffer_.append(bytes);
}

std::optional<std::vector<std::string>> RespParser::next() {
  const std::string_view bytes = std::string_view(buffer_).substr(read_);
  size_t at = 0;
  const auto count = header(bytes, at, '*');
  if (!count) return {};
  if (*count == 0 || *count > kMaxWords) throw RespError("number of words is out of range");
  std::vector<std::string_view> words;
  while (words.size() < *count) {
    const auto length = header(bytes, at, '$');
    if (!length) return {};
    if (*length > kMaxWordBytes || at + *length > kMaxCommandBytes) throw RespError("word is too long");
    if (bytes.size() < at + *length + 2) return {};
    words.push_back(bytes.substr(at, *length));
    if (bytes.substr(at + *length, 2) != "\r\n") throw RespError("word does not end where it should");
    at += *length + 2;
  }
  std::vector<std::string> out(words.begin(), words.end());
  read_ += at;
  if (empty()) {  // a connection that is idle keeps no large buffer
    std::string().swap(buffer_);
    read_ = 0;
  }
  return out;
}

}  // namespace firspool::relay

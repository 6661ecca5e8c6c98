// Incremental parser of RESP2 requests, which are arrays of bulk strings.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace firspool::relay {

class RespError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class RespParser {
 public:
  static constexpr size_t kMaxWords = 16;
  static constexpr size_t kMaxWordBytes = 64 * 1024;  // the largest body
  static constexpr size_t kMaxCommandBytes = kMaxWordBytes + 8 * 1024;

  // Keeps room for `capacity` bytes, if that is more than there are.
  void feed(std::string_view bytes, size_t capacity = 0);

  // Returns the next complete command, or nothing if more bytes are needed. Throws RespError on a protocol
  // error.
  std::optional<std::vector<std::string>> next();

  bool empty() const { return consumed_ == buffer_.size(); }
  size_t size() const { return buffer_.size() - consumed_; }  // bytes that were not returned yet
  size_t capacity() const { return buffer_.capacity(); }
  // Size of the command that has begun, as far as it is known; 0: none was found incomplete.
  size_t expected_size() const { return expected_size_; }

 private:
  std::string buffer_;
  size_t expected_size_ = 0;
  size_t consumed_ = 0;  // bytes at the front of buffer_ that were returned already
};

}  // namespace firspool::relay

// RESP2 requests: arrays of bulk strings, read piece by piece.
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

  void feed(std::string_view bytes);

  // The next whole command; nothing if more bytes are needed. Throws RespError on what is no command.
  std::optional<std::vector<std::string>> next();

  bool empty() const { return consumed_ == buffer_.size(); }

 private:
  std::string buffer_;
  size_t consumed_ = 0;  // what stands before it was returned
};

}  // namespace firspool::relay

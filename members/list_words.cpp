#include "members/list_words.h"

#include <utility>

namespace umberhoist::members {

ListWords::Word ListWords::cut(Kind kind) {
  Word out{kind, kind == Kind::kList ? bytes_.substr(0, at_) : std::string()};
  bytes_.erase(0, at_);
  at_ = 0;
  return out;
}

ListWords::Word ListWords::next() {
  while (at_ < bytes_.size()) {
    const char byte = bytes_[at_++];
    if (quoted_) {
      if (byte == '\n') return cut(Kind::kSpoilt);  // JSON has no line's end within a string
      if (!std::exchange(escaped_, false)) {
        escaped_ = byte == '\\';
        quoted_ = byte != '"';
      }
      continue;
    }
    if (byte == '\n') {
      const bool empty = std::exchange(empty_line_, true);
      if (depth_ == 0) return cut(Kind::kAlive);
      if (empty) return cut(Kind::kSpoilt);  // an empty line stands between lists: this one broke off
      continue;
    }
    if (byte == ' ' || byte == '\t' || byte == '\r') continue;
    empty_line_ = false;
    if (byte == '{' || (byte == '[' && depth_ > 0)) {
      ++depth_;
    } else if (depth_ == 0) {
      return cut(Kind::kSpoilt);
    } else if (byte == '"') {
      quoted_ = true;
    } else if ((byte == '}' || byte == ']') && --depth_ == 0) {
      return cut(Kind::kList);
    }
    if (at_ > most_) return cut(Kind::kSpoilt);
  }
  if (bytes_.size() > most_) return cut(Kind::kSpoilt);
  return {};
}

}  // namespace umberhoist::members

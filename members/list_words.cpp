#include "members/list_words.h"

#include <utility>

namespace umberhoist::members {

ListStreamParser::Item ListStreamParser::cut(ItemKind kind) {
  Item out{kind, kind == ItemKind::kList ? bytes_.substr(0, at_) : std::string()};
  bytes_.erase(0, at_);
  at_ = 0;
  return out;
}

ListStreamParser::Item ListStreamParser::next() {
  while (at_ < bytes_.size()) {
    const char byte = bytes_[at_++];
    if (quoted_) {
      if (byte == '\n') return cut(ItemKind::kMalformed);  // JSON has no line's end within a string
      if (!std::exchange(escaped_, false)) {
        escaped_ = byte == '\\';
        quoted_ = byte != '"';
      }
      continue;
    }
    if (byte == '\n') {
      const bool empty = std::exchange(empty_line_, true);
      if (depth_ == 0) return cut(ItemKind::kKeepAlive);
      if (empty) return cut(ItemKind::kMalformed);  // an empty line stands between lists: this one broke off
      continue;
    }
    if (byte == ' ' || byte == '\t' || byte == '\r') continue;
    empty_line_ = false;
    if (byte == '{' || (byte == '[' && depth_ > 0)) {
      ++depth_;
    } else if (depth_ == 0) {
      return cut(ItemKind::kMalformed);
    } else if (byte == '"') {
      quoted_ = true;
    } else if ((byte == '}' || byte == ']') && --depth_ == 0) {
      return cut(ItemKind::kList);
    }
    if (at_ > most_) return cut(ItemKind::kMalformed);
  }
  if (bytes_.size() > most_) return cut(ItemKind::kMalformed);
  return {};
}

}  // namespace umberhoist::members

#include "members/list_stream_parser.h"

#include <utility>

namespace umberhoist::members {

ListStreamParser::Item ListStreamParser::take_item(ItemKind kind) {
  std::string rest = bytes_.substr(position_);
  Item out{kind, {}};
  if (kind == ItemKind::kList) {
    out.text = std::move(bytes_);
    out.text.resize(position_);
  }
  bytes_ = std::move(rest);
  position_ = 0;
  return out;
}

ListStreamParser::Item ListStreamParser::next() {
  while (position_ < bytes_.size()) {
    const char byte = bytes_[position_++];
    if (in_string_) {
      if (byte == '\n') return take_item(ItemKind::kMalformed);  // JSON strings contain no raw line breaks
      if (!std::exchange(escaped_, false)) {
        escaped_ = byte == '\\';
        in_string_ = byte != '"';
      }
      continue;
    }
    if (byte == '\n') {
      const bool was_blank = std::exchange(is_line_blank_, true);
      if (depth_ == 0) return take_item(ItemKind::kKeepAlive);
      if (was_blank)
        return take_item(ItemKind::kMalformed);  // an empty line separates lists: this one is truncated
      continue;
    }
    if (byte == ' ' || byte == '\t' || byte == '\r') continue;
    is_line_blank_ = false;
    if (byte == '{' || (byte == '[' && depth_ > 0)) {
      ++depth_;
    } else if (depth_ == 0) {
      return take_item(ItemKind::kMalformed);
    } else if (byte == '"') {
      in_string_ = true;
    } else if ((byte == '}' || byte == ']') && --depth_ == 0) {
      return take_item(ItemKind::kList);
    }
    if (position_ > max_bytes_) return take_item(ItemKind::kTooLong);
  }
  if (bytes_.size() > max_bytes_) return take_item(ItemKind::kTooLong);
  return {};
}

}  // namespace umberhoist::members

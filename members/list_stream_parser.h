// Splits the byte stream of a watch into items: an empty line, which is a keep-alive, or a host list, which
// is a JSON object on one line or indented over several. No I/O.
//
// Malformed input is reported as soon as it is recognizable. Otherwise a truncated list, followed by another
// or by empty lines, would absorb all that comes after it: the watch would look alive and deliver nothing.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace umberhoist::members {

class ListStreamParser {
 public:
  enum class ItemKind {
    kIncomplete,  // no complete item has arrived
    kKeepAlive,   // an empty line
    kList,        // `text` is an object with balanced brackets; it may still be invalid JSON
    kMalformed,   // the stream cannot be parsed any further: the watch has to be reopened
    kTooLong,     // the same, as the list is longer than allowed
  };
  struct Item {
    ItemKind kind = ItemKind::kIncomplete;
    std::string text;
  };

  // `max_bytes` limits the size of one list.
  explicit ListStreamParser(size_t max_bytes) : max_bytes_(max_bytes) {}

  void feed(std::string_view bytes) { bytes_ += bytes; }
  Item next();
  size_t buffered_bytes() const { return bytes_.size(); }  // of an item that is not complete

 private:
  Item take_item(ItemKind kind);

  size_t max_bytes_;
  std::string bytes_;    // starts with the first byte of the current item
  size_t position_ = 0;  // number of bytes_ that were scanned
  int depth_ = 0;        // nesting depth of brackets; 0: between lists
  bool in_string_ = false;
  bool escaped_ = false;
  bool is_line_blank_ = true;  // only white space since the last line break
};

}  // namespace umberhoist::members

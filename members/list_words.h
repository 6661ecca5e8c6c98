// Cuts what a watch brings into its words: an empty line, which says that discovery lives, or one list, a
// JSON object on a line of its own or indented over several. No I/O.
//
// What can be no list is told as soon as it shows. A list that breaks off and is followed by another, or by
// empty lines, would otherwise swallow all that comes after it, and the watch would look alive and tell
// nothing.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace umberhoist::members {

class ListStreamParser {
 public:
  enum class ItemKind {
    kIncomplete,  // nothing whole has come
    kKeepAlive,   // an empty line
    kList,        // `text` is an object with all its brackets closed; it may still be no JSON
    kMalformed,   // no list can follow: the watch is to be opened anew
  };
  struct Item {
    ItemKind kind = ItemKind::kIncomplete;
    std::string text;
  };

  // `most`: bytes of one list.
  explicit ListStreamParser(size_t max_bytes) : max_bytes_(max_bytes) {}

  void feed(std::string_view bytes) { bytes_ += bytes; }
  Item next();

 private:
  Item take_item(ItemKind kind);

  size_t max_bytes_;
  std::string bytes_;    // from the present word's first byte on
  size_t position_ = 0;  // of these, looked at
  int depth_ = 0;        // of brackets; 0: between lists
  bool in_string_ = false;
  bool escaped_ = false;
  bool is_line_blank_ = true;  // nothing but blanks since the last line's end
};

}  // namespace umberhoist::members

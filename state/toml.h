// The TOML library as all readers here take it.
#pragma once

#include <string_view>

// Its assertions say that `[[= x` cannot come: it can, in a file that an operator wrote, and is then told as
// an error like any other; a build for tests is not to end on it.
#define TOML_ASSERT(expression) static_cast<void>(0)
#include <toml++/toml.h>

namespace umberhoist::state {

// Like the library's parse, with one error more: letters beyond ASCII stand in quotes and comments only.
// Outside of them they are no TOML, and the library's tables of them have holes that it takes for impossible.
inline toml::table parse_toml(std::string_view text) {
  toml::source_position at{1, 1};
  char quote = 0;  // of the string that it is in; '#': a comment
  bool three = false;
  for (size_t i = 0; i < text.size(); ++i, ++at.column) {
    const char c = text[i];
    const bool triple = text.substr(i, 3) == std::string_view(c == '"' ? "\"\"\"" : "'''");
    if (c == '\n') {
      ++at.line;
      at.column = 0;
      if (quote == '#' || !three) quote = 0;
    } else if (quote == 0) {
      if (c == '#' || c == '"' || c == '\'') {
        quote = c;
        three = c != '#' && triple;
        i += three ? 2 : 0;
      } else if (static_cast<unsigned char>(c) >= 0x80) {
        throw toml::parse_error("letters beyond ASCII stand in quotes only", at);
      }
    } else if (c == '\\' && quote == '"') {
      ++i;
    } else if (c == quote && (!three || triple)) {
      i += three ? 2 : 0;
      quote = 0;
    }
  }
  return toml::parse(text);
}

}  // namespace umberhoist::state
